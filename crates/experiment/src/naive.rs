//! The naive placement that the stewards are compared with. A request goes to the engine with the
//! least load, every request that misses its adapter causes a load, the least recently used adapter
//! is evicted, and there is no admission control.

use std::collections::VecDeque;

use kernel::reference::Loaded;

use crate::{
    deployment::Deployment,
    engine::Engine,
    event_queue::{EventQueue, MILLISECOND, Micros},
    metrics::Metrics,
    scenario::{DURATION, EVENT_AT, OUTAGE_DURATION, Scenario, WARM_UP},
    simulation::adapter_reference,
    store::{Health, Reply, Store},
    trace::Arrival,
};

/// Time after which a load that the store refused is attempted again.
const LOAD_RETRY_DELAY: Micros = 250 * MILLISECOND;

/// A scheduled event of the simulation.
enum Event {
    /// A request arrives.
    RequestArrival(usize),
    /// Waiting requests of all engines are dispatched.
    Dispatch,
    /// The load for a request ends.
    LoadEnd {
        engine: usize,
        request: usize,
        incarnation: u64,
    },
    /// A request ends at its engine.
    RequestEnd {
        engine: usize,
        request: usize,
        incarnation: u64,
    },
    /// The deadline of a request passes.
    Deadline(usize),
    /// All engines restart.
    EngineRestart,
    /// The weight store fails or recovers.
    StoreHealth(Health),
    /// The warm-up ends.
    WarmUpEnd,
}

/// The state of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Waiting,
    Loading,
    Running,
    Ended,
}

/// An engine and the requests that wait for it.
#[derive(Debug)]
struct Node {
    engine: Engine,
    /// Time of the last use of each loaded adapter, in the order of `engine.loaded`.
    last_used_at: Vec<Micros>,
    /// Number of loads in flight.
    loading: usize,
    queue: VecDeque<usize>,
}

/// A running simulation of a fleet.
struct Simulation<'a> {
    deployment: &'a Deployment,
    trace: &'a [Arrival],
    now: Micros,
    events: EventQueue<Event>,
    nodes: Vec<Node>,
    phases: Vec<Phase>,
    /// Time for which the engine runs each request.
    run_times: Vec<Micros>,
    /// Identity of each adapter at an engine.
    adapter_ids: Vec<Loaded>,
    store: Store,
    /// Time of the scheduled [`Event::Dispatch`], if there is one.
    dispatch_at: Option<Micros>,
    /// Busy and running times of the engines at the end of the warm-up.
    warm_up_usage: (Micros, Micros),
    metrics: Metrics,
}

/// Runs a scenario and returns its measurements.
pub fn run(deployment: &Deployment, scenario: Scenario, trace: &[Arrival]) -> Metrics {
    let node = |_| Node {
        engine: Engine::default(),
        last_used_at: Vec::new(),
        loading: 0,
        queue: VecDeque::new(),
    };
    let mut simulation = Simulation {
        deployment,
        trace,
        now: 0,
        events: EventQueue::default(),
        nodes: (0..deployment.engines).map(node).collect(),
        phases: vec![Phase::Waiting; trace.len()],
        run_times: vec![0; trace.len()],
        adapter_ids: (0..deployment.adapters).map(adapter_id).collect(),
        store: Store::new(deployment),
        dispatch_at: None,
        warm_up_usage: (0, 0),
        metrics: Metrics {
            batch_size: deployment.batch_size,
            batch_capacity: deployment.batch_capacity(),
            duration: DURATION - WARM_UP,
            ..Metrics::default()
        },
    };
    simulation.schedule_events(scenario);
    simulation.run()
}

impl Simulation<'_> {
    fn schedule_events(&mut self, scenario: Scenario) {
        match scenario {
            Scenario::Restart => self.events.schedule(EVENT_AT, Event::EngineRestart),
            Scenario::Outage => {
                self.events
                    .schedule(EVENT_AT, Event::StoreHealth(Health::Down));
                self.events
                    .schedule(EVENT_AT + OUTAGE_DURATION, Event::StoreHealth(Health::Up));
            }
            _ => {}
        }
        self.events.schedule(WARM_UP, Event::WarmUpEnd);
        for (index, arrival) in self.trace.iter().enumerate() {
            self.events
                .schedule(arrival.at, Event::RequestArrival(index));
            self.events
                .schedule(arrival.at + arrival.time_limit, Event::Deadline(index));
        }
    }

    fn run(mut self) -> Metrics {
        while let Some((at, event)) = self.events.pop() {
            if at > DURATION {
                break;
            }
            self.now = at;
            self.handle(&event);
        }
        self.now = DURATION;
        let (busy_time, running_time) = self.usage();
        self.metrics.busy_time = busy_time - self.warm_up_usage.0;
        self.metrics.running_time = running_time - self.warm_up_usage.1;
        self.metrics.loads = self.store.load_starts.len() as u64;
        self.metrics.peak_load_rate = self.store.peak_load_rate() as u64;
        self.metrics.peak_in_flight = u64::from(self.store.peak_in_flight);
        self.metrics
    }

    /// Returns the busy times and the running times of all engines, each summed up.
    fn usage(&mut self) -> (Micros, Micros) {
        let now = self.now;
        let usages = self.nodes.iter_mut().map(|it| it.engine.usage(now));
        usages.fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1))
    }

    fn handle(&mut self, event: &Event) {
        match *event {
            Event::RequestArrival(request) => self.handle_arrival(request),
            Event::Dispatch => {
                self.dispatch_at = None;
                self.dispatch_all();
            }
            Event::LoadEnd {
                engine,
                request,
                incarnation,
            } => {
                self.end_load(engine, request, incarnation);
            }
            Event::RequestEnd {
                engine,
                request,
                incarnation,
            } => {
                self.end_request(engine, request, incarnation);
            }
            Event::Deadline(request) => self.handle_deadline(request),
            Event::EngineRestart => self.restart_engines(),
            Event::StoreHealth(health) => self.store.set_health(health),
            Event::WarmUpEnd => self.warm_up_usage = self.usage(),
        }
    }

    /// Returns whether a request arrived after the warm-up.
    fn is_measured(&self, request: usize) -> bool {
        self.trace[request].at >= WARM_UP
    }

    fn handle_arrival(&mut self, request: usize) {
        if self.is_measured(request) {
            self.metrics.requests += 1;
        }
        let nodes = self.nodes.iter().enumerate();
        let least_loaded =
            nodes.min_by_key(|(_, it)| it.engine.running as usize + it.loading + it.queue.len());
        let engine = least_loaded.map_or(0, |(index, _)| index);
        self.nodes[engine].queue.push_back(request);
        self.dispatch(engine);
    }

    fn dispatch_all(&mut self) {
        for engine in 0..self.nodes.len() {
            self.dispatch(engine);
        }
    }

    /// Starts the waiting requests of an engine, or loads for them, in the order of arrival.
    fn dispatch(&mut self, engine: usize) {
        let mut waiting = VecDeque::new();
        while let Some(request) = self.nodes[engine].queue.pop_front() {
            if self.phases[request] != Phase::Waiting {
                continue;
            }
            if !self.try_start(engine, request) && !self.try_load(engine, request) {
                waiting.push_back(request);
            }
        }
        self.nodes[engine].queue = waiting;
    }

    /// Starts a request. Returns whether the engine had room in its batch and held the adapter.
    fn try_start(&mut self, engine: usize, request: usize) -> bool {
        let arrival = &self.trace[request];
        let node = &mut self.nodes[engine];
        if node.engine.running >= self.deployment.batch_size {
            return false;
        }
        let loaded = &self.adapter_ids[arrival.adapter];
        let Some(run) = node.engine.start(loaded, arrival.answer_tokens, self.now) else {
            return false;
        };
        if let Some(index) = node.engine.loaded.iter().position(|(it, _)| it == loaded) {
            node.last_used_at[index] = self.now;
        }
        let incarnation = node.engine.incarnation;
        self.phases[request] = Phase::Running;
        self.run_times[request] = run.last;
        if self.is_measured(request) {
            let stall = self.now - self.trace[request].at;
            self.metrics.stalls.push((stall, self.trace[request].at));
            // The token still has to reach the host.
            self.metrics
                .first_token_times
                .push(stall + run.first + MILLISECOND);
        }
        self.events.schedule(
            self.now + run.last,
            Event::RequestEnd {
                engine,
                request,
                incarnation,
            },
        );
        true
    }

    /// Starts a load for a request, in a free slot or in the slot of the least recently used idle
    /// adapter. Returns whether the load was started.
    fn try_load(&mut self, engine: usize, request: usize) -> bool {
        let adapter = &self.adapter_ids[self.trace[request].adapter];
        let node = &self.nodes[engine];
        if node.engine.loaded.iter().any(|(it, _)| it == adapter) {
            return false;
        }
        let is_full =
            node.engine.loaded.len() + node.loading >= self.deployment.slots_per_engine as usize;
        let idle = (0..node.engine.loaded.len()).filter(|it| node.engine.loaded[*it].1 == 0);
        let victim = idle.min_by_key(|it| node.last_used_at[*it]);
        if is_full && victim.is_none() {
            return false;
        }
        let ready_at = self.store.next_load_at(self.now);
        if ready_at > self.now {
            self.schedule_dispatch(ready_at);
            return false;
        }
        let Reply::Accepted(time) = self.store.begin_load(self.now) else {
            self.schedule_dispatch(self.now + LOAD_RETRY_DELAY);
            return false;
        };
        let node = &mut self.nodes[engine];
        if let Some(victim) = victim.filter(|_| is_full) {
            node.engine.loaded.remove(victim);
            node.last_used_at.remove(victim);
            self.metrics.evictions += 1;
        }
        node.loading += 1;
        self.phases[request] = Phase::Loading;
        let incarnation = node.engine.incarnation;
        self.events.schedule(
            self.now + time,
            Event::LoadEnd {
                engine,
                request,
                incarnation,
            },
        );
        true
    }

    /// Schedules a dispatch unless an earlier one is scheduled.
    fn schedule_dispatch(&mut self, at: Micros) {
        if self.dispatch_at.is_some_and(|it| it <= at) {
            return;
        }
        self.dispatch_at = Some(at);
        self.events.schedule(at, Event::Dispatch);
    }

    fn end_load(&mut self, engine: usize, request: usize, incarnation: u64) {
        self.store.end_load();
        let node = &mut self.nodes[engine];
        let is_awaited = self.phases[request] == Phase::Loading;
        if is_awaited {
            self.phases[request] = Phase::Waiting;
            node.queue.push_front(request);
        }
        if node.engine.incarnation == incarnation {
            node.loading -= 1;
            let loaded = &self.adapter_ids[self.trace[request].adapter];
            let is_new = node.engine.loaded.iter().all(|(it, _)| it != loaded);
            if is_new {
                node.engine.loaded.push((loaded.clone(), 0));
                node.last_used_at.push(self.now);
            }
        }
        self.dispatch(engine);
    }

    fn end_request(&mut self, engine: usize, request: usize, incarnation: u64) {
        self.phases[request] = Phase::Ended;
        let node = &mut self.nodes[engine];
        let is_complete = node.engine.incarnation == incarnation;
        if is_complete {
            node.engine
                .finish(&self.adapter_ids[self.trace[request].adapter], self.now);
        }
        if self.is_measured(request) {
            let arrival = &self.trace[request];
            if is_complete && self.now <= arrival.at + arrival.time_limit {
                self.metrics.in_time += 1;
                self.metrics.useful_time += self.run_times[request];
            } else {
                self.metrics.deadline_misses += 1;
            }
        }
        self.dispatch(engine);
    }

    /// Ends a request at its deadline, unless it is already running.
    fn handle_deadline(&mut self, request: usize) {
        if !matches!(self.phases[request], Phase::Waiting | Phase::Loading) {
            return;
        }
        self.phases[request] = Phase::Ended;
        if self.is_measured(request) {
            let arrival = &self.trace[request];
            self.metrics.stalls.push((arrival.time_limit, arrival.at));
            self.metrics.deadline_misses += 1;
        }
    }

    fn restart_engines(&mut self) {
        for node in &mut self.nodes {
            node.engine.restart(self.now);
            node.last_used_at.clear();
            node.loading = 0;
        }
        self.dispatch_all();
    }
}

/// Returns the identity of an adapter at an engine. The naive placement does not use epochs.
fn adapter_id(adapter: usize) -> Loaded {
    Loaded {
        reference: adapter_reference(adapter),
        epoch: 0,
    }
}
