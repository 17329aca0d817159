//! How often an adapter is asked for, estimated from few asks.

use std::time::{Duration, Instant};

/// Asks that may fail to come, by the estimated rate, before the rate is taken to have fallen.
const MISSED_ASKS: f64 = 3.0;

/// How old asks lose their weight.
#[derive(Clone, Copy, Debug)]
pub struct Aging {
    /// The time in which the weight of an ask halves.
    pub half_life: Duration,
    /// How long a new adapter is taken to have been idle before its first ask.
    pub prior: Duration,
}

/// A weighted count of asks since the first one.
#[derive(Clone, Copy, Debug)]
pub struct Popularity {
    weight: f64,
    first: Instant,
    last: Instant,
}

impl Popularity {
    /// No ask yet.
    pub fn new(now: Instant) -> Self {
        Self {
            weight: 0.0,
            first: now,
            last: now,
        }
    }

    /// Counts one ask.
    pub fn count(&mut self, aging: Aging, now: Instant) {
        self.weight = self.weight(aging, now) + 1.0;
        self.last = self.last.max(now);
    }

    /// The rate to expect, in asks a second. It falls fast once several asks in a row that the
    /// rate so far promised have not come.
    pub fn rate(&self, aging: Aging, now: Instant) -> f64 {
        let idle = self.idle(now);
        let age = now.saturating_duration_since(self.first);
        let window = aging.window(age) + aging.prior.as_secs_f64();
        let before = self.weight / window;
        let missed = idle.as_secs_f64() * before - MISSED_ASKS;
        before * aging.decay(idle) * (-missed.max(0.0)).exp2()
    }

    /// The weight of the asks so far.
    fn weight(&self, aging: Aging, now: Instant) -> f64 {
        self.weight * aging.decay(self.idle(now))
    }

    fn idle(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last)
    }
}

impl Aging {
    fn decay(self, span: Duration) -> f64 {
        (-span.as_secs_f64() / self.half_life.as_secs_f64()).exp2()
    }

    /// The sum of the weights of an ask each second over a span.
    fn window(self, span: Duration) -> f64 {
        let full = self.half_life.as_secs_f64() / std::f64::consts::LN_2;
        full * (1.0 - self.decay(span))
    }
}
