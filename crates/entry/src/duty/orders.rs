//! Gives orders to engines, each on a thread that waits for the answer.

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

/// How long an engine may take to load an adapter. The steward gives an order up as lost at the
/// same time.
const LOAD_TIMEOUT: Duration = Duration::from_secs(10);

/// How long an engine may take to unload an adapter.
const UNLOAD_TIMEOUT: Duration = Duration::from_secs(2);

/// An order to an engine.
pub struct Job {
    /// Names the order.
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
    /// An order to load an adapter.
    pub fn load(order: Order, address: SocketAddr, loaded: Loaded, fence: u64) -> Self {
        Self {
            order,
            address,
            loaded,
            fence,
            kind: Kind::Load,
        }
    }

    /// An order to unload an adapter.
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

/// Starts threads that carry jobs out until the channel closes.
pub fn start(host: &Arc<Host>, jobs: Receiver<Job>, threads: usize) -> Vec<thread::JoinHandle<()>> {
    let jobs = Arc::new(Mutex::new(jobs));
    let spawn = |number| {
        let host = Arc::clone(host);
        let jobs = Arc::clone(&jobs);
        thread::Builder::new()
            .name(format!("order-{number}"))
            .spawn(move || work(&host, &jobs))
    };
    let crew = (0..threads).map(spawn);
    crew.filter_map(|it| {
        it.inspect_err(|error| {
            log::error!(target: "steward", "An order thread could not start: {error}.");
        })
        .ok()
    })
    .collect()
}

fn work(host: &Host, jobs: &Mutex<Receiver<Job>>) {
    while let Ok(job) = take(jobs) {
        let order = job.order;
        let result = carry_out(host, &job);
        log::debug!(target: "steward", "Order {} for {} ended: {result:?}.", order.0, job.loaded);
        host.inbox.event(Event::OrderEnded { order, result });
    }
}

fn take(jobs: &Mutex<Receiver<Job>>) -> Result<Job, RecvError> {
    jobs.lock().expect("job lock is poisoned").recv()
}

fn carry_out(host: &Host, job: &Job) -> OrderResult {
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
        engine::LoadOutcome::Failed(why) => OrderResult::Failed(why),
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
