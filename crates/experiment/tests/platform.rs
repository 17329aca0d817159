//! Load patterns on the model of the users' platform: what `fleet` has to do better than a naive placement.

use experiment::platform::{Policy, metrics::Metrics, pattern::Pattern, run, shape::Shape};

const SEED: u64 = 1;

fn metrics(pattern: Pattern, policy: Policy) -> Metrics {
    run(&Shape::institute(), pattern, policy, SEED)
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let first = metrics(Pattern::Crash, Policy::Fleet);
    assert_eq!(first, metrics(Pattern::Crash, Policy::Fleet));
}

/// More callers are served in time than by each host for itself, and first events come sooner.
#[test]
fn every_pattern_is_served_better_than_naively() {
    for pattern in Pattern::ALL {
        let own = metrics(pattern, Policy::Fleet);
        let naive = metrics(pattern, Policy::Naive);
        let (ours, theirs) = (own.share(), naive.share());
        assert!(ours >= theirs, "{pattern:?}: {ours} against {theirs}");
        let (ours, theirs) = (own.first_at(950), naive.first_at(950));
        assert!(ours <= theirs, "{pattern:?}: {ours} us against {theirs} us");
    }
}

/// Load pattern: a third of the engines comes back empty, and many hosts miss the same adapters. A load that
/// is on its way serves all who wait: an adapter is ordered no more often than it was lost, but for copies.
#[test]
fn an_adapter_that_many_miss_is_ordered_once() {
    let calm = metrics(Pattern::Calm, Policy::Fleet);
    let crash = metrics(Pattern::Crash, Policy::Fleet);
    for it in [&calm, &crash] {
        assert!(
            it.loads <= it.unique * 2,
            "{} loads of {} adapters",
            it.loads,
            it.unique
        );
    }
}
