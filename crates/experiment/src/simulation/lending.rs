//! Distribution of the store's limits: the guaranteed minimum of each steward, and the pool that
//! lends the rest.

use std::time::{Duration, Instant};

use kernel::permit::Holder;
use steward::{
    Event,
    lending::{Demand, Limits, Loan, Pool},
};

use super::{LENDER_HOST, SimEvent, Simulation};
use crate::{deployment::Deployment, event_queue::Micros};

/// Share of the store's rate that is guaranteed to all stewards together.
const GUARANTEED_SHARE: f64 = 0.25;

/// Creates the pool of a fleet. It has no loans yet.
pub fn new_pool(deployment: &Deployment, now: Instant) -> Pool {
    let limits = Limits {
        rate_per_second: deployment.loads_per_second,
        burst: deployment.load_burst,
        max_in_flight: deployment.in_flight_cap,
    };
    Pool::new(limits, 1, now)
}

impl Simulation<'_> {
    /// Sends each steward its guaranteed minimum and registers the steward with the pool.
    pub(super) fn distribute_limits(&mut self) {
        let now = self.instant();
        for host in 0..self.hosts.len() {
            let guaranteed_rate = self.guaranteed_rate(host);
            self.pool.join(self.holder(host), guaranteed_rate, now);
            let event = Event::GuaranteedLimits {
                rate_per_second: guaranteed_rate,
                burst: 1,
                max_in_flight: 1,
            };
            self.events.schedule(0, SimEvent::Steward(host, event));
            self.events
                .schedule(0, SimEvent::Demand(host, Demand::default()));
        }
    }

    /// Returns the guaranteed loads per second of a host, in proportion to its engines.
    #[expect(clippy::cast_precision_loss, reason = "fleets are small")]
    fn guaranteed_rate(&self, host: usize) -> f64 {
        let engines = 0..self.deployment.engines;
        let own_engines = engines.filter(|it| self.steward_of(*it) == host).count();
        let share = own_engines as f64 / self.deployment.engines as f64;
        self.deployment.loads_per_second * GUARANTEED_SHARE * share
    }

    /// Returns the identity by which the pool knows a host.
    fn holder(&self, host: usize) -> Holder {
        Holder {
            host: self.hosts[host].name.clone(),
            incarnation: 1,
        }
    }

    pub(super) fn update_demand(&mut self, host: usize, demand: Demand) {
        let now = self.instant();
        let holder = self.holder(host);
        self.pool.update_demand(&holder, demand, now);
        let loans = self.pool.lend(&holder, now);
        self.send_loans(loans);
    }

    /// Lends what the pool can lend now, unless the event was superseded by an earlier one.
    pub(super) fn lend(&mut self) {
        if self.lend_at != Some(self.now) {
            return;
        }
        self.lend_at = None;
        let loans = self.pool.lend(&self.holder(LENDER_HOST), self.instant());
        self.send_loans(loans);
    }

    fn send_loans(&mut self, loans: Vec<(Holder, Loan)>) {
        for (holder, loan) in loans {
            let mut hosts = self.hosts.iter();
            let host = hosts.position(|it| it.name == holder.host);
            let host = host.expect("the pool lends to known hosts");
            let delay = self.host_delay(LENDER_HOST, host);
            self.schedule(delay, SimEvent::Steward(host, Event::LoanReceived(loan)));
        }
        self.schedule_lend();
    }

    /// Schedules the next loan unless an earlier one is scheduled.
    fn schedule_lend(&mut self) {
        let Some(next) = self.pool.next_lend_at(self.instant()) else {
            return;
        };
        let span: Duration = next.saturating_duration_since(self.clock_base);
        let at = Micros::try_from(span.as_nanos().div_ceil(1_000)).unwrap_or(Micros::MAX);
        let at = at.max(self.now + 1);
        if self.lend_at.is_some_and(|it| it <= at) {
            return;
        }
        self.lend_at = Some(at);
        self.events.schedule(at, SimEvent::Lend);
    }
}
