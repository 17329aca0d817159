//! Limit of the requests that an engine takes from all hosts together.
//!
//! An engine in need states the limit in its responses. Hosts pass it on to each other.

use crate::Time;

/// Requests per second: finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// Returns `None` if the number is no rate.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

/// What a response of an engine says about its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Statement {
    /// Nothing.
    #[default]
    Absent,
    /// The limit can't be read.
    Unreadable,
    /// The engine takes so many requests.
    Stated(Rate),
}

/// Limit of one engine, as far as this host knows.
#[derive(Clone, Debug, Default)]
pub struct Limit {
    rate: Option<Rate>,
    /// When the engine stated the limit, or that it has none.
    stated_at: Time,
}

impl Limit {
    /// The limit; `None` if the engine has none.
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// When the engine last stated the limit, or that it has none.
    pub fn stated_at(&self) -> Time {
        self.stated_at
    }

    /// Records that the engine had this limit at `at`, or none. Older statements are ignored. Returns whether the
    /// limit has changed.
    pub fn observe(&mut self, rate: Option<Rate>, at: Time) -> bool {
        if at < self.stated_at {
            return false;
        }
        self.stated_at = at;
        std::mem::replace(&mut self.rate, rate) != rate
    }
}
