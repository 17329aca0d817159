//! Grants and releases permits.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::{Duration, Instant},
};

use kernel::{
    arena::Key,
    permit::{Holder, Number, Outcome, Permit, Verdict},
};

use super::{State, average};
use crate::{
    adapter::{Adapter, Rank},
    engine::{Engine, Phase},
    event::{Action, Ticket},
    permits::Pin,
};

/// How much the engine that probably has the prompt's prefix cached is preferred, as a share of a
/// batch.
const PREFIX_BONUS: f64 = 0.2;

impl State {
    /// Grants permits to the requests that wait for an adapter while its engines have room.
    pub(super) fn grant_adapter(&mut self, key: Key<Adapter>, now: Instant) {
        while let Some((ticket, engine)) = self.next_grant(key) {
            self.grant(ticket, engine, now);
        }
    }

    fn next_grant(&self, key: Key<Adapter>) -> Option<(Ticket, Key<Engine>)> {
        let adapter = self.adapters.get(key)?;
        let ticket = adapter.waiting.first()?.ticket();
        let prefix = self.waiters.get(ticket)?.request.prefix;
        let engine = self.choose_engine(adapter, prefix)?;
        Some((ticket, engine))
    }

    /// Chooses an engine among those that have the adapter loaded and room in their batch.
    fn choose_engine(&self, adapter: &Adapter, prefix: u64) -> Option<Key<Engine>> {
        let engines = adapter.ready_engines.iter();
        let open = engines.filter_map(|key| {
            let engine = self.engines.get(*key)?;
            engine.has_room().then_some((*key, engine))
        });
        let open: Vec<_> = open.collect();
        if open.len() < 2 {
            return open.first().map(|(key, _)| *key);
        }
        let preferred = open
            .iter()
            .max_by_key(|(_, it)| prefix_affinity(prefix, it))
            .map(|(key, _)| *key);
        let objective = self.settings.objective;
        let occupancy_weight = objective.load_stall - objective.batch_efficiency;
        let cost = |key: Key<Engine>, engine: &Engine| {
            let bonus = if Some(key) == preferred {
                PREFIX_BONUS
            } else {
                0.0
            };
            engine.occupancy() * occupancy_weight.clamp(-1.0, 1.0) - bonus
        };
        open.iter()
            .min_by(|a, b| cost(a.0, a.1).total_cmp(&cost(b.0, b.1)))
            .map(|(key, _)| *key)
    }

    /// Grants permits on an engine while it has room, to requests for any of its adapters.
    pub(super) fn grant_engine(&mut self, key: Key<Engine>, now: Instant) {
        while let Some(ticket) = self.next_for_engine(key) {
            self.grant(ticket, key, now);
        }
    }

    fn next_for_engine(&self, key: Key<Engine>) -> Option<Ticket> {
        let engine = self.engines.get(key)?;
        if !engine.has_room() {
            return None;
        }
        let ready = engine
            .used_slots
            .iter()
            .filter(|it| it.phase == Phase::Ready);
        ready
            .filter_map(|it| self.adapters.get(it.adapter)?.waiting.first())
            .min()
            .map(|it: &Rank| it.ticket())
    }

    fn grant(&mut self, ticket: Ticket, key: Key<Engine>, now: Instant) {
        let Some(mut waiter) = self.remove_waiter(ticket) else {
            return;
        };
        waiter.end_load_stall(now);
        self.waiters.advance_virtual_time(waiter.rank.start_tag());
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        let Some(slot) = engine.ready_slot_mut(waiter.adapter) else {
            return;
        };
        slot.permits += 1;
        let loaded = slot.loaded.clone();
        engine.add_permit();
        let expires_at = waiter.deadline + self.settings.pin_margin;
        let pin = Pin {
            engine: key,
            process: engine.process,
            loaded: loaded.clone(),
            holder: waiter.request.holder,
            granted_at: now,
            max_tokens: waiter.request.max_tokens,
            expires_at,
        };
        let permit = Permit {
            number: self.permits.insert(pin),
            upstream: engine.name.clone(),
            address: engine.process.address,
            loaded,
            fence: engine.fence,
            start_by: self.settings.start_timeout,
            run_by: expires_at.saturating_duration_since(now),
            load_stall: waiter.load_stall,
            queue_wait: now.saturating_duration_since(waiter.arrived_at),
        };
        let verdict = Verdict::Granted(permit);
        self.actions.push(Action::Answer { ticket, verdict });
        self.publish_occupancy(key);
    }

    pub(super) fn release(&mut self, number: Number, outcome: Outcome, now: Instant) {
        let Some(pin) = self.permits.remove(number) else {
            return;
        };
        if outcome == Outcome::Completed {
            self.update_estimates(&pin, now);
        }
        self.unpin(&pin, outcome);
        if outcome == Outcome::Leaving {
            self.record_leaving(pin.engine, Some(pin.process));
        }
        self.grant_engine(pin.engine, now);
        if outcome != Outcome::Completed && outcome != Outcome::Unused {
            self.query_status(pin.engine);
        }
    }

    fn update_estimates(&mut self, pin: &Pin, now: Instant) {
        let held = now.saturating_duration_since(pin.granted_at);
        self.hold_time = average(self.hold_time, held);
        self.token_time = average(self.token_time, held / pin.max_tokens.max(1));
        self.estimated_at = Some(now);
    }

    /// Ends a pin. A request that may still run counts as unpermitted until the engine's next slot
    /// report.
    fn unpin(&mut self, pin: &Pin, outcome: Outcome) {
        let Some(engine) = self.engines.get_mut(pin.engine) else {
            return;
        };
        engine.permits = engine.permits.saturating_sub(1);
        let mut slots = engine.used_slots.iter_mut();
        if let Some(slot) = slots.find(|it| it.loaded == pin.loaded) {
            slot.permits = slot.permits.saturating_sub(1);
            if matches!(outcome, Outcome::Interrupted | Outcome::Cancelled) {
                slot.unpermitted += 1;
            }
        }
        self.publish_occupancy(pin.engine);
    }

    pub(super) fn handle_holder_terminated(&mut self, holder: &Holder, now: Instant) {
        for number in self.permits.held_by(holder) {
            self.release(number, Outcome::Interrupted, now);
        }
    }

    pub(super) fn expire_permits(&mut self, now: Instant) {
        while let Some(number) = self.permits.first_expired(now) {
            self.release(number, Outcome::Interrupted, now);
        }
    }

    /// Returns whether a loaded adapter needs one more replica: its engines are full, and the wait
    /// for them exceeds the load time.
    pub(super) fn needs_replica(&self, key: Key<Adapter>) -> bool {
        self.batch_wait(key) > self.load_time.max(Duration::from_millis(1))
    }
}

fn prefix_affinity(prefix: u64, engine: &Engine) -> u64 {
    let mut hasher = DefaultHasher::new();
    (prefix, &engine.name).hash(&mut hasher);
    hasher.finish()
}
