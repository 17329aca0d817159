//! Engines, the weight store and callers on a simulated clock.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    engine::{Engine, Made},
    metrics::Metrics,
    pattern::{Arrival, Pattern, TROUBLE},
    shape::{FETCH, PATIENCE, Shape, TARGET},
};
use crate::event_queue::{EventQueue, MILLISECOND, Micros, SECOND};

/// Way of a message between two machines.
pub const WAY: Micros = 1400;

/// Time between two regular words of a host.
pub const REGULAR: Micros = 200 * MILLISECOND;

/// Time after its start until the list of engines shows an engine to hosts.
const LISTED: Micros = 1500 * MILLISECOND;

/// When hosts stop talking, whatever is not answered then.
const END: Micros = 90 * SECOND;

/// Something that is going to happen.
#[derive(Debug)]
pub enum Event<W> {
    /// A request comes, or its host looks again where it can go.
    Look(usize),
    /// A request reaches an engine, which has to read so many tokens of it.
    Reach(usize, usize, u32),
    /// A step of one life of an engine ends.
    Step(usize, u64),
    /// An adapter is there at one life of an engine.
    Loaded(usize, u64, usize),
    /// Hosts tell each other how they do.
    Regular,
    /// A word between hosts arrives, or a host's timer ends.
    Word(W),
    /// Engines are lost.
    Crash,
    /// An engine is back, without adapters.
    Back(usize),
    /// Hosts learn that an engine is back.
    Listed(usize),
}

/// A request on its way.
#[derive(Clone, Debug)]
pub struct Request {
    /// What was asked.
    pub asked: Arrival,
    /// The engine that it was sent to, and when.
    pub sent: Option<(usize, Micros)>,
    /// When its first event came.
    pub first: Option<Micros>,
    last: Micros,
    gap: Micros,
    over: bool,
    /// When its host looks for a place next; looks that were planned for later are passed over.
    look: Option<Micros>,
}

/// What places requests.
pub trait Place {
    /// Words between its hosts.
    type Word;

    /// A request wants a place.
    fn look(&mut self, world: &mut World<Self::Word>, request: usize);
    /// An engine doesn't hold the adapter of a request.
    fn missed(&mut self, world: &mut World<Self::Word>, request: usize, engine: usize);
    /// An engine is lost, and a request with it.
    fn lost(&mut self, world: &mut World<Self::Word>, request: usize, engine: usize);
    /// The first event of a request came.
    fn first(&mut self, world: &mut World<Self::Word>, request: usize, engine: usize);
    /// A request has ended.
    fn ended(&mut self, world: &mut World<Self::Word>, request: usize, engine: usize);
    /// An adapter is there.
    fn loaded(&mut self, world: &mut World<Self::Word>, engine: usize, adapter: usize);
    /// An engine is listed with a new life.
    fn listed(&mut self, world: &mut World<Self::Word>, engine: usize);
    /// A word arrives.
    fn word(&mut self, world: &mut World<Self::Word>, word: Self::Word);
    /// Time for the regular word.
    fn regular(&mut self, world: &mut World<Self::Word>);
}

/// Everything but the hosts.
pub struct World<W> {
    /// The installation.
    pub shape: Shape,
    /// The time.
    pub now: Micros,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The requests.
    pub requests: Vec<Request>,
    agenda: EventQueue<Event<W>>,
    transit: usize,
    running: BTreeMap<(usize, usize), usize>,
    metrics: Metrics,
}

/// Plays a trace.
pub fn run<P: Place>(shape: &Shape, pattern: Pattern, trace: &[Arrival], mut place: P) -> Metrics {
    let mut world = World::new(shape, trace);
    if pattern.lost(shape) > 0 {
        world.agenda.schedule(TROUBLE.0, Event::Crash);
    }
    world.agenda.schedule(0, Event::Regular);
    while let Some((at, event)) = world.agenda.pop() {
        world.now = at;
        match event {
            Event::Look(it) if world.requests[it].look == Some(at) => {
                world.requests[it].look = None;
                place.look(&mut world, it);
            }
            Event::Look(_) => {}
            Event::Reach(it, engine, unread) => reach(&mut world, &mut place, it, engine, unread),
            Event::Step(engine, life) => step(&mut world, &mut place, engine, life),
            Event::Loaded(engine, life, adapter) => {
                world.transit -= 1;
                if world.engines[engine].life == life && world.engines[engine].up {
                    let now = world.now;
                    world.engines[engine].coming.retain(|it| *it != adapter);
                    world.engines[engine].held.insert(adapter, now);
                    place.loaded(&mut world, engine, adapter);
                }
            }
            Event::Regular => {
                place.regular(&mut world);
                if at < END && world.requests.iter().any(|it| !it.over) {
                    world.agenda.schedule(at + REGULAR, Event::Regular);
                }
            }
            Event::Word(it) => place.word(&mut world, it),
            Event::Crash => crash(&mut world, &mut place, pattern.lost(shape)),
            Event::Back(engine) => {
                world.engines[engine].up = true;
                world.engines[engine].life += 1;
                world.agenda.schedule(at + LISTED, Event::Listed(engine));
            }
            Event::Listed(engine) => place.listed(&mut world, engine),
        }
    }
    world.metrics
}

fn reach<P: Place>(
    world: &mut World<P::Word>,
    place: &mut P,
    request: usize,
    engine: usize,
    unread: u32,
) {
    let adapter = world.requests[request].asked.adapter;
    if !world.engines[engine].up {
        place.lost(world, request, engine);
        return;
    }
    let now = world.now;
    let Some(used) = world.engines[engine].held.get_mut(&adapter) else {
        world.metrics.missed += 1;
        place.missed(world, request, engine);
        return;
    };
    *used = now;
    *world.running.entry((engine, adapter)).or_default() += 1;
    let answer = world.requests[request].asked.answer;
    world.engines[engine].take(request, unread, answer);
    if !world.engines[engine].steps {
        world.begin(engine);
    }
}

fn step<P: Place>(world: &mut World<P::Word>, place: &mut P, engine: usize, life: u64) {
    if world.engines[engine].life != life || !world.engines[engine].up {
        return;
    }
    let shape = world.shape.clone();
    for made in world.engines[engine].end(&shape) {
        match made {
            Made::Event(it) => {
                if world.event(it) {
                    place.first(world, it, engine);
                }
            }
            Made::End(it) => {
                if world.event(it) {
                    place.first(world, it, engine);
                }
                world.end(it, engine);
                place.ended(world, it, engine);
            }
        }
    }
    world.begin(engine);
}

fn crash<P: Place>(world: &mut World<P::Word>, place: &mut P, count: usize) {
    for engine in 0..count {
        let lost = world.engines[engine].crash();
        world.running.retain(|it, _| it.0 != engine);
        world.agenda.schedule(TROUBLE.1, Event::Back(engine));
        for request in lost {
            place.lost(world, request, engine);
        }
    }
}

impl<W> World<W> {
    fn new(shape: &Shape, trace: &[Arrival]) -> Self {
        let mut agenda = EventQueue::default();
        for (request, it) in trace.iter().enumerate() {
            agenda.schedule(it.at, Event::Look(request));
        }
        let requests = trace.iter().map(|it| Request {
            asked: it.clone(),
            sent: None,
            first: None,
            last: 0,
            gap: 0,
            over: false,
            look: Some(it.at),
        });
        let unique: BTreeSet<usize> = trace.iter().map(|it| it.adapter).collect();
        Self {
            shape: shape.clone(),
            now: 0,
            engines: vec![Engine::new(); shape.engines],
            requests: requests.collect(),
            agenda,
            transit: 0,
            running: BTreeMap::new(),
            metrics: Metrics {
                asked: trace.len(),
                unique: unique.len(),
                ..Metrics::default()
            },
        }
    }

    /// Plans a word between hosts, or a timer.
    pub fn plan(&mut self, after: Micros, word: W) {
        self.agenda.schedule(self.now + after, Event::Word(word));
    }

    /// Looks for a place again later.
    pub fn look_again(&mut self, after: Micros, request: usize) {
        let at = self.now + after;
        let look = &mut self.requests[request].look;
        if look.is_none_or(|it| it > at) {
            *look = Some(at);
            self.agenda.schedule(at, Event::Look(request));
        }
    }

    /// Sends a request to an engine.
    pub fn send(&mut self, request: usize, engine: usize, unread: u32) {
        self.requests[request].sent = Some((engine, self.now));
        let event = Event::Reach(request, engine, unread);
        self.agenda.schedule(self.now + WAY, event);
    }

    /// Whether a request has ended.
    pub fn is_over(&self, request: usize) -> bool {
        self.requests[request].over
    }

    /// Whether the caller of a request has given it up.
    pub fn is_late(&self, request: usize) -> bool {
        self.now > self.requests[request].asked.at + PATIENCE
    }

    /// Refuses a request.
    pub fn refuse(&mut self, request: usize) {
        if !std::mem::replace(&mut self.requests[request].over, true) {
            self.metrics.unserved += 1;
        }
    }

    /// Requests with an adapter that run at an engine.
    pub fn runs(&self, engine: usize, adapter: usize) -> usize {
        self.running.get(&(engine, adapter)).copied().unwrap_or(0)
    }

    /// Has an engine load an adapter.
    pub fn load(&mut self, engine: usize, adapter: usize) {
        let places = self.shape.places;
        let it = &mut self.engines[engine];
        it.coming.push(adapter);
        assert!(
            it.held.len() + it.coming.len() <= places,
            "an engine is overfull"
        );
        it.orders += 1;
        self.metrics.loads += 1;
        self.transit += 1;
        let over = self.transit.max(self.shape.at_once);
        let time = FETCH * u64::try_from(over).unwrap_or(1);
        let time = time / u64::try_from(self.shape.at_once).unwrap_or(1);
        let event = Event::Loaded(engine, it.life, adapter);
        self.agenda.schedule(self.now + time, event);
    }

    /// Has an engine drop an adapter; false if a request runs with it.
    pub fn unload(&mut self, engine: usize, adapter: usize) -> bool {
        if self.runs(engine, adapter) > 0 {
            return false;
        }
        self.engines[engine].held.remove(&adapter);
        self.engines[engine].orders += 1;
        true
    }

    fn begin(&mut self, engine: usize) {
        let shape = self.shape.clone();
        if let Some(time) = self.engines[engine].begin(&shape) {
            let life = self.engines[engine].life;
            self.agenda
                .schedule(self.now + time, Event::Step(engine, life));
        }
    }

    /// Notes an event of a stream; whether it is the first.
    fn event(&mut self, request: usize) -> bool {
        let now = self.now;
        let it = &mut self.requests[request];
        if it.first.is_some() {
            it.gap = it.gap.max(now - it.last);
        }
        it.last = now;
        if it.first.is_some() {
            return false;
        }
        it.first = Some(now);
        self.metrics.first.push(now - it.asked.at);
        true
    }

    fn end(&mut self, request: usize, engine: usize) {
        let adapter = self.requests[request].asked.adapter;
        if let Some(it) = self.running.get_mut(&(engine, adapter)) {
            *it = it.saturating_sub(1);
        }
        let gap = self.shape.gap;
        let it = &mut self.requests[request];
        if std::mem::replace(&mut it.over, true) {
            return;
        }
        let first = it.first.map_or(0, |first| first - it.asked.at);
        if first > TARGET {
            self.metrics.late_first += 1;
        } else if it.gap > gap {
            self.metrics.late_gap += 1;
        } else {
            self.metrics.in_time += 1;
        }
    }
}
