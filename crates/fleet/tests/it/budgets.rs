//! Budgets over all hosts, in any window.

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

/// Repeats of all hosts stay within the rule in each window that slides over a burst of repeats.
#[test]
fn hosts_together_stay_within_the_retry_budget_in_any_window() {
    let hosts = 4;
    let mut budgets = vec![Budget::default(); hosts];
    let mut requests = Vec::new();
    let mut repeats = Vec::new();
    for step in 0..6000 {
        let now = at(step * 5);
        let host = usize::try_from(step % 4).expect("it is small");
        // Three quarters of the time with traffic, then none.
        if step < 4000 && step % 3 == 0 {
            budgets[host].record_request(now, RULE);
            requests.push(now);
        }
        if budgets[host].try_retry(now, RULE, hosts) {
            repeats.push(now);
        }
    }
    let within = |times: &[fleet::Time], from: fleet::Time| {
        let in_it = |it: &&fleet::Time| **it > from && **it <= from + RULE.window;
        f64::from(u32::try_from(times.iter().filter(in_it).count()).expect("it is small"))
    };
    for step in 0..400 {
        let from = at(step * 100).saturating_sub(RULE.window);
        // The platform counts the requests of the window or of one shortly before.
        let counted =
            [0, 5000, 10_000].map(|back| within(&requests, from.saturating_sub(ms(back))));
        let most = counted.into_iter().fold(0.0, f64::max);
        let limit = RULE.ratio * most + RULE.slack;
        assert!(within(&repeats, from) <= limit, "window from {from:?}");
    }
    assert!(repeats.len() > 100, "the budget is used");
}

/// What the process before had spent may lie in the same window.
#[test]
fn a_host_that_has_just_started_spends_its_slack_over_a_window() {
    let spent = |upto: u64| {
        let mut budget = Budget::new(at(0));
        (0..upto)
            .filter(|it| budget.try_retry(at(*it), RULE, 1))
            .count()
    };
    assert_eq!(spent(100), 0);
    assert!(
        spent(2000) <= 11,
        "a fifth of the slack after a fifth of the window"
    );
    assert!(spent(9999) > 40);
}

#[test]
fn a_repeat_that_is_asked_for_only_is_not_spent() {
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
fn hosts_together_stay_below_the_ceiling_of_loads() {
    let rule = rate_limit::Rule {
        per_s: 4.5,
        window: std::time::Duration::from_secs(5),
    };
    for hosts in [1, 4, 30] {
        let mut ceilings = vec![RateLimiter::default(); hosts];
        let mut loads = 0;
        for step in 0..500 {
            for ceiling in &mut ceilings {
                loads += u32::from(ceiling.try_acquire(at(step * 10), rule, hosts));
            }
        }
        // Each host may have one, or engines would stay empty.
        let most = (4.5_f64 * 5.0).max(f64::from(u32::try_from(hosts).expect("small")));
        assert!(f64::from(loads) <= most, "{hosts} hosts: {loads}");
        assert!(loads > 0);
    }
}
