//! The state machine of a steward, for all engines of one entry host. It takes events and returns
//! actions.

mod admission;
mod eviction;
mod grant;
mod load;
mod report;
mod result;
mod slot;
mod stewardship;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

use kernel::{
    arena::{Arena, Key},
    name::{Model, Upstream},
    reference::Reference,
};

use crate::{
    adapter::Adapter,
    budget::Budget,
    congestion::Congestion,
    drift::DriftDetector,
    engine::{Engine, Process},
    event::{Action, Event, Order},
    lending::Limits,
    permits::Permits,
    route::{Backlog, Change, Occupancy},
    settings::Settings,
    waiters::Waiters,
};

/// Weight of a new measurement in an exponential moving average.
const EWMA_WEIGHT: f64 = 0.1;

/// The assumed answer length until answers have been measured, in tokens.
const DEFAULT_ANSWER_TOKENS: u32 = 64;

/// The record of an idle adapter that is requested less often than this is dropped.
const MIN_REQUESTS_PER_SECOND: f64 = 1e-5;

/// How often records of idle adapters are dropped.
const SWEEP_INTERVAL: Duration = Duration::from_secs(30);

/// An order without a result.
#[derive(Clone, Copy, Debug)]
struct PendingOrder {
    engine: Key<Engine>,
    /// The process of the engine that the order was issued to.
    process: Option<Process>,
    issued_at: Instant,
    kind: OrderKind,
}

/// The kind of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OrderKind {
    Load,
    Unload,
}

/// Tracks failed loads. Consecutive failures of several adapters mean that the weight store is
/// down.
#[derive(Clone, Copy, Debug, Default)]
struct StoreHealth {
    consecutive_failures: u32,
    last_failed: Option<Key<Adapter>>,
    /// No load begins before this time while the store is down.
    probe_at: Option<Instant>,
}

/// The state of all engines that an entry host is steward of.
#[derive(Debug)]
pub struct State {
    settings: Settings,
    engines: Arena<Engine>,
    engines_by_name: BTreeMap<Upstream, Key<Engine>>,
    adapters: Arena<Adapter>,
    adapters_by_reference: HashMap<Reference, Key<Adapter>>,
    waiters: Waiters,
    permits: Permits,
    /// The adapters that wait for a load to begin.
    pending: BTreeSet<Key<Adapter>>,
    orders: BTreeMap<Order, PendingOrder>,
    last_order: u64,
    budget: Budget,
    drift: DriftDetector,
    congestion: Congestion,
    store: StoreHealth,
    /// The average time of a load.
    load_time: Duration,
    /// The average time per token of the maximum answer length.
    token_time: Duration,
    /// The average time from the grant of a permit to its release.
    hold_time: Duration,
    /// When a completed answer last updated the estimates.
    estimated_at: Option<Instant>,
    backlog: Backlog,
    sweep_at: Option<Instant>,
    pool_update_at: Option<Instant>,
    actions: Vec<Action>,
}

impl State {
    /// Creates a state without engines.
    pub fn new(settings: Settings) -> Self {
        Self {
            load_time: settings.initial_load_time,
            token_time: settings.initial_token_time,
            estimated_at: None,
            hold_time: settings.initial_token_time * DEFAULT_ANSWER_TOKENS,
            permits: Permits::new(settings.last_permit_number),
            settings,
            engines: Arena::default(),
            engines_by_name: BTreeMap::new(),
            adapters: Arena::default(),
            adapters_by_reference: HashMap::new(),
            waiters: Waiters::default(),
            pending: BTreeSet::new(),
            orders: BTreeMap::new(),
            last_order: 0,
            budget: Budget::new(),
            drift: DriftDetector::new(),
            congestion: Congestion::default(),
            store: StoreHealth::default(),
            backlog: Backlog::default(),
            sweep_at: None,
            pool_update_at: None,
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        match event {
            Event::Acquired {
                engine,
                fence,
                fencing,
                predecessor,
            } => self.handle_acquired(engine, fence, fencing, predecessor, now),
            Event::PredecessorEnded { engine } => self.handle_predecessor_ended(&engine, now),
            Event::Lost { engine } => self.handle_lost(&engine),
            Event::InstanceChanged { engine } => self.handle_instance_changed(&engine, now),
            Event::Unreachable { engine } => self.handle_unreachable(&engine),
            Event::SlotReport {
                engine,
                requested_at,
                incarnation,
                slots,
                loaded,
            } => self.handle_slot_report(&engine, requested_at, incarnation, slots, loaded, now),
            Event::BatchReport {
                engine,
                running,
                waiting,
                capacity,
            } => self.handle_batch_report(&engine, running, waiting, capacity, now),
            Event::PermitRequest { ticket, request } => self.request_permit(ticket, request, now),
            Event::Withdraw { ticket } => self.withdraw(ticket),
            Event::Release { number, outcome } => self.release(number, outcome, now),
            Event::HolderTerminated { holder } => self.handle_holder_terminated(&holder, now),
            Event::OrderEnded { order, result } => self.handle_order_ended(order, result, now),
            Event::GuaranteedLimits {
                rate_per_second,
                burst,
                max_in_flight,
            } => {
                let limits = Limits {
                    rate_per_second,
                    burst,
                    max_in_flight,
                };
                self.budget.set_guarantee(limits, now);
            }
            Event::ObjectiveChanged(objective) => self.settings.objective = objective,
            Event::LoanReceived(loan) => self.budget.receive_loan(loan, now),
            Event::Tick => {}
        }
        self.advance(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns the latest time at which [`Event::Tick`] is due.
    pub fn next_tick(&self) -> Option<Instant> {
        let load = if self.pending.is_empty() {
            None
        } else {
            self.next_load_at()
        };
        [
            load,
            self.waiters.next_check(),
            self.permits.next_expiry(),
            self.sweep_at,
            self.pool_update_at,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Returns the number of waiting requests.
    pub fn waiting_count(&self) -> usize {
        self.waiters.len()
    }

    /// Returns the actions that describe this steward's engines to an empty directory.
    pub fn snapshot(&self) -> Vec<Action> {
        let mut actions = vec![Action::PublishBacklog {
            backlog: self.backlog,
        }];
        for (key, engine) in self.engines.iter() {
            if engine.has_current_report() {
                actions.extend(self.announcement(key));
            }
        }
        actions
    }

    /// Runs everything that is due by now.
    fn advance(&mut self, now: Instant) {
        self.expire_permits(now);
        self.check_waiters(now);
        self.budget.update_mode(now);
        self.start_loads(now);
        self.update_pool(now);
        self.publish_backlog(now);
        self.sweep(now);
    }

    fn update_pool(&mut self, now: Instant) {
        if self.pending.is_empty() {
            self.budget.return_unused_loans();
        }
        let requested = self.requested_loads(now);
        let demand = self.budget.next_demand(requested, now);
        self.actions.extend(demand.map(Action::SendDemand));
        self.pool_update_at = self.budget.next_pool_update(now);
    }

    fn publish_backlog(&mut self, now: Instant) {
        let wait = self.budget.expected_wait(self.pending.len(), now);
        self.congestion.record_wait(wait, now);
        let backlog = if self.store_is_down(now) {
            Backlog::Blocked
        } else {
            Backlog::new(wait)
        };
        if backlog == self.backlog {
            return;
        }
        self.backlog = backlog;
        self.actions.push(Action::PublishBacklog { backlog });
    }

    fn publish_occupancy(&mut self, key: Key<Engine>) {
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        let occupancy = Occupancy::new(engine.permits, engine.capacity);
        // A change by one eighth is published only if the batch becomes full or is no longer full.
        let is_edge = occupancy == Occupancy::FULL || engine.published_occupancy == Occupancy::FULL;
        if occupancy == engine.published_occupancy
            || (!is_edge && occupancy.0.abs_diff(engine.published_occupancy.0) < 2)
        {
            return;
        }
        engine.published_occupancy = occupancy;
        self.actions.push(Action::Publish {
            engine: engine.name.clone(),
            change: Change::Occupancy(occupancy),
        });
    }

    fn publish(&mut self, key: Key<Engine>, change: Change) {
        let Some(engine) = self.engines.get(key) else {
            return;
        };
        let engine = engine.name.clone();
        self.actions.push(Action::Publish { engine, change });
    }

    fn query_status(&mut self, key: Key<Engine>) {
        let Some(engine) = self.engines.get(key) else {
            return;
        };
        let engine = engine.name.clone();
        self.actions.push(Action::QueryStatus { engine });
    }

    /// Returns the key of an adapter's record, which is created if it doesn't exist.
    fn adapter_key(&mut self, reference: &Reference, model: &Model, now: Instant) -> Key<Adapter> {
        if let Some(key) = self.adapters_by_reference.get(reference) {
            return *key;
        }
        let adapter = Adapter::new(
            reference.clone(),
            model.clone(),
            self.drift.popularity_time(now),
        );
        let key = self.adapters.insert(adapter);
        self.adapters_by_reference.insert(reference.clone(), key);
        key
    }

    fn has_engine_for(&self, model: &Model) -> bool {
        let mut engines = self.engines.iter();
        engines.any(|(_, it)| it.is_usable() && it.model == *model)
    }

    /// Drops the records of adapters that have not been requested for a long time.
    fn sweep(&mut self, now: Instant) {
        match self.sweep_at {
            Some(at) if at > now => return,
            _ => self.sweep_at = Some(now + SWEEP_INTERVAL),
        }
        let aging = self.settings.aging();
        let popularity_time = self.drift.popularity_time(now);
        let adapters = self.adapters.iter();
        let idle: Vec<_> = adapters
            .filter(|(_, it)| {
                it.is_idle() && it.popularity.rate(aging, popularity_time) < MIN_REQUESTS_PER_SECOND
            })
            .map(|(key, _)| key)
            .collect();
        for key in idle {
            if let Some(adapter) = self.adapters.remove(key) {
                self.adapters_by_reference.remove(&adapter.reference);
            }
        }
    }
}

/// Updates an exponential moving average with a measurement.
fn average(old: Duration, new: Duration) -> Duration {
    old.mul_f64(1.0 - EWMA_WEIGHT) + new.mul_f64(EWMA_WEIGHT)
}
