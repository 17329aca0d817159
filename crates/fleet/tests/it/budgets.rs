//! Tests of limits that all hosts share: the retry budget and the rate limit on base model loads.

use fleet::{
    budget::{self, Budget},
    rate_limit::{self, RateLimiter},
};

use crate::fixture::{at, ms};

const RULE: budget::Rule = budget::Rule {
    ratio: 0.2,
    slack: 54.0,
    window: std::time::Duration::from_secs(10),
};

/// The retries of all hosts stay within the rule in every window that slides over a burst of retries.
#[test]
fn hosts_together_stay_within_the_retry_budget_in_any_window() {
    let hosts = 4;
    let mut budgets = vec![Budget::default(); hosts];
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for step in 0..6000 {
        let now = at(step * 5);
        let host = usize::try_from(step % 4).expect("the number is small");
        // Callers send requests in the first two thirds of the time only.
        if step < 4000 && step % 3 == 0 {
            budgets[host].record_request(now, RULE);
            requests.push(now);
        }
        if budgets[host].try_retry(now, RULE, hosts) {
            retries.push(now);
        }
    }
    let count_within = |times: &[fleet::Time], from: fleet::Time| {
        let in_window = |it: &&fleet::Time| **it > from && **it <= from + RULE.window;
        f64::from(
            u32::try_from(times.iter().filter(in_window).count()).expect("the number is small"),
        )
    };
    for step in 0..400 {
        let from = at(step * 100).saturating_sub(RULE.window);
        // The platform counts the requests of this window or of one shortly before.
        let counted =
            [0, 5000, 10_000].map(|back| count_within(&requests, from.saturating_sub(ms(back))));
        let max_requests = counted.into_iter().fold(0.0, f64::max);
        let limit = RULE.ratio * max_requests + RULE.slack;
        assert!(
            count_within(&retries, from) <= limit,
            "window from {from:?}"
        );
    }
    assert!(retries.len() > 100, "the budget must be used");
}

/// The previous process may have spent its budget in the same window.
#[test]
fn a_host_that_has_just_started_spends_its_slack_over_a_window() {
    let retries_within = |millis: u64| {
        let mut budget = Budget::new(at(0));
        (0..millis)
            .filter(|it| budget.try_retry(at(*it), RULE, 1))
            .count()
    };
    assert_eq!(retries_within(100), 0);
    assert!(
        retries_within(2000) <= 11,
        "a fifth of the slack after a fifth of the window"
    );
    assert!(retries_within(9999) > 40);
}

#[test]
fn asking_whether_a_retry_is_allowed_does_not_count_it() {
    let rule = budget::Rule { slack: 1.2, ..RULE };
    let mut budget = Budget::default();
    for _ in 0..5 {
        assert!(budget.has_retry(at(0), rule, 1));
    }
    assert!(budget.try_retry(at(0), rule, 1));
    assert!(!budget.has_retry(at(1), rule, 1));
    assert!(budget.has_retry(at(10_002), rule, 1));
}

#[test]
fn hosts_together_stay_within_the_rate_limit_on_loads() {
    let rule = rate_limit::Rule {
        per_s: 4.5,
        window: std::time::Duration::from_secs(5),
    };
    for hosts in [1, 4, 30] {
        let mut limiters = vec![RateLimiter::default(); hosts];
        let mut loads = 0;
        for step in 0..500 {
            for limiter in &mut limiters {
                loads += u32::from(limiter.try_acquire(at(step * 10), rule, hosts));
            }
        }
        // Each host may order at least one load, or engines would stay empty.
        let max_loads = (4.5_f64 * 5.0).max(f64::from(
            u32::try_from(hosts).expect("the number is small"),
        ));
        assert!(f64::from(loads) <= max_loads, "{hosts} hosts: {loads}");
        assert!(loads > 0);
    }
}
