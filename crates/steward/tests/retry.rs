//! Tests of retry budgets and circuit breakers.

use std::time::{Duration, Instant};

use steward::{
    circuit::{self, Admission, Circuit},
    retry::{self, Attempt, Budget, Decision},
};

fn attempt(count: u32, now: Instant) -> Attempt {
    Attempt {
        count,
        deadline: now + Duration::from_secs(10),
        min_duration: Duration::from_millis(100),
        retry_after: None,
    }
}

/// If all requests of a service fail, retries add at most a tenth to the requests, plus the initial
/// budget.
#[test]
fn budgets_stop_retry_storms() {
    let now = Instant::now();
    let mut budget = Budget::new(retry::Settings::default());
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn();
        if let Decision::RetryAfter(_) = budget.decide(attempt(1, now), 0.5, now) {
            retries += 1;
        }
    }
    assert!((100..=120).contains(&retries), "{retries} retries");
}

/// Pauses are jittered, double with each attempt, and are never shorter than the refusal asked for.
#[test]
fn pauses_back_off() {
    let now = Instant::now();
    let mut budget = Budget::new(retry::Settings::default());
    let mut check = |attempt, random, expected| {
        assert_eq!(budget.decide(attempt, random, now), expected);
    };
    check(
        attempt(1, now),
        1.0,
        Decision::RetryAfter(Duration::from_millis(50)),
    );
    check(
        attempt(2, now),
        1.0,
        Decision::RetryAfter(Duration::from_millis(100)),
    );
    check(
        attempt(2, now),
        0.25,
        Decision::RetryAfter(Duration::from_millis(25)),
    );
    check(attempt(3, now), 0.5, Decision::Exhausted);
    let with_retry_after = Attempt {
        retry_after: Some(Duration::from_secs(3)),
        ..attempt(1, now)
    };
    check(
        with_retry_after,
        0.5,
        Decision::RetryAfter(Duration::from_secs(3)),
    );
    let late = Attempt {
        retry_after: Some(Duration::from_secs(10)),
        ..attempt(1, now)
    };
    check(late, 0.5, Decision::TooLate);
}

/// A circuit opens after consecutive failures, lets one probe through after its pause, and stays
/// open twice as long after a failed probe.
#[test]
fn circuits_probe_one_at_a_time() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut circuit = Circuit::new(circuit::Settings::default());
    for _ in 0..5 {
        assert_eq!(circuit.admit(start), Admission::Allowed);
        circuit.record_failure(1.0, start);
    }
    assert_eq!(circuit.admit(at(499)), Admission::RejectedUntil(at(500)));
    assert_eq!(circuit.admit(at(500)), Admission::Probe);
    assert_eq!(circuit.admit(at(600)), Admission::RejectedUntil(at(1_000)));
    circuit.record_failure(1.0, at(700));
    assert_eq!(
        circuit.admit(at(1_699)),
        Admission::RejectedUntil(at(1_700))
    );
    assert_eq!(circuit.admit(at(1_700)), Admission::Probe);
    circuit.record_success();
    assert_eq!(circuit.admit(at(1_701)), Admission::Allowed);
}
