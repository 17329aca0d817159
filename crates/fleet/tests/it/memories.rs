//! Tests of loads from the memory of engines.

use std::collections::VecDeque;

use fleet::{
    Time,
    listing::{Listing, Name},
    loader::Wanted,
    placement::{Purpose, rank_for_load},
    table::{Key, Table},
};

use crate::fixture::{at, listing, table};

/// Adapters that the weight memory of an engine takes, and that its memory keeps beside them.
const PLACES: usize = 6;
const COPIES: usize = 20;

/// Engines without a free slot at any time, of twelve.
const BUSY_ENGINES: usize = 4;

/// Requests after which other engines have no free slot.
const REQUESTS_PER_SPELL: u64 = 100;

#[test]
fn an_adapter_returns_to_a_usable_engine_that_has_it_in_memory() {
    let (mut table, keys) = table(&[("i-1", &[]), ("i-2", &[]), ("i-3", &[]), ("i-4", &[])]);
    let wanted = Wanted::anywhere("m/a".into());
    let rank = |table: &Table| rank_for_load(table, "chat", &wanted, Purpose::Missing, at(0));
    let by_hash = rank(&table);
    let last = by_hash[3];
    let engine = table.get_mut(last).expect("the engine exists");
    engine.record_load(&wanted.name, 1, at(0));
    engine.record_unload(&wanted.name, at(0));
    let mut by_memory = vec![last];
    by_memory.extend(&by_hash[..3]);
    assert_eq!(rank(&table), by_memory);
    // Not to an engine without a free slot.
    let engine = table.get_mut(last).expect("the engine exists");
    engine.local_work.running = 8;
    assert_eq!(rank(&table), by_hash);
    // Nor to one that has started again.
    let engine = table.get_mut(last).expect("the engine exists");
    engine.local_work.running = 0;
    let restarted = Listing {
        incarnation: 2,
        ..listing(&engine.listing.id.clone(), &[])
    };
    table.upsert(restarted, at(0));
    assert_eq!(rank(&table), by_hash);
    assert_eq!(keys.len(), 4);
}

/// Engines whose adapters are loaded where `rank_for_load` says, as the hosts of a fleet would.
struct Replay {
    table: Table,
    keys: Vec<Key>,
    /// Adapters in the memory of each engine, oldest first.
    in_memory: Vec<VecDeque<usize>>,
    fetches: usize,
    /// Fetches although another engine had the adapter in its memory.
    avoidable_fetches: usize,
    /// True if hosts hear of unloads.
    hears_unloads: bool,
}

impl Replay {
    fn new(hears_unloads: bool) -> Self {
        let ids: Vec<String> = (0..12).map(|it| format!("i-{it}")).collect();
        let engines: Vec<(&str, &[&str])> = ids.iter().map(|it| (&**it, &[][..])).collect();
        let (table, keys) = table(&engines);
        Self {
            table,
            in_memory: vec![VecDeque::new(); keys.len()],
            keys,
            fetches: 0,
            avoidable_fetches: 0,
            hears_unloads,
        }
    }

    /// Serves a request, after a load if no engine holds the adapter. `busy` and some others have no free slot.
    fn serve(&mut self, adapter: usize, busy: usize, now: Time) {
        let name: Name = format!("m/a{adapter}").into();
        let holder = |it: &&Key| {
            self.table
                .get(**it)
                .is_some_and(|it| it.held.contains_key(&name))
        };
        let key = self.keys.iter().find(holder).copied();
        let key = key.unwrap_or_else(|| self.load(adapter, busy, now));
        let engine = self.table.get_mut(key).expect("the engine exists");
        let estimate = engine.held.get_mut(&name).expect("it holds the adapter");
        estimate.record_uses(now, 1);
    }

    fn load(&mut self, adapter: usize, busy: usize, now: Time) -> Key {
        let name: Name = format!("m/a{adapter}").into();
        let set_running = |table: &mut Table, running| {
            // Every other engine from `busy` on.
            for number in 0..BUSY_ENGINES {
                let key = self.keys[(busy + 2 * number) % self.keys.len()];
                let engine = table.get_mut(key).expect("the engine exists");
                engine.local_work.running = running;
            }
        };
        set_running(&mut self.table, 8);
        let wanted = Wanted::anywhere(name);
        let key = rank_for_load(&self.table, "chat", &wanted, Purpose::Missing, now)[0];
        set_running(&mut self.table, 0);
        let index = self.keys.iter().position(|it| *it == key);
        let memory = &mut self.in_memory[index.expect("the engine exists")];
        let engine = self.table.get_mut(key).expect("the engine exists");
        if engine.held.len() > PLACES {
            let adapters = engine.held.iter().filter(|it| &**it.0 != "m");
            let uses = adapters.map(|(name, it)| (it.uses(now), name.clone()));
            let victim = uses.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
            let victim = victim.expect("the engine is full").1;
            if self.hears_unloads {
                engine.record_unload(&victim, now);
            } else {
                engine.remove_held(&victim, now);
            }
            memory.push_back(victim[3..].parse().expect("adapters are numbered"));
            if memory.len() > COPIES {
                memory.pop_front();
            }
        }
        if let Some(at) = memory.iter().position(|it| *it == adapter) {
            memory.remove(at);
        } else {
            self.fetches += 1;
            let is_elsewhere = self.in_memory.iter().any(|it| it.contains(&adapter));
            self.avoidable_fetches += usize::from(is_elsewhere);
        }
        engine.record_load(&wanted.name, 1, now);
        key
    }

    /// Requests of 60 s: Zipf demand that moves to other adapters after 30 s, and a burst of rare adapters before.
    fn run(mut self) -> (usize, usize) {
        let mut state = 1_u64;
        let mut random = |limit: u64| {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(99);
            (state >> 33) % limit
        };
        let weights: Vec<u64> = (1..=600_u64).map(|it| 1_000_000 / it).collect();
        let total: u64 = weights.iter().sum();
        let mut busy = 0;
        for number in 0..3000_u64 {
            let now = at(number * 20);
            let mut left = random(total);
            let rank = weights.iter().position(|it| match left.checked_sub(*it) {
                Some(rest) => {
                    left = rest;
                    false
                }
                None => true,
            });
            let rank = rank.expect("the ranks cover all weights");
            let is_rare = (1000..1100).contains(&number);
            let shift = if number < 1500 { 0 } else { 60 };
            let adapter = if is_rare {
                600 + rank
            } else {
                (rank + shift) % 600
            };
            if number.is_multiple_of(REQUESTS_PER_SPELL) {
                busy = usize::try_from(random(12)).expect("it is small");
            }
            self.serve(adapter, busy, now);
        }
        (self.fetches, self.avoidable_fetches)
    }
}

#[test]
fn zipf_demand_with_a_shift_and_a_burst_needs_fewer_fetches_if_hosts_hear_of_unloads() {
    let (fetches, avoidable) = Replay::new(true).run();
    let (deaf_fetches, deaf_avoidable) = Replay::new(false).run();
    println!(
        "{fetches} fetches, {avoidable} avoidable; otherwise {deaf_fetches}, {deaf_avoidable}"
    );
    assert!(fetches < deaf_fetches, "{fetches}, {deaf_fetches}");
    assert!(
        avoidable * 10 <= deaf_avoidable * 9,
        "{avoidable}, {deaf_avoidable}"
    );
}
