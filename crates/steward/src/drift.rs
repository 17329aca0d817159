//! Detects shifts in the popularity of adapters and speeds up the aging of popularity during a
//! shift.
//!
//! A shift shows as a rise in the share of requests that need an eviction. A restart of engines
//! doesn't raise this share, since it leaves their slots free.

use std::time::{Duration, Instant};

/// Weight of a new request in the fast moving average.
const FAST_WEIGHT: f64 = 1.0 / 64.0;

/// Weight of a new request in the slow moving average.
const SLOW_WEIGHT: f64 = 1.0 / 1024.0;

/// The popularity is shifting while the fast miss rate exceeds the slow one by more than this.
const SHIFT_THRESHOLD: f64 = 0.1;

/// Factor by which popularity ages faster during a shift.
const AGING_SPEEDUP: u32 = 8;

/// The result of looking for a loaded adapter or a slot for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lookup {
    /// The adapter is loaded, its load is in flight, or a slot is free for it.
    Hit,
    /// Another adapter has to be evicted.
    Miss,
}

/// Detects shifts, and maps real time to popularity time, which runs faster during shifts.
#[derive(Clone, Debug)]
pub struct DriftDetector {
    fast_miss_rate: f64,
    slow_miss_rate: f64,
    /// How far popularity time is ahead of real time.
    offset: Duration,
    last_request_at: Option<Instant>,
}

impl DriftDetector {
    /// Creates a detector that has seen no request.
    pub fn new() -> Self {
        Self {
            fast_miss_rate: 1.0,
            slow_miss_rate: 1.0,
            offset: Duration::ZERO,
            last_request_at: None,
        }
    }

    /// Records a request.
    pub fn record(&mut self, lookup: Lookup, now: Instant) {
        if self.is_shifting() {
            let elapsed = self
                .last_request_at
                .map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
            self.offset += elapsed * (AGING_SPEEDUP - 1);
        }
        self.last_request_at = Some(now);
        let missed = if lookup == Lookup::Miss { 1.0 } else { 0.0 };
        self.fast_miss_rate += (missed - self.fast_miss_rate) * FAST_WEIGHT;
        self.slow_miss_rate += (missed - self.slow_miss_rate) * SLOW_WEIGHT;
    }

    /// Returns the time by which popularity ages.
    pub fn popularity_time(&self, now: Instant) -> Instant {
        now + self.offset
    }

    fn is_shifting(&self) -> bool {
        self.fast_miss_rate > self.slow_miss_rate + SHIFT_THRESHOLD
    }
}
