//! Timeouts and schedules of calls to the store. A call that begins while the store is down is never answered, so a long
//! timeout would delay the detection of the store's recovery.

use std::time::Duration;

use crate::Time;

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

/// Returns how long the answer to a probe is waited for.
pub fn probe_timeout(bound: RecoveryBound) -> Duration {
    bound.0.mul_f64(PROBE_TIMEOUT_FRACTION)
}

/// Returns the next call; `answered` is true if the store answered the last one.
pub fn next_call(bound: RecoveryBound, answered: bool) -> Call {
    if answered {
        Call::Watch(
            longest_watch(bound),
            bound.0.mul_f64(WATCH_TIMEOUT_FRACTION),
        )
    } else {
        Call::Probe(probe_timeout(bound))
    }
}

/// Schedule of a repeated call to the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Schedule {
    due: Time,
}

impl Schedule {
    /// Returns whether the call is due.
    pub fn is_due(self, now: Time) -> bool {
        self.due <= now
    }

    /// Makes the call due at once, because the store is available again or has lost changes.
    pub fn reset(&mut self) {
        self.due = Time::ZERO;
    }

    /// Records an attempt that was sent at `sent`: a successful one is repeated after `interval`, a failed one
    /// after [`RETRY_INTERVAL`], varied by `random` between 0 and 1.
    pub fn record(&mut self, attempt: Attempt, interval: Duration, random: f64, sent: Time) {
        self.due = sent
            + match attempt {
                Attempt::Done => interval,
                Attempt::Changed => Duration::ZERO,
                Attempt::Failed => RETRY_INTERVAL.mul_f64(0.75 + random.clamp(0.0, 1.0) / 2.0),
            };
    }
}

/// Outcome of a call that a [`Schedule`] repeats.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Attempt {
    /// The store answered.
    Done,
    /// The store answered that the object has changed. The call is repeated at once.
    Changed,
    /// The store didn't answer, or rejected the call.
    Failed,
}

/// Average time after which a failed call is repeated. It is short compared with the term of a lease.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(1500);
