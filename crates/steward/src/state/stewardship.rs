//! Engines that come, go and report.

use std::time::Instant;

use kernel::{
    arena::Key,
    name::{Model, Upstream},
    reference::Loaded,
    service::{Fencing, Instance, Role, State as Availability},
};

use super::State;
use crate::{
    adapter::Adapter,
    engine::{Contact, Engine, Phase, Slot},
    event::{Action, Predecessor},
    route::{Change, Level},
};

impl State {
    pub(super) fn took(
        &mut self,
        instance: Instance,
        fence: u64,
        fencing: Fencing,
        predecessor: Predecessor,
        now: Instant,
    ) {
        let Role::Engine(model) = instance.role else {
            return;
        };
        self.lost(&instance.name);
        let key = self.engines.insert(Engine {
            name: instance.name.clone(),
            address: instance.address,
            domain: instance.domain,
            model,
            state: instance.state,
            fence,
            fencing,
            predecessor,
            taken: now,
            contact: Contact::Absent,
            incarnation: None,
            changed: now,
            slots: 0,
            contents: Vec::new(),
            loads: 0,
            running: 0,
            peak: 0,
            extra: 0,
            capacity: self.settings.capacity,
            published: Level::default(),
        });
        self.engine_names.insert(instance.name, key);
        self.inspect(key);
    }

    /// What the steward before has loaded takes new work from now on.
    pub(super) fn predecessor_ended(&mut self, name: &Upstream, now: Instant) {
        let Some(key) = self.engine_names.get(name).copied() else {
            return;
        };
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        if engine.predecessor != Predecessor::Unknown {
            return;
        }
        engine.predecessor = Predecessor::Gone;
        for index in 0..engine.contents.len() {
            self.adopt(key, index, now);
        }
        self.grant_engine(key, now);
    }

    fn adopt(&mut self, key: Key<Engine>, index: usize, now: Instant) {
        let Some(slot) = self.slot(key, index) else {
            return;
        };
        if matches!(slot.phase, Phase::Foreign | Phase::Drained) {
            let adapter = slot.adapter;
            self.settle_phase(key, index, now);
            self.grant_adapter(adapter, now);
        }
    }

    pub(super) fn lost(&mut self, name: &Upstream) {
        let Some(key) = self.engine_names.remove(name) else {
            return;
        };
        self.empty(key);
        self.permits.forget(key);
        self.publish(key, Change::Gone);
        let Some(engine) = self.engines.remove(key) else {
            return;
        };
        self.redirect_homeless(&engine.model);
    }

    /// Withdraws an engine from new work. What it has loaded is settled by its next report.
    pub(super) fn down(&mut self, name: &Upstream) {
        let Some(key) = self.engine_names.get(name).copied() else {
            return;
        };
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        if engine.contact == Contact::Absent {
            return;
        }
        engine.contact = Contact::Absent;
        let model = engine.model.clone();
        self.retire_all(key);
        self.publish(key, Change::Gone);
        self.redirect_homeless(&model);
    }

    fn retire_all(&mut self, key: Key<Engine>) {
        for (index, adapter) in self.ready_slots(key) {
            self.retire(key, index);
            self.requeue(adapter);
        }
    }

    fn enlist_all(&mut self, key: Key<Engine>) {
        for (_, adapter) in self.ready_slots(key) {
            self.enlist(key, adapter);
        }
    }

    fn ready_slots(&self, key: Key<Engine>) -> Vec<(usize, Key<Adapter>)> {
        let Some(engine) = self.engines.get(key) else {
            return Vec::new();
        };
        let slots = engine.contents.iter().enumerate();
        slots
            .filter(|(_, it)| it.phase == Phase::Ready)
            .map(|(index, it)| (index, it.adapter))
            .collect()
    }

    /// Sends requests elsewhere if no engine of theirs is left here.
    fn redirect_homeless(&mut self, model: &Model) {
        if self.has_engine_for(model) {
            return;
        }
        for ticket in self.waiters.of_model(model) {
            self.take_waiter(ticket);
            self.actions.push(Action::Redirect { ticket });
        }
    }

    pub(super) fn changed(&mut self, instance: &Instance, now: Instant) {
        let Some(key) = self.engine_names.get(&instance.name).copied() else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(key) {
            engine.address = instance.address;
        }
        self.set_availability(key, instance.state);
        self.grant_engine(key, now);
    }

    /// An engine that leaves keeps what runs and gets nothing new.
    pub(super) fn set_availability(&mut self, key: Key<Engine>, state: Availability) {
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        if engine.state == state {
            return;
        }
        engine.state = state;
        let is_usable = engine.is_usable();
        let is_known = engine.is_known();
        let model = engine.model.clone();
        if is_known {
            self.publish(key, Change::State(state));
        }
        if is_usable {
            self.enlist_all(key);
        } else {
            self.retire_all(key);
        }
        self.redirect_homeless(&model);
    }

    pub(super) fn lagging(
        &mut self,
        name: &Upstream,
        running: u32,
        waiting: u32,
        capacity: u32,
        now: Instant,
    ) {
        let Some(key) = self.engine_names.get(name).copied() else {
            return;
        };
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        engine.correct(running, waiting);
        if capacity > 0 {
            engine.capacity = capacity;
        }
        self.publish_level(key);
        self.grant_engine(key, now);
    }

    /// Forgets what an engine has loaded.
    fn empty(&mut self, key: Key<Engine>) {
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
    fn restarted(&mut self, key: Key<Engine>) {
        self.empty(key);
        if let Some(engine) = self.engines.get_mut(key) {
            engine.contact = Contact::Absent;
        }
    }

    fn join(&mut self, key: Key<Engine>) {
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
        let joined = Change::Joined {
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
            .chain([Change::Level(engine.published)])
            .chain(loaded);
        changes
            .map(|change| Action::Publish {
                engine: engine.name.clone(),
                change,
            })
            .collect()
    }

    /// Drops what the engine does not have any more.
    fn drop_missing(&mut self, key: Key<Engine>, loaded: &[(Loaded, u32)], now: Instant) {
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

    fn may_be_gone(&self, slot: &Slot, now: Instant) -> bool {
        match slot.phase {
            Phase::Loading(_) | Phase::Unloading(..) => false,
            Phase::Unsettled => now >= slot.since + self.settings.load_timeout,
            Phase::Ready | Phase::Foreign | Phase::Drained => true,
        }
    }

    fn reconcile(
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
    fn discover(
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
    fn drain(&mut self, key: Key<Engine>, index: usize, asked: Instant) {
        let void_after = self.settings.start_by * 2;
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
