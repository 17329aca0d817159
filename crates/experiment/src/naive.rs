//! The differential reference: the engine with the least load, a load for each request that finds
//! its adapter missing, eviction of the least recently used, no admission.

use std::collections::VecDeque;

use kernel::reference::Loaded;

use crate::{
    agenda::{Agenda, MILLI, Micros},
    deployment::Deployment,
    figures::Figures,
    fleet::reference,
    machine::Machine,
    scenario::{EVENT, LENGTH, OUTAGE, Scenario, WARM_UP},
    store::{Health, Reply, Store},
    trace::Arrival,
};

/// How long a load that the store failed waits for its next try.
const RETRY: Micros = 250 * MILLI;

enum Happening {
    Arrive(usize),
    Pump,
    LoadEnded {
        engine: usize,
        request: usize,
        incarnation: u64,
    },
    Finish {
        engine: usize,
        request: usize,
        incarnation: u64,
    },
    Leave(usize),
    Restart,
    Store(Health),
    Mark,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Waiting,
    Loading,
    Running,
    Ended,
}

#[derive(Debug)]
struct Node {
    machine: Machine,
    used: Vec<Micros>,
    loading: usize,
    queue: VecDeque<usize>,
}

struct Fleet<'a> {
    deployment: &'a Deployment,
    trace: &'a [Arrival],
    now: Micros,
    agenda: Agenda<Happening>,
    nodes: Vec<Node>,
    phases: Vec<Phase>,
    runs: Vec<Micros>,
    names: Vec<Loaded>,
    store: Store,
    pump_at: Option<Micros>,
    marked: (Micros, Micros),
    figures: Figures,
}

/// Runs a scenario and measures it.
pub fn run(deployment: &Deployment, scenario: Scenario, trace: &[Arrival]) -> Figures {
    let node = |_| Node {
        machine: Machine::default(),
        used: Vec::new(),
        loading: 0,
        queue: VecDeque::new(),
    };
    let mut fleet = Fleet {
        deployment,
        trace,
        now: 0,
        agenda: Agenda::default(),
        nodes: (0..deployment.engines).map(node).collect(),
        phases: vec![Phase::Waiting; trace.len()],
        runs: vec![0; trace.len()],
        names: (0..deployment.adapters).map(name).collect(),
        store: Store::new(deployment),
        pump_at: None,
        marked: (0, 0),
        figures: Figures {
            batch: deployment.batch,
            places: deployment.places(),
            length: LENGTH - WARM_UP,
            ..Figures::default()
        },
    };
    fleet.script(scenario);
    fleet.run()
}

impl Fleet<'_> {
    fn script(&mut self, scenario: Scenario) {
        match scenario {
            Scenario::Restart => self.agenda.plan(EVENT, Happening::Restart),
            Scenario::Outage => {
                self.agenda.plan(EVENT, Happening::Store(Health::Down));
                self.agenda
                    .plan(EVENT + OUTAGE, Happening::Store(Health::Up));
            }
            _ => {}
        }
        self.agenda.plan(WARM_UP, Happening::Mark);
        for (index, arrival) in self.trace.iter().enumerate() {
            self.agenda.plan(arrival.at, Happening::Arrive(index));
            self.agenda
                .plan(arrival.at + arrival.patience, Happening::Leave(index));
        }
    }

    fn run(mut self) -> Figures {
        while let Some((at, happening)) = self.agenda.pop() {
            if at > LENGTH {
                break;
            }
            self.now = at;
            self.step(&happening);
        }
        self.now = LENGTH;
        let (busy, work) = self.usage();
        self.figures.busy = busy - self.marked.0;
        self.figures.work = work - self.marked.1;
        self.figures.loads = self.store.begun.len() as u64;
        self.figures.peak_rate = self.store.peak_rate() as u64;
        self.figures.peak_in_flight = u64::from(self.store.peak_in_flight);
        self.figures
    }

    fn usage(&mut self) -> (Micros, Micros) {
        let now = self.now;
        let usages = self.nodes.iter_mut().map(|it| it.machine.usage(now));
        usages.fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1))
    }

    fn step(&mut self, happening: &Happening) {
        match *happening {
            Happening::Arrive(request) => self.arrive(request),
            Happening::Pump => {
                self.pump_at = None;
                self.pump_all();
            }
            Happening::LoadEnded {
                engine,
                request,
                incarnation,
            } => {
                self.load_ended(engine, request, incarnation);
            }
            Happening::Finish {
                engine,
                request,
                incarnation,
            } => {
                self.finish(engine, request, incarnation);
            }
            Happening::Leave(request) => self.leave(request),
            Happening::Restart => self.restart(),
            Happening::Store(health) => self.store.set_health(health),
            Happening::Mark => self.marked = self.usage(),
        }
    }

    fn counts(&self, request: usize) -> bool {
        self.trace[request].at >= WARM_UP
    }

    fn arrive(&mut self, request: usize) {
        if self.counts(request) {
            self.figures.requests += 1;
        }
        let loads = self.nodes.iter().enumerate();
        let least =
            loads.min_by_key(|(_, it)| it.machine.running as usize + it.loading + it.queue.len());
        let engine = least.map_or(0, |(index, _)| index);
        self.nodes[engine].queue.push_back(request);
        self.pump(engine);
    }

    fn pump_all(&mut self) {
        for engine in 0..self.nodes.len() {
            self.pump(engine);
        }
    }

    /// Starts what can start on an engine, in the order of arrival.
    fn pump(&mut self, engine: usize) {
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

    fn try_start(&mut self, engine: usize, request: usize) -> bool {
        let arrival = &self.trace[request];
        let node = &mut self.nodes[engine];
        if node.machine.running >= self.deployment.batch {
            return false;
        }
        let loaded = &self.names[arrival.adapter];
        let Some(run) = node.machine.start(loaded, arrival.tokens, self.now) else {
            return false;
        };
        if let Some(place) = node.machine.loaded.iter().position(|(it, _)| it == loaded) {
            node.used[place] = self.now;
        }
        let incarnation = node.machine.incarnation;
        self.phases[request] = Phase::Running;
        self.runs[request] = run.last;
        if self.counts(request) {
            let stall = self.now - self.trace[request].at;
            self.figures.stalls.push((stall, self.trace[request].at));
            self.figures.first_tokens.push(stall + run.first + MILLI);
        }
        self.agenda.plan(
            self.now + run.last,
            Happening::Finish {
                engine,
                request,
                incarnation,
            },
        );
        true
    }

    /// Loads for one request, in a free slot or in that of the least recently used idle adapter.
    fn try_load(&mut self, engine: usize, request: usize) -> bool {
        let adapter = &self.names[self.trace[request].adapter];
        let node = &self.nodes[engine];
        if node.machine.loaded.iter().any(|(it, _)| it == adapter) {
            return false;
        }
        let is_full = node.machine.loaded.len() + node.loading >= self.deployment.slots as usize;
        let idle = (0..node.machine.loaded.len()).filter(|it| node.machine.loaded[*it].1 == 0);
        let victim = idle.min_by_key(|it| node.used[*it]);
        if is_full && victim.is_none() {
            return false;
        }
        let ready_at = self.store.ready_at(self.now);
        if ready_at > self.now {
            self.plan_pump(ready_at);
            return false;
        }
        let Reply::Takes(time) = self.store.begin(self.now) else {
            self.plan_pump(self.now + RETRY);
            return false;
        };
        let node = &mut self.nodes[engine];
        if let Some(victim) = victim.filter(|_| is_full) {
            node.machine.loaded.remove(victim);
            node.used.remove(victim);
            self.figures.evictions += 1;
        }
        node.loading += 1;
        self.phases[request] = Phase::Loading;
        let incarnation = node.machine.incarnation;
        self.agenda.plan(
            self.now + time,
            Happening::LoadEnded {
                engine,
                request,
                incarnation,
            },
        );
        true
    }

    fn plan_pump(&mut self, at: Micros) {
        if self.pump_at.is_some_and(|it| it <= at) {
            return;
        }
        self.pump_at = Some(at);
        self.agenda.plan(at, Happening::Pump);
    }

    fn load_ended(&mut self, engine: usize, request: usize, incarnation: u64) {
        self.store.end();
        let node = &mut self.nodes[engine];
        let is_wanted = self.phases[request] == Phase::Loading;
        if is_wanted {
            self.phases[request] = Phase::Waiting;
            node.queue.push_front(request);
        }
        if node.machine.incarnation == incarnation {
            node.loading -= 1;
            let loaded = &self.names[self.trace[request].adapter];
            let is_new = node.machine.loaded.iter().all(|(it, _)| it != loaded);
            if is_new {
                node.machine.loaded.push((loaded.clone(), 0));
                node.used.push(self.now);
            }
        }
        self.pump(engine);
    }

    fn finish(&mut self, engine: usize, request: usize, incarnation: u64) {
        self.phases[request] = Phase::Ended;
        let node = &mut self.nodes[engine];
        let is_whole = node.machine.incarnation == incarnation;
        if is_whole {
            node.machine
                .finish(&self.names[self.trace[request].adapter], self.now);
        }
        if self.counts(request) {
            let arrival = &self.trace[request];
            if is_whole && self.now <= arrival.at + arrival.patience {
                self.figures.in_time += 1;
                self.figures.useful += self.runs[request];
            } else {
                self.figures.misses += 1;
            }
        }
        self.pump(engine);
    }

    /// The caller gives up at its deadline unless its request runs.
    fn leave(&mut self, request: usize) {
        if !matches!(self.phases[request], Phase::Waiting | Phase::Loading) {
            return;
        }
        self.phases[request] = Phase::Ended;
        if self.counts(request) {
            let arrival = &self.trace[request];
            self.figures.stalls.push((arrival.patience, arrival.at));
            self.figures.misses += 1;
        }
    }

    fn restart(&mut self) {
        for node in &mut self.nodes {
            node.machine.restart(self.now);
            node.used.clear();
            node.loading = 0;
        }
        self.pump_all();
    }
}

/// Engines of the reference name loads without an epoch of any meaning.
fn name(adapter: usize) -> Loaded {
    Loaded {
        reference: reference(adapter),
        epoch: 0,
    }
}
