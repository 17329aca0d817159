//! Tests of the call budget with a manual clock.

use std::{sync::Arc, time::Duration};

use kernel::clock::Manual;
use objects::{
    budget::{Budget, Decision, Importance, Rate},
    http::Client,
    object::{Failure, Reason, Store},
};
use standin::object::{Server, Switch};

const RATE: Rate = Rate {
    calls_per_second: 4.0,
    burst: 2,
};

fn check(run: impl FnOnce(&Budget, &Manual)) {
    let clock = Arc::new(Manual::new());
    let budget = Budget::new(RATE, clock.clone());
    run(&budget, &clock);
}

fn wait(millis: u64) -> Decision {
    Decision::Wait(Duration::from_millis(millis))
}

// The burst is allowed at once, further calls at the rate. A call is allowed after the returned
// wait.
#[test]
fn calls_are_limited_to_the_rate() {
    check(|budget, clock| {
        let decisions = [
            budget.try_acquire(Importance::Essential),
            budget.try_acquire(Importance::Essential),
            budget.try_acquire(Importance::Essential),
        ];
        assert_eq!(decisions, [Decision::Allow, Decision::Allow, wait(250)]);
        clock.advance(Duration::from_millis(100));
        assert_eq!(budget.try_acquire(Importance::Essential), wait(150));
        clock.advance(Duration::from_millis(150));
        assert_eq!(
            [
                budget.try_acquire(Importance::Essential),
                budget.try_acquire(Importance::Essential)
            ],
            [Decision::Allow, wait(250)]
        );
    });
}

// The bucket holds at most the burst, however long it is idle.
#[test]
fn idle_time_refills_at_most_the_burst() {
    check(|budget, clock| {
        clock.advance(Duration::from_hours(1));
        let decisions = [
            budget.try_acquire(Importance::Essential),
            budget.try_acquire(Importance::Essential),
            budget.try_acquire(Importance::Essential),
        ];
        assert_eq!(decisions, [Decision::Allow, Decision::Allow, wait(250)]);
    });
}

// A blocked budget allows no calls. A shorter block does not replace a longer one.
#[test]
fn a_blocked_budget_allows_no_calls() {
    check(|budget, clock| {
        budget.block_for(Duration::from_secs(3));
        budget.block_for(Duration::from_secs(1));
        assert_eq!(budget.try_acquire(Importance::Essential), wait(3000));
        clock.advance(Duration::from_secs(3));
        assert_eq!(budget.try_acquire(Importance::Essential), Decision::Allow);
    });
}

// Deferrable calls leave a quarter of the burst to essential calls.
#[test]
fn deferrable_calls_leave_a_reserve() {
    let rate = Rate {
        calls_per_second: 4.0,
        burst: 5,
    };
    let budget = Budget::new(rate, Arc::new(Manual::new()));
    let decisions = [Importance::Deferrable; 5].map(|it| budget.try_acquire(it));
    let [allow, refuse] = [Decision::Allow, wait(250)];
    assert_eq!(decisions, [allow, allow, allow, allow, refuse]);
    assert_eq!(budget.try_acquire(Importance::Essential), Decision::Allow);
    assert_eq!(budget.try_acquire(Importance::Essential), refuse);
    assert_eq!(budget.try_acquire(Importance::Deferrable), wait(500));
}

// With a rate of zero, only the burst is allowed.
#[test]
fn a_rate_of_zero_allows_only_the_burst() {
    let rate = Rate {
        calls_per_second: 0.0,
        ..RATE
    };
    let budget = Budget::new(rate, Arc::new(Manual::new()));
    let decisions = [
        budget.try_acquire(Importance::Essential),
        budget.try_acquire(Importance::Essential),
        budget.try_acquire(Importance::Essential),
    ];
    assert_eq!(
        decisions,
        [
            Decision::Allow,
            Decision::Allow,
            Decision::Wait(Duration::MAX)
        ]
    );
}

// Calls over the budget are neither sent nor counted as calls. A response with status 429 blocks
// later calls.
#[test]
fn the_client_respects_its_budget() {
    let server = Server::start();
    let clock = Arc::new(Manual::new());
    let client = Client::with_budget(server.address(), RATE, clock.clone());
    let get = || client.get(Reason::Journal, "a");
    assert_eq!((get(), get()), (Ok(None), Ok(None)));
    let after = Duration::from_millis(250);
    assert_eq!(get(), Err(Failure::Throttled { after }));
    assert_eq!((server.counts().reads, client.over_budget_count()), (2, 1));
    assert_eq!(client.call_counts()[&Reason::Journal], 2);
    clock.advance(Duration::from_secs(1));
    server.set(Switch::CallsPerSecond(0.001));
    assert_eq!(get(), Ok(None));
    let after = Duration::from_secs(1);
    assert_eq!(get(), Err(Failure::Throttled { after }));
    assert_eq!(get(), Err(Failure::Throttled { after }));
    assert_eq!(server.counts().throttled, 1);
}
