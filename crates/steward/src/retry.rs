//! When a request that did not run is sent again.
//!
//! Whether a request may be repeated at all is the caller's to know. This module limits how many
//! repeats a service makes in all, and spreads them over time.

use std::time::{Duration, Instant};

/// How retries are limited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Retries that each request earns.
    pub earned_per_request: f64,
    /// The most retries that can be saved up.
    pub max_saved: f64,
    /// The most attempts of one request, the first included.
    pub max_attempts: u32,
    /// The longest pause before the first retry.
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

/// What to do with a request that has failed without running.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Send it again after this pause.
    RetryAfter(Duration),
    /// It has been tried often enough.
    Exhausted,
    /// The service has used up its retries.
    OverBudget,
    /// The deadline comes before the next attempt would end.
    TooLate,
}

/// One failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Attempts so far, this one included.
    pub count: u32,
    /// When the caller gives up.
    pub deadline: Instant,
    /// How long an attempt takes at least.
    pub min_duration: Duration,
    /// The earliest time to come back that the refusal named.
    pub retry_after: Option<Duration>,
}

/// The retries that a service may still make.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    saved: f64,
}

impl Budget {
    /// A budget with all that can be saved up.
    pub fn new(settings: Settings) -> Self {
        Self {
            saved: settings.max_saved,
            settings,
        }
    }

    /// Notes a new request, which earns its part of a retry.
    pub fn earn(&mut self) {
        let sum = self.saved + self.settings.earned_per_request;
        self.saved = sum.min(self.settings.max_saved);
    }

    /// Decides on a retry. `random` is uniform from 0 to 1.
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

    /// A random part of a span that doubles with each attempt.
    fn pause(&self, count: u32, random: f64) -> Duration {
        let doublings = count.saturating_sub(1).min(16);
        let span = self.settings.initial_backoff.saturating_mul(1 << doublings);
        span.min(self.settings.max_backoff)
            .mul_f64(random.clamp(0.0, 1.0))
    }
}
