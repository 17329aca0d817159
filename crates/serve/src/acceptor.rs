//! The thread that accepts connections and runs them until it is told to drain or to stop.

use std::{
    cell::RefCell,
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    sync::{atomic::Ordering, mpsc::SyncSender},
    time::{Duration, Instant},
};

use kernel::fault::{Fault, Kind};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
    task::JoinSet,
    time::{sleep, timeout, timeout_at},
};

use crate::{
    connection::{self, Shared, Stage},
    server::DrainOutcome,
};

/// Pause after the operating system could not give a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// A drain accepts what is already on its way until nothing has come for this long.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_millis(20);
/// When a caller who met too many connections may come back.
const CONNECTION_PAUSE: Duration = Duration::from_secs(1);
/// Connections that may be open beyond the limits, to tell their callers of the refusal.
const REFUSED_CONNECTIONS: usize = 64;

/// What the acceptor can be told.
pub(crate) enum Command {
    /// Take no new connection and let the running requests end.
    Drain {
        limit: Duration,
        reply: SyncSender<DrainOutcome>,
    },
    /// End at once.
    Stop,
}

/// Open connections, in all and by peer address.
#[derive(Debug, Default)]
struct Census {
    served: usize,
    refused: usize,
    peers: HashMap<IpAddr, usize>,
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Admission {
    Serve,
    Refuse,
    Drop,
}

impl Census {
    fn admit(&mut self, peer: IpAddr, shared: &Shared) -> Admission {
        let limits = &shared.limits;
        let of_peer = self.peers.get(&peer).copied().unwrap_or_default();
        if self.served < limits.connections && of_peer < limits.peer_connections {
            self.served += 1;
            self.peers.insert(peer, of_peer + 1);
            return Admission::Serve;
        }
        if self.refused < REFUSED_CONNECTIONS {
            self.refused += 1;
            return Admission::Refuse;
        }
        Admission::Drop
    }

    fn close_served(&mut self, peer: IpAddr) {
        self.served -= 1;
        let left = self.peers.remove(&peer).unwrap_or_default() - 1;
        if left > 0 {
            self.peers.insert(peer, left);
        }
    }
}

/// Holds a place in the census as long as a connection is open.
struct Place {
    census: Rc<RefCell<Census>>,
    peer: IpAddr,
    admission: Admission,
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut census = self.census.borrow_mut();
        match self.admission {
            Admission::Serve => census.close_served(self.peer),
            Admission::Refuse => census.refused -= 1,
            Admission::Drop => {}
        }
    }
}

/// Accepts and runs connections.
pub(crate) struct Acceptor {
    shared: Rc<Shared>,
    census: Rc<RefCell<Census>>,
    connections: JoinSet<()>,
    stage: watch::Sender<Stage>,
}

/// What interrupted a wait.
enum Event {
    Accepted(io::Result<(TcpStream, SocketAddr)>),
    Told(Command),
    Ended,
}

impl Acceptor {
    pub(crate) fn new(shared: Shared) -> Self {
        Self {
            shared: Rc::new(shared),
            census: Rc::default(),
            connections: JoinSet::new(),
            stage: watch::Sender::new(Stage::Serving),
        }
    }

    /// Runs until it is told to stop.
    pub(crate) async fn run(
        mut self,
        listener: TcpListener,
        mut commands: mpsc::Receiver<Command>,
    ) {
        let (limit, reply) = loop {
            match self.wait(&listener, &mut commands).await {
                Event::Accepted(accepted) => self.open(accepted).await,
                Event::Told(Command::Drain { limit, reply }) => break (limit, reply),
                Event::Told(Command::Stop) => return,
                Event::Ended => {}
            }
        };
        self.accept_rest(listener).await;
        let _ = self.stage.send(Stage::Draining);
        self.drain(Instant::now() + limit, reply, &mut commands)
            .await;
    }

    async fn wait(
        &mut self,
        listener: &TcpListener,
        commands: &mut mpsc::Receiver<Command>,
    ) -> Event {
        tokio::select! {
            command = commands.recv() => Event::Told(command.unwrap_or(Command::Stop)),
            accepted = listener.accept() => Event::Accepted(accepted),
            Some(_) = self.connections.join_next() => Event::Ended,
        }
    }

    async fn open(&mut self, accepted: io::Result<(TcpStream, SocketAddr)>) {
        match accepted {
            Ok((stream, peer)) => self.admit(stream, peer),
            Err(error) => {
                log::warn!(target: "serve", "No connection can be accepted: {error}.");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }

    fn admit(&mut self, stream: TcpStream, peer: SocketAddr) {
        let admission = self.census.borrow_mut().admit(peer.ip(), &self.shared);
        let place = Place {
            census: self.census.clone(),
            peer: peer.ip(),
            admission,
        };
        match admission {
            Admission::Serve => self.serve(stream, peer, place),
            Admission::Refuse => self.refuse(stream, place),
            Admission::Drop => {}
        }
    }

    fn serve(&mut self, stream: TcpStream, peer: SocketAddr, place: Place) {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(target: "serve", "Nagle's algorithm stays on for {peer}: {error}.");
        }
        let shared = self.shared.clone();
        let stage = self.stage.subscribe();
        self.connections.spawn_local(async move {
            connection::run(stream, peer, shared, stage).await;
            drop(place);
        });
    }

    fn refuse(&mut self, stream: TcpStream, place: Place) {
        let fault = Fault::new(Kind::Overloaded, "too many connections are open");
        let fault = fault.with_retry_after(CONNECTION_PAUSE);
        self.connections.spawn_local(async move {
            connection::refuse(stream, &fault).await;
            drop(place);
        });
    }

    /// Takes the connections that callers have already opened, so that closing the listener
    /// resets none of them.
    async fn accept_rest(&mut self, listener: TcpListener) {
        while let Ok(accepted) = timeout(DRAIN_ACCEPT_TIME, listener.accept()).await {
            self.open(accepted).await;
        }
    }

    /// Waits for the running requests. A second order to drain can only bring the end forward.
    async fn drain(
        &mut self,
        mut deadline: Instant,
        reply: SyncSender<DrainOutcome>,
        commands: &mut mpsc::Receiver<Command>,
    ) {
        let mut replies = vec![reply];
        while let Some(event) = self.wait_drained(deadline, commands).await {
            match event {
                Event::Told(Command::Drain { limit, reply }) => {
                    deadline = deadline.min(Instant::now() + limit);
                    replies.push(reply);
                }
                Event::Told(Command::Stop) => return,
                Event::Accepted(_) | Event::Ended => {}
            }
        }
        let outcome = self.cut();
        for reply in replies {
            // An asker that has given up needs no reply.
            let _ = reply.send(outcome);
        }
        self.wait_stop(outcome, commands).await;
    }

    async fn wait_drained(
        &mut self,
        deadline: Instant,
        commands: &mut mpsc::Receiver<Command>,
    ) -> Option<Event> {
        if self.connections.is_empty() {
            return None;
        }
        let event = async {
            tokio::select! {
                command = commands.recv() => Event::Told(command.unwrap_or(Command::Stop)),
                _ = self.connections.join_next() => Event::Ended,
            }
        };
        timeout_at(deadline.into(), event).await.ok()
    }

    fn cut(&mut self) -> DrainOutcome {
        let cut = self.shared.running.load(Ordering::Acquire);
        self.connections.abort_all();
        if cut == 0 {
            return DrainOutcome::Complete;
        }
        log::warn!(target: "serve", "The drain limit has passed; {cut} requests are cut.");
        DrainOutcome::Aborted(cut)
    }

    async fn wait_stop(&mut self, outcome: DrainOutcome, commands: &mut mpsc::Receiver<Command>) {
        while let Some(Command::Drain { reply, .. }) = commands.recv().await {
            let _ = reply.send(outcome);
        }
    }
}
