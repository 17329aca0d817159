//! Notices a queue, at the weight store or for engines, that does not empty any more.

use std::time::{Duration, Instant};

use kernel::request::Class;

/// A wait that is nothing unusual.
const USUAL_WAIT: Duration = Duration::from_millis(500);

/// A wait that stays unusual for this long shows that demand exceeds what can be served.
const INTERVAL: Duration = Duration::from_secs(10);

/// How long the wait has been unusual.
#[derive(Clone, Debug, Default)]
pub struct Congestion {
    since: Option<Instant>,
}

impl Congestion {
    /// Takes in the present wait.
    pub fn note(&mut self, wait: Option<Duration>, now: Instant) {
        if wait.is_some_and(|it| it <= USUAL_WAIT) {
            self.since = None;
        } else {
            self.since.get_or_insert(now);
        }
    }

    /// The longest wait that is admitted now, if it is limited.
    ///
    /// A longer queue would not let more be served, only make every request wait longer.
    pub fn limit(&self, class: Class, now: Instant) -> Option<Duration> {
        let since = self.since?;
        if now < since + INTERVAL {
            return None;
        }
        Some(match class {
            Class::Background => USUAL_WAIT,
            Class::Standard => USUAL_WAIT * 2,
            Class::Interactive => USUAL_WAIT * 3,
        })
    }
}
