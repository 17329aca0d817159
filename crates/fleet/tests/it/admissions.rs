//! Replay of a load that exceeds what the engines can serve, with and without admission.

use std::{collections::VecDeque, time::Duration};

use fleet::admission::{CONFIRMATION_TIME, Candidate, Decision, decide, queue_target};

use crate::fixture::ms;

/// Slots of all engines together.
const SLOTS: usize = 48;

/// Average run time of a request in ms.
const RUN_TIME: u64 = 2000;

/// Returns the run time of the request with this number in ms. Run times are spread, as lengths of answers are.
fn run_time(number: usize) -> u64 {
    400 + u64::try_from(number).expect("it fits") * 797 % 3200
}

/// Latency target in ms.
const TARGET: u64 = 800;

/// Time in ms for which a request is held at most.
const MAX_HOLD: u64 = 2200;

/// Results of a replay.
#[derive(Debug, Default)]
struct Results {
    on_time: usize,
    late: usize,
    refused: usize,
}

/// Who decides on requests.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Admission {
    /// All requests are sent to the engines at once.
    None,
    /// [`decide`] decides.
    Decides,
}

/// Replays 40 s. Requests arrive at `load` times the rate that the slots can serve; for the first 6 s only half of
/// the slots exist, as after the crash of engines.
fn replay(admission: Admission, load: f64) -> Results {
    let interval = f64_ms(RUN_TIME) / f64::from(u32::try_from(SLOTS).expect("it fits")) / load;
    let mut results = Results::default();
    let mut running: Vec<u64> = Vec::new();
    // Arrival times of the requests that wait at the engines, and of those held at the host with their next check.
    let mut queue: VecDeque<u64> = VecDeque::new();
    let mut held: Vec<(u64, u64)> = Vec::new();
    let mut next_arrival = 0.0;
    for now in 0..40_000_u64 {
        let slots = if now < 6000 { SLOTS / 2 } else { SLOTS };
        running.retain(|end| *end > now);
        while next_arrival <= f64_ms(now) {
            held.push((now, now));
            next_arrival += interval;
        }
        for (arrived, check) in std::mem::take(&mut held) {
            if check > now {
                held.push((arrived, check));
                continue;
            }
            let excess = (running.len() + queue.len() + 1).saturating_sub(slots);
            let queue_wait = ms(RUN_TIME * u64::try_from(excess).expect("it fits")
                / u64::try_from(slots).expect("it fits"));
            let candidate = Candidate {
                waited: ms(now - arrived),
                target: ms(TARGET),
                max_hold: ms(MAX_HOLD),
                expected_wait: queue_wait + ms(100),
                queue_wait,
                confirmed_after: Duration::ZERO,
                wait_ahead: Duration::ZERO,
                random: 0.5,
            };
            let decision = match admission {
                Admission::None => Decision::Send,
                Admission::Decides => decide(&candidate),
            };
            match decision {
                Decision::Send => queue.push_back(arrived),
                Decision::Hold(pause) => {
                    let pause = u64::try_from(pause.as_millis()).expect("it fits");
                    held.push((arrived, now + pause));
                }
                Decision::Refuse => results.refused += 1,
            }
        }
        while running.len() < slots
            && let Some(arrived) = queue.pop_front()
        {
            running.push(now + run_time(results.on_time + results.late));
            if now - arrived + 100 <= TARGET {
                results.on_time += 1;
            } else {
                results.late += 1;
            }
        }
    }
    results
}

fn f64_ms(it: u64) -> f64 {
    f64::from(u32::try_from(it).expect("it fits"))
}

/// Without admission the queue of the first seconds never drains, and every later request is late. With it, nearly
/// all that the slots can serve is on time, and no slot is free while a request waits.
#[test]
fn an_overload_makes_few_requests_late() {
    for load in [1.0, 1.15, 1.4] {
        let without = replay(Admission::None, load);
        let with = replay(Admission::Decides, load);
        let served = |it: &Results| it.on_time + it.late;
        assert!(
            without.on_time * 5 < served(&without),
            "{load}: {without:?}"
        );
        assert!(with.on_time * 10 > served(&with) * 8, "{load}: {with:?}");
        assert!(
            served(&with) * 100 >= served(&without) * 98,
            "{load}: {with:?}"
        );
    }
}

#[test]
fn nothing_is_held_or_refused_while_a_slot_is_free() {
    let results = replay(Admission::Decides, 0.45);
    assert_eq!((results.late, results.refused), (0, 0), "{results:?}");
    let late = Candidate {
        waited: ms(5000),
        target: ms(800),
        max_hold: ms(2200),
        expected_wait: ms(300),
        queue_wait: Duration::ZERO,
        confirmed_after: Duration::ZERO,
        wait_ahead: Duration::ZERO,
        random: 0.5,
    };
    assert_eq!(decide(&late), Decision::Send);
}

/// A burst that a service drains in 3 s: who is among its last third is not held for 2.2 s in vain.
#[test]
fn a_request_that_gets_no_slot_in_its_time_is_refused_at_once() {
    let arriving = |ahead: u64| Candidate {
        waited: ms(0),
        target: ms(800),
        max_hold: ms(MAX_HOLD),
        expected_wait: ms(1000),
        queue_wait: ms(900),
        confirmed_after: Duration::ZERO,
        wait_ahead: ms(ahead),
        random: 0.5,
    };
    let decisions = (0..=20).map(|it| decide(&arriving(it * 100)));
    let (held, refused): (Vec<_>, Vec<_>) =
        decisions.partition(|it| matches!(it, Decision::Hold(_)));
    assert_eq!((held.len(), refused.len()), (13, 8));
}

/// A route with a longer target must not fill the queues up to it, or a more urgent one with a shorter target finds
/// them too long for itself.
#[test]
fn a_less_urgent_route_leaves_queueing_time_to_a_more_urgent_one() {
    assert_eq!(queue_target(ms(800), None), ms(800));
    assert!(queue_target(ms(800), Some(ms(600))) < ms(600));
    assert!(queue_target(ms(800), Some(ms(1000))) < ms(800));
    // The target of another route never takes the whole time.
    assert!(queue_target(ms(800), Some(ms(1))) >= ms(300));
}

/// Replays the first moments of a burst, in which a host counts requests of others twice and takes all engines for full.
#[test]
fn a_request_is_not_refused_before_it_is_certain_that_the_engine_is_full() {
    let decide_after = |waited: u64| {
        decide(&Candidate {
            waited: ms(waited),
            target: ms(800),
            max_hold: ms(2200),
            expected_wait: ms(2400),
            queue_wait: ms(2400),
            confirmed_after: CONFIRMATION_TIME,
            wait_ahead: Duration::ZERO,
            random: 0.5,
        })
    };
    assert!(matches!(decide_after(100), Decision::Hold(_)));
    assert_eq!(decide_after(400), Decision::Refuse);
}
