//! Waits that are given up, and those that aren't.

use std::time::Duration;

use fleet::{
    catalog::RequestKind,
    stall::{Stage, Verdict, check_wait},
    store_call::{self, Call, RecoveryBound},
};

use crate::fixture::{ms, route};

/// The moment at which a wait is given up, if it is within a minute.
fn given_up(kind: RequestKind, stage: Stage, engine_talks: bool) -> Option<Duration> {
    let mut waited = Duration::ZERO;
    while waited < Duration::from_mins(1) {
        let silence = if engine_talks { ms(10) } else { waited };
        match check_wait(&route(kind), stage, waited, silence) {
            Verdict::Hung => return Some(waited),
            Verdict::Wait(step) => {
                assert!(step > Duration::ZERO, "no wait without time");
                waited += step.min(ms(50));
            }
        }
    }
    None
}

#[test]
fn what_may_run_once_is_never_taken_away() {
    for kind in [RequestKind::AtMostOnce, RequestKind::Stream] {
        assert_eq!(given_up(kind, Stage::NextEvent, false), None);
    }
}

/// Callers leave a stream after a gap of two seconds or more, so it has to go on before.
#[test]
fn a_stream_goes_on_before_its_caller_leaves() {
    let caller_leaves = Duration::from_secs(2);
    for talks in [true, false] {
        let at = given_up(RequestKind::Resumable, Stage::NextEvent, talks).expect("it is given up");
        assert!(at < caller_leaves, "{at:?}");
    }
}

#[test]
fn a_long_queue_that_was_expected_is_no_hang() {
    let expected = ms(900);
    let at = given_up(RequestKind::Resumable, Stage::FirstEvent(expected), true)
        .expect("it is given up");
    assert!(at > expected * 2);
}

#[test]
fn a_read_is_asked_again_while_there_is_time() {
    let at = given_up(RequestKind::Idempotent, Stage::Head(ms(20)), true).expect("it is given up");
    let whole = route(RequestKind::Idempotent).timeout;
    assert!(at < whole / 2, "{at:?}");
}

/// A call that began before or in a silence hides the store's return no longer than it may.
#[test]
fn the_return_of_the_store_is_noticed_in_time() {
    for blind in [3000, 4000] {
        let blind = ms(blind);
        let Call::Watch(wait, within) = store_call::next_call(RecoveryBound(blind), true) else {
            panic!("a store that answers is watched");
        };
        assert!(wait < within && within < blind);
        let Call::Probe(within) = store_call::next_call(RecoveryBound(blind), false) else {
            panic!("a store that doesn't answer is probed");
        };
        assert!(within * 2 < blind);
    }
}
