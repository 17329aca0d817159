//! How many loads this steward may begin: lent by the pool, or from its own floor.

use std::time::{Duration, Instant};

use crate::lending::{
    Demand, FALLBACK_DELAY, HEARTBEAT_INTERVAL, Limits, Loan, Mode, POOL_TIMEOUT,
};

/// Tolerance for rounding when tokens are compared, in tokens.
const ROUNDING: f64 = 1e-6;

/// A loan that is not used within this time is given back.
const LOAN_TIME: Duration = Duration::from_millis(500);

/// The floor: a token bucket, and a cap on the loads in flight.
#[derive(Clone, Debug)]
struct Floor {
    limits: Limits,
    tokens: f64,
    at: Option<Instant>,
}

impl Floor {
    fn refill(&mut self, now: Instant) {
        let Some(at) = self.at else {
            self.at = Some(now);
            return;
        };
        let elapsed = now.saturating_duration_since(at).as_secs_f64();
        let depth = f64::from(self.limits.burst);
        self.tokens = (self.tokens + elapsed * self.limits.rate_per_second).min(depth);
        self.at = Some(at.max(now));
    }

    fn is_closed(&self) -> bool {
        self.limits.rate_per_second <= 0.0
            || self.limits.burst == 0
            || self.limits.max_in_flight == 0
    }

    fn until(&self, loads: f64) -> Duration {
        let missing = (loads - self.tokens - ROUNDING).max(0.0);
        Duration::from_secs_f64(missing / self.limits.rate_per_second)
    }
}

/// What the pool has lent, in totals under its fencing number.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    fence: u64,
    received: u64,
    used: u64,
    ended: u64,
    returned: u64,
}

impl Account {
    fn available(&self) -> u64 {
        self.received - self.used - self.returned
    }
}

/// The loads that this steward may begin.
#[derive(Clone, Debug)]
pub struct Budget {
    floor: Floor,
    mode: Mode,
    account: Account,
    in_flight: u32,
    reserved: u32,
    loan: Option<(Loan, Instant)>,
    lent_at: Option<Instant>,
    told: Option<(Demand, Instant)>,
}

impl Budget {
    /// Neither floor nor pool yet, so no load may begin.
    pub fn new() -> Self {
        let limits = Limits {
            rate_per_second: 0.0,
            burst: 0,
            max_in_flight: 0,
        };
        Self {
            floor: Floor {
                limits,
                tokens: 0.0,
                at: None,
            },
            mode: Mode::Guaranteed,
            account: Account::default(),
            in_flight: 0,
            reserved: 0,
            loan: None,
            lent_at: None,
            told: None,
        }
    }

    /// Takes over a new floor. Tokens that were saved under the old one are kept up to its depth.
    pub fn share(&mut self, limits: Limits, now: Instant) {
        self.floor.refill(now);
        self.floor.limits = limits;
        self.floor.refill(now);
    }

    /// Takes in what the pool tells. It is the only source of loads once those of the floor have
    /// ended.
    pub fn lent(&mut self, loan: Loan, now: Instant) {
        if loan.fence < self.account.fence {
            return;
        }
        if loan.fence > self.account.fence {
            self.account = Account {
                fence: loan.fence,
                ..Account::default()
            };
        }
        if loan.total > self.account.received {
            self.account.received = loan.total;
            self.lent_at = Some(now);
        }
        self.loan = Some((loan, now));
    }

    /// Whether the pool was heard of late.
    fn hears_pool(&self, now: Instant) -> bool {
        self.loan.is_some_and(|(_, at)| now < at + POOL_TIMEOUT)
    }

    /// Falls back to the floor once the pool is sure to have set it aside.
    pub fn refresh(&mut self, now: Instant) {
        if self.mode == Mode::Guaranteed && self.hears_pool(now) && self.in_flight == 0 {
            self.mode = Mode::Pooled;
        }
        if self.mode == Mode::Pooled && self.fallback_at().is_some_and(|it| it <= now) {
            self.mode = Mode::Guaranteed;
            self.floor.tokens = 0.0;
            self.floor.at = Some(now);
        }
        let is_stale = self.lent_at.is_some_and(|it| it + LOAN_TIME <= now);
        if is_stale {
            self.give_back();
        }
    }

    fn fallback_at(&self) -> Option<Instant> {
        let told = self.told.map(|(_, at)| at);
        let heard = self.loan.map(|(_, at)| at);
        Some(told.max(heard)? + FALLBACK_DELAY)
    }

    /// Gives unused loans back to the pool.
    pub fn give_back(&mut self) {
        let reserved = u64::from(self.reserved);
        self.account.returned += self.account.available().saturating_sub(reserved);
        self.lent_at = None;
    }

    /// What the pool has to be told now, if anything.
    pub fn demand(&mut self, wanted: usize, now: Instant) -> Option<Demand> {
        self.loan?;
        let demand = Demand {
            mode: self.mode,
            fence: self.account.fence,
            requested: u32::try_from(wanted).unwrap_or(u32::MAX),
            received: self.account.received,
            ended: self.account.ended,
            returned: self.account.returned,
        };
        if self.mode == Mode::Pooled && !self.hears_pool(now) {
            return None;
        }
        if let Some((told, at)) = self.told
            && told == demand
            && now < at + HEARTBEAT_INTERVAL
        {
            return None;
        }
        self.told = Some((demand, now));
        Some(demand)
    }

    /// When the pool has to be told something at the latest, or the floor takes over.
    pub fn next_contact(&self, now: Instant) -> Option<Instant> {
        self.loan?;
        let is_silent = self.mode == Mode::Pooled && !self.hears_pool(now);
        let loan = self.lent_at.filter(|_| self.account.available() > 0);
        let stale = loan.map(|it| it + LOAN_TIME);
        let next = if is_silent {
            self.fallback_at()
        } else {
            self.told.map(|(_, at)| at + HEARTBEAT_INTERVAL)
        };
        next.into_iter().chain(stale).min()
    }

    /// Whether a load may begin, or be reserved, now.
    pub fn is_ready(&mut self, now: Instant) -> bool {
        if self.mode == Mode::Pooled {
            return self.account.available() > u64::from(self.reserved);
        }
        if self.hears_pool(now) {
            return false;
        }
        self.floor.refill(now);
        let reserved = f64::from(self.reserved);
        self.in_flight + self.reserved < self.floor.limits.max_in_flight
            && self.floor.tokens + ROUNDING >= reserved + 1.0
    }

    /// Sets a load aside that begins when a slot has been freed for it.
    pub fn reserve(&mut self) {
        self.reserved += 1;
    }

    /// Ends a reservation, whether its load begins now or never.
    pub fn unreserve(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Begins a load.
    pub fn begin(&mut self) {
        self.in_flight += 1;
        match self.mode {
            Mode::Pooled => self.account.used += 1,
            Mode::Guaranteed => self.floor.tokens -= 1.0,
        }
    }

    /// Ends a load that was begun.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.account.ended = (self.account.ended + 1).min(self.account.used);
    }

    /// How long the load after `ahead` others has to wait for its turn; none if no load can begin.
    #[expect(clippy::cast_precision_loss, reason = "queues are short")]
    pub fn wait(&mut self, ahead: usize, now: Instant) -> Option<Duration> {
        let loads = ahead as f64 + 1.0;
        if self.mode == Mode::Guaranteed {
            self.floor.refill(now);
            return (!self.floor.is_closed()).then(|| self.floor.until(loads));
        }
        let (loan, at) = self.loan?;
        let elapsed = now.saturating_duration_since(at).as_secs_f64();
        let drained = elapsed * loan.rate_per_second;
        let queued = (f64::from(loan.queued) - drained).max(ahead as f64);
        if queued < 1.0 {
            return Some(Duration::ZERO);
        }
        Some(Duration::from_secs_f64(
            queued / loan.rate_per_second.max(ROUNDING),
        ))
    }

    /// When the next load can begin, if that depends on time alone.
    pub fn next_ready(&self) -> Option<Instant> {
        if self.mode == Mode::Pooled || self.floor.is_closed() {
            return None;
        }
        let is_blocked = self.in_flight >= self.floor.limits.max_in_flight;
        let wait = self.floor.until(1.0);
        if is_blocked || wait.is_zero() {
            return None;
        }
        Some(self.floor.at? + wait)
    }
}
