//! Simulates engines, the weight store and callers on a simulated clock.

use std::collections::{BTreeMap, BTreeSet};

use fleet::load_time::Source;

use super::{
    engine::{Engine, Output},
    installation::{CALLER_TIMEOUT, FIRST_EVENT_TARGET, Installation, LOAD_TIME, RELOAD_TIME},
    metrics::Metrics,
    pattern::{Arrival, DISTURBANCE, Pattern},
};
use crate::event_queue::{EventQueue, MILLISECOND, Micros, SECOND};

/// One-way delay of a message between two machines.
pub const MESSAGE_DELAY: Micros = 1400;

/// Time between two heartbeats of a host.
pub const HEARTBEAT_INTERVAL: Micros = 200 * MILLISECOND;

/// Time from the start of an engine until the list of engines shows the engine to hosts.
const LISTING_DELAY: Micros = 1500 * MILLISECOND;

/// Time from which hosts send no more heartbeats, even if requests are unanswered.
const HEARTBEAT_END: Micros = 90 * SECOND;

/// A scheduled event of the simulation. Requests, engines and adapters are given by their indexes.
#[derive(Debug)]
pub enum Event<M> {
    /// A request arrives, or its host tries again to place it.
    Placement(usize),
    /// A request reaches an engine. The last number is the prompt tokens that the engine has to
    /// process.
    RequestReceived(usize, usize, u32),
    /// A step of an engine ends. The number is the incarnation in which the step started.
    StepEnd(usize, u64),
    /// A load ends: the engine, the incarnation in which the load started, the adapter, and its source.
    LoadEnd(usize, u64, usize, Source),
    /// Hosts send their heartbeats.
    Heartbeat,
    /// A message between hosts arrives, or a timer of a host expires.
    Message(M),
    /// Engines crash.
    EngineCrash,
    /// An engine has restarted without adapters.
    EngineRestart(usize),
    /// Hosts learn that an engine has restarted.
    EngineListed(usize),
}

/// The state of a request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request as it arrived.
    pub arrival: Arrival,
    /// Engine to which the request was sent last, and when.
    pub sent_to: Option<(usize, Micros)>,
    /// Time of the first event.
    pub first_event_at: Option<Micros>,
    /// Time of the last event.
    last_event_at: Micros,
    /// Longest pause between two events.
    longest_pause: Micros,
    /// True if the request was completed or refused.
    is_done: bool,
    /// Time of the next attempt to place the request. Attempts that are scheduled for another time
    /// are skipped.
    placement_at: Option<Micros>,
}

/// A placement policy, which decides for all hosts.
pub trait Placer {
    /// Message between hosts, or a timer of a host.
    type Message;

    /// Tries to place a request.
    fn place(&mut self, simulation: &mut Simulation<Self::Message>, request: usize);
    /// Handles a request that arrived at an engine without its adapter.
    fn on_missing_adapter(
        &mut self,
        simulation: &mut Simulation<Self::Message>,
        request: usize,
        engine: usize,
    );
    /// Handles a request that was lost with its engine.
    fn on_engine_lost(
        &mut self,
        simulation: &mut Simulation<Self::Message>,
        request: usize,
        engine: usize,
    );
    /// Handles the first event of a request.
    fn on_first_event(
        &mut self,
        simulation: &mut Simulation<Self::Message>,
        request: usize,
        engine: usize,
    );
    /// Handles the end of a request.
    fn on_request_end(
        &mut self,
        simulation: &mut Simulation<Self::Message>,
        request: usize,
        engine: usize,
    );
    /// Handles the end of a load.
    fn on_loaded(
        &mut self,
        simulation: &mut Simulation<Self::Message>,
        engine: usize,
        adapter: usize,
    );
    /// Handles the listing of an engine in a new incarnation.
    fn on_listed(&mut self, simulation: &mut Simulation<Self::Message>, engine: usize);
    /// Handles a message or a timer.
    fn on_message(&mut self, simulation: &mut Simulation<Self::Message>, message: Self::Message);
    /// Sends the heartbeats of all hosts.
    fn on_heartbeat(&mut self, simulation: &mut Simulation<Self::Message>);
}

/// The simulated installation except for its hosts.
pub struct Simulation<M> {
    /// The installation.
    pub installation: Installation,
    /// Current time.
    pub now: Micros,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The requests.
    pub requests: Vec<Request>,
    events: EventQueue<Event<M>>,
    /// Number of loads in flight.
    loads_in_flight: usize,
    /// Number of running requests, by engine and adapter.
    running: BTreeMap<(usize, usize), usize>,
    metrics: Metrics,
}

/// Simulates the requests of a trace and returns the measurements.
pub fn run<P: Placer>(
    installation: &Installation,
    pattern: Pattern,
    trace: &[Arrival],
    mut placer: P,
) -> Metrics {
    let mut simulation = Simulation::new(installation, trace);
    if pattern.crashed_engines(installation) > 0 {
        simulation
            .events
            .schedule(DISTURBANCE.0, Event::EngineCrash);
    }
    simulation.events.schedule(0, Event::Heartbeat);
    while let Some((at, event)) = simulation.events.pop() {
        simulation.now = at;
        match event {
            Event::Placement(it) if simulation.requests[it].placement_at == Some(at) => {
                simulation.requests[it].placement_at = None;
                placer.place(&mut simulation, it);
            }
            Event::Placement(_) => {}
            Event::RequestReceived(it, engine, prefill_tokens) => {
                receive_request(&mut simulation, &mut placer, it, engine, prefill_tokens);
            }
            Event::StepEnd(engine, incarnation) => {
                end_step(&mut simulation, &mut placer, engine, incarnation);
            }
            Event::LoadEnd(engine, incarnation, adapter, source) => {
                if source == Source::Store {
                    simulation.loads_in_flight -= 1;
                }
                if simulation.engines[engine].incarnation == incarnation
                    && simulation.engines[engine].is_up
                {
                    let now = simulation.now;
                    simulation.engines[engine]
                        .in_flight
                        .retain(|it| *it != adapter);
                    simulation.engines[engine].held.insert(adapter, now);
                    placer.on_loaded(&mut simulation, engine, adapter);
                }
            }
            Event::Heartbeat => {
                placer.on_heartbeat(&mut simulation);
                if at < HEARTBEAT_END && simulation.requests.iter().any(|it| !it.is_done) {
                    simulation
                        .events
                        .schedule(at + HEARTBEAT_INTERVAL, Event::Heartbeat);
                }
            }
            Event::Message(it) => placer.on_message(&mut simulation, it),
            Event::EngineCrash => crash_engines(
                &mut simulation,
                &mut placer,
                pattern.crashed_engines(installation),
            ),
            Event::EngineRestart(engine) => {
                simulation.engines[engine].is_up = true;
                simulation.engines[engine].incarnation += 1;
                simulation
                    .events
                    .schedule(at + LISTING_DELAY, Event::EngineListed(engine));
            }
            Event::EngineListed(engine) => placer.on_listed(&mut simulation, engine),
        }
    }
    simulation.metrics
}

/// Handles a request that reaches an engine.
fn receive_request<P: Placer>(
    simulation: &mut Simulation<P::Message>,
    placer: &mut P,
    request: usize,
    engine: usize,
    prefill_tokens: u32,
) {
    let adapter = simulation.requests[request].arrival.adapter;
    if !simulation.engines[engine].is_up {
        placer.on_engine_lost(simulation, request, engine);
        return;
    }
    let now = simulation.now;
    let Some(used) = simulation.engines[engine].held.get_mut(&adapter) else {
        simulation.metrics.adapter_misses += 1;
        placer.on_missing_adapter(simulation, request, engine);
        return;
    };
    *used = now;
    *simulation.running.entry((engine, adapter)).or_default() += 1;
    let answer_tokens = simulation.requests[request].arrival.answer_tokens;
    simulation.engines[engine].enqueue(request, prefill_tokens, answer_tokens);
    if !simulation.engines[engine].is_stepping {
        simulation.begin_step(engine);
    }
}

/// Handles the end of a step.
fn end_step<P: Placer>(
    simulation: &mut Simulation<P::Message>,
    placer: &mut P,
    engine: usize,
    incarnation: u64,
) {
    if simulation.engines[engine].incarnation != incarnation || !simulation.engines[engine].is_up {
        return;
    }
    let installation = simulation.installation.clone();
    for output in simulation.engines[engine].end_step(&installation) {
        match output {
            Output::Event(it) => {
                if simulation.record_event(it) {
                    placer.on_first_event(simulation, it, engine);
                }
            }
            Output::End(it) => {
                if simulation.record_event(it) {
                    placer.on_first_event(simulation, it, engine);
                }
                simulation.end_request(it, engine);
                placer.on_request_end(simulation, it, engine);
            }
        }
    }
    simulation.begin_step(engine);
}

/// Crashes the first `count` engines and schedules their restarts.
fn crash_engines<P: Placer>(simulation: &mut Simulation<P::Message>, placer: &mut P, count: usize) {
    for engine in 0..count {
        let lost_requests = simulation.engines[engine].crash();
        simulation.running.retain(|it, _| it.0 != engine);
        simulation
            .events
            .schedule(DISTURBANCE.1, Event::EngineRestart(engine));
        for request in lost_requests {
            placer.on_engine_lost(simulation, request, engine);
        }
    }
}

impl<M> Simulation<M> {
    fn new(installation: &Installation, trace: &[Arrival]) -> Self {
        let mut events = EventQueue::default();
        for (request, it) in trace.iter().enumerate() {
            events.schedule(it.at, Event::Placement(request));
        }
        let requests = trace.iter().map(|it| Request {
            arrival: it.clone(),
            sent_to: None,
            first_event_at: None,
            last_event_at: 0,
            longest_pause: 0,
            is_done: false,
            placement_at: Some(it.at),
        });
        let unique_adapters: BTreeSet<usize> = trace.iter().map(|it| it.adapter).collect();
        Self {
            installation: installation.clone(),
            now: 0,
            engines: (0..installation.engines).map(Engine::new).collect(),
            requests: requests.collect(),
            events,
            loads_in_flight: 0,
            running: BTreeMap::new(),
            metrics: Metrics {
                requests: trace.len(),
                unique_adapters: unique_adapters.len(),
                ..Metrics::default()
            },
        }
    }

    /// Schedules a message between hosts or a timer.
    pub fn schedule_message(&mut self, after: Micros, message: M) {
        self.events
            .schedule(self.now + after, Event::Message(message));
    }

    /// Schedules another attempt to place a request unless an earlier one is scheduled.
    pub fn schedule_placement(&mut self, after: Micros, request: usize) {
        let at = self.now + after;
        let placement_at = &mut self.requests[request].placement_at;
        if placement_at.is_none_or(|it| it > at) {
            *placement_at = Some(at);
            self.events.schedule(at, Event::Placement(request));
        }
    }

    /// Sends a request to an engine.
    pub fn send_request(&mut self, request: usize, engine: usize, prefill_tokens: u32) {
        self.requests[request].sent_to = Some((engine, self.now));
        let event = Event::RequestReceived(request, engine, prefill_tokens);
        self.events.schedule(self.now + MESSAGE_DELAY, event);
    }

    /// Returns whether a request was completed or refused.
    pub fn is_done(&self, request: usize) -> bool {
        self.requests[request].is_done
    }

    /// Returns whether the caller of a request has given up.
    pub fn is_abandoned(&self, request: usize) -> bool {
        self.now > self.requests[request].arrival.at + CALLER_TIMEOUT
    }

    /// Refuses a request.
    pub fn refuse(&mut self, request: usize) {
        if !std::mem::replace(&mut self.requests[request].is_done, true) {
            self.metrics.unserved += 1;
        }
    }

    /// Returns the number of requests that run with an adapter at an engine.
    pub fn running_requests(&self, engine: usize, adapter: usize) -> usize {
        self.running.get(&(engine, adapter)).copied().unwrap_or(0)
    }

    /// Starts a load of an adapter at an engine.
    pub fn load(&mut self, engine: usize, adapter: usize) {
        let adapter_slots = self.installation.adapter_slots;
        let it = &mut self.engines[engine];
        it.in_flight.push(adapter);
        assert!(
            it.held.len() + it.in_flight.len() <= adapter_slots,
            "an engine has more adapters than slots"
        );
        it.accepted_orders += 1;
        if it.take_from_memory(adapter) {
            self.metrics.reloads += 1;
            let event = Event::LoadEnd(engine, it.incarnation, adapter, Source::Memory);
            self.events.schedule(self.now + RELOAD_TIME, event);
            return;
        }
        self.metrics.loads += 1;
        self.loads_in_flight += 1;
        let load_count = self
            .loads_in_flight
            .max(self.installation.max_full_speed_loads);
        let time = LOAD_TIME * u64::try_from(load_count).unwrap_or(1);
        let time = time / u64::try_from(self.installation.max_full_speed_loads).unwrap_or(1);
        let event = Event::LoadEnd(engine, it.incarnation, adapter, Source::Store);
        self.events.schedule(self.now + time, event);
    }

    /// Unloads an adapter from an engine. Returns false if a request runs with the adapter.
    pub fn unload(&mut self, engine: usize, adapter: usize) -> bool {
        if self.running_requests(engine, adapter) > 0 {
            return false;
        }
        self.engines[engine].unload(adapter);
        self.engines[engine].accepted_orders += 1;
        true
    }

    /// Starts the next step of an engine if it has requests.
    fn begin_step(&mut self, engine: usize) {
        let installation = self.installation.clone();
        if let Some(time) = self.engines[engine].begin_step(&installation, self.now) {
            let incarnation = self.engines[engine].incarnation;
            self.events
                .schedule(self.now + time, Event::StepEnd(engine, incarnation));
        }
    }

    /// Records an event of a stream. Returns whether it is the first event.
    fn record_event(&mut self, request: usize) -> bool {
        let now = self.now;
        let it = &mut self.requests[request];
        if it.first_event_at.is_some() {
            it.longest_pause = it.longest_pause.max(now - it.last_event_at);
        }
        it.last_event_at = now;
        if it.first_event_at.is_some() {
            return false;
        }
        it.first_event_at = Some(now);
        self.metrics.first_event_times.push(now - it.arrival.at);
        true
    }

    /// Ends a request and classifies it by its delays.
    fn end_request(&mut self, request: usize, engine: usize) {
        let adapter = self.requests[request].arrival.adapter;
        if let Some(it) = self.running.get_mut(&(engine, adapter)) {
            *it = it.saturating_sub(1);
        }
        let max_event_gap = self.installation.max_event_gap;
        let it = &mut self.requests[request];
        if std::mem::replace(&mut it.is_done, true) {
            return;
        }
        let first_event_time = it.first_event_at.map_or(0, |at| at - it.arrival.at);
        if first_event_time > FIRST_EVENT_TARGET {
            self.metrics.late_first_events += 1;
        } else if it.longest_pause > max_event_gap {
            self.metrics.late_pauses += 1;
        } else {
            self.metrics.in_time += 1;
        }
    }
}
