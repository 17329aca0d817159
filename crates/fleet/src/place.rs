//! Where a request goes.
//!
//! Load pattern that this answers: many adapters with few requests each and a few with many, engines
//! whose reading of prompts is the scarce resource, and hosts that each see a part of the load.

use std::{sync::Arc, time::Duration};

use crate::{
    Time,
    circuit::Use,
    engine::Engine,
    listing::Name,
    prefix::Chain,
    table::{Age, Key, Table},
};

/// Prompt tokens that an engine is expected to read in a millisecond while it also generates; its own
/// slowness corrects it.
const TOKENS_PER_MS: f64 = 16.0;

/// Expected part of the wait that each running request adds, in ms.
const RUNNING_MS: f64 = 0.35;

/// Expected time until a place is free in a full engine, for each request over its places, in ms.
const FULL_MS: f64 = 30.0;

/// Way to another failure domain and back, and its price, in ms.
const AWAY_MS: f64 = 6.0;

/// What a share of failures of 1 counts like, in ms.
const FAILING_MS: f64 = 2500.0;

/// What an older version counts like, in ms: the newest copy goes first unless it is full.
const OLDER_MS: f64 = 400.0;

/// Width of the draw among engines that are about equal, in ms, so that hosts that see the same don't
/// all choose the same.
const DRAW_MS: f64 = 10.0;

/// Expected wait from which another copy is wanted, if the emptiest engine has less than half of it.
const SPREAD_FROM_MS: f64 = 120.0;

/// A request that wants a place.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a str,
    /// The adapter or base model; `None` for a plain service.
    pub name: Option<&'a Name>,
    /// The prompt.
    pub chain: &'a Chain,
    /// The failure domain of this host.
    pub domain: &'a str,
    /// Engines that it was sent to already.
    pub tried: &'a [Key],
    /// A random number.
    pub draw: u64,
}

/// The answer to an [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Place {
    /// Send it there.
    At(Choice),
    /// No engine that can be used holds the adapter.
    Load,
    /// No engine of the service can be used.
    Nowhere,
}

/// An engine that was chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The engine.
    pub key: Key,
    /// Expected time to the first event.
    pub wait: Duration,
    /// Whether one more copy of the adapter would serve better.
    pub spread: bool,
}

/// Finds a place.
pub fn place(table: &Table, ask: &Ask, now: Time) -> Place {
    let usable: Vec<(Key, &Engine)> = table
        .iter()
        .filter(|(key, it)| {
            &*it.listing.service == ask.service && it.takes_work() && !ask.tried.contains(key)
        })
        .collect();
    if usable.is_empty() {
        return Place::Nowhere;
    }
    let aside = |it: &Engine| it.circuit.state(now) == Use::Aside;
    let mut best: Option<(f64, Key)> = None;
    let mut emptiest = f64::INFINITY;
    let mut draw = ask.draw;
    for (key, engine) in &usable {
        // An upstream that is put aside is still better than none for a plain service.
        let mut cost = cost(engine, ask, now);
        if aside(engine) {
            if ask.name.is_some() {
                continue;
            }
            cost += 5000.0;
        }
        emptiest = emptiest.min(cost);
        if let Some(name) = ask.name {
            let Some(belief) = engine.held.get(name) else {
                continue;
            };
            match table.age(name, belief.version, now) {
                Age::Newest => {}
                Age::Older => cost += OLDER_MS,
                Age::Stale => continue,
            }
        }
        // Splitmix-like step; any spread of the low bits will do.
        draw = draw
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let drawn = cost + f64::from(u16::try_from(draw >> 48).unwrap_or(0)) / 65536.0 * DRAW_MS;
        if best.is_none_or(|it| drawn < it.0) {
            best = Some((drawn, *key));
        }
    }
    match best {
        Some((cost, key)) => Place::At(Choice {
            key,
            wait: Duration::from_secs_f64(cost.max(0.0) / 1000.0),
            spread: cost > SPREAD_FROM_MS && emptiest < cost / 2.0,
        }),
        None if ask.name.is_some() => Place::Load,
        None => Place::Nowhere,
    }
}

/// Expected time to the first event at an engine, in ms, with what makes it less wanted.
fn cost(engine: &Engine, ask: &Ask, now: Time) -> f64 {
    let load = engine.load_of_all(now);
    let slots = u32::try_from(engine.listing.slots.max(1)).unwrap_or(u32::MAX);
    let over = (load.running + 1).saturating_sub(slots);
    let new = ask
        .chain
        .tokens()
        .saturating_sub(engine.kept.tokens(ask.chain));
    let mut cost = if ask.name.is_some() {
        f64::from(load.unread + new) / TOKENS_PER_MS + f64::from(load.running) * RUNNING_MS
    } else {
        f64::from(load.running) / f64::from(slots) * 20.0
    };
    cost += f64::from(over) * FULL_MS;
    cost *= engine.slowness.max(0.8);
    if &*engine.listing.domain != ask.domain {
        cost += AWAY_MS;
    }
    if engine.circuit.state(now) == Use::Trial {
        cost += 30.0;
    }
    cost + engine.circuit.failures() * FAILING_MS
}

/// How full the engines of a service are that take work: running requests and places.
pub fn fullness(table: &Table, service: &Arc<str>, now: Time) -> (u32, u32) {
    let of_service = table.iter().filter(|(_, it)| it.listing.service == *service);
    let mut sum = (0, 0);
    for (_, engine) in of_service.filter(|(_, it)| it.takes_work()) {
        sum.0 += engine.load_of_all(now).running;
        sum.1 += u32::try_from(engine.listing.slots).unwrap_or(u32::MAX);
    }
    sum
}
