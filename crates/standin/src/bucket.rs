//! Token bucket rate limiter.

use std::time::{Duration, Instant};

/// Limits the number of calls per second. The default has no limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Option<Instant>,
}

impl Bucket {
    /// Creates a full bucket. A rate of zero means no limit.
    pub fn new(rate: f64, burst: f64) -> Self {
        let burst = burst.max(1.0);
        Self {
            rate,
            burst,
            tokens: burst,
            refilled_at: None,
        }
    }

    /// Takes a token if one is available and returns whether the call may proceed.
    pub fn try_take(&mut self, now: Instant) -> bool {
        if self.rate <= 0.0 {
            return true;
        }
        let elapsed = self
            .refilled_at
            .map_or(Duration::ZERO, |it| now.duration_since(it));
        self.refilled_at = Some(now);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
