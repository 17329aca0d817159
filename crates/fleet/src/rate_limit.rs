//! Limits the base model loads that one host orders, so that all hosts together stay within the rate limit
//! of the weight store.

use std::collections::VecDeque;

use crate::Time;

/// Rate limit for all hosts together.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// Loads per second.
    pub per_s: f64,
    /// Length of the sliding window.
    pub window: Time,
}

/// Times of this host's loads within the window.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    loads: VecDeque<Time>,
}

impl RateLimiter {
    /// Counts one load and returns true if this host's share of the limit allows it. Each host may order at
    /// least one load per window.
    pub fn try_acquire(&mut self, now: Time, rule: Rule, hosts: usize) -> bool {
        while self.loads.front().is_some_and(|it| *it + rule.window < now) {
            self.loads.pop_front();
        }
        let hosts = f64::from(u32::try_from(hosts.max(1)).unwrap_or(u32::MAX));
        let share = (rule.per_s * rule.window.as_secs_f64() / hosts).max(1.0);
        let loads = f64::from(u32::try_from(self.loads.len()).unwrap_or(u32::MAX));
        if loads + 1.0 > share {
            return false;
        }
        self.loads.push_back(now);
        true
    }
}
