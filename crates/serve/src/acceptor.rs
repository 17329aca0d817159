//! Accepts connections and runs them on one thread until a drain or a stop.

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
    time::{sleep, timeout_at},
};

use crate::{
    connection::{self, Shared, Stage},
    server::DrainOutcome,
};

/// Delay before the next `accept` after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// A drain keeps accepting pending connections until none has arrived for this long.
const DRAIN_ACCEPT_TIMEOUT: Duration = Duration::from_millis(20);
/// Time after which a drain only accepts the connections that are already pending.
const DRAIN_ACCEPT_LIMIT: Duration = Duration::from_millis(250);
/// `Retry-After` of a connection rejected by the connection limits.
const CONNECTION_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Connections that may be open beyond the limits to send an error response to their callers.
const MAX_REJECTED_CONNECTIONS: usize = 64;

/// A command from the owner of the server to the acceptor.
pub(crate) enum Command {
    /// Accept no new connections and let the in-flight requests finish.
    Drain {
        time_limit: Duration,
        reply: SyncSender<DrainOutcome>,
    },
    /// Stop immediately.
    Stop,
}

/// Counts of open connections, in total and per peer address.
#[derive(Debug, Default)]
struct Counts {
    served: usize,
    rejected: usize,
    per_peer: HashMap<IpAddr, usize>,
}

/// The decision on a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Admission {
    Serve,
    /// Send an error response and close the connection.
    Reject,
    /// Close the connection without a response.
    Drop,
}

impl Counts {
    fn admit(&mut self, peer: IpAddr, shared: &Shared) -> Admission {
        let limits = &shared.limits;
        let peer_count = self.per_peer.get(&peer).copied().unwrap_or_default();
        if self.served < limits.connections && peer_count < limits.peer_connections {
            self.served += 1;
            self.per_peer.insert(peer, peer_count + 1);
            return Admission::Serve;
        }
        if self.rejected < MAX_REJECTED_CONNECTIONS {
            self.rejected += 1;
            return Admission::Reject;
        }
        Admission::Drop
    }

    fn release_served(&mut self, peer: IpAddr) {
        self.served -= 1;
        let remaining = self.per_peer.remove(&peer).unwrap_or_default() - 1;
        if remaining > 0 {
            self.per_peer.insert(peer, remaining);
        }
    }
}

/// Keeps a connection counted while it is open.
struct CountGuard {
    counts: Rc<RefCell<Counts>>,
    peer: IpAddr,
    admission: Admission,
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        let mut counts = self.counts.borrow_mut();
        match self.admission {
            Admission::Serve => counts.release_served(self.peer),
            Admission::Reject => counts.rejected -= 1,
            Admission::Drop => {}
        }
    }
}

/// Accepts and runs connections.
pub(crate) struct Acceptor {
    shared: Rc<Shared>,
    counts: Rc<RefCell<Counts>>,
    connections: JoinSet<()>,
    stage: watch::Sender<Stage>,
}

/// An event that the acceptor handles.
enum Event {
    Accepted(io::Result<(TcpStream, SocketAddr)>),
    Command(Command),
    Closed,
}

impl Acceptor {
    pub(crate) fn new(shared: Shared) -> Self {
        Self {
            shared: Rc::new(shared),
            counts: Rc::default(),
            connections: JoinSet::new(),
            stage: watch::Sender::new(Stage::Serving),
        }
    }

    /// Runs until [`Command::Stop`].
    pub(crate) async fn run(
        mut self,
        listener: TcpListener,
        mut commands: mpsc::Receiver<Command>,
    ) {
        let (time_limit, reply) = loop {
            match self.next_event(&listener, &mut commands).await {
                Event::Accepted(accepted) => self.handle_accepted(accepted).await,
                Event::Command(Command::Drain { time_limit, reply }) => break (time_limit, reply),
                Event::Command(Command::Stop) => return,
                Event::Closed => {}
            }
        };
        self.accept_pending(listener).await;
        let _ = self.stage.send(Stage::Draining);
        self.drain(Instant::now() + time_limit, reply, &mut commands)
            .await;
    }

    async fn next_event(
        &mut self,
        listener: &TcpListener,
        commands: &mut mpsc::Receiver<Command>,
    ) -> Event {
        tokio::select! {
            command = commands.recv() => Event::Command(command.unwrap_or(Command::Stop)),
            accepted = listener.accept() => Event::Accepted(accepted),
            Some(_) = self.connections.join_next() => Event::Closed,
        }
    }

    async fn handle_accepted(&mut self, accepted: io::Result<(TcpStream, SocketAddr)>) {
        match accepted {
            Ok((stream, peer)) => self.admit(stream, peer),
            Err(error) => {
                log::warn!(target: "serve", "Failed to accept a connection: {error}.");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }

    fn admit(&mut self, stream: TcpStream, peer: SocketAddr) {
        let admission = self.counts.borrow_mut().admit(peer.ip(), &self.shared);
        let guard = CountGuard {
            counts: self.counts.clone(),
            peer: peer.ip(),
            admission,
        };
        match admission {
            Admission::Serve => self.serve(stream, peer, guard),
            Admission::Reject => self.reject(stream, guard),
            Admission::Drop => {}
        }
    }

    fn serve(&mut self, stream: TcpStream, peer: SocketAddr, guard: CountGuard) {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(target: "serve", "Failed to set TCP_NODELAY for {peer}: {error}.");
        }
        let shared = self.shared.clone();
        let stage = self.stage.subscribe();
        self.connections.spawn_local(async move {
            connection::run(stream, peer, shared, stage).await;
            drop(guard);
        });
    }

    fn reject(&mut self, stream: TcpStream, guard: CountGuard) {
        let fault = Fault::new(Kind::Overloaded, "too many connections are open");
        let fault = fault.with_retry_after(CONNECTION_RETRY_AFTER);
        self.connections.spawn_local(async move {
            connection::reject(stream, &fault).await;
            drop(guard);
        });
    }

    /// Accepts the connections that callers have already opened; closing the listener would reset
    /// them.
    async fn accept_pending(&mut self, listener: TcpListener) {
        let end = Instant::now() + DRAIN_ACCEPT_LIMIT;
        loop {
            // An accept that is ready succeeds even after its deadline.
            let deadline = end.min(Instant::now() + DRAIN_ACCEPT_TIMEOUT);
            let Ok(accepted) = timeout_at(deadline.into(), listener.accept()).await else {
                return;
            };
            self.handle_accepted(accepted).await;
        }
    }

    /// Waits for the in-flight requests. A second drain command can only shorten the wait.
    async fn drain(
        &mut self,
        mut deadline: Instant,
        reply: SyncSender<DrainOutcome>,
        commands: &mut mpsc::Receiver<Command>,
    ) {
        let mut replies = vec![reply];
        while let Some(event) = self.next_drain_event(deadline, commands).await {
            match event {
                Event::Command(Command::Drain { time_limit, reply }) => {
                    deadline = deadline.min(Instant::now() + time_limit);
                    replies.push(reply);
                }
                Event::Command(Command::Stop) => return,
                Event::Accepted(_) | Event::Closed => {}
            }
        }
        let outcome = self.abort_remaining();
        for reply in replies {
            // The requester of the drain may have stopped waiting for the outcome.
            let _ = reply.send(outcome);
        }
        self.wait_for_stop(outcome, commands).await;
    }

    async fn next_drain_event(
        &mut self,
        deadline: Instant,
        commands: &mut mpsc::Receiver<Command>,
    ) -> Option<Event> {
        if self.connections.is_empty() {
            return None;
        }
        let event = async {
            tokio::select! {
                command = commands.recv() => Event::Command(command.unwrap_or(Command::Stop)),
                _ = self.connections.join_next() => Event::Closed,
            }
        };
        timeout_at(deadline.into(), event).await.ok()
    }

    fn abort_remaining(&mut self) -> DrainOutcome {
        let aborted = self.shared.in_flight.load(Ordering::Acquire);
        self.connections.abort_all();
        if aborted == 0 {
            return DrainOutcome::Complete;
        }
        log::warn!(target: "serve", "The drain time limit has passed; {aborted} requests are aborted.");
        DrainOutcome::Aborted(aborted)
    }

    async fn wait_for_stop(
        &mut self,
        outcome: DrainOutcome,
        commands: &mut mpsc::Receiver<Command>,
    ) {
        while let Some(Command::Drain { reply, .. }) = commands.recv().await {
            let _ = reply.send(outcome);
        }
    }
}
