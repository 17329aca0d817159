//! The decision code of all entry hosts of a fleet, driven against the models of engines and store.

mod entry;
mod lending;
mod setup;
mod upstreams;

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
    agenda::{Agenda, MILLI, Micros},
    deployment::Deployment,
    figures::Figures,
    machine::Machine,
    scenario::{LENGTH, Scenario},
    store::{Health, Store},
    trace::Arrival,
};

/// One way between hosts of one failure domain.
const NEAR: Micros = 200;

/// One way between hosts of different failure domains.
const FAR: Micros = MILLI;

/// The entry host that keeps the pool of the store's limits.
const LENDER: usize = 0;

/// How late entry hosts hear what a steward publishes.
const DIRECTORY_LAG: Micros = 50 * MILLI;

/// How late a steward hears of an engine's restart.
const RESTART_NOTICE: Micros = 500 * MILLI;

/// What is going to happen.
#[derive(Debug)]
enum Happening {
    Arrive(usize),
    Tell(usize, Event),
    Tick(usize),
    Hear {
        host: usize,
        from: usize,
        news: News,
    },
    Decided(usize, Verdict),
    Redirected(usize),
    Start(usize, Permit),
    Finish(usize, Permit, u64),
    Load(Command),
    LoadEnded(Command, u64),
    Unload(Command),
    Inspect(usize, usize),
    Demand(usize, Demand),
    Lend,
    Restart,
    Store(Health),
    Mark,
}

/// What a steward publishes.
#[derive(Clone, Debug)]
enum News {
    Engine(Upstream, Change),
    Backlog(Backlog),
}

/// An order on its way to an engine.
#[derive(Clone, Debug)]
struct Command {
    host: usize,
    order: Order,
    engine: usize,
    loaded: Loaded,
}

/// An entry host.
#[derive(Debug)]
struct Member {
    name: Host,
    domain: usize,
    state: State,
    directory: Directory,
    tick: Option<Micros>,
}

/// How far a request has come.
#[derive(Debug, Default)]
struct Progress {
    attempts: u32,
    candidates: Vec<Candidate>,
    next: usize,
    steward: usize,
    stall: Micros,
    run: Micros,
}

/// A fleet in the middle of a run.
pub struct Fleet<'a> {
    deployment: &'a Deployment,
    trace: &'a [Arrival],
    base: Instant,
    now: Micros,
    agenda: Agenda<Happening>,
    members: Vec<Member>,
    machines: Vec<Machine>,
    loading: Vec<u32>,
    store: Store,
    pool: Pool,
    lend_at: Option<Micros>,
    references: Vec<Reference>,
    tenants: Vec<Tenant>,
    model: Model,
    progress: Vec<Progress>,
    marked: (Micros, Micros),
    figures: Figures,
}

/// Runs a scenario and measures it.
pub fn run(
    deployment: &Deployment,
    settings: &Settings,
    scenario: Scenario,
    trace: &[Arrival],
) -> Figures {
    let mut fleet = Fleet::new(deployment, settings, trace);
    fleet.script(scenario);
    fleet.run()
}

impl Fleet<'_> {
    fn run(mut self) -> Figures {
        for (index, arrival) in self.trace.iter().enumerate() {
            self.agenda.plan(arrival.at, Happening::Arrive(index));
        }
        while let Some((at, happening)) = self.agenda.pop() {
            if at > LENGTH {
                break;
            }
            self.now = at;
            self.step(happening);
        }
        self.now = LENGTH;
        self.conclude()
    }

    fn step(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive(request) => self.arrive(request),
            Happening::Tell(host, event) => self.tell(host, event),
            Happening::Tick(host) => self.tick(host),
            Happening::Hear { host, from, news } => self.hear(host, from, news),
            Happening::Decided(request, verdict) => self.decided(request, verdict),
            Happening::Redirected(request) => self.ask_next(request),
            Happening::Start(request, permit) => self.start(request, permit),
            Happening::Finish(request, permit, incarnation) => {
                self.finish(request, &permit, incarnation);
            }
            Happening::Load(command) => self.load(command),
            Happening::LoadEnded(command, incarnation) => self.load_ended(&command, incarnation),
            Happening::Unload(command) => self.unload(&command),
            Happening::Inspect(host, engine) => self.report(host, engine),
            Happening::Demand(host, demand) => self.demand(host, demand),
            Happening::Lend => self.lend_due(),
            Happening::Restart => self.restart(),
            Happening::Store(health) => self.store.set_health(health),
            Happening::Mark => self.marked = self.usage(),
        }
    }

    fn usage(&mut self) -> (Micros, Micros) {
        let now = self.now;
        let usages = self.machines.iter_mut().map(|it| it.usage(now));
        usages.fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1))
    }

    fn conclude(mut self) -> Figures {
        let (busy, work) = self.usage();
        self.figures.busy = busy - self.marked.0;
        self.figures.work = work - self.marked.1;
        self.figures.loads = self.store.begun.len() as u64;
        self.figures.over_rate = u64::from(self.store.over_rate);
        self.figures.peak_rate = self.store.peak_rate() as u64;
        self.figures.peak_in_flight = u64::from(self.store.peak_in_flight);
        self.figures
    }

    fn instant(&self) -> Instant {
        self.base + Duration::from_micros(self.now)
    }

    fn tell(&mut self, host: usize, event: Event) {
        let now = self.instant();
        let actions = self.members[host].state.handle(event, now);
        for action in actions {
            self.act(host, action);
        }
        self.plan_tick(host);
    }

    fn tick(&mut self, host: usize) {
        if self.members[host].tick == Some(self.now) {
            self.members[host].tick = None;
            self.tell(host, Event::Tick);
        }
    }

    fn plan_tick(&mut self, host: usize) {
        let member = &mut self.members[host];
        let Some(next) = member.state.next_tick() else {
            return;
        };
        let nanos = next
            .saturating_duration_since(self.base)
            .as_nanos()
            .div_ceil(1_000);
        let at = u64::try_from(nanos).unwrap_or(u64::MAX).max(self.now + 1);
        if member.tick.is_some_and(|it| it <= at) {
            return;
        }
        member.tick = Some(at);
        self.agenda.plan(at, Happening::Tick(host));
    }

    fn act(&mut self, host: usize, action: Action) {
        match action {
            Action::Answer { ticket, verdict } => {
                let request = request_of(ticket);
                let delay = self.between(host, self.trace[request].host);
                self.plan(delay, Happening::Decided(request, verdict));
            }
            Action::Redirect { ticket } => {
                let request = request_of(ticket);
                let delay = self.between(host, self.trace[request].host);
                self.plan(delay, Happening::Redirected(request));
            }
            Action::Load {
                order,
                engine,
                loaded,
                ..
            } => {
                let engine = index_of(&engine);
                let command = Command {
                    host,
                    order,
                    engine,
                    loaded,
                };
                self.plan(self.to_engine(host, engine), Happening::Load(command));
            }
            Action::Unload {
                order,
                engine,
                loaded,
                ..
            } => {
                let engine = index_of(&engine);
                let command = Command {
                    host,
                    order,
                    engine,
                    loaded,
                };
                self.plan(self.to_engine(host, engine), Happening::Unload(command));
            }
            Action::QueryStatus { engine } => {
                let engine = index_of(&engine);
                self.plan(
                    self.to_engine(host, engine),
                    Happening::Inspect(host, engine),
                );
            }
            Action::Publish { engine, change } => self.spread(host, &News::Engine(engine, change)),
            Action::PublishBacklog { backlog } => self.spread(host, &News::Backlog(backlog)),
            Action::SendDemand(demand) => {
                self.plan(self.between(host, LENDER), Happening::Demand(host, demand));
            }
            Action::Superseded { .. } => {}
        }
    }

    fn plan(&mut self, delay: Micros, happening: Happening) {
        self.agenda.plan(self.now + delay, happening);
    }

    fn spread(&mut self, from: usize, news: &News) {
        for host in 0..self.members.len() {
            let news = news.clone();
            let delay = if host == from { 0 } else { DIRECTORY_LAG };
            self.plan(delay, Happening::Hear { host, from, news });
        }
    }

    fn hear(&mut self, host: usize, from: usize, news: News) {
        let steward = self.members[from].name.clone();
        let directory = &mut self.members[host].directory;
        match news {
            News::Engine(engine, change) => directory.apply(&steward, &engine, change),
            News::Backlog(backlog) => directory.set_backlog(&steward, backlog),
        }
    }

    fn between(&self, a: usize, b: usize) -> Micros {
        if a == b {
            0
        } else if self.members[a].domain == self.members[b].domain {
            NEAR
        } else {
            FAR
        }
    }

    fn to_engine(&self, host: usize, engine: usize) -> Micros {
        if engine % self.deployment.domains == self.members[host].domain {
            NEAR
        } else {
            FAR
        }
    }
}

/// The reference of the adapter with an index.
pub fn reference(index: usize) -> Reference {
    format!("service/adapter-{index}@1")
        .parse()
        .expect("the reference is well formed")
}

/// A name that is known to be valid.
pub fn named<N: std::str::FromStr<Err = kernel::name::Invalid>>(text: &str) -> N {
    text.parse().expect("the name is well formed")
}

fn index_of(engine: &Upstream) -> usize {
    let digits = engine.as_str().trim_start_matches("engine-");
    digits.parse().expect("engines are numbered")
}

/// Tickets count the attempts of a request in their lower bits.
const ATTEMPT_BITS: u32 = 8;

fn ticket_of(request: usize, attempt: u32) -> Ticket {
    Ticket(((request as u64) << ATTEMPT_BITS) | u64::from(attempt))
}

fn request_of(ticket: Ticket) -> usize {
    usize::try_from(ticket.0 >> ATTEMPT_BITS).expect("requests are numbered by usize")
}

fn micros(span: Duration) -> Micros {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
