//! The network thread, which runs gossip and remote calls.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use derive_more::{Display, Error};
use kernel::{clock::Clock, permit::Holder};
use member::{Input, State};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::mpsc,
    task::{JoinSet, LocalSet},
};

use crate::{
    Handle, Handler, Limits, Settings, auth::Key, client, delivery, gossip::Gossip, handle::Call,
    link::Links, registry::Registry, release::Queues, server, shared::Shared,
};

/// The reason why the service could not be started.
#[derive(Debug, Display, Error)]
pub enum Failure {
    /// Listening on the address failed.
    #[display("can't listen on {address}: {reason}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The reason.
        #[error(source)]
        reason: io::Error,
    },
    /// The network thread or its runtime could not be started.
    #[display("can't start the network thread: {_0}")]
    Thread(io::Error),
}

/// State shared by the tasks on the network thread.
pub(crate) struct Context {
    /// The name and incarnation of this host.
    pub holder: Holder,
    pub key: Key,
    pub limits: Limits,
    pub shared: Arc<Shared>,
    pub handler: Arc<dyn Handler>,
    pub links: Links,
    pub registry: RefCell<Registry>,
    /// Number of permit requests of other hosts in progress.
    pub permit_requests: Rc<Cell<usize>>,
    /// The highest configuration revision that is known to exist.
    pub highest_revision: Cell<u64>,
}

/// The running peer service. Dropping the service stops and joins the network thread.
#[derive(Debug)]
pub struct Service {
    handle: Handle,
    address: SocketAddr,
    thread: Option<JoinHandle<()>>,
}

/// The bound sockets.
struct Sockets {
    tcp: std::net::TcpListener,
    udp: std::net::UdpSocket,
    address: SocketAddr,
}

impl Sockets {
    fn open(listen: SocketAddr) -> Result<Self, Failure> {
        let failure = |address| move |reason| Failure::Listen { address, reason };
        let tcp = std::net::TcpListener::bind(listen).map_err(failure(listen))?;
        let address = tcp.local_addr().map_err(failure(listen))?;
        let udp = std::net::UdpSocket::bind(address).map_err(failure(address))?;
        tcp.set_nonblocking(true).map_err(failure(address))?;
        udp.set_nonblocking(true).map_err(failure(address))?;
        Ok(Self { tcp, udp, address })
    }
}

impl Service {
    /// Opens the sockets and starts the network thread.
    pub fn start(
        settings: Settings,
        handler: Arc<dyn Handler>,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, Failure> {
        let sockets = Sockets::open(settings.listen)?;
        let mut settings = settings;
        if settings.identity.address.port() == 0 {
            settings.identity.address.set_port(sockets.address.port());
        }
        let address = settings.identity.address;
        let shared = Arc::new(Shared::new(Queues::new(settings.limits.releases_per_host)));
        let (sender, calls) = mpsc::channel(settings.limits.outgoing_calls);
        let handle = Handle {
            shared: Arc::clone(&shared),
            calls: sender,
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(Failure::Thread)?;
        let worker = Worker {
            settings,
            sockets,
            shared,
            handler,
            clock,
            calls,
        };
        let thread = thread::Builder::new()
            .name("peer".to_owned())
            .spawn(move || LocalSet::new().block_on(&runtime, worker.run()))
            .map_err(Failure::Thread)?;
        Ok(Self {
            handle,
            address,
            thread: Some(thread),
        })
    }

    /// Returns a handle for use by other threads.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Returns the peer address of this host, with the port that was bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the service after delivering the queued releases. Waits for their delivery for at most
    /// [`Limits::drain_timeout`].
    pub fn stop(mut self) {
        self.join();
    }

    fn join(&mut self) {
        let Some(thread) = self.thread.take() else {
            return;
        };
        self.handle.shared.stop.notify_one();
        if thread.join().is_err() {
            log::error!(target: "peer", "The network thread panicked.");
        }
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.join();
    }
}

/// The state that is moved to the network thread.
struct Worker {
    settings: Settings,
    sockets: Sockets,
    shared: Arc<Shared>,
    handler: Arc<dyn Handler>,
    clock: Arc<dyn Clock>,
    calls: mpsc::Receiver<Call>,
}

/// Interval at which the service checks for undelivered releases when it stops.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Worker {
    async fn run(self) {
        let Self {
            settings,
            sockets,
            shared,
            handler,
            clock,
            calls,
        } = self;
        let (listener, socket) = match register_sockets(sockets) {
            Ok(sockets) => sockets,
            Err(error) => {
                log::error!(target: "peer", "Registering the sockets with the runtime failed: {error}.");
                return;
            }
        };
        let mut state = State::new(settings.identity.clone(), settings.gossip, settings.seed);
        state.handle(Input::Seeds(settings.seeds), clock.now());
        let context = Rc::new(Context {
            holder: settings.identity.holder,
            key: Key::new(&settings.key),
            limits: settings.limits,
            shared: Arc::clone(&shared),
            handler,
            links: Links::default(),
            registry: RefCell::default(),
            permit_requests: Rc::default(),
            highest_revision: Cell::default(),
        });
        let gossip = Gossip::new(Rc::clone(&context), clock, socket, state);
        let mut tasks = JoinSet::new();
        tasks.spawn_local(gossip.run());
        tasks.spawn_local(server::listen(Rc::clone(&context), listener));
        tasks.spawn_local(run_calls(Rc::clone(&context), calls));
        tasks.spawn_local(delivery::run(Rc::clone(&context)));
        tokio::select! {
            () = shared.stop.notified() => deliver_remaining(&context).await,
            // The tasks run until they are dropped, so one that ends has panicked.
            _ = tasks.join_next() => log::error!(target: "peer", "A task of the network thread panicked."),
        }
        tasks.shutdown().await;
    }
}

/// Registers the sockets with the runtime of the current thread.
fn register_sockets(sockets: Sockets) -> io::Result<(TcpListener, UdpSocket)> {
    Ok((
        TcpListener::from_std(sockets.tcp)?,
        UdpSocket::from_std(sockets.udp)?,
    ))
}

/// Starts a task for each queued call, while fewer than the maximum are in progress.
async fn run_calls(context: Rc<Context>, mut calls: mpsc::Receiver<Call>) {
    let mut tasks = JoinSet::new();
    loop {
        let full = tasks.len() >= context.limits.outgoing_calls;
        tokio::select! {
            Some(_) = tasks.join_next() => {}
            Some(call) = calls.recv(), if !full => {
                tasks.spawn_local(client::execute(Rc::clone(&context), call));
            }
            else => return,
        }
    }
}

/// Waits until all releases are acknowledged, or until the drain timeout.
async fn deliver_remaining(context: &Context) {
    let deadline = tokio::time::Instant::now() + context.limits.drain_timeout;
    while !context.shared.releases.hosts().is_empty() && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
