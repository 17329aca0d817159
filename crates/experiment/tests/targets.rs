//! The stated targets of the placement decisions, on seeded traces whose figures repeat exactly.

use experiment::{deployment::Deployment, figures::Figures, fleet, naive, scenario::Scenario};
use steward::Settings;

const SEED: u64 = 1;

fn own(deployment: &Deployment, scenario: Scenario, skew: f64) -> Figures {
    let trace = scenario.trace(deployment, skew, SEED);
    fleet::run(deployment, &Settings::default(), scenario, &trace)
}

/// What must hold in a scenario: store limits kept, the right adapter, a third of the reference's
/// load stall at most, more useful work than the reference.
fn check(deployment: &Deployment, scenario: Scenario, skew: f64) {
    let trace = scenario.trace(deployment, skew, SEED);
    let own = fleet::run(deployment, &Settings::default(), scenario, &trace);
    let reference = naive::run(deployment, scenario, &trace);
    let name = format!("{} {} {skew}", deployment.name, scenario.name());
    assert_eq!(own.over_rate, 0, "{name}: loads over the rate");
    assert!(
        own.peak_in_flight <= u64::from(deployment.in_flight),
        "{name}: in flight"
    );
    assert_eq!(own.wrong, 0, "{name}: answers by another adapter");
    let (stall, limit) = (own.total_stall(), reference.total_stall() / 3);
    assert!(
        stall <= limit,
        "{name}: {stall} us of load stall, more than {limit}"
    );
    let (useful, least) = (own.useful, reference.useful);
    assert!(
        useful >= least,
        "{name}: {useful} us of useful work, less than {least}"
    );
}

/// Ordinary load, where the store is slower.
#[test]
fn targets_hold_at_the_institute() {
    for scenario in Scenario::ALL {
        check(&Deployment::institute(), scenario, 1.0);
    }
}

/// Every scenario, where load stalls weigh more.
#[test]
fn targets_hold_at_maegesho() {
    for scenario in Scenario::ALL {
        check(&Deployment::maegesho(), scenario, 1.0);
    }
}

/// More answers come in time at 1.5 times capacity than at capacity.
#[test]
fn goodput_does_not_fall_in_overload() {
    for deployment in [Deployment::maegesho(), Deployment::institute()] {
        let capacity = own(&deployment, Scenario::Capacity, 1.0).goodput();
        let overload = own(&deployment, Scenario::Overload, 1.0).goodput();
        assert!(
            overload >= capacity,
            "{}: {overload} after {capacity}",
            deployment.name
        );
    }
}

/// The same seed gives the same figures.
#[test]
fn figures_repeat_exactly() {
    let deployment = Deployment::institute();
    let first = own(&deployment, Scenario::Shift, 1.2);
    let second = own(&deployment, Scenario::Shift, 1.2);
    assert_eq!(first.stalls, second.stalls);
    assert_eq!(first.refusals, second.refusals);
    assert_eq!(first.loads, second.loads);
}
