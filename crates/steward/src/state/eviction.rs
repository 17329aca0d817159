//! Which slot a load gets, and what has to make room for it.

use std::time::{Duration, Instant};

use kernel::arena::Key;

use super::State;
use crate::{
    adapter::Adapter,
    engine::{Engine, Phase, Slot},
};

/// How much an empty batch is worth against one expected miss, for each weight of batch
/// efficiency.
const FILL_WORTH: f64 = 4.0;

/// The time over which the misses that an eviction will cost are counted.
const MISS_HORIZON: Duration = Duration::from_secs(100);

/// What a copy beside another one is worth, as a share of what the only one is worth.
const COPY_WORTH: f64 = 0.25;

/// What it costs to load onto an engine without room in its batch: more than any eviction, since
/// the requests would wait there.
const FULL_BATCH_COST: f64 = 1e6;

/// Where a load goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Place {
    /// Into a free slot.
    Free(Key<Engine>),
    /// Into the slot at this place, whose adapter is unloaded first.
    Evict(Key<Engine>, usize),
}

impl State {
    /// The place where a load costs the least.
    pub(super) fn place(&self, adapter: Key<Adapter>, now: Instant) -> Option<Place> {
        let model = &self.adapters.get(adapter)?.model;
        let mut best: Option<(f64, Place)> = None;
        for (key, engine) in self.engines.iter() {
            if engine.model != *model || !engine.is_usable() || engine.mentions(adapter) {
                continue;
            }
            let Some((worth, place)) = self.place_on(key, engine, now) else {
                continue;
            };
            let cost = self.cost(worth, engine) + crowding(engine);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, place));
            }
        }
        best.map(|(_, place)| place)
    }

    fn place_on(&self, key: Key<Engine>, engine: &Engine, now: Instant) -> Option<(f64, Place)> {
        if engine.has_free_slot() {
            return Some((0.0, Place::Free(key)));
        }
        let slots = engine.contents.iter().enumerate();
        slots
            .filter(|(_, slot)| self.is_evictable(engine, slot, now))
            .map(|(index, slot)| (self.worth(slot, now), Place::Evict(key, index)))
            .min_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// Weighs the misses that an eviction will cost against how full the engine is.
    fn cost(&self, worth: f64, engine: &Engine) -> f64 {
        let objective = self.settings.objective;
        let spread = objective.load_stall - objective.batch_efficiency * FILL_WORTH;
        objective.load_stall * worth + spread * engine.fill()
    }

    /// How many misses the eviction of a slot is expected to cost.
    fn worth(&self, slot: &Slot, now: Instant) -> f64 {
        let Some(adapter) = self.adapters.get(slot.adapter) else {
            return 0.0;
        };
        let rate = adapter
            .popularity
            .rate(self.settings.aging(), self.drift.age(now));
        let worth = rate * MISS_HORIZON.as_secs_f64();
        if slot.phase != Phase::Ready {
            return 0.0;
        }
        if adapter.ready.len() > 1 {
            worth * COPY_WORTH
        } else {
            worth
        }
    }

    fn is_evictable(&self, engine: &Engine, slot: &Slot, now: Instant) -> bool {
        if slot.is_pinned() {
            return false;
        }
        match slot.phase {
            Phase::Ready => {
                let adapter = self.adapters.get(slot.adapter);
                adapter.is_none_or(|it| it.waiting.is_empty())
            }
            Phase::Drained => true,
            Phase::Foreign => now >= engine.taken + self.longest_run(),
            Phase::Loading(_) | Phase::Unloading(..) | Phase::Unsettled => false,
        }
    }

    /// How long a permit of an earlier steward can pin anything.
    fn longest_run(&self) -> Duration {
        self.settings.max_deadline + self.settings.pin_margin
    }
}

fn crowding(engine: &Engine) -> f64 {
    if engine.has_room() {
        0.0
    } else {
        FULL_BATCH_COST
    }
}
