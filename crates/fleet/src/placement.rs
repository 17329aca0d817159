//! Where a request goes.
//!
//! Load pattern that this answers: many adapters with few requests each and a few with many, engines
//! whose reading of prompts is the scarce resource, and hosts that each see a part of the load.

use std::{sync::Arc, time::Duration};

use crate::{
    Time,
    circuit::State,
    engine::{Engine, PREFILL_TOKENS_PER_MS},
    listing::Name,
    prefix::Chain,
    table::{Freshness, Key, Table},
};

/// Expected part of the wait that each running request adds, in ms.
const RUNNING_MS: f64 = 0.35;

/// Expected time until a place is free in a full engine, for each request over its places, in ms.
const FULL_MS: f64 = 30.0;

/// Wait at a full instance of a plain service, in ms.
const PLAIN_MS: f64 = 20.0;

/// Way to another failure domain and back, and its price, in ms.
const AWAY_MS: f64 = 6.0;

/// Prompt tokens that may wait at an engine. An engine reads a piece of a prompt in each step, and an
/// event has the tokens of a few steps, so more than this at once makes a pause of all its streams that
/// is longer than they may have.
const PACE_TOKENS: f64 = 2800.0;

/// Part of the longest pause between events that the steps of an engine take without any prompt, in ms: an
/// event has the tokens of three or four steps of some 10 ms.
const STEPS_MS: f64 = 45.0;

/// What each running stream counts like at an engine where too much would wait, in ms.
const PAUSES_MS: f64 = 8.0;

/// What a share of failures of 1 counts like, in ms; it counts with its square, since a few failures
/// are usual.
const FAILING_MS: f64 = 2500.0;

/// What an upstream counts like that was put aside, in ms.
const ASIDE_MS: f64 = 1500.0;

/// The same for an instance of a plain service that could not be reached.
const UNREACHABLE_MS: f64 = 5000.0;

/// What an upstream counts like whose answers were bad a while ago, in ms.
const TRIAL_MS: f64 = 30.0;

/// What an older version counts like, in ms: the newest copy goes first unless it is full.
const OLDER_MS: f64 = 400.0;

/// Width of the draw among engines that are about equal, in ms, so that hosts that see the same don't
/// all choose the same.
const DRAW_MS: f64 = 10.0;

/// Expected wait from which another copy is wanted, if the emptiest engine has less than half of it.
const SPREAD_FROM_MS: f64 = 120.0;

/// A request that wants a place.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// The adapter or base model; `None` for a plain service.
    pub name: Option<&'a Name>,
    /// The prompt.
    pub chain: &'a Chain,
    /// The longest pause that its stream may have; 0 if it has none.
    pub max_gap: Duration,
    /// The failure domain of this host.
    pub domain: &'a str,
    /// Engines that it was sent to already.
    pub tried: &'a [Key],
    /// A random number.
    pub random: u64,
}

/// The answer to an [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Placement {
    /// Send it there.
    Send(Choice),
    /// All engines that hold the adapter have enough to read for this long.
    Delay(Choice),
    /// No engine that can be used holds the adapter.
    Load,
    /// No engine of the service can be used.
    Unavailable,
}

/// An engine that was chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The engine.
    pub key: Key,
    /// Expected time to the first event.
    pub expected_wait: Duration,
    /// Whether one more copy of the adapter would serve better.
    pub wants_replica: bool,
}

/// Finds a place.
pub fn place(table: &Table, ask: &PlacementRequest, now: Time) -> Placement {
    let usable: Vec<(Key, &Engine)> = table
        .iter()
        .filter(|(key, it)| {
            &*it.listing.service == ask.service && it.accepts_work() && !ask.tried.contains(key)
        })
        .collect();
    if usable.is_empty() {
        return Placement::Unavailable;
    }
    let mut best: Option<(f64, f64, Key, bool)> = None;
    let mut emptiest = f64::INFINITY;
    let mut draw = ask.random;
    for (key, engine) in &usable {
        let unreachable = engine.circuit.state(now) == State::Unreachable;
        if unreachable && ask.name.is_some() {
            continue;
        }
        let wait = wait(engine, ask, now);
        let mut cost = wait + penalty(engine, ask, now);
        emptiest = emptiest.min(cost);
        if let Some(name) = ask.name {
            let Some(belief) = engine.held.get(name) else {
                continue;
            };
            if !belief.accepts_request(now) {
                continue;
            }
            let ahead = Duration::from_secs_f64(wait.max(0.0) / 1000.0);
            match table.freshness_after(name, belief.version, now, ahead) {
                Freshness::Newest => {}
                Freshness::Older => cost += OLDER_MS,
                Freshness::Stale => continue,
            }
        }
        // Splitmix-like step; any spread of the low bits will do.
        draw = draw
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let drawn = cost + f64::from(u16::try_from(draw >> 48).unwrap_or(0)) / 65536.0 * DRAW_MS;
        if best.is_none_or(|it| drawn < it.0) {
            best = Some((drawn, wait, *key, is_paced(engine, ask, now)));
        }
    }
    match best {
        Some((cost, wait, key, paced)) => {
            let choice = Choice {
                key,
                expected_wait: Duration::from_secs_f64(wait.max(0.0) / 1000.0),
                wants_replica: cost > SPREAD_FROM_MS && emptiest < cost / 2.0,
            };
            if paced {
                Placement::Delay(choice)
            } else {
                Placement::Send(choice)
            }
        }
        None if ask.name.is_some() => Placement::Load,
        None => Placement::Unavailable,
    }
}

/// Expected time to the first event at an engine, in ms.
fn wait(engine: &Engine, ask: &PlacementRequest, now: Time) -> f64 {
    let load = engine.total_work(now);
    let slots = u32::try_from(engine.listing.slots.max(1)).unwrap_or(u32::MAX);
    let over = (load.running + 1).saturating_sub(slots);
    let wait = if ask.name.is_some() {
        (engine.pending_prefill_tokens(now) + new_tokens(engine, ask)) / PREFILL_TOKENS_PER_MS
            + f64::from(load.running) * RUNNING_MS
    } else {
        f64::from(load.running) / f64::from(slots) * PLAIN_MS
    };
    (wait + f64::from(over) * FULL_MS) * engine.slowness.max(0.8)
}

/// Tokens of the prompt that the engine doesn't keep.
fn new_tokens(engine: &Engine, ask: &PlacementRequest) -> f64 {
    let kept = engine.prefix_cache.cached_tokens(ask.chain);
    f64::from(ask.chain.tokens().saturating_sub(kept))
}

/// Whether the prompt should wait here until the engine has read others. The streams that run there pause as
/// long as it reads without a break, so within the pause that they may have it is sent less than it can read.
fn is_paced(engine: &Engine, ask: &PlacementRequest, now: Time) -> bool {
    if ask.name.is_none() {
        return false;
    }
    let new = new_tokens(engine, ask);
    let unread = engine.pending_prefill_tokens(now);
    let sent = engine.tokens_sent_within(ask.max_gap, now);
    let readable = (ask.max_gap.as_secs_f64() * 1000.0 - STEPS_MS) * PREFILL_TOKENS_PER_MS;
    (unread > 0.0 && unread + new > PACE_TOKENS) || (sent > 0.0 && sent + new > readable)
}

/// What makes an engine less wanted beside the wait, in ms.
fn penalty(engine: &Engine, ask: &PlacementRequest, now: Time) -> f64 {
    let failures = engine.circuit.failure_rate();
    let mut penalty = failures * failures * FAILING_MS;
    if is_paced(engine, ask, now) {
        penalty += f64::from(engine.total_work(now).running) * PAUSES_MS;
    }
    if &*engine.listing.domain != ask.domain {
        penalty += AWAY_MS;
    }
    penalty
        + match engine.circuit.state(now) {
            State::Closed => 0.0,
            State::HalfOpen => TRIAL_MS,
            State::Open => ASIDE_MS,
            State::Unreachable => UNREACHABLE_MS,
        }
}

/// How full the engines of a service are that take work: running requests and places.
pub fn occupancy(table: &Table, service: &Arc<str>, now: Time) -> (u32, u32) {
    let of_service = table
        .iter()
        .filter(|(_, it)| it.listing.service == *service);
    let mut sum = (0, 0);
    for (_, engine) in of_service.filter(|(_, it)| it.accepts_work()) {
        sum.0 += engine.total_work(now).running;
        sum.1 += u32::try_from(engine.listing.slots).unwrap_or(u32::MAX);
    }
    sum
}
