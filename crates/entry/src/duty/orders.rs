//! Sends orders to engines. Each order occupies a thread until the engine responds.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, RecvError},
    },
    thread,
    time::Duration,
};

use kernel::reference::Loaded;
use steward::{Event, Order, OrderResult};
use upstream::engine;

use crate::host::Host;

/// The time limit for loading an adapter. The steward considers an order lost after the same time.
const LOAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The time limit for unloading an adapter.
const UNLOAD_TIMEOUT: Duration = Duration::from_secs(2);

/// An order to send to an engine.
pub struct Job {
    /// The identifier of the order.
    pub order: Order,
    address: SocketAddr,
    loaded: Loaded,
    fence: u64,
    kind: Kind,
}

#[derive(Clone, Copy)]
enum Kind {
    Load,
    Unload,
}

impl Job {
    /// Creates an order to load an adapter.
    pub fn load(order: Order, address: SocketAddr, loaded: Loaded, fence: u64) -> Self {
        Self {
            order,
            address,
            loaded,
            fence,
            kind: Kind::Load,
        }
    }

    /// Creates an order to unload an adapter.
    pub fn unload(order: Order, address: SocketAddr, loaded: Loaded, fence: u64) -> Self {
        Self {
            order,
            address,
            loaded,
            fence,
            kind: Kind::Unload,
        }
    }
}

/// Starts threads that execute jobs until the channel is closed.
pub fn start(host: &Arc<Host>, jobs: Receiver<Job>, threads: usize) -> Vec<thread::JoinHandle<()>> {
    let jobs = Arc::new(Mutex::new(jobs));
    let spawn = |number| {
        let host = Arc::clone(host);
        let jobs = Arc::clone(&jobs);
        thread::Builder::new()
            .name(format!("order-{number}"))
            .spawn(move || run_worker(&host, &jobs))
    };
    let workers = (0..threads).map(spawn);
    workers
        .filter_map(|it| {
            it.inspect_err(|error| {
                log::error!(target: "steward", "An order thread could not start: {error}.");
            })
            .ok()
        })
        .collect()
}

fn run_worker(host: &Host, jobs: &Mutex<Receiver<Job>>) {
    while let Ok(job) = next_job(jobs) {
        let order = job.order;
        let result = execute(host, &job);
        log::debug!(target: "steward", "Order {} for {} ended: {result:?}.", order.0, job.loaded);
        host.inbox.push_event(Event::OrderEnded { order, result });
    }
}

fn next_job(jobs: &Mutex<Receiver<Job>>) -> Result<Job, RecvError> {
    jobs.lock().expect("job lock is poisoned").recv()
}

fn execute(host: &Host, job: &Job) -> OrderResult {
    let Job {
        address,
        loaded,
        fence,
        ..
    } = job;
    match job.kind {
        Kind::Load => {
            let result = host.engines.load(*address, loaded, *fence, LOAD_TIMEOUT);
            match result {
                engine::LoadOutcome::Done => host.metrics.count_load(),
                _ => host.metrics.count_load_failure(),
            }
            load_result(result)
        }
        Kind::Unload => {
            let result = host
                .engines
                .unload(*address, loaded, *fence, UNLOAD_TIMEOUT);
            if result == engine::UnloadOutcome::Done {
                host.metrics.count_eviction();
            }
            unload_result(result)
        }
    }
}

fn load_result(result: engine::LoadOutcome) -> OrderResult {
    match result {
        engine::LoadOutcome::Done => OrderResult::Done,
        engine::LoadOutcome::NoSlot => OrderResult::NoSlot,
        engine::LoadOutcome::StaleFence => OrderResult::StaleFence,
        engine::LoadOutcome::Leaving => OrderResult::Leaving,
        engine::LoadOutcome::Failed(reason) => OrderResult::Failed(reason),
        engine::LoadOutcome::NotSent => {
            OrderResult::Failed("the engine can't be reached".to_owned())
        }
        engine::LoadOutcome::Unknown => OrderResult::Unknown,
    }
}

fn unload_result(result: engine::UnloadOutcome) -> OrderResult {
    match result {
        engine::UnloadOutcome::Done => OrderResult::Done,
        engine::UnloadOutcome::NotLoaded => OrderResult::NotLoaded,
        engine::UnloadOutcome::Busy => OrderResult::Busy,
        engine::UnloadOutcome::StaleFence => OrderResult::StaleFence,
        engine::UnloadOutcome::NotSent => {
            OrderResult::Failed("the engine can't be reached".to_owned())
        }
        engine::UnloadOutcome::Unknown => OrderResult::Unknown,
    }
}
