//! The division of the weight store's limits, joined with the other hosts: one host lends, the
//! others tell it what they need.

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

/// The key of the entry by which the lender makes itself known.
const LENDER_KEY: &str = "lender";

/// The share of the store's rate that the floors of all stewards have together.
const GUARANTEED_RATE_SHARE: f64 = 0.25;

/// Loads that a steward may have in flight on its floor.
pub const GUARANTEED_IN_FLIGHT: u32 = 1;

/// The pool while this host is the lender, and who the lender is.
#[derive(Debug, Default)]
pub struct Lending {
    pool: Mutex<Option<Pool>>,
    lender: Mutex<Option<(u64, HostName)>>,
    /// What the own steward needed last.
    last_demand: Mutex<Demand>,
}

/// The limits that are lent, and the floor of each steward in loads a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allocation {
    /// What the pool lends, with every floor set aside.
    pub pool: Limits,
    /// The floor of each steward.
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
    /// Becomes the lender, under a fencing number.
    pub fn start(&self, limits: Limits, fence: u64, now: Instant) {
        let mut pool = self.pool.lock().expect("pool lock is poisoned");
        *pool = Some(Pool::new(limits, fence, now));
    }

    /// Is the lender no longer.
    pub fn stop(&self) {
        *self.pool.lock().expect("pool lock is poisoned") = None;
    }

    /// Adds a steward.
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

    /// Takes in what a steward needs, and gives what is lent.
    fn update_demand(&self, from: &Holder, demand: Demand, now: Instant) -> Vec<(Holder, Loan)> {
        let mut pool = self.pool.lock().expect("pool lock is poisoned");
        let Some(pool) = &mut *pool else {
            return Vec::new();
        };
        pool.update_demand(from, demand, now);
        pool.lend(from, now)
    }

    /// Lends what has become free, if that is due; otherwise says when it will be.
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

    /// Takes over who the lender is, unless a later one is known.
    fn record_lender(&self, lender: &HostName, fence: u64) -> LenderChange {
        let mut known = self.lender.lock().expect("lender lock is poisoned");
        if known.as_ref().is_some_and(|it| it.0 >= fence) {
            return LenderChange::Unchanged;
        }
        *known = Some((fence, lender.clone()));
        LenderChange::New
    }

    /// The lender, if one is known.
    pub fn lender(&self) -> Option<HostName> {
        let known = self.lender.lock().expect("lender lock is poisoned");
        known.as_ref().map(|it| it.1.clone())
    }
}

enum LenderChange {
    New,
    Unchanged,
}

enum LendOutcome {
    Idle,
    Later(Duration),
    Lent(Vec<(Holder, Loan)>),
}

/// The entry that makes this host known as the lender.
pub fn lender_entry(fence: u64) -> Entry {
    Entry {
        key: LENDER_KEY.to_owned(),
        value: Some(fence.to_be_bytes().to_vec()),
    }
}

/// Takes over an entry of another host if it tells of the lender.
pub fn receive(host: &Host, owner: &Holder, key: &str, value: Option<&[u8]>) {
    if key != LENDER_KEY {
        return;
    }
    let bytes: Option<[u8; 8]> = value.and_then(|it| it.try_into().ok());
    if let Some(bytes) = bytes {
        set_lender(host, &owner.host, u64::from_be_bytes(bytes));
    }
}

/// Takes over who the lender is. A new one is told at once what the own steward needs.
pub fn set_lender(host: &Host, lender: &HostName, fence: u64) {
    if let LenderChange::New = host.lending.record_lender(lender, fence) {
        let last_demand = *host
            .lending
            .last_demand
            .lock()
            .expect("need lock is poisoned");
        send_demand(host, last_demand);
    }
}

/// Tells the lender what the own steward needs. Without a lender the steward keeps to its floor.
pub fn send_demand(host: &Host, demand: Demand) {
    *host
        .lending
        .last_demand
        .lock()
        .expect("need lock is poisoned") = demand;
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
        log::debug!(target: "steward", "The lender was not told: {fault}.");
    }
}

/// Takes in what a steward needs and sends out what is lent.
pub fn receive_demand(host: &Host, from: &Holder, demand: Demand) {
    let loans = host.lending.update_demand(from, demand, host.clock.now());
    send_loans(host, loans);
}

/// Lends what has become free; gives how long nothing will, at most `most`.
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
            log::debug!(target: "steward", "Host {} was not told of a loan: {fault}.", holder.host);
        }
    }
}
