//! How hosts find out that another host has died.

use std::{collections::BTreeMap, net::SocketAddr, time::Instant};

use kernel::name::Domain;

use crate::{
    message::Body,
    record::{Record, Standing},
    state::{State, Turn, turn},
};

/// A probe that has not been answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    pub number: u64,
    pub target: u64,
    pub stage: Stage,
    pub deadline: Instant,
}

/// How far a probe has gone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    Direct,
    Indirect,
}

/// A probe made for another host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Passing {
    pub number: u64,
    pub asked_as: u64,
    pub asker: SocketAddr,
    pub deadline: Instant,
}

/// Most probes that are under way for others at a time.
const MAX_PASSING: usize = 64;

impl State {
    /// Does what is due: follows up on open probes and starts new ones.
    pub(crate) fn probe(&mut self, now: Instant) {
        self.passing.retain(|it| it.deadline > now);
        self.follow_up(now);
        if turn(&mut self.due.period, self.settings.probe_period, now) == Turn::Now {
            self.start_round(now);
        }
        let interval = self.settings.contact_probe_interval;
        if turn(&mut self.due.contact, interval, now) == Turn::Now {
            self.probe_contact(now);
        }
    }

    fn follow_up(&mut self, now: Instant) {
        let (over, open) = self.probes.drain(..).partition(|it| it.deadline <= now);
        self.probes = open;
        let over: Vec<Probe> = over;
        for probe in over {
            match probe.stage {
                Stage::Direct => self.ask_others(probe, now),
                Stage::Indirect => self.judge(probe.target, Standing::Suspect, now),
            }
        }
    }

    fn ask_others(&mut self, probe: Probe, now: Instant) {
        let Some(target) = self.table.get(probe.target).map(|it| it.record.address) else {
            return;
        };
        let relays = self.pick(self.settings.relays, |it| it != probe.target);
        let number = probe.number;
        for relay in relays {
            self.send_to(relay, Body::Relay { number, target });
        }
        // A second direct probe costs little where a single datagram was lost.
        self.send_to(probe.target, Body::Ping(number));
        self.probes.push(Probe {
            stage: Stage::Indirect,
            deadline: now + self.settings.indirect_probe_timeout,
            ..probe
        });
    }

    fn start_round(&mut self, now: Instant) {
        let mut targets = self.successors();
        for _ in 0..self.settings.random_probes {
            targets.extend(self.next_in_order());
        }
        targets.sort_unstable();
        targets.dedup();
        for target in targets {
            self.start(target, now);
        }
    }

    /// The next members on the ring of ids. Each member is thereby probed in every period by its
    /// predecessor, which bounds the time to find its death. Suspects are skipped, so that the
    /// deaths of neighbours are found one period after another.
    fn successors(&self) -> Vec<u64> {
        let me = self.my_id();
        let ring = self
            .table
            .iter()
            .filter(|(_, it)| it.is_alive() && self.is_near(&it.record));
        let after = ring.clone().filter(|(id, _)| *id > me);
        let before = ring.filter(|(id, _)| *id < me);
        after
            .chain(before)
            .map(|it| it.0)
            .take(self.settings.ring_probes)
            .collect()
    }

    /// The next member in a random order that is drawn anew when it has been gone through.
    fn next_in_order(&mut self) -> Option<u64> {
        if self.order.is_empty() {
            self.order = self.pick(usize::MAX, |_| true);
        }
        self.order.pop()
    }

    fn start(&mut self, target: u64, now: Instant) {
        let is_probed = self.probes.iter().any(|it| it.target == target);
        let is_down = self
            .table
            .get(target)
            .is_none_or(crate::table::Peer::is_down);
        if is_probed || is_down {
            return;
        }
        self.number += 1;
        let number = self.number;
        self.probes.push(Probe {
            number,
            target,
            stage: Stage::Direct,
            deadline: now + self.settings.direct_probe_timeout,
        });
        self.send_to(target, Body::Ping(number));
    }

    /// Probes one contact in another domain, which also brings news of that domain. Every other
    /// time it is one of a domain in which contacts are lacking.
    fn probe_contact(&mut self, now: Instant) {
        let mut by_domain: BTreeMap<&Domain, Vec<u64>> = BTreeMap::new();
        for (id, peer) in self.table.iter() {
            if !peer.is_down() && !self.is_near(&peer.record) {
                by_domain.entry(&peer.record.domain).or_default().push(id);
            }
        }
        let all: Vec<u64> = by_domain.values().flatten().copied().collect();
        let few = by_domain.into_values().min_by_key(Vec::len);
        let choice = match (few, self.random.below(2)) {
            (Some(few), 0) if few.len() < self.settings.contacts_per_domain => few,
            _ => all,
        };
        if let Some(target) = choice.get(self.random.below(choice.len())) {
            self.start(*target, now);
        }
    }

    /// Answers a probe.
    pub(crate) fn pinged(&mut self, sender: &Record, number: u64) {
        let first = if self.is_near(sender) {
            Vec::new()
        } else {
            self.sample(&sender.domain)
        };
        self.send(sender.address, Body::Ack(number), &first);
    }

    /// Ends a probe, or passes the answer on.
    pub(crate) fn acked(&mut self, number: u64) {
        self.probes.retain(|it| it.number != number);
        let Some(at) = self.passing.iter().position(|it| it.number == number) else {
            return;
        };
        let passing = self.passing.swap_remove(at);
        self.send(passing.asker, Body::Ack(passing.asked_as), &[]);
    }

    /// Probes a host for another one.
    pub(crate) fn relay(&mut self, asker: &Record, number: u64, target: SocketAddr, now: Instant) {
        if self.passing.len() >= MAX_PASSING {
            return;
        }
        self.number += 1;
        self.passing.push(Passing {
            number: self.number,
            asked_as: number,
            asker: asker.address,
            deadline: now + self.settings.probe_period,
        });
        self.send(target, Body::Ping(self.number), &[]);
    }
}
