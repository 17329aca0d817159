//! The retry budgets of the services on this host.

use std::{
    collections::HashMap,
    sync::Mutex,
    time::{Duration, Instant},
};

use kernel::name::Service;
use steward::retry::{Attempt, Budget, Decision, Settings};

/// The budgets of all called services. Only declared services get a budget.
#[derive(Debug, Default)]
pub struct Retries(Mutex<HashMap<Service, Budget>>);

/// The decision after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Retry after this pause.
    Retry(Duration),
    /// Return the fault to the caller.
    GiveUp,
}

impl Retries {
    /// Credits a service's budget for a new request. Each request earns a fraction of a retry.
    pub fn earn(&self, service: &Service, retry: config::service::Retry) {
        let mut budgets = self.0.lock().expect("retry lock is poisoned");
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            Budget::new(Settings {
                earned_per_request: retry.budget,
                ..Settings::default()
            })
        });
        budget.earn();
    }

    /// Decides whether to retry after attempt number `count` (starting at 1) failed.
    pub fn decide(&self, service: &Service, count: u32, deadline: Instant, now: Instant) -> Next {
        let mut budgets = self.0.lock().expect("retry lock is poisoned");
        let Some(budget) = budgets.get_mut(service) else {
            return Next::GiveUp;
        };
        let attempt = Attempt {
            count,
            deadline,
            min_duration: Duration::ZERO,
            retry_after: None,
        };
        match budget.decide(attempt, rand::random(), now) {
            Decision::RetryAfter(pause) => Next::Retry(pause),
            Decision::Exhausted | Decision::OverBudget | Decision::TooLate => Next::GiveUp,
        }
    }
}
