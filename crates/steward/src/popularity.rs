//! How often something is asked for, with old asks counting less.

use std::time::{Duration, Instant};

/// A count of asks that halves in a fixed time.
#[derive(Clone, Copy, Debug)]
pub struct Popularity {
    value: f64,
    at: Instant,
}

impl Popularity {
    /// No ask yet.
    pub fn new(now: Instant) -> Self {
        Self {
            value: 0.0,
            at: now,
        }
    }

    /// Counts one ask.
    pub fn count(&mut self, half_life: Duration, now: Instant) {
        self.value = self.value(half_life, now) + 1.0;
        self.at = now;
    }

    /// The count as it stands now.
    pub fn value(&self, half_life: Duration, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.value * (-age / half_life.as_secs_f64()).exp2()
    }
}
