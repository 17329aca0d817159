//! The budget of calls that one host may make to the platform.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use kernel::clock::Clock;

/// Calls that may be made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Calls a second in the long run.
    pub calls_per_second: f64,
    /// Calls that may be made at once after a pause.
    pub burst: u32,
}

/// Whether a call may be made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may be made now.
    Go,
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
    pub fn take(&self) -> Verdict {
        let now = self.clock.now();
        let mut state = self.state.lock().expect("budget lock is poisoned");
        state.refill(self.rate, now);
        if now < state.closed_until {
            return Verdict::Wait(state.closed_until - now);
        }
        if state.tokens >= 1.0 {
            state.tokens -= 1.0;
            return Verdict::Go;
        }
        let wait = (1.0 - state.tokens) / self.rate.calls_per_second;
        Verdict::Wait(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }

    /// Keeps every call back for a time that the platform asked for.
    pub fn close(&self, after: Duration) {
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
