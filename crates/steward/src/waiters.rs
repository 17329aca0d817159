//! The waiting requests, with fair queueing among tenants.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use kernel::{
    arena::Key,
    name::{Model, Tenant},
    permit::Request,
};

use crate::{
    adapter::{Adapter, Rank},
    event::Ticket,
};

/// A waiting request.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// The permit request.
    pub request: Request,
    /// The adapter that it waits for.
    pub adapter: Key<Adapter>,
    /// The request's position in the queue for the adapter.
    pub rank: Rank,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// When the caller gives up.
    pub deadline: Instant,
    /// When the request is next checked for whether it can still be served in time.
    pub next_check: Instant,
    /// Since when the request has waited for its adapter to be loaded, if it does.
    pub stalled_since: Option<Instant>,
    /// How long the request has waited for its adapter to be loaded.
    pub load_stall: Duration,
}

impl Waiter {
    /// Ends the wait for the adapter, which has been loaded.
    pub fn end_load_stall(&mut self, now: Instant) {
        if let Some(since) = self.stalled_since.take() {
            self.load_stall += now.saturating_duration_since(since);
        }
    }
}

/// The fair queueing state of one tenant.
#[derive(Debug, Default)]
struct TenantQueue {
    /// The end of the tenant's last request in virtual time.
    finish_tag: u64,
    waiting: usize,
}

/// All waiting requests of a steward.
#[derive(Debug, Default)]
pub struct Waiters {
    by_ticket: BTreeMap<Ticket, Waiter>,
    checks: BTreeSet<(Instant, Ticket)>,
    queues: BTreeMap<Tenant, TenantQueue>,
    /// The largest start tag served so far.
    virtual_time: u64,
}

impl Waiters {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.by_ticket.len()
    }

    /// Assigns the start-time fair queueing tag of a tenant's next request.
    pub fn assign_tag(&mut self, tenant: &Tenant, cost: u32) -> u64 {
        let queue = self.queues.entry(tenant.clone()).or_default();
        let tag = queue.finish_tag.max(self.virtual_time);
        queue.finish_tag = tag + u64::from(cost.max(1));
        tag
    }

    /// Advances the virtual time to the start tag of a request that got its permit.
    pub fn advance_virtual_time(&mut self, tag: u64) {
        self.virtual_time = self.virtual_time.max(tag);
        let virtual_time = self.virtual_time;
        self.queues
            .retain(|_, it| it.waiting > 0 || it.finish_tag > virtual_time);
    }

    /// Adds a request.
    pub fn insert(&mut self, ticket: Ticket, waiter: Waiter) {
        let queue = self
            .queues
            .entry(waiter.request.tenant.clone())
            .or_default();
        queue.waiting += 1;
        self.checks.insert((waiter.next_check, ticket));
        self.by_ticket.insert(ticket, waiter);
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiter> {
        let waiter = self.by_ticket.remove(&ticket)?;
        self.checks.remove(&(waiter.next_check, ticket));
        if let Some(queue) = self.queues.get_mut(&waiter.request.tenant) {
            queue.waiting = queue.waiting.saturating_sub(1);
        }
        Some(waiter)
    }

    /// Returns a waiting request.
    pub fn get(&self, ticket: Ticket) -> Option<&Waiter> {
        self.by_ticket.get(&ticket)
    }

    /// Returns a waiting request for changes to anything but its check time.
    pub fn get_mut(&mut self, ticket: Ticket) -> Option<&mut Waiter> {
        self.by_ticket.get_mut(&ticket)
    }

    /// Changes when a request is next checked.
    pub fn reschedule_check(&mut self, ticket: Ticket, next_check: Instant) {
        let Some(waiter) = self.by_ticket.get_mut(&ticket) else {
            return;
        };
        self.checks.remove(&(waiter.next_check, ticket));
        waiter.next_check = next_check;
        self.checks.insert((next_check, ticket));
    }

    /// Returns a request whose check is due.
    pub fn first_due(&self, now: Instant) -> Option<Ticket> {
        let (next_check, ticket) = self.checks.first()?;
        (*next_check <= now).then_some(*ticket)
    }

    /// Returns when the next check is due.
    pub fn next_check(&self) -> Option<Instant> {
        self.checks.first().map(|(next_check, _)| *next_check)
    }

    /// Returns the tenant with the most waiting requests, and their number.
    pub fn largest_tenant(&self) -> Option<(&Tenant, usize)> {
        let queues = self.queues.iter();
        queues
            .max_by_key(|(_, it)| it.waiting)
            .map(|(tenant, it)| (tenant, it.waiting))
    }

    /// Returns the number of waiting requests of a tenant.
    pub fn count_of_tenant(&self, tenant: &Tenant) -> usize {
        self.queues.get(tenant).map_or(0, |it| it.waiting)
    }

    /// Returns the waiting requests for a base model.
    pub fn tickets_for_model(&self, model: &Model) -> Vec<Ticket> {
        let waiters = self.by_ticket.iter();
        waiters
            .filter(|(_, it)| it.request.model == *model)
            .map(|(ticket, _)| *ticket)
            .collect()
    }

    /// Returns the waiting request of a tenant that would be served last.
    pub fn last_of_tenant(&self, tenant: &Tenant) -> Option<Ticket> {
        let waiters = self.by_ticket.iter();
        waiters
            .filter(|(_, it)| it.request.tenant == *tenant)
            .max_by_key(|(_, it)| it.rank)
            .map(|(ticket, _)| *ticket)
    }
}
