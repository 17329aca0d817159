//! The lender of the weight store's limits.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use kernel::permit::Holder;

use super::{Demand, LEASE_DURATION, Limits, Loan, Mode};

/// The share of the rate that is lent. The rest makes up for the drift of clocks.
const LENT_RATE: f64 = 0.998;

/// How much later one load begins after it was lent than another.
const JITTER: Duration = Duration::from_millis(5);

/// No load takes longer than this.
const LONGEST_LOAD: Duration = Duration::from_secs(20);

/// Tolerance for rounding when tokens are compared, in tokens.
const ROUNDING: f64 = 1e-6;

#[derive(Clone, Debug)]
struct Borrower {
    floor: f64,
    mode: Mode,
    heard: Option<Instant>,
    wanted: u32,
    lent: u64,
    received: u64,
    ended: u64,
    returned: u64,
    served: Instant,
    moved: Instant,
}

impl Borrower {
    fn is_reserved(&self, now: Instant) -> bool {
        let heard = self.heard.is_some_and(|it| now < it + LEASE_DURATION);
        self.mode == Mode::Guaranteed || !heard
    }

    /// Loads that wait and for which no loan is under way.
    fn demand(&self) -> u64 {
        let under_way = self.lent - self.received;
        u64::from(self.wanted).saturating_sub(under_way)
    }

    /// What was received long ago has ended, even if nobody says so. A loan that has not been
    /// received may still be used.
    fn in_flight(&self, now: Instant) -> u64 {
        if now >= self.moved + LONGEST_LOAD {
            return self.lent - self.received;
        }
        self.lent.saturating_sub(self.ended + self.returned)
    }
}

/// Lends the right to begin loads so that the sum stays within the store's limits.
#[derive(Clone, Debug)]
pub struct Pool {
    limits: Limits,
    fence: u64,
    borrowers: BTreeMap<Holder, Borrower>,
    tokens: f64,
    at: Instant,
}

impl Pool {
    /// A pool that has lent nothing. The floor of each steward is set aside until it asks.
    pub fn new(limits: Limits, fence: u64, now: Instant) -> Self {
        Self {
            limits,
            fence,
            borrowers: BTreeMap::new(),
            tokens: 0.0,
            at: now,
        }
    }

    /// Adds a steward and its floor in loads a second.
    pub fn join(&mut self, steward: Holder, floor: f64, now: Instant) {
        self.refill(now);
        let borrower = Borrower {
            floor,
            mode: Mode::Guaranteed,
            heard: None,
            wanted: 0,
            lent: 0,
            received: 0,
            ended: 0,
            returned: 0,
            served: now,
            moved: now,
        };
        self.borrowers.entry(steward).or_insert(borrower);
    }

    /// Removes a steward whose process has ended. What it had in flight is taken as ended.
    pub fn leave(&mut self, steward: &Holder, now: Instant) {
        self.refill(now);
        self.borrowers.remove(steward);
    }

    /// Takes in what a steward tells.
    pub fn update_demand(&mut self, steward: &Holder, demand: Demand, now: Instant) {
        self.refill(now);
        let fence = self.fence;
        let Some(it) = self.borrowers.get_mut(steward) else {
            return;
        };
        it.heard = Some(now);
        it.mode = demand.mode;
        it.wanted = demand.requested;
        if demand.fence != fence {
            return;
        }
        if demand.received > it.received {
            it.received = demand.received.min(it.lent);
            it.moved = now;
        }
        it.ended = it.ended.max(demand.ended).min(it.lent);
        let returned = demand.returned.clamp(it.returned, it.lent);
        #[expect(clippy::cast_precision_loss, reason = "few loans come back at once")]
        let back = (returned - it.returned) as f64;
        it.returned = returned;
        self.tokens = (self.tokens + back).min(self.depth(now));
    }

    /// Lends what can be lent now, and tells `steward` how things stand in any case.
    pub fn lend(&mut self, steward: &Holder, now: Instant) -> Vec<(Holder, Loan)> {
        self.refill(now);
        let mut told = vec![steward.clone()];
        while let Some(holder) = self.next_borrower(now) {
            self.tokens -= 1.0;
            if let Some(borrower) = self.borrowers.get_mut(&holder) {
                borrower.lent += 1;
                borrower.served = now;
                borrower.moved = now;
            }
            if !told.contains(&holder) {
                told.push(holder);
            }
        }
        let loans = told.into_iter();
        loans
            .filter_map(|it| Some((it.clone(), self.loan(&it, now)?)))
            .collect()
    }

    /// When [`Pool::lend`] is due again, if anybody waits.
    pub fn next_lend_at(&self, now: Instant) -> Option<Instant> {
        let is_wanted = self.borrowers.values().any(|it| it.demand() > 0);
        let rate = self.lending_rate(now);
        if !is_wanted || rate <= 0.0 || !self.has_flight_room(now) {
            return None;
        }
        let missing = (1.0 - self.tokens).max(0.0);
        Some(self.at + Duration::from_secs_f64(missing / rate))
    }

    /// Loads a second that are lent now.
    pub fn lending_rate(&self, now: Instant) -> f64 {
        let reserved = self.borrowers.values().filter(|it| it.is_reserved(now));
        let floors: f64 = reserved.map(|it| it.floor).sum();
        let rate = (self.limits.rate_per_second - floors).max(0.0) * LENT_RATE;
        if self.limits.burst > 1 {
            return rate;
        }
        // A bucket of a single token leaves no depth to absorb the jitter.
        rate / (1.0 + rate * JITTER.as_secs_f64())
    }

    fn loan(&self, steward: &Holder, now: Instant) -> Option<Loan> {
        let borrower = self.borrowers.get(steward)?;
        let queued: u64 = self.borrowers.values().map(Borrower::demand).sum();
        Some(Loan {
            fence: self.fence,
            total: borrower.lent,
            queued: u32::try_from(queued).unwrap_or(u32::MAX),
            rate_per_second: self.lending_rate(now),
        })
    }

    /// The steward with the longest queue; among equals the one that was served longest ago.
    fn next_borrower(&self, now: Instant) -> Option<Holder> {
        if self.tokens + ROUNDING < 1.0 || !self.has_flight_room(now) {
            return None;
        }
        let waiting = self.borrowers.iter();
        waiting
            .filter(|(_, it)| !it.is_reserved(now) && it.demand() > 0)
            .max_by_key(|(_, it)| {
                let waited = now.saturating_duration_since(it.served);
                u128::from(it.demand()) * waited.as_micros()
            })
            .map(|(holder, _)| holder.clone())
    }

    /// A steward on its floor has one load in flight at most, besides none that was lent.
    fn has_flight_room(&self, now: Instant) -> bool {
        let borrowers = self.borrowers.values();
        let in_flight: u64 = borrowers
            .map(|it| it.in_flight(now).max(u64::from(it.is_reserved(now))))
            .sum();
        in_flight < u64::from(self.limits.max_in_flight)
    }

    /// Each floor may begin a load at any time, so that less is left for a burst.
    fn depth(&self, now: Instant) -> f64 {
        let floors = self.borrowers.values().filter(|it| it.is_reserved(now));
        let floors = u32::try_from(floors.count()).unwrap_or(u32::MAX);
        let burst = f64::from(self.limits.burst.saturating_sub(floors));
        let jitter = self.limits.rate_per_second * JITTER.as_secs_f64();
        (burst - jitter).max(1.0)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.lending_rate(now)).min(self.depth(now));
        self.at = self.at.max(now);
    }
}
