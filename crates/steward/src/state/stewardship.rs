//! Engines that come and go.

use std::time::Instant;

use kernel::{
    arena::Key,
    name::{Model, Upstream},
    service::{Fencing, Instance, Role, State as Availability},
};

use super::State;
use crate::{
    engine::{Contact, Engine, Phase},
    event::{Action, Predecessor},
    route::{Change, Occupancy},
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
            capacity: self.settings.initial_capacity,
            published: Occupancy::default(),
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

    pub(super) fn adopt(&mut self, key: Key<Engine>, index: usize, now: Instant) {
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
        self.publish(key, Change::Removed);
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
        self.publish(key, Change::Removed);
        self.redirect_homeless(&model);
    }

    /// Sends requests elsewhere if no engine of theirs is left here.
    pub(super) fn redirect_homeless(&mut self, model: &Model) {
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
}
