//! Adapter slots: which take new work, and which are dropped.

use std::time::Instant;

use kernel::arena::Key;

use super::State;
use crate::{
    adapter::Adapter,
    engine::{Engine, Phase, Slot},
    route::Change,
};

impl State {
    pub(super) fn release_coming(&mut self, key: Key<Adapter>) {
        if let Some(adapter) = self.adapters.get_mut(key) {
            adapter.coming = adapter.coming.saturating_sub(1);
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

    pub(super) fn retire_all(&mut self, key: Key<Engine>) {
        for (index, adapter) in self.ready_slots(key) {
            self.retire(key, index);
            self.requeue(adapter);
        }
    }

    pub(super) fn enlist_all(&mut self, key: Key<Engine>) {
        for (_, adapter) in self.ready_slots(key) {
            self.enlist(key, adapter);
        }
    }

    pub(super) fn ready_slots(&self, key: Key<Engine>) -> Vec<(usize, Key<Adapter>)> {
        let Some(engine) = self.engines.get(key) else {
            return Vec::new();
        };
        let slots = engine.contents.iter().enumerate();
        slots
            .filter(|(_, it)| it.phase == Phase::Ready)
            .map(|(index, it)| (index, it.adapter))
            .collect()
    }

    /// Forgets what an engine has loaded.
    pub(super) fn empty(&mut self, key: Key<Engine>) {
        while let Some(last) = self
            .engines
            .get(key)
            .and_then(|it| it.contents.len().checked_sub(1))
        {
            self.drop_slot(key, last);
        }
    }

    /// Forgets one slot, and places anew what waited for it.
    pub(super) fn drop_slot(&mut self, key: Key<Engine>, index: usize) {
        self.retire(key, index);
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        let slot = engine.contents.remove(index);
        match slot.phase {
            Phase::Loading(_) => self.release_coming(slot.adapter),
            Phase::Unloading(_, next) => self.give_up(next),
            _ => {}
        }
        self.requeue(slot.adapter);
    }
}
