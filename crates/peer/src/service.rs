//! The thread of the sockets.

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
    Handle, Handler, Limits, Settings, auth::Key, client, delivery, gossip::Gossip, guest::Book,
    handle::Call, link::Links, release::Queues, server, shared::Shared,
};

/// Why the sockets could not be opened.
#[derive(Debug, Display, Error)]
pub enum Failure {
    /// The address can't be listened on.
    #[display("can't listen on {address}: {reason}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        #[error(source)]
        reason: io::Error,
    },
    /// The thread or its executor could not be started.
    #[display("can't start the thread of the sockets: {_0}")]
    Thread(io::Error),
}

/// What the tasks on the thread of the sockets share.
pub(crate) struct Context {
    pub me: Holder,
    pub key: Key,
    pub limits: Limits,
    pub shared: Arc<Shared>,
    pub handler: Arc<dyn Handler>,
    pub links: Links,
    pub book: RefCell<Book>,
    pub serving: Rc<Cell<usize>>,
    pub revision: Cell<u64>,
}

/// The running sockets. Dropping it stops and joins their thread.
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
    /// Opens the sockets and starts their thread.
    pub fn start(
        settings: Settings,
        handler: Arc<dyn Handler>,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, Failure> {
        let sockets = Sockets::open(settings.listen)?;
        let mut settings = settings;
        if settings.me.address.port() == 0 {
            settings.me.address.set_port(sockets.address.port());
        }
        let address = settings.me.address;
        let shared = Arc::new(Shared::new(Queues::new(settings.limits.releases)));
        let (sender, calls) = mpsc::channel(settings.limits.calls);
        let handle = Handle {
            shared: Arc::clone(&shared),
            calls: sender,
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(Failure::Thread)?;
        let duty = Duty {
            settings,
            sockets,
            shared,
            handler,
            clock,
            calls,
        };
        let thread = thread::Builder::new()
            .name("peer".to_owned())
            .spawn(move || LocalSet::new().block_on(&runtime, duty.run()))
            .map_err(Failure::Thread)?;
        Ok(Self {
            handle,
            address,
            thread: Some(thread),
        })
    }

    /// A way to the peers for other threads.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// The peer address of this host, with the port that was bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Delivers the releases that wait, as far as that is quick, and joins the thread.
    pub fn stop(mut self) {
        self.join();
    }

    fn join(&mut self) {
        let Some(thread) = self.thread.take() else {
            return;
        };
        self.handle.shared.stop.notify_one();
        if thread.join().is_err() {
            log::error!(target: "peer", "The thread of the sockets panicked.");
        }
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.join();
    }
}

/// All that the thread needs.
struct Duty {
    settings: Settings,
    sockets: Sockets,
    shared: Arc<Shared>,
    handler: Arc<dyn Handler>,
    clock: Arc<dyn Clock>,
    calls: mpsc::Receiver<Call>,
}

/// Time between two looks at the releases that still wait.
const DRAIN_STEP: Duration = Duration::from_millis(10);

impl Duty {
    async fn run(self) {
        let Self {
            settings,
            sockets,
            shared,
            handler,
            clock,
            calls,
        } = self;
        let (listener, socket) = match register(sockets) {
            Ok(sockets) => sockets,
            Err(error) => {
                log::error!(target: "peer", "The sockets can't be used: {error}.");
                return;
            }
        };
        let mut state = State::new(settings.me.clone(), settings.gossip, settings.seed);
        state.handle(Input::Seeds(settings.seeds), clock.now());
        let context = Rc::new(Context {
            me: settings.me.holder,
            key: Key::new(&settings.key),
            limits: settings.limits,
            shared: Arc::clone(&shared),
            handler,
            links: Links::default(),
            book: RefCell::default(),
            serving: Rc::default(),
            revision: Cell::default(),
        });
        let gossip = Gossip::new(Rc::clone(&context), clock, socket, state);
        let mut tasks = JoinSet::new();
        tasks.spawn_local(gossip.run());
        tasks.spawn_local(server::listen(Rc::clone(&context), listener));
        tasks.spawn_local(make_calls(Rc::clone(&context), calls));
        tasks.spawn_local(delivery::send(Rc::clone(&context)));
        tokio::select! {
            () = shared.stop.notified() => drain(&context).await,
            // None of the tasks ends by itself.
            _ = tasks.join_next() => log::error!(target: "peer", "A task of the sockets panicked."),
        }
        tasks.shutdown().await;
    }
}

fn register(sockets: Sockets) -> io::Result<(TcpListener, UdpSocket)> {
    Ok((
        TcpListener::from_std(sockets.tcp)?,
        UdpSocket::from_std(sockets.udp)?,
    ))
}

async fn make_calls(context: Rc<Context>, mut calls: mpsc::Receiver<Call>) {
    let mut tasks = JoinSet::new();
    loop {
        let full = tasks.len() >= context.limits.calls;
        tokio::select! {
            Some(_) = tasks.join_next() => {}
            Some(call) = calls.recv(), if !full => {
                tasks.spawn_local(client::call(Rc::clone(&context), call));
            }
            else => return,
        }
    }
}

async fn drain(context: &Context) {
    let until = tokio::time::Instant::now() + context.limits.drain;
    while !context.shared.releases.hosts().is_empty() && tokio::time::Instant::now() < until {
        tokio::time::sleep(DRAIN_STEP).await;
    }
}
