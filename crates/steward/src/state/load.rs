//! Decides which adapter is loaded next, and issues load and unload orders.

use std::time::{Duration, Instant};

use kernel::{arena::Key, reference::Loaded, request::Class};

use super::{OrderKind, PendingOrder, State, eviction::Placement};
use crate::{
    adapter::Adapter,
    engine::{Engine, Phase, Slot},
    event::{Action, Order},
};

/// Number of adapters that are tried for a placement before loads wait for a slot.
const MAX_PLACEMENT_ATTEMPTS: usize = 4;

/// Added to the age of each waiting request, so that many new requests outweigh a single one.
const WAITER_BASE_AGE: Duration = Duration::from_millis(250);

impl State {
    /// Queues a load of the adapter if requests wait for one.
    pub(super) fn enqueue_load(&mut self, key: Key<Adapter>) {
        let Some(adapter) = self.adapters.get(key) else {
            return;
        };
        if adapter.waiting.is_empty() || adapter.in_flight_loads > 0 {
            return;
        }
        if adapter.ready_engines.is_empty() || self.needs_replica(key) {
            self.pending.insert(key);
        }
    }

    /// Queues another load after one that failed, and rechecks the requests that wait for it, so
    /// that those without enough time left are refused.
    pub(super) fn retry_load(&mut self, key: Key<Adapter>, now: Instant) {
        self.enqueue_load(key);
        let Some(adapter) = self.adapters.get(key) else {
            return;
        };
        for rank in &adapter.waiting {
            self.waiters.reschedule_check(rank.ticket(), now);
        }
    }

    /// Returns when the next load can begin, if only time holds it back.
    pub(super) fn next_load_at(&self) -> Option<Instant> {
        if let Some(probe) = self.store.probe_at {
            return Some(probe);
        }
        let retries = self
            .pending
            .iter()
            .filter_map(|it| self.adapters.get(*it)?.retry_at);
        let retry = retries.min();
        self.budget.next_token_at().into_iter().chain(retry).min()
    }

    pub(super) fn store_is_down(&self, now: Instant) -> bool {
        self.store.probe_at.is_some_and(|it| it > now)
    }

    /// Begins as many loads as the budget and the slots allow.
    pub(super) fn start_loads(&mut self, now: Instant) {
        self.clear_expired_backoffs(now);
        while !self.pending.is_empty()
            && self.budget.can_begin_load(now)
            && !self.store_is_down(now)
        {
            let Some((adapter, placement)) = self.next_placement(now) else {
                self.budget.return_unused_loans();
                return;
            };
            self.begin_load(adapter, placement, now);
        }
    }

    /// Clears expired backoff times, so that they don't cause further ticks.
    pub(super) fn clear_expired_backoffs(&mut self, now: Instant) {
        self.store.probe_at = self.store.probe_at.filter(|it| *it > now);
        for key in &self.pending {
            if let Some(adapter) = self.adapters.get_mut(*key) {
                adapter.retry_at = adapter.retry_at.filter(|it| *it > now);
            }
        }
    }

    /// Returns the number of loads that could begin now if the budget allowed them.
    pub(super) fn requested_loads(&self, now: Instant) -> usize {
        let loadable = self
            .pending
            .iter()
            .filter(|it| self.is_past_backoff(**it, now));
        let mut candidates = loadable.take(MAX_PLACEMENT_ATTEMPTS);
        let has_placement = candidates.any(|it| self.find_placement(*it, now).is_some());
        if has_placement && !self.store_is_down(now) {
            self.pending.len()
        } else {
            0
        }
    }

    pub(super) fn next_placement(&self, now: Instant) -> Option<(Key<Adapter>, Placement)> {
        let mut by_urgency: Vec<_> = self
            .pending
            .iter()
            .filter(|it| self.is_past_backoff(**it, now))
            .map(|it| (self.urgency(*it, now), *it))
            .collect();
        by_urgency.sort_by(|a, b| b.0.total_cmp(&a.0));
        by_urgency
            .into_iter()
            .take(MAX_PLACEMENT_ATTEMPTS)
            .find_map(|(_, key)| Some((key, self.find_placement(key, now)?)))
    }

    pub(super) fn is_past_backoff(&self, key: Key<Adapter>, now: Instant) -> bool {
        let adapter = self.adapters.get(key);
        adapter.is_some_and(|it| it.retry_at.is_none_or(|at| at <= now))
    }

    /// Returns the total waiting time that a load would end, weighted by class and by how near the
    /// deadlines are.
    pub(super) fn urgency(&self, key: Key<Adapter>, now: Instant) -> f64 {
        let Some(adapter) = self.adapters.get(key) else {
            return 0.0;
        };
        let waiting = adapter.waiting.iter();
        waiting
            .filter_map(|it| self.waiters.get(it.ticket()))
            .map(|it| {
                let age = now.saturating_duration_since(it.arrived_at) + WAITER_BASE_AGE;
                let time_left = it.next_check.saturating_duration_since(now);
                let deadline_factor = if time_left < self.load_time { 2.0 } else { 1.0 };
                age.as_secs_f64() * class_weight(it.rank.class()) * deadline_factor
            })
            .sum()
    }

    pub(super) fn begin_load(&mut self, adapter: Key<Adapter>, placement: Placement, now: Instant) {
        self.pending.remove(&adapter);
        if let Some(it) = self.adapters.get_mut(adapter) {
            it.in_flight_loads += 1;
        }
        match placement {
            Placement::FreeSlot(engine) => self.order_load(engine, adapter, now),
            Placement::Evict(engine, index) => self.order_unload(engine, index, adapter, now),
        }
    }

    pub(super) fn issue_order(
        &mut self,
        engine: Key<Engine>,
        kind: OrderKind,
        issued_at: Instant,
    ) -> Order {
        self.last_order += 1;
        let order = Order(self.last_order);
        let process = self.engines.get(engine).map(|it| it.process);
        self.orders.insert(
            order,
            PendingOrder {
                engine,
                process,
                issued_at,
                kind,
            },
        );
        order
    }

    pub(super) fn order_load(&mut self, key: Key<Engine>, adapter: Key<Adapter>, now: Instant) {
        self.budget.begin_load();
        let order = self.issue_order(key, OrderKind::Load, now);
        let Some(reference) = self.adapters.get(adapter).map(|it| it.reference.clone()) else {
            return;
        };
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        let epoch = engine.next_epoch();
        let loaded = Loaded { reference, epoch };
        engine.last_order_at = now;
        engine.used_slots.push(Slot {
            loaded: loaded.clone(),
            adapter,
            phase: Phase::Loading(order),
            permits: 0,
            unpermitted: 0,
            phase_since: now,
        });
        self.actions.push(Action::Load {
            order,
            engine: engine.name.clone(),
            address: engine.process.address,
            loaded,
            fence: engine.fence,
        });
    }

    pub(super) fn order_unload(
        &mut self,
        key: Key<Engine>,
        index: usize,
        next: Key<Adapter>,
        now: Instant,
    ) {
        self.budget.reserve();
        let order = self.issue_order(key, OrderKind::Unload, now);
        self.stop_serving(key, index);
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        engine.last_order_at = now;
        let slot = &mut engine.used_slots[index];
        slot.phase = Phase::Unloading(order, next);
        slot.phase_since = now;
        self.actions.push(Action::Unload {
            order,
            engine: engine.name.clone(),
            address: engine.process.address,
            loaded: slot.loaded.clone(),
            fence: engine.fence,
        });
    }
}

fn class_weight(class: Class) -> f64 {
    match class {
        Class::Background => 0.25,
        Class::Standard => 1.0,
        Class::Interactive => 4.0,
    }
}
