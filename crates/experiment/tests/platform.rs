//! Comparison of the decisions of `fleet` with a naive placement, for each traffic pattern on the
//! model of an installation.

use experiment::platform::{
    Policy, installation::Installation, metrics::Metrics, pattern::Pattern, run,
};

const SEED: u64 = 1;

fn simulate(pattern: Pattern, policy: Policy) -> Metrics {
    run(&Installation::institute(), pattern, policy, SEED)
}

#[test]
fn the_same_seed_gives_the_same_metrics() {
    let first = simulate(Pattern::Crash, Policy::Fleet);
    assert_eq!(first, simulate(Pattern::Crash, Policy::Fleet));
}

/// At least as many requests are served on time as with the naive placement, and the 95th
/// percentile of the time to the first event is no higher.
#[test]
fn fleet_outperforms_naive_placement_in_every_pattern() {
    for pattern in Pattern::ALL {
        let fleet = simulate(pattern, Policy::Fleet);
        let naive = simulate(pattern, Policy::Naive);
        let (fleet_value, naive_value) = (fleet.in_time_share(), naive.in_time_share());
        assert!(
            fleet_value >= naive_value,
            "{pattern:?}: share on time {fleet_value}, naive placement {naive_value}"
        );
        let (fleet_value, naive_value) = (
            fleet.first_event_quantile(950),
            naive.first_event_quantile(950),
        );
        assert!(
            fleet_value <= naive_value,
            "{pattern:?}: first event after {fleet_value} us, naive placement {naive_value} us"
        );
    }
}

/// Many hosts miss the same adapters when engines start empty, and again when a third of the
/// engines crash and restart empty. All requests that wait for an adapter share one load, so that
/// apart from replicas an adapter is loaded again only after it was lost.
#[test]
fn each_adapter_is_loaded_at_most_twice_on_average() {
    let calm = simulate(Pattern::Calm, Policy::Fleet);
    let crash = simulate(Pattern::Crash, Policy::Fleet);
    for it in [&calm, &crash] {
        assert!(
            it.loads <= it.unique_adapters * 2,
            "{} loads of {} adapters",
            it.loads,
            it.unique_adapters
        );
    }
}
