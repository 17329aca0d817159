//! Tests of timeouts for silent engines and for calls to the store.

use std::time::Duration;

use fleet::{
    catalog::RequestKind,
    stall::{EngineState, Stage, Verdict, check_wait},
    store_call::{self, Call, RecoveryBound},
};

use crate::fixture::{ms, route};

/// Returns how long a wait lasts until it is given up, if that is within a minute.
fn time_until_hung(kind: RequestKind, stage: Stage, engine_sends: bool) -> Option<Duration> {
    time_until_hung_in_queue(kind, stage, engine_sends, Duration::ZERO)
}

/// Returns the same for an engine with a queue that takes `queue_wait`.
fn time_until_hung_in_queue(
    kind: RequestKind,
    stage: Stage,
    engine_sends: bool,
    queue_wait: Duration,
) -> Option<Duration> {
    let mut waited = Duration::ZERO;
    while waited < Duration::from_mins(1) {
        let engine = EngineState {
            silence: if engine_sends { ms(10) } else { waited },
            report_lag: Duration::ZERO,
            queue_wait,
        };
        match check_wait(&route(kind), stage, waited, engine) {
            Verdict::Hung => return Some(waited),
            Verdict::Wait(step) => {
                assert!(step > Duration::ZERO, "the pause must not be zero");
                waited += step.min(ms(50));
            }
        }
    }
    None
}

#[test]
fn requests_that_may_run_at_most_once_are_never_given_up() {
    for kind in [RequestKind::AtMostOnce, RequestKind::Stream] {
        assert_eq!(time_until_hung(kind, Stage::NextEvent, false), None);
    }
}

/// Callers disconnect after a gap of two seconds or more, so a stream must be resumed before that.
#[test]
fn a_stream_is_given_up_before_its_caller_disconnects() {
    let caller_disconnects = Duration::from_secs(2);
    for engine_sends in [true, false] {
        let at = time_until_hung(RequestKind::Resumable, Stage::NextEvent, engine_sends)
            .expect("the wait is given up");
        assert!(at < caller_disconnects, "{at:?}");
    }
}

#[test]
fn an_expected_wait_in_a_queue_is_not_given_up() {
    let expected = ms(900);
    let at = time_until_hung(RequestKind::Resumable, Stage::FirstEvent(expected), true)
        .expect("the wait is given up");
    assert!(at > expected * 2);
}

/// At the worst load, engines have queues that grew after the request was placed. The hosts that gave up there
/// lost their places and spent the retry budget.
#[test]
fn a_request_in_a_queue_that_grew_keeps_its_place_unless_the_engine_is_silent() {
    let stage = Stage::FirstEvent(ms(100));
    let at = |engine_sends, queue_wait| {
        time_until_hung_in_queue(RequestKind::Resumable, stage, engine_sends, queue_wait)
            .expect("the wait is given up")
    };
    assert!(at(true, ms(1200)) > ms(1200) * 2);
    assert!(at(false, ms(1200)) < ms(2000));
    assert!(at(true, Duration::ZERO) < ms(2000));
}

/// The reports of other hosts lag behind in a large fleet. An engine isn't silent before one was due.
#[test]
fn an_engine_is_not_silent_before_other_hosts_could_report() {
    let engine = |silence: u64, lag: u64| EngineState {
        silence: ms(silence),
        report_lag: ms(lag),
        queue_wait: ms(1000),
    };
    let route = route(RequestKind::Resumable);
    let stage = Stage::Head(ms(100));
    let verdict = |silence, lag| check_wait(&route, stage, ms(1600), engine(silence, lag));
    assert_eq!(verdict(1000, 0), Verdict::Hung);
    assert_ne!(verdict(1000, 200), Verdict::Hung);
    assert_eq!(verdict(1200, 200), Verdict::Hung);
}

#[test]
fn a_silent_idempotent_request_is_given_up_while_there_is_time_for_a_retry() {
    let at = time_until_hung(RequestKind::Idempotent, Stage::Head(ms(20)), true)
        .expect("the wait is given up");
    let timeout = route(RequestKind::Idempotent).timeout;
    assert!(at < timeout / 2, "{at:?}");
}

/// A call that began before or during an outage must not delay the detection of the recovery beyond the
/// bound.
#[test]
fn the_recovery_of_the_store_is_detected_within_the_bound() {
    for bound in [3000, 4000] {
        let bound = ms(bound);
        let Call::Watch(wait, timeout) = store_call::next_call(RecoveryBound(bound), true) else {
            panic!("a store that answers must be watched");
        };
        assert!(wait < timeout && timeout < bound);
        let Call::Probe(timeout) = store_call::next_call(RecoveryBound(bound), false) else {
            panic!("a store that doesn't answer must be probed");
        };
        assert!(timeout * 2 < bound);
    }
}
