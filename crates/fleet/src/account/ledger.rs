//! Use of the quotas of client accounts, counted over all hosts without a coordinator.
//!
//! Expected load: an account asks for many times its limit, at a few hosts or at all, and moves to other hosts within
//! seconds, while hosts are lost, suspended or cut off.
//!
//! Every host keeps a bucket for each account in use. It is refilled at the rate of the quota, and charged with what this
//! host admits and with what the others report that they have admitted. A report states a total since the first use, so
//! one that is lost, repeated or late does no harm. What hosts admit before they hear of each other is a debt, which the
//! refill pays off before more is admitted. A host that doesn't hear from some of the others refills its buckets with the
//! share of those that it does hear from, so the sides of a cut stay within the quota together.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::Quota;
use crate::{Time, rendezvous::short_id};

/// Part of the units beyond a quota by which requests may overdraw a bucket. An account whose burst is that of one or two
/// requests would be refused some below its rate otherwise, since requests don't come at equal intervals. The rest is for
/// what hosts admit before they hear of each other.
const OVERDRAFT_FRACTION: f64 = 0.5;

/// Time of the refill up to which debts are remembered. Longer ones would punish an account for a fault of the hosts.
const MAX_DEBT_TIME: Duration = Duration::from_secs(10);

/// Part of the burst below which the other hosts are told at once what was admitted.
const LOW_FRACTION: f64 = 0.5;

/// Time of the refill below which the other hosts are told at once, if the burst is larger.
const LOW_TIME: Duration = Duration::from_secs(2);

/// Time after the last report of another host in which it counts among those that use an account.
const USER_TTL: Duration = Duration::from_secs(2);

/// Time without use after which an account is forgotten. Its bucket is full again by then, or as full as that of a host
/// that has just started.
const IDLE_TTL: Duration = Duration::from_mins(1);

/// Periodic reports that state a change, since some are lost.
const REPORTS: u8 = 3;

/// Limits of the time after which a caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);

/// Identifies an account in messages.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AccountId(pub u32);

impl AccountId {
    /// The id of the account of this name.
    pub fn of(name: &str) -> Self {
        Self(short_id(name))
    }
}

/// What one host has admitted of one account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Usage {
    /// The account.
    pub account: AccountId,
    /// Units since the first use.
    pub total: i64,
    /// Time since the first use.
    pub age: Duration,
}

/// Place of a report among those of all processes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportId {
    /// Start of the reporting process.
    pub incarnation: u64,
    /// Number of the report; each process counts its own.
    pub number: u64,
}

/// Units that a request was charged, to be returned if it doesn't run.
#[derive(Clone, Debug, PartialEq)]
pub struct Charge {
    account: AccountId,
    units: i64,
}

/// Decision on a request of an account with a quota.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// It may run.
    Admit(Charge),
    /// The account has used up its quota. The caller should come back after this time.
    Refuse(Duration),
}

/// Whether the other hosts have to be told of a use at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Urgency {
    /// With the next heartbeat.
    Heartbeat,
    /// At once, since the account is close to its limit.
    Immediate,
}

/// State of one account, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct State {
    /// Units that may be used now; negative if hosts have admitted more than the quota.
    pub level: f64,
    /// Time since another host last reported a use; `None` if none has.
    pub report_age: Option<Duration>,
    /// Whether the last request was refused.
    pub is_exhausted: bool,
}

/// Latest report of another host about an account.
#[derive(Clone, Copy, Debug)]
struct Reported {
    id: ReportId,
    total: i64,
    received_at: Time,
}

/// Bucket of one account.
#[derive(Clone, Debug)]
struct Bucket {
    level: f64,
    refilled_at: Time,
    quota: Option<Quota>,
    own_total: i64,
    first_use: Option<Time>,
    last_use: Time,
    /// Periodic reports in which `own_total` is still to be stated since its last change.
    reports_due: u8,
    others: HashMap<Arc<str>, Reported>,
    /// When the last caller that was refused should come back.
    last_return: Time,
    is_exhausted: bool,
}

/// The accounts in use.
#[derive(Clone, Debug)]
pub struct Ledger {
    started_at: Time,
    /// Units by which requests may overdraw a bucket before one is refused.
    overdraft: f64,
    /// Part of the hosts of the fleet from which this host hears, itself included.
    share: f64,
    buckets: HashMap<AccountId, Bucket>,
    forgotten_at: Time,
}

impl Ledger {
    /// Creates the ledger of a process that starts at `now`. Its buckets are overdrawn, since other processes may have used
    /// the quotas just before. All hosts together may admit `slack` units beyond the quota of an account in any span of
    /// time.
    pub fn new(slack: f64, now: Time) -> Self {
        Self {
            started_at: now,
            overdraft: slack * OVERDRAFT_FRACTION,
            share: 1.0,
            buckets: HashMap::new(),
            forgotten_at: now,
        }
    }

    /// Sets the part of the hosts of the fleet from which this host hears.
    pub fn set_share(&mut self, share: f64, now: Time) {
        for bucket in self.buckets.values_mut() {
            bucket.refill(self.share, now);
        }
        self.share = share.clamp(0.0, 1.0);
        if self.forgotten_at + IDLE_TTL < now {
            self.forgotten_at = now;
            self.buckets.retain(|_, it| it.last_use + IDLE_TTL > now);
        }
    }

    /// Decides on a request that uses `cost` units.
    pub fn admit(
        &mut self,
        account: AccountId,
        quota: &Quota,
        cost: f64,
        now: Time,
    ) -> (Decision, Urgency) {
        let (share, started_at) = (self.share, self.started_at);
        let overdraft = self.overdraft;
        let bucket = self.bucket(account, now);
        bucket.adopt(*quota, started_at, (share, overdraft), now);
        bucket.refill(share, now);
        bucket.last_use = now;
        if bucket.level + overdraft <= 0.0 {
            bucket.is_exhausted = true;
            let wait = bucket.retry_after(*quota, cost, (share, overdraft), now);
            return (Decision::Refuse(wait), Urgency::Heartbeat);
        }
        bucket.is_exhausted = false;
        let units = to_units(cost);
        bucket.first_use.get_or_insert(now);
        bucket.change_own(units);
        let low = (quota.burst * LOW_FRACTION).min(quota.rate * LOW_TIME.as_secs_f64());
        let urgency = if bucket.level < low {
            Urgency::Immediate
        } else {
            Urgency::Heartbeat
        };
        (Decision::Admit(Charge { account, units }), urgency)
    }

    /// Returns what a request was charged that has not run and will not.
    pub fn give_back(&mut self, charge: &Charge) {
        if let Some(bucket) = self.buckets.get_mut(&charge.account) {
            bucket.change_own(-charge.units);
        }
    }

    /// Records what another host has admitted.
    pub fn observe(&mut self, host: &Arc<str>, id: ReportId, usage: &Usage, now: Time) {
        let share = self.share;
        let uptime = now.saturating_sub(self.started_at);
        let bucket = self.bucket(usage.account, now);
        bucket.refill(share, now);
        let previous = bucket.others.get(host);
        let previous = previous.filter(|it| it.id.incarnation == id.incarnation);
        if previous.is_some_and(|it| it.id.number >= id.number) {
            return;
        }
        let counted = match previous {
            Some(it) => usage.total - it.total,
            // All of it was used while this process was running.
            None if usage.age <= uptime => usage.total,
            None => 0,
        };
        let reported = Reported {
            id,
            total: usage.total,
            received_at: now,
        };
        bucket.others.insert(host.clone(), reported);
        bucket.last_use = now;
        bucket.change_level(counted);
    }

    /// What this host has admitted of the account.
    pub fn usage(&self, account: AccountId, now: Time) -> Option<Usage> {
        let bucket = self.buckets.get(&account)?;
        Some(Usage {
            account,
            total: bucket.own_total,
            age: now.saturating_sub(bucket.first_use?),
        })
    }

    /// What this host has admitted of the accounts that were used of late, for a periodic report.
    pub fn take_changes(&mut self, now: Time) -> Vec<Usage> {
        let mut changed = Vec::new();
        for (account, bucket) in &mut self.buckets {
            if bucket.reports_due > 0 {
                bucket.reports_due -= 1;
                changed.push(*account);
            }
        }
        let usages = changed.into_iter().filter_map(|it| self.usage(it, now));
        usages.collect()
    }

    /// State of an account; `None` if it was not used of late.
    pub fn state(&self, account: AccountId, now: Time) -> Option<State> {
        let mut bucket = self.buckets.get(&account)?.clone();
        bucket.refill(self.share, now);
        let reports = bucket.others.values();
        let latest = reports.map(|it| it.received_at).max();
        Some(State {
            level: bucket.level,
            report_age: latest.map(|it| now.saturating_sub(it)),
            is_exhausted: bucket.is_exhausted,
        })
    }

    /// Part of the hosts of the fleet from which this host hears.
    pub fn share(&self) -> f64 {
        self.share
    }

    fn bucket(&mut self, account: AccountId, now: Time) -> &mut Bucket {
        let bucket = self.buckets.entry(account);
        bucket.or_insert_with(|| Bucket::new(now))
    }
}

impl Bucket {
    fn new(now: Time) -> Self {
        Self {
            level: 0.0,
            refilled_at: now,
            quota: None,
            own_total: 0,
            first_use: None,
            last_use: Time::ZERO,
            reports_due: 0,
            others: HashMap::new(),
            last_return: Time::ZERO,
            is_exhausted: false,
        }
    }

    /// Applies the quota of the current configuration. Until the account is first used, its bucket has been filling since
    /// the process started.
    fn adopt(&mut self, quota: Quota, started_at: Time, (share, overdraft): (f64, f64), now: Time) {
        if self.quota == Some(quota) {
            return;
        }
        self.refill(share, now);
        if self.quota.is_none() {
            let unused = self.refilled_at.saturating_sub(started_at).as_secs_f64();
            let filled = quota.rate * share * unused - overdraft;
            self.level += filled.min(quota.burst);
        }
        self.quota = Some(quota);
    }

    fn refill(&mut self, share: f64, now: Time) {
        let Some(quota) = self.quota else {
            return;
        };
        let time = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let max_debt = quota.rate * MAX_DEBT_TIME.as_secs_f64();
        let level = self.level.max(-max_debt) + quota.rate * share * time;
        self.level = level.min(quota.burst.max(1.0));
    }

    /// Time after which a refused caller should come back: when the bucket has something for it, behind the callers that
    /// were refused before. Those of other hosts are assumed to be as many for each host that uses the account.
    fn retry_after(
        &mut self,
        quota: Quota,
        cost: f64,
        (share, overdraft): (f64, f64),
        now: Time,
    ) -> Duration {
        let rate = (quota.rate * share).max(f64::MIN_POSITIVE);
        let seconds = |it: f64| {
            let time = Duration::try_from_secs_f64(it.max(0.0));
            time.unwrap_or(MAX_RETRY_AFTER).min(MAX_RETRY_AFTER)
        };
        let first = now + seconds(-(self.level + overdraft) / rate);
        let turn = first.max(self.last_return);
        let reports = self.others.values();
        let users = reports.filter(|it| it.received_at + USER_TTL > now).count() + 1;
        let users = f64::from(u32::try_from(users).unwrap_or(u32::MAX));
        let after = turn + seconds(cost * users / rate);
        self.last_return = after.min(now + MAX_RETRY_AFTER);
        let wait = turn.saturating_sub(now);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Records units that this host has admitted, or returned if negative.
    fn change_own(&mut self, units: i64) {
        self.own_total += units;
        self.reports_due = REPORTS;
        self.change_level(units);
    }

    fn change_level(&mut self, units: i64) {
        let magnitude = u32::try_from(units.unsigned_abs()).unwrap_or(u32::MAX);
        let units = f64::from(magnitude).copysign(if units < 0 { -1.0 } else { 1.0 });
        self.level -= units;
    }
}

/// Rounds a cost to whole units.
fn to_units(cost: f64) -> i64 {
    let cost = cost.clamp(0.0, f64::from(u32::MAX)).round();
    // The clamp keeps the value within the range.
    #[allow(clippy::cast_possible_truncation)]
    let units = cost as i64;
    units
}
