//! Estimates how often an adapter is requested, from few requests.

use std::time::{Duration, Instant};

/// Number of expected requests that may fail to arrive before the estimate drops.
const TOLERATED_MISSES: f64 = 3.0;

/// How past requests lose weight.
#[derive(Clone, Copy, Debug)]
pub struct Aging {
    /// The time in which the weight of a request halves.
    pub half_life: Duration,
    /// A new adapter counts as idle for this long before its first request.
    pub prior_idle: Duration,
}

/// A count of past requests, weighted by their age.
#[derive(Clone, Copy, Debug)]
pub struct Popularity {
    weighted_count: f64,
    created_at: Instant,
    last_request_at: Instant,
}

impl Popularity {
    /// Creates an estimate without any request.
    pub fn new(now: Instant) -> Self {
        Self {
            weighted_count: 0.0,
            created_at: now,
            last_request_at: now,
        }
    }

    /// Counts one request.
    pub fn record_request(&mut self, aging: Aging, now: Instant) {
        self.weighted_count = self.decayed_count(aging, now) + 1.0;
        self.last_request_at = self.last_request_at.max(now);
    }

    /// Returns the estimated rate in requests per second. The estimate drops fast once several
    /// requests expected at the observed rate have not arrived.
    pub fn rate(&self, aging: Aging, now: Instant) -> f64 {
        let idle = self.idle(now);
        let age = now.saturating_duration_since(self.created_at);
        let window = aging.weight_sum(age) + aging.prior_idle.as_secs_f64();
        let observed_rate = self.weighted_count / window;
        let missed = idle.as_secs_f64() * observed_rate - TOLERATED_MISSES;
        observed_rate * aging.decay(idle) * (-missed.max(0.0)).exp2()
    }

    /// Returns the weighted count as of now.
    fn decayed_count(&self, aging: Aging, now: Instant) -> f64 {
        self.weighted_count * aging.decay(self.idle(now))
    }

    fn idle(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_request_at)
    }
}

impl Aging {
    fn decay(self, span: Duration) -> f64 {
        (-span.as_secs_f64() / self.half_life.as_secs_f64()).exp2()
    }

    /// Returns the sum of the weights of one request per second over a span.
    fn weight_sum(self, span: Duration) -> f64 {
        let full = self.half_life.as_secs_f64() / std::f64::consts::LN_2;
        full * (1.0 - self.decay(span))
    }
}
