//! Exact reports of engines, and what they correct.

use std::time::Instant;

use kernel::{arena::Key, name::Upstream, reference::Loaded};

use super::State;
use crate::{
    engine::{Contact, Engine, Phase, Slot},
    event::{Action, Predecessor},
    route::Change,
};

impl State {
    pub(super) fn report(
        &mut self,
        name: &Upstream,
        asked: Instant,
        incarnation: u64,
        slots: u32,
        loaded: Vec<(Loaded, u32)>,
        now: Instant,
    ) {
        let Some(key) = self.engine_names.get(name).copied() else {
            return;
        };
        let Some(engine) = self.engines.get(key) else {
            return;
        };
        if engine.incarnation.is_some_and(|it| it > incarnation) {
            return;
        }
        if engine.incarnation.is_some_and(|it| it < incarnation) {
            self.restarted(key);
        }
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        if asked < engine.changed {
            self.inspect(key);
            return;
        }
        engine.incarnation = Some(incarnation);
        engine.slots = slots;
        self.drop_missing(key, &loaded, now);
        self.join(key);
        for (loaded, running) in loaded {
            self.reconcile(key, loaded, running, asked, now);
        }
        self.grant_engine(key, now);
    }

    /// An engine that restarts has lost everything that it had. The holders of permits release them
    /// when their streams break.
    pub(super) fn restarted(&mut self, key: Key<Engine>) {
        self.empty(key);
        if let Some(engine) = self.engines.get_mut(key) {
            engine.contact = Contact::Absent;
        }
    }

    pub(super) fn join(&mut self, key: Key<Engine>) {
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        if engine.contact == Contact::Known {
            return;
        }
        engine.contact = Contact::Known;
        let is_usable = engine.is_usable();
        let joined = self.introduction(key);
        self.actions.extend(joined);
        if is_usable {
            self.enlist_all(key);
        }
    }

    /// What a directory has to be told of an engine.
    pub(super) fn introduction(&self, key: Key<Engine>) -> Vec<Action> {
        let Some(engine) = self.engines.get(key) else {
            return Vec::new();
        };
        let joined = Change::Added {
            domain: engine.domain.clone(),
            model: engine.model.clone(),
            fence: engine.fence,
            state: engine.state,
        };
        let slots = engine.contents.iter();
        let ready = slots.filter_map(|it| self.adapters.get(it.adapter));
        let ready = ready.filter(|it| it.ready.contains(&key));
        let loaded = ready.map(|it| Change::Loaded(it.reference.clone()));
        let changes = std::iter::once(joined)
            .chain([Change::Occupancy(engine.published)])
            .chain(loaded);
        changes
            .map(|change| Action::Publish {
                engine: engine.name.clone(),
                change,
            })
            .collect()
    }

    /// Drops what the engine does not have any more.
    pub(super) fn drop_missing(
        &mut self,
        key: Key<Engine>,
        loaded: &[(Loaded, u32)],
        now: Instant,
    ) {
        let Some(engine) = self.engines.get(key) else {
            return;
        };
        for index in (0..engine.contents.len()).rev() {
            let Some(slot) = self.slot(key, index) else {
                continue;
            };
            let is_there = loaded.iter().any(|(it, _)| *it == slot.loaded);
            if !is_there && self.may_be_gone(slot, now) {
                self.drop_slot(key, index);
            }
        }
    }

    pub(super) fn may_be_gone(&self, slot: &Slot, now: Instant) -> bool {
        match slot.phase {
            Phase::Loading(_) | Phase::Unloading(..) => false,
            Phase::Unsettled => now >= slot.since + self.settings.load_timeout,
            Phase::Ready | Phase::Foreign | Phase::Drained => true,
        }
    }

    pub(super) fn reconcile(
        &mut self,
        key: Key<Engine>,
        loaded: Loaded,
        running: u32,
        asked: Instant,
        now: Instant,
    ) {
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        let known = engine.contents.iter().position(|it| it.loaded == loaded);
        let Some(index) = known else {
            self.discover(key, loaded, running, asked, now);
            return;
        };
        let slot = &mut engine.contents[index];
        slot.foreign = running.saturating_sub(slot.permits);
        match slot.phase {
            Phase::Unsettled => self.settle_phase(key, index, now),
            Phase::Foreign => self.drain(key, index, asked),
            _ => {}
        }
    }

    /// Takes in an adapter that this steward did not know to be there.
    pub(super) fn discover(
        &mut self,
        key: Key<Engine>,
        loaded: Loaded,
        running: u32,
        asked: Instant,
        now: Instant,
    ) {
        let Some(model) = self.engines.get(key).map(|it| it.model.clone()) else {
            return;
        };
        let adapter = self.intern(&loaded.reference, &model, now);
        let permits = self.permits.on(key, &loaded);
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        engine.contents.push(Slot {
            loaded,
            adapter,
            phase: Phase::Unsettled,
            permits,
            foreign: running.saturating_sub(permits),
            since: now,
        });
        let index = engine.contents.len() - 1;
        self.settle_phase(key, index, now);
        self.drain(key, index, asked);
        self.grant_adapter(adapter, now);
    }

    /// Decides whether an adapter that is there may take new work.
    pub(super) fn settle_phase(&mut self, key: Key<Engine>, index: usize, now: Instant) {
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        let is_own = engine.is_own(engine.contents[index].loaded.epoch);
        let has_twin = engine.has_ready_twin(index);
        if !has_twin && (is_own || engine.predecessor != Predecessor::Unknown) {
            self.make_ready(key, index, now);
            return;
        }
        engine.contents[index].phase = Phase::Foreign;
    }

    /// An idle adapter of an earlier steward may be evicted once that steward's permits are void.
    pub(super) fn drain(&mut self, key: Key<Engine>, index: usize, asked: Instant) {
        let void_after = self.settings.start_timeout * 2;
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        let is_void = asked >= engine.taken + void_after;
        let slot = &mut engine.contents[index];
        if slot.phase == Phase::Foreign && slot.foreign == 0 && is_void {
            slot.phase = Phase::Drained;
        }
    }
}
