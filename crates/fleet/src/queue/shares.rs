//! Recent work of each client account, and which of them have more than their share.
//!
//! Work is counted in tokens over the weight of the account, so equal shares of it are shares in proportion to the weights.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::elsewhere::Elsewhere;
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

/// Recorded work, and when it was last added to.
pub(super) type Recorded = (f64, Time);

/// Equal shares of the accounts that are in use.
#[derive(Clone, Copy, Debug)]
struct EqualShares {
    /// Of the work of this host.
    own: f64,
    /// Of the work of all hosts.
    total: f64,
    computed_at: Time,
}

/// Work by account.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    work: HashMap<Option<Arc<str>>, Recorded>,
    equal_shares: Option<EqualShares>,
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

    /// Returns whether an account recently got more than its equal share of the work of all hosts. Other hosts say nothing
    /// of callers without an account, whose share is that of the work of this host.
    pub(super) fn has_excess(
        &mut self,
        account: Option<&Arc<str>>,
        elsewhere: &Elsewhere,
        now: Time,
    ) -> bool {
        let equal = self.equal_shares(elsewhere, now);
        let own = self.work.get(&account.cloned());
        let own = own.map_or(0.0, |it| decayed(*it, now));
        match account {
            None => own > equal.own * EXCESS_FACTOR,
            Some(it) => own + elsewhere.work(it, now) > equal.total * EXCESS_FACTOR,
        }
    }

    fn equal_shares(&mut self, elsewhere: &Elsewhere, now: Time) -> EqualShares {
        if let Some(it) = self.equal_shares
            && now.saturating_sub(it.computed_at) < UPDATE_INTERVAL
        {
            return it;
        }
        let own: Vec<_> = self.work.values().map(|it| decayed(*it, now)).collect();
        let equal = EqualShares {
            own: equal_share(&own),
            total: equal_share(&self.totals(elsewhere, now).unwrap_or(own.clone())),
            computed_at: now,
        };
        let min = mean_above(0.0, &own) * MIN_PART * MIN_PART;
        self.work.retain(|_, it| decayed(*it, now) > min);
        self.equal_shares = Some(equal);
        equal
    }

    /// Work of all hosts for each account; `None` if other hosts report none.
    fn totals(&self, elsewhere: &Elsewhere, now: Time) -> Option<Vec<f64>> {
        if elsewhere.is_empty(now) {
            return None;
        }
        let here = self.work.iter().filter_map(|(account, own)| {
            let account = account.as_ref()?;
            Some(decayed(*own, now) + elsewhere.work(account, now))
        });
        let not_here = elsewhere.iter(now);
        let not_here = not_here.filter(|it| !self.work.contains_key(&Some(it.0.clone())));
        Some(here.chain(not_here.map(|it| it.1)).collect())
    }
}

/// Mean work of those that have a part worth mentioning.
fn equal_share(work: &[f64]) -> f64 {
    mean_above(mean_above(0.0, work) * MIN_PART, work)
}

/// Mean of the work that is more than this.
fn mean_above(min: f64, work: &[f64]) -> f64 {
    let (sum, count) =
        (work.iter().filter(|it| **it > min)).fold((0.0, 0.0), |sum, it| (sum.0 + it, sum.1 + 1.0));
    if count > 0.0 { sum / count } else { 0.0 }
}

pub(super) fn decayed((work, at): Recorded, now: Time) -> f64 {
    work * decay::factor(at, HALF_LIFE, now)
}
