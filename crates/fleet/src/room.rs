//! Room for requests at an engine that crashes when it has to refuse too many.
//!
//! Such an engine states how many refusals a second it withstands. No host sees the refusals of the others, so they tell
//! each other at once when an engine is full. From then on, each host has a window: it sends a request there only in place
//! of one of its own that has ended, or in its turn. The turns of all hosts together stay below what the engine withstands,
//! and each one that is accepted widens the window of its host. What the others have at the engine is not looked at: reports
//! are some 100 ms old, and all hosts would fill the same place.
//!
//! Expected load: more requests than the engines of a service can take, at all hosts at once, so that many wait there when
//! an engine has room again or is back after a crash.

use std::time::Duration;

use crate::{Time, request_limit::Rate};

/// Time after a refusal in which requests are sent in turn only.
const CLOSED_TIME: Duration = Duration::from_millis(250);

/// Time without a refusal, and without a request that waits for room, after which the engine no longer counts as full.
const FULL_TIME: Duration = Duration::from_secs(2);

/// Turns per second at a full engine for each refusal that it withstands in a second. Requests that were on their way
/// when the engine was found to be full are refused beside these.
const TURNS_PER_REFUSAL: f64 = 0.25;

/// Part of the window by which a refusal narrows it.
const REDUCTION: f64 = 0.125;

/// How the window of a host at a full engine widens.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Growth {
    /// By each turn that the engine accepts beyond the window.
    #[default]
    ByTurn,
    /// By each request that the engine accepts, since it started again and has not been full yet.
    ByRequest,
}

/// Room at one engine, as far as this host knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Room {
    /// Refusals in a second that the engine withstands; `None` if it states no number.
    tolerance: Option<u32>,
    /// When the engine last refused a request of any host for want of room.
    refused_at: Option<Time>,
    /// When the engine last was known to be full, or a request of this host waited for room.
    wanted_at: Option<Time>,
    /// Requests of this host that the full engine may have without a turn.
    window: u32,
    growth: Growth,
}

impl Room {
    /// Refusals in a second that the engine withstands; `None` if it states no number.
    pub fn tolerance(&self) -> Option<u32> {
        self.tolerance
    }

    /// Records how many refusals in a second the engine withstands.
    pub fn observe(&mut self, tolerance: Option<u32>) {
        self.tolerance = tolerance;
    }

    /// Records that the engine has started again and holds no requests. All that waits for it must not come at once.
    pub fn record_restart(&mut self, now: Time) {
        self.refused_at = None;
        self.wanted_at = Some(now);
        self.window = 0;
        self.growth = Growth::ByRequest;
    }

    /// Records that the engine refused a request of any host at `refused_at`, while it had this number of this host.
    /// `random` is between 0 and 1. Returns whether this is news.
    pub fn record_refusal(
        &mut self,
        running: u32,
        random: f64,
        refused_at: Time,
        now: Time,
    ) -> bool {
        let is_known = |it: Time| refused_at < it + CLOSED_TIME;
        if self.tolerance.is_none()
            || refused_at + FULL_TIME <= now
            || self.refused_at.is_some_and(is_known)
        {
            return false;
        }
        let window = if self.is_full(now) && self.growth == Growth::ByTurn {
            running.min(self.window)
        } else {
            running
        };
        // The fraction is rounded at random, so that many hosts with few requests narrow their windows alike.
        let reduction = Duration::from_secs_f64(f64::from(window) * REDUCTION + random);
        let reduction = u32::try_from(reduction.as_secs()).unwrap_or(u32::MAX);
        self.window = window.saturating_sub(reduction);
        self.growth = Growth::ByTurn;
        self.refused_at = Some(refused_at);
        self.wanted_at = self.wanted_at.max(Some(refused_at));
        true
    }

    /// Records that the engine accepted a request of this host, of which it now has this number.
    pub fn record_acceptance(&mut self, running: u32) {
        self.window = match self.growth {
            Growth::ByTurn => self.window.max(running),
            Growth::ByRequest => self.window + 1,
        };
    }

    /// Records that a request of this host waits for room.
    pub fn record_wait(&mut self, now: Time) {
        if self.is_full(now) {
            self.wanted_at = Some(now);
        }
    }

    /// When the engine last refused a request, if it counts as full.
    pub fn refused_at(&self, now: Time) -> Option<Time> {
        self.refused_at.filter(|_| self.is_full(now))
    }

    /// Returns whether the engine counts as full.
    pub fn is_full(&self, now: Time) -> bool {
        self.tolerance.is_some() && self.wanted_at.is_some_and(|it| it + FULL_TIME > now)
    }

    /// Rate of the requests of all hosts for which the engine may have no room; `None` unless it is full.
    pub fn turn_rate(&self, now: Time) -> Option<Rate> {
        let tolerance = self.tolerance.filter(|_| self.is_full(now))?;
        Rate::new(f64::from(tolerance) * TURNS_PER_REFUSAL)
    }

    /// Returns whether the engine, which has this number of requests of this host, surely has room for one more.
    pub fn has_room(&self, running: u32, now: Time) -> bool {
        let is_closed = self.refused_at.is_some_and(|it| it + CLOSED_TIME > now);
        !self.is_full(now) || !is_closed && running < self.window
    }
}
