//! Use of the quotas of client accounts, counted over all hosts without a coordinator.
//!
//! Expected load: an account asks for many times its limit, at a few hosts or at all, and moves to other hosts within
//! seconds, while hosts are lost, suspended or cut off.
//!
//! Every host keeps a bucket for each account in use. It is refilled at the rate of the quota, and charged with what this
//! host admits and with what the others report that they have admitted. A report states a total since the first use, so
//! one that is lost, repeated or late does no harm. What hosts admit before they hear of each other is a debt, which the
//! refill pays off before more is admitted. A host that doesn't hear from some of the others refills its buckets with the
//! share of those that it does hear from, so the sides of a cut stay within the quota together. What it doesn't refill
//! meanwhile pays for what the others report after the cut, so nothing is counted twice.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::Quota;
use crate::{Time, rendezvous::short_id};

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

/// Time without use after which a host begins a new total. Other hosts may forget the earlier one after [`IDLE_TTL`].
const SERIES_TTL: Duration = Duration::from_secs(30);

/// Time after a cut in which the reports of the hosts behind it arrive.
const REUNION_TIME: Duration = Duration::from_secs(2);

/// Time in which a host reads the reports that came while it was suspended.
const BACKLOG_TIME: Duration = Duration::from_millis(100);

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

/// Units that one host has admitted of one account.
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

/// Time at which the other hosts have to be told of a use.
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
    /// True if the last request was refused.
    pub is_exhausted: bool,
}

/// Part of the fleet that a host hears from, and since when.
#[derive(Clone, Copy, Debug)]
struct Hearing {
    /// Part of the hosts of the fleet from which this host hears, itself included.
    share: f64,
    /// Until when the share holds. After that, this process has not run.
    until: Time,
    /// When this host last stopped hearing from all.
    lost_at: Time,
    /// Since when this host has heard from all again.
    restored_at: Time,
}

impl Hearing {
    fn is_whole(&self) -> bool {
        self.share >= 1.0
    }

    /// Notes a time in which this process has not run, and so has heard from nobody.
    fn note_pause(&mut self, now: Time) {
        if self.is_whole() && self.until < now {
            self.lost_at = self.lost_at.max(self.until);
            self.restored_at = now;
        }
    }
}

/// Latest report of another host about an account.
#[derive(Clone, Copy, Debug)]
struct Reported {
    number: u64,
    total: i64,
    received_at: Time,
    /// When its first report came after this host last stopped hearing from all.
    returned_at: Time,
}

/// Contents of a bucket.
#[derive(Clone, Copy, Debug)]
struct Level {
    units: f64,
    refilled_at: Time,
    /// Units that were not refilled, since other hosts were not heard.
    withheld: f64,
}

/// Bucket of one account.
#[derive(Clone, Debug)]
struct Bucket {
    level: Level,
    quota: Option<Quota>,
    own_total: i64,
    first_use: Option<Time>,
    last_use: Time,
    /// When `own_total` last changed.
    changed_at: Time,
    /// Periodic reports in which `own_total` is still to be stated since its last change.
    reports_due: u8,
    /// Reports by host and incarnation, since two processes may have the same name for a while.
    others: HashMap<(Arc<str>, u64), Reported>,
    /// When the latest of them was received.
    last_report: Time,
    /// When the last caller that was refused should come back.
    last_return: Time,
    is_exhausted: bool,
}

/// The accounts in use.
#[derive(Clone, Debug)]
pub struct Ledger {
    started_at: Time,
    hearing: Hearing,
    buckets: HashMap<AccountId, Bucket>,
    forgotten_at: Time,
}

impl Ledger {
    /// Creates the ledger of a process that starts at `now`. Its buckets are empty, since other processes may have used
    /// the quotas just before, and stay empty until the share of the hosts that it hears is known.
    pub fn new(now: Time) -> Self {
        Self {
            started_at: now,
            hearing: Hearing {
                share: 0.0,
                until: now,
                lost_at: Time::ZERO,
                restored_at: now,
            },
            buckets: HashMap::new(),
            forgotten_at: now,
        }
    }

    /// Sets the part of the hosts of the fleet from which this host hears. It holds for `validity`, unless it is set
    /// again: a process that was suspended doesn't refill its buckets for the time in which it could hear nothing.
    pub fn set_share(&mut self, share: f64, validity: Duration, now: Time) {
        self.hearing.note_pause(now);
        for bucket in self.buckets.values_mut() {
            bucket.refill(self.hearing, now);
        }
        let share = share.clamp(0.0, 1.0);
        let was_whole = self.hearing.is_whole();
        let hearing = &mut self.hearing;
        hearing.share = share;
        hearing.until = now + validity;
        match (was_whole, hearing.is_whole()) {
            (true, false) => hearing.lost_at = now,
            (false, true) => hearing.restored_at = now,
            _ => {}
        }
        if self.forgotten_at + IDLE_TTL < now {
            self.forgotten_at = now;
            self.buckets.retain(|_, it| it.last_use + IDLE_TTL > now);
            for bucket in self.buckets.values_mut() {
                (bucket.others).retain(|_, it| it.received_at + IDLE_TTL > now);
            }
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
        self.hearing.note_pause(now);
        let hearing = self.hearing;
        let started_at = self.started_at;
        let bucket = self.bucket(account, now);
        bucket.adopt(*quota, started_at, hearing, now);
        bucket.refill(hearing, now);
        bucket.last_use = now;
        if bucket.level.units <= 0.0 {
            bucket.is_exhausted = true;
            let wait = bucket.retry_after(*quota, cost, hearing.share, now);
            return (Decision::Refuse(wait), Urgency::Heartbeat);
        }
        bucket.is_exhausted = false;
        let units = to_units(cost);
        bucket.change_own(units, now);
        let low = (quota.burst * LOW_FRACTION).min(quota.rate * LOW_TIME.as_secs_f64());
        let urgency = if bucket.level.units < low {
            Urgency::Immediate
        } else {
            Urgency::Heartbeat
        };
        (Decision::Admit(Charge { account, units }), urgency)
    }

    /// Returns what a request was charged that has not run and will not.
    pub fn give_back(&mut self, charge: &Charge, now: Time) {
        if let Some(bucket) = self.buckets.get_mut(&charge.account) {
            bucket.change_own(-charge.units, now);
        }
    }

    /// Records what another host has admitted of an account, which has this `quota` if it is known. Returns the units since
    /// its last report; negative if requests were returned.
    pub fn observe(
        &mut self,
        host: &Arc<str>,
        id: ReportId,
        usage: &Usage,
        quota: Option<&Quota>,
        now: Time,
    ) -> f64 {
        self.hearing.note_pause(now);
        let hearing = self.hearing;
        let started_at = self.started_at;
        let uptime = now.saturating_sub(started_at);
        let bucket = self.bucket(usage.account, now);
        if let Some(it) = quota {
            bucket.adopt(*it, started_at, hearing, now);
        }
        bucket.refill(hearing, now);
        let process = (host.clone(), id.incarnation);
        let previous = bucket.others.get(&process).copied();
        if previous.is_some_and(|it| it.number >= id.number) {
            return 0.0;
        }
        let first_use = now.saturating_sub(usage.age);
        let counted = match previous {
            Some(it) if first_use < it.received_at + SERIES_TTL / 2 => {
                usage.total.saturating_sub(it.total)
            }
            // All of it was used while this process was running.
            _ if usage.age <= uptime => usage.total,
            _ => 0,
        };
        let returned_at = match previous {
            Some(it) if hearing.lost_at < it.received_at => it.returned_at,
            Some(_) => now,
            // It began behind the cut, since this host would have heard sooner.
            None if hearing.lost_at <= first_use && REUNION_TIME < usage.age => now,
            None => Time::ZERO,
        };
        let reported = Reported {
            number: id.number,
            total: usage.total,
            received_at: now,
            returned_at,
        };
        bucket.others.insert(process, reported);
        bucket.last_report = now;
        bucket.last_use = now;
        bucket.change_level(counted);
        if now < returned_at + BACKLOG_TIME {
            bucket.level.return_withheld(counted);
        }
        to_f64(counted)
    }

    /// Returns the units that this host has admitted of the account.
    pub fn usage(&self, account: AccountId, now: Time) -> Option<Usage> {
        let bucket = self.buckets.get(&account)?;
        Some(Usage {
            account,
            total: bucket.own_total,
            age: now.saturating_sub(bucket.first_use?),
        })
    }

    /// Returns the units that this host has admitted of the accounts used of late, for a periodic report.
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
        let bucket = self.buckets.get(&account)?;
        let mut level = bucket.level;
        if let Some(quota) = &bucket.quota {
            level.refill(quota, self.hearing, now);
        }
        let is_alone = bucket.others.is_empty();
        Some(State {
            level: level.units,
            report_age: (!is_alone).then(|| now.saturating_sub(bucket.last_report)),
            is_exhausted: bucket.is_exhausted,
        })
    }

    /// Part of the hosts of the fleet from which this host hears.
    pub fn share(&self) -> f64 {
        self.hearing.share
    }

    fn bucket(&mut self, account: AccountId, now: Time) -> &mut Bucket {
        let bucket = self.buckets.entry(account);
        bucket.or_insert_with(|| Bucket::new(now))
    }
}

impl Level {
    fn refill(&mut self, quota: &Quota, hearing: Hearing, now: Time) {
        let time = now.saturating_sub(self.refilled_at);
        let heard = hearing.until.min(now).saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let max_debt = quota.rate * MAX_DEBT_TIME.as_secs_f64();
        let gained = quota.rate * hearing.share * heard.as_secs_f64();
        let units = self.units + gained;
        // Each side of a cut has its part of the burst, too.
        let full = quota.burst.max(1.0);
        let own_part = (quota.burst * hearing.share).max(1.0);
        let withheld = quota.rate * time.as_secs_f64() - gained;
        let withheld = self.withheld + withheld + (units.min(full) - own_part).max(0.0);
        let is_over = hearing.is_whole() && hearing.restored_at + REUNION_TIME < now;
        self.withheld = if is_over {
            0.0
        } else {
            withheld.min(max_debt + full)
        };
        self.units = units.clamp(-max_debt, own_part);
    }

    /// Takes a debt of `counted` units, which hosts behind a cut have admitted, from what was not refilled meanwhile.
    fn return_withheld(&mut self, counted: i64) {
        let counted = to_f64(counted.max(0));
        let returned = counted.min(self.withheld).min(-self.units).max(0.0);
        self.withheld -= returned;
        self.units += returned;
    }
}

impl Bucket {
    fn new(now: Time) -> Self {
        Self {
            level: Level {
                units: 0.0,
                refilled_at: now,
                withheld: 0.0,
            },
            quota: None,
            own_total: 0,
            first_use: None,
            last_use: Time::ZERO,
            changed_at: Time::ZERO,
            reports_due: 0,
            others: HashMap::new(),
            last_report: Time::ZERO,
            last_return: Time::ZERO,
            is_exhausted: false,
        }
    }

    /// Applies the quota of the current configuration. Until the account is first used, its bucket has been filling since
    /// the process started.
    fn adopt(&mut self, quota: Quota, started_at: Time, hearing: Hearing, now: Time) {
        if self.quota == Some(quota) {
            return;
        }
        self.refill(hearing, now);
        if self.quota.is_none() {
            let refilled_at = self.level.refilled_at;
            let unused = refilled_at.saturating_sub(started_at).as_secs_f64();
            self.level.units += (quota.rate * hearing.share * unused).min(quota.burst);
        }
        self.quota = Some(quota);
        // Those who were refused by the earlier quota come back at times that say nothing about this one.
        self.last_return = Time::ZERO;
    }

    fn refill(&mut self, hearing: Hearing, now: Time) {
        if let Some(quota) = &self.quota {
            self.level.refill(quota, hearing, now);
        }
    }

    /// Time after which a refused caller should come back: when the bucket has something for it, behind the callers that
    /// were refused before. Those of other hosts are assumed to be as many for each host that uses the account.
    fn retry_after(&mut self, quota: Quota, cost: f64, share: f64, now: Time) -> Duration {
        let rate = (quota.rate * share).max(f64::MIN_POSITIVE);
        let seconds = |it: f64| {
            let time = Duration::try_from_secs_f64(it.max(0.0));
            time.unwrap_or(MAX_RETRY_AFTER).min(MAX_RETRY_AFTER)
        };
        let first = now + seconds(-self.level.units / rate);
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
    fn change_own(&mut self, units: i64, now: Time) {
        if self.first_use.is_none() || self.changed_at + SERIES_TTL < now {
            self.first_use = Some(now);
            self.own_total = 0;
        }
        self.changed_at = now;
        self.own_total = self.own_total.saturating_add(units);
        self.reports_due = REPORTS;
        self.change_level(units);
    }

    fn change_level(&mut self, units: i64) {
        self.level.units -= to_f64(units);
    }
}

/// Converts units, of which no account uses as many as a number of this type can't hold.
fn to_f64(units: i64) -> f64 {
    let magnitude = u32::try_from(units.unsigned_abs()).unwrap_or(u32::MAX);
    f64::from(magnitude).copysign(if units < 0 { -1.0 } else { 1.0 })
}

/// Rounds a cost up to whole units, so that no request with a cost is free.
fn to_units(cost: f64) -> i64 {
    let cost = cost.clamp(0.0, f64::from(u32::MAX)).ceil();
    // The clamp keeps the value within the range.
    #[allow(clippy::cast_possible_truncation)]
    let units = cost as i64;
    units
}
