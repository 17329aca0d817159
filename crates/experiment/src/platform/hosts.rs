//! Hosts that decide by `fleet`, as `gateway` has them do it.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use fleet::{
    Time,
    catalog::{Capacity, Catalog, Limits, Model, Service},
    engine::Workload,
    in_flight::{self, InFlightLoads},
    listing::{Held, Listing, Name, State},
    loader::{self, Action, Loader, Op, Order, Outcome, Status, View},
    placement::{self, Placement},
    prefix::{Chain, Part},
    rendezvous,
    table::{Freshness, Key, Table},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    shape::{SHARED_TOKENS, Shape, TARGET},
    world::{Place, WAY, World},
};
use crate::event_queue::{MILLISECOND, Micros};

/// The service of all engines.
const SERVICE: &str = "chat";

/// Time of a host's clock at the start: times before it exist.
const START: Duration = Duration::from_secs(1000);

/// The waits of `gateway::exchange`.
const HOLD: Micros = 2200 * MILLISECOND;
const PACED: Micros = 15 * MILLISECOND;
const ASK_AGAIN: Micros = 90 * MILLISECOND;
const ASKS: u32 = 5;

/// Time after which a load that should be done no longer counts as on its way.
const SETTLED: Micros = 31 * MILLISECOND;

/// Its waits for one more copy.
const SPREAD_PAUSE: Micros = 300 * MILLISECOND;
const SPREAD_FORGETS: Micros = 5000 * MILLISECOND;

/// A word between hosts, or a host's timer.
pub struct Word {
    /// The host that it is for.
    to: usize,
    says: Says,
}

enum Says {
    /// A prompt was sent to an engine: tokens that it has to read.
    Sent(usize, u32),
    /// A load was ordered: engine, adapter, version, and when it is due.
    Comes(usize, usize, u64, Micros),
    /// An adapter is about to leave an engine: engine and adapter.
    Leaves(usize, usize),
    /// An ask for a load.
    Want(Want),
    /// Loads that this host has ordered should be done.
    Orders,
}

struct Want {
    from: usize,
    adapter: usize,
    /// For one more copy: the decayed uses that it would take.
    spread: Option<f64>,
    waiting: u32,
}

/// Requests of a host that wait for an adapter.
#[derive(Clone, Debug, Default)]
struct Wait {
    waiting: Vec<usize>,
    asked: Option<Micros>,
    asks: u32,
}

struct Host {
    table: Table,
    loader: Loader,
    coming: InFlightLoads,
    waits: BTreeMap<usize, Wait>,
    spreads: BTreeMap<usize, (Micros, usize)>,
    mine: Vec<Key>,
    /// Requests that began since the last regular word, by engine and adapter.
    began: BTreeMap<(usize, usize), u32>,
}

/// What a host remembers of a request that it has sent.
#[derive(Clone, Debug, Default)]
struct Sent {
    unread: u32,
    expected: Duration,
    at: Time,
}

/// All hosts.
pub struct Hosts {
    all: Vec<Host>,
    keys: Vec<Key>,
    names: Vec<Name>,
    ids: Vec<Arc<str>>,
    catalog: Catalog,
    sent: BTreeMap<usize, Sent>,
    random: StdRng,
}

fn time(now: Micros) -> Time {
    START + Duration::from_micros(now)
}

fn number(it: usize) -> u32 {
    u32::try_from(it).unwrap_or(u32::MAX)
}

impl Hosts {
    /// Hosts that know all engines, which hold the base model.
    pub fn new(shape: &Shape, seed: u64) -> Self {
        let ids: Vec<Arc<str>> = (0..shape.engines)
            .map(|it| format!("i-{it:04}").into())
            .collect();
        let names = (0..shape.adapters)
            .map(|it| format!("m/a{it}").into())
            .collect();
        let mut hosts = Vec::new();
        let mut keys = Vec::new();
        for host in 0..shape.hosts {
            let mut table = Table::default();
            keys = (0..shape.engines)
                .map(|it| table.upsert(listing(shape, &ids[it], 1), START))
                .collect();
            let mine = keys
                .iter()
                .enumerate()
                .filter(|it| it.0 % shape.hosts == host);
            hosts.push(Host {
                mine: mine.map(|it| *it.1).collect(),
                table,
                loader: Loader::default(),
                coming: InFlightLoads::default(),
                waits: BTreeMap::new(),
                spreads: BTreeMap::new(),
                began: BTreeMap::new(),
            });
        }
        Self {
            all: hosts,
            keys,
            names,
            ids,
            catalog: catalog(shape),
            sent: BTreeMap::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn engine(&self, key: Key) -> usize {
        self.keys
            .iter()
            .position(|it| *it == key)
            .expect("keys are those of the engines")
    }

    fn adapter(name: &str) -> Option<usize> {
        name.strip_prefix("m/a")?.parse().ok()
    }

    fn others(&self, host: usize) -> impl Iterator<Item = usize> + use<> {
        (0..self.all.len()).filter(move |it| *it != host)
    }

    fn chain(&self, adapter: usize, shared: u64, tokens: u32, request: usize) -> Chain {
        let parts = [
            Part {
                id: shared,
                tokens: SHARED_TOKENS,
            },
            Part {
                id: 1000 + u64::from(number(request)),
                tokens: tokens - SHARED_TOKENS,
            },
        ];
        Chain::new(&self.names[adapter], &parts)
    }

    /// Enters the loads of others that should be done, and wakes who waits for them.
    fn settle(&mut self, world: &mut World<Word>, host: usize) {
        let now = time(world.now);
        for (name, load) in self.all[host].coming.take_due(now) {
            if let Some(engine) = self.all[host].table.get_mut(load.key) {
                engine.record_load(&name, load.version, now);
            }
            self.wake(world, host, Self::adapter(&name));
        }
    }

    fn wake(&mut self, world: &mut World<Word>, host: usize, adapter: Option<usize>) {
        let wait = adapter.and_then(|it| self.all[host].waits.get(&it));
        for request in wait.map(|it| it.waiting.clone()).unwrap_or_default() {
            world.look_again(0, request);
        }
    }

    fn leave_wait(&mut self, host: usize, adapter: usize, request: usize) {
        let waits = &mut self.all[host].waits;
        if let Some(wait) = waits.get_mut(&adapter) {
            wait.waiting.retain(|it| *it != request);
            if wait.waiting.is_empty() {
                waits.remove(&adapter);
            }
        }
    }

    /// The host to ask for a load, the `nth` in line.
    fn steward(&self, host: usize, adapter: usize, spread: bool, nth: usize) -> usize {
        let name = &self.names[adapter];
        let mut line: Vec<(u64, usize)> = Vec::new();
        for (engine, id) in self.ids.iter().enumerate() {
            let it = self.all[host].table.get(self.keys[engine]);
            if it.is_some_and(|it| !spread || !it.held.contains_key(name)) {
                line.push((rendezvous::weight(name, id), engine % self.all.len()));
            }
        }
        line.sort_unstable();
        let mut stewards: Vec<usize> = Vec::new();
        for (_, it) in line.into_iter().rev() {
            if !stewards.contains(&it) {
                stewards.push(it);
            }
        }
        stewards[nth % stewards.len().max(1)]
    }

    fn ask(&mut self, world: &mut World<Word>, host: usize, adapter: usize) {
        let now = world.now;
        let wait = self.all[host].waits.entry(adapter).or_default();
        if wait.asked.is_some_and(|it| it + ASK_AGAIN > now) {
            return;
        }
        wait.asked = Some(now);
        wait.asks += 1;
        let nth = usize::try_from((wait.asks - 1) / ASKS).unwrap_or(0);
        let waiting = number(wait.waiting.len());
        let to = self.steward(host, adapter, false, nth);
        let ask = Want {
            from: host,
            adapter,
            spread: None,
            waiting,
        };
        Self::want(world, to, ask);
    }

    fn want(world: &mut World<Word>, to: usize, want: Want) {
        let way = if want.from == to { 0 } else { WAY };
        let says = Says::Want(want);
        world.plan(way, Word { to, says });
    }

    fn spread(&mut self, world: &mut World<Word>, host: usize, adapter: usize, from: Key) {
        let now = world.now;
        let hosts = f64::from(number(self.all.len()));
        let it = &mut self.all[host];
        let belief = it
            .table
            .get(from)
            .and_then(|it| it.held.get(&self.names[adapter]));
        let Some(uses) = belief.map(|it| it.uses(time(now))) else {
            return;
        };
        it.spreads.retain(|_, it| it.0 + SPREAD_FORGETS > now);
        let entry = it.spreads.entry(adapter).or_insert((0, 0));
        if entry.1 > 0 && entry.0 + SPREAD_PAUSE > now {
            return;
        }
        *entry = (now, entry.1 + 1);
        let nth = entry.1 - 1;
        let to = self.steward(host, adapter, true, nth);
        let ask = Want {
            from: host,
            adapter,
            spread: Some(uses * hosts / 2.0),
            waiting: 0,
        };
        Self::want(world, to, ask);
    }

    /// Sends a request, and tells the others.
    fn send(
        &mut self,
        world: &mut World<Word>,
        request: usize,
        choice: &placement::Choice,
        chain: &Chain,
    ) {
        let asked = world.requests[request].asked.clone();
        self.leave_wait(asked.host, asked.adapter, request);
        let engine = self.engine(choice.key);
        let now = time(world.now);
        let host = &mut self.all[asked.host];
        let Some(it) = host.table.get_mut(choice.key) else {
            return;
        };
        let unread = chain
            .tokens()
            .saturating_sub(it.prefix_cache.cached_tokens(chain));
        it.local_work.running += 1;
        it.local_work.prefill_tokens += unread;
        it.record_prompt(unread, now);
        it.prefix_cache.insert(chain);
        if let Some(belief) = it.held.get_mut(&self.names[asked.adapter]) {
            belief.running += 1;
            belief.record_uses(now, 1);
        }
        *host.began.entry((engine, asked.adapter)).or_default() += 1;
        let sent = Sent {
            unread,
            expected: choice.expected_wait,
            at: now,
        };
        self.sent.insert(request, sent);
        for to in self.others(asked.host) {
            world.plan(
                WAY,
                Word {
                    to,
                    says: Says::Sent(engine, unread),
                },
            );
        }
        world.send(request, engine, unread);
    }

    /// Takes a request off an engine.
    fn leave(&mut self, request: usize, host: usize, adapter: usize, engine: usize) {
        let sent = self.sent.remove(&request).unwrap_or_default();
        let Some(it) = self.all[host].table.get_mut(self.keys[engine]) else {
            return;
        };
        it.local_work.running = it.local_work.running.saturating_sub(1);
        it.local_work.prefill_tokens = it.local_work.prefill_tokens.saturating_sub(sent.unread);
        if let Some(belief) = it.held.get_mut(&self.names[adapter]) {
            belief.running = belief.running.saturating_sub(1);
        }
    }

    /// Gives the orders that are due, and takes in what is done.
    fn orders(&mut self, world: &mut World<Word>, host: usize) {
        let now = time(world.now);
        for done in self.all[host].loader.take_completed(now) {
            if let Some(it) = self.all[host].table.get_mut(done.key) {
                it.record_load(&done.name, done.version, now);
            }
            self.wake(world, host, Self::adapter(&done.name));
        }
        loop {
            let hosts = self.all.len();
            let it = &mut self.all[host];
            let view = View {
                table: &it.table,
                catalog: &self.catalog,
                orderable: &it.mine,
                hosts,
                window: Duration::from_secs(5),
                in_flight: &it.coming,
                now,
            };
            let steps = it.loader.next_actions(&view);
            if steps.is_empty() {
                return;
            }
            for step in steps {
                match step {
                    Action::QueryStatus(key) => self.report(world, host, key),
                    Action::Send(order) => self.order(world, host, &order),
                }
            }
        }
    }

    fn report(&mut self, world: &World<Word>, host: usize, key: Key) {
        let engine = &world.engines[self.engine(key)];
        let hold = |it: &usize| Held {
            name: self.names[*it].clone(),
            version: 1,
        };
        let base = Held {
            name: "m".into(),
            version: 1,
        };
        let report = engine.up.then(|| Status {
            accepted_orders: engine.orders,
            held: std::iter::once(base)
                .chain(engine.held.keys().map(hold))
                .collect(),
            in_flight: engine
                .coming
                .iter()
                .map(|it| self.names[*it].clone())
                .collect(),
        });
        let now = time(world.now);
        self.all[host]
            .loader
            .record_status(key, report.as_ref(), now);
    }

    fn order(&mut self, world: &mut World<Word>, host: usize, order: &Order) {
        let engine = self.engine(order.key);
        let now = time(world.now);
        let adapter = Self::adapter(&order.name);
        let held = self.all[host].table.get_mut(order.key);
        if let (Some(it), Some(adapter)) = (held, adapter)
            && it.held.contains_key(&order.name)
        {
            it.remove_held(&order.name, now);
            for to in self.others(host) {
                world.plan(
                    WAY,
                    Word {
                        to,
                        says: Says::Leaves(engine, adapter),
                    },
                );
            }
        }
        let outcome = match adapter {
            None => Outcome::InEffect,
            Some(_) if !world.engines[engine].up => Outcome::NoAnswer,
            Some(_) if world.engines[engine].orders != order.expected_orders => Outcome::Conflict,
            Some(it) if order.op == Op::Unload => {
                if world.unload(engine, it) {
                    Outcome::InEffect
                } else {
                    Outcome::Refused
                }
            }
            Some(it) if world.engines[engine].held.contains_key(&it) => Outcome::InEffect,
            Some(it) => {
                world.load(engine, it);
                Outcome::Accepted
            }
        };
        let begun = self.all[host].loader.record_outcome(order, outcome, now);
        if outcome == Outcome::Refused
            && let Some(it) = self.all[host].table.get_mut(order.key)
        {
            it.record_load(&order.name, 0, now);
        }
        if let (Some(load), Some(adapter)) = (begun, adapter) {
            let due = u64::try_from(load.due.saturating_sub(now).as_micros()).unwrap_or(0);
            for to in self.others(host) {
                let says = Says::Comes(engine, adapter, load.version, world.now + due);
                world.plan(WAY, Word { to, says });
            }
            for after in [due, due + SETTLED] {
                let (to, says) = (host, Says::Orders);
                world.plan(after, Word { to, says });
            }
        }
    }
}

impl Place for Hosts {
    type Word = Word;

    fn look(&mut self, world: &mut World<Word>, request: usize) {
        if world.is_over(request) || self.sent.contains_key(&request) {
            return;
        }
        let asked = world.requests[request].asked.clone();
        let (host, adapter) = (asked.host, asked.adapter);
        self.settle(world, host);
        if world.is_late(request) {
            self.leave_wait(host, adapter, request);
            world.refuse(request);
            return;
        }
        let chain = self.chain(adapter, asked.shared, asked.tokens, request);
        let now = time(world.now);
        let name = self.names[adapter].clone();
        let ask = placement::PlacementRequest {
            service: SERVICE,
            name: Some(&name),
            chain: &chain,
            max_gap: Duration::from_micros(world.shape.gap),
            domain: "z",
            tried: &[],
            random: self.random.random(),
        };
        let waited = world.now - asked.at;
        match placement::place(&self.all[host].table, &ask, now) {
            Placement::Send(choice) => {
                if choice.wants_replica {
                    self.spread(world, host, adapter, choice.key);
                }
                self.send(world, request, &choice, &chain);
            }
            Placement::Delay(choice) => {
                if choice.wants_replica {
                    self.spread(world, host, adapter, choice.key);
                }
                if waited < TARGET * 6 / 10 {
                    world.look_again(PACED, request);
                } else {
                    self.send(world, request, &choice, &chain);
                }
            }
            Placement::Load | Placement::Unavailable if waited > HOLD => {
                self.leave_wait(host, adapter, request);
                world.refuse(request);
            }
            Placement::Load | Placement::Unavailable => {
                let wait = self.all[host].waits.entry(adapter).or_default();
                if !wait.waiting.contains(&request) {
                    wait.waiting.push(request);
                }
                let load = {
                    let it = &self.all[host];
                    it.coming.find(&name, &it.table, now)
                };
                let soon = load.map(|it| it.due.saturating_sub(now));
                if load.is_none() {
                    self.ask(world, host, adapter);
                }
                let soon = soon.filter(|it| !it.is_zero());
                let soon = soon.map_or(ASK_AGAIN, |it| u64::try_from(it.as_micros()).unwrap_or(0));
                world.look_again(soon, request);
            }
        }
    }

    fn missed(&mut self, world: &mut World<Word>, request: usize, engine: usize) {
        let asked = world.requests[request].asked.clone();
        self.leave(request, asked.host, asked.adapter, engine);
        let name = self.names[asked.adapter].clone();
        let now = time(world.now);
        let it = &mut self.all[asked.host];
        if let Some(found) = it.table.get_mut(self.keys[engine]) {
            if found.record_miss(&name, now) {
                it.loader.record_arrival(false);
            }
            if !found.held.contains_key(&name) {
                it.coming.remove(&name, self.keys[engine]);
            }
        }
        world.look_again(2 * WAY, request);
    }

    fn lost(&mut self, world: &mut World<Word>, request: usize, engine: usize) {
        let asked = world.requests[request].asked.clone();
        self.leave(request, asked.host, asked.adapter, engine);
        let now = time(world.now);
        if let Some(it) = self.all[asked.host].table.get_mut(self.keys[engine]) {
            it.circuit.mark_unreachable(now);
        }
        world.look_again(WAY, request);
    }

    fn first(&mut self, world: &mut World<Word>, request: usize, engine: usize) {
        let asked = &world.requests[request].asked;
        let now = time(world.now);
        let name = &self.names[asked.adapter];
        let host = asked.host;
        let Some(sent) = self.sent.get_mut(&request) else {
            return;
        };
        let Some(it) = self.all[host].table.get_mut(self.keys[engine]) else {
            return;
        };
        it.last_success_at = now;
        it.circuit.record_success();
        it.local_work.prefill_tokens = it.local_work.prefill_tokens.saturating_sub(sent.unread);
        if sent.unread > 0 {
            it.record_first_event(sent.at, sent.expected, now);
        }
        sent.unread = 0;
        let belief = it.held.get_mut(name);
        if belief.is_some_and(fleet::engine::Estimate::confirm) {
            self.all[host].loader.record_arrival(true);
            let adapter = asked.adapter;
            self.wake(world, host, Some(adapter));
        }
    }

    fn ended(&mut self, world: &mut World<Word>, request: usize, engine: usize) {
        let asked = &world.requests[request].asked;
        self.leave(request, asked.host, asked.adapter, engine);
    }

    fn loaded(&mut self, _: &mut World<Word>, _: usize, _: usize) {}

    fn listed(&mut self, world: &mut World<Word>, engine: usize) {
        let now = time(world.now);
        let life = world.engines[engine].life;
        for host in 0..self.all.len() {
            let listing = listing(&world.shape, &self.ids[engine], life);
            self.all[host].table.upsert(listing, now);
            self.orders(world, host);
        }
    }

    fn word(&mut self, world: &mut World<Word>, it: Word) {
        let now = time(world.now);
        let to = it.to;
        match it.says {
            Says::Sent(engine, tokens) => {
                if let Some(it) = self.all[to].table.get_mut(self.keys[engine]) {
                    it.record_prompt(tokens, now);
                }
            }
            Says::Comes(engine, adapter, version, due) => {
                let load = in_flight::Load {
                    key: self.keys[engine],
                    version,
                    due: time(due),
                };
                let name = self.names[adapter].clone();
                self.all[to].coming.announce(name, load);
                self.settle(world, to);
                self.wake(world, to, Some(adapter));
            }
            Says::Leaves(engine, adapter) => {
                let key = self.keys[engine];
                let name = self.names[adapter].clone();
                if let Some(it) = self.all[to].table.get_mut(key) {
                    it.remove_held(&name, now);
                }
                self.all[to].coming.remove(&name, key);
            }
            Says::Want(want) => self.wanted(world, to, &want),
            Says::Orders => {
                self.settle(world, to);
                self.orders(world, to);
            }
        }
    }

    fn regular(&mut self, world: &mut World<Word>) {
        let now = time(world.now);
        for host in 0..self.all.len() {
            let mut loads = Vec::new();
            for (engine, key) in self.keys.iter().enumerate() {
                if let Some(it) = self.all[host].table.get(*key)
                    && it.local_work != Workload::default()
                {
                    loads.push((engine, it.local_work));
                }
            }
            let began = std::mem::take(&mut self.all[host].began);
            let label: Arc<str> = format!("h-{host}").into();
            let in_transit = self.all[host].loader.in_flight_count();
            for to in self.others(host) {
                for (engine, load) in &loads {
                    if let Some(it) = self.all[to].table.get_mut(self.keys[*engine]) {
                        it.record_remote_work(&label, *load, now);
                    }
                }
                self.all[to].loader.remote_loads += in_transit;
            }
            for ((engine, adapter), count) in began {
                let steward = engine % self.all.len();
                let running = {
                    let own = self.all[host].table.get(self.keys[engine]);
                    let belief = own.and_then(|it| it.held.get(&self.names[adapter]));
                    belief.map_or(0, |it| it.running)
                };
                if steward == host {
                    continue;
                }
                let it = self.all[steward].table.get_mut(self.keys[engine]);
                if let Some(belief) = it.and_then(|it| it.held.get_mut(&self.names[adapter])) {
                    belief.remote_running.insert(label.clone(), (now, running));
                    belief.record_uses(now, count);
                }
            }
        }
        let total: usize = self.all.iter().map(|it| it.loader.in_flight_count()).sum();
        for host in 0..self.all.len() {
            let own = self.all[host].loader.in_flight_count();
            self.all[host].loader.remote_loads = total - own;
            self.orders(world, host);
        }
    }
}

impl Hosts {
    /// Takes in an ask for a load: answers with a load that is known, or has it ordered.
    fn wanted(&mut self, world: &mut World<Word>, to: usize, want: &Want) {
        let now = time(world.now);
        let adapter = want.adapter;
        let name = self.names[adapter].clone();
        let it = &self.all[to];
        let held = it.mine.iter().find(|key| {
            let belief = it.table.get(**key).and_then(|it| it.held.get(&name));
            belief.is_some_and(|belief| {
                it.table.freshness(&name, belief.version, now) == Freshness::Newest
            })
        });
        let load = it.coming.find(&name, &it.table, now);
        let known = held.map(|key| (*key, 0, world.now)).or_else(|| {
            let load = load?;
            let left = load.due.saturating_sub(now).as_micros();
            Some((
                load.key,
                load.version,
                world.now + u64::try_from(left).unwrap_or(0),
            ))
        });
        if let Some((key, version, due)) = known
            && want.spread.is_none()
        {
            let to = want.from;
            let says = Says::Comes(self.engine(key), adapter, version, due);
            world.plan(WAY, Word { to, says });
            return;
        }
        let ask = loader::LoadRequest {
            host: format!("h-{}", want.from).into(),
            service: SERVICE.into(),
            name,
            replica_uses: want.spread,
            waiting: want.waiting,
        };
        self.all[to].loader.add_request(&ask, now);
        self.orders(world, to);
    }
}

fn listing(shape: &Shape, id: &Arc<str>, born: u64) -> Listing {
    Listing {
        id: id.clone(),
        incarnation: born,
        service: SERVICE.into(),
        addr: "10.0.0.1:80".parse().expect("it is an address"),
        domain: "z".into(),
        slots: shape.slots,
        state: State::Ready,
        held: vec![Held {
            name: "m".into(),
            version: 1,
        }],
    }
}

fn catalog(shape: &Shape) -> Catalog {
    let model = Model {
        name: "m".into(),
        weights_mb: 1000.0,
        adapter_mb: 1.0,
        load_time: Duration::from_secs(3),
    };
    let config = Capacity {
        slots: shape.slots,
        kv_tokens: 130_000,
        adapter_slots: shape.places,
        weights_mb: 10_000.0,
        loads_per_s: 10.0,
        models: vec![model],
    };
    let service = Service {
        name: SERVICE.into(),
        connections: 1000,
        engine: Some(config),
    };
    Catalog::new(1, Vec::new(), vec![service], Limits::default())
}
