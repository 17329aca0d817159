//! Permits: who gets a place, on which engine, and when the place is free again.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::{Duration, Instant},
};

use kernel::{
    arena::Key,
    permit::{Holder, Number, Outcome, Permit, Verdict},
    service::State as Availability,
};

use super::{State, average};
use crate::{
    adapter::{Adapter, Rank},
    engine::{Engine, Phase},
    event::{Action, Ticket},
    permits::Pin,
};

/// How much the engine that probably has the prompt's prefix in its cache is preferred, as a share
/// of a batch.
const PREFIX_BONUS: f64 = 0.2;

impl State {
    /// Grants places to the requests that wait for an adapter while its engines have room.
    pub(super) fn grant_adapter(&mut self, key: Key<Adapter>, now: Instant) {
        while let Some((ticket, engine)) = self.next_grant(key) {
            self.grant(ticket, engine, now);
        }
    }

    fn next_grant(&self, key: Key<Adapter>) -> Option<(Ticket, Key<Engine>)> {
        let adapter = self.adapters.get(key)?;
        let ticket = adapter.waiting.first()?.ticket();
        let prefix = self.waiters.get(ticket)?.ask.prefix;
        let engine = self.choose_engine(adapter, prefix)?;
        Some((ticket, engine))
    }

    /// The engine for a request among those that have its adapter and room in their batch.
    fn choose_engine(&self, adapter: &Adapter, prefix: u64) -> Option<Key<Engine>> {
        let engines = adapter.ready.iter();
        let open = engines.filter_map(|key| {
            let engine = self.engines.get(*key)?;
            engine.has_room().then_some((*key, engine))
        });
        let open: Vec<_> = open.collect();
        if open.len() < 2 {
            return open.first().map(|(key, _)| *key);
        }
        let favourite = open
            .iter()
            .max_by_key(|(_, it)| affinity(prefix, it))
            .map(|(key, _)| *key);
        let objective = self.settings.objective;
        let spread = objective.load_stall - objective.batch_efficiency;
        let cost = |key: Key<Engine>, engine: &Engine| {
            let bonus = if Some(key) == favourite {
                PREFIX_BONUS
            } else {
                0.0
            };
            engine.fill() * spread.clamp(-1.0, 1.0) - bonus
        };
        open.iter()
            .min_by(|a, b| cost(a.0, a.1).total_cmp(&cost(b.0, b.1)))
            .map(|(key, _)| *key)
    }

    /// Grants places on an engine while it has room, whichever adapter they are for.
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
        let ready = engine.contents.iter().filter(|it| it.phase == Phase::Ready);
        ready
            .filter_map(|it| self.adapters.get(it.adapter)?.waiting.first())
            .min()
            .map(|it: &Rank| it.ticket())
    }

    fn grant(&mut self, ticket: Ticket, key: Key<Engine>, now: Instant) {
        let Some(mut waiter) = self.take_waiter(ticket) else {
            return;
        };
        waiter.arrived_adapter(now);
        self.waiters.served(waiter.rank.tag());
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        let Some(slot) = engine.ready(waiter.adapter) else {
            return;
        };
        slot.permits += 1;
        let loaded = slot.loaded.clone();
        engine.admit();
        let run_by = waiter.deadline + self.settings.pin_margin;
        let pin = Pin {
            engine: key,
            loaded: loaded.clone(),
            holder: waiter.ask.holder,
            granted: now,
            max_tokens: waiter.ask.max_tokens,
            run_by,
        };
        let permit = Permit {
            number: self.permits.insert(pin),
            upstream: engine.name.clone(),
            address: engine.address,
            loaded,
            fence: engine.fence,
            start_by: self.settings.start_timeout,
            run_by: run_by.saturating_duration_since(now),
            load_stall: waiter.stall,
            queue_wait: now.saturating_duration_since(waiter.arrived),
        };
        let verdict = Verdict::Granted(permit);
        self.actions.push(Action::Answer { ticket, verdict });
        self.publish_level(key);
    }

    pub(super) fn release(&mut self, number: Number, outcome: Outcome, now: Instant) {
        let Some(pin) = self.permits.remove(number) else {
            return;
        };
        if outcome == Outcome::Completed {
            self.learn(&pin, now);
        }
        self.unpin(&pin, outcome);
        if outcome == Outcome::Leaving {
            self.set_availability(pin.engine, Availability::Leaving);
        }
        self.grant_engine(pin.engine, now);
        if outcome != Outcome::Completed && outcome != Outcome::Unused {
            self.inspect(pin.engine);
        }
    }

    fn learn(&mut self, pin: &Pin, now: Instant) {
        let held = now.saturating_duration_since(pin.granted);
        self.hold_time = average(self.hold_time, held);
        self.token_time = average(self.token_time, held / pin.max_tokens.max(1));
        self.learned = Some(now);
    }

    /// Ends a pin. What may still run counts as foreign until the engine's next report.
    fn unpin(&mut self, pin: &Pin, outcome: Outcome) {
        let Some(engine) = self.engines.get_mut(pin.engine) else {
            return;
        };
        engine.running = engine.running.saturating_sub(1);
        let mut slots = engine.contents.iter_mut();
        if let Some(slot) = slots.find(|it| it.loaded == pin.loaded) {
            slot.permits = slot.permits.saturating_sub(1);
            if matches!(outcome, Outcome::Interrupted | Outcome::Cancelled) {
                slot.foreign += 1;
            }
        }
        self.publish_level(pin.engine);
    }

    pub(super) fn holder_gone(&mut self, holder: &Holder, now: Instant) {
        for number in self.permits.of(holder) {
            self.release(number, Outcome::Interrupted, now);
        }
    }

    pub(super) fn expire_permits(&mut self, now: Instant) {
        while let Some(number) = self.permits.expired(now) {
            self.release(number, Outcome::Interrupted, now);
        }
    }

    /// Whether a loaded adapter deserves one more copy: its engines are full, and their queue lasts
    /// longer than a load does.
    pub(super) fn wants_copy(&self, key: Key<Adapter>) -> bool {
        self.batch_wait(key) > self.load_time.max(Duration::from_millis(1))
    }
}

fn affinity(prefix: u64, engine: &Engine) -> u64 {
    let mut hasher = DefaultHasher::new();
    (prefix, &engine.name).hash(&mut hasher);
    hasher.finish()
}
