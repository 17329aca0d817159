//! Detects a queue, for the weight store or for engines, that no longer drains.

use std::time::{Duration, Instant};

use kernel::request::Class;

/// A wait up to this length is normal.
const NORMAL_WAIT: Duration = Duration::from_millis(500);

/// A wait above the normal one for this long shows that demand exceeds capacity.
const SUSTAINED_PERIOD: Duration = Duration::from_secs(10);

/// Tracks since when the wait has been above normal.
#[derive(Clone, Debug, Default)]
pub struct Congestion {
    elevated_since: Option<Instant>,
}

impl Congestion {
    /// Records the current wait; `None` means that the queue can't be served at all.
    pub fn record_wait(&mut self, wait: Option<Duration>, now: Instant) {
        if wait.is_some_and(|it| it <= NORMAL_WAIT) {
            self.elevated_since = None;
        } else {
            self.elevated_since.get_or_insert(now);
        }
    }

    /// Returns the longest wait at which a new request is still admitted, or `None` if waits are
    /// not limited.
    ///
    /// A longer queue doesn't raise throughput, it only makes every request wait longer.
    pub fn max_wait(&self, class: Class, now: Instant) -> Option<Duration> {
        let elevated_since = self.elevated_since?;
        if now < elevated_since + SUSTAINED_PERIOD {
            return None;
        }
        Some(match class {
            Class::Background => NORMAL_WAIT,
            Class::Standard => NORMAL_WAIT * 2,
            Class::Interactive => NORMAL_WAIT * 3,
        })
    }
}
