//! What the result of a load or unload order means.

use std::time::{Duration, Instant};

use kernel::{
    arena::Key,
    fault::Kind as FaultKind,
    service::{Fencing, State as Availability},
};

use super::{Issued, Kind, State, average};
use crate::{
    adapter::Adapter,
    engine::{Engine, Phase},
    event::{Action, Order, OrderResult, Ticket},
};

/// Failed loads of different adapters, one after another, that mean that the store is down.
const STORE_DOWN_FAILURES: u32 = 3;

/// How often a store that is down is tried.
const STORE_PROBE_INTERVAL: Duration = Duration::from_secs(1);

impl State {
    pub(super) fn ordered(&mut self, order: Order, result: OrderResult, now: Instant) {
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
        if result == OrderResult::StaleFence {
            let name = engine.name.clone();
            self.lost(&name);
            self.actions.push(Action::Superseded { engine: name });
            return;
        }
        if result == OrderResult::Leaving {
            self.set_availability(issued.engine, Availability::Leaving);
        }
        if result == OrderResult::Done {
            self.adopt_checked(issued.engine, now);
        }
        match issued.kind {
            Kind::Load => self.load_ended(issued, order, result, now),
            Kind::Unload => self.unload_ended(issued, order, &result, now),
        }
    }

    pub(super) fn find_slot(&self, key: Key<Engine>, order: Order) -> Option<usize> {
        let slots = &self.engines.get(key)?.contents;
        slots.iter().position(|it| match it.phase {
            Phase::Loading(own) | Phase::Unloading(own, _) => own == order,
            _ => false,
        })
    }

    pub(super) fn load_ended(
        &mut self,
        issued: Issued,
        order: Order,
        result: OrderResult,
        now: Instant,
    ) {
        let key = issued.engine;
        let Some(index) = self.find_slot(key, order) else {
            self.inspect(key);
            return;
        };
        let Some(adapter) = self.slot(key, index).map(|it| it.adapter) else {
            return;
        };
        match result {
            OrderResult::Done => {
                let took = now.saturating_duration_since(issued.at);
                self.load_time = average(self.load_time, took);
                self.loaded(key, index, adapter, now);
            }
            OrderResult::Failed(why) => {
                self.drop_slot(key, index);
                self.load_failed(adapter, &why, now);
            }
            OrderResult::Unknown => {
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

    pub(super) fn loaded(
        &mut self,
        key: Key<Engine>,
        index: usize,
        adapter: Key<Adapter>,
        now: Instant,
    ) {
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

    pub(super) fn end_stalls(&mut self, key: Key<Adapter>, now: Instant) {
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
    pub(super) fn load_failed(&mut self, key: Key<Adapter>, why: &str, now: Instant) {
        self.note_store_failure(key, now);
        let is_down = self.store_is_down(now);
        let first = self.settings.initial_load_backoff;
        let longest = self.settings.max_load_backoff;
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

    pub(super) fn note_store_failure(&mut self, key: Key<Adapter>, now: Instant) {
        if self.store.last != Some(key) {
            self.store.failures += 1;
            self.store.last = Some(key);
        }
        if self.store.failures >= STORE_DOWN_FAILURES {
            self.store.probe_at = Some(now + STORE_PROBE_INTERVAL);
        }
    }

    pub(super) fn refuse_all(&mut self, key: Key<Adapter>, kind: FaultKind, detail: &str) {
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

    pub(super) fn unload_ended(
        &mut self,
        issued: Issued,
        order: Order,
        result: &OrderResult,
        now: Instant,
    ) {
        let key = issued.engine;
        let Some(index) = self.find_slot(key, order) else {
            self.inspect(key);
            return;
        };
        let Some(Phase::Unloading(_, next)) = self.slot(key, index).map(|it| it.phase) else {
            return;
        };
        match result {
            OrderResult::Done | OrderResult::NotLoaded => self.vacate(key, index, next),
            OrderResult::Busy => {
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
    pub(super) fn vacate(&mut self, key: Key<Engine>, index: usize, next: Key<Adapter>) {
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

    /// A request runs that this steward did not know of; the next report tells when it ends.
    pub(super) fn keep_busy(&mut self, key: Key<Engine>, index: usize, now: Instant) {
        if let Some(slot) = self.slot_mut(key, index) {
            slot.foreign = slot.foreign.max(1);
        }
        self.settle_phase(key, index, now);
        self.inspect(key);
    }

    pub(super) fn leave_unsettled(&mut self, key: Key<Engine>, index: usize, now: Instant) {
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
    pub(super) fn close_free_slots(&mut self, key: Key<Engine>) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.slots = u32::try_from(engine.contents.len()).unwrap_or(u32::MAX);
        }
    }

    /// An engine that checks fencing numbers obeys nobody else once it has obeyed this steward.
    pub(super) fn adopt_checked(&mut self, key: Key<Engine>, now: Instant) {
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
}
