//! Replays of bursts at one engine, whose requests wait in a queue or ask for room by chance.

use std::{sync::Arc, time::Duration};

use fleet::{
    Time,
    account::{Account, Quota, Unit, ledger::AccountId},
    admission::{Candidate, Decision, decide},
    queue::{
        Claim, Entry, Queue, Ticket, Turn,
        elsewhere::{Collector, Unreported},
    },
    table::Key,
};

use crate::fixture::{at, ms, table};

const SLOTS: u64 = 8;
const RUN_TIME: u64 = 400;
const SERVICE_TIME: u64 = 60;
const TARGET: u64 = 600;
const MAX_HOLD: u64 = 2200;
const SECONDS: u64 = 12;

/// Who orders the requests that wait.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Order {
    /// Nobody: whoever asks first after a slot is free.
    Chance,
    /// [`Queue`].
    Queue,
}

/// Requests that arrive at regular times.
struct Load {
    account: &'static str,
    priority: u8,
    interval: u64,
    work: f64,
}

/// Outcome of the requests of a load.
#[derive(Clone, Debug, Default)]
struct Results {
    sent: u32,
    on_time: u32,
    late: u32,
}

struct Request {
    load: usize,
    claim: Claim,
    check: u64,
    ticket: Option<Ticket>,
}

/// Replays loads at one engine. A request that waits asks again after 20 to 60 ms, and the first when a slot is free.
fn replay(order: Order, loads: &[Load]) -> Vec<Results> {
    replay_beside(order, loads, &[])
}

/// Replays loads at one engine, while other hosts report each second how many tokens they do for accounts.
fn replay_beside(order: Order, loads: &[Load], reports: &[(&str, f64)]) -> Vec<Results> {
    let (_, keys) = table(&[("e-1", &[])]);
    let mut results = vec![Results::default(); loads.len()];
    let mut queue = Queue::default();
    let mut elsewhere = Collector::default();
    let mut held: Vec<Request> = Vec::new();
    let mut engine: Vec<(u64, usize, u64)> = Vec::new();
    let mut running: Vec<u64> = Vec::new();
    let mut random = 1_u64;
    for now in 0..SECONDS * 1000 {
        running.retain(|it| *it > now);
        while count(running.len()) < SLOTS && !engine.is_empty() {
            let (arrived, load, _) = engine.remove(0);
            running.push(now + RUN_TIME / 2 + (now * 797 + arrived) % RUN_TIME);
            if now + SERVICE_TIME <= arrived + TARGET {
                results[load].on_time += 1;
            } else {
                results[load].late += 1;
            }
        }
        if now % 1000 == 0 {
            for (account, tokens) in reports {
                elsewhere.record(&Arc::from(*account), *tokens, at(now));
            }
            if let Some(it) = elsewhere.take_snapshot(at(now)) {
                queue.set_elsewhere(it);
            }
        }
        for (index, load) in loads.iter().enumerate() {
            if now % load.interval == count(index) % load.interval {
                results[index].sent += 1;
                let claim = claim(load, keys[0], at(now));
                held.push(Request {
                    load: index,
                    claim,
                    check: now,
                    ticket: None,
                });
            }
        }
        let first = queue.first(keys[0], at(now));
        for mut it in std::mem::take(&mut held) {
            let is_woken = order == Order::Queue
                && first.is_some_and(|first| it.ticket == Some(first))
                && count(running.len() + engine.len()) < SLOTS;
            if it.check > now && !is_woken {
                held.push(it);
                continue;
            }
            random = random.wrapping_mul(6_364_136_223_846_793_005) + 1;
            let excess = (count(running.len() + engine.len()) + 1).saturating_sub(SLOTS);
            let queue_wait = ms(RUN_TIME * excess / SLOTS);
            let account = it.claim.account.clone();
            let (target, ahead, turn) = match order {
                Order::Chance => (ms(TARGET), 0, Turn::Take),
                Order::Queue => (
                    queue.target(ms(TARGET), account.as_ref(), it.claim.priority, at(now)),
                    queue.ahead(&it.claim, it.ticket, at(now)),
                    queue.turn(&it.claim, it.ticket, queue_wait, at(now)),
                ),
            };
            let decision = decide(&Candidate {
                waited: at(now).saturating_sub(it.claim.arrived),
                target,
                max_hold: ms(MAX_HOLD),
                expected_wait: queue_wait + ms(SERVICE_TIME),
                queue_wait,
                confirmed_after: Duration::ZERO,
                wait_ahead: ms(RUN_TIME / SLOTS * count(ahead)),
                random: f64::from(u8::try_from(random >> 56).expect("it fits")) / 255.0,
            });
            let pause = match (decision, turn) {
                (Decision::Send, Turn::Take) => {
                    if let Some(ticket) = it.ticket {
                        queue.leave(ticket);
                    }
                    queue.record_taken(account.as_ref(), it.claim.work, at(now));
                    let arrived = it.claim.arrived.saturating_sub(at(0));
                    engine.push((millis(arrived), it.load, now));
                    continue;
                }
                (Decision::Send, Turn::After(_)) => 20,
                (Decision::Hold(pause), _) => millis(pause),
                (Decision::Refuse, _) => {
                    if let Some(ticket) = it.ticket {
                        queue.leave(ticket);
                    }
                    continue;
                }
            };
            if order == Order::Queue {
                match queue.wait(it.claim.clone(), it.ticket, at(now)) {
                    Entry::Waiting(ticket) => it.ticket = Some(ticket),
                    Entry::Full => continue,
                }
            }
            it.check = now + pause;
            held.push(it);
        }
    }
    results
}

fn claim(load: &Load, engine: Key, now: Time) -> Claim {
    Claim {
        priority: load.priority,
        account: Some(Arc::from(load.account)),
        work: load.work,
        arrived: now,
        target: now + ms(TARGET),
        engine,
        service_time: ms(SERVICE_TIME),
    }
}

fn count(it: usize) -> u64 {
    u64::try_from(it).expect("it fits")
}

fn millis(it: Duration) -> u64 {
    u64::try_from(it.as_millis()).expect("it fits")
}

/// Share of the requests of a load that were on time.
fn share(it: &Results) -> f64 {
    f64::from(it.on_time) / f64::from(it.sent)
}

fn load(account: &'static str, priority: u8, interval: u64) -> Load {
    Load {
        account,
        priority,
        interval,
        work: 1000.0,
    }
}

/// The engine serves 20 requests a second. Four accounts send 3 each, and one sends 100 instead of 3.
#[test]
fn an_account_that_sends_many_times_its_usual_does_not_push_others_out() {
    let loads = [
        load("hot", 1, 10),
        load("b", 1, 333),
        load("c", 1, 337),
        load("d", 1, 341),
        load("e", 1, 347),
    ];
    let chance = replay(Order::Chance, &loads);
    let ordered = replay(Order::Queue, &loads);
    for other in 1..loads.len() {
        assert!(share(&chance[other]) < 0.85, "{chance:?}");
        assert!(share(&ordered[other]) > 0.9, "{ordered:?}");
    }
    // Room that the others leave is still used.
    let served = |it: &[Results]| -> u32 { it.iter().map(|it| it.on_time + it.late).sum() };
    assert!(
        served(&ordered) * 100 >= served(&chance) * 97,
        "{chance:?} {ordered:?}"
    );
    assert!(
        ordered[0].on_time * 10 > served(&ordered) * 3,
        "{ordered:?}"
    );
}

/// The engine serves 20 requests a second. Two accounts send 15 and 13 of them, which is no more than a share of either. Other hosts
/// do 90 a second for the first of them, three times its usual, and 30 for each of four more.
#[test]
fn an_account_that_is_hot_at_other_hosts_comes_after_a_small_one_here() {
    let loads = [load("hot", 1, 67), load("small", 1, 77)];
    let usual = 30_000.0;
    let reports = [
        ("hot", 3.0 * usual),
        ("b", usual),
        ("c", usual),
        ("d", usual),
        ("e", usual),
    ];
    let alone = replay(Order::Queue, &loads);
    let beside = replay_beside(Order::Queue, &loads, &reports);
    assert!(share(&alone[1]) < 0.85, "{alone:?}");
    assert!(share(&beside[1]) > 0.95, "{beside:?}");
    // The others still use the room that the small one leaves.
    let served = |it: &[Results]| -> u32 { it.iter().map(|it| it.on_time + it.late).sum() };
    assert!(
        served(&beside) * 100 >= served(&alone) * 97,
        "{alone:?} {beside:?}"
    );
}

/// As above, but no request here has to wait, or the other hosts do as much for each account.
#[test]
fn work_elsewhere_keeps_nobody_back_without_need() {
    let few = [load("hot", 1, 134), load("small", 1, 154)];
    let results = replay_beside(Order::Queue, &few, &[("hot", 90_000.0), ("b", 30_000.0)]);
    assert!(results.iter().all(|it| share(it) > 0.99), "{results:?}");
    let loads = [load("a", 1, 67), load("b", 1, 77)];
    let even = [("a", 30_000.0), ("b", 30_000.0)];
    let beside = replay_beside(Order::Queue, &loads, &even);
    let alone = replay(Order::Queue, &loads);
    assert!((share(&beside[0]) - share(&alone[0])).abs() < 0.05);
    assert!((share(&beside[1]) - share(&alone[1])).abs() < 0.05);
}

/// Without accounts, and while nobody waits, hosts report nothing more; quotas in tokens are reported anyway.
#[test]
fn work_is_reported_only_while_requests_wait() {
    let account = |unit: Option<Unit>| Account {
        name: Arc::from("a"),
        priority: None,
        quota: unit.map(|unit| Quota {
            unit,
            rate: 10.0,
            burst: 10.0,
        }),
    };
    let mut unreported = Unreported::default();
    unreported.record(None, 100.0, 5);
    unreported.record(Some(&account(None)), 100.0, 0);
    let tokens = Unit::Tokens { unstated: 1.0 };
    unreported.record(Some(&account(Some(tokens))), 100.0, 3);
    assert!(unreported.take().is_empty());
    unreported.record(Some(&account(None)), 100.0, 1);
    unreported.record(Some(&account(Some(Unit::Requests))), 50.0, 2);
    assert_eq!(unreported.take(), [(AccountId::of("a"), 150.0)]);
    assert!(unreported.take().is_empty());
}

/// Replays bursts of prompts at an engine that prefills 10 tokens per ms, and takes no more while over 2,800 would wait there. One
/// in ten has 2,500 tokens, the others 300. Returns how many of each kind are sent in the time for which they may wait.
fn replay_prompts(order: Order) -> [Results; 2] {
    let (_, keys) = table(&[("e-1", &[])]);
    let mut results = [Results::default(), Results::default()];
    let mut queue = Queue::default();
    let mut held: Vec<Request> = Vec::new();
    let mut pending = 0.0;
    for now in 0..SECONDS * 1000 {
        pending = f64::max(pending - 10.0, 0.0);
        let interval = if now % 2000 < 1000 { 40 } else { 80 };
        if now % interval == 0 {
            let index = usize::from(now % (10 * interval) == 0);
            results[index].sent += 1;
            let mut load = load("a", 1, 1);
            load.work = if index == 1 { 2500.0 } else { 300.0 };
            let claim = claim(&load, keys[0], at(now));
            held.push(Request {
                load: index,
                claim,
                check: now,
                ticket: None,
            });
        }
        held.sort_by_key(|it| it.check);
        for mut it in std::mem::take(&mut held) {
            if it.check > now {
                held.push(it);
                continue;
            }
            let has_room = pending <= 0.0 || pending + it.claim.work <= 2800.0;
            let turn = match order {
                Order::Chance => Turn::Take,
                Order::Queue => queue.turn(&it.claim, it.ticket, Duration::ZERO, at(now)),
            };
            let may_wait = at(now) < it.claim.arrived + ms(TARGET).mul_f64(0.6);
            if has_room && turn == Turn::Take || !may_wait {
                if let Some(ticket) = it.ticket {
                    queue.leave(ticket);
                }
                pending += it.claim.work;
                if may_wait {
                    results[it.load].on_time += 1;
                } else {
                    results[it.load].late += 1;
                }
                continue;
            }
            if let Entry::Waiting(ticket) = queue.wait(it.claim.clone(), it.ticket, at(now)) {
                it.ticket = Some(ticket);
            }
            it.check = now + 15;
            held.push(it);
        }
    }
    results
}

#[test]
fn large_prompts_find_room_as_often_as_small_ones() {
    let chance = replay_prompts(Order::Chance);
    let ordered = replay_prompts(Order::Queue);
    assert!(share(&chance[1]) < 0.8 * share(&chance[0]), "{chance:?}");
    assert!(
        share(&ordered[1]) > 0.95 * share(&ordered[0]),
        "{ordered:?}"
    );
    assert!(share(&ordered[0]) > 0.95, "{ordered:?}");
}

/// The urgent route alone sends more than the engine serves.
#[test]
fn an_overload_of_one_route_starves_no_other() {
    let loads = [load("a", 0, 33), load("a", 1, 333)];
    let ordered = replay(Order::Queue, &loads);
    assert!(share(&ordered[0]) > 0.5, "{ordered:?}");
    assert!(share(&ordered[1]) > 0.2, "{ordered:?}");
}

#[test]
fn only_requests_for_the_same_engine_wait_for_each_other() {
    let (_, keys) = table(&[("e-1", &[]), ("e-2", &[])]);
    let mut queue = Queue::default();
    let urgent = claim(&load("a", 0, 1), keys[0], at(0));
    queue.wait(urgent, None, at(0));
    let same = claim(&load("a", 1, 1), keys[0], at(0));
    let other = claim(&load("a", 1, 1), keys[1], at(0));
    let turn = queue.turn(&same, None, Duration::ZERO, at(0));
    assert!(matches!(turn, Turn::After(_)));
    assert_eq!(queue.turn(&other, None, Duration::ZERO, at(0)), Turn::Take);
}

/// Four requests wait for one free slot, each of which comes first for another reason.
#[test]
fn a_slot_goes_to_who_can_be_on_time_then_by_priority_deadline_and_arrival() {
    let (_, keys) = table(&[("e-1", &[])]);
    let mut queue = Queue::default();
    let mut late = claim(&load("a", 0, 1), keys[0], at(0));
    late.target = at(100);
    let mut later_deadline = claim(&load("b", 1, 1), keys[0], at(50));
    later_deadline.target = at(900);
    let waiting = [
        late,
        later_deadline,
        claim(&load("c", 1, 1), keys[0], at(60)),
        claim(&load("d", 0, 1), keys[0], at(90)),
    ];
    let tickets: Vec<Entry> = (waiting.iter())
        .map(|it| queue.wait(it.clone(), None, at(95)))
        .collect();
    let mut order = Vec::new();
    while let Some(first) = queue.first(keys[0], at(100)) {
        order.push(tickets.iter().position(|it| *it == Entry::Waiting(first)));
        queue.leave(first);
    }
    assert_eq!(order, [3, 2, 1, 0].map(Some));
}

/// A request that is on time only if it queues is not kept back by one that needs a free slot: else both were late.
#[test]
fn a_request_that_needs_a_free_slot_does_not_keep_back_one_that_may_queue() {
    let (_, keys) = table(&[("e-1", &[])]);
    let mut queue = Queue::default();
    let mut old = claim(&load("a", 1, 1), keys[0], at(0));
    old.target = at(400);
    let Entry::Waiting(ticket) = queue.wait(old, None, at(300)) else {
        panic!("the queue is empty");
    };
    let new = claim(&load("b", 1, 1), keys[0], at(300));
    assert_eq!(queue.turn(&new, None, ms(200), at(300)), Turn::Take);
    let turn = queue.turn(&new, None, Duration::ZERO, at(300));
    assert_eq!(turn, Turn::After(ticket));
    // It asks no more, so nobody waits for it.
    assert_eq!(queue.turn(&new, None, Duration::ZERO, at(500)), Turn::Take);
}

#[test]
fn a_flood_is_bounded_and_displaces_nobody_more_urgent() {
    let (_, keys) = table(&[("e-1", &[])]);
    let mut queue = Queue::default();
    let less_urgent = claim(&load("a", 1, 1), keys[0], at(0));
    let entries: Vec<Entry> = (0..1000)
        .map(|_| queue.wait(less_urgent.clone(), None, at(0)))
        .collect();
    let bound = queue.len();
    assert!(bound < 100 && entries[999] == Entry::Full);
    let urgent = claim(&load("b", 0, 1), keys[0], at(0));
    for _ in 0..1000 {
        queue.wait(urgent.clone(), None, at(0));
    }
    let Some(first) = queue.first(keys[0], at(0)) else {
        panic!("requests wait");
    };
    let is_in = |it: &Entry| matches!(it, Entry::Waiting(it) if queue.engine(*it).is_some());
    assert_eq!((queue.len(), entries.iter().any(is_in)), (bound, false));
    assert_eq!(queue.wait(less_urgent, None, at(0)), Entry::Full);
    assert!(queue.engine(first).is_some());
}

/// 100 requests are refused within 100 ms, at a host that gets 40 a second served.
#[test]
fn refused_callers_come_back_one_after_the_other_and_within_a_third_of_their_time() {
    let mut queue = Queue::default();
    for now in 0..200 {
        queue.record_taken(None, 1000.0, at(now * 25));
    }
    let back = |queue: &mut Queue, now: u64, left: u64| {
        queue.retry_after(ms(300), ms(left), 0.5, at(now)) + ms(now)
    };
    let times: Vec<Duration> = (5000..5100)
        .map(|now| back(&mut queue, now, 60_000))
        .collect();
    // Who is refused later, as a client that repeats at once, comes back later.
    assert!(times.is_sorted_by(|a, b| a < b), "{times:?}");
    let within_a_second = |from: &Duration| {
        let until = *from + ms(1000);
        times
            .iter()
            .filter(|it| *it >= from && **it < until)
            .count()
    };
    let most = times.iter().map(within_a_second).max();
    assert!(most.is_some_and(|it| it <= 40), "{times:?}");
    let hurried = back(&mut queue, 5100, 1200);
    assert!(hurried <= ms(5500), "{hurried:?}");
    let alone = |drain: u64, random: f64| {
        Queue::default().retry_after(ms(drain), ms(60_000), random, at(0))
    };
    assert!(alone(0, 1.0) >= ms(250));
    assert_eq!(alone(2000, 0.5), ms(2000));
    // If nobody can be given a moment of its own, chance spreads them.
    let spread: Vec<Duration> = (0..10)
        .map(|it| alone(60_000, f64::from(it) / 9.0))
        .collect();
    assert!(spread.is_sorted_by(|a, b| a > b) && spread[0] <= ms(6000));
    assert!(spread[9] <= ms(4500), "{spread:?}");
}
