//! Limits the retries that one host sends, so that all hosts together stay within the operator's budget.

use std::collections::VecDeque;

use crate::Time;

/// Fraction of the budget that is used. The rest covers differences between the counts of the upstreams and
/// of this host, such as a retry that arrives a little later than it was sent.
const USED_FRACTION: f64 = 0.85;

/// Retry budget of all hosts for one service.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// Allowed retries per first attempt within the window.
    pub ratio: f64,
    /// Allowed retries within the window beyond `ratio`, over all hosts.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Time,
}

/// Requests and retries that this host has sent to one service within the window.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    /// Start of this process. The retries of the previous process on this host are unknown.
    started: Time,
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl Budget {
    /// Creates the budget of a process that started at `started`.
    pub fn new(started: Time) -> Self {
        Self {
            started,
            ..Self::default()
        }
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Time, rule: Rule) {
        trim(&mut self.requests, now, rule.window);
        self.requests.push_back(now);
    }

    /// Counts one retry and returns true if the budget allows it. `hosts` is the number of hosts that share
    /// the budget; an overestimate is safe.
    pub fn try_retry(&mut self, now: Time, rule: Rule, hosts: usize) -> bool {
        let allowed = self.has_retry(now, rule, hosts);
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }

    /// Takes back a retry that was counted at `counted_at` and has not been sent.
    pub fn cancel_retry(&mut self, counted_at: Time) {
        if let Some(at) = self.retries.iter().rposition(|it| *it == counted_at) {
            self.retries.remove(at);
        }
    }

    /// Returns whether the budget allows a retry, without counting one.
    pub fn has_retry(&mut self, now: Time, rule: Rule, hosts: usize) -> bool {
        self.remaining(now, rule, hosts) >= 1.0
    }

    /// Returns the number of retries that the budget allows now.
    pub fn remaining(&mut self, now: Time, rule: Rule, hosts: usize) -> f64 {
        trim(&mut self.requests, now, rule.window);
        trim(&mut self.retries, now, rule.window);
        let requests = f64::from(u32::try_from(self.requests.len()).unwrap_or(u32::MAX));
        let retries = f64::from(u32::try_from(self.retries.len()).unwrap_or(u32::MAX));
        let hosts = f64::from(u32::try_from(hosts.max(1)).unwrap_or(u32::MAX));
        let age = now.saturating_sub(self.started).as_secs_f64();
        // The slack grows over the first window, since the previous process may have spent it just before.
        let slack_fraction = (age / rule.window.as_secs_f64()).min(1.0);
        USED_FRACTION * (rule.ratio * requests + rule.slack * slack_fraction / hosts) - retries
    }
}

/// Removes times that are older than the window.
fn trim(times: &mut VecDeque<Time>, now: Time, window: Time) {
    while times.front().is_some_and(|it| *it + window < now) {
        times.pop_front();
    }
}
