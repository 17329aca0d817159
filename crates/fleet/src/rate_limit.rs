//! Loads of base models that one host may order, so that all hosts together stay within what the
//! weight store allows.

use std::collections::VecDeque;

use crate::Time;

/// The limit over all hosts.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// Loads a second.
    pub per_s: f64,
    /// Length of a window; windows slide.
    pub window: Time,
}

/// What this host has ordered within a window.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    loads: VecDeque<Time>,
}

impl RateLimiter {
    /// Takes one load, if this host's share has one left.
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
