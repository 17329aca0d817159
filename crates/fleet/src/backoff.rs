//! Back-off from one engine that rejects requests and says for how long it wants none from this host.
//!
//! Expected load: an overloaded engine rejects the requests of many hosts at the same moment with the same
//! time. If they all returned at the end of that time, it would be overloaded again.

use std::time::Duration;

use crate::Time;

/// Longest back-off that is honored, in case an engine states an absurd one.
pub const MAX_BACKOFF: Duration = Duration::from_mins(10);

/// Maximum random delay after the end of a back-off, relative to its length.
const JITTER_FRACTION: f64 = 0.25;

/// Maximum random delay after the end of a back-off.
const MAX_JITTER: Duration = Duration::from_millis(500);

/// Time after a back-off in which requests are sent one at a time.
const RAMP_TIME: Duration = Duration::from_secs(1);

/// Minimum time between two requests within [`RAMP_TIME`].
const RAMP_INTERVAL: Duration = Duration::from_millis(100);

/// Back-off of this host from one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    closed_until: Option<Time>,
    last_start: Time,
}

impl Backoff {
    /// Records that the engine wants no requests for this time. `random` is between 0 and 1 and
    /// spreads the returns of the hosts. A shorter time than the one in effect changes nothing.
    pub fn close(&mut self, time: Duration, random: f64, now: Time) {
        let time = time.min(MAX_BACKOFF);
        let jitter = time.mul_f64(JITTER_FRACTION).min(MAX_JITTER);
        let until = now + time + jitter.mul_f64(random.clamp(0.0, 1.0));
        self.closed_until = self.closed_until.max(Some(until));
    }

    /// Returns when the next request may be sent, if that is later than `now`.
    pub fn closed_until(&self, now: Time) -> Option<Time> {
        let until = self.closed_until?;
        if until > now {
            return Some(until);
        }
        let next = self.last_start + RAMP_INTERVAL;
        (now < until + RAMP_TIME && next > now).then_some(next)
    }

    /// Returns whether the engine wants no requests now. Unlike [`Self::closed_until`], this doesn't depend on the requests
    /// of this host.
    pub fn is_closed(&self, now: Time) -> bool {
        self.closed_until.is_some_and(|it| it > now)
    }

    /// Records that a request is sent.
    pub fn record_start(&mut self, now: Time) {
        self.last_start = now;
    }
}
