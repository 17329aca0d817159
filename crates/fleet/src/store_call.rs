//! How long a call to the store may take. A call that begins while the store is silent is never
//! answered, so a long one would hide the store's return.

use std::time::Duration;

/// Longest time for which a host may not notice that the store answers again.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryBound(pub Duration);

/// A call to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Call {
    /// Wait for a change for so long, and for the answer for so long in all.
    Watch(Duration, Duration),
    /// Ask for something that is there, and wait for the answer for so long.
    Probe(Duration),
}

/// Part of the blind time that a watch waits; the rest is for a slow answer.
const WATCH_PART: f64 = 0.66;

/// The blind time holds for a call that began before the silence, too.
const WHOLE_PART: f64 = 0.95;

/// Part of the blind time for the answer to a probe.
const PROBE_PART: f64 = 0.2;

/// Longest time that a watch waits.
pub fn longest_watch(blind: RecoveryBound) -> Duration {
    blind.0.mul_f64(WATCH_PART)
}

/// The next call, after the last one was answered or not.
pub fn next_call(blind: RecoveryBound, answered: bool) -> Call {
    if answered {
        Call::Watch(longest_watch(blind), blind.0.mul_f64(WHOLE_PART))
    } else {
        Call::Probe(blind.0.mul_f64(PROBE_PART))
    }
}
