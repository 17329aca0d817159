//! Which adapters and base models this host's own engines load and evict.
//!
//! Load pattern that this answers: a tenth of the requests name an adapter that no engine holds, demand
//! moves to others within seconds, and engines come back empty. One load serves all who wait for an
//! adapter; a victim is what was used least, and never what runs.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::{
    Time,
    catalog::{Capacity, Catalog},
    circuit::State,
    engine::{Engine, Estimate},
    in_flight::{self, InFlightLoads},
    listing::{Name, base_model, is_adapter},
    rate_limit::{self, RateLimiter},
    rendezvous,
    table::{Freshness, Key, Table},
};

/// Adapters that may be on their way to one engine at a time (the platform's limit).
const IN_TRANSIT: usize = 4;

/// Time after which a load of an adapter is taken as done, until slower ones were seen.
const ADAPTER_LOADS: Duration = Duration::from_millis(262);

/// The same for one that the engine held not long ago: a tenth, and a little more.
const ADAPTER_RELOADS: Duration = Duration::from_millis(45);

/// Names that an engine is believed to reload fast.
const RELOADS: usize = 110;

/// Time for which an ask for a load is kept without being asked again.
const WANT_HOLDS: Duration = Duration::from_millis(1500);

/// An adapter that was loaded or used more recently isn't evicted.
const SETTLES: Duration = Duration::from_millis(700);

/// Time after a load should be done in which it surely is, however slow the weight store was.
const SURELY: Duration = Duration::from_secs(2);

/// Decayed uses of an adapter from which its older copy is replaced without being asked for.
const REFRESH_FROM: f64 = 0.5;

/// Pause after an order that met another one or too many on their way.
const CONFLICT_PAUSE: Duration = Duration::from_millis(50);

/// Orders without an answer in a row after which the engine is asked what it does.
const SILENCES: u32 = 3;

/// Conflicts in a row after which the engine is asked what it does.
const CONFLICTS: u32 = 3;

/// Loads of adapters at once at full speed, for each engine, until more was learned: the users'
/// platforms have 0.8 to 0.9.
const AT_ONCE: f64 = 0.85;

/// Step of what is learned of the loads at once: a load that wasn't there in time, and one that was.
const FEWER: f64 = 0.95;
const MORE: f64 = 1.01;

/// Bounds of what is learned, for each engine.
const LEAST: f64 = 0.2;
const MOST: f64 = 4.0;

/// Loads that this host has on their way, against its share of those at full speed: more would only
/// delay each other.
const SHARE_OVER: f64 = 1.5;

/// Part of the uses that one more copy would take, up to which it is worth more than its victim: those
/// who use the victim wait for its load, the others only for their turn.
const COPY_WORTH: f64 = 0.2;

/// Time of waiting that counts as much as one more request that waits.
const WAITER_AGE: Duration = Duration::from_millis(300);

/// Part of the loads at full speed from which no copies are loaded: they would delay those who wait.
const COPIES_BELOW: f64 = 0.7;

/// Time for which a load counts among those on their way beyond the expected.
const STILL: Duration = Duration::from_millis(30);

/// What an engine is worth less, in ms, for each engine that is better placed for an adapter: an
/// adapter that always comes to the same engine is still in that engine's memory.
const RANK_MS: f64 = 3.0;

/// What a load from the weight store counts like against one from the engine's memory, in ms.
const FETCH_MS: f64 = 250.0;

/// Pause after an order that was refused, before the engine is asked what it does: what it reports is
/// some hundred ms old.
const REFUSED_PAUSE: Duration = Duration::from_millis(350);

/// Pause after an order without an answer; what an engine reports is some hundred ms old.
const SILENT_PAUSE: Duration = Duration::from_millis(500);

/// Pause between two looks at an engine that loads a base model.
const LOOK_PAUSE: Duration = Duration::from_millis(400);

/// What an order does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Op {
    /// Load this version, or the newest.
    Load(Option<u64>),
    /// Unload.
    Unload,
}

/// An order to one engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The engine.
    pub key: Key,
    /// The adapter or base model.
    pub name: Name,
    /// What is to be done.
    pub op: Op,
    /// Orders that the engine must have accepted before.
    pub expected_orders: u64,
}

/// What to do next at an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send an order.
    Send(Order),
    /// Ask the engine what it holds and does.
    QueryStatus(Key),
}

/// What came of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It is being carried out.
    Accepted,
    /// It holds already.
    InEffect,
    /// Another order is under way, or the expected number differs.
    Conflict,
    /// The engine can't do it.
    Refused,
    /// Unknown: there was no answer. It may yet be carried out.
    NoAnswer,
}

/// What an engine says of itself.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Orders that it has accepted.
    pub accepted_orders: u64,
    /// What it holds.
    pub held: Vec<crate::listing::Held>,
    /// Adapters on their way.
    pub in_flight: Vec<Name>,
}

#[derive(Clone, Debug)]
struct Want {
    service: Arc<str>,
    since: Time,
    last: Time,
    /// For one more copy: the decayed uses that it would take.
    spread: Option<f64>,
    /// Requests that wait for it, by host.
    waiting: HashMap<Arc<str>, u32>,
}

impl Want {
    /// What goes first: many who wait, and those who wait long, so that rare adapters aren't starved.
    /// Copies go last.
    fn urgency(&self, now: Time) -> f64 {
        let waiting: u32 = self.waiting.values().sum();
        let age = now.saturating_sub(self.since).as_secs_f64() / WAITER_AGE.as_secs_f64();
        if self.spread.is_some() {
            age - 1000.0
        } else {
            f64::from(waiting) + age
        }
    }
}

#[derive(Clone, Debug)]
struct Transit {
    name: Name,
    version: u64,
    done: Time,
    told: bool,
}

/// The orders of one life of one engine.
#[derive(Clone, Debug, Default)]
struct Works {
    born: u64,
    /// Orders that the engine has accepted; unknown until it was asked.
    orders: Option<u64>,
    asked: bool,
    /// What it holds by its own word and by the orders since. The list may be old, so it doesn't count
    /// for the limits.
    ledger: HashSet<Name>,
    transit: Vec<Transit>,
    leaving: Vec<(Name, Time)>,
    /// An order without an answer, which may still be carried out until a later one is accepted.
    ghost: Option<(Name, Op)>,
    conflicts: u32,
    silences: u32,
    look: bool,
    pause: Time,
    reloads: VecDeque<Name>,
}

/// The loads of this host's own engines.
#[derive(Clone, Debug, Default)]
pub struct Loader {
    wants: HashMap<Name, Want>,
    works: HashMap<Key, Works>,
    ceiling: RateLimiter,
    /// Loads at once at full speed, for each engine; 0 until one was seen.
    at_once: f64,
    /// Loads of other hosts that are on their way.
    pub remote_loads: usize,
    /// Engines that load adapters.
    engines: usize,
}

/// An ask for an adapter.
#[derive(Clone, Debug)]
pub struct LoadRequest {
    /// The host that asks.
    pub host: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// The adapter.
    pub name: Name,
    /// For one more copy: the decayed uses that it would take.
    pub replica_uses: Option<f64>,
    /// Requests that wait for it at that host.
    pub waiting: u32,
}

/// What a decision rests on.
pub struct View<'a> {
    /// The engines.
    pub table: &'a Table,
    /// The operator's configuration.
    pub catalog: &'a Catalog,
    /// The engines that this host may order now.
    pub orderable: &'a [Key],
    /// Hosts that may order loads.
    pub hosts: usize,
    /// Length of the window of the weight store's limit.
    pub window: Time,
    /// Loads that other hosts have ordered.
    pub in_flight: &'a InFlightLoads,
    /// The time.
    pub now: Time,
}

/// A load that is done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Completion {
    /// The engine.
    pub key: Key,
    /// What it holds now.
    pub name: Name,
    /// The version that was loaded; 0 if the engine chose it.
    pub version: u64,
}

impl Loader {
    /// Takes in an ask for an adapter on one of this host's engines.
    pub fn add_request(&mut self, ask: &LoadRequest, now: Time) {
        let LoadRequest {
            service,
            name,
            replica_uses: spread,
            ..
        } = ask;
        let spread = *spread;
        let want = self.wants.entry(name.clone()).or_insert_with(|| Want {
            service: service.clone(),
            since: now,
            last: now,
            spread,
            waiting: HashMap::new(),
        });
        want.waiting.insert(ask.host.clone(), ask.waiting);
        want.last = now;
        if spread.is_none() {
            want.spread = None;
        }
    }

    /// Whether a load of it is wanted or under way.
    pub fn has_load(&self, name: &str) -> bool {
        self.wants.contains_key(name)
            || (self.works.values()).any(|it| it.transit.iter().any(|it| &*it.name == name))
    }

    /// Loads that are on their way.
    pub fn in_flight_count(&self) -> usize {
        self.works.values().map(|it| it.transit.len()).sum()
    }

    /// The loads that are done by now. The caller enters them in the table.
    pub fn take_completed(&mut self, now: Time) -> Vec<Completion> {
        let mut done = Vec::new();
        for (key, works) in &mut self.works {
            works.transit.retain_mut(|it| {
                if is_adapter(&it.name) && it.done <= now && !it.told {
                    it.told = true;
                    done.push(Completion {
                        key: *key,
                        name: it.name.clone(),
                        version: it.version,
                    });
                }
                !it.told || it.done + STILL > now
            });
        }
        done
    }

    /// What to do next at the engines that may be ordered. Each engine has one order at a time.
    pub fn next_actions(&mut self, view: &View) -> Vec<Action> {
        let now = view.now;
        self.wants.retain(|_, it| it.last + WANT_HOLDS > now);
        self.works.retain(|key, _| view.table.get(*key).is_some());
        for (key, works) in &mut self.works {
            if !view.orderable.contains(key) {
                // Another host may order it meanwhile.
                works.orders = None;
            }
        }
        let orders = |it: &&Engine| {
            let service = view.catalog.services.get(&it.listing.service);
            service.is_some_and(|it| it.engine.is_some())
        };
        self.engines = view.table.iter().map(|it| it.1).filter(orders).count();
        let mut steps = Vec::new();
        let mut free = Vec::new();
        for key in view.orderable {
            let Some(engine) = view.table.get(*key) else {
                continue;
            };
            let works = self.works.entry(*key).or_default();
            works.meet(engine);
            if works.asked || works.pause > now || !engine.accepts_work() {
                continue;
            }
            if works.look || works.orders.is_none() {
                works.asked = true;
                steps.push(Action::QueryStatus(*key));
                continue;
            }
            free.push(*key);
        }
        self.load_models(view, &mut free, &mut steps);
        self.refresh(view, &mut free, &mut steps);
        self.load_adapters(view, &mut free, &mut steps);
        steps
    }

    /// Has empty engines load a base model.
    fn load_models(&mut self, view: &View, free: &mut Vec<Key>, steps: &mut Vec<Action>) {
        free.retain(|key| {
            let Some((engine, shape)) = shaped(view, *key) else {
                return false;
            };
            let Some(works) = self.works.get_mut(key) else {
                return false;
            };
            if engine.held.keys().any(|it| !is_adapter(it)) {
                return true;
            }
            if !works.transit.is_empty() {
                return false;
            }
            let wanted = |it: &&crate::catalog::Model| {
                self.wants.keys().any(|name| base_model(name) == &*it.name)
            };
            let models = &shape.models;
            let Some(it) = models.iter().find(wanted).or_else(|| models.first()) else {
                return false;
            };
            let rule = rate_limit::Rule {
                per_s: shape.loads_per_s,
                window: view.window,
            };
            if it.weights_mb <= shape.weights_mb
                && self.ceiling.try_acquire(view.now, rule, view.hosts)
            {
                steps.push(works.ask(*key, it.name.clone(), Op::Load(None)));
            }
            false
        });
    }

    /// Replaces older versions of adapters that are in use but don't run just now.
    fn refresh(&mut self, view: &View, free: &mut Vec<Key>, steps: &mut Vec<Action>) {
        let now = view.now;
        free.retain(|key| {
            let Some(engine) = view.table.get(*key) else {
                return false;
            };
            let Some(works) = self.works.get_mut(key) else {
                return false;
            };
            if works.transit.len() >= IN_TRANSIT {
                return false;
            }
            let old = engine.held.iter().find(|(name, it)| {
                is_adapter(name)
                    && view.table.freshness(name, it.version, now) != Freshness::Newest
                    && it.total_running(now) == 0
                    && it.uses(now) >= REFRESH_FROM
                    && works.ledger.contains(*name)
                    && is_there(it, now)
                    && !works.moves(name)
            });
            let Some((name, _)) = old else { return true };
            let version = view.table.newest_version(name).map(|it| it.version);
            steps.push(works.ask(*key, name.clone(), Op::Load(version)));
            false
        });
    }

    /// Loads the adapters that are asked for, oldest ask first, and makes room for them.
    fn load_adapters(&mut self, view: &View, free: &mut Vec<Key>, steps: &mut Vec<Action>) {
        let mut wants: Vec<(Name, Want)> = (self.wants.iter())
            .map(|(name, it)| (name.clone(), it.clone()))
            .collect();
        wants.sort_by(|a, b| {
            let order = b.1.urgency(view.now).total_cmp(&a.1.urgency(view.now));
            order.then_with(|| a.0.cmp(&b.0))
        });
        let full_speed = self.at_once() * count(self.engines);
        let copies = count(self.in_flight_count() + self.remote_loads) < full_speed * COPIES_BELOW;
        let share = count(view.orderable.len()) * self.at_once() * SHARE_OVER;
        let share = share.max(2.0);
        for (name, want) in wants {
            if free.is_empty() || count(self.in_flight_count()) >= share {
                return;
            }
            if want.spread.is_some() && !copies {
                return;
            }
            if self.served(view, &name, &want) {
                self.wants.remove(&name);
                continue;
            }
            if self.load_base(view, &name, &want, free, steps) {
                continue;
            }
            let room = |key: &Key| self.room(view, *key, &name, &want);
            let best = free
                .iter()
                .filter_map(|key| room(key).map(|it| (it, *key)))
                .min_by(|a, b| a.0.cost.total_cmp(&b.0.cost));
            let Some((room, key)) = best else { continue };
            free.retain(|it| *it != key);
            let Some(works) = self.works.get_mut(&key) else {
                continue;
            };
            if let Some(victim) = room.victim {
                steps.push(works.ask(key, victim, Op::Unload));
            } else {
                let version = view.table.newest_version(&name).map(|it| it.version);
                steps.push(works.ask(key, name.clone(), Op::Load(version)));
                self.wants.remove(&name);
            }
        }
    }

    /// Has a base model loaded that no engine of the service holds, where there is room beside others;
    /// a base model is never given up for another. Returns whether the ask waits for that.
    fn load_base(
        &mut self,
        view: &View,
        name: &Name,
        want: &Want,
        free: &mut Vec<Key>,
        steps: &mut Vec<Action>,
    ) -> bool {
        let base = base_model(name);
        let of_service = |it: &&Engine| it.listing.service == want.service && it.accepts_work();
        let mut engines = view.table.iter().map(|it| it.1).filter(of_service);
        if engines.any(|it| it.held.contains_key(base)) {
            return false;
        }
        let comes = |it: &Works| it.moves(base);
        if self.works.values().any(comes) {
            return true;
        }
        let found = free.iter().copied().find_map(|key| {
            let (engine, shape) = shaped(view, key)?;
            let model = shape.model(base)?;
            let works = self.works.get(&key)?;
            let fits = works.megabytes(engine, shape) + model.weights_mb <= shape.weights_mb;
            let rule = rate_limit::Rule {
                per_s: shape.loads_per_s,
                window: view.window,
            };
            let fits = fits && engine.listing.service == want.service;
            fits.then(|| (key, model.name.clone(), rule))
        });
        let Some((key, base, rule)) = found else {
            return true;
        };
        if self.ceiling.try_acquire(view.now, rule, view.hosts)
            && let Some(works) = self.works.get_mut(&key)
        {
            free.retain(|it| *it != key);
            steps.push(works.ask(key, base, Op::Load(None)));
        }
        true
    }

    /// Whether the ask is met: a load is on its way, or an engine of this host holds it.
    fn served(&self, view: &View, name: &Name, want: &Want) -> bool {
        let on_its_way =
            (self.works.values()).any(|it| it.transit.iter().any(|it| it.name == *name));
        if on_its_way || want.spread.is_some() {
            return on_its_way;
        }
        if view.in_flight.find(name, view.table, view.now).is_some() {
            return true;
        }
        view.orderable.iter().any(|key| {
            view.table.get(*key).is_some_and(|it| {
                it.accepts_work()
                    && it.circuit.state(view.now) != State::Unreachable
                    && it.held.get(name).is_some_and(|belief| {
                        view.table.freshness(name, belief.version, view.now) == Freshness::Newest
                    })
            })
        })
    }

    fn room(&self, view: &View, key: Key, name: &Name, want: &Want) -> Option<Room> {
        let now = view.now;
        let (engine, shape) = shaped(view, key)?;
        let works = self.works.get(&key)?;
        let model = shape.model(base_model(name))?;
        if engine.listing.service != want.service
            || !engine.held.contains_key(&model.name)
            || works.transit.len() >= IN_TRANSIT
            || works.moves(name)
            || matches!(engine.circuit.state(now), State::Open | State::Unreachable)
        {
            return None;
        }
        // The list may be old: only by its own word does an engine have a copy to be replaced.
        if let Some(belief) = engine
            .held
            .get(name)
            .filter(|_| works.ledger.contains(name))
        {
            let newest = view.table.freshness(name, belief.version, now) == Freshness::Newest;
            // An older copy is replaced in place once nothing runs with it.
            let free = belief.total_running(now) == 0 && is_there(belief, now);
            return (!newest && free).then(|| Room::free(engine, now));
        }
        let mut room = Room::free(engine, now);
        if !works.reloads.contains(name) {
            room.cost += FETCH_MS + RANK_MS * rank(view, engine, name);
        }
        if works.fits(engine, shape, model.adapter_mb) {
            return Some(room);
        }
        let victims = engine.held.iter().filter(|(name, it)| {
            is_adapter(name)
                && it.total_running(now) == 0
                && it.last_used() + SETTLES < now
                && !works.moves(name)
        });
        let value = |name: &Name, it: &Estimate| {
            let old = view.table.freshness(name, it.version, now) != Freshness::Newest;
            if old { -1.0 } else { it.uses(now) }
        };
        let (victim, uses) = victims
            .map(|(name, it)| (name, value(name, it)))
            .min_by(|a, b| a.1.total_cmp(&b.1).then_with(|| a.0.cmp(b.0)))?;
        // What is used as much isn't given up for one more copy.
        if want.spread.is_some_and(|it| uses > it * COPY_WORTH) {
            return None;
        }
        room.cost += 5.0 + 40.0 * uses.max(0.0);
        room.victim = Some(victim.clone());
        Some(room)
    }

    /// Takes in what came of an order. Returns the load of an adapter that it began.
    pub fn record_outcome(
        &mut self,
        order: &Order,
        outcome: Outcome,
        now: Time,
    ) -> Option<in_flight::Load> {
        let load_time = self.load_time();
        let works = self.works.get_mut(&order.key)?;
        works.asked = false;
        let mut begun = None;
        match (outcome, order.op) {
            (Outcome::Accepted, Op::Load(version)) => {
                works.accept();
                let again = works.reloads.contains(&order.name);
                let takes = match (is_adapter(&order.name), again) {
                    (true, true) => ADAPTER_RELOADS,
                    (true, false) => load_time,
                    (false, _) => {
                        works.look = true;
                        works.pause = now + LOOK_PAUSE;
                        Duration::MAX / 4
                    }
                };
                if is_adapter(&order.name) {
                    begun = Some(in_flight::Load {
                        key: order.key,
                        version: version.unwrap_or(0),
                        due: now + takes,
                    });
                }
                works.ledger.insert(order.name.clone());
                works.transit.push(Transit {
                    name: order.name.clone(),
                    version: version.unwrap_or(0),
                    done: now + takes,
                    told: false,
                });
            }
            (Outcome::Accepted, Op::Unload) => {
                works.accept();
                works.leaving.push((order.name.clone(), now));
                works.look = true;
                works.pause = now + REFUSED_PAUSE;
            }
            (Outcome::InEffect, Op::Load(version)) => works.transit.push(Transit {
                name: order.name.clone(),
                version: version.unwrap_or(0),
                done: now,
                told: false,
            }),
            (Outcome::InEffect, Op::Unload) => {
                works.accept();
                works.gone(&order.name);
            }
            (Outcome::Conflict, _) => {
                works.conflicts += 1;
                works.pause = now + CONFLICT_PAUSE;
                if works.conflicts >= CONFLICTS || works.ghost.is_some() {
                    works.look = true;
                    works.pause = now + REFUSED_PAUSE;
                }
            }
            (Outcome::Refused, _) => {
                works.look = true;
                works.pause = now + REFUSED_PAUSE;
            }
            (Outcome::NoAnswer, op) => {
                works.ghost = Some((order.name.clone(), op));
                works.silences += 1;
                // The next order has the same expected number: it is accepted only if this one was
                // not, and this one can't be carried out any more after it.
                if works.silences >= SILENCES {
                    works.look = true;
                    works.pause = now + SILENT_PAUSE;
                }
            }
        }
        begun
    }

    /// Takes in what an engine said of itself; `None` if it didn't answer.
    pub fn record_status(&mut self, key: Key, report: Option<&Status>, now: Time) {
        let Some(works) = self.works.get_mut(&key) else {
            return;
        };
        works.asked = false;
        let Some(report) = report else {
            works.pause = now + LOOK_PAUSE;
            return;
        };
        if works.orders.is_some_and(|it| it != report.accepted_orders) {
            // An order without an answer was accepted, or can't be any more.
            works.ghost = None;
        }
        works.orders = Some(report.accepted_orders);
        works.conflicts = 0;
        works.silences = 0;
        works.ledger = report.held.iter().map(|it| it.name.clone()).collect();
        works.ledger.extend(report.in_flight.iter().cloned());
        let holds = |name: &Name| report.held.iter().any(|it| it.name == *name);
        works
            .transit
            .retain(|it| is_adapter(&it.name) || !holds(&it.name));
        for name in &report.in_flight {
            if !works.transit.iter().any(|it| it.name == *name) {
                works.transit.push(Transit {
                    name: name.clone(),
                    version: 0,
                    done: now + ADAPTER_LOADS,
                    told: false,
                });
            }
        }
        let left: Vec<Name> = (works.leaving.iter())
            .filter(|(name, at)| !holds(name) && *at + SILENT_PAUSE <= now)
            .map(|it| it.0.clone())
            .collect();
        for name in &left {
            works.gone(name);
        }
        let model_comes = works.transit.iter().any(|it| !is_adapter(&it.name));
        works.look = model_comes || !works.leaving.is_empty();
        works.pause = if works.look { now + LOOK_PAUSE } else { now };
    }

    /// Notes whether an adapter was there when its load should have been done.
    pub fn record_arrival(&mut self, in_time: bool) {
        let step = if in_time { MORE } else { FEWER };
        self.at_once = (self.at_once() * step).clamp(LEAST, MOST);
    }

    fn at_once(&self) -> f64 {
        if self.at_once > 0.0 {
            self.at_once
        } else {
            AT_ONCE
        }
    }

    /// Expected time of one more load from the weight store, as `engines` share its speed.
    fn load_time(&self) -> Duration {
        let loads = count(self.in_flight_count() + self.remote_loads + 1);
        let full_speed = (self.at_once() * count(self.engines)).max(1.0);
        ADAPTER_LOADS.mul_f64((loads / full_speed).max(1.0))
    }
}

struct Room {
    cost: f64,
    victim: Option<Name>,
}

impl Room {
    fn free(engine: &Engine, now: Time) -> Self {
        let load = engine.total_work(now);
        Self {
            cost: (f64::from(load.prefill_tokens) / 16.0 + f64::from(load.running))
                * engine.slowness,
            victim: None,
        }
    }
}

impl Works {
    /// Begins anew with a later life of the engine.
    fn meet(&mut self, engine: &Engine) {
        if self.born != engine.listing.incarnation {
            *self = Self {
                born: engine.listing.incarnation,
                asked: self.asked,
                ..Self::default()
            };
        }
    }

    fn ask(&mut self, key: Key, name: Name, op: Op) -> Action {
        self.asked = true;
        Action::Send(Order {
            key,
            name,
            op,
            expected_orders: self.orders.unwrap_or(0),
        })
    }

    /// An accepted order moves the count on, so that an earlier one without an answer can't be
    /// carried out any more.
    fn accept(&mut self) {
        self.orders = self.orders.map(|it| it + 1);
        self.ghost = None;
        self.conflicts = 0;
        self.silences = 0;
    }

    fn gone(&mut self, name: &Name) {
        self.ledger.remove(name);
        self.leaving.retain(|it| it.0 != *name);
        self.reloads.retain(|it| it != name);
        self.reloads.push_back(name.clone());
        if self.reloads.len() > RELOADS {
            self.reloads.pop_front();
        }
    }

    /// Whether an order on it is under way.
    fn moves(&self, name: &str) -> bool {
        self.transit.iter().any(|it| &*it.name == name)
            || self.leaving.iter().any(|it| &*it.0 == name)
    }

    /// All names that may be there.
    fn names<'a>(&'a self, engine: &'a Engine) -> Vec<&'a Name> {
        let mut names: Vec<&Name> = engine.held.keys().collect();
        names.extend(&self.ledger);
        names.extend(self.transit.iter().map(|it| &it.name));
        names.extend(self.leaving.iter().map(|it| &it.0));
        if let Some((name, Op::Load(_))) = &self.ghost {
            names.push(name);
        }
        names.sort();
        names.dedup();
        names
    }

    /// Size of all that may be there, in MB.
    fn megabytes(&self, engine: &Engine, shape: &Capacity) -> f64 {
        self.names(engine)
            .iter()
            .map(|it| {
                let known = shape.model(base_model(it));
                match known {
                    Some(model) if is_adapter(it) => model.adapter_mb,
                    Some(model) => model.weights_mb,
                    None => 0.0,
                }
            })
            .sum()
    }

    /// Whether one more adapter of that size is within the limits, counting all that may be there.
    fn fits(&self, engine: &Engine, shape: &Capacity, adapter_mb: f64) -> bool {
        let names = self.names(engine);
        let adapters = names.iter().filter(|it| is_adapter(it)).count();
        let mb = self.megabytes(engine, shape);
        adapters < shape.adapter_slots && mb + adapter_mb <= shape.weights_mb
    }
}

/// Whether a load that should be done surely is: a request was answered, or it is long ago. Another one of
/// the same adapter would take one more place meanwhile.
fn is_there(belief: &Estimate, now: Time) -> bool {
    !belief.is_unconfirmed() || belief.loaded_at + SURELY < now
}

/// How many engines of the service are better placed for an adapter.
fn rank(view: &View, engine: &Engine, name: &Name) -> f64 {
    let listing = &engine.listing;
    let own = rendezvous::weight(name, &listing.id);
    let better = view.table.iter().filter(|(_, it)| {
        it.listing.service == listing.service
            && it.accepts_work()
            && rendezvous::weight(name, &it.listing.id) > own
    });
    count(better.count())
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

fn shaped<'a>(view: &View<'a>, key: Key) -> Option<(&'a Engine, &'a Capacity)> {
    let engine = view.table.get(key)?;
    let service = view.catalog.services.get(&engine.listing.service)?;
    Some((engine, service.engine.as_ref()?))
}
