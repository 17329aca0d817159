//! The pool of the weight store's limits, under pauses, cuts and lost messages.

use std::time::{Duration, Instant};

use kernel::permit::{Holder, Number, Outcome, Verdict};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use steward::{
    Action, Event, Settings, State,
    lending::{Demand, Limits, Loan, Mode, Pool},
};

const HOLDERS: usize = 4;
const STEP: Duration = Duration::from_millis(20);
const LIMITS: Limits = Limits {
    rate_per_second: 4.5,
    burst: 2,
    max_in_flight: 6,
};
const FLOOR: f64 = 0.25;

/// The burst of the store, and one load for each floor that a cut has put in use.
const BURST: f64 = 6.0;

fn holder(index: usize) -> Holder {
    Holder {
        host: format!("h{index}").parse().unwrap(),
        incarnation: 1,
    }
}

fn pool(now: Instant) -> Pool {
    let mut pool = Pool::new(LIMITS, 1, now);
    for index in 0..HOLDERS {
        pool.join(holder(index), FLOOR, now);
    }
    pool
}

fn pooled(wanted: u32, received: u64) -> Demand {
    Demand {
        mode: Mode::Pooled,
        fence: 1,
        requested: wanted,
        received,
        ..Demand::default()
    }
}

/// The floor of a steward is set aside until it asks, and again when it has been silent.
#[test]
fn floors_of_silent_stewards_are_set_aside() {
    let start = Instant::now();
    let mut pool = pool(start);
    let check = |pool: &Pool, at, expected: f64| {
        let rate = pool.lending_rate(at) / 0.998;
        assert!((rate - expected).abs() < 1e-9, "{rate} is not {expected}");
    };
    check(&pool, start, 3.5);
    pool.update_demand(&holder(0), pooled(0, 0), start);
    check(&pool, start, 3.75);
    check(&pool, start + Duration::from_secs(8), 3.5);
    let floor = Demand::default();
    pool.update_demand(&holder(0), floor, start + Duration::from_secs(1));
    check(&pool, start + Duration::from_secs(1), 3.5);
}

/// The same demand heard twice is lent for once, and a loan that is lost is told again.
#[test]
fn totals_heal_lost_and_repeated_messages() {
    let start = Instant::now();
    let mut pool = pool(start);
    pool.update_demand(&holder(0), pooled(1, 0), start);
    let now = start + Duration::from_secs(1);
    let total = |loans: &[(Holder, Loan)]| loans[0].1.total;
    pool.update_demand(&holder(0), pooled(1, 0), now);
    assert_eq!(total(&pool.lend(&holder(0), now)), 1);
    pool.update_demand(&holder(0), pooled(1, 0), now);
    assert_eq!(total(&pool.lend(&holder(0), now)), 1);
    let now = now + Duration::from_secs(1);
    pool.update_demand(&holder(0), pooled(1, 1), now);
    assert_eq!(total(&pool.lend(&holder(0), now)), 2);
}

/// What goes wrong in a schedule.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Faults {
    None,
    Many,
}

/// A host of the schedule: a real state machine that always wants loads.
struct Host {
    state: State,
    paused_until: Instant,
    in_flight: Vec<(Instant, steward::Order)>,
}

struct Schedule {
    random: StdRng,
    now: Instant,
    pool: Pool,
    hosts: Vec<Host>,
    cut: [bool; HOLDERS],
    to_pool: Vec<(Instant, usize, Demand)>,
    to_host: Vec<(Instant, usize, Loan)>,
    starts: Vec<Instant>,
    tickets: u64,
    flight_limit: usize,
}

impl Schedule {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let mut schedule = Self {
            random: StdRng::seed_from_u64(seed),
            now,
            pool: pool(now),
            hosts: Vec::new(),
            cut: [false; HOLDERS],
            to_pool: Vec::new(),
            to_host: Vec::new(),
            starts: Vec::new(),
            tickets: 0,
            flight_limit: LIMITS.max_in_flight as usize,
        };
        for index in 0..HOLDERS {
            schedule.add_host(index);
        }
        schedule
    }

    fn add_host(&mut self, index: usize) {
        let mut state = State::new(Settings::default());
        let engine = kernel::service::Instance {
            name: format!("e{index}").parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            domain: "north".parse().unwrap(),
            role: kernel::service::Role::Engine("base".parse().unwrap()),
            state: kernel::service::State::Live,
        };
        let name = engine.name.clone();
        let took = Event::Acquired {
            engine,
            fence: 1,
            fencing: kernel::service::Fencing::Checked,
            predecessor: steward::Predecessor::None,
        };
        let report = Event::SlotReport {
            engine: name,
            requested_at: self.now,
            incarnation: 1,
            slots: 1_000,
            loaded: Vec::new(),
        };
        let share = Event::GuaranteedLimits {
            rate_per_second: FLOOR,
            burst: 1,
            max_in_flight: 1,
        };
        for event in [took, report, share] {
            state.handle(event, self.now);
        }
        self.hosts.push(Host {
            state,
            paused_until: self.now,
            in_flight: Vec::new(),
        });
        self.to_pool.push((self.now, index, Demand::default()));
    }

    /// Cuts hosts off for a while, and pauses them.
    fn disturb(&mut self) {
        for index in 0..HOLDERS {
            if self.random.random_range(0..2_000) == 0 {
                self.cut[index] ^= true;
            }
            if self.random.random_range(0..4_000) == 0 {
                let pause = Duration::from_secs(self.random.random_range(1..15));
                self.hosts[index].paused_until = self.now + pause;
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver_to_pool();
        self.deliver_to_hosts();
        for index in 0..HOLDERS {
            self.run_host(index);
        }
    }

    /// Messages take a few milliseconds, and are lost in a cut.
    fn deliver_to_pool(&mut self) {
        for (_, index, demand) in std::mem::take(&mut self.to_pool) {
            if self.cut[index] {
                continue;
            }
            self.pool.update_demand(&holder(index), demand, self.now);
            self.lend(index);
        }
        if self
            .pool
            .next_lend_at(self.now)
            .is_some_and(|it| it <= self.now)
        {
            self.lend(0);
        }
    }

    fn lend(&mut self, index: usize) {
        for (to, loan) in self.pool.lend(&holder(index), self.now) {
            let index = (0..HOLDERS).find(|it| holder(*it) == to).unwrap();
            self.to_host.push((self.now, index, loan));
        }
    }

    fn deliver_to_hosts(&mut self) {
        let now = self.now;
        for (sent, index, loan) in std::mem::take(&mut self.to_host) {
            if self.cut[index] {
                continue;
            }
            if self.hosts[index].paused_until > now {
                self.to_host.push((sent, index, loan));
                continue;
            }
            self.tell(index, Event::LoanReceived(loan));
        }
    }

    fn run_host(&mut self, index: usize) {
        if self.hosts[index].paused_until > self.now {
            return;
        }
        let ended: Vec<_> = self.hosts[index]
            .in_flight
            .extract_if(.., |it| it.0 <= self.now)
            .collect();
        for (_, order) in ended {
            let result = steward::OrderResult::Done;
            self.tell(index, Event::OrderEnded { order, result });
        }
        if self.random.random_range(0..10) == 0 {
            self.ask(index);
        }
        self.tell(index, Event::Tick);
    }

    fn ask(&mut self, index: usize) {
        self.tickets += 1;
        let ask = kernel::permit::Request {
            request: "r".parse().unwrap(),
            holder: holder(index),
            reference: format!("s/a{}@1", self.tickets).parse().unwrap(),
            model: "base".parse().unwrap(),
            tenant: "t".parse().unwrap(),
            class: kernel::request::Class::Standard,
            remaining: Duration::from_secs(20),
            prefix: 0,
            max_tokens: 1,
        };
        let ticket = steward::Ticket(self.tickets);
        self.tell(
            index,
            Event::PermitRequest {
                ticket,
                request: ask,
            },
        );
    }

    fn tell(&mut self, index: usize, event: Event) {
        for action in self.hosts[index].state.handle(event, self.now) {
            match action {
                Action::SendDemand(demand) => self.to_pool.push((self.now, index, demand)),
                Action::Load { order, .. } => self.load(index, order),
                Action::Answer {
                    verdict: Verdict::Granted(permit),
                    ..
                } => self.release(index, permit.number),
                _ => {}
            }
        }
    }

    fn release(&mut self, index: usize, number: Number) {
        let outcome = Outcome::Completed;
        self.tell(index, Event::Release { number, outcome });
    }

    /// No more loads begin, in any span, than the rate and the burst allow.
    fn load(&mut self, index: usize, order: steward::Order) {
        self.starts.push(self.now);
        for span in [1, 10, 60] {
            let since = self.now.checked_sub(Duration::from_secs(span)).unwrap();
            let first = self.starts.partition_point(|it| *it <= since);
            #[expect(clippy::cast_precision_loss, reason = "counts are small")]
            let (count, span) = ((self.starts.len() - first) as f64, span as f64);
            let most = LIMITS.rate_per_second * span + BURST;
            assert!(count <= most, "{count} loads in {span} s, more than {most}");
        }
        let loads = self.hosts.iter().flat_map(|it| &it.in_flight);
        let in_flight = loads.filter(|(end, _)| *end > self.now).count();
        assert!(in_flight < self.flight_limit, "{in_flight} loads in flight");
        let time = Duration::from_millis(self.random.random_range(200..1_500));
        self.hosts[index].in_flight.push((self.now + time, order));
    }
}

/// Over seeded schedules of pauses, cuts and slow loads, the sum of all loads stays within the
/// store's rate and in-flight limit.
#[test]
fn the_sum_of_all_loads_stays_within_the_limits() {
    for seed in 0..6 {
        check_schedule(seed, Faults::Many, 300);
    }
}

/// Without faults, nearly the whole rate is lent: at least nine tenths of it.
#[test]
fn the_pool_lends_nearly_the_whole_rate() {
    check_schedule(7, Faults::None, 1_215);
}

/// Runs five minutes of a schedule, in which at least `least` loads begin.
fn check_schedule(seed: u64, faults: Faults, least: usize) {
    let mut schedule = Schedule::new(seed);
    for _ in 0..15_000 {
        if faults == Faults::Many {
            schedule.disturb();
        }
        schedule.step();
    }
    let count = schedule.starts.len();
    assert!(count >= least, "seed {seed}: only {count} loads in 300 s");
}
