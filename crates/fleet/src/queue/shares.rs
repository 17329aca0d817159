//! Recent work of each client account, and which of them have more than their share.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{Time, decay};

/// Time in which recorded work loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Factor over the equal share above which an account has more than its share: requests come in groups.
const EXCESS_FACTOR: f64 = 1.5;

/// Time between two computations of the equal share.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Fraction of the equal share below which an account doesn't count as one that shares.
const MIN_PART: f64 = 0.05;

/// Maximum number of accounts whose work is recorded.
const MAX_ACCOUNTS: usize = 512;

/// Work by account.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    work: HashMap<Option<Arc<str>>, (f64, Time)>,
    /// Equal share of the accounts that are in use, and when it was computed.
    equal_share: Option<(f64, Time)>,
}

impl Shares {
    /// Records work that is done for an account.
    pub(super) fn record(&mut self, account: Option<&Arc<str>>, work: f64, now: Time) {
        let is_known = self.work.contains_key(&account.cloned());
        if !is_known && self.work.len() >= MAX_ACCOUNTS {
            return;
        }
        let entry = self.work.entry(account.cloned()).or_insert((0.0, now));
        *entry = (decayed(*entry, now) + work, now);
    }

    /// Returns whether an account recently got more than its equal share.
    pub(super) fn has_excess(&mut self, account: Option<&Arc<str>>, now: Time) -> bool {
        let equal_share = self.equal_share(now);
        let work = self.work.get(&account.cloned());
        work.is_some_and(|it| decayed(*it, now) > equal_share * EXCESS_FACTOR)
    }

    fn equal_share(&mut self, now: Time) -> f64 {
        if let Some((share, at)) = self.equal_share
            && now.saturating_sub(at) < UPDATE_INTERVAL
        {
            return share;
        }
        let mean = self.mean_above(0.0, now);
        let share = self.mean_above(mean * MIN_PART, now);
        self.work
            .retain(|_, it| decayed(*it, now) > mean * MIN_PART * MIN_PART);
        self.equal_share = Some((share, now));
        share
    }

    /// Mean work of the accounts that have more work than this.
    fn mean_above(&self, min: f64, now: Time) -> f64 {
        let all = self.work.values().map(|it| decayed(*it, now));
        let (sum, count) = all
            .filter(|it| *it > min)
            .fold((0.0, 0.0), |sum, it| (sum.0 + it, sum.1 + 1.0));
        if count > 0.0 { sum / count } else { 0.0 }
    }
}

fn decayed((work, at): (f64, Time), now: Time) -> f64 {
    work * decay::factor(at, HALF_LIFE, now)
}
