//! Signals in series: to hosts that drain or are stopped, to several hosts at once, and together with a change of the
//! configuration.

use std::{
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt, rngs::StdRng};

use super::{Recovery, Run, random_subset};
use crate::{
    host::{Exit, Host},
    world::wait_until,
};

/// Time between the signals of overlapping shutdowns.
const SIGNAL_GAP: Duration = Duration::from_millis(250);

/// The time after SIGTERM in which a host must end, as in the settings.
pub(super) const GRACE_TIME: Duration = Duration::from_secs(8);

/// A series of signals. Times are in milliseconds.
#[derive(Clone, Debug)]
pub enum Signals {
    /// SIGTERM, and the same again while the host drains.
    TerminateTwice(usize, u64),
    /// SIGTERM, and SIGKILL while the host drains.
    KillDraining(usize, u64),
    /// SIGTERM, then SIGSTOP while the host drains, and SIGCONT.
    PauseDraining(usize, u64, u64),
    /// SIGSTOP, SIGTERM while the host is stopped, and SIGCONT.
    TerminatePaused(usize, u64),
    /// SIGTERM of several hosts, SIGHUP of all, and a new configuration in the same moment.
    TerminateSeveral(Vec<usize>),
    /// SIGKILL of several hosts.
    KillSeveral(Vec<usize>),
    /// SIGHUP of one host a number of times.
    HangUp(usize, usize),
}

impl Signals {
    /// Chooses whether signals are sent.
    pub fn choose(rng: &mut StdRng, hosts: usize) -> Option<Self> {
        let host = rng.random_range(0..hosts);
        let gap = rng.random_range(1..3000);
        let ms = rng.random_range(50..2000);
        match rng.random_range(0..24) {
            0 => Some(Self::TerminateTwice(host, gap)),
            1 => Some(Self::KillDraining(host, gap)),
            2 => Some(Self::PauseDraining(host, gap, ms)),
            3 => Some(Self::TerminatePaused(host, ms)),
            4 => Some(Self::TerminateSeveral(random_subset(rng, hosts))),
            5 => Some(Self::KillSeveral(random_subset(rng, hosts))),
            6 => Some(Self::HangUp(host, rng.random_range(1..4))),
            _ => None,
        }
    }
}

impl Run {
    pub(super) fn send_signals(&mut self, signals: &Signals) {
        match signals {
            Signals::TerminateTwice(it, gap) => {
                self.hosts[*it].begin_termination();
                self.recover_after(*gap, Recovery::TerminateAgain(*it));
            }
            Signals::KillDraining(it, gap) => {
                self.hosts[*it].begin_termination();
                self.recover_after(*gap, Recovery::KillDraining(*it));
            }
            Signals::PauseDraining(it, gap, ms) => {
                self.hosts[*it].begin_termination();
                self.recover_after(*gap, Recovery::PauseDraining(*it, *ms));
            }
            Signals::TerminatePaused(it, ms) => {
                self.pause(*it, *ms);
                self.hosts[*it].begin_termination();
            }
            Signals::TerminateSeveral(hosts) => {
                self.configure();
                for it in hosts {
                    self.hosts[*it].begin_termination();
                }
                for it in &self.hosts {
                    it.hang_up();
                }
            }
            Signals::KillSeveral(hosts) => {
                for it in hosts {
                    self.hosts[*it].kill();
                }
            }
            Signals::HangUp(it, count) => {
                for _ in 0..*count {
                    self.hosts[*it].hang_up();
                }
            }
        }
    }

    /// Restarts the hosts that have ended, and reports those that should not have.
    pub(super) fn restart_ended_hosts(&mut self) {
        for it in 0..self.hosts.len() {
            let was_terminated = self.hosts[it].terminating;
            let Some(exit) = self.hosts[it].poll_exit() else {
                continue;
            };
            self.check_exit(it, exit);
            if !was_terminated && exit != Exit::BeforeStart {
                self.violations.push(format!("host {it} ended by itself"));
            }
            self.hosts[it].restart();
        }
    }

    pub(super) fn wait_for_drains(&mut self) {
        wait_until("all hosts that drain have ended", || {
            self.restart_ended_hosts();
            !self.hosts.iter().any(|it| it.terminating)
        });
    }

    /// Checks that several hosts abort no request if they are terminated at once, receive SIGTERM again while they
    /// drain, and then SIGHUP, with a new configuration in the same moment.
    pub(super) fn check_overlapping_shutdowns(&mut self) {
        let survivor = self.rng.random_range(0..self.hosts.len());
        let hosts: Vec<usize> = (0..self.hosts.len()).filter(|it| *it != survivor).collect();
        self.traffic.start_burst(3000);
        thread::sleep(SIGNAL_GAP);
        let terminated_at = Instant::now();
        self.configure();
        for signal in [Host::begin_termination, |it: &mut Host| it.hang_up()] {
            for _ in 0..2 {
                for it in &hosts {
                    signal(&mut self.hosts[*it]);
                }
                thread::sleep(SIGNAL_GAP);
            }
        }
        let is_starved =
            self.sleep_detecting_starvation(GRACE_TIME.saturating_sub(terminated_at.elapsed()));
        for it in &hosts {
            match self.hosts[*it].poll_exit() {
                Some(exit) => {
                    self.check_exit(*it, exit);
                    self.hosts[*it].restart();
                }
                None if is_starved => self.terminate_and_restart(*it),
                None => {
                    self.violations
                        .push(format!("host {it} ignores the grace period"));
                    self.terminate_and_restart(*it);
                }
            }
        }
        self.check_aborted_requests(&hosts, terminated_at);
        self.wait_until_ready();
    }
}
