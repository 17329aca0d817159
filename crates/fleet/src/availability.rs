//! Availability of the store to one host, and whether engines could write their entries.
//!
//! Expected workload: connections to the store go silent one by one or all at once while new ones work; the store rejects
//! some hosts and serves the others; or it is down for all. Only in the last case may entries of live engines have lapsed. So
//! a call without an answer is evidence about its connection only, and the store is unavailable when a call that was sent
//! after that fails too, or when the store answers that it can't serve. Entries may have lapsed only if no host got an answer
//! for about as long as an entry lives.

use std::time::Duration;

use crate::Time;

/// Time without an answer to any host from which entries of live engines may have lapsed. An engine writes its entry about
/// once a second, and the entry lapses after three intervals without a write.
const MIN_OUTAGE: Duration = Duration::from_millis(2200);

/// Time after the return of the store in which engines write their entries again.
pub const ENTRY_RETURN_TIME: Duration = Duration::from_millis(2500);

/// Availability of the store, from its answers and failures.
#[derive(Clone, Copy, Debug, Default)]
pub struct Availability {
    state: State,
    /// When the store last answered this host, or another one that has said so.
    answered_at: Option<Time>,
    /// When this host or another one last found the store unavailable.
    missed_at: Option<Time>,
    /// When the store last answered again after it had been unavailable to this host, or had come back in a new era.
    recovered_at: Option<Time>,
    /// When the store last answered any host again after an outage.
    returned_at: Option<Time>,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum State {
    #[default]
    Available,
    /// A call that was sent before `since` has failed. No later one has been answered or has failed.
    Suspected {
        since: Time,
    },
    Unavailable,
}

/// Change of the availability by an answer or a failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The availability is the same as before.
    None,
    /// A connection failed. A call on a new one has to show whether the store is available.
    Suspected,
    /// The store answers on another connection than the one that failed.
    Cleared,
    /// The store became unavailable.
    Lost,
    /// The store is available again.
    Regained,
}

impl Availability {
    /// Records an answer to this host.
    pub fn record_answer(&mut self, now: Time) -> Change {
        let before = std::mem::take(&mut self.state);
        if before == State::Unavailable {
            self.missed_at = Some(now);
            self.recovered_at = Some(now);
        }
        self.observe_answer(now);
        match before {
            State::Available => Change::None,
            State::Suspected { .. } => Change::Cleared,
            State::Unavailable => Change::Regained,
        }
    }

    /// Records that a call that was sent at `sent_at` got no answer.
    pub fn record_failure(&mut self, sent_at: Time, now: Time) -> Change {
        match self.state {
            State::Available => {
                self.state = State::Suspected { since: now };
                Change::Suspected
            }
            State::Suspected { since } if sent_at < since => Change::None,
            State::Suspected { .. } | State::Unavailable => self.lose(now),
        }
    }

    /// Records an answer of the store that it can't serve this host.
    pub fn record_refusal(&mut self, now: Time) -> Change {
        self.lose(now)
    }

    fn lose(&mut self, now: Time) -> Change {
        self.missed_at = Some(now);
        if std::mem::replace(&mut self.state, State::Unavailable) == State::Unavailable {
            Change::None
        } else {
            Change::Lost
        }
    }

    /// Records that the store answered another host at `at`.
    pub fn observe_answer(&mut self, at: Time) {
        let last = self.answered_at;
        if last.is_some_and(|it| at <= it) {
            return;
        }
        let was_missed = self.missed_at.is_some_and(|it| Some(it) > last);
        let was_long = last.is_none_or(|it| it + MIN_OUTAGE <= at);
        if was_missed && was_long {
            self.returned_at = Some(at);
        }
        self.answered_at = Some(at);
    }

    /// Records that the store is unavailable to another host.
    pub fn observe_loss(&mut self, now: Time) {
        self.missed_at = Some(now);
    }

    /// Records that the store came back from an older copy, in which entries may be missing.
    pub fn record_new_era(&mut self, now: Time) {
        self.recovered_at = Some(now);
        self.returned_at = Some(now);
    }

    /// Returns whether the store doesn't answer this host.
    pub fn is_unavailable(&self) -> bool {
        self.state == State::Unavailable
    }

    /// Returns whether the store is unavailable, or it is not known yet since a call got no answer.
    pub fn is_doubtful(&self) -> bool {
        self.state != State::Available
    }

    /// Returns when the store returned for engines whose entries vanish now and may be written again: now, while it is
    /// unavailable to all hosts. Returns `None` if engines could write throughout.
    pub fn returned_at(&self, now: Time) -> Option<Time> {
        let is_out =
            self.is_unavailable() && self.answered_at.is_none_or(|it| it + MIN_OUTAGE <= now);
        if is_out {
            return Some(now);
        }
        self.returned_at.filter(|it| *it + ENTRY_RETURN_TIME > now)
    }

    /// Returns whether new entries of engines may not have been read, because the store is unavailable to this host or was
    /// a moment ago.
    pub fn may_lag(&self, now: Time) -> bool {
        let is_recent = |it: Option<Time>| it.is_some_and(|it| it + ENTRY_RETURN_TIME > now);
        self.is_unavailable() || is_recent(self.recovered_at) || is_recent(self.returned_at)
    }
}
