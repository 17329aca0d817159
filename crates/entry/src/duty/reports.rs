//! Queries the status of the engines that this host is steward of: the loaded adapters and running
//! requests.

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

/// How often an engine is queried without an explicit request.
const INTERVAL: Duration = Duration::from_secs(1);

/// How often the duty checks for due queries.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The time limit for an engine's response.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of concurrent queries, so that an unresponsive engine does not delay the others.
const MAX_PARALLEL_QUERIES: usize = 8;

/// Number of consecutive failed queries after which an engine is reported unreachable.
const FAILURES_UNTIL_UNREACHABLE: u32 = 3;

fn run(host: &Arc<Host>, stop: &Stop) {
    let mut next_query: BTreeMap<Upstream, Instant> = BTreeMap::new();
    let failures: Mutex<BTreeMap<Upstream, u32>> = Mutex::default();
    while !stop.is_set() {
        let due = due_engines(host, &mut next_query);
        let engines = host.host_list.engines();
        let engines: VecDeque<Instance> = engines
            .into_iter()
            .filter(|it| due.contains(&it.name))
            .collect();
        query_all(host, engines, &failures);
        stop.sleep(CHECK_INTERVAL);
    }
}

/// Returns the engines to query now and schedules their next query.
fn due_engines(host: &Host, next_query: &mut BTreeMap<Upstream, Instant>) -> BTreeSet<Upstream> {
    let now = host.clock.now();
    let held = host.held.lock().expect("held lock is poisoned");
    let held: BTreeSet<Upstream> = held.keys().cloned().collect();
    next_query.retain(|engine, _| held.contains(engine));
    let mut requested_queries = host
        .requested_queries
        .lock()
        .expect("report lock is poisoned");
    let mut requested = std::mem::take(&mut *requested_queries);
    requested.retain(|it| held.contains(it));
    for engine in held {
        let next = next_query.entry(engine.clone()).or_insert(now);
        if *next <= now || requested.contains(&engine) {
            *next = now + INTERVAL;
            requested.insert(engine);
        }
    }
    requested
}

fn query_all(host: &Host, engines: VecDeque<Instance>, failures: &Mutex<BTreeMap<Upstream, u32>>) {
    let count = engines.len().min(MAX_PARALLEL_QUERIES);
    let engines = Mutex::new(engines);
    thread::scope(|scope| {
        for _ in 0..count {
            scope.spawn(|| {
                while let Some(engine) = pop(&engines) {
                    query(host, &engine, failures);
                }
            });
        }
    });
}

fn pop(engines: &Mutex<VecDeque<Instance>>) -> Option<Instance> {
    engines.lock().expect("report lock is poisoned").pop_front()
}

fn query(host: &Host, engine: &Instance, failures: &Mutex<BTreeMap<Upstream, u32>>) {
    let requested_at = host.clock.now();
    let name = engine.name.clone();
    match host.engines.fetch_inventory(engine.address, QUERY_TIMEOUT) {
        Ok(report) => {
            failures
                .lock()
                .expect("report lock is poisoned")
                .remove(&name);
            host.inbox.push_event(Event::SlotReport {
                engine: name,
                requested_at,
                incarnation: report.incarnation,
                slots: report.slots,
                loaded: report.loaded,
            });
        }
        Err(error) => record_failure(host, name, &error.to_string(), failures),
    }
    if let Ok(load) = host.engines.fetch_occupancy(engine.address, QUERY_TIMEOUT) {
        if let Role::Engine(model) = &engine.role {
            host.metrics
                .record_batch_occupancy(model, load.running, load.capacity);
        }
        host.inbox.push_event(Event::BatchReport {
            engine: engine.name.clone(),
            running: load.running,
            waiting: load.waiting,
            capacity: load.capacity,
        });
    }
}

fn record_failure(
    host: &Host,
    engine: Upstream,
    reason: &str,
    failures: &Mutex<BTreeMap<Upstream, u32>>,
) {
    let mut failures = failures.lock().expect("report lock is poisoned");
    let count = failures.entry(engine.clone()).or_default();
    *count += 1;
    if *count == FAILURES_UNTIL_UNREACHABLE {
        log::warn!(target: "steward", "Engine {engine} is unreachable: {reason}.");
        host.inbox.push_event(Event::Unreachable { engine });
    }
}
