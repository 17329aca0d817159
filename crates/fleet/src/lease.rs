//! Who may order an engine. A host renews one lease in the store for all its engines, and each engine
//! has a claim there with the fencing token. A host may order an engine while its lease holds, and
//! another host takes the claim over only when the lease must have ended.
//!
//! All times count suspension, so a host that was suspended knows that its lease has ended.

use std::time::Duration;

use crate::Time;

/// Time from the sending of a renewal to the end of the lease it gives. It covers the outages of the
/// store that are usual, so that engines are still ordered in them; a host that was lost for good
/// leaves its engines without new orders for as long.
pub const TERM: Duration = Duration::from_secs(12);

/// Time between renewals.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

/// Time that a holder keeps from the end of its lease, for an order on its way.
pub const SAFETY_MARGIN: Duration = Duration::from_millis(700);

/// This host's lease.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lease(Option<Time>);

impl Lease {
    /// Notes that a renewal which was sent at `sent` has been confirmed.
    pub fn renew(&mut self, sent: Time) {
        self.0 = Some(self.0.map_or(sent, |it| it.max(sent)));
    }

    /// Gives the lease up.
    pub fn release(&mut self) {
        self.0 = None;
    }

    /// Whether orders may be sent now.
    pub fn is_valid(self, now: Time) -> bool {
        self.0.is_some_and(|it| now + SAFETY_MARGIN < it + TERM)
    }
}

/// A claim on an engine that this host has confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Claim {
    /// The fencing token: the store's revision of the write that made the claim.
    pub fence: u64,
    /// The first moment at which this host may order.
    pub valid_from: Time,
}

/// What was seen of another host's lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observation {
    /// The store's revision of its last renewal.
    Renewed(u64),
    /// It has released its lease, or never had one.
    Released,
}

/// Watches the lease of a host that is silent.
#[derive(Clone, Copy, Debug)]
pub struct LeaseWatch {
    seen: Observation,
    since: Time,
}

impl LeaseWatch {
    /// A host whose lease was read first at `now`.
    pub fn new(seen: Observation, now: Time) -> Self {
        Self { seen, since: now }
    }

    /// Takes in a later read. A lease that was renewed begins anew.
    pub fn observe(&mut self, seen: Observation, now: Time) {
        if self.seen != seen {
            *self = Self::new(seen, now);
        }
    }

    /// When its lease has ended at the latest.
    pub fn latest_end(&self) -> Time {
        match self.seen {
            Observation::Renewed(_) => self.since + TERM,
            Observation::Released => self.since,
        }
    }
}
