//! The kinds of plug-in of an entry host: duties and routes.

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

/// How often a sleeping duty looks whether it has to end.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Tells duties to end.
#[derive(Clone, Debug, Default)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
    /// Tells every duty that has a clone to end.
    pub fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Whether duties have to end.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    /// Sleeps, but no longer than until the duty has to end.
    pub fn sleep(&self, mut time: Duration) {
        while !time.is_zero() && !self.is_set() {
            let step = time.min(STOP_CHECK_INTERVAL);
            std::thread::sleep(step);
            time -= step;
        }
    }
}

/// Work that goes on for as long as the process, on a thread of its own.
pub struct Duty {
    /// The name of the duty and of its thread.
    pub name: &'static str,
    /// When the duty ends in a shutdown.
    pub phase: Phase,
    /// Does the work until it is told to stop.
    pub run: fn(&Arc<Host>, &Stop),
}

/// When a duty ends in a shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Before running requests are waited for: it brings new work.
    Intake,
    /// After the last request: requests need it to end.
    Service,
}

impl Plugin for Duty {
    fn name(&self) -> &'static str {
        self.name
    }
}

inventory::collect!(Duty);

/// The threads of duties of one phase. They are joined by [`Crew::join`].
#[derive(Debug)]
pub struct Threads {
    stop: Stop,
    threads: Vec<JoinHandle<()>>,
}

impl Threads {
    /// Starts every registered duty of a phase.
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

    /// Tells the duties to end and waits for them.
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

/// Runs a duty. Without one of its duties a host would only hold up its callers, so a panic ends the
/// process, and the others take over.
fn run_or_abort(duty: &Duty, host: &Arc<Host>, stop: &Stop) {
    let run = AssertUnwindSafe(|| (duty.run)(host, stop));
    if catch_unwind(run).is_err() {
        log::error!(target: "entry", "Duty {} panicked; the process ends.", duty.name);
        std::process::abort();
    }
}

/// What answers the requests below a path.
pub struct Route {
    /// The name of the route.
    pub name: &'static str,
    /// The methods that are answered; empty for all.
    pub methods: &'static [&'static str],
    /// Which paths it answers.
    pub path: Path,
    /// Answers a request.
    pub handle: fn(&Arc<Host>, &serve::Request, serve::Responder),
}

/// Which paths a route answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Path {
    /// Just this one.
    Exact(&'static str),
    /// Every one that begins so.
    Prefix(&'static str),
}

impl Path {
    /// Whether a path is meant.
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
