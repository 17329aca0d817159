//! This steward's share of the weight store's limits, and how much of it is used.

use std::time::{Duration, Instant};

/// A token bucket for the rate of loads, and a cap on the loads in flight.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: f64,
    depth: f64,
    tokens: f64,
    at: Option<Instant>,
    cap: u32,
    in_flight: u32,
}

/// Tolerance for rounding when tokens are compared, in tokens.
const ROUNDING: f64 = 1e-6;

impl Budget {
    /// No share yet, so no load may begin.
    pub fn new() -> Self {
        Self {
            rate: 0.0,
            depth: 0.0,
            tokens: 0.0,
            at: None,
            cap: 0,
            in_flight: 0,
        }
    }

    /// Takes over a new share. Tokens that were saved under the old one are kept up to the depth.
    pub fn share(&mut self, rate: f64, depth: u32, cap: u32, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.depth = f64::from(depth);
        self.tokens = self.tokens.min(self.depth);
        self.cap = cap;
    }

    /// Whether a load may begin now.
    pub fn is_ready(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.in_flight < self.cap && self.tokens + ROUNDING >= 1.0
    }

    /// Begins a load.
    pub fn begin(&mut self) {
        self.tokens -= 1.0;
        self.in_flight += 1;
    }

    /// Ends a load that was begun.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Gives back a load that was begun but never reached the store.
    pub fn undo(&mut self) {
        self.end();
        self.tokens = (self.tokens + 1.0).min(self.depth);
    }

    /// How long the load after `ahead` others has to wait for its token; none without a share.
    pub fn wait(&mut self, ahead: usize, now: Instant) -> Option<Duration> {
        self.refill(now);
        if self.rate <= 0.0 || self.depth < 1.0 || self.cap == 0 {
            return None;
        }
        #[expect(clippy::cast_precision_loss, reason = "queues are short")]
        let missing = (ahead as f64 + 1.0 - self.tokens - ROUNDING).max(0.0);
        Some(Duration::from_secs_f64(missing / self.rate))
    }

    /// When the next load can begin, if that depends on time alone.
    pub fn next_ready(&self) -> Option<Instant> {
        if self.rate <= 0.0 || self.depth < 1.0 || self.in_flight >= self.cap {
            return None;
        }
        let missing = 1.0 - self.tokens;
        if missing <= ROUNDING {
            return None;
        }
        Some(self.at? + Duration::from_secs_f64(missing / self.rate))
    }

    fn refill(&mut self, now: Instant) {
        let Some(at) = self.at else {
            self.at = Some(now);
            return;
        };
        let elapsed = now.saturating_duration_since(at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.depth.max(0.0));
        self.at = Some(at.max(now));
    }
}
