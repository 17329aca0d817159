//! Seeded random sequences of failures against real processes. A recorded history is checked
//! against the guarantees.
//!
//! Each seed produces a fixed number of steps and requests. Every wait has a timeout so that a hang
//! ends the test, but no check depends on timing. `CHAOS_SEED=n` runs a single seed.

mod caller;
mod check;
mod edit;
#[expect(dead_code, reason = "the rest is used by the fleet tests")]
#[path = "../fleet/fixture.rs"]
mod fixture;
mod history;
mod run;
mod step;
mod world;

use std::thread;

/// The seeds that run in every build.
const SEEDS: [u64; 3] = [1, 2, 3];

/// Covers: all eight guarantees under seeded random kills, pauses, connection failures, outages and
/// edits.
#[test]
fn guarantees_hold_under_random_failures() {
    let seeds = match std::env::var("CHAOS_SEED") {
        Ok(seed) => vec![seed.parse().expect("CHAOS_SEED is a number")],
        Err(_) => SEEDS.to_vec(),
    };
    let runs: Vec<_> = seeds
        .into_iter()
        .map(|seed| (seed, thread::spawn(move || run::run(seed))))
        .collect();
    let ended: Vec<_> = runs
        .into_iter()
        .map(|(seed, run)| (seed, run.join()))
        .collect();
    let failed: Vec<_> = ended.iter().filter(|it| it.1.is_err()).collect();
    let failed: Vec<u64> = failed.into_iter().map(|it| it.0).collect();
    assert!(failed.is_empty(), "seeds that failed: {failed:?}");
}
