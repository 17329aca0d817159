//! Puts an upstream aside by what its answers show, and tries it again.

use std::time::Duration;

use crate::Time;

/// Weight of the newest answer in the share of failures.
const NEWEST: f64 = 0.15;

/// Share of failures at which an upstream is put aside.
const OPEN_AT: f64 = 0.45;

/// Failures in a row at which it is, whatever was before.
const IN_A_ROW: u32 = 5;

/// First time aside; it doubles with each failed trial.
const FIRST_PAUSE: Duration = Duration::from_millis(700);

/// Longest time aside.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// What the answers of an upstream show.
#[derive(Clone, Debug, Default)]
pub struct Circuit {
    failures: f64,
    in_a_row: u32,
    pause: Duration,
    until: Time,
    unreachable: bool,
}

/// Whether an upstream is to be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Like any other.
    Closed,
    /// Its answers were bad a while ago; it gets a request now and then.
    HalfOpen,
    /// Only if there is no other.
    Open,
    /// Not now: it could not be reached.
    Unreachable,
}

impl Circuit {
    /// Counts a good answer.
    pub fn record_success(&mut self) {
        self.failures *= 1.0 - NEWEST;
        self.in_a_row = 0;
        if self.failures < OPEN_AT {
            self.pause = Duration::ZERO;
            self.until = Time::ZERO;
        }
    }

    /// Counts an answer that shows a fault of the upstream.
    pub fn record_failure(&mut self, now: Time) {
        self.failures = self.failures * (1.0 - NEWEST) + NEWEST;
        self.in_a_row += 1;
        self.unreachable = false;
        if now >= self.until && (self.failures > OPEN_AT || self.in_a_row >= IN_A_ROW) {
            self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
            self.until = now + self.pause;
        }
    }

    /// Puts the upstream aside at once, since it can't be reached.
    pub fn mark_unreachable(&mut self, now: Time) {
        self.unreachable = true;
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.until = now + self.pause;
    }

    /// Whether to use the upstream now.
    pub fn state(&self, now: Time) -> State {
        if now < self.until && self.unreachable {
            State::Unreachable
        } else if now < self.until {
            State::Open
        } else if self.pause > Duration::ZERO {
            State::HalfOpen
        } else {
            State::Closed
        }
    }

    /// Share of failures among recent answers.
    pub fn failure_rate(&self) -> f64 {
        self.failures
    }
}
