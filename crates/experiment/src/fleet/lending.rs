//! The store's limits: the floor of each steward, and the pool.

use std::time::{Duration, Instant};

use kernel::permit::Holder;
use steward::{
    Event,
    lending::{Demand, Limits, Loan, Pool},
};

use super::{Fleet, Happening, LENDER};
use crate::{agenda::Micros, deployment::Deployment};

/// The share of the store's rate that the floors of all stewards have together.
const FLOORS: f64 = 0.25;

/// The pool of a fleet, which has lent nothing.
pub fn pool(deployment: &Deployment, now: Instant) -> Pool {
    let limits = Limits {
        rate_per_second: deployment.rate,
        burst: deployment.full_speed,
        max_in_flight: deployment.in_flight,
    };
    Pool::new(limits, 1, now)
}

impl Fleet<'_> {
    /// Gives each steward its floor, and makes the pool known to it.
    pub(super) fn share(&mut self) {
        let now = self.instant();
        for host in 0..self.members.len() {
            let floor = self.floor(host);
            self.pool.join(self.holder(host), floor, now);
            let event = Event::GuaranteedLimits {
                rate_per_second: floor,
                burst: 1,
                max_in_flight: 1,
            };
            self.agenda.plan(0, Happening::Tell(host, event));
            self.agenda
                .plan(0, Happening::Demand(host, Demand::default()));
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "fleets are small")]
    fn floor(&self, host: usize) -> f64 {
        let engines = 0..self.deployment.engines;
        let own = engines.filter(|it| self.steward_of(*it) == host).count();
        let part = own as f64 / self.deployment.engines as f64;
        self.deployment.rate * FLOORS * part
    }

    fn holder(&self, host: usize) -> Holder {
        Holder {
            host: self.members[host].name.clone(),
            incarnation: 1,
        }
    }

    pub(super) fn demand(&mut self, host: usize, demand: Demand) {
        let now = self.instant();
        let holder = self.holder(host);
        self.pool.update_demand(&holder, demand, now);
        let loans = self.pool.lend(&holder, now);
        self.send(loans);
    }

    pub(super) fn lend_due(&mut self) {
        if self.lend_at != Some(self.now) {
            return;
        }
        self.lend_at = None;
        let loans = self.pool.lend(&self.holder(LENDER), self.instant());
        self.send(loans);
    }

    fn send(&mut self, loans: Vec<(Holder, Loan)>) {
        for (holder, loan) in loans {
            let mut members = self.members.iter();
            let host = members.position(|it| it.name == holder.host);
            let host = host.expect("the pool lends to members");
            let delay = self.between(LENDER, host);
            self.plan(delay, Happening::Tell(host, Event::LoanReceived(loan)));
        }
        self.plan_lend();
    }

    fn plan_lend(&mut self) {
        let Some(next) = self.pool.next_lend_at(self.instant()) else {
            return;
        };
        let span: Duration = next.saturating_duration_since(self.base);
        let at = Micros::try_from(span.as_nanos().div_ceil(1_000)).unwrap_or(Micros::MAX);
        let at = at.max(self.now + 1);
        if self.lend_at.is_some_and(|it| it <= at) {
            return;
        }
        self.lend_at = Some(at);
        self.agenda.plan(at, Happening::Lend);
    }
}
