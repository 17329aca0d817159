//! Seeded random sequences of failures against real processes, checked from a recorded history.
//!
//! Each seed gives a fixed number of steps and of requests. Every wait has a limit so that a hang
//! ends, but no verdict rests on time. `CHAOS_SEED=n` runs one seed alone.

mod caller;
mod check;
mod edit;
#[expect(
    dead_code,
    reason = "the other tests of whole fleets use the rest of it"
)]
#[path = "../fleet/fixture.rs"]
mod fixture;
mod history;
mod run;
mod step;
mod world;

use std::thread;

/// The seeds that every build runs.
const SEEDS: [u64; 3] = [1, 2, 3];

/// Covers: all eight promises under seeded random kills, freezes, cuts, outages and edits.
#[test]
fn promises_hold_under_random_failures() {
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
