//! Notices that popularity shifts, and makes the past count less while it does.
//!
//! The sign of a shift is a rise in the share of asks that call for an eviction. A restart of
//! engines gives no such sign, since it leaves their slots free.

use std::time::{Duration, Instant};

/// What a new ask weighs in the fast average.
const FAST_WEIGHT: f64 = 1.0 / 64.0;

/// What a new ask weighs in the slow average.
const SLOW_WEIGHT: f64 = 1.0 / 1024.0;

/// How far the fast average rises above the slow one in a shift.
const RISE: f64 = 0.1;

/// How much faster popularity ages in a shift.
const SPEED: u32 = 8;

/// What an ask says of the adapters that are loaded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Hit {
    /// The adapter is loaded, on its way, or has a free slot to go to.
    Hit,
    /// Another adapter has to make room.
    Miss,
}

/// The age of popularity, which runs ahead of the clock.
#[derive(Clone, Debug)]
pub struct Drift {
    fast: f64,
    slow: f64,
    ahead: Duration,
    at: Option<Instant>,
}

impl Drift {
    /// No ask yet.
    pub fn new() -> Self {
        Self {
            fast: 1.0,
            slow: 1.0,
            ahead: Duration::ZERO,
            at: None,
        }
    }

    /// Takes in an ask.
    pub fn note(&mut self, hit: Hit, now: Instant) {
        if self.is_shifting() {
            let elapsed = self
                .at
                .map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
            self.ahead += elapsed * (SPEED - 1);
        }
        self.at = Some(now);
        let missed = if hit == Hit::Miss { 1.0 } else { 0.0 };
        self.fast += (missed - self.fast) * FAST_WEIGHT;
        self.slow += (missed - self.slow) * SLOW_WEIGHT;
    }

    /// The time by which popularity is reckoned.
    pub fn age(&self, now: Instant) -> Instant {
        now + self.ahead
    }

    fn is_shifting(&self) -> bool {
        self.fast > self.slow + RISE
    }
}
