//! Limits how many loads this steward may begin: either one for each loan from the pool, or as many
//! as the minimum that is guaranteed to it allows.

use std::time::{Duration, Instant};

use crate::lending::{
    Demand, FALLBACK_DELAY, HEARTBEAT_INTERVAL, Limits, Loan, Mode, POOL_TIMEOUT, wait_for_tokens,
};

/// Tolerance for rounding errors when token counts are compared, in tokens.
const TOKEN_TOLERANCE: f64 = 1e-6;

/// A loan that has not been used within this time is returned to the pool.
const UNUSED_LOAN_TIMEOUT: Duration = Duration::from_millis(500);

/// The guaranteed minimum: a token bucket and a limit on the loads in flight.
#[derive(Clone, Debug)]
struct Guarantee {
    limits: Limits,
    tokens: f64,
    refilled_at: Option<Instant>,
}

impl Guarantee {
    fn refill(&mut self, now: Instant) {
        let Some(at) = self.refilled_at else {
            self.refilled_at = Some(now);
            return;
        };
        let elapsed = now.saturating_duration_since(at).as_secs_f64();
        let depth = f64::from(self.limits.burst);
        self.tokens = (self.tokens + elapsed * self.limits.rate_per_second).min(depth);
        self.refilled_at = Some(at.max(now));
    }

    fn is_disabled(&self) -> bool {
        self.limits.rate_per_second <= 0.0
            || self.limits.burst == 0
            || self.limits.max_in_flight == 0
    }

    /// Returns how long it takes until the bucket has tokens for this number of loads.
    fn wait_for(&self, loads: f64) -> Duration {
        let missing = (loads - self.tokens - TOKEN_TOLERANCE).max(0.0);
        wait_for_tokens(missing, self.limits.rate_per_second)
    }
}

/// Running totals of the loans received from the pool under one fencing token of the pool.
#[derive(Clone, Copy, Debug, Default)]
struct LoanTotals {
    fence: u64,
    received: u64,
    used: u64,
    ended: u64,
    returned: u64,
}

impl LoanTotals {
    fn available(&self) -> u64 {
        self.received - self.used - self.returned
    }
}

/// The loads that this steward may begin.
#[derive(Clone, Debug)]
pub struct Budget {
    guarantee: Guarantee,
    mode: Mode,
    totals: LoanTotals,
    in_flight: u32,
    /// Number of loads that wait until a slot has been freed for them.
    reserved: u32,
    /// The last message of the pool and when it arrived.
    last_loan: Option<(Loan, Instant)>,
    /// When the last new loan arrived, unless unused loans have been returned since.
    loans_received_at: Option<Instant>,
    /// The last message to the pool and when it was sent.
    last_sent: Option<(Demand, Instant)>,
}

impl Budget {
    /// Creates a budget with neither a guarantee nor a loan, so no load may begin.
    pub fn new() -> Self {
        let limits = Limits {
            rate_per_second: 0.0,
            burst: 0,
            max_in_flight: 0,
        };
        Self {
            guarantee: Guarantee {
                limits,
                tokens: 0.0,
                refilled_at: None,
            },
            mode: Mode::Guaranteed,
            totals: LoanTotals::default(),
            in_flight: 0,
            reserved: 0,
            last_loan: None,
            loans_received_at: None,
            last_sent: None,
        }
    }

    /// Replaces the guaranteed limits. Tokens saved under the old limits are kept, up to the new
    /// bucket size.
    pub fn set_guarantee(&mut self, limits: Limits, now: Instant) {
        self.guarantee.refill(now);
        self.guarantee.limits = limits;
        self.guarantee.refill(now);
    }

    /// Applies a loan message of the pool. Messages with an older fencing token are ignored.
    pub fn receive_loan(&mut self, loan: Loan, now: Instant) {
        if loan.fence < self.totals.fence {
            return;
        }
        if loan.fence > self.totals.fence {
            self.totals = LoanTotals {
                fence: loan.fence,
                ..LoanTotals::default()
            };
        }
        if loan.total > self.totals.received {
            self.totals.received = loan.total;
            self.loans_received_at = Some(now);
        }
        self.last_loan = Some((loan, now));
    }

    /// Returns whether a message of the pool arrived recently.
    fn is_pool_reachable(&self, now: Instant) -> bool {
        self.last_loan
            .is_some_and(|(_, at)| now < at + POOL_TIMEOUT)
    }

    /// Switches between the pool and the guaranteed minimum, and returns loans that were not used
    /// in time. The pool is used once all loads begun under the guarantee have ended. The guarantee
    /// is used again only after [`FALLBACK_DELAY`], when the pool has certainly reserved it.
    pub fn update_mode(&mut self, now: Instant) {
        if self.mode == Mode::Guaranteed && self.is_pool_reachable(now) && self.in_flight == 0 {
            self.mode = Mode::Pooled;
        }
        if self.mode == Mode::Pooled && self.fallback_at().is_some_and(|it| it <= now) {
            self.mode = Mode::Guaranteed;
            self.guarantee.tokens = 0.0;
            self.guarantee.refilled_at = Some(now);
        }
        let is_stale = self
            .loans_received_at
            .is_some_and(|it| it + UNUSED_LOAN_TIMEOUT <= now);
        if is_stale {
            self.return_unused_loans();
        }
    }

    fn fallback_at(&self) -> Option<Instant> {
        let sent = self.last_sent.map(|(_, at)| at);
        let received = self.last_loan.map(|(_, at)| at);
        Some(sent.max(received)? + FALLBACK_DELAY)
    }

    /// Returns unused loans to the pool.
    pub fn return_unused_loans(&mut self) {
        let reserved = u64::from(self.reserved);
        self.totals.returned += self.totals.available().saturating_sub(reserved);
        self.loans_received_at = None;
    }

    /// Returns the demand message to send now, if one is due.
    pub fn next_demand(&mut self, requested: usize, now: Instant) -> Option<Demand> {
        self.last_loan?;
        let demand = Demand {
            mode: self.mode,
            fence: self.totals.fence,
            requested: u32::try_from(requested).unwrap_or(u32::MAX),
            received: self.totals.received,
            ended: self.totals.ended,
            returned: self.totals.returned,
        };
        if self.mode == Mode::Pooled && !self.is_pool_reachable(now) {
            return None;
        }
        if let Some((sent, at)) = self.last_sent
            && sent == demand
            && now < at + HEARTBEAT_INTERVAL
        {
            return None;
        }
        self.last_sent = Some((demand, now));
        Some(demand)
    }

    /// Returns when the next message to the pool or the fallback to the guarantee is due.
    pub fn next_pool_update(&self, now: Instant) -> Option<Instant> {
        self.last_loan?;
        let is_unreachable = self.mode == Mode::Pooled && !self.is_pool_reachable(now);
        let loan = self
            .loans_received_at
            .filter(|_| self.totals.available() > 0);
        let return_at = loan.map(|it| it + UNUSED_LOAN_TIMEOUT);
        let next = if is_unreachable {
            self.fallback_at()
        } else {
            self.last_sent.map(|(_, at)| at + HEARTBEAT_INTERVAL)
        };
        next.into_iter().chain(return_at).min()
    }

    /// Returns whether a load may begin or be reserved now.
    pub fn can_begin_load(&mut self, now: Instant) -> bool {
        if self.mode == Mode::Pooled {
            return self.totals.available() > u64::from(self.reserved);
        }
        if self.is_pool_reachable(now) {
            return false;
        }
        self.guarantee.refill(now);
        let reserved = f64::from(self.reserved);
        self.in_flight + self.reserved < self.guarantee.limits.max_in_flight
            && self.guarantee.tokens + TOKEN_TOLERANCE >= reserved + 1.0
    }

    /// Reserves a load that begins once a slot has been freed for it.
    pub fn reserve(&mut self) {
        self.reserved += 1;
    }

    /// Releases a reservation, whether or not its load begins.
    pub fn release_reservation(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Counts a load that begins.
    pub fn begin_load(&mut self) {
        self.in_flight += 1;
        match self.mode {
            Mode::Pooled => self.totals.used += 1,
            Mode::Guaranteed => self.guarantee.tokens -= 1.0,
        }
    }

    /// Counts the end of a load.
    pub fn end_load(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.totals.ended = (self.totals.ended + 1).min(self.totals.used);
    }

    /// Estimates how long a load waits behind `ahead` others before it begins. Returns `None` if no
    /// load can begin.
    #[expect(clippy::cast_precision_loss, reason = "queues are short")]
    pub fn expected_wait(&mut self, ahead: usize, now: Instant) -> Option<Duration> {
        let loads = ahead as f64 + 1.0;
        if self.mode == Mode::Guaranteed {
            self.guarantee.refill(now);
            return (!self.guarantee.is_disabled()).then(|| self.guarantee.wait_for(loads));
        }
        let (loan, at) = self.last_loan?;
        let elapsed = now.saturating_duration_since(at).as_secs_f64();
        let drained = elapsed * loan.rate_per_second;
        let queued = (f64::from(loan.queued) - drained).max(ahead as f64);
        if queued < 1.0 {
            return Some(Duration::ZERO);
        }
        Some(wait_for_tokens(
            queued,
            loan.rate_per_second.max(TOKEN_TOLERANCE),
        ))
    }

    /// Returns when the next load can begin, if only the refill of tokens holds it back.
    pub fn next_token_at(&self) -> Option<Instant> {
        if self.mode == Mode::Pooled || self.guarantee.is_disabled() {
            return None;
        }
        let is_blocked = self.in_flight >= self.guarantee.limits.max_in_flight;
        let wait = self.guarantee.wait_for(1.0);
        if is_blocked || wait.is_zero() {
            return None;
        }
        Some(self.guarantee.refilled_at? + wait)
    }
}
