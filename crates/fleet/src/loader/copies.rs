//! Decides whether a further copy of an adapter is worth its load.
//!
//! Expected load: hosts that each see one request in sixty find the engine of an adapter busy and want a copy of it on
//! another one, also for adapters that hardly anyone else requests. On a free place a copy helps the requests of a rare
//! adapter whose engine is slow. Elsewhere it takes the place of an adapter that is requested again, and its load competes
//! with those that requests wait for. There the uses by all hosts decide, which the steward of the busy engine knows, and a
//! copy must take over several uses for each one that its load and its victim lose.

//!
//! At a start without any adapter, or when demand moves to others, hundreds of loads are wanted at once, and one adapter in a
//! hundred has a fifth of the requests. Its first engine can't read their prompts without pausing all its streams, so its
//! copies come before the loads that one or two requests wait for, also while the weight store is busy.

/// Uses that a copy must take over for each use that is lost by its load and by its victim. A lost use waits for a load,
/// one that is taken over would have waited in a queue.
const MIN_USES_FOR_EACH_LOST: f64 = 2.0;

/// Uses lost by the load itself, which delays others while the weight store is busy.
const USES_LOST_BY_LOAD: f64 = 0.35;

/// Uses that a copy takes over from which it is urgent.
const MIN_URGENT_USES: f64 = 4.0;

/// Part of the uses that a copy takes over whose requests wait for it, or pause the streams of the busy engine.
const RELIEVED_FRACTION: f64 = 0.5;

/// Returns whether the load of a copy that takes over `uses` competes with those that requests wait for.
pub(crate) fn is_urgent(uses: f64) -> bool {
    uses >= MIN_URGENT_USES
}

/// Returns the number of requests that a copy helps as much as a load helps those that wait for it.
pub(crate) fn requests_relieved(uses: f64) -> f64 {
    uses * RELIEVED_FRACTION
}

/// Returns the uses that a copy would take over of the decayed uses that an engine serves for all hosts.
pub fn uses_taken_over(uses: f64) -> f64 {
    uses / 2.0
}

/// Returns whether a copy that takes over `uses` is worth a load and the uses of its victim.
pub(crate) fn is_worth_eviction(uses: f64, victim_uses: f64) -> bool {
    uses >= MIN_USES_FOR_EACH_LOST * (USES_LOST_BY_LOAD + victim_uses.max(0.0))
}
