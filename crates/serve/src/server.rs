//! The public handle of a running server.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
        mpsc::sync_channel,
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use tokio::{
    runtime::{self, Runtime},
    sync::mpsc,
    task::LocalSet,
};

use crate::{
    acceptor::{Acceptor, Command},
    connection::Shared,
    limits::{Limits, MIN_HEADER_BYTES},
    request::Request,
    responder::Responder,
    worker::Pool,
};

/// Number of commands that can be queued for the acceptor.
const COMMAND_QUEUE_LEN: usize = 4;

/// Handles requests. Called on a worker thread, where it may block.
pub trait Handler: Send + Sync {
    /// Handles one request. The response may be sent later by keeping the responder.
    fn handle(&self, request: Request, responder: Responder);
}

impl<F> Handler for F
where
    F: Fn(Request, Responder) + Send + Sync,
{
    fn handle(&self, request: Request, responder: Responder) {
        self(request, responder);
    }
}

/// An error that prevented the server from starting.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Failure {
    /// A limit is below its minimum.
    #[display("the limit {name} is {value}, it must be at least {minimum}")]
    Limit {
        /// The limit's name.
        name: &'static str,
        /// Its value.
        value: usize,
        /// The smallest allowed value.
        minimum: usize,
    },
    /// The operating system failed to provide a thread or the socket.
    #[display("failed to start the server: {_0}")]
    System(io::Error),
}

/// The result of a drain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainOutcome {
    /// Every in-flight request was answered completely.
    Complete,
    /// The time limit passed, and this number of requests was aborted.
    Aborted(usize),
}

/// A running server. Dropping it stops it.
pub struct Server {
    address: SocketAddr,
    in_flight: Arc<AtomicUsize>,
    commands: mpsc::Sender<Command>,
    threads: Option<(JoinHandle<()>, Pool)>,
}

impl Server {
    /// Starts to serve the connections of a listener.
    pub fn start(
        listener: TcpListener,
        limits: Limits,
        handler: Arc<dyn Handler>,
    ) -> Result<Self, Failure> {
        check_limits(&limits)?;
        let limits = limits.cap_by_open_files();
        let address = listener.local_addr().map_err(Failure::System)?;
        let endpoint = open_endpoint(listener).map_err(Failure::System)?;
        let in_flight = Arc::new(AtomicUsize::new(0));
        let (commands, command_receiver) = mpsc::channel(COMMAND_QUEUE_LEN);
        let (pool, jobs) =
            Pool::start(limits.workers, limits.queue, handler).map_err(Failure::System)?;
        let in_flight_count = in_flight.clone();
        let acceptor = move || {
            let shared = Shared {
                limits,
                jobs,
                in_flight: in_flight_count,
                total_body_bytes: Rc::default(),
            };
            run_acceptor(endpoint, shared, command_receiver);
        };
        let acceptor = thread::Builder::new()
            .name("serve-acceptor".to_owned())
            .spawn(acceptor)
            .map_err(Failure::System)?;
        Ok(Self {
            address,
            in_flight,
            commands,
            threads: Some((acceptor, pool)),
        })
    }

    /// The address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of requests that are being read, handled, or answered.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Stops accepting requests, waits at most `time_limit` for the in-flight ones, and then aborts
    /// the rest. A second drain can only shorten the first one.
    pub fn drain(&self, time_limit: Duration) -> DrainOutcome {
        let (reply, outcome) = sync_channel(1);
        let command = Command::Drain { time_limit, reply };
        if self.commands.blocking_send(command).is_err() {
            return DrainOutcome::Aborted(self.in_flight());
        }
        let outcome = outcome.recv();
        outcome.unwrap_or_else(|_| DrainOutcome::Aborted(self.in_flight()))
    }

    /// Aborts all open connections and waits for every thread, and so for the handlers that still
    /// run; their responders report that the caller has disconnected.
    pub fn stop(mut self) {
        self.join();
    }

    fn join(&mut self) {
        let Some((acceptor, pool)) = self.threads.take() else {
            return;
        };
        // Sending fails if the acceptor has already ended.
        let _ = self.commands.blocking_send(Command::Stop);
        if acceptor.join().is_err() {
            log::error!(target: "serve", "The acceptor thread panicked.");
        }
        pool.join();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.join();
    }
}

fn check_limits(limits: &Limits) -> Result<(), Failure> {
    let minimums = [
        ("header_bytes", limits.header_bytes, MIN_HEADER_BYTES),
        ("header_count", limits.header_count, 1),
        ("connections", limits.connections, 1),
        ("peer_connections", limits.peer_connections, 1),
        ("queue", limits.queue, 1),
        ("workers", limits.workers, 1),
    ];
    match minimums
        .into_iter()
        .find(|(_, value, minimum)| value < minimum)
    {
        Some((name, value, minimum)) => Err(Failure::Limit {
            name,
            value,
            minimum,
        }),
        None => Ok(()),
    }
}

/// The listener of the acceptor thread with its async runtime.
struct Endpoint {
    runtime: Runtime,
    listener: tokio::net::TcpListener,
}

fn open_endpoint(listener: TcpListener) -> io::Result<Endpoint> {
    listener.set_nonblocking(true)?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()?;
    let listener = {
        let _context = runtime.enter();
        tokio::net::TcpListener::from_std(listener)?
    };
    Ok(Endpoint { runtime, listener })
}

/// Runs the acceptor on the current thread until it stops.
fn run_acceptor(endpoint: Endpoint, shared: Shared, commands: mpsc::Receiver<Command>) {
    let acceptor = Acceptor::new(shared).run(endpoint.listener, commands);
    LocalSet::new().block_on(&endpoint.runtime, acceptor);
}
