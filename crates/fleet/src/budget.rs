//! Repeats that one host may send, so that all hosts together stay within the operator's budget.

use std::collections::VecDeque;

use crate::Time;

/// Part of the budget that is used; the rest covers what the upstreams count otherwise than this host,
/// such as a repeat that arrives a little later than it was sent.
const USED: f64 = 0.85;

/// The budget of all hosts for one service.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// Repeats for each first request within a window.
    pub ratio: f64,
    /// Repeats in a window beside these, over all hosts.
    pub slack: f64,
    /// Length of a window; windows slide.
    pub window: Time,
}

/// What this host has sent to one service within a window.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    /// Start of this process: what the one before has spent isn't known.
    started: Time,
    requests: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

impl Budget {
    /// The budget of a process that started then.
    pub fn new(started: Time) -> Self {
        Self {
            started,
            ..Self::default()
        }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Time, rule: Rule) {
        trim(&mut self.requests, now, rule.window);
        self.requests.push_back(now);
    }

    /// Takes one repeat, if the budget has one left. `hosts` is the number of hosts that may spend it
    /// too; counting too many is safe.
    pub fn try_retry(&mut self, now: Time, rule: Rule, hosts: usize) -> bool {
        let has = self.has_retry(now, rule, hosts);
        if has {
            self.repeats.push_back(now);
        }
        has
    }

    /// Whether a repeat is left.
    pub fn has_retry(&mut self, now: Time, rule: Rule, hosts: usize) -> bool {
        self.remaining(now, rule, hosts) >= 1.0
    }

    /// Repeats that are left now.
    pub fn remaining(&mut self, now: Time, rule: Rule, hosts: usize) -> f64 {
        trim(&mut self.requests, now, rule.window);
        trim(&mut self.repeats, now, rule.window);
        let requests = f64::from(u32::try_from(self.requests.len()).unwrap_or(u32::MAX));
        let repeats = f64::from(u32::try_from(self.repeats.len()).unwrap_or(u32::MAX));
        let hosts = f64::from(u32::try_from(hosts.max(1)).unwrap_or(u32::MAX));
        let age = now.saturating_sub(self.started).as_secs_f64();
        let grown = (age / rule.window.as_secs_f64()).min(1.0);
        USED * (rule.ratio * requests + rule.slack * grown / hosts) - repeats
    }
}

fn trim(times: &mut VecDeque<Time>, now: Time, window: Time) {
    while times.front().is_some_and(|it| *it + window < now) {
        times.pop_front();
    }
}
