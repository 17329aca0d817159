//! What a steward knows of an adapter and version.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use kernel::{arena::Key, name::Model, reference::Reference, request::Class};

use crate::{congestion::Congestion, engine::Engine, event::Ticket, popularity::Popularity};

/// The place of a request among those that wait for one adapter; the least goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    class: std::cmp::Reverse<Class>,
    tag: u64,
    ticket: Ticket,
}

impl Rank {
    /// Ranks by class, then by fair-queueing tag, then by ticket.
    pub fn new(class: Class, tag: u64, ticket: Ticket) -> Self {
        Self {
            class: std::cmp::Reverse(class),
            tag,
            ticket,
        }
    }

    /// The fair-queueing tag.
    pub fn tag(self) -> u64 {
        self.tag
    }

    /// The class.
    pub fn class(self) -> Class {
        self.class.0
    }

    /// The request.
    pub fn ticket(self) -> Ticket {
        self.ticket
    }
}

/// One adapter and version.
#[derive(Debug)]
pub struct Adapter {
    /// Its name.
    pub reference: Reference,
    /// The base model that it belongs to.
    pub model: Model,
    /// How often it is asked for.
    pub popularity: Popularity,
    /// The requests that wait for it.
    pub waiting: BTreeSet<Rank>,
    /// The engines that have it loaded and take new work for it.
    pub ready: Vec<Key<Engine>>,
    /// How many engines are about to have it.
    pub coming: u32,
    /// Loads that failed one after another.
    pub failures: u32,
    /// Whether the queue for its engines does not empty any more.
    pub congestion: Congestion,
    /// No load before this.
    pub retry_at: Option<Instant>,
}

impl Adapter {
    /// An adapter that was never asked for.
    pub fn new(reference: Reference, model: Model, now: Instant) -> Self {
        Self {
            reference,
            model,
            popularity: Popularity::new(now),
            waiting: BTreeSet::new(),
            ready: Vec::new(),
            coming: 0,
            failures: 0,
            congestion: Congestion::default(),
            retry_at: None,
        }
    }

    /// Notes a failed load and when to try again.
    pub fn failed(&mut self, first: Duration, longest: Duration, now: Instant) {
        let factor = 1_u32 << self.failures.min(16);
        self.failures += 1;
        self.retry_at = Some(now + (first * factor).min(longest));
    }

    /// Notes a load that succeeded.
    pub fn loaded(&mut self) {
        self.failures = 0;
        self.retry_at = None;
    }

    /// Whether nothing needs this record any more.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.ready.is_empty() && self.coming == 0
    }
}
