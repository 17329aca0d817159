//! Asks the engines that this host is steward of what they have loaded and run.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use kernel::{
    name::Upstream,
    registry::inventory,
    service::{Instance, Role},
};
use steward::Event;

use crate::{
    host::Host,
    plugin::{Duty, Phase, Stop},
};

inventory::submit! {
    Duty {
        name: "reports",
        phase: Phase::Service,
        run,
    }
}

/// How often an engine is asked if nothing asks for more.
const INTERVAL: Duration = Duration::from_secs(1);

/// How often the duty looks whether a report is wanted.
const CHECK: Duration = Duration::from_millis(20);

/// How long an engine may take to answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Engines that are asked at the same time, so that one that hangs doesn't hold up the others.
const PARALLEL: usize = 8;

/// An engine that misses so many reports in a row counts as down.
const MISSES_TO_DOWN: u32 = 3;

fn run(host: &Arc<Host>, stop: &Stop) {
    let mut due: BTreeMap<Upstream, Instant> = BTreeMap::new();
    let misses: Mutex<BTreeMap<Upstream, u32>> = Mutex::default();
    while !stop.is_set() {
        let wanted = wanted(host, &mut due);
        let engines = host.listed.engines();
        let now: VecDeque<Instance> = engines
            .into_iter()
            .filter(|it| wanted.contains(&it.name))
            .collect();
        ask_all(host, now, &misses);
        stop.sleep(CHECK);
    }
}

/// The engines to ask now.
fn wanted(host: &Host, due: &mut BTreeMap<Upstream, Instant>) -> BTreeSet<Upstream> {
    let now = host.clock.now();
    let held = host.held.lock().expect("held lock is poisoned");
    let held: BTreeSet<Upstream> = held.keys().cloned().collect();
    due.retain(|engine, _| held.contains(engine));
    let mut inspect = host.inspect.lock().expect("inspect lock is poisoned");
    let mut wanted = std::mem::take(&mut *inspect);
    wanted.retain(|it| held.contains(it));
    for engine in held {
        let next = due.entry(engine.clone()).or_insert(now);
        if *next <= now || wanted.contains(&engine) {
            *next = now + INTERVAL;
            wanted.insert(engine);
        }
    }
    wanted
}

fn ask_all(host: &Host, engines: VecDeque<Instance>, misses: &Mutex<BTreeMap<Upstream, u32>>) {
    let count = engines.len().min(PARALLEL);
    let engines = Mutex::new(engines);
    thread::scope(|scope| {
        for _ in 0..count {
            scope.spawn(|| {
                while let Some(engine) = pop(&engines) {
                    ask(host, &engine, misses);
                }
            });
        }
    });
}

fn pop(engines: &Mutex<VecDeque<Instance>>) -> Option<Instance> {
    engines.lock().expect("report lock is poisoned").pop_front()
}

fn ask(host: &Host, engine: &Instance, misses: &Mutex<BTreeMap<Upstream, u32>>) {
    let asked = host.clock.now();
    let name = engine.name.clone();
    match host.engines.fetch_inventory(engine.address, TIMEOUT) {
        Ok(report) => {
            misses
                .lock()
                .expect("report lock is poisoned")
                .remove(&name);
            host.inbox.event(Event::SlotReport {
                engine: name,
                requested_at: asked,
                incarnation: report.incarnation,
                slots: report.slots,
                loaded: report.loaded,
            });
        }
        Err(error) => missed(host, name, &error.to_string(), misses),
    }
    if let Ok(load) = host.engines.fetch_occupancy(engine.address, TIMEOUT) {
        if let Role::Engine(model) = &engine.role {
            host.metrics
                .record_batch_occupancy(model, load.running, load.capacity);
        }
        host.inbox.event(Event::BatchReport {
            engine: engine.name.clone(),
            running: load.running,
            waiting: load.waiting,
            capacity: load.capacity,
        });
    }
}

fn missed(host: &Host, engine: Upstream, why: &str, misses: &Mutex<BTreeMap<Upstream, u32>>) {
    let mut misses = misses.lock().expect("report lock is poisoned");
    let count = misses.entry(engine.clone()).or_default();
    *count += 1;
    if *count == MISSES_TO_DOWN {
        log::warn!(target: "steward", "Engine {engine} is down: {why}.");
        host.inbox.event(Event::Unreachable { engine });
    }
}
