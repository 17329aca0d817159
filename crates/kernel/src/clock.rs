//! An abstraction of time, so that tests can control the clock.

use std::{
    sync::Mutex,
    time::{Duration, Instant, SystemTime},
};

/// A source of monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time, for deadlines and intervals.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, for records that outlive the process.
    fn wall_time(&self) -> SystemTime;
}

/// The operating system's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock for tests that changes only when [`Manual::advance`] is called.
#[derive(Debug)]
pub struct Manual {
    start: Instant,
    elapsed: Mutex<Duration>,
}

impl Manual {
    /// Creates a clock whose wall-clock time is the Unix epoch and whose monotonic time is
    /// arbitrary.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Mutex::new(Duration::ZERO),
        }
    }

    /// Advances the clock by `step`.
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock().expect("clock lock is poisoned") += step;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().expect("clock lock is poisoned")
    }
}

impl Default for Manual {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}
