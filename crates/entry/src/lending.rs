//! The lending of the weight store's limits among hosts. One host, the lender, collects the demand
//! of all stewards and lends them parts of the limits.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use kernel::{name::Host as HostName, permit::Holder};
use steward::{
    Event,
    lending::{Demand, Limits, Loan, Pool},
};

use crate::{directory::Entry, host::Host};

/// The key of the entry with which the lender announces itself.
const LENDER_KEY: &str = "lender";

/// The share of the store's rate that is divided among the guaranteed minimums of all stewards.
const GUARANTEED_RATE_SHARE: f64 = 0.25;

/// Loads that each steward may always have in flight, even without a loan.
pub const GUARANTEED_IN_FLIGHT: u32 = 1;

/// The lending pool, present while this host is the lender, and the known lender.
#[derive(Debug, Default)]
pub struct Lending {
    pool: Mutex<Option<Pool>>,
    lender: Mutex<Option<(u64, HostName)>>,
    /// The last demand of this host's steward.
    last_demand: Mutex<Demand>,
}

/// The limits of the lending pool and the guaranteed minimum of each steward.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allocation {
    /// The limits that the pool lends out. The guaranteed minimums are reserved in the in-flight
    /// limit.
    pub pool: Limits,
    /// The guaranteed load rate of each steward.
    pub guaranteed_rate_per_second: f64,
}

impl Allocation {
    /// Divides the store's limits among `hosts` stewards.
    pub fn new(store: config::Store, hosts: usize) -> Self {
        let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
        let guaranteed_in_flight = GUARANTEED_IN_FLIGHT.saturating_mul(hosts);
        Self {
            pool: Limits {
                rate_per_second: store.rate_per_second,
                burst: store.full_speed,
                max_in_flight: store.in_flight.saturating_sub(guaranteed_in_flight).max(1),
            },
            guaranteed_rate_per_second: store.rate_per_second * GUARANTEED_RATE_SHARE
                / f64::from(hosts),
        }
    }
}

impl Lending {
    /// Starts lending as the lender with a fencing token.
    pub fn start(&self, limits: Limits, fence: u64, now: Instant) {
        let mut pool = self.pool.lock().expect("pool lock is poisoned");
        *pool = Some(Pool::new(limits, fence, now));
    }

    /// Stops lending.
    pub fn stop(&self) {
        *self.pool.lock().expect("pool lock is poisoned") = None;
    }

    /// Adds a steward to the pool.
    pub fn add_steward(&self, steward: Holder, guaranteed_rate_per_second: f64, now: Instant) {
        if let Some(pool) = &mut *self.pool.lock().expect("pool lock is poisoned") {
            pool.join(steward, guaranteed_rate_per_second, now);
        }
    }

    /// Removes a steward whose process has ended.
    pub fn remove_steward(&self, steward: &Holder, now: Instant) {
        if let Some(pool) = &mut *self.pool.lock().expect("pool lock is poisoned") {
            pool.leave(steward, now);
        }
    }

    /// Records the demand of a steward and returns the resulting loans.
    fn update_demand(&self, from: &Holder, demand: Demand, now: Instant) -> Vec<(Holder, Loan)> {
        let mut pool = self.pool.lock().expect("pool lock is poisoned");
        let Some(pool) = &mut *pool else {
            return Vec::new();
        };
        pool.update_demand(from, demand, now);
        pool.lend(from, now)
    }

    /// Lends released limits if a loan is due. Otherwise returns the time until the next one.
    fn lend_if_due(&self, me: &Holder, now: Instant) -> LendOutcome {
        let mut pool = self.pool.lock().expect("pool lock is poisoned");
        let Some(pool) = &mut *pool else {
            return LendOutcome::Idle;
        };
        match pool.next_lend_at(now) {
            None => LendOutcome::Idle,
            Some(at) if at > now => LendOutcome::Later(at - now),
            Some(_) => LendOutcome::Lent(pool.lend(me, now)),
        }
    }

    /// Records the lender, unless one with an equal or higher fencing token is known.
    fn record_lender(&self, lender: &HostName, fence: u64) -> LenderChange {
        let mut known = self.lender.lock().expect("lender lock is poisoned");
        if known.as_ref().is_some_and(|it| it.0 >= fence) {
            return LenderChange::Unchanged;
        }
        *known = Some((fence, lender.clone()));
        LenderChange::New
    }

    /// Returns the lender, if known.
    pub fn lender(&self) -> Option<HostName> {
        let known = self.lender.lock().expect("lender lock is poisoned");
        known.as_ref().map(|it| it.1.clone())
    }
}

enum LenderChange {
    New,
    Unchanged,
}

/// The outcome of an attempt to lend.
enum LendOutcome {
    /// No loan is planned, or this host is not the lender.
    Idle,
    /// The next loan is due after this time.
    Later(Duration),
    /// These loans were made.
    Lent(Vec<(Holder, Loan)>),
}

/// Returns the entry that announces this host as the lender.
pub fn lender_entry(fence: u64) -> Entry {
    Entry {
        key: LENDER_KEY.to_owned(),
        value: Some(fence.to_be_bytes().to_vec()),
    }
}

/// Handles an entry of another host. Ignores entries that do not announce a lender.
pub fn receive(host: &Host, owner: &Holder, key: &str, value: Option<&[u8]>) {
    if key != LENDER_KEY {
        return;
    }
    let bytes: Option<[u8; 8]> = value.and_then(|it| it.try_into().ok());
    if let Some(bytes) = bytes {
        set_lender(host, &owner.host, u64::from_be_bytes(bytes));
    }
}

/// Records the lender. A new lender immediately receives the current demand of this host's steward.
pub fn set_lender(host: &Host, lender: &HostName, fence: u64) {
    if let LenderChange::New = host.lending.record_lender(lender, fence) {
        let last_demand = *host
            .lending
            .last_demand
            .lock()
            .expect("demand lock is poisoned");
        send_demand(host, last_demand);
    }
}

/// Sends the demand of this host's steward to the lender. Without a lender the steward is limited
/// to its guaranteed minimum.
pub fn send_demand(host: &Host, demand: Demand) {
    *host
        .lending
        .last_demand
        .lock()
        .expect("demand lock is poisoned") = demand;
    let Some(lender) = host.lending.lender() else {
        return;
    };
    if lender == host.me.host {
        receive_demand(host, &host.me, demand);
        return;
    }
    if let Some(peer) = host.peer.get()
        && let Err(fault) = peer.send_demand(&lender, demand)
    {
        log::debug!(target: "steward", "The demand could not be sent to the lender: {fault}.");
    }
}

/// Records the demand of a steward and sends out the resulting loans.
pub fn receive_demand(host: &Host, from: &Holder, demand: Demand) {
    let loans = host.lending.update_demand(from, demand, host.clock.now());
    send_loans(host, loans);
}

/// Lends released limits if a loan is due. Returns the time until the next loan, at most
/// `max_wait`.
pub fn lend_due(host: &Host, max_wait: Duration) -> Duration {
    match host.lending.lend_if_due(&host.me, host.clock.now()) {
        LendOutcome::Idle => max_wait,
        LendOutcome::Later(wait) => wait.min(max_wait),
        LendOutcome::Lent(loans) => {
            send_loans(host, loans);
            Duration::ZERO
        }
    }
}

fn send_loans(host: &Host, loans: Vec<(Holder, Loan)>) {
    for (holder, loan) in loans {
        if holder == host.me {
            host.inbox.push_event(Event::LoanReceived(loan));
            continue;
        }
        if let Some(peer) = host.peer.get()
            && let Err(fault) = peer.send_loan(&holder.host, loan)
        {
            log::debug!(target: "steward", "A loan could not be sent to host {}: {fault}.", holder.host);
        }
    }
}
