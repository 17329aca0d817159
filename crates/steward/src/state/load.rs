//! Load orders: which adapter goes first, and where it goes.

use std::time::{Duration, Instant};

use kernel::{arena::Key, reference::Loaded, request::Class};

use super::{Issued, Kind, State, eviction::Place};
use crate::{
    adapter::Adapter,
    engine::{Engine, Phase, Slot},
    event::{Action, Order},
};

/// How many adapters are considered for one place before the rest has to wait.
const MAX_ATTEMPTS: usize = 4;

/// Added to the age of each waiting request, so that many new ones count more than a single one.
const WAITER_BASE: Duration = Duration::from_millis(250);

impl State {
    /// Notes that an adapter waits for a load, if it does.
    pub(super) fn requeue(&mut self, key: Key<Adapter>) {
        let Some(adapter) = self.adapters.get(key) else {
            return;
        };
        if adapter.waiting.is_empty() || adapter.coming > 0 {
            return;
        }
        if adapter.ready.is_empty() || self.wants_copy(key) {
            self.pending.insert(key);
        }
    }

    /// Places the requests anew that wait for an adapter whose load came to nothing, and refuses
    /// those that have no time left for another.
    pub(super) fn replan(&mut self, key: Key<Adapter>, now: Instant) {
        self.requeue(key);
        let Some(adapter) = self.adapters.get(key) else {
            return;
        };
        for rank in &adapter.waiting {
            self.waiters.check_at(rank.ticket(), now);
        }
    }

    /// When the next load can begin, if that depends on time alone.
    pub(super) fn next_load(&self) -> Option<Instant> {
        if let Some(probe) = self.store.probe_at {
            return Some(probe);
        }
        let retries = self
            .pending
            .iter()
            .filter_map(|it| self.adapters.get(*it)?.retry_at);
        let retry = retries.min();
        self.budget.next_ready().into_iter().chain(retry).min()
    }

    pub(super) fn store_is_down(&self, now: Instant) -> bool {
        self.store.probe_at.is_some_and(|it| it > now)
    }

    /// Begins as many loads as the budget and the slots allow.
    pub(super) fn start_loads(&mut self, now: Instant) {
        self.end_backoff(now);
        while !self.pending.is_empty() && self.budget.is_ready(now) && !self.store_is_down(now) {
            let Some((adapter, place)) = self.next_placement(now) else {
                self.budget.give_back();
                return;
            };
            self.begin(adapter, place, now);
        }
    }

    /// Clears the waiting times that are over, so that they wake nobody again.
    pub(super) fn end_backoff(&mut self, now: Instant) {
        self.store.probe_at = self.store.probe_at.filter(|it| *it > now);
        for key in &self.pending {
            if let Some(adapter) = self.adapters.get_mut(*key) {
                adapter.retry_at = adapter.retry_at.filter(|it| *it > now);
            }
        }
    }

    /// Loads that could begin now if the budget allowed them.
    pub(super) fn wanted_loads(&self, now: Instant) -> usize {
        let ready = self.pending.iter().filter(|it| self.may_load(**it, now));
        let mut first = ready.take(MAX_ATTEMPTS);
        let has_place = first.any(|it| self.place(*it, now).is_some());
        if has_place && !self.store_is_down(now) {
            self.pending.len()
        } else {
            0
        }
    }

    pub(super) fn next_placement(&self, now: Instant) -> Option<(Key<Adapter>, Place)> {
        let mut order: Vec<_> = self
            .pending
            .iter()
            .filter(|it| self.may_load(**it, now))
            .map(|it| (self.urgency(*it, now), *it))
            .collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0));
        order
            .into_iter()
            .take(MAX_ATTEMPTS)
            .find_map(|(_, key)| Some((key, self.place(key, now)?)))
    }

    pub(super) fn may_load(&self, key: Key<Adapter>, now: Instant) -> bool {
        let adapter = self.adapters.get(key);
        adapter.is_some_and(|it| it.retry_at.is_none_or(|at| at <= now))
    }

    /// How much waiting time a load ends, by class, more so when a deadline is near.
    pub(super) fn urgency(&self, key: Key<Adapter>, now: Instant) -> f64 {
        let Some(adapter) = self.adapters.get(key) else {
            return 0.0;
        };
        let waiting = adapter.waiting.iter();
        waiting
            .filter_map(|it| self.waiters.get(it.ticket()))
            .map(|it| {
                let age = now.saturating_duration_since(it.arrived) + WAITER_BASE;
                let left = it.check.saturating_duration_since(now);
                let hurry = if left < self.load_time { 2.0 } else { 1.0 };
                age.as_secs_f64() * weight(it.rank.class()) * hurry
            })
            .sum()
    }

    pub(super) fn begin(&mut self, adapter: Key<Adapter>, place: Place, now: Instant) {
        self.pending.remove(&adapter);
        if let Some(it) = self.adapters.get_mut(adapter) {
            it.coming += 1;
        }
        match place {
            Place::Free(engine) => self.order_load(engine, adapter, now),
            Place::Evict(engine, index) => self.order_unload(engine, index, adapter, now),
        }
    }

    pub(super) fn issue(&mut self, engine: Key<Engine>, kind: Kind, at: Instant) -> Order {
        self.last_order += 1;
        let order = Order(self.last_order);
        self.orders.insert(order, Issued { engine, at, kind });
        order
    }

    pub(super) fn order_load(&mut self, key: Key<Engine>, adapter: Key<Adapter>, now: Instant) {
        self.budget.begin();
        let order = self.issue(key, Kind::Load, now);
        let Some(reference) = self.adapters.get(adapter).map(|it| it.reference.clone()) else {
            return;
        };
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        let epoch = engine.next_epoch();
        let loaded = Loaded { reference, epoch };
        engine.changed = now;
        engine.contents.push(Slot {
            loaded: loaded.clone(),
            adapter,
            phase: Phase::Loading(order),
            permits: 0,
            foreign: 0,
            since: now,
        });
        self.actions.push(Action::Load {
            order,
            engine: engine.name.clone(),
            address: engine.address,
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
        let order = self.issue(key, Kind::Unload, now);
        self.retire(key, index);
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        engine.changed = now;
        let slot = &mut engine.contents[index];
        slot.phase = Phase::Unloading(order, next);
        slot.since = now;
        self.actions.push(Action::Unload {
            order,
            engine: engine.name.clone(),
            address: engine.address,
            loaded: slot.loaded.clone(),
            fence: engine.fence,
        });
    }
}

fn weight(class: Class) -> f64 {
    match class {
        Class::Background => 0.25,
        Class::Standard => 1.0,
        Class::Interactive => 4.0,
    }
}
