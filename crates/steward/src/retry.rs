//! Decides when a request that did not run is sent again.
//!
//! The caller decides whether a request may be repeated at all. This module limits the total number
//! of retries of a service and spreads them over time.

use std::time::{Duration, Instant};

/// The limits on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Number of retries that each new request adds to the budget.
    pub earned_per_request: f64,
    /// Upper bound on the number of retries in the budget.
    pub max_saved: f64,
    /// Upper bound on the attempts of one request, including the first.
    pub max_attempts: u32,
    /// The longest pause before the first retry. It doubles with each further retry.
    pub initial_backoff: Duration,
    /// The longest pause before any retry.
    pub max_backoff: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            earned_per_request: 0.1,
            max_saved: 20.0,
            max_attempts: 3,
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
        }
    }
}

/// The decision on a request that has failed without running.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Send the request again after this pause.
    RetryAfter(Duration),
    /// The request has reached the maximum number of attempts.
    Exhausted,
    /// The retry budget of the service is used up.
    OverBudget,
    /// The deadline passes before another attempt could end.
    TooLate,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Number of attempts so far, including this one.
    pub count: u32,
    /// When the caller gives up.
    pub deadline: Instant,
    /// The shortest time that an attempt takes.
    pub min_duration: Duration,
    /// The pause before a retry that the refusal asked for.
    pub retry_after: Option<Duration>,
}

/// The retry budget of a service.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    saved: f64,
}

impl Budget {
    /// Creates a full budget.
    pub fn new(settings: Settings) -> Self {
        Self {
            saved: settings.max_saved,
            settings,
        }
    }

    /// Counts a new request, which adds a fraction of a retry to the budget.
    pub fn earn(&mut self) {
        let sum = self.saved + self.settings.earned_per_request;
        self.saved = sum.min(self.settings.max_saved);
    }

    /// Decides on a retry and takes it from the budget. `random` is uniform in 0 to 1.
    pub fn decide(&mut self, attempt: Attempt, random: f64, now: Instant) -> Decision {
        if attempt.count >= self.settings.max_attempts {
            return Decision::Exhausted;
        }
        let pause = self.pause(attempt.count, random);
        let pause = pause.max(attempt.retry_after.unwrap_or_default());
        if now + pause + attempt.min_duration > attempt.deadline {
            return Decision::TooLate;
        }
        if self.saved < 1.0 {
            return Decision::OverBudget;
        }
        self.saved -= 1.0;
        Decision::RetryAfter(pause)
    }

    /// Returns a random part of a span that doubles with each attempt.
    fn pause(&self, count: u32, random: f64) -> Duration {
        // The limit on the exponent prevents an overflow.
        let doublings = count.saturating_sub(1).min(16);
        let span = self.settings.initial_backoff.saturating_mul(1 << doublings);
        span.min(self.settings.max_backoff)
            .mul_f64(random.clamp(0.0, 1.0))
    }
}
