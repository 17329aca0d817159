//! Decides which host is the steward of an engine and may send it orders. A host renews one lease in the store
//! for all its engines, and each engine has a claim in the store with a fencing token. The host with the claim
//! may send orders while its lease is valid. Another host takes the claim over only when the lease is certain
//! to have ended.
//!
//! All times advance during suspension, so a host that resumes knows that its lease has ended.

use std::time::Duration;

use crate::{Time, era::Position};

/// Time from the sending of a renewal to the end of the lease. It exceeds the usual outages of the store,
/// so that engines still get orders during them. On the other hand, the engines of a crashed host get no new
/// orders for this time.
pub const TERM: Duration = Duration::from_secs(12);

/// Interval between renewals.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

/// Time before the end of its lease at which a holder stops sending orders, so that in-flight orders still
/// arrive in time.
pub const SAFETY_MARGIN: Duration = Duration::from_millis(700);

/// This host's lease: the time at which the last confirmed renewal was sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lease(Option<Time>);

impl Lease {
    /// Records that the renewal sent at `sent` has been confirmed.
    pub fn renew(&mut self, sent: Time) {
        self.0 = Some(self.0.map_or(sent, |it| it.max(sent)));
    }

    /// Releases the lease.
    pub fn release(&mut self) {
        self.0 = None;
    }

    /// Returns whether orders may be sent now.
    pub fn is_valid(self, now: Time) -> bool {
        self.orders_end().is_some_and(|it| now < it)
    }

    /// Returns when orders have to stop unless the lease is renewed.
    pub fn orders_end(self) -> Option<Time> {
        self.0.map(|it| it + TERM.saturating_sub(SAFETY_MARGIN))
    }
}

/// A confirmed claim of this host on an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Fencing token, from the position of the write that created the claim
    /// ([`crate::era::fencing_token`]).
    pub fence: u64,
    /// Earliest time at which this host may send orders to the engine.
    pub valid_from: Time,
    /// Set if the store has lost the claim since: the end of the lease at that time. Renewals of the lease
    /// don't extend it, since other hosts don't see the claim any more.
    pub valid_until: Option<Time>,
}

impl Claim {
    /// Returns whether orders may be sent now.
    pub fn is_valid(self, lease: Lease, now: Time) -> bool {
        self.valid_from <= now
            && match self.valid_until {
                Some(it) => now < it,
                None => lease.is_valid(now),
            }
    }

    /// Records that the store may have lost the claim. Orders may be sent until the lease would have ended
    /// without further renewals.
    pub fn mark_lost(&mut self, lease: Lease) {
        let end = lease.orders_end().unwrap_or_default();
        self.valid_until = Some(self.valid_until.map_or(end, |it| it.min(end)));
    }
}

/// State of another host's lease, as read from the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observation {
    /// The lease was last renewed at this position of the store's history.
    Renewed(Position),
    /// The lease was released, or never existed.
    Released,
    /// There is no lease, but the store may have lost it.
    MaybeLost,
}

/// Tracks the lease of a host that sends no heartbeats.
#[derive(Clone, Copy, Debug)]
pub struct LeaseWatch {
    observation: Observation,
    /// When a read first returned this observation.
    since: Time,
}

impl LeaseWatch {
    /// Starts with the first read of the lease, at `now`.
    pub fn new(observation: Observation, now: Time) -> Self {
        Self {
            observation,
            since: now,
        }
    }

    /// Records a later read. A renewal restarts the wait.
    pub fn observe(&mut self, observation: Observation, now: Time) {
        if self.observation != observation {
            *self = Self::new(observation, now);
        }
    }

    /// Returns the time by which the lease is certain to have ended.
    pub fn latest_end(&self) -> Time {
        match self.observation {
            Observation::Renewed(_) | Observation::MaybeLost => self.since + TERM,
            Observation::Released => self.since,
        }
    }
}
