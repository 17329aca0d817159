//! The requests that wait, and the fairness among their tenants.

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

/// One waiting request.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// The request.
    pub ask: Request,
    /// The adapter that it waits for.
    pub adapter: Key<Adapter>,
    /// Its place among those that wait for the adapter.
    pub rank: Rank,
    /// When it came.
    pub arrived: Instant,
    /// When its caller gives up.
    pub deadline: Instant,
    /// When it is looked at again.
    pub check: Instant,
    /// Since when it waits for its adapter to arrive, if it does.
    pub stalled: Option<Instant>,
    /// How long it waited for its adapter before that arrived.
    pub stall: Duration,
}

impl Waiter {
    /// Notes that the adapter has arrived.
    pub fn arrived_adapter(&mut self, now: Instant) {
        if let Some(since) = self.stalled.take() {
            self.stall += now.saturating_duration_since(since);
        }
    }
}

#[derive(Debug, Default)]
struct Account {
    finish: u64,
    waiting: usize,
}

/// All waiting requests of a steward.
#[derive(Debug, Default)]
pub struct Waiters {
    by_ticket: BTreeMap<Ticket, Waiter>,
    checks: BTreeSet<(Instant, Ticket)>,
    accounts: BTreeMap<Tenant, Account>,
    virtual_time: u64,
}

impl Waiters {
    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.by_ticket.len()
    }

    /// The start-time fair-queueing tag of a tenant's next request.
    pub fn tag(&mut self, tenant: &Tenant, cost: u32) -> u64 {
        let account = self.accounts.entry(tenant.clone()).or_default();
        let tag = account.finish.max(self.virtual_time);
        account.finish = tag + u64::from(cost.max(1));
        tag
    }

    /// Notes that the request with this tag got its place.
    pub fn served(&mut self, tag: u64) {
        self.virtual_time = self.virtual_time.max(tag);
        let virtual_time = self.virtual_time;
        self.accounts
            .retain(|_, it| it.waiting > 0 || it.finish > virtual_time);
    }

    /// Adds a request.
    pub fn insert(&mut self, ticket: Ticket, waiter: Waiter) {
        let account = self.accounts.entry(waiter.ask.tenant.clone()).or_default();
        account.waiting += 1;
        self.checks.insert((waiter.check, ticket));
        self.by_ticket.insert(ticket, waiter);
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiter> {
        let waiter = self.by_ticket.remove(&ticket)?;
        self.checks.remove(&(waiter.check, ticket));
        if let Some(account) = self.accounts.get_mut(&waiter.ask.tenant) {
            account.waiting = account.waiting.saturating_sub(1);
        }
        Some(waiter)
    }

    /// A waiting request.
    pub fn get(&self, ticket: Ticket) -> Option<&Waiter> {
        self.by_ticket.get(&ticket)
    }

    /// A waiting request, to be changed in all but its check time.
    pub fn get_mut(&mut self, ticket: Ticket) -> Option<&mut Waiter> {
        self.by_ticket.get_mut(&ticket)
    }

    /// Changes when a request is looked at again.
    pub fn check_at(&mut self, ticket: Ticket, check: Instant) {
        let Some(waiter) = self.by_ticket.get_mut(&ticket) else {
            return;
        };
        self.checks.remove(&(waiter.check, ticket));
        waiter.check = check;
        self.checks.insert((check, ticket));
    }

    /// The first request that is due to be looked at.
    pub fn due(&self, now: Instant) -> Option<Ticket> {
        let (check, ticket) = self.checks.first()?;
        (*check <= now).then_some(*ticket)
    }

    /// When the next request is due to be looked at.
    pub fn next_check(&self) -> Option<Instant> {
        self.checks.first().map(|(check, _)| *check)
    }

    /// The tenant with the most waiting requests, and how many.
    pub fn largest(&self) -> Option<(&Tenant, usize)> {
        let accounts = self.accounts.iter();
        accounts
            .max_by_key(|(_, it)| it.waiting)
            .map(|(tenant, it)| (tenant, it.waiting))
    }

    /// How many requests of a tenant wait.
    pub fn of(&self, tenant: &Tenant) -> usize {
        self.accounts.get(tenant).map_or(0, |it| it.waiting)
    }

    /// The waiting requests for a base model.
    pub fn of_model(&self, model: &Model) -> Vec<Ticket> {
        let waiters = self.by_ticket.iter();
        waiters
            .filter(|(_, it)| it.ask.model == *model)
            .map(|(ticket, _)| *ticket)
            .collect()
    }

    /// The waiting request of a tenant that would be served last.
    pub fn last_of(&self, tenant: &Tenant) -> Option<Ticket> {
        let waiters = self.by_ticket.iter();
        waiters
            .filter(|(_, it)| it.ask.tenant == *tenant)
            .max_by_key(|(_, it)| it.rank)
            .map(|(ticket, _)| *ticket)
    }
}
