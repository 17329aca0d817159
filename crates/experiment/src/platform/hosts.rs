//! Simulated hosts that place requests by the decisions of `fleet`, as `gateway` does. A host is
//! the steward of some engines: it orders their loads.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use fleet::{
    Time,
    capacity::{Load, Samples},
    catalog::{Capacity, Catalog, Limits, Model, Service},
    engine::{Miss, Workload},
    in_flight::{self, InFlightLoads},
    listing::{Held, Listing, Name, State},
    loader::{self, Action, Arrival, Loader, Op, Order, Outcome, Status, View, copies},
    placement::{self, Placement, Purpose},
    prefix::{Chain, Part},
    reading::End,
    table::{Freshness, Key, Table},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    installation::{FIRST_EVENT_TARGET, Installation, SHARED_PREFIX_TOKENS},
    simulation::{MESSAGE_DELAY, Placer, Simulation},
};
use crate::event_queue::{MILLISECOND, Micros};

/// Service that all engines belong to.
const SERVICE: &str = "chat";

/// Time of a host's clock at the start of the simulation. The clock does not start at zero, so that
/// times before the start can be represented.
const CLOCK_START: Duration = Duration::from_secs(1000);

/// Maximum time for which a request without a placement is held, as in `gateway::exchange`.
const MAX_HOLD: Micros = 2200 * MILLISECOND;
/// Time between two checks whether a paced request can be sent, as in `gateway::exchange`.
const PACING_INTERVAL: Micros = 15 * MILLISECOND;
/// Time after which a load request is repeated, as in `gateway::exchange`.
const LOAD_REQUEST_INTERVAL: Micros = 90 * MILLISECOND;
/// Number of load requests to one host before the next steward in order is asked, as in
/// `gateway::exchange`.
const LOAD_REQUESTS_PER_HOST: u32 = 5;

/// Time after the due time of a load at which the loader runs again. It is just longer than the 30
/// ms for which `fleet::loader` counts an overdue load as in flight.
const ORDER_GRACE: Micros = 31 * MILLISECOND;

/// Minimum time between two messages of a host that a copy of an adapter is wanted, as in `gateway`.
const WANTED_COPY_INTERVAL: Micros = 300 * MILLISECOND;
/// Time without such a message after which the count for an adapter restarts at
/// zero, as in `gateway`.
const WANTED_COPY_TTL: Micros = 5000 * MILLISECOND;

/// A message between hosts, or a timer of a host.
pub struct Message {
    /// Host that receives the message.
    to: usize,
    payload: Payload,
}

/// Content of a message. Engines and adapters are given by their indexes.
enum Payload {
    /// A prompt was sent to an engine: the host that sent it, the engine and the prompt tokens that it has to process.
    PromptSent(usize, usize, u32),
    /// A prompt has ended: the host that sent it, the engine, the prompt tokens, and how.
    PromptEnded(usize, usize, u32, End),
    /// A load was ordered, or the adapter is already loaded: the engine, the adapter, its version (0
    /// if it is unknown), and the due time.
    LoadOrdered(usize, usize, u64, Micros),
    /// An adapter is about to be unloaded: the engine and the adapter.
    UnloadOrdered(usize, usize),
    /// A copy of an adapter is wanted: the busy engine, the adapter, and the number of earlier such messages of the host.
    CopyWanted(usize, usize, usize),
    /// A load is requested.
    LoadRequested(Demand),
    /// Timer: loads that this host has ordered are due.
    LoadsDue,
}

/// A request for a load.
struct Demand {
    /// Host that sends the request.
    from: usize,
    adapter: usize,
    /// For a request for one more replica: the decayed uses that the replica would serve.
    replica_uses: Option<f64>,
    /// Number of requests that wait for the load.
    waiting: u32,
}

/// Requests of a host that wait for the load of an adapter.
#[derive(Clone, Debug, Default)]
struct LoadWait {
    requests: Vec<usize>,
    /// Time of the last load request.
    requested_at: Option<Micros>,
    /// Number of load requests.
    load_requests: u32,
}

/// State of a host.
struct Host {
    table: Table,
    loader: Loader,
    /// Loads that other hosts announced.
    in_flight: InFlightLoads,
    /// Waiting requests by adapter.
    waits: BTreeMap<usize, LoadWait>,
    /// When a copy was wanted last and how often, by adapter.
    wanted_copies: BTreeMap<usize, (Micros, usize)>,
    /// Engines of which the host is the steward.
    own_engines: Vec<Key>,
    /// Requests that were sent since the last heartbeat, by engine and adapter.
    sent_counts: BTreeMap<(usize, usize), u32>,
}

/// A request that was sent to an engine.
#[derive(Clone, Debug, Default)]
struct SentRequest {
    /// Prompt tokens that the engine has to process before the first event.
    prefill_tokens: u32,
    /// Prompt tokens that the engine had to process until the first event; `None` if the request had to wait for a slot.
    tokens_ahead: Option<f64>,
    /// Load of the engine when the request was sent.
    load: Load,
    sent_at: Time,
}

/// All hosts of an installation.
pub struct Hosts {
    states: Vec<Host>,
    engine_keys: Vec<Key>,
    host_names: Vec<Arc<str>>,
    adapter_names: Vec<Name>,
    engine_ids: Vec<Arc<str>>,
    catalog: Catalog,
    sent_requests: BTreeMap<usize, SentRequest>,
    random: StdRng,
}

/// Converts simulated time to the time of a host's clock.
fn to_time(now: Micros) -> Time {
    CLOCK_START + Duration::from_micros(now)
}

fn to_u32(it: usize) -> u32 {
    u32::try_from(it).unwrap_or(u32::MAX)
}

impl Hosts {
    /// Creates hosts that know all engines. The engines hold the base model only.
    pub fn new(installation: &Installation, seed: u64) -> Self {
        let engine_ids: Vec<Arc<str>> = (0..installation.engines)
            .map(|it| format!("i-{it:04}").into())
            .collect();
        let adapter_names = (0..installation.adapters)
            .map(|it| format!("m/a{it}").into())
            .collect();
        let mut host_states = Vec::new();
        let mut engine_keys = Vec::new();
        for host in 0..installation.hosts {
            let mut table = Table::default();
            engine_keys = (0..installation.engines)
                .map(|it| table.upsert(new_listing(installation, &engine_ids[it], 1), CLOCK_START))
                .collect();
            let own_engines = engine_keys
                .iter()
                .enumerate()
                .filter(|it| it.0 % installation.hosts == host);
            host_states.push(Host {
                own_engines: own_engines.map(|it| *it.1).collect(),
                table,
                loader: Loader::default(),
                in_flight: InFlightLoads::default(),
                waits: BTreeMap::new(),
                wanted_copies: BTreeMap::new(),
                sent_counts: BTreeMap::new(),
            });
        }
        Self {
            states: host_states,
            engine_keys,
            host_names: (0..installation.hosts)
                .map(|it| format!("h-{it}").into())
                .collect(),
            adapter_names,
            engine_ids,
            catalog: new_catalog(installation),
            sent_requests: BTreeMap::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the index of an engine.
    fn engine_index(&self, key: Key) -> usize {
        self.engine_keys
            .iter()
            .position(|it| *it == key)
            .expect("all keys belong to engines of the installation")
    }

    /// Returns the index of an adapter, or `None` for the base model.
    fn adapter_index(name: &str) -> Option<usize> {
        name.strip_prefix("m/a")?.parse().ok()
    }

    /// Returns the indexes of all hosts but one.
    fn other_hosts(&self, host: usize) -> impl Iterator<Item = usize> + use<> {
        (0..self.states.len()).filter(move |it| *it != host)
    }

    /// Returns the prefix chain of a prompt.
    fn prompt_chain(
        &self,
        adapter: usize,
        shared_prefix: u64,
        prompt_tokens: u32,
        request: usize,
    ) -> Chain {
        let parts = [
            Part {
                id: shared_prefix,
                tokens: SHARED_PREFIX_TOKENS,
            },
            Part {
                // Identities from 1000 are those of single requests.
                id: 1000 + u64::from(to_u32(request)),
                tokens: prompt_tokens - SHARED_PREFIX_TOKENS,
            },
        ];
        Chain::new(&self.adapter_names[adapter], &parts)
    }

    /// Records the announced loads that are due as loaded, and wakes the requests that wait for
    /// them.
    fn apply_due_loads(&mut self, simulation: &mut Simulation<Message>, host: usize) {
        let now = to_time(simulation.now);
        for (name, load) in self.states[host].in_flight.take_due(now) {
            if let Some(engine) = self.states[host].table.get_mut(load.key) {
                engine.record_load(&name, load.version, now);
            }
            self.wake_waiters(simulation, host, Self::adapter_index(&name));
        }
    }

    /// Schedules placement attempts for the requests that wait for an adapter.
    fn wake_waiters(
        &mut self,
        simulation: &mut Simulation<Message>,
        host: usize,
        adapter: Option<usize>,
    ) {
        let wait = adapter.and_then(|it| self.states[host].waits.get(&it));
        for request in wait.map(|it| it.requests.clone()).unwrap_or_default() {
            simulation.schedule_placement(0, request);
        }
    }

    /// Removes a request from those that wait for an adapter.
    fn remove_waiter(&mut self, host: usize, adapter: usize, request: usize) {
        let waits = &mut self.states[host].waits;
        if let Some(wait) = waits.get_mut(&adapter) {
            wait.requests.retain(|it| *it != request);
            if wait.requests.is_empty() {
                waits.remove(&adapter);
            }
        }
    }

    /// Returns the `nth` host in the order in which hosts are asked to load an adapter.
    fn find_steward(
        &self,
        host: usize,
        adapter: usize,
        purpose: Purpose,
        nth: usize,
        now: Time,
    ) -> usize {
        let wanted = loader::Wanted::anywhere(self.adapter_names[adapter].clone());
        let table = &self.states[host].table;
        let ranked = placement::rank_for_load(table, SERVICE, &wanted, purpose, now);
        let mut stewards: Vec<usize> = Vec::new();
        for key in ranked {
            let steward = self.engine_index(key) % self.states.len();
            if !stewards.contains(&steward) {
                stewards.push(steward);
            }
        }
        stewards[nth % stewards.len().max(1)]
    }

    /// Reports the first requests after a load to the steward of the engine. The message isn't delayed here.
    fn report_first_requests(&mut self, engine: usize, name: &Name, arrival: &Arrival, now: Time) {
        let steward = engine % self.states.len();
        let key = self.engine_keys[engine];
        let loader = &mut self.states[steward].loader;
        loader.record_first_requests(key, name, arrival, now);
    }

    /// Sends a load request unless one was sent recently.
    fn request_load(&mut self, simulation: &mut Simulation<Message>, host: usize, adapter: usize) {
        let now = simulation.now;
        let wait = self.states[host].waits.entry(adapter).or_default();
        if wait
            .requested_at
            .is_some_and(|it| it + LOAD_REQUEST_INTERVAL > now)
        {
            return;
        }
        wait.requested_at = Some(now);
        wait.load_requests += 1;
        let nth = usize::try_from((wait.load_requests - 1) / LOAD_REQUESTS_PER_HOST).unwrap_or(0);
        let waiting = to_u32(wait.requests.len());
        let to = self.find_steward(host, adapter, Purpose::Missing, nth, to_time(now));
        let demand = Demand {
            from: host,
            adapter,
            replica_uses: None,
            waiting,
        };
        Self::send_demand(simulation, to, demand);
    }

    /// Sends a load request to a host.
    fn send_demand(simulation: &mut Simulation<Message>, to: usize, demand: Demand) {
        let delay = if demand.from == to { 0 } else { MESSAGE_DELAY };
        let payload = Payload::LoadRequested(demand);
        simulation.schedule_message(delay, Message { to, payload });
    }

    /// Tells the steward of the engine `busy` that a copy of an adapter is wanted, unless one was wanted recently.
    fn want_copy(
        &mut self,
        simulation: &mut Simulation<Message>,
        host: usize,
        adapter: usize,
        busy: Key,
    ) {
        let now = simulation.now;
        let it = &mut self.states[host];
        it.wanted_copies
            .retain(|_, it| it.0 + WANTED_COPY_TTL > now);
        let entry = it.wanted_copies.entry(adapter).or_insert((0, 0));
        if entry.1 > 0 && entry.0 + WANTED_COPY_INTERVAL > now {
            return;
        }
        *entry = (now, entry.1 + 1);
        let nth = entry.1 - 1;
        let engine = self.engine_index(busy);
        let to = engine % self.states.len();
        let delay = if host == to { 0 } else { MESSAGE_DELAY };
        let payload = Payload::CopyWanted(engine, adapter, nth);
        simulation.schedule_message(delay, Message { to, payload });
    }

    /// Requests a copy of an adapter that takes over half of the uses of an engine of the host.
    fn request_copy(
        &mut self,
        simulation: &mut Simulation<Message>,
        host: usize,
        (engine, adapter): (usize, usize),
        nth: usize,
    ) {
        let now = to_time(simulation.now);
        let busy = self.states[host].table.get(self.engine_keys[engine]);
        let estimate = busy.and_then(|it| it.held.get(&self.adapter_names[adapter]));
        let Some(uses) = estimate.map(|it| it.uses(now)) else {
            return;
        };
        let to = self.find_steward(host, adapter, Purpose::Replica, nth, now);
        let demand = Demand {
            from: host,
            adapter,
            replica_uses: Some(copies::uses_taken_over(uses)),
            waiting: 0,
        };
        Self::send_demand(simulation, to, demand);
    }

    /// Sends a request to an engine and announces its prompt to the other hosts.
    fn send_request(
        &mut self,
        simulation: &mut Simulation<Message>,
        request: usize,
        choice: &placement::Choice,
        chain: &Chain,
    ) {
        let arrival = simulation.requests[request].arrival.clone();
        self.remove_waiter(arrival.host, arrival.adapter, request);
        let engine = self.engine_index(choice.key);
        let now = to_time(simulation.now);
        let host = &mut self.states[arrival.host];
        let Some(it) = host.table.get_mut(choice.key) else {
            return;
        };
        let prefill_tokens = chain
            .tokens()
            .saturating_sub(it.prefix_cache.cached_tokens(chain));
        let load = it.load(now);
        let ahead = it.pending_prefill_tokens(now) + f64::from(prefill_tokens);
        let tokens_ahead = it.has_free_slot(now).then_some(ahead);
        it.record_sent(None, prefill_tokens, now);
        it.local_work.running += 1;
        it.local_work.prefill_tokens += prefill_tokens;
        it.record_prompt(prefill_tokens, now);
        it.prefix_cache.insert(chain);
        if let Some(estimate) = it.held.get_mut(&self.adapter_names[arrival.adapter]) {
            estimate.running += 1;
            estimate.record_uses(now, 1);
        }
        *host
            .sent_counts
            .entry((engine, arrival.adapter))
            .or_default() += 1;
        let sent = SentRequest {
            prefill_tokens,
            tokens_ahead,
            load,
            sent_at: now,
        };
        self.sent_requests.insert(request, sent);
        for to in self.other_hosts(arrival.host) {
            simulation.schedule_message(
                MESSAGE_DELAY,
                Message {
                    to,
                    payload: Payload::PromptSent(arrival.host, engine, prefill_tokens),
                },
            );
        }
        simulation.send_request(request, engine, prefill_tokens);
    }

    /// Records the end of a request's prompt and announces it to the other hosts.
    fn end_prompt(
        &mut self,
        simulation: &mut Simulation<Message>,
        request: usize,
        engine: usize,
        end: End,
    ) {
        let host = simulation.requests[request].arrival.host;
        let sent = self.sent_requests.get(&request);
        let Some(tokens) = sent.map(|it| it.prefill_tokens).filter(|it| *it > 0) else {
            return;
        };
        let now = to_time(simulation.now);
        if let Some(it) = self.states[host].table.get_mut(self.engine_keys[engine]) {
            it.reading.record_end(None, tokens, end, now);
        }
        for to in self.other_hosts(host) {
            let payload = Payload::PromptEnded(host, engine, tokens, end);
            simulation.schedule_message(MESSAGE_DELAY, Message { to, payload });
        }
    }

    /// Removes a request from the estimated state of an engine.
    fn release_request(&mut self, request: usize, host: usize, adapter: usize, engine: usize) {
        let sent = self.sent_requests.remove(&request).unwrap_or_default();
        let Some(it) = self.states[host].table.get_mut(self.engine_keys[engine]) else {
            return;
        };
        it.local_work.running = it.local_work.running.saturating_sub(1);
        it.local_work.prefill_tokens = it
            .local_work
            .prefill_tokens
            .saturating_sub(sent.prefill_tokens);
        if let Some(estimate) = it.held.get_mut(&self.adapter_names[adapter]) {
            estimate.running = estimate.running.saturating_sub(1);
        }
    }

    /// Records completed loads, and executes the next actions of the loader.
    fn run_loader(&mut self, simulation: &mut Simulation<Message>, host: usize) {
        let now = to_time(simulation.now);
        for done in self.states[host].loader.take_completed(now) {
            if let Some(it) = self.states[host].table.get_mut(done.key) {
                it.record_load(&done.name, done.version, now);
            }
            self.wake_waiters(simulation, host, Self::adapter_index(&done.name));
        }
        loop {
            let hosts = self.states.len();
            let it = &mut self.states[host];
            let view = View {
                table: &it.table,
                catalog: &self.catalog,
                orderable: &it.own_engines,
                hosts,
                window: Duration::from_secs(5),
                in_flight: &it.in_flight,
                now,
            };
            let actions = it.loader.next_actions(&view);
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    Action::QueryStatus(key) => self.query_status(simulation, host, key),
                    Action::Send(order) => self.execute_order(simulation, host, &order),
                }
            }
        }
    }

    /// Queries the status of an engine for the loader.
    fn query_status(&mut self, simulation: &Simulation<Message>, host: usize, key: Key) {
        let engine = &simulation.engines[self.engine_index(key)];
        let to_held = |it: &usize| Held {
            name: self.adapter_names[*it].clone(),
            version: 1,
        };
        let base = Held {
            name: "m".into(),
            version: 1,
        };
        let status = engine.is_up.then(|| Status {
            accepted_orders: engine.accepted_orders,
            held: std::iter::once(base)
                .chain(engine.held.keys().map(to_held))
                .collect(),
            in_flight: engine
                .in_flight
                .iter()
                .map(|it| self.adapter_names[*it].clone())
                .collect(),
        });
        let now = to_time(simulation.now);
        self.states[host]
            .loader
            .record_status(key, status.as_ref(), now);
    }

    /// Sends an order to an engine and records the outcome.
    fn execute_order(&mut self, simulation: &mut Simulation<Message>, host: usize, order: &Order) {
        let engine = self.engine_index(order.key);
        let now = to_time(simulation.now);
        let adapter = Self::adapter_index(&order.name);
        let held = self.states[host].table.get_mut(order.key);
        if let (Some(it), Some(adapter)) = (held, adapter)
            && it.held.contains_key(&order.name)
        {
            it.record_unload(&order.name, now);
            for to in self.other_hosts(host) {
                simulation.schedule_message(
                    MESSAGE_DELAY,
                    Message {
                        to,
                        payload: Payload::UnloadOrdered(engine, adapter),
                    },
                );
            }
        }
        let outcome = match adapter {
            None => Outcome::InEffect,
            Some(_) if !simulation.engines[engine].is_up => Outcome::NoAnswer,
            Some(_) if simulation.engines[engine].accepted_orders != order.expected_orders => {
                Outcome::Conflict
            }
            Some(it) if order.op == Op::Unload => {
                if simulation.unload(engine, it) {
                    Outcome::InEffect
                } else {
                    Outcome::Refused
                }
            }
            Some(it) if simulation.engines[engine].held.contains_key(&it) => Outcome::InEffect,
            Some(it) => {
                simulation.load(engine, it);
                Outcome::Accepted
            }
        };
        let load = self.states[host].loader.record_outcome(order, outcome, now);
        if outcome == Outcome::Refused
            && let Some(it) = self.states[host].table.get_mut(order.key)
        {
            it.record_load(&order.name, 0, now);
        }
        if let (Some(load), Some(adapter)) = (load, adapter) {
            let due = u64::try_from(load.due.saturating_sub(now).as_micros()).unwrap_or(0);
            for to in self.other_hosts(host) {
                let payload =
                    Payload::LoadOrdered(engine, adapter, load.version, simulation.now + due);
                simulation.schedule_message(MESSAGE_DELAY, Message { to, payload });
            }
            for delay in [due, due + ORDER_GRACE] {
                let (to, payload) = (host, Payload::LoadsDue);
                simulation.schedule_message(delay, Message { to, payload });
            }
        }
    }
}

impl Placer for Hosts {
    type Message = Message;

    fn place(&mut self, simulation: &mut Simulation<Message>, request: usize) {
        if simulation.is_done(request) || self.sent_requests.contains_key(&request) {
            return;
        }
        let arrival = simulation.requests[request].arrival.clone();
        let (host, adapter) = (arrival.host, arrival.adapter);
        self.apply_due_loads(simulation, host);
        if simulation.is_abandoned(request) {
            self.remove_waiter(host, adapter, request);
            simulation.refuse(request);
            return;
        }
        let chain = self.prompt_chain(
            adapter,
            arrival.shared_prefix,
            arrival.prompt_tokens,
            request,
        );
        let now = to_time(simulation.now);
        let name = self.adapter_names[adapter].clone();
        let placement_request = placement::PlacementRequest {
            service: SERVICE,
            name: Some(&name),
            chain: &chain,
            max_gap: Duration::from_micros(simulation.installation.max_event_gap),
            domain: "z",
            tried: &[],
            build: None,
            turn: None,
            random: self.random.random(),
        };
        let waited = simulation.now - arrival.at;
        match placement::place(&self.states[host].table, &placement_request, now) {
            Placement::Send(choice) => {
                if choice.wants_replica {
                    self.want_copy(simulation, host, adapter, choice.key);
                }
                self.send_request(simulation, request, &choice, &chain);
            }
            Placement::Delay(choice) => {
                if choice.wants_replica {
                    self.want_copy(simulation, host, adapter, choice.key);
                }
                // As in `gateway::exchange`, a prompt is paced for at most 0.6 of the target time.
                if waited < FIRST_EVENT_TARGET * 6 / 10 {
                    simulation.schedule_placement(PACING_INTERVAL, request);
                } else {
                    self.send_request(simulation, request, &choice, &chain);
                }
            }
            // The modelled engines ask for no back-off, and all are of one build.
            Placement::Closed(..)
            | Placement::Load
            | Placement::Unavailable
            | Placement::BuildGone
                if waited > MAX_HOLD =>
            {
                self.remove_waiter(host, adapter, request);
                simulation.refuse(request);
            }
            Placement::Closed(..)
            | Placement::Load
            | Placement::Unavailable
            | Placement::BuildGone => {
                let wait = self.states[host].waits.entry(adapter).or_default();
                if !wait.requests.contains(&request) {
                    wait.requests.push(request);
                }
                let load = {
                    let it = &self.states[host];
                    it.in_flight
                        .find(&loader::Wanted::anywhere(name.clone()), &it.table, now)
                };
                let delay = load.map(|it| it.due.saturating_sub(now));
                if load.is_none() {
                    self.request_load(simulation, host, adapter);
                }
                let delay = delay.filter(|it| !it.is_zero());
                let delay = delay.map_or(LOAD_REQUEST_INTERVAL, |it| {
                    u64::try_from(it.as_micros()).unwrap_or(0)
                });
                simulation.schedule_placement(delay, request);
            }
        }
    }

    fn on_missing_adapter(
        &mut self,
        simulation: &mut Simulation<Message>,
        request: usize,
        engine: usize,
    ) {
        let arrival = simulation.requests[request].arrival.clone();
        let now = to_time(simulation.now);
        let sent = self
            .sent_requests
            .get(&request)
            .map_or(now, |it| it.sent_at);
        self.end_prompt(simulation, request, engine, End::Dropped);
        self.release_request(request, arrival.host, arrival.adapter, engine);
        let name = self.adapter_names[arrival.adapter].clone();
        let it = &mut self.states[arrival.host];
        if let Some(found) = it.table.get_mut(self.engine_keys[engine]) {
            let miss = found.record_miss(&name, sent, now);
            if !found.held.contains_key(&name) {
                it.in_flight.remove(&name, self.engine_keys[engine]);
            }
            if let Miss::Last(it) = miss {
                self.report_first_requests(engine, &name, &it, now);
            }
        }
        simulation.schedule_placement(2 * MESSAGE_DELAY, request);
    }

    fn on_engine_lost(
        &mut self,
        simulation: &mut Simulation<Message>,
        request: usize,
        engine: usize,
    ) {
        let arrival = simulation.requests[request].arrival.clone();
        self.end_prompt(simulation, request, engine, End::Dropped);
        self.release_request(request, arrival.host, arrival.adapter, engine);
        let now = to_time(simulation.now);
        if let Some(it) = self.states[arrival.host]
            .table
            .get_mut(self.engine_keys[engine])
        {
            it.circuit.mark_unreachable(now);
        }
        simulation.schedule_placement(MESSAGE_DELAY, request);
    }

    fn on_first_event(
        &mut self,
        simulation: &mut Simulation<Message>,
        request: usize,
        engine: usize,
    ) {
        self.end_prompt(simulation, request, engine, End::Read);
        let arrival = &simulation.requests[request].arrival;
        let now = to_time(simulation.now);
        let name = &self.adapter_names[arrival.adapter];
        let host = arrival.host;
        let Some(sent) = self.sent_requests.get_mut(&request) else {
            return;
        };
        let Some(it) = self.states[host].table.get_mut(self.engine_keys[engine]) else {
            return;
        };
        it.last_success_at = now;
        it.circuit.record_success();
        it.local_work.prefill_tokens = it
            .local_work
            .prefill_tokens
            .saturating_sub(sent.prefill_tokens);
        it.record_prefilled(sent.sent_at, now);
        let ahead = sent.tokens_ahead.filter(|_| sent.prefill_tokens > 0);
        let sample = ahead.map(|it| Samples::of(it, now.saturating_sub(sent.sent_at)));
        let load = it.load_since(sent.sent_at, sent.load);
        sent.prefill_tokens = 0;
        let estimate = it.held.get_mut(name);
        let sent_at = sent.sent_at;
        if let Some(it) = estimate.and_then(|it| it.confirm(sent_at)) {
            let adapter = arrival.adapter;
            let name = name.clone();
            self.report_first_requests(engine, &name, &it, now);
            self.wake_waiters(simulation, host, Some(adapter));
        }
        // Heartbeats, which carry the samples, aren't delayed here.
        for state in &mut self.states {
            if let Some(it) = sample {
                let key = self.engine_keys[engine];
                state.table.record_speed(key, it, load, now);
            }
        }
    }

    fn on_request_end(
        &mut self,
        simulation: &mut Simulation<Message>,
        request: usize,
        engine: usize,
    ) {
        let arrival = &simulation.requests[request].arrival;
        self.release_request(request, arrival.host, arrival.adapter, engine);
    }

    fn on_loaded(&mut self, _: &mut Simulation<Message>, _: usize, _: usize) {}

    fn on_listed(&mut self, simulation: &mut Simulation<Message>, engine: usize) {
        let now = to_time(simulation.now);
        let incarnation = simulation.engines[engine].incarnation;
        for host in 0..self.states.len() {
            let listing = new_listing(
                &simulation.installation,
                &self.engine_ids[engine],
                incarnation,
            );
            self.states[host].table.upsert(listing, now);
            self.run_loader(simulation, host);
        }
    }

    fn on_message(&mut self, simulation: &mut Simulation<Message>, message: Message) {
        let now = to_time(simulation.now);
        let to = message.to;
        match message.payload {
            Payload::PromptEnded(from, engine, tokens, end) => {
                let (host, key) = (&self.host_names[from], self.engine_keys[engine]);
                let table = &mut self.states[to].table;
                table.record_remote_prompt_end(host, key, tokens, end, now);
            }
            Payload::PromptSent(from, engine, tokens) => {
                let (host, key) = (&self.host_names[from], self.engine_keys[engine]);
                let table = &mut self.states[to].table;
                if let Some(it) = table.get_mut(key) {
                    it.record_prompt(tokens, now);
                }
                table.record_remote_prompt(host, key, tokens, now);
            }
            Payload::LoadOrdered(engine, adapter, version, due) => {
                let load = in_flight::Load {
                    key: self.engine_keys[engine],
                    version,
                    due: to_time(due),
                };
                let name = self.adapter_names[adapter].clone();
                self.states[to].in_flight.announce(name, load);
                self.apply_due_loads(simulation, to);
                self.wake_waiters(simulation, to, Some(adapter));
            }
            Payload::UnloadOrdered(engine, adapter) => {
                let key = self.engine_keys[engine];
                let name = self.adapter_names[adapter].clone();
                if let Some(it) = self.states[to].table.get_mut(key) {
                    it.record_unload(&name, now);
                }
                self.states[to].in_flight.remove(&name, key);
            }
            Payload::CopyWanted(engine, adapter, nth) => {
                self.request_copy(simulation, to, (engine, adapter), nth);
            }
            Payload::LoadRequested(demand) => self.handle_demand(simulation, to, &demand),
            Payload::LoadsDue => {
                self.apply_due_loads(simulation, to);
                self.run_loader(simulation, to);
            }
        }
    }

    fn on_heartbeat(&mut self, simulation: &mut Simulation<Message>) {
        let now = to_time(simulation.now);
        for host in 0..self.states.len() {
            let mut work_by_engine = Vec::new();
            for (engine, key) in self.engine_keys.iter().enumerate() {
                if let Some(it) = self.states[host].table.get(*key)
                    && it.local_work != Workload::default()
                {
                    work_by_engine.push((engine, it.local_work));
                }
            }
            let sent_counts = std::mem::take(&mut self.states[host].sent_counts);
            let host_name: Arc<str> = format!("h-{host}").into();
            let in_flight_count = self.states[host].loader.in_flight_count();
            for to in self.other_hosts(host) {
                let table = &mut self.states[to].table;
                table.begin_work_report(&host_name);
                for (engine, work) in &work_by_engine {
                    table.record_remote_work(&host_name, self.engine_keys[*engine], *work, now);
                }
                self.states[to].loader.remote_loads += in_flight_count;
            }
            for ((engine, adapter), count) in sent_counts {
                let steward = engine % self.states.len();
                let running = {
                    let own = self.states[host].table.get(self.engine_keys[engine]);
                    let estimate = own.and_then(|it| it.held.get(&self.adapter_names[adapter]));
                    estimate.map_or(0, |it| it.running)
                };
                if steward == host {
                    continue;
                }
                let it = self.states[steward].table.get_mut(self.engine_keys[engine]);
                if let Some(estimate) =
                    it.and_then(|it| it.held.get_mut(&self.adapter_names[adapter]))
                {
                    estimate
                        .remote_running
                        .insert(host_name.clone(), (now, running));
                    estimate.record_uses(now, count);
                }
            }
        }
        let total: usize = self
            .states
            .iter()
            .map(|it| it.loader.in_flight_count())
            .sum();
        for host in 0..self.states.len() {
            let own = self.states[host].loader.in_flight_count();
            self.states[host].loader.remote_loads = total - own;
            self.run_loader(simulation, host);
        }
    }
}

impl Hosts {
    /// Handles a load request: announces the load if it is known, and orders one otherwise.
    fn handle_demand(&mut self, simulation: &mut Simulation<Message>, to: usize, demand: &Demand) {
        let now = to_time(simulation.now);
        let adapter = demand.adapter;
        let name = self.adapter_names[adapter].clone();
        let it = &self.states[to];
        let held = it.own_engines.iter().find(|key| {
            let estimate = it.table.get(**key).and_then(|it| it.held.get(&name));
            estimate.is_some_and(|estimate| {
                it.table.freshness(&name, estimate.version, now) == Freshness::Newest
            })
        });
        let load = it
            .in_flight
            .find(&loader::Wanted::anywhere(name.clone()), &it.table, now);
        let known_load = held.map(|key| (*key, 0, simulation.now)).or_else(|| {
            let load = load?;
            let left = load.due.saturating_sub(now).as_micros();
            Some((
                load.key,
                load.version,
                simulation.now + u64::try_from(left).unwrap_or(0),
            ))
        });
        if let Some((key, version, due)) = known_load
            && demand.replica_uses.is_none()
        {
            let to = demand.from;
            let payload = Payload::LoadOrdered(self.engine_index(key), adapter, version, due);
            simulation.schedule_message(MESSAGE_DELAY, Message { to, payload });
            return;
        }
        let load_request = loader::LoadRequest {
            host: format!("h-{}", demand.from).into(),
            service: SERVICE.into(),
            wanted: loader::Wanted::anywhere(name),
            replica_uses: demand.replica_uses,
            waiting: demand.waiting,
        };
        self.states[to].loader.add_request(&load_request, now);
        self.run_loader(simulation, to);
    }
}

fn new_listing(installation: &Installation, id: &Arc<str>, incarnation: u64) -> Listing {
    Listing {
        id: id.clone(),
        incarnation,
        service: SERVICE.into(),
        build: "v1".into(),
        addr: "10.0.0.1:80".parse().expect("the address is well formed"),
        domain: "z".into(),
        slots: installation.batch_slots,
        state: State::Ready,
        held: vec![Held {
            name: "m".into(),
            version: 1,
        }],
    }
}

fn new_catalog(installation: &Installation) -> Catalog {
    let model = Model {
        name: "m".into(),
        weights_mb: 1000.0,
        adapter_mb: 1.0,
        load_time: Duration::from_secs(3),
    };
    let capacity = Capacity {
        slots: installation.batch_slots,
        kv_tokens: 130_000,
        adapter_slots: installation.adapter_slots,
        weights_mb: 10_000.0,
        loads_per_s: 10.0,
        models: vec![model],
    };
    let service = Service {
        name: SERVICE.into(),
        connections: 1000,
        engine: Some(capacity),
    };
    Catalog::new(1, Vec::new(), vec![service], Limits::default())
}
