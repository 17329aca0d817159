//! Runs the `steward` code of all entry hosts of a fleet against models of the engines and of the
//! weight store.
//!
//! Entry hosts receive requests. Each engine has one of them as its steward, which grants permits
//! to run requests on the engine and orders its loads and unloads.

mod engines;
mod lending;
mod request;
mod setup;

use std::time::{Duration, Instant};

use kernel::{
    name::{Host, Model, Tenant, Upstream},
    permit::{Permit, Verdict},
    reference::{Loaded, Reference},
};
use steward::{
    Action, Event, Order, Settings, State, Ticket,
    lending::{Demand, Pool},
    route::{Backlog, Candidate, Change, Directory},
};

use crate::{
    deployment::Deployment,
    engine::Engine,
    event_queue::{EventQueue, MILLISECOND, Micros},
    metrics::Metrics,
    scenario::{DURATION, Scenario},
    store::{Health, Store},
    trace::Arrival,
};

/// One-way message delay inside a failure domain.
const SAME_DOMAIN_DELAY: Micros = 200;

/// One-way message delay between failure domains.
const CROSS_DOMAIN_DELAY: Micros = MILLISECOND;

/// Index of the host that lends the store's limits to the stewards.
const LENDER_HOST: usize = 0;

/// Delay until other hosts receive a directory update of a steward.
const DIRECTORY_DELAY: Micros = 50 * MILLISECOND;

/// Delay until a steward notices that an engine restarted.
const RESTART_DETECTION_DELAY: Micros = 500 * MILLISECOND;

/// A scheduled event of the simulation. Requests, hosts and engines are given by their indexes.
#[derive(Debug)]
enum SimEvent {
    /// A request arrives.
    RequestArrival(usize),
    /// A host receives an event for its steward state machine.
    Steward(usize, Event),
    /// The tick that a host's state machine asked for is due.
    Tick(usize),
    /// A host receives a directory update.
    DirectoryUpdate {
        host: usize,
        publisher: usize,
        update: Update,
    },
    /// The host of a request receives the answer to its permit request.
    PermitAnswer(usize, Verdict),
    /// The host of a request learns that the steward redirected it to another steward.
    PermitRedirected(usize),
    /// An admitted request reaches its engine.
    RequestStart(usize, Permit),
    /// A request ends at its engine. The number is the incarnation of the engine in which it
    /// started.
    RequestEnd(usize, Permit, u64),
    /// An engine receives an order to load an adapter.
    Load(Command),
    /// A load ends. The number is the incarnation of the engine in which it started.
    LoadEnd(Command, u64),
    /// An engine receives an order to unload an adapter.
    Unload(Command),
    /// An engine receives a status query. The first index is the host that sent it.
    StatusQuery(usize, usize),
    /// The lender receives the demand of a host.
    Demand(usize, Demand),
    /// The next loan of the lender is due.
    Lend,
    /// All engines restart.
    EngineRestart,
    /// The weight store fails or recovers.
    StoreHealth(Health),
    /// The warm-up ends.
    WarmUpEnd,
}

/// A directory update that a steward publishes to all hosts.
#[derive(Clone, Debug)]
enum Update {
    Engine(Upstream, Change),
    Backlog(Backlog),
}

/// An order that a steward sent to an engine. `loaded` is the adapter to load or unload.
#[derive(Clone, Debug)]
struct Command {
    host: usize,
    order: Order,
    engine: usize,
    loaded: Loaded,
}

/// A simulated host.
#[derive(Debug)]
struct SimHost {
    name: Host,
    domain: usize,
    state: State,
    directory: Directory,
    next_tick_at: Option<Micros>,
}

/// The state of a request.
#[derive(Debug, Default)]
struct Progress {
    attempts: u32,
    candidates: Vec<Candidate>,
    next_candidate: usize,
    /// Host that received the last permit request.
    steward: usize,
    /// Sum of the load stalls of all granted permits.
    stall: Micros,
    /// Time for which the engine runs the request.
    run_time: Micros,
}

/// A running simulation of a fleet.
pub struct Simulation<'a> {
    deployment: &'a Deployment,
    trace: &'a [Arrival],
    /// The instant that corresponds to time 0 of the simulation.
    clock_base: Instant,
    now: Micros,
    events: EventQueue<SimEvent>,
    hosts: Vec<SimHost>,
    engines: Vec<Engine>,
    /// Loads in flight at each engine.
    loading: Vec<u32>,
    store: Store,
    pool: Pool,
    /// Time of the scheduled [`SimEvent::Lend`], if there is one.
    lend_at: Option<Micros>,
    /// Reference of each adapter.
    references: Vec<Reference>,
    tenants: Vec<Tenant>,
    model: Model,
    progress: Vec<Progress>,
    /// Busy and running times of the engines at the end of the warm-up.
    warm_up_usage: (Micros, Micros),
    metrics: Metrics,
}

/// Runs a scenario and returns its measurements.
pub fn run(
    deployment: &Deployment,
    settings: &Settings,
    scenario: Scenario,
    trace: &[Arrival],
) -> Metrics {
    let mut simulation = Simulation::new(deployment, settings, trace);
    simulation.schedule_events(scenario);
    simulation.run()
}

impl Simulation<'_> {
    fn run(mut self) -> Metrics {
        for (index, arrival) in self.trace.iter().enumerate() {
            self.events
                .schedule(arrival.at, SimEvent::RequestArrival(index));
        }
        while let Some((at, event)) = self.events.pop() {
            if at > DURATION {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.now = DURATION;
        self.into_metrics()
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::RequestArrival(request) => self.handle_arrival(request),
            SimEvent::Steward(host, event) => self.deliver(host, event),
            SimEvent::Tick(host) => self.handle_tick(host),
            SimEvent::DirectoryUpdate {
                host,
                publisher,
                update,
            } => self.apply_update(host, publisher, update),
            SimEvent::PermitAnswer(request, verdict) => self.handle_answer(request, verdict),
            SimEvent::PermitRedirected(request) => self.try_next_steward(request),
            SimEvent::RequestStart(request, permit) => self.start_request(request, permit),
            SimEvent::RequestEnd(request, permit, incarnation) => {
                self.end_request(request, &permit, incarnation);
            }
            SimEvent::Load(command) => self.begin_load(command),
            SimEvent::LoadEnd(command, incarnation) => self.end_load(&command, incarnation),
            SimEvent::Unload(command) => self.unload_adapter(&command),
            SimEvent::StatusQuery(host, engine) => self.report_slots(host, engine),
            SimEvent::Demand(host, demand) => self.update_demand(host, demand),
            SimEvent::Lend => self.lend(),
            SimEvent::EngineRestart => self.restart_engines(),
            SimEvent::StoreHealth(health) => self.store.set_health(health),
            SimEvent::WarmUpEnd => self.warm_up_usage = self.usage(),
        }
    }

    /// Returns the busy times and the running times of all engines, each summed up.
    fn usage(&mut self) -> (Micros, Micros) {
        let now = self.now;
        let usages = self.engines.iter_mut().map(|it| it.usage(now));
        usages.fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1))
    }

    /// Completes the measurements.
    fn into_metrics(mut self) -> Metrics {
        let (busy_time, running_time) = self.usage();
        self.metrics.busy_time = busy_time - self.warm_up_usage.0;
        self.metrics.running_time = running_time - self.warm_up_usage.1;
        self.metrics.loads = self.store.load_starts.len() as u64;
        self.metrics.rate_limited_loads = u64::from(self.store.rate_limited_loads);
        self.metrics.peak_load_rate = self.store.peak_load_rate() as u64;
        self.metrics.peak_in_flight = u64::from(self.store.peak_in_flight);
        self.metrics
    }

    /// Returns the current time as an instant for the state machines.
    fn instant(&self) -> Instant {
        self.clock_base + Duration::from_micros(self.now)
    }

    /// Handles an event in the state machine of a host and executes the actions that follow.
    fn deliver(&mut self, host: usize, event: Event) {
        let now = self.instant();
        let actions = self.hosts[host].state.handle(event, now);
        for action in actions {
            self.execute(host, action);
        }
        self.schedule_tick(host);
    }

    fn handle_tick(&mut self, host: usize) {
        if self.hosts[host].next_tick_at == Some(self.now) {
            self.hosts[host].next_tick_at = None;
            self.deliver(host, Event::Tick);
        }
    }

    /// Schedules the next tick of a host unless an earlier one is scheduled.
    fn schedule_tick(&mut self, host: usize) {
        let sim_host = &mut self.hosts[host];
        let Some(next) = sim_host.state.next_tick() else {
            return;
        };
        let micros = next
            .saturating_duration_since(self.clock_base)
            .as_nanos()
            .div_ceil(1_000);
        let at = u64::try_from(micros).unwrap_or(u64::MAX).max(self.now + 1);
        if sim_host.next_tick_at.is_some_and(|it| it <= at) {
            return;
        }
        sim_host.next_tick_at = Some(at);
        self.events.schedule(at, SimEvent::Tick(host));
    }

    /// Executes an action of a host's state machine.
    fn execute(&mut self, host: usize, action: Action) {
        match action {
            Action::Answer { ticket, verdict } => {
                let request = ticket_request(ticket);
                let delay = self.host_delay(host, self.trace[request].host);
                self.schedule(delay, SimEvent::PermitAnswer(request, verdict));
            }
            Action::Redirect { ticket } => {
                let request = ticket_request(ticket);
                let delay = self.host_delay(host, self.trace[request].host);
                self.schedule(delay, SimEvent::PermitRedirected(request));
            }
            Action::Load {
                order,
                engine,
                loaded,
                ..
            } => {
                let engine = engine_index(&engine);
                let command = Command {
                    host,
                    order,
                    engine,
                    loaded,
                };
                self.schedule(self.engine_delay(host, engine), SimEvent::Load(command));
            }
            Action::Unload {
                order,
                engine,
                loaded,
                ..
            } => {
                let engine = engine_index(&engine);
                let command = Command {
                    host,
                    order,
                    engine,
                    loaded,
                };
                self.schedule(self.engine_delay(host, engine), SimEvent::Unload(command));
            }
            Action::QueryStatus { engine } => {
                let engine = engine_index(&engine);
                self.schedule(
                    self.engine_delay(host, engine),
                    SimEvent::StatusQuery(host, engine),
                );
            }
            Action::Publish { engine, change } => {
                self.publish(host, &Update::Engine(engine, change));
            }
            Action::PublishBacklog { backlog } => self.publish(host, &Update::Backlog(backlog)),
            Action::SendDemand(demand) => {
                self.schedule(
                    self.host_delay(host, LENDER_HOST),
                    SimEvent::Demand(host, demand),
                );
            }
            Action::Superseded { .. } => {}
        }
    }

    fn schedule(&mut self, delay: Micros, event: SimEvent) {
        self.events.schedule(self.now + delay, event);
    }

    /// Publishes a directory update to all hosts.
    fn publish(&mut self, publisher: usize, update: &Update) {
        for host in 0..self.hosts.len() {
            let update = update.clone();
            let delay = if host == publisher {
                0
            } else {
                DIRECTORY_DELAY
            };
            self.schedule(
                delay,
                SimEvent::DirectoryUpdate {
                    host,
                    publisher,
                    update,
                },
            );
        }
    }

    fn apply_update(&mut self, host: usize, publisher: usize, update: Update) {
        let steward = self.hosts[publisher].name.clone();
        let directory = &mut self.hosts[host].directory;
        match update {
            Update::Engine(engine, change) => directory.apply(&steward, &engine, change),
            Update::Backlog(backlog) => directory.set_backlog(&steward, backlog),
        }
    }

    /// Returns the message delay between two hosts.
    fn host_delay(&self, from: usize, to: usize) -> Micros {
        if from == to {
            0
        } else if self.hosts[from].domain == self.hosts[to].domain {
            SAME_DOMAIN_DELAY
        } else {
            CROSS_DOMAIN_DELAY
        }
    }

    /// Returns the message delay between a host and an engine.
    fn engine_delay(&self, host: usize, engine: usize) -> Micros {
        if engine % self.deployment.domains == self.hosts[host].domain {
            SAME_DOMAIN_DELAY
        } else {
            CROSS_DOMAIN_DELAY
        }
    }
}

/// Returns the reference of the adapter with an index.
pub fn adapter_reference(index: usize) -> Reference {
    format!("service/adapter-{index}@1")
        .parse()
        .expect("the reference is well formed")
}

/// Parses a name that is known to be valid.
pub fn parse_name<N: std::str::FromStr<Err = kernel::name::Invalid>>(text: &str) -> N {
    text.parse().expect("the name is well formed")
}

fn engine_index(engine: &Upstream) -> usize {
    let digits = engine.as_str().trim_start_matches("engine-");
    digits.parse().expect("engines are numbered")
}

/// Number of low bits of a ticket that hold the attempt. The higher bits hold the request.
const ATTEMPT_BITS: u32 = 8;

fn pack_ticket(request: usize, attempt: u32) -> Ticket {
    Ticket(((request as u64) << ATTEMPT_BITS) | u64::from(attempt))
}

fn ticket_request(ticket: Ticket) -> usize {
    usize::try_from(ticket.0 >> ATTEMPT_BITS).expect("requests are numbered by usize")
}

fn to_micros(span: Duration) -> Micros {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
