//! Time as an interface, so that decisions can be driven by a clock that a test moves.

use std::{
    sync::Mutex,
    time::{Duration, Instant, SystemTime},
};

/// A source of monotonic and of calendar time.
pub trait Clock: Send + Sync {
    /// Monotonic time, for deadlines and intervals.
    fn now(&self) -> Instant;

    /// Calendar time, for records that outlive the process.
    fn wall_time(&self) -> SystemTime;
}

/// The clock of the operating system.
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

/// A clock that stands still until it is moved.
#[derive(Debug)]
pub struct Manual {
    start: Instant,
    elapsed: Mutex<Duration>,
}

impl Manual {
    /// A clock that stands at an arbitrary instant and at the Unix epoch.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Mutex::new(Duration::ZERO),
        }
    }

    /// Moves the clock forward.
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
