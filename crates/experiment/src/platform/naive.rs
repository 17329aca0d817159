//! A naive placement: each host for itself.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    shape::Shape,
    world::{Place, World},
};
use crate::event_queue::{MILLISECOND, Micros};

/// Time between two looks for a place.
const AGAIN: Micros = 50 * MILLISECOND;

/// What a host believes by itself.
#[derive(Clone, Debug, Default)]
struct Host {
    /// Its requests, by engine.
    running: BTreeMap<usize, usize>,
    /// Adapters that it has ordered, and when.
    ordered: BTreeMap<usize, (usize, Micros)>,
    /// Adapters that engines hold, as the list said last.
    listed: BTreeMap<usize, BTreeSet<usize>>,
}

/// All hosts.
pub struct Naive {
    hosts: Vec<Host>,
    /// Regular words until the list is read again.
    until_list: usize,
}

/// Regular words between two reads of the list.
const LIST: usize = 10;

impl Naive {
    /// Hosts that know nothing yet.
    pub fn new(shape: &Shape) -> Self {
        Self {
            hosts: vec![Host::default(); shape.hosts],
            until_list: 0,
        }
    }

    fn least(&self, host: usize, among: impl Iterator<Item = usize>) -> Option<usize> {
        let running = &self.hosts[host].running;
        among.min_by_key(|it| running.get(it).copied().unwrap_or(0))
    }
}

impl Place for Naive {
    type Word = ();

    fn look(&mut self, world: &mut World<()>, request: usize) {
        if world.is_over(request) {
            return;
        }
        if world.is_late(request) {
            world.refuse(request);
            return;
        }
        let asked = world.requests[request].asked.clone();
        let host = &self.hosts[asked.host];
        let holders = host.listed.get(&asked.adapter).cloned().unwrap_or_default();
        let holders: Vec<usize> = holders
            .into_iter()
            .filter(|it| world.engines[*it].up)
            .collect();
        if let Some(engine) = self.least(asked.host, holders.into_iter()) {
            *self.hosts[asked.host].running.entry(engine).or_default() += 1;
            world.send(request, engine, asked.tokens);
            return;
        }
        let now = world.now;
        let ordered = self.hosts[asked.host].ordered.get(&asked.adapter);
        let waits =
            ordered.is_some_and(|it| it.1 + 2000 * MILLISECOND > now && world.engines[it.0].up);
        if !waits {
            let up = (0..world.engines.len()).filter(|it| world.engines[*it].up);
            let Some(engine) = self.least(asked.host, up) else {
                world.refuse(request);
                return;
            };
            if order(world, engine, asked.adapter) {
                let host = &mut self.hosts[asked.host];
                host.ordered.insert(asked.adapter, (engine, now));
            }
        }
        world.look_again(AGAIN, request);
    }

    fn missed(&mut self, world: &mut World<()>, request: usize, engine: usize) {
        let asked = &world.requests[request].asked;
        let host = &mut self.hosts[asked.host];
        if let Some(it) = host.listed.get_mut(&asked.adapter) {
            it.remove(&engine);
        }
        self.ended(world, request, engine);
        world.look_again(0, request);
    }

    fn lost(&mut self, world: &mut World<()>, request: usize, engine: usize) {
        self.missed(world, request, engine);
    }

    fn first(&mut self, _: &mut World<()>, _: usize, _: usize) {}

    fn ended(&mut self, world: &mut World<()>, request: usize, engine: usize) {
        let host = world.requests[request].asked.host;
        if let Some(it) = self.hosts[host].running.get_mut(&engine) {
            *it = it.saturating_sub(1);
        }
    }

    fn loaded(&mut self, _: &mut World<()>, engine: usize, adapter: usize) {
        for host in &mut self.hosts {
            if host.ordered.get(&adapter).is_some_and(|it| it.0 == engine) {
                host.listed.entry(adapter).or_default().insert(engine);
            }
        }
    }

    fn listed(&mut self, _: &mut World<()>, _: usize) {}

    fn word(&mut self, _: &mut World<()>, (): ()) {}

    fn regular(&mut self, world: &mut World<()>) {
        if self.until_list > 0 {
            self.until_list -= 1;
            return;
        }
        self.until_list = LIST;
        let mut listed: BTreeMap<usize, BTreeSet<usize>> = BTreeMap::new();
        for (engine, it) in world.engines.iter().enumerate() {
            for adapter in it.held.keys() {
                listed.entry(*adapter).or_default().insert(engine);
            }
        }
        for host in &mut self.hosts {
            host.listed.clone_from(&listed);
        }
    }
}

/// Orders a load, and room for it: what was used longest ago goes first.
fn order(world: &mut World<()>, engine: usize, adapter: usize) -> bool {
    let it = &world.engines[engine];
    if it.coming.contains(&adapter) || it.held.contains_key(&adapter) {
        return true;
    }
    if it.held.len() + it.coming.len() >= world.shape.places {
        let idle = it.held.iter().filter(|it| world.runs(engine, *it.0) == 0);
        let Some(victim) = idle.min_by_key(|it| it.1).map(|it| *it.0) else {
            return false;
        };
        world.unload(engine, victim);
    }
    world.load(engine, adapter);
    true
}
