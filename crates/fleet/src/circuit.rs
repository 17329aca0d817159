//! Circuit breaker of an upstream.

use std::time::Duration;

use crate::Time;

/// Weight of the newest response in the failure rate.
const NEWEST_SAMPLE_WEIGHT: f64 = 0.15;

/// Failure rate above which the circuit opens.
const OPEN_FAILURE_RATE: f64 = 0.45;

/// Consecutive failures that open the circuit whatever the failure rate.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;

/// Time for which the circuit first stays open. It doubles each time that the circuit opens again.
const MIN_OPEN_TIME: Duration = Duration::from_millis(700);

/// Maximum time for which the circuit stays open.
const MAX_OPEN_TIME: Duration = Duration::from_secs(4);

/// Circuit breaker, fed by the responses of an upstream.
#[derive(Clone, Debug, Default)]
pub struct Circuit {
    failure_rate: f64,
    consecutive_failures: u32,
    /// Length of the current or last open time; zero if the circuit has closed since.
    open_time: Duration,
    open_until: Time,
    unreachable: bool,
}

/// State of a [`Circuit`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// The upstream is used like any other.
    Closed,
    /// The upstream failed some time ago and gets a request now and then.
    HalfOpen,
    /// The upstream is used only if there is no other.
    Open,
    /// The upstream couldn't be reached and isn't used for now.
    Unreachable,
}

impl Circuit {
    /// Records a successful response.
    pub fn record_success(&mut self) {
        self.failure_rate *= 1.0 - NEWEST_SAMPLE_WEIGHT;
        self.consecutive_failures = 0;
        if self.failure_rate < OPEN_FAILURE_RATE {
            self.open_time = Duration::ZERO;
            self.open_until = Time::ZERO;
        }
    }

    /// Records a response that shows a fault of the upstream.
    pub fn record_failure(&mut self, now: Time) {
        self.failure_rate = self.failure_rate * (1.0 - NEWEST_SAMPLE_WEIGHT) + NEWEST_SAMPLE_WEIGHT;
        self.consecutive_failures += 1;
        self.unreachable = false;
        if now >= self.open_until
            && (self.failure_rate > OPEN_FAILURE_RATE
                || self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES)
        {
            self.open_time = (self.open_time * 2).clamp(MIN_OPEN_TIME, MAX_OPEN_TIME);
            self.open_until = now + self.open_time;
        }
    }

    /// Opens the circuit at once because the upstream can't be reached.
    pub fn mark_unreachable(&mut self, now: Time) {
        self.unreachable = true;
        self.open_time = (self.open_time * 2).clamp(MIN_OPEN_TIME, MAX_OPEN_TIME);
        self.open_until = now + self.open_time;
    }

    /// Ends the time in which the upstream isn't used because it couldn't be reached.
    pub fn mark_reachable(&mut self) {
        if std::mem::take(&mut self.unreachable) {
            self.open_time = Duration::ZERO;
            self.open_until = Time::ZERO;
        }
    }

    /// Returns the current state.
    pub fn state(&self, now: Time) -> State {
        if now < self.open_until && self.unreachable {
            State::Unreachable
        } else if now < self.open_until {
            State::Open
        } else if self.open_time > Duration::ZERO {
            State::HalfOpen
        } else {
            State::Closed
        }
    }

    /// Returns the smoothed rate of failures among recent responses.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
