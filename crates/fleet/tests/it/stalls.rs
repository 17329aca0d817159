//! Tests of timeouts for silent engines and for calls to the store.

use std::time::Duration;

use fleet::{
    catalog::RequestKind,
    stall::{Stage, Verdict, check_wait},
    store_call::{self, Call, RecoveryBound},
};

use crate::fixture::{ms, route};

/// Returns how long a wait lasts until it is given up, if that is within a minute.
fn time_until_hung(kind: RequestKind, stage: Stage, engine_sends: bool) -> Option<Duration> {
    let mut waited = Duration::ZERO;
    while waited < Duration::from_mins(1) {
        let silence = if engine_sends { ms(10) } else { waited };
        match check_wait(&route(kind), stage, waited, silence) {
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
