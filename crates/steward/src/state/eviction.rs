//! Chooses the slot for a load and the adapter to evict.

use std::time::{Duration, Instant};

use kernel::arena::Key;

use super::State;
use crate::{
    adapter::Adapter,
    engine::{Engine, Phase, Slot},
};

/// The value of a full batch over an empty one, in expected misses, per unit of batch efficiency
/// weight.
const OCCUPANCY_VALUE: f64 = 4.0;

/// The time over which the expected misses of an eviction are counted.
const MISS_HORIZON: Duration = Duration::from_secs(100);

/// The value of a replica relative to the only copy of an adapter.
const REPLICA_VALUE: f64 = 0.25;

/// The cost of a load onto an engine with a full batch. It exceeds the cost of any eviction, since
/// the requests would wait there.
const FULL_BATCH_PENALTY: f64 = 1e6;

/// The slot for a load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Placement {
    /// A free slot of the engine.
    FreeSlot(Key<Engine>),
    /// The slot at this index, whose adapter is unloaded first.
    Evict(Key<Engine>, usize),
}

impl State {
    /// Finds the placement with the lowest cost.
    pub(super) fn find_placement(&self, adapter: Key<Adapter>, now: Instant) -> Option<Placement> {
        let model = &self.adapters.get(adapter)?.model;
        let mut best: Option<(f64, Placement)> = None;
        for (key, engine) in self.engines.iter() {
            if engine.model != *model || !engine.is_usable() || engine.has_or_will_have(adapter) {
                continue;
            }
            let Some((misses, placement)) = self.find_slot_on(key, engine, now) else {
                continue;
            };
            let cost = self.placement_cost(misses, engine) + full_batch_penalty(engine);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, placement));
            }
        }
        best.map(|(_, placement)| placement)
    }

    fn find_slot_on(
        &self,
        key: Key<Engine>,
        engine: &Engine,
        now: Instant,
    ) -> Option<(f64, Placement)> {
        if engine.has_free_slot() {
            return Some((0.0, Placement::FreeSlot(key)));
        }
        let slots = engine.used_slots.iter().enumerate();
        slots
            .filter(|(_, slot)| self.is_evictable(engine, slot, now))
            .map(|(index, slot)| {
                (
                    self.expected_misses(slot, now),
                    Placement::Evict(key, index),
                )
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// Weighs the expected misses of an eviction against the occupancy of the engine.
    fn placement_cost(&self, misses: f64, engine: &Engine) -> f64 {
        let objective = self.settings.objective;
        let occupancy_weight = objective.load_stall - objective.batch_efficiency * OCCUPANCY_VALUE;
        objective.load_stall * misses + occupancy_weight * engine.occupancy()
    }

    /// Returns how many misses the eviction of a slot is expected to cause.
    fn expected_misses(&self, slot: &Slot, now: Instant) -> f64 {
        let Some(adapter) = self.adapters.get(slot.adapter) else {
            return 0.0;
        };
        let rate = adapter
            .popularity
            .rate(self.settings.aging(), self.drift.popularity_time(now));
        let misses = rate * MISS_HORIZON.as_secs_f64();
        if slot.phase != Phase::Ready {
            return 0.0;
        }
        if adapter.ready_engines.len() > 1 {
            misses * REPLICA_VALUE
        } else {
            misses
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
            Phase::UnadoptedIdle => true,
            Phase::Unadopted => now >= engine.acquired_at + self.max_pin_time(),
            Phase::Loading(_) | Phase::Unloading(..) | Phase::Unconfirmed => false,
        }
    }

    /// Returns how long a permit of an earlier steward can pin an adapter.
    fn max_pin_time(&self) -> Duration {
        self.settings.max_deadline + self.settings.pin_margin
    }
}

fn full_batch_penalty(engine: &Engine) -> f64 {
    if engine.has_room() {
        0.0
    } else {
        FULL_BATCH_PENALTY
    }
}
