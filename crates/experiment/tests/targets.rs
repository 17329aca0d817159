//! Targets of the placement decisions that are met, on seeded traces whose measurements repeat
//! exactly. The targets are listed in `docs/MEASUREMENTS.md`.

use experiment::{deployment::Deployment, metrics::Metrics, naive, scenario::Scenario, simulation};
use steward::Settings;

const SEED: u64 = 1;

fn simulate(deployment: &Deployment, scenario: Scenario, skew: f64) -> Metrics {
    let trace = scenario.generate_trace(deployment, skew, SEED);
    simulation::run(deployment, &Settings::default(), scenario, &trace)
}

/// Checks that a run keeps the store's limits, answers with the requested adapters, and has at most
/// a third of the load stall and at least the useful work of the naive placement.
fn check(deployment: &Deployment, scenario: Scenario, skew: f64) {
    let trace = scenario.generate_trace(deployment, skew, SEED);
    let own = simulation::run(deployment, &Settings::default(), scenario, &trace);
    let naive = naive::run(deployment, scenario, &trace);
    let name = format!("{} {} {skew}", deployment.name, scenario.name());
    assert_eq!(
        own.rate_limited_loads, 0,
        "{name}: loads exceeded the rate limit"
    );
    assert!(
        own.peak_in_flight <= u64::from(deployment.in_flight_cap),
        "{name}: too many loads in flight"
    );
    assert_eq!(
        own.wrong_adapter_answers, 0,
        "{name}: answers by an adapter other than the requested one"
    );
    let (stall, limit) = (own.total_stall(), naive.total_stall() / 3);
    assert!(
        stall <= limit,
        "{name}: {stall} us of load stall, more than {limit}"
    );
    let (useful_time, minimum) = (own.useful_time, naive.useful_time);
    assert!(
        useful_time >= minimum,
        "{name}: {useful_time} us of useful work, less than {minimum}"
    );
}

/// Checks every scenario on the fleet with the slower store.
#[test]
fn targets_hold_at_the_institute() {
    for scenario in Scenario::ALL {
        check(&Deployment::institute(), scenario, 1.0);
    }
}

/// Checks every scenario on the fleet where load stalls weigh more than batch efficiency.
#[test]
fn targets_hold_at_maegesho() {
    for scenario in Scenario::ALL {
        check(&Deployment::maegesho(), scenario, 1.0);
    }
}

/// At 1.5 times the capacity at least as many answers are completed within their deadline as at the
/// capacity.
#[test]
fn goodput_does_not_fall_in_overload() {
    for deployment in [Deployment::maegesho(), Deployment::institute()] {
        let capacity = simulate(&deployment, Scenario::Capacity, 1.0).goodput();
        let overload = simulate(&deployment, Scenario::Overload, 1.0).goodput();
        assert!(
            overload >= capacity,
            "{}: goodput of {overload} in overload, {capacity} at capacity",
            deployment.name
        );
    }
}

/// The same seed gives the same measurements.
#[test]
fn metrics_repeat_exactly() {
    let deployment = Deployment::institute();
    let first = simulate(&deployment, Scenario::Shift, 1.2);
    let second = simulate(&deployment, Scenario::Shift, 1.2);
    assert_eq!(first.stalls, second.stalls);
    assert_eq!(first.refusals, second.refusals);
    assert_eq!(first.loads, second.loads);
}
