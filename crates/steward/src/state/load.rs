//! Load orders: which adapter goes first, and what the result of an order means.

use std::time::{Duration, Instant};

use kernel::{
    arena::Key,
    fault::Kind as FaultKind,
    reference::Loaded,
    request::Class,
    service::{Fencing, State as Availability},
};

use super::{Issued, Kind, State, average, eviction::Place};
use crate::{
    adapter::Adapter,
    engine::{Engine, Phase, Slot},
    event::{Action, Order, Settled, Ticket},
    route::Change,
};

/// Failed loads of different adapters, one after another, that mean that the store is down.
const STORE_DOWN_FAILURES: u32 = 3;

/// How often a store that is down is tried.
const STORE_PROBE_INTERVAL: Duration = Duration::from_secs(1);

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
    fn end_backoff(&mut self, now: Instant) {
        self.store.probe_at = self.store.probe_at.filter(|it| *it > now);
        for key in &self.pending {
            if let Some(adapter) = self.adapters.get_mut(*key) {
                adapter.retry_at = adapter.retry_at.filter(|it| *it > now);
            }
        }
    }

    /// Loads that could begin now if the budget allowed them.
    pub(super) fn wanted_loads(&self, now: Instant) -> usize {
        let mut first = self.pending.iter().take(MAX_ATTEMPTS);
        let has_place = first.any(|it| self.may_load(*it, now) && self.place(*it, now).is_some());
        if has_place && !self.store_is_down(now) {
            self.pending.len()
        } else {
            0
        }
    }

    fn next_placement(&self, now: Instant) -> Option<(Key<Adapter>, Place)> {
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

    fn may_load(&self, key: Key<Adapter>, now: Instant) -> bool {
        let adapter = self.adapters.get(key);
        adapter.is_some_and(|it| it.retry_at.is_none_or(|at| at <= now))
    }

    /// How much waiting time a load ends, by class, more so when a deadline is near.
    fn urgency(&self, key: Key<Adapter>, now: Instant) -> f64 {
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

    fn begin(&mut self, adapter: Key<Adapter>, place: Place, now: Instant) {
        self.pending.remove(&adapter);
        if let Some(it) = self.adapters.get_mut(adapter) {
            it.coming += 1;
        }
        match place {
            Place::Free(engine) => self.order_load(engine, adapter, now),
            Place::Evict(engine, index) => self.order_unload(engine, index, adapter, now),
        }
    }

    fn issue(&mut self, engine: Key<Engine>, kind: Kind, at: Instant) -> Order {
        self.last_order += 1;
        let order = Order(self.last_order);
        self.orders.insert(order, Issued { engine, at, kind });
        order
    }

    fn order_load(&mut self, key: Key<Engine>, adapter: Key<Adapter>, now: Instant) {
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

    fn order_unload(&mut self, key: Key<Engine>, index: usize, next: Key<Adapter>, now: Instant) {
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

    pub(super) fn ordered(&mut self, order: Order, result: Settled, now: Instant) {
        let Some(issued) = self.orders.remove(&order) else {
            return;
        };
        if issued.kind == Kind::Load {
            self.budget.end();
        }
        let Some(engine) = self.engines.get_mut(issued.engine) else {
            return;
        };
        engine.changed = now;
        if result == Settled::StaleFence {
            let name = engine.name.clone();
            self.lost(&name);
            self.actions.push(Action::Deposed { engine: name });
            return;
        }
        if result == Settled::Leaving {
            self.set_availability(issued.engine, Availability::Leaving);
        }
        if result == Settled::Done {
            self.adopt_checked(issued.engine, now);
        }
        match issued.kind {
            Kind::Load => self.load_ended(issued, order, result, now),
            Kind::Unload => self.unload_ended(issued, order, &result, now),
        }
    }

    fn find_slot(&self, key: Key<Engine>, order: Order) -> Option<usize> {
        let slots = &self.engines.get(key)?.contents;
        slots.iter().position(|it| match it.phase {
            Phase::Loading(own) | Phase::Unloading(own, _) => own == order,
            _ => false,
        })
    }

    fn load_ended(&mut self, issued: Issued, order: Order, result: Settled, now: Instant) {
        let key = issued.engine;
        let Some(index) = self.find_slot(key, order) else {
            self.inspect(key);
            return;
        };
        let Some(adapter) = self.slot(key, index).map(|it| it.adapter) else {
            return;
        };
        match result {
            Settled::Done => {
                let took = now.saturating_duration_since(issued.at);
                self.load_time = average(self.load_time, took);
                self.loaded(key, index, adapter, now);
            }
            Settled::Failed(why) => {
                self.drop_slot(key, index);
                self.load_failed(adapter, &why, now);
            }
            Settled::Unknown => {
                self.leave_unsettled(key, index, now);
                self.replan(adapter, now);
            }
            _ => {
                self.drop_slot(key, index);
                self.close_free_slots(key);
                self.inspect(key);
                self.replan(adapter, now);
            }
        }
    }

    fn loaded(&mut self, key: Key<Engine>, index: usize, adapter: Key<Adapter>, now: Instant) {
        self.store = super::Store::default();
        self.release_coming(adapter);
        if let Some(it) = self.adapters.get_mut(adapter) {
            it.loaded();
        }
        self.make_ready(key, index, now);
        self.end_stalls(adapter, now);
        self.grant_adapter(adapter, now);
        self.requeue(adapter);
    }

    fn end_stalls(&mut self, key: Key<Adapter>, now: Instant) {
        let Some(adapter) = self.adapters.get(key) else {
            return;
        };
        for rank in &adapter.waiting {
            if let Some(waiter) = self.waiters.get_mut(rank.ticket()) {
                waiter.arrived_adapter(now);
            }
        }
    }

    /// Waiting requests stay for another try unless the adapter or the store keeps failing.
    fn load_failed(&mut self, key: Key<Adapter>, why: &str, now: Instant) {
        self.note_store_failure(key, now);
        let is_down = self.store_is_down(now);
        let first = self.settings.load_backoff;
        let longest = self.settings.longest_load_backoff;
        let Some(adapter) = self.adapters.get_mut(key) else {
            return;
        };
        adapter.failed(first, longest, now);
        if is_down || adapter.failures >= STORE_DOWN_FAILURES {
            let detail = format!("{} could not be loaded: {why}", adapter.reference);
            self.refuse_all(key, FaultKind::LoadFailed, &detail);
        }
        self.replan(key, now);
    }

    fn note_store_failure(&mut self, key: Key<Adapter>, now: Instant) {
        if self.store.last != Some(key) {
            self.store.failures += 1;
            self.store.last = Some(key);
        }
        if self.store.failures >= STORE_DOWN_FAILURES {
            self.store.probe_at = Some(now + STORE_PROBE_INTERVAL);
        }
    }

    fn refuse_all(&mut self, key: Key<Adapter>, kind: FaultKind, detail: &str) {
        let Some(adapter) = self.adapters.get(key) else {
            return;
        };
        if !adapter.ready.is_empty() {
            return;
        }
        let tickets: Vec<Ticket> = adapter.waiting.iter().map(|it| it.ticket()).collect();
        for ticket in tickets {
            self.refuse_waiter(ticket, kind, detail);
        }
    }

    fn unload_ended(&mut self, issued: Issued, order: Order, result: &Settled, now: Instant) {
        let key = issued.engine;
        let Some(index) = self.find_slot(key, order) else {
            self.inspect(key);
            return;
        };
        let Some(Phase::Unloading(_, next)) = self.slot(key, index).map(|it| it.phase) else {
            return;
        };
        match result {
            Settled::Done | Settled::NotLoaded => self.vacate(key, index, next),
            Settled::Busy => {
                self.give_up(next);
                self.keep_busy(key, index, now);
            }
            _ => {
                self.give_up(next);
                self.leave_unsettled(key, index, now);
            }
        }
    }

    /// Frees a slot. The load that it was freed for, or a more urgent one, takes its turn at the
    /// budget now, since the unload may have taken long.
    fn vacate(&mut self, key: Key<Engine>, index: usize, next: Key<Adapter>) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.contents.remove(index);
        }
        self.give_up(next);
    }

    /// Ends the reservation of a load; its waiting requests are placed anew.
    pub(super) fn give_up(&mut self, next: Key<Adapter>) {
        self.budget.unreserve();
        self.release_coming(next);
        self.requeue(next);
    }

    pub(super) fn release_coming(&mut self, key: Key<Adapter>) {
        if let Some(adapter) = self.adapters.get_mut(key) {
            adapter.coming = adapter.coming.saturating_sub(1);
        }
    }

    /// A request runs that this steward did not know of; the next report tells when it ends.
    fn keep_busy(&mut self, key: Key<Engine>, index: usize, now: Instant) {
        if let Some(slot) = self.slot_mut(key, index) {
            slot.foreign = slot.foreign.max(1);
        }
        self.settle_phase(key, index, now);
        self.inspect(key);
    }

    fn leave_unsettled(&mut self, key: Key<Engine>, index: usize, now: Instant) {
        let Some(slot) = self.slot_mut(key, index) else {
            return;
        };
        let was_loading = matches!(slot.phase, Phase::Loading(_));
        let adapter = slot.adapter;
        slot.phase = Phase::Unsettled;
        slot.since = now;
        if was_loading {
            self.release_coming(adapter);
        }
        self.inspect(key);
    }

    /// Stops new loads into free slots until the engine's next report.
    fn close_free_slots(&mut self, key: Key<Engine>) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.slots = u32::try_from(engine.contents.len()).unwrap_or(u32::MAX);
        }
    }

    /// An engine that checks fencing numbers obeys nobody else once it has obeyed this steward.
    fn adopt_checked(&mut self, key: Key<Engine>, now: Instant) {
        let Some(engine) = self.engines.get(key) else {
            return;
        };
        if engine.fencing != Fencing::Checked {
            return;
        }
        for index in 0..engine.contents.len() {
            let phase = self.slot(key, index).map(|it| it.phase);
            if matches!(phase, Some(Phase::Foreign | Phase::Drained)) {
                self.make_ready(key, index, now);
            }
        }
    }

    pub(super) fn slot(&self, key: Key<Engine>, index: usize) -> Option<&Slot> {
        self.engines.get(key)?.contents.get(index)
    }

    pub(super) fn slot_mut(&mut self, key: Key<Engine>, index: usize) -> Option<&mut Slot> {
        self.engines.get_mut(key)?.contents.get_mut(index)
    }

    /// Lets a slot take new work.
    pub(super) fn make_ready(&mut self, key: Key<Engine>, index: usize, now: Instant) {
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        let is_usable = engine.is_usable();
        let slot = &mut engine.contents[index];
        slot.phase = Phase::Ready;
        slot.since = now;
        let adapter = slot.adapter;
        if !is_usable {
            return;
        }
        self.enlist(key, adapter);
    }

    /// Offers an adapter on an engine for new work.
    pub(super) fn enlist(&mut self, key: Key<Engine>, adapter: Key<Adapter>) {
        let Some(it) = self.adapters.get_mut(adapter) else {
            return;
        };
        if it.ready.contains(&key) {
            return;
        }
        it.ready.push(key);
        let reference = it.reference.clone();
        self.publish(key, Change::Loaded(reference));
    }

    /// Withdraws an adapter on an engine from new work.
    pub(super) fn retire(&mut self, key: Key<Engine>, index: usize) {
        let Some(adapter) = self.slot(key, index).map(|it| it.adapter) else {
            return;
        };
        let Some(it) = self.adapters.get_mut(adapter) else {
            return;
        };
        if !it.ready.contains(&key) {
            return;
        }
        it.ready.retain(|ready| *ready != key);
        let reference = it.reference.clone();
        self.publish(key, Change::Unloaded(reference));
    }
}

fn weight(class: Class) -> f64 {
    match class {
        Class::Background => 0.25,
        Class::Standard => 1.0,
        Class::Interactive => 4.0,
    }
}
