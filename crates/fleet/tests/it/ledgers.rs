//! Quotas of client accounts over all hosts.

use std::{sync::Arc, time::Duration};

use fleet::{
    Time,
    account::{
        Quota, Tolerance, Unit,
        ledger::{AccountId, Charge, Decision, Ledger, ReportId, Urgency, Usage},
    },
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::fixture::{NOW, at, ms};

/// Start of hosts whose buckets are full.
const LONG_AGO: Time = Duration::from_mins(15);

const RATE: f64 = 10_000.0;

/// Tokens of a request: an average prompt with its longest output.
const COST: f64 = 1500.0;

/// Units beyond rate and burst that callers may get in any span: one request, and what hosts admit before they hear of
/// each other.
const SLACK: f64 = 11_000.0;

/// Time between two heartbeats.
const HEARTBEAT: u64 = 200;

/// Time for which a share holds in tests that set it once.
const HEARING: Duration = Duration::from_hours(1);

fn quota() -> Quota {
    Quota {
        unit: Unit::Tokens { unstated: 200.0 },
        rate: RATE,
        burst: RATE,
    }
}

/// The ledger of a process that hears from all hosts.
fn ledger(start: Time) -> Ledger {
    let mut ledger = Ledger::new(start);
    ledger.set_share(1.0, HEARING, start);
    ledger
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
            ledger: ledger(LONG_AGO),
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
                host.ledger.observe(&name, id, &usage, Some(&quota()), now);
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
        it.ledger = ledger(self.now);
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
        host.ledger.set_share(share, HEARING, now);
    }
    fleet.run(&all, 20, 6000);
    for host in &mut fleet.hosts {
        host.side = 0;
        host.ledger.set_share(1.0, HEARING, fleet.now);
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
    fleet.hosts[0].ledger.give_back(&charge, fleet.now);
    fleet.report(0);
    for (host, before) in [(0, before[0]), (2, before[1])] {
        assert!((level(&fleet, host) - before).abs() < 1e-6);
    }
}

#[test]
fn reports_that_are_repeated_late_or_lost_change_nothing() {
    let mut sender = ledger(NOW);
    let mut receiver = ledger(NOW);
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
        receiver.observe(&name, id, &usage, Some(&quota()), at(1000));
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
    let mut ledger = ledger(LONG_AGO);
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
    let mut ledger = ledger(LONG_AGO);
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
    let mut ledger = ledger(LONG_AGO);
    let small = Quota {
        burst: 100.0,
        ..quota()
    };
    let (decision, _) = ledger.admit(north(), &small, COST, NOW);
    assert!(matches!(decision, Decision::Admit(_)));
    let (decision, _) = ledger.admit(north(), &small, COST, at(100));
    assert!(matches!(decision, Decision::Refuse(_)));
}

/// Replays callers that send little to one host, then much to some hosts, and then to others.
#[test]
fn hosts_where_an_account_is_new_know_what_others_have_given_out() {
    let mut fleet = Fleet::new(26);
    fleet.run(&[0], 1000, 20_000);
    fleet.run(&[0, 1, 2], 20, 20_000);
    let rest: Vec<usize> = (3..26).collect();
    fleet.run(&rest, 2, 4000);
    fleet.assert_within_quota();
}

/// Replays a cut in which both sides use their part of the quota.
#[test]
fn after_a_cut_the_smaller_side_is_served_again() {
    let mut fleet = Fleet::new(24);
    let all: Vec<usize> = (0..24).collect();
    fleet.run(&all, 20, 4000);
    for host in &mut fleet.hosts {
        host.side = u8::from(host.name.len() < 4);
        let share = if host.side == 1 {
            10.0 / 24.0
        } else {
            14.0 / 24.0
        };
        host.ledger.set_share(share, HEARING, fleet.now);
    }
    fleet.run(&all, 20, 12_000);
    for host in &mut fleet.hosts {
        host.side = 0;
        host.ledger.set_share(1.0, HEARING, fleet.now);
    }
    fleet.run(&all, 20, 600);
    let healed = fleet.now;
    let smaller: Vec<usize> = (0..10).collect();
    fleet.run(&smaller, 20, 4000);
    fleet.assert_within_quota();
    let steady = fleet.admitted_since(healed) / 4.0;
    assert!(steady > 0.9 * RATE, "{steady} of {RATE} units a second");
}

/// Replays single hosts that are cut off while an account is idle, and a burst that then comes to all of them.
#[test]
fn the_sides_of_a_cut_share_the_burst() {
    let mut ledger = ledger(LONG_AGO);
    ledger.admit(north(), &quota(), 1.0, NOW);
    ledger.set_share(0.1, HEARING, at(1000));
    let now = at(2000);
    let is_admitted = |_: &u32| {
        let (decision, _) = ledger.admit(north(), &quota(), 100.0, now);
        matches!(decision, Decision::Admit(_))
    };
    let admitted = (0..200).filter(is_admitted).count();
    assert!(admitted <= 10, "{admitted} requests of 100 units");
}

/// Replays hosts that are suspended in the middle of a burst and find requests when they wake.
#[test]
fn a_suspended_host_gives_out_nothing_for_the_time_of_its_suspension() {
    let mut ledger = Ledger::new(LONG_AGO);
    ledger.set_share(1.0, HEARING, LONG_AGO);
    while matches!(
        ledger.admit(north(), &quota(), COST, NOW).0,
        Decision::Admit(_)
    ) {}
    ledger.set_share(1.0, ms(700), NOW);
    let is_admitted = |_: &u32| {
        let (decision, _) = ledger.admit(north(), &quota(), 100.0, at(9000));
        matches!(decision, Decision::Admit(_))
    };
    let admitted = (0..200).filter(is_admitted).count();
    assert!(admitted <= 70, "{admitted} requests of 100 units");
}

/// Replays a host that reads, after a suspension, what the others have admitted meanwhile.
#[test]
fn after_a_suspension_nothing_is_owed_for_its_time() {
    let mut fleet = Fleet::new(3);
    let all: Vec<usize> = (0..3).collect();
    fleet.run(&all, 20, 3000);
    let now = fleet.now;
    fleet.hosts[0].ledger.set_share(1.0, ms(700), now);
    fleet.hosts[0].side = 1;
    fleet.run(&[1, 2], 20, 8000);
    fleet.hosts[0].side = 0;
    for it in 1..3 {
        fleet.report(it);
    }
    let state = fleet.hosts[0].ledger.state(north(), fleet.now);
    let level = state.map_or(f64::MIN, |it| it.level);
    assert!(level > -0.5 * RATE, "{level}");
}

/// Replays hosts that have just started and have heard of no other.
#[test]
fn a_host_that_knows_no_others_gives_out_nothing() {
    let mut ledger = Ledger::new(NOW);
    let (decision, _) = ledger.admit(north(), &quota(), COST, at(1000));
    assert!(matches!(decision, Decision::Refuse(_)), "{decision:?}");
}

/// Replays an account that comes back after a pause, at hosts of which some have forgotten it.
#[test]
fn a_total_that_begins_anew_takes_nothing_back() {
    let mut sender = ledger(LONG_AGO);
    let mut receiver = ledger(LONG_AGO);
    let name: Arc<str> = "h-1".into();
    for (number, time, units) in [(1, 1000, 9000.0), (2, 46_000, 5000.0)] {
        sender.admit(north(), &quota(), units, at(time));
        let usage = sender.usage(north(), at(time)).expect("it was used");
        let id = ReportId {
            incarnation: 1,
            number,
        };
        receiver.observe(&name, id, &usage, Some(&quota()), at(time));
    }
    let state = receiver.state(north(), at(46_000)).expect("it was used");
    assert!((state.level - (RATE - 5000.0)).abs() < 1e-6, "{state:?}");
    let usage = sender.usage(north(), at(46_000)).expect("it was used");
    assert_eq!(usage.total, 5000, "hosts that have forgotten it count all");
}

/// Replays a process that goes on while another of its name has started.
#[test]
fn processes_of_one_name_are_counted_each() {
    let mut receiver = ledger(LONG_AGO);
    let name: Arc<str> = "h-1".into();
    let mut senders = [ledger(NOW), ledger(NOW)];
    for number in 1..=4 {
        for (sender, incarnation) in senders.iter_mut().zip([1, 2]) {
            sender.admit(north(), &quota(), 100.0, at(2000));
            let usage = sender.usage(north(), at(2000)).expect("it was used");
            let id = ReportId {
                incarnation,
                number,
            };
            receiver.observe(&name, id, &usage, Some(&quota()), at(2000));
        }
    }
    let state = receiver.state(north(), at(2000)).expect("it was used");
    assert!((state.level - (RATE - 800.0)).abs() < 1e-6, "{state:?}");
}

/// Replays a datagram with the largest numbers.
#[test]
fn totals_of_any_size_are_taken() {
    let mut receiver = ledger(LONG_AGO);
    let name: Arc<str> = "h-1".into();
    for (number, total) in [(1, i64::MIN), (2, i64::MAX)] {
        let usage = Usage {
            account: north(),
            total,
            age: ms(1000),
        };
        let id = ReportId {
            incarnation: 1,
            number,
        };
        receiver.observe(&name, id, &usage, Some(&quota()), at(1000));
    }
    let state = receiver.state(north(), at(1000)).expect("it was used");
    assert!(
        state.level >= -10.0 * RATE - f64::from(u32::MAX),
        "{state:?}"
    );
}

/// Replays a quota that is raised while callers wait for the earlier one.
#[test]
fn a_raised_quota_does_not_keep_callers_waiting_for_the_earlier_one() {
    let mut ledger = ledger(LONG_AGO);
    let lower = Quota {
        rate: 100.0,
        burst: 100.0,
        ..quota()
    };
    for _ in 0..50 {
        ledger.admit(north(), &lower, COST, NOW);
    }
    let (decision, _) = ledger.admit(north(), &quota(), COST, at(10));
    let Decision::Refuse(wait) = decision else {
        panic!("there is a debt: {decision:?}");
    };
    assert!(wait < ms(1000), "{wait:?}");
}

/// Replays requests that count a part of a unit each.
#[test]
fn fractions_of_a_unit_are_not_free() {
    let mut ledger = ledger(LONG_AGO);
    let is_admitted = |_: &u32| {
        let (decision, _) = ledger.admit(north(), &quota(), 0.4, NOW);
        matches!(decision, Decision::Admit(_))
    };
    let admitted = (0..30_000).filter(is_admitted).count();
    assert_eq!(admitted, 10_000);
}

/// Replays an account with a small quota whose requests come at random, at half of its rate.
#[test]
fn an_account_below_its_rate_is_seldom_refused_because_its_requests_come_unevenly() {
    let small = Quota {
        rate: 3000.0,
        burst: 3000.0,
        ..quota()
    };
    let tolerance = Tolerance {
        window: ms(8000),
        ratio: 0.1,
        slack: SLACK,
    };
    let refused = [small, small.tolerant(&tolerance)].map(|quota| {
        let mut random = SmallRng::seed_from_u64(5);
        let mut ledger = ledger(LONG_AGO);
        let mut refused = 0;
        for time in (0..600_000).step_by(10) {
            // One request of 1,500 units in a second on average.
            if random.random_range(0..100) == 0 {
                let (decision, _) = ledger.admit(north(), &quota, COST, at(time));
                refused += u32::from(matches!(decision, Decision::Refuse(_)));
            }
        }
        refused
    });
    // Of some 600 requests.
    assert!(
        refused[1] <= 12 && refused[0] > 3 * refused[1],
        "{refused:?}"
    );
}

/// Replays an account that sends many times its quota: what is admitted stays within the tolerance in any window.
#[test]
fn a_tolerance_is_not_exceeded() {
    let tolerance = Tolerance {
        window: ms(8000),
        ratio: 0.1,
        slack: SLACK,
    };
    let large = 5000.0;
    let tolerant = quota().tolerant(&tolerance);
    let mut ledger = ledger(LONG_AGO);
    let admitted: Vec<Time> = (0..3000)
        .map(|it| at(it * 10))
        .filter(|now| {
            let (decision, _) = ledger.admit(north(), &tolerant, large, *now);
            matches!(decision, Decision::Admit(_))
        })
        .collect();
    for start in &admitted {
        let in_window = |it: &&Time| *it >= start && **it < *start + tolerance.window;
        let count = u32::try_from(admitted.iter().filter(in_window).count()).expect("small");
        let allowed = (RATE * 8.0 + RATE) * 1.1 + SLACK;
        assert!(f64::from(count) * large <= allowed, "{count}");
    }
}
