//! The state of one adapter version, as its steward sees it.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use kernel::{arena::Key, name::Model, reference::Reference, request::Class};

use crate::{congestion::Congestion, engine::Engine, event::Ticket, popularity::Popularity};

/// The position of a request in the queue for one adapter. The smallest rank is served first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    class: std::cmp::Reverse<Class>,
    start_tag: u64,
    ticket: Ticket,
}

impl Rank {
    /// Ranks by class, then by fair-queueing tag, then by ticket.
    pub fn new(class: Class, start_tag: u64, ticket: Ticket) -> Self {
        Self {
            class: std::cmp::Reverse(class),
            start_tag,
            ticket,
        }
    }

    /// The start tag assigned by fair queueing.
    pub fn start_tag(self) -> u64 {
        self.start_tag
    }

    /// The class.
    pub fn class(self) -> Class {
        self.class.0
    }

    /// The ticket of the request.
    pub fn ticket(self) -> Ticket {
        self.ticket
    }
}

/// One version of an adapter.
#[derive(Debug)]
pub struct Adapter {
    /// The service, adapter and version.
    pub reference: Reference,
    /// The base model that the adapter applies to.
    pub model: Model,
    /// Estimates how often the adapter is requested.
    pub popularity: Popularity,
    /// The requests that wait for the adapter.
    pub waiting: BTreeSet<Rank>,
    /// The engines that have the adapter loaded and accept new requests for it.
    pub ready_engines: Vec<Key<Engine>>,
    /// Number of loads that are in flight, or reserved until an unload has freed their slot.
    pub in_flight_loads: u32,
    /// Number of failed loads since the last successful one.
    pub consecutive_failures: u32,
    /// Detects that the queue for loaded copies of the adapter no longer drains.
    pub congestion: Congestion,
    /// No load begins before this time.
    pub retry_at: Option<Instant>,
}

impl Adapter {
    /// Creates the record of an adapter that has not been requested yet.
    pub fn new(reference: Reference, model: Model, now: Instant) -> Self {
        Self {
            reference,
            model,
            popularity: Popularity::new(now),
            waiting: BTreeSet::new(),
            ready_engines: Vec::new(),
            in_flight_loads: 0,
            consecutive_failures: 0,
            congestion: Congestion::default(),
            retry_at: None,
        }
    }

    /// Records a failed load and doubles the backoff before the next one, up to `max`.
    pub fn record_load_failure(&mut self, initial: Duration, max: Duration, now: Instant) {
        // The limit on the exponent prevents an overflow.
        let factor = 1_u32 << self.consecutive_failures.min(16);
        self.consecutive_failures += 1;
        self.retry_at = Some(now + (initial * factor).min(max));
    }

    /// Records a successful load.
    pub fn record_load_success(&mut self) {
        self.consecutive_failures = 0;
        self.retry_at = None;
    }

    /// Returns whether the adapter is neither loaded, being loaded nor waited for.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.ready_engines.is_empty() && self.in_flight_loads == 0
    }
}
