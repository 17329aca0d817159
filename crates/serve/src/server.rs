//! The server as its owner sees it.

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

/// Commands that may wait for the acceptor.
const COMMANDS: usize = 4;

/// Answers requests. Called on a worker thread, where it may block.
pub trait Handler: Send + Sync {
    /// Answers one request, now or, by keeping the responder, later.
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

/// Why the server could not start.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Failure {
    /// A limit makes no sense.
    #[display("the limit {name} is {value}, it must be at least {least}")]
    Limit {
        /// The limit's name.
        name: &'static str,
        /// Its value.
        value: usize,
        /// The least that it can be.
        least: usize,
    },
    /// The operating system refused a thread or the socket.
    #[display("the server can't start: {_0}")]
    System(io::Error),
}

/// How a drain ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainOutcome {
    /// Every running request was answered to its end.
    Complete,
    /// The limit passed, and so many requests were cut.
    Aborted(usize),
}

/// A running server. Dropped, it stops.
pub struct Server {
    address: SocketAddr,
    running: Arc<AtomicUsize>,
    commands: mpsc::Sender<Command>,
    threads: Option<(JoinHandle<()>, Pool)>,
}

impl Server {
    /// Starts to answer what comes to a listener.
    pub fn start(
        listener: TcpListener,
        limits: Limits,
        handler: Arc<dyn Handler>,
    ) -> Result<Self, Failure> {
        check(&limits)?;
        let limits = limits.within_files();
        let address = listener.local_addr().map_err(Failure::System)?;
        let socket = open(listener).map_err(Failure::System)?;
        let running = Arc::new(AtomicUsize::new(0));
        let (commands, orders) = mpsc::channel(COMMANDS);
        let (pool, jobs) =
            Pool::start(limits.workers, limits.queue, handler).map_err(Failure::System)?;
        let count = running.clone();
        let acceptor = move || {
            let shared = Shared {
                limits,
                jobs,
                running: count,
                body_bytes: Rc::default(),
            };
            accept(socket, shared, orders);
        };
        let acceptor = thread::Builder::new()
            .name("serve-acceptor".to_owned())
            .spawn(acceptor)
            .map_err(Failure::System)?;
        Ok(Self {
            address,
            running,
            commands,
            threads: Some((acceptor, pool)),
        })
    }

    /// Where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How many requests are being read, handled or answered.
    pub fn in_flight(&self) -> usize {
        self.running.load(Ordering::Acquire)
    }

    /// Takes no new request and waits until the running ones are answered, at most for a limit;
    /// then cuts what is left. A second drain can only bring the end of the first one forward.
    pub fn drain(&self, limit: Duration) -> DrainOutcome {
        let (reply, outcome) = sync_channel(1);
        let command = Command::Drain { limit, reply };
        if self.commands.blocking_send(command).is_err() {
            return DrainOutcome::Aborted(self.in_flight());
        }
        let outcome = outcome.recv();
        outcome.unwrap_or_else(|_| DrainOutcome::Aborted(self.in_flight()))
    }

    /// Cuts whatever is open and waits for every thread. A handler that still runs is waited for;
    /// its responder tells it that the caller has gone.
    pub fn stop(mut self) {
        self.join();
    }

    fn join(&mut self) {
        let Some((acceptor, pool)) = self.threads.take() else {
            return;
        };
        // The acceptor has ended already if nobody takes the command.
        let _ = self.commands.blocking_send(Command::Stop);
        if acceptor.join().is_err() {
            log::error!(target: "serve", "The acceptor panicked.");
        }
        pool.join();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.join();
    }
}

fn check(limits: &Limits) -> Result<(), Failure> {
    let least = [
        ("header_bytes", limits.header_bytes, MIN_HEADER_BYTES),
        ("header_count", limits.header_count, 1),
        ("connections", limits.connections, 1),
        ("peer_connections", limits.peer_connections, 1),
        ("queue", limits.queue, 1),
        ("workers", limits.workers, 1),
    ];
    match least.into_iter().find(|(_, value, least)| value < least) {
        Some((name, value, least)) => Err(Failure::Limit { name, value, least }),
        None => Ok(()),
    }
}

/// What the acceptor's thread needs of the operating system.
struct Socket {
    runtime: Runtime,
    listener: tokio::net::TcpListener,
}

fn open(listener: TcpListener) -> io::Result<Socket> {
    listener.set_nonblocking(true)?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()?;
    let listener = {
        let _context = runtime.enter();
        tokio::net::TcpListener::from_std(listener)?
    };
    Ok(Socket { runtime, listener })
}

/// The acceptor's thread.
fn accept(socket: Socket, shared: Shared, orders: mpsc::Receiver<Command>) {
    let acceptor = Acceptor::new(shared).run(socket.listener, orders);
    LocalSet::new().block_on(&socket.runtime, acceptor);
}
