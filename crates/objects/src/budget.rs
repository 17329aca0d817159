//! Rate limiting of the calls that one host makes to the platform.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use kernel::clock::Clock;

use crate::object::Reason;

/// The parameters of the token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Sustained rate, at which tokens are refilled.
    pub calls_per_second: f64,
    /// Capacity of the bucket: number of calls that can be made at once after an idle period.
    pub burst: u32,
}

/// The priority of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Importance {
    /// A request or a decision waits for the call.
    Essential,
    /// The call can be skipped, since it is repeated periodically. It leaves a part of the burst to
    /// essential calls.
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

/// Fraction of the burst that only essential calls may use.
const RESERVED_FRACTION: f64 = 0.25;

/// The decision on a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The call may be made now; its token is taken.
    Allow,
    /// The call may be attempted again after this time.
    Wait(Duration),
}

/// A token bucket that also blocks all calls for as long as the platform requests.
pub struct Budget {
    rate: Rate,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

/// The mutable state of the bucket.
#[derive(Debug)]
struct State {
    tokens: f64,
    refilled_at: Instant,
    blocked_until: Instant,
}

impl Budget {
    /// Creates a budget with a full bucket.
    pub fn new(rate: Rate, clock: Arc<dyn Clock>) -> Self {
        let now = clock.now();
        let state = State {
            tokens: f64::from(rate.burst),
            refilled_at: now,
            blocked_until: now,
        };
        Self {
            rate,
            clock,
            state: Mutex::new(state),
        }
    }

    /// Takes a token for one call if the call may be made now.
    pub fn try_acquire(&self, importance: Importance) -> Decision {
        let now = self.clock.now();
        let mut state = self.state.lock().expect("budget lock is poisoned");
        state.refill(self.rate, now);
        if now < state.blocked_until {
            return Decision::Wait(state.blocked_until - now);
        }
        let missing = 1.0 + self.reserved_tokens(importance) - state.tokens;
        if missing <= 0.0 {
            state.tokens -= 1.0;
            return Decision::Allow;
        }
        let wait = missing / self.rate.calls_per_second;
        Decision::Wait(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }

    /// Returns the number of tokens that a call of this importance must leave in the bucket.
    fn reserved_tokens(&self, importance: Importance) -> f64 {
        match importance {
            Importance::Essential => 0.0,
            // The fraction applies to `burst - 1`: a bucket of one token reserves nothing, since
            // deferrable calls could never pass otherwise.
            Importance::Deferrable => {
                f64::from(self.rate.burst.saturating_sub(1)) * RESERVED_FRACTION
            }
        }
    }

    /// Blocks every call for `duration`. A block that is already longer stays.
    pub fn block_for(&self, duration: Duration) {
        let until = self.clock.now() + duration;
        let mut state = self.state.lock().expect("budget lock is poisoned");
        state.blocked_until = state.blocked_until.max(until);
    }
}

impl State {
    fn refill(&mut self, rate: Rate, now: Instant) {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = now;
        let tokens = self.tokens + elapsed * rate.calls_per_second;
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
