//! What a decision costs, by the size of a failure domain.

use std::time::{Duration, Instant};

use kernel::{
    name::{Host, Upstream},
    permit::{Holder, Outcome, Request, Verdict},
    request::Class,
    service::{Fencing, Instance, Role, State as Availability},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use steward::{
    Action, Event, OrderResult, Predecessor, Settings, State, Ticket,
    route::{Change, Directory},
};

use crate::{
    deployment::weight,
    fleet::{named, reference},
};

/// Slots of each engine.
const SLOTS: u32 = 8;

/// Engines for each entry host at the target size: 11,000 for 520.
const ENGINES_PER_HOST: usize = 21;

/// Simulated time between two requests.
const GAP: Duration = Duration::from_micros(100);

/// The sizes that are compared, in engines.
pub const SIZES: [usize; 4] = [18, 128, 512, 1_100];

/// Adapters at every size.
pub const ADAPTERS: usize = 23_000;

/// Mean processor time of one request, in nanoseconds.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Engines in the failure domain.
    pub engines: usize,
    /// Ranking the stewards at the entry host.
    pub rank: u128,
    /// All events of the request at a steward of [`ENGINES_PER_HOST`] engines at most.
    pub steward: u128,
    /// The same at a steward of all engines of the domain.
    pub alone: u128,
}

/// Measures the cost of `requests` requests in a failure domain of a size.
pub fn measure(engines: usize, requests: usize, seed: u64) -> Cost {
    let asks = asks(requests, seed);
    Cost {
        engines,
        rank: rank_cost(engines, &asks),
        steward: steward_cost(engines.min(ENGINES_PER_HOST), &asks),
        alone: steward_cost(engines, &asks),
    }
}

/// The growth of a cost from the first size to the last: the exponent of a power law.
#[expect(clippy::cast_precision_loss, reason = "costs are small")]
pub fn slope(first: (usize, u128), last: (usize, u128)) -> f64 {
    let cost = last.1.max(1) as f64 / first.1.max(1) as f64;
    let size = last.0 as f64 / first.0 as f64;
    cost.ln() / size.ln()
}

fn asks(count: usize, seed: u64) -> Vec<Request> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut sum = 0.0;
    let sums: Vec<f64> = (0..ADAPTERS)
        .map(|rank| {
            sum += weight(rank, 1.0);
            sum
        })
        .collect();
    (0..count)
        .map(|number| {
            let point = random.random_range(0.0..sum);
            ask(
                number,
                sums.partition_point(|it| *it <= point).min(ADAPTERS - 1),
            )
        })
        .collect()
}

fn ask(number: usize, adapter: usize) -> Request {
    Request {
        request: format!("r{number}").parse().expect("the id is well formed"),
        holder: Holder {
            host: named("host-0"),
            incarnation: 1,
        },
        reference: reference(adapter),
        model: named("base"),
        tenant: named(&format!("tenant-{}", adapter % 64)),
        class: Class::Standard,
        remaining: Duration::from_secs(10),
        prefix: u64::try_from(adapter).unwrap_or(0),
        max_tokens: 64,
    }
}

fn rank_cost(engines: usize, asks: &[Request]) -> u128 {
    let directory = directory(engines);
    let start = Instant::now();
    let found: usize = asks.iter().map(|it| directory.rank(it).len()).sum();
    let spent = start.elapsed();
    assert!(found >= asks.len(), "each request has a steward to ask");
    spent.as_nanos() / asks.len() as u128
}

fn directory(engines: usize) -> Directory {
    let mut directory = Directory::new(named("domain"));
    for engine in 0..engines {
        let steward: Host = named(&format!("host-{}", engine / ENGINES_PER_HOST));
        let name: Upstream = named(&format!("engine-{engine}"));
        let joined = Change::Added {
            domain: named("domain"),
            model: named("base"),
            fence: 1,
            state: Availability::Live,
        };
        directory.apply(&steward, &name, joined);
        for slot in 0..SLOTS as usize {
            let adapter = (engine * SLOTS as usize + slot) % ADAPTERS;
            directory.apply(&steward, &name, Change::Loaded(reference(adapter)));
        }
    }
    directory
}

fn steward_cost(engines: usize, asks: &[Request]) -> u128 {
    let mut now = Instant::now();
    let mut state = State::new(Settings::default());
    for engine in 0..engines {
        take(&mut state, engine, now);
    }
    state.handle(
        Event::GuaranteedLimits {
            rate_per_second: 1e6,
            burst: 1_000,
            max_in_flight: 1_000,
        },
        now,
    );
    let start = Instant::now();
    for (number, ask) in asks.iter().enumerate() {
        now += GAP;
        let ticket = Ticket(number as u64);
        serve(
            &mut state,
            Event::PermitRequest {
                ticket,
                request: ask.clone(),
            },
            now,
        );
    }
    start.elapsed().as_nanos() / asks.len() as u128
}

fn take(state: &mut State, engine: usize, now: Instant) {
    let instance = Instance {
        name: named(&format!("engine-{engine}")),
        address: ([127, 0, 0, 1], 1).into(),
        domain: named("domain"),
        role: Role::Engine(named("base")),
        state: Availability::Live,
    };
    let name = instance.name.clone();
    let took = Event::Acquired {
        engine: instance,
        fence: 1,
        fencing: Fencing::Checked,
        predecessor: Predecessor::None,
    };
    state.handle(took, now);
    let report = Event::SlotReport {
        engine: name,
        requested_at: now,
        incarnation: 1,
        slots: SLOTS,
        loaded: Vec::new(),
    };
    state.handle(report, now);
}

/// Carries out every order at once, and releases every permit.
fn serve(state: &mut State, event: Event, now: Instant) {
    let mut events = vec![event];
    while let Some(event) = events.pop() {
        for action in state.handle(event, now) {
            match action {
                Action::Load { order, .. } | Action::Unload { order, .. } => {
                    let result = OrderResult::Done;
                    events.push(Event::OrderEnded { order, result });
                }
                Action::Answer {
                    verdict: Verdict::Granted(permit),
                    ..
                } => events.push(Event::Release {
                    number: permit.number,
                    outcome: Outcome::Completed,
                }),
                _ => {}
            }
        }
    }
}
