//! Handles the results of load and unload orders.

use std::time::{Duration, Instant};

use kernel::{arena::Key, fault::Kind as FaultKind, service::Fencing};

use super::{OrderKind, PendingOrder, State, average};
use crate::{
    adapter::Adapter,
    engine::{Engine, Phase},
    event::{Action, Order, OrderResult, Ticket},
};

/// Number of consecutive failed loads of different adapters after which the store counts as down.
/// After as many consecutive failures of one adapter, the requests that wait for it are refused.
const STORE_DOWN_FAILURES: u32 = 3;

/// How often a load is tried while the store is down.
const STORE_PROBE_INTERVAL: Duration = Duration::from_secs(1);

impl State {
    pub(super) fn handle_order_ended(&mut self, order: Order, result: OrderResult, now: Instant) {
        let Some(pending) = self.orders.remove(&order) else {
            return;
        };
        if pending.kind == OrderKind::Load {
            self.budget.end_load();
        }
        let Some(engine) = self.engines.get_mut(pending.engine) else {
            return;
        };
        engine.last_order_at = now;
        if result == OrderResult::StaleFence {
            let name = engine.name.clone();
            self.handle_lost(&name);
            self.actions.push(Action::Superseded { engine: name });
            return;
        }
        if result == OrderResult::Leaving {
            self.record_leaving(pending.engine, pending.process);
        }
        if result == OrderResult::Done {
            self.adopt_fenced(pending.engine, now);
        }
        match pending.kind {
            OrderKind::Load => self.handle_load_ended(pending, order, result, now),
            OrderKind::Unload => self.handle_unload_ended(pending, order, &result, now),
        }
    }

    pub(super) fn find_slot(&self, key: Key<Engine>, order: Order) -> Option<usize> {
        let slots = &self.engines.get(key)?.used_slots;
        slots.iter().position(|it| match it.phase {
            Phase::Loading(own) | Phase::Unloading(own, _) => own == order,
            _ => false,
        })
    }

    pub(super) fn handle_load_ended(
        &mut self,
        pending: PendingOrder,
        order: Order,
        result: OrderResult,
        now: Instant,
    ) {
        let key = pending.engine;
        let Some(index) = self.find_slot(key, order) else {
            self.query_status(key);
            return;
        };
        let Some(adapter) = self.slot(key, index).map(|it| it.adapter) else {
            return;
        };
        match result {
            OrderResult::Done => {
                let elapsed = now.saturating_duration_since(pending.issued_at);
                self.load_time = average(self.load_time, elapsed);
                self.handle_loaded(key, index, adapter, now);
            }
            OrderResult::Failed(why) => {
                self.drop_slot(key, index);
                self.handle_load_failed(adapter, &why, now);
            }
            OrderResult::Unknown => {
                self.mark_unconfirmed(key, index, now);
                self.retry_load(adapter, now);
            }
            _ => {
                self.drop_slot(key, index);
                self.close_free_slots(key);
                self.query_status(key);
                self.retry_load(adapter, now);
            }
        }
    }

    pub(super) fn handle_loaded(
        &mut self,
        key: Key<Engine>,
        index: usize,
        adapter: Key<Adapter>,
        now: Instant,
    ) {
        self.store = super::StoreHealth::default();
        self.end_in_flight_load(adapter);
        if let Some(it) = self.adapters.get_mut(adapter) {
            it.record_load_success();
        }
        self.make_ready(key, index, now);
        self.end_stalls(adapter, now);
        self.grant_adapter(adapter, now);
        self.enqueue_load(adapter);
    }

    pub(super) fn end_stalls(&mut self, key: Key<Adapter>, now: Instant) {
        let Some(adapter) = self.adapters.get(key) else {
            return;
        };
        for rank in &adapter.waiting {
            if let Some(waiter) = self.waiters.get_mut(rank.ticket()) {
                waiter.end_load_stall(now);
            }
        }
    }

    /// Queues another load. The waiting requests are refused only if the adapter or the store keeps
    /// failing.
    pub(super) fn handle_load_failed(&mut self, key: Key<Adapter>, why: &str, now: Instant) {
        self.record_store_failure(key, now);
        let is_down = self.store_is_down(now);
        let initial = self.settings.initial_load_backoff;
        let max = self.settings.max_load_backoff;
        let Some(adapter) = self.adapters.get_mut(key) else {
            return;
        };
        adapter.record_load_failure(initial, max, now);
        if is_down || adapter.consecutive_failures >= STORE_DOWN_FAILURES {
            let detail = format!("{} could not be loaded: {why}", adapter.reference);
            self.refuse_waiters(key, FaultKind::LoadFailed, &detail);
        }
        self.retry_load(key, now);
    }

    pub(super) fn record_store_failure(&mut self, key: Key<Adapter>, now: Instant) {
        if self.store.last_failed != Some(key) {
            self.store.consecutive_failures += 1;
            self.store.last_failed = Some(key);
        }
        if self.store.consecutive_failures >= STORE_DOWN_FAILURES {
            self.store.probe_at = Some(now + STORE_PROBE_INTERVAL);
        }
    }

    pub(super) fn refuse_waiters(&mut self, key: Key<Adapter>, kind: FaultKind, detail: &str) {
        let Some(adapter) = self.adapters.get(key) else {
            return;
        };
        if !adapter.ready_engines.is_empty() {
            return;
        }
        let tickets: Vec<Ticket> = adapter.waiting.iter().map(|it| it.ticket()).collect();
        for ticket in tickets {
            self.refuse_waiter(ticket, kind, detail);
        }
    }

    pub(super) fn handle_unload_ended(
        &mut self,
        pending: PendingOrder,
        order: Order,
        result: &OrderResult,
        now: Instant,
    ) {
        let key = pending.engine;
        let Some(index) = self.find_slot(key, order) else {
            self.query_status(key);
            return;
        };
        let Some(Phase::Unloading(_, next)) = self.slot(key, index).map(|it| it.phase) else {
            return;
        };
        match result {
            OrderResult::Done | OrderResult::NotLoaded => self.free_slot(key, index, next),
            OrderResult::Busy => {
                self.cancel_reserved_load(next);
                self.mark_busy(key, index, now);
            }
            _ => {
                self.cancel_reserved_load(next);
                self.mark_unconfirmed(key, index, now);
            }
        }
    }

    /// Frees a slot after an unload. The load that the slot was freed for is queued again rather
    /// than begun, since the unload may have taken long and another load may be more urgent now.
    pub(super) fn free_slot(&mut self, key: Key<Engine>, index: usize, next: Key<Adapter>) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.used_slots.remove(index);
        }
        self.cancel_reserved_load(next);
    }

    /// Cancels the reservation of a load and queues the load again.
    pub(super) fn cancel_reserved_load(&mut self, next: Key<Adapter>) {
        self.budget.release_reservation();
        self.end_in_flight_load(next);
        self.enqueue_load(next);
    }

    /// Marks a slot as used by a request that this steward doesn't know of. The next slot report
    /// shows when the request has ended.
    pub(super) fn mark_busy(&mut self, key: Key<Engine>, index: usize, now: Instant) {
        if let Some(slot) = self.slot_mut(key, index) {
            slot.unpermitted = slot.unpermitted.max(1);
        }
        self.resolve_phase(key, index, now);
        self.query_status(key);
    }

    /// Marks a slot whose order got no answer.
    pub(super) fn mark_unconfirmed(&mut self, key: Key<Engine>, index: usize, now: Instant) {
        let Some(slot) = self.slot_mut(key, index) else {
            return;
        };
        let was_loading = matches!(slot.phase, Phase::Loading(_));
        let adapter = slot.adapter;
        slot.phase = Phase::Unconfirmed;
        slot.phase_since = now;
        if was_loading {
            self.end_in_flight_load(adapter);
        }
        self.query_status(key);
    }

    /// Stops loads into free slots until the engine's next slot report.
    pub(super) fn close_free_slots(&mut self, key: Key<Engine>) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.slot_count = u32::try_from(engine.used_slots.len()).unwrap_or(u32::MAX);
        }
    }

    /// Adopts the adapters of earlier stewards. An engine that checks fencing tokens rejects their
    /// orders once it has carried out an order of this steward.
    pub(super) fn adopt_fenced(&mut self, key: Key<Engine>, now: Instant) {
        let Some(engine) = self.engines.get(key) else {
            return;
        };
        if engine.fencing != Fencing::Checked {
            return;
        }
        for index in 0..engine.used_slots.len() {
            let phase = self.slot(key, index).map(|it| it.phase);
            if matches!(phase, Some(Phase::Unadopted | Phase::UnadoptedIdle)) {
                self.make_ready(key, index, now);
            }
        }
    }
}
