//! Measures the processor time of placement decisions by the size of a failure domain.

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
    deployment::zipf_weight,
    simulation::{adapter_reference, parse_name},
};

/// Adapter slots of each engine.
const SLOTS_PER_ENGINE: u32 = 8;

/// Engines per steward at the target size: 11,000 engines for 520 hosts.
const ENGINES_PER_HOST: usize = 21;

/// Simulated time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_micros(100);

/// Sizes of the failure domain that are compared, in engines.
pub const DOMAIN_SIZES: [usize; 4] = [18, 128, 512, 1_100];

/// Adapters in the workload, the same for every size.
pub const ADAPTER_COUNT: usize = 23_000;

/// Mean processor time of one request, in nanoseconds.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Engines in the failure domain.
    pub engines: usize,
    /// Ranking the candidate stewards at the host that received the request.
    pub rank_ns: u128,
    /// All events of the request at a steward of at most [`ENGINES_PER_HOST`] engines.
    pub steward_ns: u128,
    /// All events of the request at a single steward of all engines of the domain.
    pub single_steward_ns: u128,
}

/// Measures the mean cost of `request_count` requests in a failure domain of `engines` engines.
pub fn measure(engines: usize, request_count: usize, seed: u64) -> Cost {
    let requests = sample_requests(request_count, seed);
    Cost {
        engines,
        rank_ns: measure_rank_ns(engines, &requests),
        steward_ns: measure_steward_ns(engines.min(ENGINES_PER_HOST), &requests),
        single_steward_ns: measure_steward_ns(engines, &requests),
    }
}

/// Returns the exponent of the power law by which a cost grows from the first size to the last.
/// Each argument is a size in engines and its cost in nanoseconds.
#[expect(clippy::cast_precision_loss, reason = "costs are small")]
pub fn growth_exponent(first: (usize, u128), last: (usize, u128)) -> f64 {
    let cost = last.1.max(1) as f64 / first.1.max(1) as f64;
    let size = last.0 as f64 / first.0 as f64;
    cost.ln() / size.ln()
}

/// Generates requests whose adapters follow a Zipf distribution of skew 1.
fn sample_requests(count: usize, seed: u64) -> Vec<Request> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut sum = 0.0;
    let cumulative_weights: Vec<f64> = (0..ADAPTER_COUNT)
        .map(|rank| {
            sum += zipf_weight(rank, 1.0);
            sum
        })
        .collect();
    (0..count)
        .map(|number| {
            let point = random.random_range(0.0..sum);
            build_permit_request(
                number,
                cumulative_weights
                    .partition_point(|it| *it <= point)
                    .min(ADAPTER_COUNT - 1),
            )
        })
        .collect()
}

fn build_permit_request(number: usize, adapter: usize) -> Request {
    Request {
        request: format!("r{number}").parse().expect("the id is well formed"),
        holder: Holder {
            host: parse_name("host-0"),
            incarnation: 1,
        },
        reference: adapter_reference(adapter),
        model: parse_name("base"),
        tenant: parse_name(&format!("tenant-{}", adapter % 64)),
        class: Class::Standard,
        remaining: Duration::from_secs(10),
        prefix: u64::try_from(adapter).unwrap_or(0),
        max_tokens: 64,
    }
}

/// Measures the mean time of [`Directory::rank`].
fn measure_rank_ns(engines: usize, requests: &[Request]) -> u128 {
    let directory = build_directory(engines);
    let start = Instant::now();
    let candidate_count: usize = requests.iter().map(|it| directory.rank(it).len()).sum();
    let elapsed = start.elapsed();
    assert!(
        candidate_count >= requests.len(),
        "each request has a candidate steward"
    );
    elapsed.as_nanos() / requests.len() as u128
}

/// Builds a directory in which every slot of every engine holds an adapter.
fn build_directory(engines: usize) -> Directory {
    let mut directory = Directory::new(parse_name("domain"));
    for engine in 0..engines {
        let steward: Host = parse_name(&format!("host-{}", engine / ENGINES_PER_HOST));
        let name: Upstream = parse_name(&format!("engine-{engine}"));
        let added = Change::Added {
            domain: parse_name("domain"),
            model: parse_name("base"),
            fence: 1,
            state: Availability::Live,
        };
        directory.apply(&steward, &name, added);
        for slot in 0..SLOTS_PER_ENGINE as usize {
            let adapter = (engine * SLOTS_PER_ENGINE as usize + slot) % ADAPTER_COUNT;
            directory.apply(&steward, &name, Change::Loaded(adapter_reference(adapter)));
        }
    }
    directory
}

/// Measures the mean time for which one steward of `engines` engines handles a request.
fn measure_steward_ns(engines: usize, requests: &[Request]) -> u128 {
    let mut now = Instant::now();
    let mut state = State::new(Settings::default());
    for engine in 0..engines {
        acquire_engine(&mut state, engine, now);
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
    for (number, request) in requests.iter().enumerate() {
        now += REQUEST_INTERVAL;
        let ticket = Ticket(number as u64);
        handle_to_completion(
            &mut state,
            Event::PermitRequest {
                ticket,
                request: request.clone(),
            },
            now,
        );
    }
    start.elapsed().as_nanos() / requests.len() as u128
}

/// Makes the steward acquire an engine that has no adapters loaded.
fn acquire_engine(state: &mut State, engine: usize, now: Instant) {
    let instance = Instance {
        name: parse_name(&format!("engine-{engine}")),
        address: ([127, 0, 0, 1], 1).into(),
        domain: parse_name("domain"),
        role: Role::Engine(parse_name("base")),
        state: Availability::Live,
    };
    let name = instance.name.clone();
    let acquired = Event::Acquired {
        engine: instance,
        fence: 1,
        fencing: Fencing::Checked,
        predecessor: Predecessor::None,
    };
    state.handle(acquired, now);
    let report = Event::SlotReport {
        engine: name,
        requested_at: now,
        incarnation: 1,
        slots: SLOTS_PER_ENGINE,
        loaded: Vec::new(),
    };
    state.handle(report, now);
}

/// Handles an event and all that follow from it: every order completes at once, and every granted
/// permit is released.
fn handle_to_completion(state: &mut State, event: Event, now: Instant) {
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
