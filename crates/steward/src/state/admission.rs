//! Whether a request may wait, and what becomes of it while it does.

use std::time::{Duration, Instant};

use kernel::{
    arena::Key,
    fault::{Fault, Kind},
    permit::{Request, Verdict},
};

use super::{State, USUAL_TOKENS};
use crate::{
    adapter::{Adapter, Rank},
    drift::Hit,
    event::{Action, Ticket},
    waiters::Waiter,
};

/// How long an estimate counts after the last answer that it was learned from.
const ESTIMATE_TIME: Duration = Duration::from_secs(10);

/// Whether a waiting request can still be served in time.
enum Outlook {
    Hopeful(Instant),
    Hopeless(Kind),
}

impl State {
    pub(super) fn ask(&mut self, ticket: Ticket, ask: Request, now: Instant) {
        if !self.has_engine_for(&ask.model) {
            self.actions.push(Action::Redirect { ticket });
            return;
        }
        let key = self.intern(&ask.reference, &ask.model, now);
        self.count(key, now);
        if let Some(fault) = self.objection(key, &ask, now) {
            self.refuse(ticket, fault);
            return;
        }
        if !self.make_room(&ask) {
            let wait = self.expected_wait(key, now).unwrap_or(self.load_time);
            let detail = format!("tenant {} has the most waiting requests", ask.tenant);
            self.refuse(
                ticket,
                Fault::new(Kind::TenantLimit, detail).with_retry_after(wait),
            );
            return;
        }
        self.enqueue(ticket, ask, key, now);
        self.grant_adapter(key, now);
        self.requeue(key);
    }

    fn count(&mut self, key: Key<Adapter>, now: Instant) {
        let aging = self.settings.aging();
        let age = self.drift.age(now);
        let Some(adapter) = self.adapters.get_mut(key) else {
            return;
        };
        adapter.popularity.count(aging, age);
        let hit = self.hit(key);
        self.drift.note(hit, now);
    }

    fn hit(&self, key: Key<Adapter>) -> Hit {
        let Some(adapter) = self.adapters.get(key) else {
            return Hit::Hit;
        };
        if !adapter.ready.is_empty() || adapter.coming > 0 {
            return Hit::Hit;
        }
        let mut engines = self
            .engines
            .iter()
            .filter(|(_, it)| it.model == adapter.model);
        if engines.any(|(_, it)| it.is_usable() && it.has_free_slot()) {
            Hit::Hit
        } else {
            Hit::Miss
        }
    }

    fn enqueue(&mut self, ticket: Ticket, ask: Request, key: Key<Adapter>, now: Instant) {
        let tag = self.waiters.tag(&ask.tenant, ask.max_tokens);
        let rank = Rank::new(ask.class, tag, ticket);
        let deadline = now + ask.remaining;
        let stalled = self.adapters.get(key).is_none_or(|it| it.ready.is_empty());
        let waiter = Waiter {
            adapter: key,
            rank,
            arrived: now,
            deadline,
            check: now,
            stalled: stalled.then_some(now),
            stall: Duration::ZERO,
            ask,
        };
        self.waiters.insert(ticket, waiter);
        if let Some(adapter) = self.adapters.get_mut(key) {
            adapter.waiting.insert(rank);
        }
    }

    /// Why a request can't be served in time, if it can't.
    fn objection(&mut self, key: Key<Adapter>, ask: &Request, now: Instant) -> Option<Fault> {
        let adapter = self.adapters.get(key)?;
        let is_loaded = !adapter.ready.is_empty();
        let blocked = adapter
            .retry_at
            .filter(|it| adapter.failures > 2 && *it > now);
        if !is_loaded && adapter.coming == 0 {
            let blocked = blocked.or(self.store.probe_at.filter(|it| *it > now));
            if let Some(until) = blocked {
                let detail = format!("loads of {} fail at present", ask.reference);
                return Some(Fault::new(Kind::LoadFailed, detail).with_retry_after(until - now));
            }
        }
        if let Some(fault) = self.congested(key, ask, now) {
            return Some(fault);
        }
        let wait = self.expected_wait(key, now)?;
        let service = self.service_time(ask.max_tokens, now);
        if wait + service <= ask.remaining {
            return None;
        }
        let kind = if is_loaded {
            Kind::Overloaded
        } else {
            Kind::LoadTooLate
        };
        let detail = format!(
            "{} would wait {} ms and take {} ms",
            ask.reference,
            wait.as_millis(),
            service.as_millis()
        );
        Some(Fault::new(kind, detail).with_retry_after(wait.max(self.load_time)))
    }

    /// Keeps a queue short when it does not empty by itself. A request that can share the load of
    /// another one adds nothing to the queue at the store.
    fn congested(&mut self, key: Key<Adapter>, ask: &Request, now: Instant) -> Option<Fault> {
        let wait = self.batch_wait(key);
        let adapter = self.adapters.get_mut(key)?;
        if !adapter.ready.is_empty() {
            adapter.congestion.note(Some(wait), now);
            let limit = adapter.congestion.limit(ask.class, now)?;
            let detail = format!(
                "the queue for {} is {} ms long",
                ask.reference,
                wait.as_millis()
            );
            return (wait > limit)
                .then(|| Fault::new(Kind::Overloaded, detail).with_retry_after(wait));
        }
        let is_shared = adapter.coming > 0;
        let limit = self.congestion.limit(ask.class, now)?;
        if is_shared || self.pending.contains(&key) {
            return None;
        }
        let wait = self.budget.wait(self.pending.len(), now)?;
        if wait <= limit {
            return None;
        }
        let detail = format!(
            "the queue at the weight store is {} ms long",
            wait.as_millis()
        );
        Some(Fault::new(Kind::Overloaded, detail).with_retry_after(wait))
    }

    /// How long a new request for an adapter would wait; none if that can't be told.
    fn expected_wait(&mut self, key: Key<Adapter>, now: Instant) -> Option<Duration> {
        let adapter = self.adapters.get(key)?;
        if !adapter.ready.is_empty() {
            return Some(self.batch_wait(key));
        }
        if adapter.coming > 0 {
            return Some(self.load_time);
        }
        let retry = adapter
            .retry_at
            .map_or(Duration::ZERO, |it| it.saturating_duration_since(now));
        let others = self.pending.len() - usize::from(self.pending.contains(&key));
        let token = self.budget.wait(others, now)?;
        Some(token.max(retry) + self.load_time)
    }

    /// How long a request for a loaded adapter waits for room in a batch.
    pub(super) fn batch_wait(&self, key: Key<Adapter>) -> Duration {
        let Some(adapter) = self.adapters.get(key) else {
            return Duration::ZERO;
        };
        let mut waiting = 0;
        let mut capacity = 0;
        for engine in adapter.ready.iter().filter_map(|it| self.engines.get(*it)) {
            if engine.has_room() {
                return Duration::ZERO;
            }
            capacity += engine.capacity;
            let slots = engine.contents.iter();
            waiting += slots
                .filter_map(|it| self.adapters.get(it.adapter))
                .map(|it| it.waiting.len())
                .sum::<usize>();
        }
        let turns = u32::try_from(waiting).unwrap_or(u32::MAX).saturating_add(1);
        self.hold_time.saturating_mul(turns) / capacity.max(1)
    }

    /// How long an answer takes once its request runs. Callers say how long it may be, not how long
    /// it will be: without recent answers to learn that from, a usual length counts. Otherwise an
    /// estimate that is too high would refuse every request, and nothing would correct it.
    fn service_time(&self, max_tokens: u32, now: Instant) -> Duration {
        let is_recent = self
            .learned
            .is_some_and(|it| now.saturating_duration_since(it) < ESTIMATE_TIME);
        if is_recent {
            return self.token_time.saturating_mul(max_tokens);
        }
        let tokens = max_tokens.min(USUAL_TOKENS);
        self.settings.initial_token_time.saturating_mul(tokens)
    }

    /// Makes room in the queue at the expense of the tenant that fills it most.
    fn make_room(&mut self, ask: &Request) -> bool {
        if self.waiters.len() < self.settings.max_waiting {
            return true;
        }
        let own = self.waiters.of(&ask.tenant);
        let Some((largest, count)) = self.waiters.largest() else {
            return false;
        };
        if count <= own + 1 {
            return false;
        }
        let largest = largest.clone();
        let Some(ticket) = self.waiters.last_of(&largest) else {
            return false;
        };
        let detail = format!("tenant {largest} has the most waiting requests");
        self.refuse_waiter(ticket, Kind::TenantLimit, &detail);
        true
    }

    pub(super) fn withdraw(&mut self, ticket: Ticket) {
        self.take_waiter(ticket);
    }

    /// Removes a request from every queue.
    pub(super) fn take_waiter(&mut self, ticket: Ticket) -> Option<Waiter> {
        let waiter = self.waiters.remove(ticket)?;
        let adapter = self.adapters.get_mut(waiter.adapter)?;
        adapter.waiting.remove(&waiter.rank);
        if adapter.waiting.is_empty() {
            self.pending.remove(&waiter.adapter);
        }
        Some(waiter)
    }

    fn refuse(&mut self, ticket: Ticket, fault: Fault) {
        let verdict = Verdict::Refused(fault);
        self.actions.push(Action::Answer { ticket, verdict });
    }

    pub(super) fn refuse_waiter(&mut self, ticket: Ticket, kind: Kind, detail: &str) {
        if self.take_waiter(ticket).is_none() {
            return;
        }
        let fault = Fault::new(kind, detail).with_retry_after(self.load_time);
        self.refuse(ticket, fault);
    }

    /// Refuses each waiting request as soon as it can't be served in time any more.
    pub(super) fn check_waiters(&mut self, now: Instant) {
        while let Some(ticket) = self.waiters.due(now) {
            match self.outlook(ticket, now) {
                Outlook::Hopeful(check) => self.waiters.check_at(ticket, check),
                Outlook::Hopeless(kind) => {
                    self.refuse_waiter(ticket, kind, "the deadline can't be met any more");
                }
            }
        }
    }

    fn outlook(&self, ticket: Ticket, now: Instant) -> Outlook {
        let Some(waiter) = self.waiters.get(ticket) else {
            return Outlook::Hopeless(Kind::Internal);
        };
        let service = self.service_time(waiter.ask.max_tokens, now);
        let Some(start_by) = waiter.deadline.checked_sub(service) else {
            return Outlook::Hopeless(Kind::DeadlineBeforeStart);
        };
        let Some(adapter) = self.adapters.get(waiter.adapter) else {
            return Outlook::Hopeless(Kind::Internal);
        };
        if !adapter.ready.is_empty() {
            return outlook(start_by, Kind::Overloaded, now);
        }
        if adapter.coming > 0 {
            return outlook(start_by, Kind::LoadTooLate, now);
        }
        let load_by = start_by.checked_sub(self.load_time).unwrap_or(now);
        outlook(load_by, Kind::LoadTooLate, now)
    }
}

fn outlook(by: Instant, kind: Kind, now: Instant) -> Outlook {
    if by > now {
        Outlook::Hopeful(by)
    } else {
        Outlook::Hopeless(kind)
    }
}
