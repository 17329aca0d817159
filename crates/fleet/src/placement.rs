//! Chooses the engine for a request.
//!
//! Expected workload: many adapters with few requests each and a few with many, engines whose prefill is the
//! scarce resource, and hosts that each see only a part of the load.

use std::{sync::Arc, time::Duration};

use crate::{
    Time,
    circuit::State,
    engine::Engine,
    listing::Name,
    loader::Wanted,
    origin::BuildId,
    prefix::Chain,
    table::{Freshness, Key, Table},
};

/// Expected delay of the first event in ms for each running request.
const RUNNING_DELAY_MS: f64 = 0.35;

/// Expected delay in ms for each request beyond the slots of an instance of a plain service.
const PLAIN_FULL_DELAY_MS: f64 = 30.0;

/// Expected delay in ms at a fully occupied instance of a plain service.
const PLAIN_DELAY_MS: f64 = 20.0;

/// Cost in ms of the round trip to another failure domain and of its traffic.
const REMOTE_DOMAIN_COST_MS: f64 = 6.0;

/// Part of the longest allowed gap between two events in which an engine may read the prompts that wait for prefill. An
/// engine reads a piece of a prompt in each step, and an event carries the tokens of a few steps. More tokens at once would
/// delay the events of all its streams for too long. The limit doesn't apply to a prompt for an idle engine.
const PENDING_FRACTION: f64 = 0.42;

/// Part of the gap between two events in ms that the steps of an engine of average speed take without any prefill: an event
/// carries the tokens of three or four steps of some 10 ms each.
const DECODE_TIME_PER_EVENT_MS: f64 = 45.0;

/// Longest allowed gap that is assumed for requests whose route names none.
const DEFAULT_MAX_GAP: Duration = Duration::from_millis(250);

/// Part of the prompt tokens that an engine is known not to have read which it is taken to have still before it, at least:
/// it may be anywhere within them.
const UNREAD_FRACTION: f64 = 0.5;

/// Cost in ms of each running stream that would pause because the engine reads prompts for too long.
const PAUSED_STREAM_COST_MS: f64 = 25.0;

/// Cost in ms of a failure rate of 1. The cost grows with the square of the rate, since a few failures are
/// normal.
const FAILURE_COST_MS: f64 = 2500.0;

/// Cost in ms of an upstream with an open circuit.
const OPEN_COST_MS: f64 = 1500.0;

/// Cost in ms of an instance of a plain service that is unreachable.
const UNREACHABLE_COST_MS: f64 = 5000.0;

/// Cost in ms of an upstream with a half-open circuit.
const HALF_OPEN_COST_MS: f64 = 30.0;

/// Cost in ms of an engine that limits its requests, so that others are preferred unless they are loaded.
const LIMITED_COST_MS: f64 = 100.0;

/// Cost in ms of an older version of an adapter: a copy of the newest version is preferred unless its
/// engine is full.
const OLDER_VERSION_COST_MS: f64 = 400.0;

/// Range in ms of the random cost that spreads requests over nearly equal engines, so that hosts with the
/// same view don't all choose the same engine.
const RANDOM_COST_MS: f64 = 10.0;

/// Cost in ms above which a replica of the adapter is wanted, provided that the least loaded engine has
/// less than half of that cost. It is about the time of a load.
const REPLICA_MIN_COST_MS: f64 = 250.0;

/// A request that needs an engine.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// The adapter or base model; `None` for a plain service.
    pub name: Option<&'a Name>,
    /// The prompt, as a chain of hashes.
    pub chain: &'a Chain,
    /// Longest allowed gap between two events of the stream; 0 if the request isn't a stream.
    pub max_gap: Duration,
    /// The failure domain of this host.
    pub domain: &'a str,
    /// Engines that the request has already been sent to.
    pub tried: &'a [Key],
    /// The build that began the stream, if the request resumes one. No other may continue it.
    pub build: Option<BuildId>,
    /// Engine at which the request has a turn, if that engine limits its requests.
    pub turn: Option<Key>,
    /// A random number that decides between nearly equal engines.
    pub random: u64,
}

/// Result of [`place`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Placement {
    /// Send the request to this engine now.
    Send(Choice),
    /// This engine is the best, but too many prompt tokens wait for prefill there. Try again later.
    Delay(Choice),
    /// No usable engine holds the adapter.
    Load,
    /// The engines that could serve the request take none of this host now, because of a back-off or of their limits.
    /// The first of them may take it at this time.
    Closed(Key, Time),
    /// No engine of the service is usable.
    Unavailable,
    /// No other engine of the build that began the stream accepts work.
    BuildGone,
}

/// The engine chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The engine.
    pub key: Key,
    /// Expected time to the first event.
    pub expected_wait: Duration,
    /// Part of `expected_wait` until the engine has a free slot.
    pub queue_wait: Duration,
    /// True if a replica of the adapter on another engine would reduce the wait.
    pub wants_replica: bool,
}

/// Chooses an engine for a request.
pub fn place(table: &Table, request: &PlacementRequest, now: Time) -> Placement {
    let usable: Vec<(Key, &Engine)> = usable_engines(table, request).collect();
    if usable.is_empty() {
        return match request.build {
            Some(_) => Placement::BuildGone,
            None => Placement::Unavailable,
        };
    }
    let mut best: Option<(f64, f64, Key, bool)> = None;
    let mut first_open: Option<(Time, Key)> = None;
    let mut lowest_cost = f64::INFINITY;
    let mut random = request.random;
    for (key, engine) in &usable {
        let unreachable = engine.circuit.state(now) == State::Unreachable;
        if unreachable && request.name.is_some() {
            continue;
        }
        let has_turn = request.turn == Some(*key);
        let closed_until = if has_turn {
            engine.backoff.closed_until(now)
        } else {
            engine.closed_until(now)
        };
        if let Some(until) = closed_until {
            if request.name.is_none_or(|it| engine.held.contains_key(it)) {
                first_open = Some(first_open.map_or((until, *key), |it| it.min((until, *key))));
            }
            continue;
        }
        let wait_ms = expected_wait_ms(table, engine, request, now);
        let mut cost = wait_ms + extra_cost_ms(engine, request, now);
        if !has_turn && engine.needs_turn(now) {
            cost += LIMITED_COST_MS;
        }
        lowest_cost = lowest_cost.min(cost);
        if let Some(name) = request.name {
            let Some(estimate) = engine.held.get(name) else {
                continue;
            };
            if !estimate.accepts_request(now) {
                continue;
            }
            let queue_time = Duration::from_secs_f64(wait_ms.max(0.0) / 1000.0);
            let slot = || table.slot(*key, now);
            match table.freshness_after(name, estimate.version, now, queue_time, slot) {
                Freshness::Newest => {}
                Freshness::Older => cost += OLDER_VERSION_COST_MS,
                Freshness::Stale => continue,
            }
        }
        // A step of a linear congruential generator, of which the high bits are used.
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let random_cost =
            cost + f64::from(u16::try_from(random >> 48).unwrap_or(0)) / 65536.0 * RANDOM_COST_MS;
        if best.is_none_or(|it| random_cost < it.0) {
            best = Some((random_cost, wait_ms, *key, must_delay(engine, request, now)));
        }
    }
    match best {
        Some((cost, wait_ms, key, delayed)) => {
            let choice = Choice {
                key,
                expected_wait: Duration::from_secs_f64(wait_ms.max(0.0) / 1000.0),
                queue_wait: table.queue_wait_for_one_more(key, now),
                wants_replica: cost > REPLICA_MIN_COST_MS && lowest_cost < cost / 2.0,
            };
            if delayed {
                Placement::Delay(choice)
            } else {
                Placement::Send(choice)
            }
        }
        None => match first_open {
            Some((until, key)) => Placement::Closed(key, until),
            None if request.name.is_some() => Placement::Load,
            None => Placement::Unavailable,
        },
    }
}

/// Returns whether this host reaches an engine that accepts work and to which the request has not been sent.
pub fn has_reachable_engine(table: &Table, request: &PlacementRequest, now: Time) -> bool {
    let mut engines = usable_engines(table, request);
    engines.any(|it| it.1.circuit.state(now) != State::Unreachable)
}

/// Returns the engines that could serve the request if it were certain that they have not started again as another build.
pub fn uncertain_engines(table: &Table, request: &PlacementRequest, now: Time) -> Vec<Key> {
    let suits = |it: &Engine| {
        &*it.listing.service == request.service
            && it.accepts_work()
            && request.build == Some(BuildId::of(&it.listing))
            && it.circuit.state(now) != State::Unreachable
            && request.name.is_none_or(|name| it.held.contains_key(name))
    };
    let engines = table.uncertain_engines();
    let engines = engines.filter(|(key, it)| suits(it) && !request.tried.contains(key));
    engines.map(|it| it.0).collect()
}

/// Returns the engines that accept work and to which the request has not been sent.
fn usable_engines<'a>(
    table: &'a Table,
    request: &'a PlacementRequest,
) -> impl Iterator<Item = (Key, &'a Engine)> {
    table.iter().filter(|(key, it)| {
        &*it.listing.service == request.service
            && it.accepts_work()
            && it.is_of_build(request.build)
            && !request.tried.contains(key)
    })
}

/// Returns the expected time to the first event at an engine, in ms.
fn expected_wait_ms(table: &Table, engine: &Engine, request: &PlacementRequest, now: Time) -> f64 {
    let work = engine.total_work(now);
    let slots = u32::try_from(engine.listing.slots.max(1)).unwrap_or(u32::MAX);
    let excess = (work.running + 1).saturating_sub(slots);
    let slowness = engine.speed.slowness(now);
    let wait_ms = if request.name.is_some() {
        let unread = f64::from(engine.reading.unread_tokens(now)) * UNREAD_FRACTION;
        let pending = engine.pending_prefill_tokens(now).max(unread);
        (pending + uncached_tokens(engine, request)) / engine.present_tokens_per_ms(now)
            + (engine.speed.line().base_ms + f64::from(work.running) * RUNNING_DELAY_MS) * slowness
    } else {
        f64::from(work.running) / f64::from(slots) * PLAIN_DELAY_MS
    };
    // A full engine frees its slots one after the other, each after the run time of a request.
    let full_delay_ms = if request.name.is_some() {
        table.run_time(request.service).as_secs_f64() * 1000.0 / f64::from(slots)
    } else {
        PLAIN_FULL_DELAY_MS
    };
    wait_ms + f64::from(excess) * full_delay_ms * slowness
}

/// Returns the tokens of the prompt that the engine hasn't cached.
fn uncached_tokens(engine: &Engine, request: &PlacementRequest) -> f64 {
    let cached = engine.prefix_cache.cached_tokens(request.chain);
    f64::from(request.chain.tokens().saturating_sub(cached))
}

/// Returns whether the prompt has to wait until the engine has prefilled others. While an engine prefills
/// without a break, its running streams pause. Within the longest allowed gap, it is therefore sent fewer
/// tokens than it can prefill in that time.
fn must_delay(engine: &Engine, request: &PlacementRequest, now: Time) -> bool {
    let has_prompts = engine.tokens_sent_within(request.max_gap, now) > 0.0
        || engine.pending_prefill_tokens(now) > 0.0
        || engine.reading.unread_tokens(now) > 0;
    has_prompts && pauses_streams(engine, request, now)
}

/// Returns whether the running streams of an engine are likely to pause for too long if it gets the prompt now.
fn pauses_streams(engine: &Engine, request: &PlacementRequest, now: Time) -> bool {
    if request.name.is_none() {
        return false;
    }
    let gap_ms = allowed_gap_ms(request);
    let new = uncached_tokens(engine, request);
    let pending = engine.pending_prefill_tokens(now);
    let max_pending = gap_ms * PENDING_FRACTION * engine.speed.cautious_tokens_per_ms(now);
    (pending > 0.0 && pending + new > max_pending)
        || engine
            .speed
            .cautious_time_ms(read_within_gap(engine, request, now), now)
            * engine.strain(now)
            > reading_time_ms(engine, request, now)
}

/// Returns the probability that the running streams of an engine pause for too long if it gets the prompt now.
fn pause_probability(engine: &Engine, request: &PlacementRequest, now: Time) -> f64 {
    if request.name.is_none() {
        return 0.0;
    }
    let reading = &engine.reading;
    let rate = engine.present_tokens_per_ms(now);
    let busy_ms = reading.busy(request.max_gap, now).as_secs_f64() * 1000.0;
    let reading_ms = busy_ms.max(f64::from(reading.unread_tokens(now)) / rate);
    let total_ms = reading_ms + uncached_tokens(engine, request) / rate;
    let allowed_ms = reading_time_ms(engine, request, now);
    // The learned speed and its deviation tell how far the time may differ from the expected one.
    let tokens = total_ms * engine.speed.tokens_per_ms(now);
    engine.speed.overrun_probability(tokens, allowed_ms, now)
}

/// Longest allowed gap between two events of the streams of an engine, in ms. Those of other routes are taken to allow the
/// same.
fn allowed_gap_ms(request: &PlacementRequest) -> f64 {
    let max_gap = if request.max_gap.is_zero() {
        DEFAULT_MAX_GAP
    } else {
        request.max_gap
    };
    max_gap.as_secs_f64() * 1000.0
}

/// Time in ms within the longest allowed gap in which an engine can read prompts.
fn reading_time_ms(engine: &Engine, request: &PlacementRequest, now: Time) -> f64 {
    let decode_ms = DECODE_TIME_PER_EVENT_MS * engine.speed.slowness(now);
    (allowed_gap_ms(request) - decode_ms).max(0.0)
}

/// Prompt tokens that an engine would have to read within the longest allowed gap.
fn read_within_gap(engine: &Engine, request: &PlacementRequest, now: Time) -> f64 {
    engine.tokens_sent_within(request.max_gap, now) + uncached_tokens(engine, request)
}

/// Returns the cost of an engine beside the expected wait, in ms.
fn extra_cost_ms(engine: &Engine, request: &PlacementRequest, now: Time) -> f64 {
    let failure_rate = engine.circuit.failure_rate();
    let mut cost = failure_rate * failure_rate * FAILURE_COST_MS;
    let running = f64::from(engine.total_work(now).running);
    cost += running * pause_probability(engine, request, now) * PAUSED_STREAM_COST_MS;
    if &*engine.listing.domain != request.domain {
        cost += REMOTE_DOMAIN_COST_MS;
    }
    cost + match engine.circuit.state(now) {
        State::Closed => 0.0,
        State::HalfOpen => HALF_OPEN_COST_MS,
        State::Open => OPEN_COST_MS,
        State::Unreachable => UNREACHABLE_COST_MS,
    }
}

/// Purpose of a load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// No usable engine that suits the requests holds the adapter.
    Missing,
    /// One more replica is wanted, on an engine that doesn't hold the adapter.
    Replica,
}

/// Returns the engines on which an adapter should be loaded, the best first.
///
/// Expected load: in a large fleet, a host is the steward of one or two engines, so asking a steward nearly chooses the
/// engine. An adapter that is loaded on an engine without a free slot makes its requests wait there while other
/// engines have free slots. Engines with a free slot therefore come first, and among them those that still have the adapter
/// in memory. Otherwise the order is the same on all hosts and stays the same, so that an adapter usually returns to the
/// same engine.
pub fn rank_for_load(
    table: &Table,
    service: &str,
    wanted: &Wanted,
    purpose: Purpose,
    now: Time,
) -> Vec<Key> {
    let name = &wanted.name;
    let suits = |it: &Engine| match purpose {
        Purpose::Missing => wanted.suits(it),
        Purpose::Replica => !it.held.contains_key(name),
    };
    let is_candidate =
        |it: &Engine| &*it.listing.service == service && it.accepts_work() && suits(it);
    let rank = |(key, it): (Key, &Engine)| {
        let is_usable = it.circuit.state(now) == State::Closed
            && it.closed_until(now).is_none()
            && !it.needs_turn(now)
            && table.queue_wait_for_one_more(key, now).is_zero();
        // A load from memory takes a fraction of the time of one from the weight store, which it leaves to others.
        let loads_from_memory = is_usable && it.recently_unloaded.contains(name);
        let class = (is_usable, loads_from_memory);
        (class, it.load_rank(name, now), key)
    };
    let engines = table.iter().filter(|it| is_candidate(it.1));
    let mut ranked: Vec<_> = engines.map(rank).collect();
    ranked.sort_unstable_by(|a, b| {
        let class = b.0.cmp(&a.0);
        class.then_with(|| b.1.total_cmp(&a.1)).then(b.2.cmp(&a.2))
    });
    ranked.into_iter().map(|it| it.2).collect()
}

/// Returns the running requests and the slots of all engines of a service that accept work.
pub fn occupancy(table: &Table, service: &Arc<str>, now: Time) -> (u32, u32) {
    let engines = table
        .iter()
        .filter(|(_, it)| it.listing.service == *service);
    let mut sum = (0, 0);
    for (_, engine) in engines.filter(|(_, it)| it.accepts_work()) {
        sum.0 += engine.total_work(now).running;
        sum.1 += u32::try_from(engine.listing.slots).unwrap_or(u32::MAX);
    }
    sum
}
