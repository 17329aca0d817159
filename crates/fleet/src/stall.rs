//! When a request that may be repeated is taken from an engine that says nothing.
//!
//! Load pattern that this answers: engines that hang on some requests or on all, answers that are lost
//! after the run, and connections that go silent without a reset, beside engines that are only busy.

use std::time::Duration;

use crate::catalog::{RequestKind, Route};

/// Silence of an engine on all its connections after which it may hang.
const SILENT: Duration = Duration::from_millis(900);

/// Wait after which a request is taken from an engine that is silent to all.
const SILENT_TO_ALL: Duration = Duration::from_millis(1500);

/// Wait for the next event after which a stream is taken from an engine that still answers others. The
/// platform's callers leave after a gap of two seconds or more.
const NEXT_EVENT: Duration = Duration::from_millis(1900);

/// The same for the first event, beside the expected wait.
const FIRST_EVENT: Duration = Duration::from_millis(1700);

/// The same for a whole answer: so many times the time in which it should be there, and at the least.
const ANSWER_PART: u32 = 4;
const ANSWER: Duration = Duration::from_millis(400);

/// What a request waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The head of the answer; the time to the first event that was expected.
    Head(Duration),
    /// The first event after the head.
    FirstEvent(Duration),
    /// The next event.
    NextEvent,
}

/// What to do about a wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Look again after this time.
    Wait(Duration),
    /// It won't come.
    Hung,
}

/// Judges a wait of `waited`. `silence` is the time since the engine said anything to anyone.
pub fn check_wait(route: &Route, stage: Stage, waited: Duration, silence: Duration) -> Verdict {
    let longest = match (route.kind, stage) {
        (RequestKind::AtMostOnce | RequestKind::Stream, _) => return Verdict::Wait(Duration::MAX),
        (RequestKind::Idempotent, _) => ANSWER.max(route.latency_target * ANSWER_PART),
        (RequestKind::Resumable, Stage::NextEvent) => NEXT_EVENT,
        (RequestKind::Resumable, Stage::Head(expected) | Stage::FirstEvent(expected)) => {
            FIRST_EVENT + expected * 2
        }
    };
    let silent = silence >= SILENT && waited >= SILENT_TO_ALL;
    if waited >= longest || silent {
        return Verdict::Hung;
    }
    let until_silent = SILENT_TO_ALL
        .saturating_sub(waited)
        .max(SILENT.saturating_sub(silence))
        .max(Duration::from_millis(1));
    Verdict::Wait(until_silent.min(longest.saturating_sub(waited)))
}
