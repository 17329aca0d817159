//! The budget of calls, on a clock that the tests move.

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

// A burst passes at once, then calls pass at the rate, and a wait that is kept is enough.
#[test]
fn calls_pass_at_the_rate() {
    check(|budget, clock| {
        let verdicts = [
            budget.try_acquire(Importance::Essential),
            budget.try_acquire(Importance::Essential),
            budget.try_acquire(Importance::Essential),
        ];
        assert_eq!(verdicts, [Decision::Allow, Decision::Allow, wait(250)]);
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

// A long pause saves up no more than the burst.
#[test]
fn a_pause_saves_up_the_burst() {
    check(|budget, clock| {
        clock.advance(Duration::from_hours(1));
        let verdicts = [
            budget.try_acquire(Importance::Essential),
            budget.try_acquire(Importance::Essential),
            budget.try_acquire(Importance::Essential),
        ];
        assert_eq!(verdicts, [Decision::Allow, Decision::Allow, wait(250)]);
    });
}

// While the platform asks to wait, nothing passes; the longest wait counts.
#[test]
fn a_closed_budget_lets_nothing_pass() {
    check(|budget, clock| {
        budget.block_for(Duration::from_secs(3));
        budget.block_for(Duration::from_secs(1));
        assert_eq!(budget.try_acquire(Importance::Essential), wait(3000));
        clock.advance(Duration::from_secs(3));
        assert_eq!(budget.try_acquire(Importance::Essential), Decision::Allow);
    });
}

// Calls that can be put off leave a quarter of the burst to those that somebody waits for.
#[test]
fn deferrable_calls_leave_a_reserve() {
    let rate = Rate {
        calls_per_second: 4.0,
        burst: 5,
    };
    let budget = Budget::new(rate, Arc::new(Manual::new()));
    let verdicts = [Importance::Deferrable; 5].map(|it| budget.try_acquire(it));
    let [go, blocked] = [Decision::Allow, wait(250)];
    assert_eq!(verdicts, [go, go, go, go, blocked]);
    assert_eq!(budget.try_acquire(Importance::Essential), Decision::Allow);
    assert_eq!(budget.try_acquire(Importance::Essential), blocked);
    assert_eq!(budget.try_acquire(Importance::Deferrable), wait(500));
}

// A rate of zero lets the burst through and then nothing.
#[test]
fn a_rate_of_zero_ends_after_the_burst() {
    let rate = Rate {
        calls_per_second: 0.0,
        ..RATE
    };
    let budget = Budget::new(rate, Arc::new(Manual::new()));
    let verdicts = [
        budget.try_acquire(Importance::Essential),
        budget.try_acquire(Importance::Essential),
        budget.try_acquire(Importance::Essential),
    ];
    assert_eq!(
        verdicts,
        [
            Decision::Allow,
            Decision::Allow,
            Decision::Wait(Duration::MAX)
        ]
    );
}

// Calls over the budget aren't sent and aren't counted as calls; a 429 keeps later calls back.
#[test]
fn the_client_keeps_to_its_budget() {
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
