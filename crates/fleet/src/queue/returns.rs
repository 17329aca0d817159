//! When refused callers are asked to come back.

use std::time::Duration;

use crate::Time;

/// Shortest and longest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(6);

/// Part of the rate at which this host gets requests served that is meant for callers who come back.
const RETURN_FRACTION: f64 = 0.5;

/// Part of its remaining time after which a caller comes back at the latest.
const MAX_LEFT_FRACTION: f64 = 1.0 / 3.0;

/// Relative range of the random part, downwards.
const SPREAD: f64 = 0.3;

/// Time over which the rate of served requests is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(2);

/// Schedule of the callers that come back. Each is given the next free moment, so that whoever is refused first comes
/// back first, and a repeated request gets a later moment than the one before.
#[derive(Clone, Debug, Default)]
pub(super) struct Returns {
    last: Time,
    /// Weighted number of requests that were served recently, and when it was last changed.
    served: (f64, Time),
}

impl Returns {
    /// Records a request that is served.
    pub(super) fn record_served(&mut self, now: Time) {
        self.served = (self.recently_served(now) + 1.0, now);
    }

    /// Returns the time after which the next caller is to come back: when what is in its way has drained, and no sooner
    /// than the callers refused before it leave room.
    pub(super) fn next(
        &mut self,
        drain: Duration,
        left: Duration,
        random: f64,
        now: Time,
    ) -> Duration {
        let rate = self.recently_served(now).max(1.0) / RATE_WINDOW.as_secs_f64() * RETURN_FRACTION;
        let earliest = now + drain.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let next = self.last + Duration::from_secs_f64(1.0 / rate);
        self.last = next.clamp(earliest, now + MAX_RETRY_AFTER);
        let wait = self.last.saturating_sub(now);
        let limit = left.mul_f64(MAX_LEFT_FRACTION);
        // Those that can't be given a moment of their own are spread over the time before it.
        if wait < limit && wait < MAX_RETRY_AFTER {
            wait
        } else {
            wait.min(limit)
                .mul_f64(1.0 - SPREAD * random.clamp(0.0, 1.0))
        }
    }

    fn recently_served(&self, now: Time) -> f64 {
        let (served, at) = self.served;
        let age = now.saturating_sub(at).as_secs_f64() / RATE_WINDOW.as_secs_f64();
        served * (-age).exp()
    }
}
