//! Checks invariants after every event of long seeded sequences, in which orders fail, answers are
//! lost, engines restart and leave, and stewardships are lost and acquired.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use kernel::{
    permit::{Holder, Number, Outcome, Permit, Request, Verdict},
    reference::{Loaded, Reference},
    request::Class,
    service::{Fencing, Instance, Role, State as Availability},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use steward::{Action, Event, Order, OrderResult, Predecessor, Settings, State, Ticket};

const ENGINES: usize = 3;
const SLOTS_PER_ENGINE: u32 = 3;
const BATCH_CAPACITY: u32 = 4;
const ADAPTERS: usize = 14;
const LOADS_PER_SECOND: f64 = 5.0;
const BURST: u32 = 2;
const MAX_IN_FLIGHT: u32 = 3;
const STEPS: usize = 4_000;

/// The actual state of an engine, which the steward only estimates.
#[derive(Default)]
struct Engine {
    loaded: BTreeMap<Loaded, u32>,
    incarnation: u64,
    fence: u64,
    is_leaving: bool,
}

/// An order that the engine has not carried out yet.
struct Command {
    engine: usize,
    loaded: Loaded,
    is_load: bool,
    incarnation: u64,
}

/// A request that waits for its answer.
#[derive(Clone, Debug)]
struct OpenRequest {
    reference: Reference,
    holder: Holder,
    deadline: Instant,
}

/// An outstanding permit.
struct HeldPermit {
    engine: usize,
    permit: Permit,
    holder: Holder,
    incarnation: u64,
    expires_at: Instant,
}

/// A steward with simulated engines and a simulated clock.
struct World {
    random: StdRng,
    state: State,
    now: Instant,
    engines: Vec<Engine>,
    open: BTreeMap<Ticket, OpenRequest>,
    answered: BTreeSet<Ticket>,
    permits: BTreeMap<Number, HeldPermit>,
    orders: BTreeMap<Order, Command>,
    load_starts: Vec<Instant>,
    tickets: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let settings = Settings {
            initial_capacity: BATCH_CAPACITY,
            max_waiting: 12,
            max_deadline: Duration::from_secs(8),
            ..Settings::default()
        };
        let mut world = Self {
            random: StdRng::seed_from_u64(seed),
            state: State::new(settings),
            now: Instant::now(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            open: BTreeMap::new(),
            answered: BTreeSet::new(),
            permits: BTreeMap::new(),
            orders: BTreeMap::new(),
            load_starts: Vec::new(),
            tickets: 0,
        };
        world.handle(Event::GuaranteedLimits {
            rate_per_second: LOADS_PER_SECOND,
            burst: BURST,
            max_in_flight: MAX_IN_FLIGHT,
        });
        for engine in 0..ENGINES {
            world.acquire(engine, Predecessor::None);
        }
        world
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn instance(&self, engine: usize) -> Instance {
        Instance {
            name: format!("e{engine}").parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            domain: "north".parse().unwrap(),
            role: Role::Engine("base".parse().unwrap()),
            state: if self.engines[engine].is_leaving {
                Availability::Leaving
            } else {
                Availability::Live
            },
        }
    }

    fn acquire(&mut self, engine: usize, predecessor: Predecessor) {
        self.engines[engine].fence += 1;
        let event = Event::Acquired {
            engine: self.instance(engine),
            fence: self.engines[engine].fence,
            fencing: Fencing::Ignored,
            predecessor,
        };
        self.handle(event);
        self.report(engine);
    }

    fn report(&mut self, engine: usize) {
        let actual = &self.engines[engine];
        let event = Event::SlotReport {
            engine: format!("e{engine}").parse().unwrap(),
            requested_at: self.now,
            incarnation: actual.incarnation,
            slots: SLOTS_PER_ENGINE,
            loaded: actual.loaded.clone().into_iter().collect(),
        };
        self.handle(event);
    }

    fn handle(&mut self, event: Event) {
        for action in self.state.handle(event, self.now) {
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Answer { ticket, verdict } => self.check_answer(ticket, verdict),
            Action::Redirect { ticket } => self.close(ticket),
            Action::Load {
                order,
                engine,
                loaded,
                ..
            } => self.check_load(order, index(engine.as_str()), loaded),
            Action::Unload {
                order,
                engine,
                loaded,
                ..
            } => self.check_unload(order, index(engine.as_str()), loaded),
            _ => {}
        }
    }

    /// Checks that each request is answered only once.
    fn close(&mut self, ticket: Ticket) {
        assert!(
            self.open.remove(&ticket).is_some(),
            "{ticket:?} was not open"
        );
        assert!(
            self.answered.insert(ticket),
            "{ticket:?} was answered before"
        );
    }

    fn check_answer(&mut self, ticket: Ticket, verdict: Verdict) {
        let open = self.open[&ticket].clone();
        self.close(ticket);
        let Verdict::Granted(permit) = verdict else {
            return;
        };
        let engine = index(permit.upstream.as_str());
        assert_eq!(permit.loaded.reference, open.reference);
        assert!(
            !self.engines[engine].is_leaving,
            "a leaving engine got new work"
        );
        let on_engine = self.permits.values().filter(|it| it.engine == engine);
        assert!(
            on_engine.count() < BATCH_CAPACITY as usize,
            "the batch of e{engine} is full"
        );
        let held = HeldPermit {
            engine,
            holder: open.holder,
            incarnation: self.engines[engine].incarnation,
            expires_at: self.now + permit.run_by,
            permit,
        };
        self.permits.insert(held.permit.number, held);
    }

    /// Checks that loads stay within the rate, the in-flight limit and the slots, and that an
    /// engine has one load of an adapter at most.
    fn check_load(&mut self, order: Order, engine: usize, loaded: Loaded) {
        self.load_starts.push(self.now);
        for span in [1, 4] {
            let since = self.now.checked_sub(Duration::from_secs(span)).unwrap();
            let count = self.load_starts.iter().filter(|it| **it > since).count();
            #[expect(clippy::cast_precision_loss, reason = "counts are small")]
            let (count, span) = (count as f64, span as f64);
            assert!(
                count <= LOADS_PER_SECOND * span + f64::from(BURST) + 1e-3,
                "{count} loads in {span} s"
            );
        }
        let loads = || self.orders.values().filter(|it| it.is_load);
        assert!(
            loads().count() < MAX_IN_FLIGHT as usize,
            "too many loads in flight"
        );
        let loads_on_engine = || {
            loads().filter(|it| {
                it.engine == engine && it.incarnation == self.engines[engine].incarnation
            })
        };
        assert!(
            loads_on_engine().all(|it| it.loaded.reference != loaded.reference),
            "two loads of {loaded}"
        );
        let used = self.engines[engine].loaded.len() + loads_on_engine().count();
        assert!(
            used < SLOTS_PER_ENGINE as usize,
            "e{engine} has no free slot for {loaded}"
        );
        self.add_command(order, engine, loaded, true);
    }

    /// Checks that no pinned adapter is unloaded.
    fn check_unload(&mut self, order: Order, engine: usize, loaded: Loaded) {
        let incarnation = self.engines[engine].incarnation;
        let mut permits = self.permits.values();
        let is_pinned = permits.any(|it| {
            it.engine == engine && it.permit.loaded == loaded && it.incarnation == incarnation
        });
        assert!(!is_pinned, "{loaded} is pinned");
        self.add_command(order, engine, loaded, false);
    }

    fn add_command(&mut self, order: Order, engine: usize, loaded: Loaded, is_load: bool) {
        let command = Command {
            engine,
            loaded,
            is_load,
            incarnation: self.engines[engine].incarnation,
        };
        self.orders.insert(order, command);
    }

    fn step(&mut self) {
        match self.random.random_range(0..100) {
            0..=34 => self.request(),
            35..=54 => self.release(),
            55..=79 => self.end_order(),
            80..=89 => self.advance(),
            90..=93 => {
                let engine = self.random.random_range(0..ENGINES);
                self.report(engine);
            }
            94 => self.withdraw(),
            95 => self.restart(),
            96 => self.toggle_leaving(),
            97 => self.replace_stewardship(),
            98 => self.terminate_holder(),
            _ => self.lose_contact(),
        }
    }

    fn holder(&mut self) -> Holder {
        Holder {
            host: "entry".parse().unwrap(),
            incarnation: self.random.random_range(1..=2),
        }
    }

    fn request(&mut self) {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        // The product of two uniform numbers makes some adapters more popular than others.
        let adapter = self.random.random_range(0..ADAPTERS) * self.random.random_range(0..ADAPTERS)
            / ADAPTERS;
        let reference: Reference = format!("s/a{adapter}@1").parse().unwrap();
        let remaining = Duration::from_millis(self.random.random_range(200..8_000));
        let holder = self.holder();
        let open = OpenRequest {
            reference: reference.clone(),
            holder: holder.clone(),
            deadline: self.now + remaining,
        };
        self.open.insert(ticket, open);
        let request = Request {
            request: format!("r{}", self.tickets).parse().unwrap(),
            holder,
            reference,
            model: "base".parse().unwrap(),
            tenant: format!("t{}", self.random.random_range(0..3))
                .parse()
                .unwrap(),
            class: Class::ALL[self.random.random_range(0..3)],
            remaining,
            prefix: 0,
            max_tokens: 10,
        };
        self.handle(Event::PermitRequest { ticket, request });
    }

    fn release(&mut self) {
        let count = self.permits.len();
        if count == 0 {
            return;
        }
        let at = self.random.random_range(0..count);
        let number = *self.permits.keys().nth(at).unwrap();
        self.permits.remove(&number);
        let outcome = if self.chance(80) {
            Outcome::Completed
        } else {
            Outcome::Unused
        };
        self.handle(Event::Release { number, outcome });
    }

    fn end_order(&mut self) {
        let Some(order) = self.orders.keys().next().copied() else {
            return;
        };
        let command = self.orders.remove(&order).unwrap();
        let result = if self.engines[command.engine].incarnation == command.incarnation {
            self.carry_out(&command)
        } else {
            OrderResult::Unknown
        };
        self.handle(Event::OrderEnded { order, result });
    }

    fn carry_out(&mut self, command: &Command) -> OrderResult {
        let takes_effect = self.chance(90);
        let is_answered = self.chance(92);
        let engine = &mut self.engines[command.engine];
        if takes_effect {
            if command.is_load {
                engine.loaded.insert(command.loaded.clone(), 0);
            } else {
                engine.loaded.remove(&command.loaded);
            }
        }
        match (is_answered, takes_effect) {
            (false, _) => OrderResult::Unknown,
            (true, true) => OrderResult::Done,
            (true, false) if command.is_load => OrderResult::Failed("the store refused".to_owned()),
            (true, false) => OrderResult::Busy,
        }
    }

    fn advance(&mut self) {
        let millis = self.random.random_range(1..800);
        let until = self.now + Duration::from_millis(millis);
        while let Some(next) = self.state.next_tick().filter(|it| *it <= until) {
            self.now = self.now.max(next);
            self.drop_expired();
            self.handle(Event::Tick);
            let again = self.state.next_tick();
            assert!(
                again.is_none_or(|it| it > self.now),
                "ticks make no progress"
            );
        }
        self.now = until;
        self.drop_expired();
        self.handle(Event::Tick);
        // Each caller gets its answer by its deadline.
        let late = self.open.values().find(|it| it.deadline < self.now);
        assert!(
            late.is_none(),
            "a request waits past its deadline: {late:?}"
        );
    }

    /// Drops expired permits, which end shortly after the deadline of their request.
    fn drop_expired(&mut self) {
        let now = self.now;
        self.permits.retain(|_, it| it.expires_at > now);
    }

    fn withdraw(&mut self) {
        let Some(ticket) = self.open.keys().next().copied() else {
            return;
        };
        self.open.remove(&ticket);
        self.handle(Event::Withdraw { ticket });
    }

    fn restart(&mut self) {
        let engine = self.random.random_range(0..ENGINES);
        let actual = &mut self.engines[engine];
        actual.incarnation += 1;
        actual.loaded.clear();
        self.report(engine);
    }

    fn toggle_leaving(&mut self) {
        let engine = self.random.random_range(0..ENGINES);
        self.engines[engine].is_leaving ^= true;
        let instance = self.instance(engine);
        self.handle(Event::InstanceChanged { engine: instance });
    }

    fn replace_stewardship(&mut self) {
        let engine = self.random.random_range(0..ENGINES);
        self.handle(Event::Lost {
            engine: format!("e{engine}").parse().unwrap(),
        });
        self.permits.retain(|_, it| it.engine != engine);
        self.finish_orders(engine);
        let predecessor = if self.chance(50) {
            Predecessor::Released
        } else {
            Predecessor::Unknown
        };
        self.acquire(engine, predecessor);
    }

    /// Ends all orders of a stewardship before the next one begins.
    fn finish_orders(&mut self, engine: usize) {
        let orders: Vec<_> = self
            .orders
            .iter()
            .filter(|(_, it)| it.engine == engine)
            .map(|(order, _)| *order)
            .collect();
        for order in orders {
            self.orders.remove(&order);
            self.handle(Event::OrderEnded {
                order,
                result: OrderResult::Unknown,
            });
        }
    }

    fn terminate_holder(&mut self) {
        let holder = self.holder();
        self.permits.retain(|_, it| it.holder != holder);
        self.handle(Event::HolderTerminated { holder });
    }

    fn lose_contact(&mut self) {
        let engine = self.random.random_range(0..ENGINES);
        self.handle(Event::Unreachable {
            engine: format!("e{engine}").parse().unwrap(),
        });
        self.report(engine);
    }

    /// Runs until all orders have ended, and checks that each request has been answered.
    fn drain(&mut self) {
        for _ in 0..40 {
            self.advance();
            while !self.orders.is_empty() {
                self.end_order();
            }
        }
        assert!(self.open.is_empty(), "never answered: {:?}", self.open);
    }
}

fn index(engine: &str) -> usize {
    engine[1..].parse().unwrap()
}

/// The invariants hold for seeded sequences of events.
#[test]
fn invariants_hold_over_seeded_sequences() {
    for seed in 0..40 {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
        }
        world.drain();
        assert!(
            world.answered.len() > 100,
            "seed {seed} answers too few requests"
        );
    }
}
