//! The state machine of a steward: events in, decisions out, for all engines of one entry host.

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
    drift::Drift,
    engine::Engine,
    event::{Action, Event, Order},
    lending::Limits,
    permits::Permits,
    route::{Backlog, Change, Occupancy},
    settings::Settings,
    waiters::Waiters,
};

/// How much a new measurement moves an average.
const AVERAGE_WEIGHT: f64 = 0.1;

/// Length of an answer until answers have been seen, in tokens.
const USUAL_TOKENS: u32 = 64;

/// An adapter that is asked for less often than this, in asks a second, is forgotten.
const FORGOTTEN_RATE: f64 = 1e-5;

/// How often records of idle adapters are dropped.
const SWEEP_INTERVAL: Duration = Duration::from_secs(30);

/// An order without a result yet.
#[derive(Clone, Copy, Debug)]
struct Issued {
    engine: Key<Engine>,
    at: Instant,
    kind: Kind,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Load,
    Unload,
}

/// Loads that failed for several adapters one after another mean that the store is down.
#[derive(Clone, Copy, Debug, Default)]
struct Store {
    failures: u32,
    last: Option<Key<Adapter>>,
    probe_at: Option<Instant>,
}

/// The decisions of one entry host for the engines that it is steward of.
#[derive(Debug)]
pub struct State {
    settings: Settings,
    engines: Arena<Engine>,
    engine_names: BTreeMap<Upstream, Key<Engine>>,
    adapters: Arena<Adapter>,
    references: HashMap<Reference, Key<Adapter>>,
    waiters: Waiters,
    permits: Permits,
    /// Adapters that wait for a load to begin.
    pending: BTreeSet<Key<Adapter>>,
    orders: BTreeMap<Order, Issued>,
    last_order: u64,
    budget: Budget,
    drift: Drift,
    congestion: Congestion,
    store: Store,
    load_time: Duration,
    token_time: Duration,
    hold_time: Duration,
    /// When an answer was last learned from.
    learned: Option<Instant>,
    backlog: Backlog,
    sweep_at: Option<Instant>,
    contact_at: Option<Instant>,
    actions: Vec<Action>,
}

impl State {
    /// Steward of no engine yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            load_time: settings.initial_load_time,
            token_time: settings.initial_token_time,
            learned: None,
            hold_time: settings.initial_token_time * USUAL_TOKENS,
            permits: Permits::new(settings.last_permit_number),
            settings,
            engines: Arena::default(),
            engine_names: BTreeMap::new(),
            adapters: Arena::default(),
            references: HashMap::new(),
            waiters: Waiters::default(),
            pending: BTreeSet::new(),
            orders: BTreeMap::new(),
            last_order: 0,
            budget: Budget::new(),
            drift: Drift::new(),
            congestion: Congestion::default(),
            store: Store::default(),
            backlog: Backlog::default(),
            sweep_at: None,
            contact_at: None,
            actions: Vec::new(),
        }
    }

    /// Takes in one event and decides what follows from it.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        match event {
            Event::Acquired {
                engine,
                fence,
                fencing,
                predecessor,
            } => self.took(engine, fence, fencing, predecessor, now),
            Event::PredecessorEnded { engine } => self.predecessor_ended(&engine, now),
            Event::Lost { engine } => self.lost(&engine),
            Event::InstanceChanged { engine } => self.changed(&engine, now),
            Event::Unreachable { engine } => self.down(&engine),
            Event::SlotReport {
                engine,
                requested_at,
                incarnation,
                slots,
                loaded,
            } => self.report(&engine, requested_at, incarnation, slots, loaded, now),
            Event::BatchReport {
                engine,
                running,
                waiting,
                capacity,
            } => self.lagging(&engine, running, waiting, capacity, now),
            Event::PermitRequest { ticket, request } => self.ask(ticket, request, now),
            Event::Withdraw { ticket } => self.withdraw(ticket),
            Event::Release { number, outcome } => self.release(number, outcome, now),
            Event::HolderTerminated { holder } => self.holder_gone(&holder, now),
            Event::OrderEnded { order, result } => self.ordered(order, result, now),
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
                self.budget.share(limits, now);
            }
            Event::ObjectiveChanged(objective) => self.settings.objective = objective,
            Event::LoanReceived(loan) => self.budget.lent(loan, now),
            Event::Tick => {}
        }
        self.advance(now);
        std::mem::take(&mut self.actions)
    }

    /// When [`Event::Tick`] is due at the latest.
    pub fn next_tick(&self) -> Option<Instant> {
        let load = if self.pending.is_empty() {
            None
        } else {
            self.next_load()
        };
        [
            load,
            self.waiters.next_check(),
            self.permits.next_end(),
            self.sweep_at,
            self.contact_at,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// How many requests wait.
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// What a directory that knows nothing has to be told of this steward's engines.
    pub fn snapshot(&self) -> Vec<Action> {
        let mut actions = vec![Action::PublishBacklog {
            backlog: self.backlog,
        }];
        for (key, engine) in self.engines.iter() {
            if engine.is_known() {
                actions.extend(self.introduction(key));
            }
        }
        actions
    }

    /// Does what is due by now.
    fn advance(&mut self, now: Instant) {
        self.expire_permits(now);
        self.check_waiters(now);
        self.budget.refresh(now);
        self.start_loads(now);
        self.tell_pool(now);
        self.publish_backlog(now);
        self.sweep(now);
    }

    fn tell_pool(&mut self, now: Instant) {
        if self.pending.is_empty() {
            self.budget.give_back();
        }
        let wanted = self.wanted_loads(now);
        let demand = self.budget.demand(wanted, now);
        self.actions.extend(demand.map(Action::SendDemand));
        self.contact_at = self.budget.next_contact(now);
    }

    fn publish_backlog(&mut self, now: Instant) {
        let wait = self.budget.wait(self.pending.len(), now);
        self.congestion.note(wait, now);
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

    fn publish_level(&mut self, key: Key<Engine>) {
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        let level = Occupancy::new(engine.running, engine.capacity);
        let is_edge = level == Occupancy::FULL || engine.published == Occupancy::FULL;
        if level == engine.published || (!is_edge && level.0.abs_diff(engine.published.0) < 2) {
            return;
        }
        engine.published = level;
        self.actions.push(Action::Publish {
            engine: engine.name.clone(),
            change: Change::Occupancy(level),
        });
    }

    fn publish(&mut self, key: Key<Engine>, change: Change) {
        let Some(engine) = self.engines.get(key) else {
            return;
        };
        let engine = engine.name.clone();
        self.actions.push(Action::Publish { engine, change });
    }

    fn inspect(&mut self, key: Key<Engine>) {
        let Some(engine) = self.engines.get(key) else {
            return;
        };
        let engine = engine.name.clone();
        self.actions.push(Action::QueryStatus { engine });
    }

    fn intern(&mut self, reference: &Reference, model: &Model, now: Instant) -> Key<Adapter> {
        if let Some(key) = self.references.get(reference) {
            return *key;
        }
        let adapter = Adapter::new(reference.clone(), model.clone(), self.drift.age(now));
        let key = self.adapters.insert(adapter);
        self.references.insert(reference.clone(), key);
        key
    }

    fn has_engine_for(&self, model: &Model) -> bool {
        let mut engines = self.engines.iter();
        engines.any(|(_, it)| it.is_usable() && it.model == *model)
    }

    /// Drops the records of adapters that nobody has asked for in a long time.
    fn sweep(&mut self, now: Instant) {
        match self.sweep_at {
            Some(at) if at > now => return,
            _ => self.sweep_at = Some(now + SWEEP_INTERVAL),
        }
        let aging = self.settings.aging();
        let age = self.drift.age(now);
        let adapters = self.adapters.iter();
        let idle: Vec<_> = adapters
            .filter(|(_, it)| it.is_idle() && it.popularity.rate(aging, age) < FORGOTTEN_RATE)
            .map(|(key, _)| key)
            .collect();
        for key in idle {
            if let Some(adapter) = self.adapters.remove(key) {
                self.references.remove(&adapter.reference);
            }
        }
    }
}

/// Moves an average towards a measurement.
fn average(old: Duration, new: Duration) -> Duration {
    old.mul_f64(1.0 - AVERAGE_WEIGHT) + new.mul_f64(AVERAGE_WEIGHT)
}
