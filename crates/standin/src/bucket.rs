//! A token bucket.

use std::time::{Duration, Instant};

/// Lets a number of calls a second through; the default has no limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: Option<Instant>,
}

impl Bucket {
    /// A full bucket. A rate of zero is no limit.
    pub fn new(rate: f64, burst: f64) -> Self {
        let burst = burst.max(1.0);
        Self {
            rate,
            burst,
            tokens: burst,
            filled: None,
        }
    }

    /// Takes a token if there is one.
    pub fn take(&mut self, now: Instant) -> bool {
        if self.rate <= 0.0 {
            return true;
        }
        let passed = self
            .filled
            .map_or(Duration::ZERO, |it| now.duration_since(it));
        self.filled = Some(now);
        self.tokens = (self.tokens + passed.as_secs_f64() * self.rate).min(self.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
