//! The budget of calls that one host may make to the platform.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use kernel::clock::Clock;

use crate::object::Reason;

/// Calls that may be made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Calls a second in the long run.
    pub calls_per_second: f64,
    /// Calls that may be made at once after a pause.
    pub burst: u32,
}

/// Whether a call can be put off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Importance {
    /// Somebody waits for it.
    Essential,
    /// It is made again soon anyway; it leaves a part of the burst to essential calls.
    Deferrable,
}

impl From<Reason> for Importance {
    fn from(reason: Reason) -> Self {
        match reason {
            Reason::Config | Reason::Journal | Reason::Steward => Self::Essential,
            Reason::Hosts | Reason::Share | Reason::Status => Self::Deferrable,
        }
    }
}

/// The part of the burst that only essential calls may use.
const RESERVED_PART: f64 = 0.25;

/// Whether a call may be made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It may be made now.
    Allow,
    /// It may be made after this time.
    Wait(Duration),
}

/// A token bucket on a clock, which also keeps calls back while the platform asks for it.
pub struct Budget {
    rate: Rate,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    tokens: f64,
    filled: Instant,
    closed_until: Instant,
}

impl Budget {
    /// A full budget.
    pub fn new(rate: Rate, clock: Arc<dyn Clock>) -> Self {
        let now = clock.now();
        let state = State {
            tokens: f64::from(rate.burst),
            filled: now,
            closed_until: now,
        };
        Self {
            rate,
            clock,
            state: Mutex::new(state),
        }
    }

    /// Takes one call from the budget if it may be made now.
    pub fn try_acquire(&self, importance: Importance) -> Decision {
        let now = self.clock.now();
        let mut state = self.state.lock().expect("budget lock is poisoned");
        state.refill(self.rate, now);
        if now < state.closed_until {
            return Decision::Wait(state.closed_until - now);
        }
        let missing = 1.0 + self.reserve(importance) - state.tokens;
        if missing <= 0.0 {
            state.tokens -= 1.0;
            return Decision::Allow;
        }
        let wait = missing / self.rate.calls_per_second;
        Decision::Wait(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }

    /// Calls that a call of this importance must leave in the budget.
    fn reserve(&self, importance: Importance) -> f64 {
        match importance {
            Importance::Essential => 0.0,
            // With one call at a time there is nothing to share out.
            Importance::Deferrable => f64::from(self.rate.burst.saturating_sub(1)) * RESERVED_PART,
        }
    }

    /// Keeps every call back for a time that the platform asked for.
    pub fn block_for(&self, after: Duration) {
        let until = self.clock.now() + after;
        let mut state = self.state.lock().expect("budget lock is poisoned");
        state.closed_until = state.closed_until.max(until);
    }
}

impl State {
    fn refill(&mut self, rate: Rate, now: Instant) {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = now;
        let tokens = self.tokens + passed * rate.calls_per_second;
        self.tokens = tokens.min(f64::from(rate.burst));
    }
}

impl std::fmt::Debug for Budget {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Budget")
            .field("rate", &self.rate)
            .field("state", &self.state)
            .finish_non_exhaustive()
    }
}
