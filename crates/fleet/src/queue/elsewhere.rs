//! Work of other hosts for client accounts, as they report it.
//!
//! Expected load: an account sends many times its usual, and most of its requests come to other hosts. Each host would see a
//! small part of them, and take the account for one that has no more than its share.
//!
//! Work is counted in tokens over the weight of the account.
//!
//! Reports of the use of quotas in tokens state such work anyway. Of other accounts, a host states it only while requests
//! wait there: nothing is short otherwise. A lost report is not repeated, since its weight halves every two seconds.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::shares::{Recorded, decayed};
use crate::{
    Time,
    account::{Account, Unit, ledger::AccountId},
};

/// Work below which an account is forgotten.
const MIN_WORK: f64 = 1.0;

/// Maximum number of accounts whose work is recorded.
const MAX_ACCOUNTS: usize = 4096;

/// Maximum number of accounts in one report.
const MAX_REPORTED: usize = 512;

/// Time between two snapshots.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(200);

/// Returns whether the reports of the use of quotas state the work of an account.
pub fn is_in_ledger(account: &Account) -> bool {
    let quota = account.quota.as_ref();
    quota.is_some_and(|it| matches!(it.unit, Unit::Tokens { .. }))
}

/// Work of other hosts.
#[derive(Clone, Debug, Default)]
pub struct Elsewhere {
    work: HashMap<Arc<str>, Recorded>,
}

impl Elsewhere {
    /// Records work of another host for an account, or work that it returns if negative.
    pub fn record(&mut self, account: &Arc<str>, work: f64, now: Time) {
        let is_known = self.work.contains_key(account);
        if !is_known && (work < MIN_WORK || self.work.len() >= MAX_ACCOUNTS) {
            return;
        }
        let entry = self.work.entry(account.clone()).or_insert((0.0, now));
        *entry = ((decayed(*entry, now) + work).max(0.0), now);
    }

    pub(super) fn work(&self, account: &str, now: Time) -> f64 {
        let work = self.work.get(account);
        work.map_or(0.0, |it| decayed(*it, now))
    }

    /// Accounts with their work.
    pub(super) fn iter(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, f64)> {
        let work = self.work.iter().map(move |it| (it.0, decayed(*it.1, now)));
        work.filter(|it| it.1 >= MIN_WORK)
    }

    pub(super) fn is_empty(&self, now: Time) -> bool {
        self.iter(now).next().is_none()
    }
}

/// Collects the reports of all other hosts, for the queues of all services.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    work: Elsewhere,
    snapshot: Arc<Elsewhere>,
    taken_at: Option<Time>,
}

impl Collector {
    /// Records work of another host for an account, or work that it returns if negative.
    pub fn record(&mut self, account: &Arc<str>, work: f64, now: Time) {
        self.work.record(account, work, now);
    }

    /// The last snapshot.
    pub fn snapshot(&self) -> &Arc<Elsewhere> {
        &self.snapshot
    }

    /// Takes a snapshot, unless the last one was taken just before.
    pub fn take_snapshot(&mut self, now: Time) -> Option<Arc<Elsewhere>> {
        if (self.taken_at).is_some_and(|it| now.saturating_sub(it) < SNAPSHOT_INTERVAL) {
            return None;
        }
        self.taken_at = Some(now);
        let work = &mut self.work.work;
        work.retain(|_, it| decayed(*it, now) >= MIN_WORK);
        self.snapshot = Arc::new(self.work.clone());
        Some(self.snapshot.clone())
    }
}

/// Work of this host that is to be reported.
#[derive(Clone, Debug, Default)]
pub struct Unreported {
    work: HashMap<AccountId, f64>,
}

impl Unreported {
    /// Records tokens of a request that took its room, while `waiting` requests wait at this host.
    pub fn record(&mut self, account: Option<&Account>, tokens: f64, waiting: usize) {
        let Some(account) = account.filter(|it| waiting > 0 && !is_in_ledger(it)) else {
            return;
        };
        let id = AccountId::of(&account.name);
        if self.work.len() < MAX_REPORTED || self.work.contains_key(&id) {
            *self.work.entry(id).or_default() += tokens;
        }
    }

    /// Returns what was recorded since the last call.
    pub fn take(&mut self) -> Vec<(AccountId, f64)> {
        self.work.drain().collect()
    }
}
