//! Timeouts of calls to the store. A call that begins while the store is down is never answered, so a long
//! timeout would delay the detection of the store's recovery.

use std::time::Duration;

/// Longest time after which a host must have noticed that the store is back.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryBound(pub Duration);

/// A call to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Call {
    /// Wait this long for a change; the second duration is the timeout of the whole call.
    Watch(Duration, Duration),
    /// Request existing data, with this timeout.
    Probe(Duration),
}

/// Fraction of the bound for which a watch waits; the rest is left for a slow answer.
const WATCH_FRACTION: f64 = 0.66;

/// Fraction of the bound for a whole watch, since the bound also covers calls that began before the outage.
const WATCH_TIMEOUT_FRACTION: f64 = 0.95;

/// Fraction of the bound for the answer to a probe.
const PROBE_TIMEOUT_FRACTION: f64 = 0.2;

/// Returns how long a watch waits at most.
pub fn longest_watch(bound: RecoveryBound) -> Duration {
    bound.0.mul_f64(WATCH_FRACTION)
}

/// Returns the next call; `answered` is true if the store answered the last one.
pub fn next_call(bound: RecoveryBound, answered: bool) -> Call {
    if answered {
        Call::Watch(
            longest_watch(bound),
            bound.0.mul_f64(WATCH_TIMEOUT_FRACTION),
        )
    } else {
        Call::Probe(bound.0.mul_f64(PROBE_TIMEOUT_FRACTION))
    }
}
