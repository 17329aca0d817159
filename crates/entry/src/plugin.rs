//! The plug-in kinds of an entry host: duties and routes.

use std::{
    panic::{AssertUnwindSafe, catch_unwind},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use kernel::registry::{Plugin, inventory};

use crate::host::Host;

/// How often a sleeping duty checks for the stop signal.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The signal that stops duties.
#[derive(Clone, Debug, Default)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
    /// Signals all duties that hold a clone to stop.
    pub fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Returns whether duties must stop.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    /// Sleeps for `time`, but returns early if the duty must stop.
    pub fn sleep(&self, mut time: Duration) {
        while !time.is_zero() && !self.is_set() {
            let step = time.min(STOP_CHECK_INTERVAL);
            std::thread::sleep(step);
            time -= step;
        }
    }
}

/// A background task that runs on its own thread for the lifetime of the process.
pub struct Duty {
    /// The name of the duty and of its thread.
    pub name: &'static str,
    /// When the duty stops during a shutdown.
    pub phase: Phase,
    /// Runs the duty until it is told to stop.
    pub run: fn(&Arc<Host>, &Stop),
}

/// When a duty stops during a shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Before the running requests are drained, because the duty takes on new work.
    Intake,
    /// After the last request, because running requests depend on the duty.
    Service,
}

impl Plugin for Duty {
    fn name(&self) -> &'static str {
        self.name
    }
}

inventory::collect!(Duty);

/// The threads of the duties of one phase, joined by [`Threads::join`].
#[derive(Debug)]
pub struct Threads {
    stop: Stop,
    threads: Vec<JoinHandle<()>>,
}

impl Threads {
    /// Starts all registered duties of a phase.
    pub fn start(host: &Arc<Host>, phase: Phase) -> std::io::Result<Self> {
        let mut started = Self {
            stop: Stop::default(),
            threads: Vec::new(),
        };
        let duties = kernel::registry::all::<Duty>();
        for duty in duties.into_iter().filter(|it| it.phase == phase) {
            match started.spawn(host, duty) {
                Ok(thread) => started.threads.push(thread),
                Err(error) => {
                    started.join();
                    return Err(error);
                }
            }
        }
        Ok(started)
    }

    fn spawn(&self, host: &Arc<Host>, duty: &'static Duty) -> std::io::Result<JoinHandle<()>> {
        let host = Arc::clone(host);
        let stop = self.stop.clone();
        std::thread::Builder::new()
            .name(duty.name.to_owned())
            .spawn(move || run_or_abort(duty, &host, &stop))
    }

    /// Stops the duties and waits for their threads.
    pub fn join(self) {
        self.stop.set();
        for thread in self.threads {
            let name = thread.thread().name().unwrap_or("duty").to_owned();
            if thread.join().is_err() {
                log::error!(target: "entry", "Duty {name} panicked.");
            }
        }
    }
}

/// Runs a duty and aborts the process if the duty panics. A host without one of its duties would
/// only delay its callers; after an abort the other hosts take over.
fn run_or_abort(duty: &Duty, host: &Arc<Host>, stop: &Stop) {
    let run = AssertUnwindSafe(|| (duty.run)(host, stop));
    if catch_unwind(run).is_err() {
        log::error!(target: "entry", "Duty {} panicked; aborting the process.", duty.name);
        std::process::abort();
    }
}

/// An HTTP endpoint.
pub struct Route {
    /// The name of the route.
    pub name: &'static str,
    /// The accepted methods; empty if all are accepted.
    pub methods: &'static [&'static str],
    /// The paths that the route handles.
    pub path: Path,
    /// Handles a request.
    pub handle: fn(&Arc<Host>, &serve::Request, serve::Responder),
}

/// The paths that a route handles.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Path {
    /// Exactly this path.
    Exact(&'static str),
    /// All paths with this prefix.
    Prefix(&'static str),
}

impl Path {
    /// Returns whether the route handles `path`.
    pub fn matches(self, path: &str) -> bool {
        match self {
            Self::Exact(it) => path == it,
            Self::Prefix(it) => path.starts_with(it),
        }
    }
}

impl Plugin for Route {
    fn name(&self) -> &'static str {
        self.name
    }
}

inventory::collect!(Route);
