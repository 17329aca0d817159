//! Admits permit requests to the queue, and refuses those that can't be served in time.

use std::time::{Duration, Instant};

use kernel::{
    arena::Key,
    fault::{Fault, Kind},
    permit::{Request, Verdict},
};

use super::{DEFAULT_ANSWER_TOKENS, State};
use crate::{
    adapter::{Adapter, Rank},
    drift::Lookup,
    event::{Action, Ticket},
    waiters::Waiter,
};

/// How long estimates stay valid after the last completed answer.
const ESTIMATE_LIFETIME: Duration = Duration::from_secs(10);

/// Requests are refused while an adapter backs off after more consecutive load failures than this.
const MAX_RETRIED_FAILURES: u32 = 2;

/// The result of checking a waiting request against its deadline.
enum Feasibility {
    /// The request can be served in time until this time.
    Feasible(Instant),
    /// The request is refused for this reason.
    Infeasible(Kind),
}

impl State {
    pub(super) fn request_permit(&mut self, ticket: Ticket, request: Request, now: Instant) {
        if !self.has_engine_for(&request.model) {
            self.actions.push(Action::Redirect { ticket });
            return;
        }
        let key = self.adapter_key(&request.reference, &request.model, now);
        self.record_request(key, now);
        if let Some(fault) = self.find_refusal_reason(key, &request, now) {
            self.refuse(ticket, fault);
            return;
        }
        if !self.make_queue_room(&request) {
            let wait = self.expected_wait(key, now).unwrap_or(self.load_time);
            let detail = format!("tenant {} has the most waiting requests", request.tenant);
            self.refuse(
                ticket,
                Fault::new(Kind::TenantLimit, detail).with_retry_after(wait),
            );
            return;
        }
        self.enqueue(ticket, request, key, now);
        self.grant_adapter(key, now);
        self.enqueue_load(key);
    }

    fn record_request(&mut self, key: Key<Adapter>, now: Instant) {
        let aging = self.settings.aging();
        let popularity_time = self.drift.popularity_time(now);
        let Some(adapter) = self.adapters.get_mut(key) else {
            return;
        };
        adapter.popularity.record_request(aging, popularity_time);
        let lookup = self.lookup(key);
        self.drift.record(lookup, now);
    }

    /// Returns whether a request for the adapter needs an eviction.
    fn lookup(&self, key: Key<Adapter>) -> Lookup {
        let Some(adapter) = self.adapters.get(key) else {
            return Lookup::Hit;
        };
        if !adapter.ready_engines.is_empty() || adapter.in_flight_loads > 0 {
            return Lookup::Hit;
        }
        let mut engines = self
            .engines
            .iter()
            .filter(|(_, it)| it.model == adapter.model);
        if engines.any(|(_, it)| it.is_usable() && it.has_free_slot()) {
            Lookup::Hit
        } else {
            Lookup::Miss
        }
    }

    fn enqueue(&mut self, ticket: Ticket, request: Request, key: Key<Adapter>, now: Instant) {
        let tag = self.waiters.assign_tag(&request.tenant, request.max_tokens);
        let rank = Rank::new(request.class, tag, ticket);
        let deadline = now + request.remaining;
        let is_stalled = self
            .adapters
            .get(key)
            .is_none_or(|it| it.ready_engines.is_empty());
        let waiter = Waiter {
            adapter: key,
            rank,
            arrived_at: now,
            deadline,
            next_check: now,
            stalled_since: is_stalled.then_some(now),
            load_stall: Duration::ZERO,
            request,
        };
        self.waiters.insert(ticket, waiter);
        if let Some(adapter) = self.adapters.get_mut(key) {
            adapter.waiting.insert(rank);
        }
    }

    /// Returns the reason to refuse a request, if there is one.
    fn find_refusal_reason(
        &mut self,
        key: Key<Adapter>,
        request: &Request,
        now: Instant,
    ) -> Option<Fault> {
        let adapter = self.adapters.get(key)?;
        let is_loaded = !adapter.ready_engines.is_empty();
        let blocked = adapter
            .retry_at
            .filter(|it| adapter.consecutive_failures > MAX_RETRIED_FAILURES && *it > now);
        if !is_loaded && adapter.in_flight_loads == 0 {
            let blocked = blocked.or(self.store.probe_at.filter(|it| *it > now));
            if let Some(until) = blocked {
                let detail = format!("loads of {} fail at present", request.reference);
                return Some(Fault::new(Kind::LoadFailed, detail).with_retry_after(until - now));
            }
        }
        if let Some(fault) = self.check_congestion(key, request, now) {
            return Some(fault);
        }
        let wait = self.expected_wait(key, now)?;
        let service = self.service_time(request.max_tokens, now);
        if wait + service <= request.remaining {
            return None;
        }
        let kind = if is_loaded {
            Kind::Overloaded
        } else {
            Kind::LoadTooLate
        };
        let detail = format!(
            "{} would wait {} ms and take {} ms",
            request.reference,
            wait.as_millis(),
            service.as_millis()
        );
        Some(Fault::new(kind, detail).with_retry_after(wait.max(self.load_time)))
    }

    /// Refuses a request while its queue doesn't drain. A request that shares the load of an
    /// earlier one adds nothing to the queue at the store.
    fn check_congestion(
        &mut self,
        key: Key<Adapter>,
        request: &Request,
        now: Instant,
    ) -> Option<Fault> {
        let wait = self.batch_wait(key);
        let adapter = self.adapters.get_mut(key)?;
        if !adapter.ready_engines.is_empty() {
            adapter.congestion.record_wait(Some(wait), now);
            let limit = adapter.congestion.max_wait(request.class, now)?;
            let detail = format!(
                "the queue for {} is {} ms long",
                request.reference,
                wait.as_millis()
            );
            return (wait > limit)
                .then(|| Fault::new(Kind::Overloaded, detail).with_retry_after(wait));
        }
        let is_shared = adapter.in_flight_loads > 0;
        let limit = self.congestion.max_wait(request.class, now)?;
        if is_shared || self.pending.contains(&key) {
            return None;
        }
        let wait = self.budget.expected_wait(self.pending.len(), now)?;
        if wait <= limit {
            return None;
        }
        let detail = format!(
            "the queue at the weight store is {} ms long",
            wait.as_millis()
        );
        Some(Fault::new(Kind::Overloaded, detail).with_retry_after(wait))
    }

    /// Estimates how long a new request for an adapter would wait. Returns `None` if no load can
    /// begin.
    fn expected_wait(&mut self, key: Key<Adapter>, now: Instant) -> Option<Duration> {
        let adapter = self.adapters.get(key)?;
        if !adapter.ready_engines.is_empty() {
            return Some(self.batch_wait(key));
        }
        if adapter.in_flight_loads > 0 {
            return Some(self.load_time);
        }
        let backoff = adapter
            .retry_at
            .map_or(Duration::ZERO, |it| it.saturating_duration_since(now));
        let others = self.pending.len() - usize::from(self.pending.contains(&key));
        let budget_wait = self.budget.expected_wait(others, now)?;
        Some(budget_wait.max(backoff) + self.load_time)
    }

    /// Estimates how long a new request for a loaded adapter waits for room in a batch.
    pub(super) fn batch_wait(&self, key: Key<Adapter>) -> Duration {
        let Some(adapter) = self.adapters.get(key) else {
            return Duration::ZERO;
        };
        let mut waiting = 0;
        let mut capacity = 0;
        for engine in adapter
            .ready_engines
            .iter()
            .filter_map(|it| self.engines.get(*it))
        {
            if engine.has_room() {
                return Duration::ZERO;
            }
            capacity += engine.capacity;
            let slots = engine.used_slots.iter();
            waiting += slots
                .filter_map(|it| self.adapters.get(it.adapter))
                .map(|it| it.waiting.len())
                .sum::<usize>();
        }
        let position = u32::try_from(waiting).unwrap_or(u32::MAX).saturating_add(1);
        self.hold_time.saturating_mul(position) / capacity.max(1)
    }

    /// Estimates how long an answer takes once its request runs. Callers state the maximum length
    /// of an answer, not its actual length. Without recent answers, the default length is assumed.
    /// Otherwise, an estimate that is too high would refuse every request, and no answer would ever
    /// correct it.
    fn service_time(&self, max_tokens: u32, now: Instant) -> Duration {
        let is_recent = self
            .estimated_at
            .is_some_and(|it| now.saturating_duration_since(it) < ESTIMATE_LIFETIME);
        if is_recent {
            return self.token_time.saturating_mul(max_tokens);
        }
        let tokens = max_tokens.min(DEFAULT_ANSWER_TOKENS);
        self.settings.initial_token_time.saturating_mul(tokens)
    }

    /// Returns whether there is room in the queue. A full queue gets room by refusing the last
    /// request of the tenant with the most waiting requests, unless the new request would make its
    /// own tenant the one with the most.
    fn make_queue_room(&mut self, request: &Request) -> bool {
        if self.waiters.len() < self.settings.max_waiting {
            return true;
        }
        let own = self.waiters.count_of_tenant(&request.tenant);
        let Some((largest, count)) = self.waiters.largest_tenant() else {
            return false;
        };
        if count <= own + 1 {
            return false;
        }
        let largest = largest.clone();
        let Some(ticket) = self.waiters.last_of_tenant(&largest) else {
            return false;
        };
        let detail = format!("tenant {largest} has the most waiting requests");
        self.refuse_waiter(ticket, Kind::TenantLimit, &detail);
        true
    }

    pub(super) fn withdraw(&mut self, ticket: Ticket) {
        self.remove_waiter(ticket);
    }

    /// Removes a request from all queues.
    pub(super) fn remove_waiter(&mut self, ticket: Ticket) -> Option<Waiter> {
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
        if self.remove_waiter(ticket).is_none() {
            return;
        }
        let fault = Fault::new(kind, detail).with_retry_after(self.load_time);
        self.refuse(ticket, fault);
    }

    /// Refuses each waiting request as soon as it can no longer be served in time.
    pub(super) fn check_waiters(&mut self, now: Instant) {
        while let Some(ticket) = self.waiters.first_due(now) {
            match self.assess(ticket, now) {
                Feasibility::Feasible(check) => self.waiters.reschedule_check(ticket, check),
                Feasibility::Infeasible(kind) => {
                    self.refuse_waiter(ticket, kind, "the deadline can't be met any more");
                }
            }
        }
    }

    fn assess(&self, ticket: Ticket, now: Instant) -> Feasibility {
        let Some(waiter) = self.waiters.get(ticket) else {
            return Feasibility::Infeasible(Kind::Internal);
        };
        let service = self.service_time(waiter.request.max_tokens, now);
        let Some(start_by) = waiter.deadline.checked_sub(service) else {
            return Feasibility::Infeasible(Kind::DeadlineBeforeStart);
        };
        let Some(adapter) = self.adapters.get(waiter.adapter) else {
            return Feasibility::Infeasible(Kind::Internal);
        };
        if !adapter.ready_engines.is_empty() {
            return feasible_until(start_by, Kind::Overloaded, now);
        }
        if adapter.in_flight_loads > 0 {
            return feasible_until(start_by, Kind::LoadTooLate, now);
        }
        let load_by = start_by.checked_sub(self.load_time).unwrap_or(now);
        feasible_until(load_by, Kind::LoadTooLate, now)
    }
}

fn feasible_until(by: Instant, kind: Kind, now: Instant) -> Feasibility {
    if by > now {
        Feasibility::Feasible(by)
    } else {
        Feasibility::Infeasible(kind)
    }
}
