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
const KEY: &str = "lender";

/// The share of the store's rate that the floors of all stewards have together.
const FLOORS: f64 = 0.25;

/// Loads that a steward may have in flight on its floor.
pub const FLOOR_IN_FLIGHT: u32 = 1;

/// The pool while this host is the lender, and who the lender is.
#[derive(Debug, Default)]
pub struct Lending {
    pool: Mutex<Option<Pool>>,
    lender: Mutex<Option<(u64, HostName)>>,
    /// What the own steward needed last.
    needed: Mutex<Demand>,
}

/// The limits that are lent, and the floor of each steward in loads a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Division {
    /// What the pool lends, with every floor set aside.
    pub lent: Limits,
    /// The floor of each steward.
    pub floor: f64,
}

impl Division {
    /// Divides the store's limits among `hosts` stewards.
    pub fn new(store: config::Store, hosts: usize) -> Self {
        let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
        let floors = FLOOR_IN_FLIGHT.saturating_mul(hosts);
        Self {
            lent: Limits {
                rate_per_second: store.rate_per_second,
                burst: store.full_speed,
                max_in_flight: store.in_flight.saturating_sub(floors).max(1),
            },
            floor: store.rate_per_second * FLOORS / f64::from(hosts),
        }
    }
}

impl Lending {
    /// Becomes the lender, under a fencing number.
    pub fn open(&self, limits: Limits, fence: u64, now: Instant) {
        let mut pool = self.pool.lock().expect("pool lock is poisoned");
        *pool = Some(Pool::new(limits, fence, now));
    }

    /// Is the lender no longer.
    pub fn close(&self) {
        *self.pool.lock().expect("pool lock is poisoned") = None;
    }

    /// Adds a steward.
    pub fn join(&self, steward: Holder, floor: f64, now: Instant) {
        if let Some(pool) = &mut *self.pool.lock().expect("pool lock is poisoned") {
            pool.join(steward, floor, now);
        }
    }

    /// Removes a steward whose process has ended.
    pub fn leave(&self, steward: &Holder, now: Instant) {
        if let Some(pool) = &mut *self.pool.lock().expect("pool lock is poisoned") {
            pool.leave(steward, now);
        }
    }

    /// Takes in what a steward needs, and gives what is lent.
    fn demanded(&self, from: &Holder, demand: Demand, now: Instant) -> Vec<(Holder, Loan)> {
        let mut pool = self.pool.lock().expect("pool lock is poisoned");
        let Some(pool) = &mut *pool else {
            return Vec::new();
        };
        pool.update_demand(from, demand, now);
        pool.lend(from, now)
    }

    /// Lends what has become free, if that is due; otherwise says when it will be.
    fn due(&self, me: &Holder, now: Instant) -> Due {
        let mut pool = self.pool.lock().expect("pool lock is poisoned");
        let Some(pool) = &mut *pool else {
            return Due::Nothing;
        };
        match pool.next_lend_at(now) {
            None => Due::Nothing,
            Some(at) if at > now => Due::Later(at - now),
            Some(_) => Due::Now(pool.lend(me, now)),
        }
    }

    /// Takes over who the lender is, unless a later one is known.
    fn learn(&self, lender: &HostName, fence: u64) -> Learned {
        let mut known = self.lender.lock().expect("lender lock is poisoned");
        if known.as_ref().is_some_and(|it| it.0 >= fence) {
            return Learned::Nothing;
        }
        *known = Some((fence, lender.clone()));
        Learned::Lender
    }

    /// The lender, if one is known.
    pub fn lender(&self) -> Option<HostName> {
        let known = self.lender.lock().expect("lender lock is poisoned");
        known.as_ref().map(|it| it.1.clone())
    }
}

enum Learned {
    Lender,
    Nothing,
}

enum Due {
    Nothing,
    Later(Duration),
    Now(Vec<(Holder, Loan)>),
}

/// The entry that makes this host known as the lender.
pub fn entry(fence: u64) -> Entry {
    Entry {
        key: KEY.to_owned(),
        value: Some(fence.to_be_bytes().to_vec()),
    }
}

/// Takes over an entry of another host if it tells of the lender.
pub fn receive(host: &Host, owner: &Holder, key: &str, value: Option<&[u8]>) {
    if key != KEY {
        return;
    }
    let bytes: Option<[u8; 8]> = value.and_then(|it| it.try_into().ok());
    if let Some(bytes) = bytes {
        learn(host, &owner.host, u64::from_be_bytes(bytes));
    }
}

/// Takes over who the lender is. A new one is told at once what the own steward needs.
pub fn learn(host: &Host, lender: &HostName, fence: u64) {
    if let Learned::Lender = host.lending.learn(lender, fence) {
        let needed = *host.lending.needed.lock().expect("need lock is poisoned");
        demand(host, needed);
    }
}

/// Tells the lender what the own steward needs. Without a lender the steward keeps to its floor.
pub fn demand(host: &Host, demand: Demand) {
    *host.lending.needed.lock().expect("need lock is poisoned") = demand;
    let Some(lender) = host.lending.lender() else {
        return;
    };
    if lender == host.me.host {
        take(host, &host.me, demand);
        return;
    }
    if let Some(peer) = host.peer.get()
        && let Err(fault) = peer.send_demand(&lender, demand)
    {
        log::debug!(target: "steward", "The lender was not told: {fault}.");
    }
}

/// Takes in what a steward needs and sends out what is lent.
pub fn take(host: &Host, from: &Holder, demand: Demand) {
    let loans = host.lending.demanded(from, demand, host.clock.now());
    send(host, loans);
}

/// Lends what has become free; gives how long nothing will, at most `most`.
pub fn turn(host: &Host, most: Duration) -> Duration {
    match host.lending.due(&host.me, host.clock.now()) {
        Due::Nothing => most,
        Due::Later(wait) => wait.min(most),
        Due::Now(loans) => {
            send(host, loans);
            Duration::ZERO
        }
    }
}

fn send(host: &Host, loans: Vec<(Holder, Loan)>) {
    for (holder, loan) in loans {
        if holder == host.me {
            host.inbox.event(Event::LoanReceived(loan));
            continue;
        }
        if let Some(peer) = host.peer.get()
            && let Err(fault) = peer.send_loan(&holder.host, loan)
        {
            log::debug!(target: "steward", "Host {} was not told of a loan: {fault}.", holder.host);
        }
    }
}
