//! Decides when another engine is sought for a retryable request whose engine is silent.
//!
//! Engines may hang on some requests or on all, responses may be lost after the request has run, and
//! connections may go silent without a reset. Other engines are merely busy and keep their requests: a request that
//! leaves a queue loses its place, and its retry makes the overload worse. With many hosts, a host has
//! few requests at each engine, so its own connections don't show whether an engine is alive.
//!
//! A silence may also end by itself, so it is no reason to close the connection to the engine before another one has
//! the request.

use std::time::Duration;

use crate::catalog::{RequestKind, Route};

/// Time without any data from an engine, on all its connections, after which it may hang.
const ENGINE_SILENCE: Duration = Duration::from_millis(900);

/// Wait after which another engine is sought if an engine is silent on all its connections.
const SILENT_ENGINE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Wait for the next event after which another engine is sought for a stream if its engine still answers others.
/// The platform's callers disconnect after a gap of two seconds or more.
const NEXT_EVENT_TIMEOUT: Duration = Duration::from_millis(1900);

/// Wait for the first event after which another engine is sought for a stream, in addition to twice the expected wait.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1700);

/// Wait for a whole response after which another engine is sought for an idempotent request: a multiple of the
/// latency target, and the minimum.
const RESPONSE_TARGET_MULTIPLE: u32 = 4;
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Part of the response that a request waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The head of the response, with the expected time to the first event.
    Head(Duration),
    /// The first event after the head, with the expected time to it.
    FirstEvent(Duration),
    /// The next event.
    NextEvent,
}

/// State of the engine that a request waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineState {
    /// Time since any host is known to have received data from the engine.
    pub silence: Duration,
    /// Time by which reports of other hosts lag behind.
    pub report_lag: Duration,
    /// Expected time until the engine has a free slot for all requests that wait there.
    pub queue_wait: Duration,
}

/// Result of [`check_wait`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Check again after this time.
    Wait(Duration),
    /// The engine is considered hung; seek another one.
    Hung,
}

/// Decides whether to continue a wait that has lasted for `waited`.
pub fn check_wait(route: &Route, stage: Stage, waited: Duration, engine: EngineState) -> Verdict {
    let timeout = match (route.kind, stage) {
        (RequestKind::AtMostOnce | RequestKind::Stream, _) => return Verdict::Wait(Duration::MAX),
        (RequestKind::Idempotent, _) => {
            MIN_RESPONSE_TIMEOUT.max(route.latency_target * RESPONSE_TARGET_MULTIPLE)
        }
        (RequestKind::Resumable, Stage::NextEvent) => NEXT_EVENT_TIMEOUT,
        (RequestKind::Resumable, Stage::Head(expected) | Stage::FirstEvent(expected)) => {
            FIRST_EVENT_TIMEOUT + expected.max(engine.queue_wait) * 2
        }
    };
    let silence = engine.silence;
    let max_silence = ENGINE_SILENCE + engine.report_lag;
    let engine_silent = silence >= max_silence && waited >= SILENT_ENGINE_TIMEOUT;
    if waited >= timeout || engine_silent {
        return Verdict::Hung;
    }
    let until_engine_silent = SILENT_ENGINE_TIMEOUT
        .saturating_sub(waited)
        .max(max_silence.saturating_sub(silence))
        .max(Duration::from_millis(1));
    Verdict::Wait(until_engine_silent.min(timeout.saturating_sub(waited)))
}
