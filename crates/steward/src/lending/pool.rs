//! The pool that lends the weight store's limits to stewards.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use kernel::permit::Holder;

use super::{Demand, LEASE_DURATION, Limits, Loan, Mode, wait_for_tokens};

/// The share of the rate that is lent. The rest compensates for clock drift.
const LENDABLE_RATE_SHARE: f64 = 0.998;

/// Variation in the delay between a loan and the begin of its load, from one load to another.
const START_JITTER: Duration = Duration::from_millis(5);

/// Upper bound on the time that a load takes.
const MAX_LOAD_TIME: Duration = Duration::from_secs(20);

/// Tolerance for rounding errors when token counts are compared, in tokens.
const TOKEN_TOLERANCE: f64 = 1e-6;

/// A steward that can borrow loads.
#[derive(Clone, Debug)]
struct Borrower {
    guaranteed_rate: f64,
    mode: Mode,
    last_demand_at: Option<Instant>,
    requested: u32,
    lent: u64,
    received: u64,
    ended: u64,
    returned: u64,
    last_lent_at: Instant,
    /// When a loan was last lent to the steward or confirmed as received.
    last_transfer_at: Instant,
}

impl Borrower {
    /// Returns whether the steward may be using its guaranteed minimum.
    fn needs_guarantee(&self, now: Instant) -> bool {
        let is_alive = self
            .last_demand_at
            .is_some_and(|it| now < it + LEASE_DURATION);
        self.mode == Mode::Guaranteed || !is_alive
    }

    /// Returns the number of loads that wait and for which no loan is in transit.
    fn unmet_demand(&self) -> u64 {
        let in_transit = self.lent - self.received;
        u64::from(self.requested).saturating_sub(in_transit)
    }

    /// Returns the number of loans that may be in use. Loans received more than the maximum load
    /// time ago have ended, even if no message says so. Loans that have not been received may still
    /// be used.
    fn in_flight(&self, now: Instant) -> u64 {
        if now >= self.last_transfer_at + MAX_LOAD_TIME {
            return self.lent - self.received;
        }
        self.lent.saturating_sub(self.ended + self.returned)
    }
}

/// Lends the right to begin loads so that all stewards together stay within the store's limits.
#[derive(Clone, Debug)]
pub struct Pool {
    limits: Limits,
    fence: u64,
    borrowers: BTreeMap<Holder, Borrower>,
    tokens: f64,
    refilled_at: Instant,
}

impl Pool {
    /// Creates a pool that has lent nothing. The guaranteed minimum of each steward stays reserved
    /// until the steward asks the pool for loans.
    pub fn new(limits: Limits, fence: u64, now: Instant) -> Self {
        Self {
            limits,
            fence,
            borrowers: BTreeMap::new(),
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Adds a steward with its guaranteed rate in loads per second.
    pub fn join(&mut self, steward: Holder, guaranteed_rate: f64, now: Instant) {
        self.refill(now);
        let borrower = Borrower {
            guaranteed_rate,
            mode: Mode::Guaranteed,
            last_demand_at: None,
            requested: 0,
            lent: 0,
            received: 0,
            ended: 0,
            returned: 0,
            last_lent_at: now,
            last_transfer_at: now,
        };
        self.borrowers.entry(steward).or_insert(borrower);
    }

    /// Removes a steward whose process has terminated. Its loads in flight count as ended.
    pub fn leave(&mut self, steward: &Holder, now: Instant) {
        self.refill(now);
        self.borrowers.remove(steward);
    }

    /// Applies a demand message of a steward.
    pub fn update_demand(&mut self, steward: &Holder, demand: Demand, now: Instant) {
        self.refill(now);
        let fence = self.fence;
        let Some(it) = self.borrowers.get_mut(steward) else {
            return;
        };
        it.last_demand_at = Some(now);
        it.mode = demand.mode;
        it.requested = demand.requested;
        if demand.fence != fence {
            return;
        }
        if demand.received > it.received {
            it.received = demand.received.min(it.lent);
            it.last_transfer_at = now;
        }
        it.ended = it.ended.max(demand.ended).min(it.lent);
        let returned = demand.returned.clamp(it.returned, it.lent);
        #[expect(clippy::cast_precision_loss, reason = "few loans are returned at once")]
        let returned_now = (returned - it.returned) as f64;
        it.returned = returned;
        self.tokens = (self.tokens + returned_now).min(self.bucket_depth(now));
    }

    /// Lends as many loads as possible. Returns the messages to send: one to each steward that got
    /// a loan, and one to `steward` in any case.
    pub fn lend(&mut self, steward: &Holder, now: Instant) -> Vec<(Holder, Loan)> {
        self.refill(now);
        let mut recipients = vec![steward.clone()];
        while let Some(holder) = self.next_borrower(now) {
            self.tokens -= 1.0;
            if let Some(borrower) = self.borrowers.get_mut(&holder) {
                borrower.lent += 1;
                borrower.last_lent_at = now;
                borrower.last_transfer_at = now;
            }
            if !recipients.contains(&holder) {
                recipients.push(holder);
            }
        }
        let loans = recipients.into_iter();
        loans
            .filter_map(|it| Some((it.clone(), self.loan(&it, now)?)))
            .collect()
    }

    /// Returns when [`Pool::lend`] is due again, if a steward waits for a loan.
    pub fn next_lend_at(&self, now: Instant) -> Option<Instant> {
        let has_demand = self.borrowers.values().any(|it| it.unmet_demand() > 0);
        let rate = self.lending_rate(now);
        if !has_demand || rate <= 0.0 || !self.has_in_flight_capacity(now) {
            return None;
        }
        let missing = (1.0 - self.tokens).max(0.0);
        Some(self.refilled_at + wait_for_tokens(missing, rate))
    }

    /// Returns the number of loads per second that are lent at present.
    pub fn lending_rate(&self, now: Instant) -> f64 {
        let borrowers = self.borrowers.values().filter(|it| it.needs_guarantee(now));
        let guarantees: f64 = borrowers.map(|it| it.guaranteed_rate).sum();
        let rate = (self.limits.rate_per_second - guarantees).max(0.0) * LENDABLE_RATE_SHARE;
        if self.limits.burst > 1 {
            return rate;
        }
        // A bucket of a single token can't absorb the jitter, so the rate is lowered instead.
        rate / (1.0 + rate * START_JITTER.as_secs_f64())
    }

    fn loan(&self, steward: &Holder, now: Instant) -> Option<Loan> {
        let borrower = self.borrowers.get(steward)?;
        let queued: u64 = self.borrowers.values().map(Borrower::unmet_demand).sum();
        Some(Loan {
            fence: self.fence,
            total: borrower.lent,
            queued: u32::try_from(queued).unwrap_or(u32::MAX),
            rate_per_second: self.lending_rate(now),
        })
    }

    /// Returns the steward with the largest product of unmet demand and time since its last loan.
    fn next_borrower(&self, now: Instant) -> Option<Holder> {
        if self.tokens + TOKEN_TOLERANCE < 1.0 || !self.has_in_flight_capacity(now) {
            return None;
        }
        let waiting = self.borrowers.iter();
        waiting
            .filter(|(_, it)| !it.needs_guarantee(now) && it.unmet_demand() > 0)
            .max_by_key(|(_, it)| {
                let waited = now.saturating_duration_since(it.last_lent_at);
                u128::from(it.unmet_demand()) * waited.as_micros()
            })
            .map(|(holder, _)| holder.clone())
    }

    /// Returns whether one more load may be in flight. A steward that may be using its guaranteed
    /// minimum counts as having at least one load in flight, since the minimum allows it to begin
    /// one while none of its other loads is in flight.
    fn has_in_flight_capacity(&self, now: Instant) -> bool {
        let borrowers = self.borrowers.values();
        let in_flight: u64 = borrowers
            .map(|it| it.in_flight(now).max(u64::from(it.needs_guarantee(now))))
            .sum();
        in_flight < u64::from(self.limits.max_in_flight)
    }

    /// Returns the bucket size. Each steward on its guaranteed minimum may begin a load at any
    /// time, which leaves less of the burst to lend.
    fn bucket_depth(&self, now: Instant) -> f64 {
        let guarantees = self.borrowers.values().filter(|it| it.needs_guarantee(now));
        let guarantees = u32::try_from(guarantees.count()).unwrap_or(u32::MAX);
        let burst = f64::from(self.limits.burst.saturating_sub(guarantees));
        let jitter = self.limits.rate_per_second * START_JITTER.as_secs_f64();
        (burst - jitter).max(1.0)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.lending_rate(now)).min(self.bucket_depth(now));
        self.refilled_at = self.refilled_at.max(now);
    }
}
