//! Starts and stops the use of adapter slots.

use std::time::Instant;

use kernel::arena::Key;

use super::State;
use crate::{
    adapter::Adapter,
    engine::{Engine, Phase, Slot},
    route::Change,
};

impl State {
    pub(super) fn end_in_flight_load(&mut self, key: Key<Adapter>) {
        if let Some(adapter) = self.adapters.get_mut(key) {
            adapter.in_flight_loads = adapter.in_flight_loads.saturating_sub(1);
        }
    }

    pub(super) fn slot(&self, key: Key<Engine>, index: usize) -> Option<&Slot> {
        self.engines.get(key)?.used_slots.get(index)
    }

    pub(super) fn slot_mut(&mut self, key: Key<Engine>, index: usize) -> Option<&mut Slot> {
        self.engines.get_mut(key)?.used_slots.get_mut(index)
    }

    /// Makes a slot accept new requests.
    pub(super) fn make_ready(&mut self, key: Key<Engine>, index: usize, now: Instant) {
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        let is_usable = engine.is_usable();
        let slot = &mut engine.used_slots[index];
        slot.phase = Phase::Ready;
        slot.phase_since = now;
        let adapter = slot.adapter;
        if !is_usable {
            return;
        }
        self.start_serving(key, adapter);
    }

    /// Adds an engine to those that accept new requests for an adapter.
    pub(super) fn start_serving(&mut self, key: Key<Engine>, adapter: Key<Adapter>) {
        let Some(it) = self.adapters.get_mut(adapter) else {
            return;
        };
        if it.ready_engines.contains(&key) {
            return;
        }
        it.ready_engines.push(key);
        let reference = it.reference.clone();
        self.publish(key, Change::Loaded(reference));
    }

    /// Removes an engine from those that accept new requests for the adapter of a slot.
    pub(super) fn stop_serving(&mut self, key: Key<Engine>, index: usize) {
        let Some(adapter) = self.slot(key, index).map(|it| it.adapter) else {
            return;
        };
        let Some(it) = self.adapters.get_mut(adapter) else {
            return;
        };
        if !it.ready_engines.contains(&key) {
            return;
        }
        it.ready_engines.retain(|ready| *ready != key);
        let reference = it.reference.clone();
        self.publish(key, Change::Unloaded(reference));
    }

    pub(super) fn stop_serving_all(&mut self, key: Key<Engine>) {
        for (index, adapter) in self.ready_slots(key) {
            self.stop_serving(key, index);
            self.enqueue_load(adapter);
        }
    }

    pub(super) fn start_serving_all(&mut self, key: Key<Engine>) {
        for (_, adapter) in self.ready_slots(key) {
            self.start_serving(key, adapter);
        }
    }

    pub(super) fn ready_slots(&self, key: Key<Engine>) -> Vec<(usize, Key<Adapter>)> {
        let Some(engine) = self.engines.get(key) else {
            return Vec::new();
        };
        let slots = engine.used_slots.iter().enumerate();
        slots
            .filter(|(_, it)| it.phase == Phase::Ready)
            .map(|(index, it)| (index, it.adapter))
            .collect()
    }

    /// Drops all slots of an engine.
    pub(super) fn drop_all_slots(&mut self, key: Key<Engine>) {
        while let Some(last) = self
            .engines
            .get(key)
            .and_then(|it| it.used_slots.len().checked_sub(1))
        {
            self.drop_slot(key, last);
        }
    }

    /// Drops a slot, and queues the loads that depended on it again.
    pub(super) fn drop_slot(&mut self, key: Key<Engine>, index: usize) {
        self.stop_serving(key, index);
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        let slot = engine.used_slots.remove(index);
        match slot.phase {
            Phase::Loading(_) => self.end_in_flight_load(slot.adapter),
            Phase::Unloading(_, next) => self.cancel_reserved_load(next),
            _ => {}
        }
        self.enqueue_load(slot.adapter);
    }
}
