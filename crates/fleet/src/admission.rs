//! Decides whether a placed request is sent now, held at its host, or refused.
//!
//! Expected load: a little more than the engines can serve, after a crash or a burst. If all requests queue at the
//! engines, the queue settles where every request just misses its latency target, and it drains only when the load
//! falls. Therefore only requests that are expected to meet their target may queue at an engine. A request that can't
//! meet it gives way: it is held at its host and takes a slot that would otherwise be free.

use std::time::Duration;

/// Time between two checks of a held request.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Part of the queue's expected time that is added for its uncertainty: run times differ widely.
const QUEUE_MARGIN: f64 = 0.5;

/// Part of the queueing time of a more urgent route that the requests of a less urgent one may use.
const LESS_URGENT_FRACTION: f64 = 0.85;

/// Time in which the reports of other hosts correct what a host believes of an engine. For a moment, a request of another
/// host may count twice: once as announced, once as reported.
pub const CONFIRMATION_TIME: Duration = Duration::from_millis(400);

/// A request with a chosen engine.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Time since the caller's request arrived.
    pub waited: Duration,
    /// Time from the arrival to the first event within which the response is on time.
    pub target: Duration,
    /// Time from the arrival after which the request is no longer held.
    pub max_hold: Duration,
    /// Expected time to the first event at the engine.
    pub expected_wait: Duration,
    /// Part of `expected_wait` until the engine has a free slot.
    pub queue_wait: Duration,
    /// Time from the arrival after which what is believed of the engine is confirmed.
    pub confirmed_after: Duration,
    /// Time that the requests take which come first among those held for the engine.
    pub wait_ahead: Duration,
    /// Random number between 0 and 1.
    pub random: f64,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Send the request to the engine.
    Send,
    /// Place the request again after this time.
    Hold(Duration),
    /// Refuse the request.
    Refuse,
}

/// Decides on a request.
pub fn decide(candidate: &Candidate) -> Decision {
    let Candidate {
        waited,
        target,
        expected_wait,
        queue_wait,
        ..
    } = *candidate;
    if may_queue(waited, target, expected_wait, queue_wait) {
        return Decision::Send;
    }
    // It gets no slot in the time for which it may be held, so its caller is told at once if that is certain.
    let until_slot = (queue_wait + candidate.wait_ahead).max(CHECK_INTERVAL);
    let is_confirmed = waited >= candidate.confirmed_after;
    if waited + until_slot < candidate.max_hold
        || !is_confirmed && waited + CHECK_INTERVAL < candidate.max_hold
    {
        let jitter = 0.5 + candidate.random.clamp(0.0, 1.0);
        return Decision::Hold(CHECK_INTERVAL.mul_f64(jitter));
    }
    Decision::Refuse
}

/// Returns whether a request may be sent to an engine: it is expected to be on time, or takes a free slot.
pub fn may_queue(
    waited: Duration,
    target: Duration,
    expected_wait: Duration,
    queue_wait: Duration,
) -> bool {
    queue_wait.is_zero() || waited + expected_wait + queue_wait.mul_f64(QUEUE_MARGIN) <= target
}

/// Returns the target by which requests may queue that leave a part of their time to others.
pub fn yielding_target(target: Duration) -> Duration {
    target.mul_f64(LESS_URGENT_FRACTION)
}

/// Returns the target by which requests of a route may queue. A less urgent route must not keep the queues longer
/// than a more urgent one of the same service can bear, and leaves it a part of its time. Half of its own target
/// is its minimum.
pub fn queue_target(target: Duration, most_urgent_target: Option<Duration>) -> Duration {
    match most_urgent_target {
        Some(it) => yielding_target(target.min(it).max(target / 2)),
        None => target,
    }
}
