//! TCP proxy that simulates network failures in front of the platform or of an upstream.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    thread::JoinHandle,
};

use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{oneshot, watch},
};

use crate::http::ANY_PORT;

/// Size of the copy buffer of each direction.
const BUFFER_BYTES: usize = 16 << 10;

/// Behavior of a link.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// The link forwards bytes in both directions.
    #[default]
    Open,
    /// The link holds bytes back in both directions, as when packets are lost. Connections stay
    /// open.
    Frozen,
    /// The link forwards requests and holds responses back.
    AnswersLost,
    /// The link closes connections.
    Closed,
}

#[derive(Clone, Copy, Debug)]
enum Direction {
    ToTarget,
    ToCaller,
}

/// Handling of the bytes of one direction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Gate {
    Pass,
    Wait,
    Close,
}

impl Mode {
    fn gate(self, direction: Direction) -> Gate {
        match (self, direction) {
            (Self::Open, _) | (Self::AnswersLost, Direction::ToTarget) => Gate::Pass,
            (Self::Frozen, _) | (Self::AnswersLost, Direction::ToCaller) => Gate::Wait,
            (Self::Closed, _) => Gate::Close,
        }
    }
}

/// A link to one address, served by a thread of this process.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Starts a link from a free port of loopback to a target address.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(ANY_PORT)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let mode = watch::Sender::new(Mode::Open);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (stop, stopped) = oneshot::channel();
        let receiver = mode.subscribe();
        let thread = std::thread::Builder::new().name("link".to_owned());
        let thread = thread.spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    _ = stopped => {}
                    () = accept(listener, target, receiver) => {}
                }
            });
        })?;
        Ok(Self {
            address,
            mode,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the mode, also for connections that are open.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mode: watch::Receiver<Mode>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        log::error!(target: "standin", "The link cannot listen.");
        return;
    };
    loop {
        if let Ok((caller, _)) = listener.accept().await {
            tokio::spawn(connect(caller, target, mode.clone()));
        }
    }
}

async fn connect(caller: TcpStream, target: SocketAddr, mut mode: watch::Receiver<Mode>) {
    if wait_until_passable(&mut mode, Direction::ToTarget).await == Gate::Close {
        return;
    }
    let Ok(connected) = TcpStream::connect(target).await else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = connected.set_nodelay(true);
    let (from_caller, to_caller) = caller.into_split();
    let (from_target, to_target) = connected.into_split();
    let requests = copy(from_caller, to_target, mode.clone(), Direction::ToTarget);
    let responses = copy(from_target, to_caller, mode.clone(), Direction::ToCaller);
    tokio::select! {
        ((), ()) = async { tokio::join!(requests, responses) } => {}
        _ = mode.wait_for(|it| *it == Mode::Closed) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    direction: Direction,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count) = from.read(&mut buffer).await else {
            return;
        };
        // The end of a stream is held back as well: the peer does not see it across a broken link.
        if wait_until_passable(&mut mode, direction).await == Gate::Close {
            return;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

/// Waits until the mode lets bytes pass or closes connections.
async fn wait_until_passable(mode: &mut watch::Receiver<Mode>, direction: Direction) -> Gate {
    let reached = mode.wait_for(|it| it.gate(direction) != Gate::Wait).await;
    reached.map_or(Gate::Close, |it| it.gate(direction))
}
