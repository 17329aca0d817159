//! Applies slot reports.

use std::time::Instant;

use kernel::{arena::Key, name::Upstream, reference::Loaded};

use super::State;
use crate::{
    engine::{Engine, Phase, ReportState, Slot},
    event::{Action, Predecessor},
    route::Change,
};

impl State {
    pub(super) fn handle_slot_report(
        &mut self,
        name: &Upstream,
        requested_at: Instant,
        incarnation: u64,
        slots: u32,
        loaded: Vec<(Loaded, u32)>,
        now: Instant,
    ) {
        let Some(key) = self.engines_by_name.get(name).copied() else {
            return;
        };
        let Some(engine) = self.engines.get(key) else {
            return;
        };
        if engine.reported_at.is_some_and(|it| it > requested_at) {
            return;
        }
        let known_incarnation = engine.process.incarnation;
        if known_incarnation.is_some_and(|it| it != incarnation) {
            self.handle_restart(key);
        }
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        if requested_at < engine.last_order_at {
            self.query_status(key);
            return;
        }
        engine.process.incarnation = Some(incarnation);
        engine.reported_at = Some(requested_at);
        engine.slot_count = slots;
        self.drop_missing(key, &loaded, now);
        self.mark_reported(key);
        for (loaded, running) in loaded {
            self.reconcile(key, loaded, running, requested_at, now);
        }
        self.grant_engine(key, now);
    }

    /// Drops all slots, since a restarted engine has nothing loaded. The holders of permits release
    /// them when their streams break.
    pub(super) fn handle_restart(&mut self, key: Key<Engine>) {
        self.drop_all_slots(key);
        if let Some(engine) = self.engines.get_mut(key) {
            engine.report_state = ReportState::Missing;
        }
    }

    /// Marks an engine as reported, and announces it to the directories if that is new.
    pub(super) fn mark_reported(&mut self, key: Key<Engine>) {
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        if engine.report_state == ReportState::Current {
            return;
        }
        engine.report_state = ReportState::Current;
        let is_usable = engine.is_usable();
        let announcement = self.announcement(key);
        self.actions.extend(announcement);
        if is_usable {
            self.start_serving_all(key);
        }
    }

    /// Returns the actions that describe an engine to a directory.
    pub(super) fn announcement(&self, key: Key<Engine>) -> Vec<Action> {
        let Some(engine) = self.engines.get(key) else {
            return Vec::new();
        };
        let added = Change::Added {
            domain: engine.domain.clone(),
            model: engine.model.clone(),
            fence: engine.fence,
            state: engine.state(),
        };
        let slots = engine.used_slots.iter();
        let ready = slots.filter_map(|it| self.adapters.get(it.adapter));
        let ready = ready.filter(|it| it.ready_engines.contains(&key));
        let loaded = ready.map(|it| Change::Loaded(it.reference.clone()));
        let changes = std::iter::once(added)
            .chain([Change::Occupancy(engine.published_occupancy)])
            .chain(loaded);
        changes
            .map(|change| Action::Publish {
                engine: engine.name.clone(),
                change,
            })
            .collect()
    }

    /// Drops the slots that the engine no longer reports.
    pub(super) fn drop_missing(
        &mut self,
        key: Key<Engine>,
        loaded: &[(Loaded, u32)],
        now: Instant,
    ) {
        let Some(engine) = self.engines.get(key) else {
            return;
        };
        for index in (0..engine.used_slots.len()).rev() {
            let Some(slot) = self.slot(key, index) else {
                continue;
            };
            let is_reported = loaded.iter().any(|(it, _)| *it == slot.loaded);
            if !is_reported && self.may_be_absent(slot, now) {
                self.drop_slot(key, index);
            }
        }
    }

    /// Returns whether a slot can be dropped if the engine doesn't report it.
    pub(super) fn may_be_absent(&self, slot: &Slot, now: Instant) -> bool {
        match slot.phase {
            Phase::Loading(_) | Phase::Unloading(..) => false,
            Phase::Unconfirmed => now >= slot.phase_since + self.settings.load_timeout,
            Phase::Ready | Phase::Unadopted | Phase::UnadoptedIdle => true,
        }
    }

    /// Updates the slot of an adapter that the engine reports.
    pub(super) fn reconcile(
        &mut self,
        key: Key<Engine>,
        loaded: Loaded,
        running: u32,
        requested_at: Instant,
        now: Instant,
    ) {
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        let known = engine.used_slots.iter().position(|it| it.loaded == loaded);
        let Some(index) = known else {
            self.discover(key, loaded, running, requested_at, now);
            return;
        };
        let slot = &mut engine.used_slots[index];
        slot.unpermitted = running.saturating_sub(slot.permits);
        match slot.phase {
            Phase::Unconfirmed => self.resolve_phase(key, index, now),
            Phase::Unadopted => self.mark_idle_if_permits_void(key, index, requested_at),
            _ => {}
        }
    }

    /// Adds an adapter that the engine reports and this steward didn't know of.
    pub(super) fn discover(
        &mut self,
        key: Key<Engine>,
        loaded: Loaded,
        running: u32,
        requested_at: Instant,
        now: Instant,
    ) {
        let Some(model) = self.engines.get(key).map(|it| it.model.clone()) else {
            return;
        };
        let adapter = self.adapter_key(&loaded.reference, &model, now);
        let permits = self.permits.count_on(key, &loaded);
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        engine.used_slots.push(Slot {
            loaded,
            adapter,
            phase: Phase::Unconfirmed,
            permits,
            unpermitted: running.saturating_sub(permits),
            phase_since: now,
        });
        let index = engine.used_slots.len() - 1;
        self.resolve_phase(key, index, now);
        self.mark_idle_if_permits_void(key, index, requested_at);
        self.grant_adapter(adapter, now);
    }

    /// Decides whether a loaded adapter may accept new requests.
    pub(super) fn resolve_phase(&mut self, key: Key<Engine>, index: usize, now: Instant) {
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        let is_own = engine.is_own_epoch(engine.used_slots[index].loaded.epoch);
        let has_other = engine.has_other_ready_slot(index);
        if !has_other && (is_own || engine.predecessor != Predecessor::Unknown) {
            self.make_ready(key, index, now);
            return;
        }
        engine.used_slots[index].phase = Phase::Unadopted;
    }

    /// Marks an idle adapter of an earlier steward as evictable once that steward's permits are
    /// void.
    pub(super) fn mark_idle_if_permits_void(
        &mut self,
        key: Key<Engine>,
        index: usize,
        requested_at: Instant,
    ) {
        let void_after = self.settings.start_timeout * 2;
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        let are_permits_void = requested_at >= engine.acquired_at + void_after;
        let slot = &mut engine.used_slots[index];
        if slot.phase == Phase::Unadopted && slot.unpermitted == 0 && are_permits_void {
            slot.phase = Phase::UnadoptedIdle;
        }
    }
}
