//! Handles changes of stewardships and of the availability of engines.

use std::time::Instant;

use kernel::{
    arena::Key,
    name::{Model, Upstream},
    service::{Fencing, Instance, Role},
};

use super::State;
use crate::{
    engine::{Engine, Phase, Process, ReportState},
    event::{Action, Predecessor},
    route::{Change, Occupancy},
};

impl State {
    pub(super) fn handle_acquired(
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
        self.handle_lost(&instance.name);
        let key = self.engines.insert(Engine {
            name: instance.name.clone(),
            process: Process {
                address: instance.address,
                incarnation: None,
            },
            leaving_process: None,
            domain: instance.domain,
            model,
            listed_state: instance.state,
            fence,
            fencing,
            predecessor,
            acquired_at: now,
            report_state: ReportState::Missing,
            reported_at: None,
            last_order_at: now,
            slot_count: 0,
            used_slots: Vec::new(),
            load_count: 0,
            permits: 0,
            peak_permits: 0,
            unpermitted: 0,
            capacity: self.settings.initial_capacity,
            published_occupancy: Occupancy::default(),
        });
        self.engines_by_name.insert(instance.name, key);
        self.query_status(key);
    }

    /// Adopts the adapters that the previous steward loaded, so that they accept new requests.
    pub(super) fn handle_predecessor_ended(&mut self, name: &Upstream, now: Instant) {
        let Some(key) = self.engines_by_name.get(name).copied() else {
            return;
        };
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        if engine.predecessor != Predecessor::Unknown {
            return;
        }
        engine.predecessor = Predecessor::Gone;
        for index in 0..engine.used_slots.len() {
            self.adopt(key, index, now);
        }
        self.grant_engine(key, now);
    }

    /// Adopts an adapter of an earlier steward, so that it accepts new requests.
    pub(super) fn adopt(&mut self, key: Key<Engine>, index: usize, now: Instant) {
        let Some(slot) = self.slot(key, index) else {
            return;
        };
        if matches!(slot.phase, Phase::Unadopted | Phase::UnadoptedIdle) {
            let adapter = slot.adapter;
            self.resolve_phase(key, index, now);
            self.grant_adapter(adapter, now);
        }
    }

    pub(super) fn handle_lost(&mut self, name: &Upstream) {
        let Some(key) = self.engines_by_name.remove(name) else {
            return;
        };
        self.drop_all_slots(key);
        self.permits.remove_engine(key);
        self.publish(key, Change::Removed);
        let Some(engine) = self.engines.remove(key) else {
            return;
        };
        self.redirect_without_engine(&engine.model);
    }

    /// Takes an engine out of use. Its next slot report shows what it still has loaded.
    pub(super) fn handle_unreachable(&mut self, name: &Upstream) {
        let Some(key) = self.engines_by_name.get(name).copied() else {
            return;
        };
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        if engine.report_state == ReportState::Missing {
            return;
        }
        engine.report_state = ReportState::Missing;
        let model = engine.model.clone();
        self.stop_serving_all(key);
        self.publish(key, Change::Removed);
        self.redirect_without_engine(&model);
    }

    /// Redirects the waiting requests for a model that has no usable engine here.
    pub(super) fn redirect_without_engine(&mut self, model: &Model) {
        if self.has_engine_for(model) {
            return;
        }
        for ticket in self.waiters.tickets_for_model(model) {
            self.remove_waiter(ticket);
            self.actions.push(Action::Redirect { ticket });
        }
    }

    pub(super) fn handle_instance_changed(&mut self, instance: &Instance, now: Instant) {
        let Some(key) = self.engines_by_name.get(&instance.name).copied() else {
            return;
        };
        self.update_availability(key, |engine| {
            engine.process.address = instance.address;
            engine.listed_state = instance.state;
        });
        self.grant_engine(key, now);
    }

    /// Handles the answer of a process that it is leaving. The answer of an earlier process says
    /// nothing about the current one.
    pub(super) fn record_leaving(&mut self, key: Key<Engine>, process: Option<Process>) {
        self.update_availability(key, |engine| {
            if process == Some(engine.process) {
                engine.leaving_process = process;
            }
        });
    }

    /// Updates what determines the availability of an engine. A leaving engine finishes its running
    /// requests and gets no new ones.
    fn update_availability(&mut self, key: Key<Engine>, update: impl FnOnce(&mut Engine)) {
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        let previous = engine.state();
        update(engine);
        let state = engine.state();
        if state == previous {
            return;
        }
        let is_usable = engine.is_usable();
        let has_current_report = engine.has_current_report();
        let model = engine.model.clone();
        if has_current_report {
            self.publish(key, Change::State(state));
        }
        if is_usable {
            self.start_serving_all(key);
        } else {
            self.stop_serving_all(key);
        }
        self.redirect_without_engine(&model);
    }

    pub(super) fn handle_batch_report(
        &mut self,
        name: &Upstream,
        running: u32,
        waiting: u32,
        capacity: u32,
        now: Instant,
    ) {
        let Some(key) = self.engines_by_name.get(name).copied() else {
            return;
        };
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        engine.apply_batch_report(running, waiting);
        if capacity > 0 {
            engine.capacity = capacity;
        }
        self.publish_occupancy(key);
        self.grant_engine(key, now);
    }
}
