//! Decides which adapters and base models are loaded and evicted on the engines of which this host is the
//! steward.
//!
//! Expected workload: a tenth of the requests name an adapter that no engine holds, demand moves to other
//! adapters within seconds, and engines restart empty. One load serves all requests that wait for an
//! adapter. The least used adapter is evicted, but never one with running requests.

pub mod copies;
pub(crate) mod memory;

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::{
    Time,
    catalog::{Capacity, Catalog},
    circuit::State,
    engine::{Engine, Estimate},
    in_flight::{self, InFlightLoads},
    listing::{Name, base_model, is_adapter},
    load_time::{LoadTime, Observation, Source},
    loader::memory::RecentlyUnloaded,
    origin::BuildId,
    rate_limit::{self, RateLimiter},
    rendezvous,
    table::{Freshness, Key, Table},
};

/// Maximum number of in-flight adapter loads per engine, as limited by the platform.
const MAX_IN_FLIGHT: usize = 4;

/// Time after which a demand that isn't requested again is dropped.
const DEMAND_TTL: Duration = Duration::from_millis(1500);

/// Minimum time between the last load or use of an adapter and its eviction.
const EVICTION_GRACE: Duration = Duration::from_millis(700);

/// Upper bound on the time by which a load exceeds its expected duration when the weight store is slow.
const MAX_LOAD_OVERRUN: Duration = Duration::from_secs(2);

/// Decayed uses of an adapter from which an older version is replaced without a request for it.
const REFRESH_MIN_USES: f64 = 0.5;

/// Pause after an order that conflicts with another order or exceeds the in-flight limit.
const CONFLICT_PAUSE: Duration = Duration::from_millis(50);

/// Consecutive orders without an answer after which the status of the engine is queried.
const MAX_NO_ANSWERS: u32 = 3;

/// Consecutive conflicts after which the status of the engine is queried.
const MAX_CONFLICTS: u32 = 3;

/// Initial estimate of the concurrent adapter loads per engine that the weight store serves at full
/// speed. Users' platforms have 0.4 to 0.9.
const INITIAL_FULL_SPEED_LOADS: f64 = 0.8;

/// Weight of another host's estimate of the full speed, which each heartbeat carries. All hosts share the
/// weight store, so each learns from the loads of all.
const REMOTE_ESTIMATE_WEIGHT: f64 = 0.02;

/// Factors applied to the estimate after a load that was late, and after one that was in time.
const LATE_FACTOR: f64 = 0.95;
const IN_TIME_FACTOR: f64 = 1.01;

/// Bounds of the estimate, per engine.
const MIN_FULL_SPEED_LOADS: f64 = 0.2;
const MAX_FULL_SPEED_LOADS: f64 = 4.0;

/// Maximum in-flight loads of this host relative to its share of the loads at full speed. More loads
/// would only delay each other.
const MAX_SHARE_RATIO: f64 = 1.5;

/// Loads that a host may have in flight beyond its share while all hosts together are below the full speed.
const MIN_SHARE: f64 = 2.0;

/// Waiting time that raises the urgency of a demand as much as one more waiting request.
const WAITER_AGE: Duration = Duration::from_millis(300);

/// Fraction of the loads at full speed from which no replicas are loaded, since they would delay loads
/// that requests wait for.
const REPLICA_MAX_UTILIZATION: f64 = 0.7;

/// Maximum number of ordered loads of which the outcome of the first requests is awaited.
const MAX_AWAITED_LOADS: usize = 64;

/// Time after the expected end of a load for which its first requests are awaited.
const AWAITED_TTL: Duration = Duration::from_secs(2);

/// Maximum number of observed loads that a host announces at once.
const MAX_ANNOUNCED_LOADS: usize = 16;

/// Time for which a load still counts as in flight after its expected end.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(30);

/// Cost in ms for each engine that ranks higher for an adapter. An adapter that is always loaded on the
/// same engine is often still cached in that engine's memory.
const RANK_COST_MS: f64 = 3.0;

/// Cost in ms of a load from the weight store compared with one from the engine's memory.
const FETCH_COST_MS: f64 = 250.0;

/// Pause between a refused order and the status query. The status that an engine reports is some
/// hundred ms old.
const REFUSED_PAUSE: Duration = Duration::from_millis(350);

/// Pause between an order without an answer and the status query. The status that an engine reports is
/// some hundred ms old.
const NO_ANSWER_PAUSE: Duration = Duration::from_millis(500);

/// Interval between status queries while an engine loads a base model or unloads an adapter.
const QUERY_INTERVAL: Duration = Duration::from_millis(400);

/// Kind of an [`Order`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Op {
    /// Load the given version, or the newest if `None`.
    Load(Option<u64>),
    /// Unload.
    Unload,
}

/// A command to one engine to load or unload an adapter or a base model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The engine.
    pub key: Key,
    /// The adapter or base model.
    pub name: Name,
    /// The operation.
    pub op: Op,
    /// Number of orders that the engine must have accepted before this one; it rejects the order
    /// otherwise.
    pub expected_orders: u64,
}

/// The next step at an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send an order.
    Send(Order),
    /// Query which adapters and base models the engine holds and loads.
    QueryStatus(Key),
}

/// Result of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The engine is carrying out the order.
    Accepted,
    /// The requested state is in effect already.
    InEffect,
    /// Another order is being carried out, or the number of accepted orders differs.
    Conflict,
    /// The engine can't carry out the order.
    Refused,
    /// The engine didn't answer. It may still carry out the order.
    NoAnswer,
}

/// Status that an engine reports.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Number of orders that the engine has accepted.
    pub accepted_orders: u64,
    /// Adapters and base models that the engine holds.
    pub held: Vec<crate::listing::Held>,
    /// Adapters that the engine is loading.
    pub in_flight: Vec<Name>,
}

/// An adapter that requests wait for.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Wanted {
    /// The adapter.
    pub name: Name,
    /// The build of the engine that has to hold it, if a stream is to be resumed.
    pub build: Option<BuildId>,
    /// Short id of an engine that does not count although it may hold the adapter: the stream broke off there.
    pub lost_engine: Option<u32>,
}

impl Wanted {
    /// Returns the adapter as new requests want it, on any engine.
    pub fn anywhere(name: Name) -> Self {
        Self {
            name,
            build: None,
            lost_engine: None,
        }
    }

    /// Returns whether an engine could serve the requests if it held the adapter.
    pub fn suits(&self, engine: &Engine) -> bool {
        let is_lost = |it| it == rendezvous::short_id(&engine.listing.id);
        engine.is_of_build(self.build) && !self.lost_engine.is_some_and(is_lost)
    }
}

/// Pending requests for one adapter.
#[derive(Clone, Debug)]
struct Demand {
    service: Arc<str>,
    first_requested: Time,
    last_requested: Time,
    /// Decayed uses that a replica would take over; `None` if requests wait for the adapter itself.
    replica_uses: Option<f64>,
    /// Requests that wait for the adapter, by host.
    waiting: HashMap<Arc<str>, u32>,
}

impl Demand {
    /// Returns the rank of this demand; the highest is served first. The rank grows with the number of
    /// waiting requests and with their waiting time, so that rare adapters aren't starved. Copies rank last, unless they
    /// take over the requests of many.
    fn urgency(&self, now: Time) -> f64 {
        let waiting: u32 = self.waiting.values().sum();
        let age = now.saturating_sub(self.first_requested).as_secs_f64() / WAITER_AGE.as_secs_f64();
        match self.replica_uses {
            Some(uses) if copies::is_urgent(uses) => copies::requests_relieved(uses),
            Some(_) => age - 1000.0,
            None => f64::from(waiting) + age,
        }
    }
}

/// A load that an engine has accepted.
#[derive(Clone, Debug)]
struct InFlight {
    name: Name,
    version: u64,
    /// Expected end of the load.
    due: Time,
    /// True if [`Loader::take_completed`] has returned the load.
    completed: bool,
}

/// Orders of one incarnation of one engine.
#[derive(Clone, Debug, Default)]
struct EngineState {
    incarnation: u64,
    /// Number of orders that the engine has accepted; `None` until a status query returns it.
    accepted_orders: Option<u64>,
    /// True while an order or a status query has no outcome yet.
    awaiting_answer: bool,
    /// Adapters and base models that the engine holds according to its own status and to the orders
    /// since. The platform's list may be outdated, so it isn't used for limits.
    confirmed: HashSet<Name>,
    in_flight: Vec<InFlight>,
    /// Accepted unloads that haven't been observed yet, with the time of their acceptance.
    unloading: Vec<(Name, Time)>,
    /// The last order without an answer. The engine may still carry it out until it accepts a later one.
    unanswered: Option<(Name, Op)>,
    /// Consecutive conflicts.
    conflicts: u32,
    /// Consecutive orders without an answer.
    no_answers: u32,
    needs_query: bool,
    paused_until: Time,
    recently_unloaded: RecentlyUnloaded,
}

/// An ordered load of which the first requests show how long it took.
#[derive(Clone, Debug)]
struct AwaitedLoad {
    key: Key,
    name: Name,
    source: Source,
    /// Expected duration.
    expected: Duration,
    /// Expected end.
    due: Time,
    /// True if so many loads were in flight that they may have delayed each other.
    is_shared: bool,
    /// True if a host has found the adapter at its first attempt.
    was_in_time: bool,
    /// True if a host has found the adapter missing.
    was_late: bool,
}

/// First requests of one host after a load, which show whether it was done when expected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Requests that found the adapter missing.
    pub misses: u32,
    /// Time from the expected end of the load to the last of them.
    pub missing_after: Duration,
    /// Time from the expected end to the request that found the adapter; `None` if none did.
    pub found_after: Option<Duration>,
}

/// Loads that nothing slowed down, observed since the last announcement.
#[derive(Clone, Debug, Default)]
pub struct ObservedLoads {
    /// Loads from the weight store.
    pub fetches: Vec<Observation>,
    /// Loads from the memory of the engines.
    pub reloads: Vec<Observation>,
}

/// Loads and evictions on the engines of which this host is the steward.
#[derive(Clone, Debug)]
pub struct Loader {
    demands: HashMap<Wanted, Demand>,
    states: HashMap<Key, EngineState>,
    base_model_limiter: RateLimiter,
    /// Estimated concurrent loads per engine at full speed; 0 until the first load was observed.
    full_speed_loads: f64,
    /// In-flight loads of other hosts.
    pub remote_loads: usize,
    /// Number of engines that load adapters.
    engine_count: usize,
    /// Duration of a load from the weight store at full speed.
    pub fetch_time: LoadTime,
    /// Duration of a load from the memory of the engine.
    pub reload_time: LoadTime,
    awaited: VecDeque<AwaitedLoad>,
    observed: ObservedLoads,
}

impl Default for Loader {
    fn default() -> Self {
        Self {
            demands: HashMap::new(),
            states: HashMap::new(),
            base_model_limiter: RateLimiter::default(),
            full_speed_loads: 0.0,
            remote_loads: 0,
            engine_count: 0,
            fetch_time: LoadTime::new(Source::Store),
            reload_time: LoadTime::new(Source::Memory),
            awaited: VecDeque::new(),
            observed: ObservedLoads::default(),
        }
    }
}

/// A host's request for an adapter.
#[derive(Clone, Debug)]
pub struct LoadRequest {
    /// The requesting host.
    pub host: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// The adapter.
    pub wanted: Wanted,
    /// Decayed uses that a replica would take over; `None` if requests wait for the adapter itself.
    pub replica_uses: Option<f64>,
    /// Requests that wait for the adapter at the requesting host.
    pub waiting: u32,
}

/// Inputs of [`Loader::next_actions`].
pub struct View<'a> {
    /// All known engines.
    pub table: &'a Table,
    /// The operator's configuration.
    pub catalog: &'a Catalog,
    /// Engines that this host may send orders to now.
    pub orderable: &'a [Key],
    /// Number of hosts that may order loads.
    pub hosts: usize,
    /// Window of the weight store's rate limit on base model loads.
    pub window: Time,
    /// Loads that other hosts have ordered.
    pub in_flight: &'a InFlightLoads,
    /// The current time.
    pub now: Time,
}

/// A load whose expected end has passed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Completion {
    /// The engine.
    pub key: Key,
    /// The adapter that was loaded.
    pub name: Name,
    /// The version that was loaded; 0 if the engine chose it.
    pub version: u64,
}

impl Loader {
    /// Records a request for an adapter on one of this host's engines.
    pub fn add_request(&mut self, request: &LoadRequest, now: Time) {
        let LoadRequest {
            service,
            wanted,
            replica_uses,
            ..
        } = request;
        let replica_uses = *replica_uses;
        let demand = self
            .demands
            .entry(wanted.clone())
            .or_insert_with(|| Demand {
                service: service.clone(),
                first_requested: now,
                last_requested: now,
                replica_uses,
                waiting: HashMap::new(),
            });
        demand.waiting.insert(request.host.clone(), request.waiting);
        demand.last_requested = now;
        if replica_uses.is_none() {
            demand.replica_uses = None;
        }
    }

    /// Returns whether a load of the adapter is requested or in flight.
    pub fn has_load(&self, name: &str) -> bool {
        self.demands.keys().any(|it| &*it.name == name)
            || (self.states.values()).any(|it| it.in_flight.iter().any(|it| &*it.name == name))
    }

    /// Returns the number of in-flight loads.
    pub fn in_flight_count(&self) -> usize {
        self.states.values().map(|it| it.in_flight.len()).sum()
    }

    /// Returns the adapter loads whose expected end has passed, each of them once. The caller records
    /// them in the table.
    pub fn take_completed(&mut self, now: Time) -> Vec<Completion> {
        let mut completions = Vec::new();
        for (key, state) in &mut self.states {
            state.in_flight.retain_mut(|it| {
                if is_adapter(&it.name) && it.due <= now && !it.completed {
                    it.completed = true;
                    completions.push(Completion {
                        key: *key,
                        name: it.name.clone(),
                        version: it.version,
                    });
                }
                !it.completed || it.due + IN_FLIGHT_GRACE > now
            });
        }
        completions
    }

    /// Decides on the next actions at the orderable engines. Each engine has at most one unanswered
    /// action at a time.
    pub fn next_actions(&mut self, view: &View) -> Vec<Action> {
        let now = view.now;
        self.demands
            .retain(|_, it| it.last_requested + DEMAND_TTL > now);
        self.states.retain(|key, _| view.table.get(*key).is_some());
        for (key, state) in &mut self.states {
            if !view.orderable.contains(key) {
                // Another host may send orders to the engine in the meantime.
                state.accepted_orders = None;
            }
        }
        let loads_adapters = |it: &&Engine| {
            let service = view.catalog.services.get(&it.listing.service);
            service.is_some_and(|it| it.engine.is_some())
        };
        self.engine_count = view
            .table
            .iter()
            .map(|it| it.1)
            .filter(loads_adapters)
            .count();
        let mut actions = Vec::new();
        let mut available = Vec::new();
        for key in view.orderable {
            let Some(engine) = view.table.get(*key) else {
                continue;
            };
            let state = self.states.entry(*key).or_default();
            state.reset_if_restarted(engine);
            if state.awaiting_answer || state.paused_until > now || !engine.accepts_work() {
                continue;
            }
            if state.needs_query || state.accepted_orders.is_none() {
                state.awaiting_answer = true;
                actions.push(Action::QueryStatus(*key));
                continue;
            }
            available.push(*key);
        }
        self.load_base_models(view, &mut available, &mut actions);
        self.refresh_versions(view, &mut available, &mut actions);
        self.load_adapters(view, &mut available, &mut actions);
        actions
    }

    /// Loads a base model on engines without one.
    fn load_base_models(
        &mut self,
        view: &View,
        available: &mut Vec<Key>,
        actions: &mut Vec<Action>,
    ) {
        available.retain(|key| {
            let Some((engine, capacity)) = engine_and_capacity(view, *key) else {
                return false;
            };
            let Some(state) = self.states.get_mut(key) else {
                return false;
            };
            if engine.held.keys().any(|it| !is_adapter(it)) {
                return true;
            }
            if !state.in_flight.is_empty() {
                return false;
            }
            let requested = |it: &&crate::catalog::Model| {
                self.demands
                    .keys()
                    .any(|wanted| base_model(&wanted.name) == &*it.name)
            };
            let models = &capacity.models;
            let Some(it) = models.iter().find(requested).or_else(|| models.first()) else {
                return false;
            };
            let rule = rate_limit::Rule {
                per_s: capacity.loads_per_s,
                window: view.window,
            };
            if it.weights_mb <= capacity.weights_mb
                && self
                    .base_model_limiter
                    .try_acquire(view.now, rule, view.hosts)
            {
                actions.push(state.create_order(*key, it.name.clone(), Op::Load(None)));
            }
            false
        });
    }

    /// Replaces older versions of adapters that are in use but have no running requests at the moment.
    fn refresh_versions(
        &mut self,
        view: &View,
        available: &mut Vec<Key>,
        actions: &mut Vec<Action>,
    ) {
        let now = view.now;
        available.retain(|key| {
            let Some(engine) = view.table.get(*key) else {
                return false;
            };
            let Some(state) = self.states.get_mut(key) else {
                return false;
            };
            if state.in_flight.len() >= MAX_IN_FLIGHT {
                return false;
            }
            let old = engine.held.iter().find(|(name, it)| {
                is_adapter(name)
                    && view.table.freshness(name, it.version, now) != Freshness::Newest
                    && it.total_running(now) == 0
                    && it.uses(now) >= REFRESH_MIN_USES
                    && state.confirmed.contains(*name)
                    && is_loaded_for_certain(it, now)
                    && !state.is_changing(name)
            });
            let Some((name, _)) = old else { return true };
            let version = view.table.newest_version(name);
            actions.push(state.create_order(*key, name.clone(), Op::Load(version)));
            false
        });
    }

    /// Loads the requested adapters, the most urgent first, and evicts others to make room for them.
    fn load_adapters(&mut self, view: &View, available: &mut Vec<Key>, actions: &mut Vec<Action>) {
        let mut demands: Vec<(Wanted, Demand)> = (self.demands.iter())
            .map(|(wanted, it)| (wanted.clone(), it.clone()))
            .collect();
        demands.sort_by(|a, b| {
            let order = b.1.urgency(view.now).total_cmp(&a.1.urgency(view.now));
            order.then_with(|| a.0.cmp(&b.0))
        });
        let full_speed = self.full_speed_loads() * to_f64(self.engine_count);
        let allows_replicas = to_f64(self.in_flight_count() + self.remote_loads)
            < full_speed * REPLICA_MAX_UTILIZATION;
        let share = to_f64(view.orderable.len()) * self.full_speed_loads() * MAX_SHARE_RATIO;
        // Each host may have at least one load in flight.
        let share = share.max(1.0);
        for (wanted, demand) in demands {
            let name = &wanted.name;
            let own = to_f64(self.in_flight_count());
            // Loads beyond the full speed delay all others, so a host uses more than its share only while
            // the others leave room.
            let has_room =
                own < MIN_SHARE && own + to_f64(self.remote_loads) < full_speed.max(MIN_SHARE);
            if available.is_empty() || (own >= share && !has_room) {
                return;
            }
            if !allows_replicas && demand.replica_uses.is_some_and(|it| !copies::is_urgent(it)) {
                return;
            }
            if self.is_served(view, &wanted, &demand) {
                self.demands.remove(&wanted);
                continue;
            }
            if self.load_missing_base_model(view, &wanted, &demand, available, actions) {
                continue;
            }
            let candidate = |key: &Key| self.candidate(view, *key, &wanted, &demand);
            let best = available
                .iter()
                .filter_map(|key| candidate(key).map(|it| (it, *key)))
                .min_by(|a, b| a.0.cost.total_cmp(&b.0.cost));
            let Some((chosen, key)) = best else { continue };
            available.retain(|it| *it != key);
            let Some(state) = self.states.get_mut(&key) else {
                continue;
            };
            if let Some(victim) = chosen.victim {
                actions.push(state.create_order(key, victim, Op::Unload));
            } else {
                let version = view.table.newest_version(name);
                actions.push(state.create_order(key, name.clone(), Op::Load(version)));
                self.demands.remove(&wanted);
            }
        }
    }

    /// Loads the base model of an adapter if no engine of the service holds it and an engine has room for
    /// it beside the others; a base model is never evicted for another. Returns whether the adapter has
    /// to wait for its base model.
    fn load_missing_base_model(
        &mut self,
        view: &View,
        wanted: &Wanted,
        demand: &Demand,
        available: &mut Vec<Key>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let base = base_model(&wanted.name);
        let serves = |it: &&Engine| {
            it.listing.service == demand.service && it.accepts_work() && wanted.suits(it)
        };
        let mut engines = view.table.iter().map(|it| it.1).filter(serves);
        if engines.any(|it| it.held.contains_key(base)) {
            return false;
        }
        let is_changing = |it: &EngineState| it.is_changing(base);
        if self.states.values().any(is_changing) {
            return true;
        }
        let found = available.iter().copied().find_map(|key| {
            let (engine, capacity) = engine_and_capacity(view, key)?;
            let model = capacity.model(base)?;
            let state = self.states.get(&key)?;
            let fits = state.used_mb(engine, capacity) + model.weights_mb <= capacity.weights_mb;
            let rule = rate_limit::Rule {
                per_s: capacity.loads_per_s,
                window: view.window,
            };
            let fits = fits && engine.listing.service == demand.service && wanted.suits(engine);
            fits.then(|| (key, model.name.clone(), rule))
        });
        let Some((key, base, rule)) = found else {
            return true;
        };
        if self
            .base_model_limiter
            .try_acquire(view.now, rule, view.hosts)
            && let Some(state) = self.states.get_mut(&key)
        {
            available.retain(|it| *it != key);
            actions.push(state.create_order(key, base, Op::Load(None)));
        }
        true
    }

    /// Returns whether the demand needs no further load: one is in flight here or at another host, or an
    /// engine of this host holds the newest version.
    fn is_served(&self, view: &View, wanted: &Wanted, demand: &Demand) -> bool {
        let name = &wanted.name;
        let suits = |key: &Key| {
            let engine = view.table.get(*key);
            engine.is_some_and(|it| wanted.suits(it))
        };
        let in_flight = self
            .states
            .iter()
            .any(|(key, it)| it.in_flight.iter().any(|it| it.name == *name) && suits(key));
        if in_flight || demand.replica_uses.is_some() {
            return in_flight;
        }
        let remote = view.in_flight.find(wanted, view.table, view.now);
        if remote.is_some() {
            return true;
        }
        view.orderable.iter().any(|key| {
            view.table.get(*key).is_some_and(|it| {
                it.accepts_work()
                    && wanted.suits(it)
                    && it.circuit.state(view.now) != State::Unreachable
                    && it.held.get(name).is_some_and(|estimate| {
                        view.table.freshness(name, estimate.version, view.now) == Freshness::Newest
                    })
            })
        })
    }

    /// Returns how an engine could load the adapter, or `None` if it can't at the moment.
    fn candidate(
        &self,
        view: &View,
        key: Key,
        wanted: &Wanted,
        demand: &Demand,
    ) -> Option<Candidate> {
        let now = view.now;
        let name = &wanted.name;
        let (engine, capacity) = engine_and_capacity(view, key)?;
        let state = self.states.get(&key)?;
        let model = capacity.model(base_model(name))?;
        if engine.listing.service != demand.service
            || !wanted.suits(engine)
            || !engine.held.contains_key(&model.name)
            || state.in_flight.len() >= MAX_IN_FLIGHT
            || state.is_changing(name)
            || matches!(engine.circuit.state(now), State::Open | State::Unreachable)
            || engine.backoff.closed_until(now).is_some()
        {
            return None;
        }
        // The platform's list may be outdated: a copy can be replaced only if the engine itself has
        // confirmed it.
        if let Some(estimate) = engine
            .held
            .get(name)
            .filter(|_| state.confirmed.contains(name))
        {
            let newest = view.table.freshness(name, estimate.version, now) == Freshness::Newest;
            // An older copy is replaced in place once no request runs on it.
            let idle = estimate.total_running(now) == 0 && is_loaded_for_certain(estimate, now);
            return (!newest && idle).then(|| Candidate::without_victim(engine, now));
        }
        let mut candidate = Candidate::without_victim(engine, now);
        if !state.recently_unloaded.contains(name) && !engine.recently_unloaded.contains(name) {
            candidate.cost +=
                FETCH_COST_MS + RANK_COST_MS * count_better_ranked(view, engine, name);
        }
        if state.fits(engine, capacity, model.adapter_mb) {
            return Some(candidate);
        }
        let victims = engine.held.iter().filter(|(name, it)| {
            is_adapter(name)
                && it.total_running(now) == 0
                && it.last_used() + EVICTION_GRACE < now
                && !state.is_changing(name)
        });
        let value = |name: &Name, it: &Estimate| {
            let old = view.table.freshness(name, it.version, now) != Freshness::Newest;
            if old { -1.0 } else { it.uses(now) }
        };
        let (victim, uses) = victims
            .map(|(name, it)| (name, value(name, it)))
            .min_by(|a, b| a.1.total_cmp(&b.1).then_with(|| a.0.cmp(b.0)))?;
        let copy_uses = demand.replica_uses;
        if copy_uses.is_some_and(|it| !copies::is_worth_eviction(it, uses)) {
            return None;
        }
        // An eviction costs 5 ms, and 40 ms for each decayed use of the victim.
        candidate.cost += 5.0 + 40.0 * uses.max(0.0);
        candidate.victim = Some(victim.clone());
        Some(candidate)
    }

    /// Records the result of an order. Returns the adapter load that it started, if any.
    pub fn record_outcome(
        &mut self,
        order: &Order,
        outcome: Outcome,
        now: Time,
    ) -> Option<in_flight::Load> {
        let fetch_time = self.stretched_fetch_time();
        let is_shared = self.loads_may_delay_each_other();
        let state = self.states.get_mut(&order.key)?;
        state.awaiting_answer = false;
        let mut started = None;
        match (outcome, order.op) {
            (Outcome::Accepted, Op::Load(version)) => {
                state.record_accepted();
                let source = if state.recently_unloaded.contains(&order.name) {
                    Source::Memory
                } else {
                    Source::Store
                };
                let duration = match (is_adapter(&order.name), source) {
                    (true, Source::Memory) => self.reload_time.expected(),
                    (true, Source::Store) => fetch_time,
                    (false, _) => {
                        state.needs_query = true;
                        state.paused_until = now + QUERY_INTERVAL;
                        // Only a status query tells when a base model is loaded.
                        Duration::MAX / 4
                    }
                };
                if is_adapter(&order.name) {
                    let is_same = |it: &AwaitedLoad| it.key == order.key && it.name == order.name;
                    self.awaited.retain(|it| !is_same(it));
                    if self.awaited.len() >= MAX_AWAITED_LOADS {
                        self.awaited.pop_front();
                    }
                    self.awaited.push_back(AwaitedLoad {
                        key: order.key,
                        name: order.name.clone(),
                        source,
                        expected: duration,
                        due: now + duration,
                        is_shared: is_shared && source == Source::Store,
                        was_in_time: false,
                        was_late: false,
                    });
                    started = Some(in_flight::Load {
                        key: order.key,
                        version: version.unwrap_or(0),
                        due: now + duration,
                    });
                }
                state.confirmed.insert(order.name.clone());
                state.in_flight.push(InFlight {
                    name: order.name.clone(),
                    version: version.unwrap_or(0),
                    due: now + duration,
                    completed: false,
                });
            }
            (Outcome::Accepted, Op::Unload) => {
                state.record_accepted();
                state.unloading.push((order.name.clone(), now));
                state.needs_query = true;
                state.paused_until = now + REFUSED_PAUSE;
            }
            (Outcome::InEffect, Op::Load(version)) => {
                state.in_flight.push(InFlight {
                    name: order.name.clone(),
                    version: version.unwrap_or(0),
                    due: now,
                    completed: false,
                });
                // Only a status query ends the load of a base model.
                state.needs_query |= !is_adapter(&order.name);
            }
            (Outcome::InEffect, Op::Unload) => {
                state.record_accepted();
                state.record_unloaded(&order.name);
            }
            (Outcome::Conflict, _) => {
                state.conflicts += 1;
                state.paused_until = now + CONFLICT_PAUSE;
                if state.conflicts >= MAX_CONFLICTS || state.unanswered.is_some() {
                    state.needs_query = true;
                    state.paused_until = now + REFUSED_PAUSE;
                }
            }
            (Outcome::Refused, _) => {
                state.needs_query = true;
                state.paused_until = now + REFUSED_PAUSE;
            }
            (Outcome::NoAnswer, op) => {
                state.unanswered = Some((order.name.clone(), op));
                state.no_answers += 1;
                // The next order expects the same number of accepted orders. The engine therefore
                // accepts it only if it hasn't accepted this one, and then rejects this one if it
                // arrives later.
                if state.no_answers >= MAX_NO_ANSWERS {
                    state.needs_query = true;
                    state.paused_until = now + NO_ANSWER_PAUSE;
                }
            }
        }
        started
    }

    /// Records the status that an engine reported; `None` if it didn't answer.
    pub fn record_status(&mut self, key: Key, status: Option<&Status>, now: Time) {
        let Some(state) = self.states.get_mut(&key) else {
            return;
        };
        state.awaiting_answer = false;
        let Some(status) = status else {
            state.paused_until = now + QUERY_INTERVAL;
            return;
        };
        if state
            .accepted_orders
            .is_some_and(|it| it != status.accepted_orders)
        {
            // The unanswered order was accepted, or can't be accepted any more.
            state.unanswered = None;
        }
        state.accepted_orders = Some(status.accepted_orders);
        state.conflicts = 0;
        state.no_answers = 0;
        state.confirmed = status.held.iter().map(|it| it.name.clone()).collect();
        state.confirmed.extend(status.in_flight.iter().cloned());
        let is_held = |name: &Name| status.held.iter().any(|it| it.name == *name);
        state
            .in_flight
            .retain(|it| is_adapter(&it.name) || !is_held(&it.name));
        for name in &status.in_flight {
            if !state.in_flight.iter().any(|it| it.name == *name) {
                state.in_flight.push(InFlight {
                    name: name.clone(),
                    version: 0,
                    due: now + self.fetch_time.expected(),
                    completed: false,
                });
            }
        }
        let unloaded: Vec<Name> = (state.unloading.iter())
            .filter(|(name, at)| !is_held(name) && *at + NO_ANSWER_PAUSE <= now)
            .map(|it| it.0.clone())
            .collect();
        for name in &unloaded {
            state.record_unloaded(name);
        }
        let loads_model = state.in_flight.iter().any(|it| !is_adapter(&it.name));
        state.needs_query = loads_model || !state.unloading.is_empty();
        state.paused_until = if state.needs_query {
            now + QUERY_INTERVAL
        } else {
            now
        };
    }

    /// Learns from the first requests of a host after a load that this host has ordered. A load that others may have
    /// delayed shows how many loads the weight store serves at full speed, another one how long a load takes.
    pub fn record_first_requests(&mut self, key: Key, name: &str, arrival: &Arrival, now: Time) {
        self.awaited.retain(|it| it.due + AWAITED_TTL > now);
        let is_same = |it: &&mut AwaitedLoad| it.key == key && *it.name == *name;
        let Some(load) = self.awaited.iter_mut().find(is_same) else {
            return;
        };
        let is_late = arrival.misses > 0;
        let was_observed = if is_late {
            &mut load.was_late
        } else {
            &mut load.was_in_time
        };
        if std::mem::replace(was_observed, true) {
            return;
        }
        let AwaitedLoad {
            source,
            expected,
            is_shared,
            ..
        } = *load;
        if is_late && is_shared {
            for _ in 0..arrival.misses {
                self.record_arrival(false);
            }
        } else if !is_late && source == Source::Store {
            self.record_arrival(true);
        }
        let Some(found_after) = arrival.found_after.filter(|_| !is_shared) else {
            return;
        };
        let observation = Observation {
            missing_at: is_late.then(|| expected + arrival.missing_after),
            found_at: expected + found_after,
        };
        let observed = match source {
            Source::Memory => &mut self.observed.reloads,
            Source::Store => &mut self.observed.fetches,
        };
        if observed.len() < MAX_ANNOUNCED_LOADS {
            observed.push(observation);
        }
        self.load_time_mut(source).observe(&observation, now);
    }

    /// Returns the loads that nothing slowed down and that were observed since the last call.
    pub fn take_observed(&mut self) -> ObservedLoads {
        std::mem::take(&mut self.observed)
    }

    /// Learns from the loads that another host has observed.
    pub fn record_remote_loads(&mut self, remote: &ObservedLoads, now: Time) {
        let fetches = remote.fetches.iter().take(MAX_ANNOUNCED_LOADS);
        fetches.for_each(|it| self.fetch_time.observe(it, now));
        let reloads = remote.reloads.iter().take(MAX_ANNOUNCED_LOADS);
        reloads.for_each(|it| self.reload_time.observe(it, now));
    }

    /// Returns the duration of a load at full speed.
    pub fn load_time_mut(&mut self, source: Source) -> &mut LoadTime {
        match source {
            Source::Memory => &mut self.reload_time,
            Source::Store => &mut self.fetch_time,
        }
    }

    /// Adjusts the estimated speed of loads after a request has shown whether a load was done in time.
    pub fn record_arrival(&mut self, in_time: bool) {
        let step = if in_time { IN_TIME_FACTOR } else { LATE_FACTOR };
        self.full_speed_loads =
            (self.full_speed_loads() * step).clamp(MIN_FULL_SPEED_LOADS, MAX_FULL_SPEED_LOADS);
    }

    /// Adjusts the estimated speed of loads towards that of another host.
    pub fn blend_full_speed_loads(&mut self, remote: f64) {
        if remote.is_finite() && remote > 0.0 {
            let own = self.full_speed_loads();
            self.full_speed_loads = (own + (remote - own) * REMOTE_ESTIMATE_WEIGHT)
                .clamp(MIN_FULL_SPEED_LOADS, MAX_FULL_SPEED_LOADS);
        }
    }

    /// Returns the estimated concurrent loads per engine at full speed.
    pub fn full_speed_loads(&self) -> f64 {
        if self.full_speed_loads > 0.0 {
            self.full_speed_loads
        } else {
            INITIAL_FULL_SPEED_LOADS
        }
    }

    /// Returns the expected duration of one more load from the weight store, whose speed all in-flight
    /// loads share.
    fn stretched_fetch_time(&self) -> Duration {
        let loads = to_f64(self.in_flight_count() + self.remote_loads + 1);
        let full_speed = (self.full_speed_loads() * to_f64(self.engine_count)).max(1.0);
        (self.fetch_time.expected()).mul_f64((loads / full_speed).max(1.0))
    }

    /// Returns whether one more load and those in flight may delay each other, however many the weight store serves at
    /// full speed.
    fn loads_may_delay_each_other(&self) -> bool {
        let loads = to_f64(self.in_flight_count() + self.remote_loads + 1);
        loads > (MIN_FULL_SPEED_LOADS * to_f64(self.engine_count)).max(1.0)
    }
}

/// An engine on which an adapter could be loaded.
struct Candidate {
    /// Lower is better; about the delay in ms that the load causes.
    cost: f64,
    /// Adapter that must be unloaded first.
    victim: Option<Name>,
}

impl Candidate {
    fn without_victim(engine: &Engine, now: Time) -> Self {
        let work = engine.total_work(now);
        Self {
            // One running request counts as much as 16 prompt tokens.
            cost: (f64::from(work.prefill_tokens) / 16.0 + f64::from(work.running))
                * engine.speed.slowness(now),
            victim: None,
        }
    }
}

impl EngineState {
    /// Resets the state if the engine has a new incarnation.
    fn reset_if_restarted(&mut self, engine: &Engine) {
        if self.incarnation != engine.listing.incarnation {
            *self = Self {
                incarnation: engine.listing.incarnation,
                awaiting_answer: self.awaiting_answer,
                ..Self::default()
            };
        }
    }

    /// Creates an order and marks the engine as awaiting its answer.
    fn create_order(&mut self, key: Key, name: Name, op: Op) -> Action {
        self.awaiting_answer = true;
        Action::Send(Order {
            key,
            name,
            op,
            expected_orders: self.accepted_orders.unwrap_or(0),
        })
    }

    /// Records an accepted order. The number of accepted orders grows, so that the engine rejects an
    /// earlier unanswered order from now on.
    fn record_accepted(&mut self) {
        self.accepted_orders = self.accepted_orders.map(|it| it + 1);
        self.unanswered = None;
        self.conflicts = 0;
        self.no_answers = 0;
    }

    /// Records that the engine no longer holds an adapter after an unload.
    fn record_unloaded(&mut self, name: &Name) {
        self.confirmed.remove(name);
        self.unloading.retain(|it| it.0 != *name);
        self.recently_unloaded.insert(name);
    }

    /// Returns whether a load or an unload of the adapter or base model is in progress.
    fn is_changing(&self, name: &str) -> bool {
        self.in_flight.iter().any(|it| &*it.name == name)
            || self.unloading.iter().any(|it| &*it.0 == name)
    }

    /// Returns all adapters and base models that may occupy memory on the engine.
    fn possibly_held<'a>(&'a self, engine: &'a Engine) -> Vec<&'a Name> {
        let mut names: Vec<&Name> = engine.held.keys().collect();
        names.extend(&self.confirmed);
        names.extend(self.in_flight.iter().map(|it| &it.name));
        names.extend(self.unloading.iter().map(|it| &it.0));
        if let Some((name, Op::Load(_))) = &self.unanswered {
            names.push(name);
        }
        names.sort();
        names.dedup();
        names
    }

    /// Returns the memory in MB that adapters and base models may occupy on the engine.
    fn used_mb(&self, engine: &Engine, capacity: &Capacity) -> f64 {
        self.possibly_held(engine)
            .iter()
            .map(|it| {
                let known = capacity.model(base_model(it));
                match known {
                    Some(model) if is_adapter(it) => model.adapter_mb,
                    Some(model) => model.weights_mb,
                    None => 0.0,
                }
            })
            .sum()
    }

    /// Returns whether one more adapter of this size is within the limits, assuming that everything that
    /// may occupy memory does.
    fn fits(&self, engine: &Engine, capacity: &Capacity, adapter_mb: f64) -> bool {
        let names = self.possibly_held(engine);
        let adapters = names.iter().filter(|it| is_adapter(it)).count();
        let used_mb = self.used_mb(engine, capacity);
        adapters < capacity.adapter_slots && used_mb + adapter_mb <= capacity.weights_mb
    }
}

/// Returns whether a load that should be done is certain to be: a request has been answered, or the upper
/// bound on the load time has passed. Until then, another load of the same adapter could occupy a second
/// slot.
fn is_loaded_for_certain(estimate: &Estimate, now: Time) -> bool {
    !estimate.is_unconfirmed() || estimate.loaded_at + MAX_LOAD_OVERRUN < now
}

/// Returns the number of engines of the service that rank higher for an adapter.
fn count_better_ranked(view: &View, engine: &Engine, name: &Name) -> f64 {
    let listing = &engine.listing;
    let own = engine.load_rank(name, view.now);
    let better = view.table.iter().filter(|(_, it)| {
        it.listing.service == listing.service
            && it.accepts_work()
            && it.load_rank(name, view.now) > own
    });
    to_f64(better.count())
}

/// Converts a count to `f64`. Counts beyond `u32` saturate.
fn to_f64(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

/// Returns an engine and its capacity; `None` if it is unknown or belongs to a plain service.
fn engine_and_capacity<'a>(view: &View<'a>, key: Key) -> Option<(&'a Engine, &'a Capacity)> {
    let engine = view.table.get(key)?;
    let service = view.catalog.services.get(&engine.listing.service)?;
    Some((engine, service.engine.as_ref()?))
}
