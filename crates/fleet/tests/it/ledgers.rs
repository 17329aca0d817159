//! Quotas of client accounts over all hosts.

use std::{sync::Arc, time::Duration};

use fleet::{
    Time,
    account::{
        Quota, Unit,
        ledger::{AccountId, Charge, Decision, Ledger, ReportId, Urgency},
    },
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::fixture::{NOW, at, ms};

/// Start of hosts whose buckets are full.
const LONG_AGO: Time = Duration::from_mins(15);

const RATE: f64 = 10_000.0;

/// Tokens of a request: an average prompt with its longest output.
const COST: f64 = 1500.0;

/// Units beyond rate and burst that callers may get in any span.
const SLACK: f64 = 11_000.0;

/// Time between two heartbeats.
const HEARTBEAT: u64 = 200;

fn quota() -> Quota {
    Quota {
        unit: Unit::Tokens { unstated: 200.0 },
        rate: RATE,
        burst: RATE,
    }
}

fn north() -> AccountId {
    AccountId::of("north")
}

/// Hosts that send each other reports.
struct Fleet {
    hosts: Vec<Host>,
    now: Time,
    /// Units that were admitted, each with its time.
    admitted: Vec<(Time, f64)>,
    refused: usize,
    reports: u64,
}

struct Host {
    name: Arc<str>,
    ledger: Ledger,
    incarnation: u64,
    /// Hosts of one side of a cut hear from each other only.
    side: u8,
}

impl Fleet {
    /// Hosts that have been up for a minute.
    fn new(count: usize) -> Self {
        let host = |number: usize| Host {
            name: format!("h-{number}").into(),
            ledger: Ledger::new(SLACK, LONG_AGO),
            incarnation: 1,
            side: 0,
        };
        Self {
            hosts: (0..count).map(host).collect(),
            now: NOW,
            admitted: Vec::new(),
            refused: 0,
            reports: 0,
        }
    }

    /// Sends a request to a host. Returns what it was charged.
    fn send(&mut self, host: usize) -> Option<Charge> {
        let now = self.now;
        let decided = self.hosts[host].ledger.admit(north(), &quota(), COST, now);
        match decided {
            (Decision::Admit(charge), urgency) => {
                self.admitted.push((now, COST));
                if urgency == Urgency::Immediate {
                    self.report(host);
                }
                Some(charge)
            }
            (Decision::Refuse(_), _) => {
                self.refused += 1;
                None
            }
        }
    }

    /// Reports what a host has admitted to the others of its side.
    fn report(&mut self, from: usize) {
        let now = self.now;
        self.reports += 1;
        let Host {
            name,
            incarnation,
            side,
            ..
        } = &self.hosts[from];
        let (name, side) = (name.clone(), *side);
        let id = ReportId {
            incarnation: *incarnation,
            number: self.reports,
        };
        let Some(usage) = self.hosts[from].ledger.usage(north(), now) else {
            return;
        };
        for (index, host) in self.hosts.iter_mut().enumerate() {
            if index != from && host.side == side {
                host.ledger.observe(&name, id, &usage, now);
            }
        }
    }

    /// Lets callers send to the hosts in turn, one request every `interval`, for a time.
    fn run(&mut self, hosts: &[usize], interval: u64, time: u64) {
        let end = self.now + ms(time);
        let mut next_report = self.now + ms(HEARTBEAT);
        let mut turn = 0;
        while self.now < end {
            self.send(hosts[turn % hosts.len()]);
            turn += 1;
            self.now += ms(interval);
            if self.now >= next_report {
                next_report += ms(HEARTBEAT);
                for it in 0..self.hosts.len() {
                    self.report(it);
                }
            }
        }
    }

    fn admitted_since(&self, start: Time) -> f64 {
        let since = self.admitted.iter().filter(|it| it.0 >= start);
        since.map(|it| it.1).sum()
    }

    /// Checks the units that were admitted in each span of 8 s.
    fn assert_within_quota(&self) {
        let window = ms(8000);
        for (start, _) in &self.admitted {
            let in_window = |it: &&(Time, f64)| it.0 >= *start && it.0 < *start + window;
            let units: f64 = self.admitted.iter().filter(in_window).map(|it| it.1).sum();
            let allowed = (RATE * window.as_secs_f64() + RATE) * 1.1 + SLACK;
            assert!(units <= allowed, "{units} of {allowed} from {start:?}");
        }
    }

    fn restart(&mut self, host: usize) {
        let it = &mut self.hosts[host];
        it.ledger = Ledger::new(SLACK, self.now);
        it.incarnation += 1;
    }
}

/// Replays an account that sends seven times its limit to all of 26 hosts.
#[test]
fn an_account_gets_what_its_quota_allows_and_no_more_over_all_hosts() {
    let mut fleet = Fleet::new(26);
    let all: Vec<usize> = (0..26).collect();
    fleet.run(&all, 20, 12_000);
    fleet.assert_within_quota();
    let steady = fleet.admitted_since(at(2000)) / 10.0;
    assert!(steady > 0.95 * RATE, "{steady} of {RATE} units a second");
}

/// Replays callers that come to one host of many.
#[test]
fn one_host_may_use_the_whole_quota() {
    let mut fleet = Fleet::new(26);
    fleet.run(&[7], 20, 12_000);
    fleet.assert_within_quota();
    let steady = fleet.admitted_since(at(2000)) / 10.0;
    assert!(steady > 0.95 * RATE, "{steady} of {RATE} units a second");
}

/// Replays callers that move from one host to another every two seconds.
#[test]
fn callers_that_move_to_other_hosts_find_the_quota_there() {
    let mut fleet = Fleet::new(26);
    for host in 0..6 {
        fleet.run(&[host], 20, 2000);
    }
    fleet.assert_within_quota();
    let steady = fleet.admitted_since(at(2000)) / 10.0;
    assert!(steady > 0.95 * RATE, "{steady} of {RATE} units a second");
}

#[test]
fn nothing_is_refused_below_the_quota() {
    let mut fleet = Fleet::new(26);
    let all: Vec<usize> = (0..26).collect();
    fleet.run(&all, 200, 12_000);
    assert_eq!(fleet.refused, 0);
}

/// Replays a domain that is cut off while an account is over its limit on both sides.
#[test]
fn the_sides_of_a_cut_stay_within_the_quota_together() {
    let mut fleet = Fleet::new(24);
    let all: Vec<usize> = (0..24).collect();
    fleet.run(&all, 20, 4000);
    for host in &mut fleet.hosts[..6] {
        host.side = 1;
    }
    // The hosts notice the cut after three heartbeats.
    fleet.run(&all, 20, 600);
    let now = fleet.now;
    for host in &mut fleet.hosts {
        let share = if host.side == 1 { 0.25 } else { 0.75 };
        host.ledger.set_share(share, now);
    }
    fleet.run(&all, 20, 6000);
    for host in &mut fleet.hosts {
        host.side = 0;
        host.ledger.set_share(1.0, fleet.now);
    }
    fleet.run(&all, 20, 6000);
    fleet.assert_within_quota();
}

/// Replays the loss of all hosts in the middle of a burst.
#[test]
fn after_the_loss_of_all_hosts_no_new_burst_is_given_out() {
    let mut fleet = Fleet::new(12);
    let all: Vec<usize> = (0..12).collect();
    fleet.run(&all, 20, 3000);
    for host in 0..12 {
        fleet.restart(host);
    }
    fleet.run(&all, 20, 9000);
    fleet.assert_within_quota();
    let steady = fleet.admitted_since(at(4000)) / 8.0;
    assert!(steady > 0.95 * RATE, "{steady} of {RATE} units a second");
}

/// Replays hosts that are killed and started again while the others go on.
#[test]
fn a_host_that_starts_does_not_repeat_what_others_have_given_out() {
    let mut fleet = Fleet::new(12);
    let all: Vec<usize> = (0..12).collect();
    for host in 0..12 {
        fleet.run(&all, 20, 700);
        fleet.restart(host);
    }
    fleet.assert_within_quota();
    let steady = fleet.admitted_since(at(2000)) / 6.4;
    assert!(steady > 0.9 * RATE, "{steady} of {RATE} units a second");
}

#[test]
fn what_did_not_run_is_given_back_at_all_hosts() {
    let mut fleet = Fleet::new(3);
    fleet.run(&[0], 20, 1000);
    let level = |fleet: &Fleet, host: usize| {
        let state = fleet.hosts[host].ledger.state(north(), fleet.now);
        state.map_or(0.0, |it| it.level)
    };
    fleet.now += ms(500);
    let before = [level(&fleet, 0), level(&fleet, 2)];
    let charge = fleet.send(0).expect("there is room");
    fleet.report(0);
    fleet.hosts[0].ledger.give_back(&charge);
    fleet.report(0);
    for (host, before) in [(0, before[0]), (2, before[1])] {
        assert!((level(&fleet, host) - before).abs() < 1e-6);
    }
}

#[test]
fn reports_that_are_repeated_late_or_lost_change_nothing() {
    let mut sender = Ledger::new(0.0, NOW);
    let mut receiver = Ledger::new(0.0, NOW);
    let name: Arc<str> = "h-1".into();
    receiver.admit(north(), &quota(), 1.0, at(1000));
    let mut reports = Vec::new();
    for number in 1..=3 {
        sender.admit(north(), &quota(), 100.0, at(1000));
        let usage = sender.usage(north(), at(1000)).expect("it was used");
        let incarnation = 1;
        reports.push((
            ReportId {
                incarnation,
                number,
            },
            usage,
        ));
    }
    // The first report is lost, the third overtakes the second, and both are repeated.
    for index in [2, 1, 2, 1] {
        let (id, usage) = reports[index];
        receiver.observe(&name, id, &usage, at(1000));
    }
    let state = receiver.state(north(), at(1000)).expect("it was used");
    assert!(
        (state.level - (RATE - 1.0 - 300.0)).abs() < 1e-6,
        "{state:?}"
    );
}

/// Replays a configuration with a lower limit in the middle of a burst.
#[test]
fn a_lower_quota_is_kept_at_once() {
    let mut ledger = Ledger::new(0.0, LONG_AGO);
    let lower = Quota {
        rate: 1000.0,
        burst: 1000.0,
        ..quota()
    };
    ledger.admit(north(), &quota(), COST, NOW);
    let admitted = (0..500)
        .filter(|it| {
            let decided = ledger.admit(north(), &lower, 100.0, at(it * 20));
            matches!(decided.0, Decision::Admit(_))
        })
        .count();
    assert!((100..=111).contains(&admitted), "{admitted} in 10 s");
}

/// Replays callers that are refused together: each comes back when there is room for it.
#[test]
fn refused_callers_come_back_at_the_rate_of_the_quota() {
    let mut ledger = Ledger::new(0.0, LONG_AGO);
    while matches!(
        ledger.admit(north(), &quota(), COST, NOW).0,
        Decision::Admit(_)
    ) {}
    let waits: Vec<Duration> = (0..20)
        .map(|_| match ledger.admit(north(), &quota(), COST, NOW).0 {
            Decision::Refuse(it) => it,
            Decision::Admit(_) => panic!("the quota is used up"),
        })
        .collect();
    let span = waits[19].saturating_sub(waits[0]);
    assert!(waits.is_sorted(), "{waits:?}");
    // 19 requests of 1,500 units at 10,000 a second.
    assert!(span.abs_diff(ms(2850)) < ms(300), "{span:?}");
}

#[test]
fn one_request_larger_than_the_burst_passes_after_a_pause() {
    let mut ledger = Ledger::new(0.0, LONG_AGO);
    let small = Quota {
        burst: 100.0,
        ..quota()
    };
    let (decision, _) = ledger.admit(north(), &small, COST, NOW);
    assert!(matches!(decision, Decision::Admit(_)));
    let (decision, _) = ledger.admit(north(), &small, COST, at(100));
    assert!(matches!(decision, Decision::Refuse(_)));
}

/// Replays an account with a small quota whose requests come at random, at half of its rate.
#[test]
fn an_account_that_stays_below_its_rate_is_not_refused_because_its_requests_come_unevenly() {
    let small = Quota {
        rate: 3000.0,
        burst: 3000.0,
        ..quota()
    };
    let mut random = SmallRng::seed_from_u64(5);
    let mut ledger = Ledger::new(SLACK, LONG_AGO);
    let mut refused = 0;
    for time in (0..60_000).step_by(10) {
        // One request of 1,500 units in a second on average.
        if random.random_range(0..100) == 0 {
            let (decision, _) = ledger.admit(north(), &small, COST, at(time));
            refused += u32::from(matches!(decision, Decision::Refuse(_)));
        }
    }
    assert_eq!(refused, 0);
}
