//! Stands for a network path over TCP that can be cut: in front of the platform or of an upstream.

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

/// Bytes that are passed on at a time.
const CHUNK_BYTES: usize = 16 << 10;

/// What a path does with bytes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// It passes them on.
    #[default]
    Open,
    /// It keeps them back both ways, as when packets are lost. Connections stay open.
    Frozen,
    /// It passes on what callers send and keeps the answers back.
    AnswersLost,
    /// It closes connections.
    Closed,
}

#[derive(Clone, Copy, Debug)]
enum Direction {
    There,
    Back,
}

/// Whether bytes may pass.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Gate {
    Pass,
    Wait,
    Close,
}

impl Mode {
    fn gate(self, direction: Direction) -> Gate {
        match (self, direction) {
            (Self::Open, _) | (Self::AnswersLost, Direction::There) => Gate::Pass,
            (Self::Frozen, _) | (Self::AnswersLost, Direction::Back) => Gate::Wait,
            (Self::Closed, _) => Gate::Close,
        }
    }
}

/// A path to one address, on a thread of its own.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    path: watch::Sender<Mode>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Opens a path from a free port to an address.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(ANY_PORT)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let path = watch::Sender::new(Mode::Open);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (stop, stopped) = oneshot::channel();
        let opened = path.subscribe();
        let thread = std::thread::Builder::new().name("link".to_owned());
        let thread = thread.spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    _ = stopped => {}
                    () = accept(listener, target, opened) => {}
                }
            });
        })?;
        Ok(Self {
            address,
            path,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Where the path begins.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what the path does, also with connections that are open.
    pub fn set(&self, path: Mode) {
        self.path.send_replace(path);
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

async fn accept(listener: TcpListener, target: SocketAddr, path: watch::Receiver<Mode>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        log::error!(target: "standin", "A link can't listen.");
        return;
    };
    loop {
        if let Ok((caller, _)) = listener.accept().await {
            tokio::spawn(connect(caller, target, path.clone()));
        }
    }
}

async fn connect(caller: TcpStream, target: SocketAddr, mut path: watch::Receiver<Mode>) {
    if pass(&mut path, Direction::There).await == Gate::Close {
        return;
    }
    let Ok(opened) = TcpStream::connect(target).await else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = opened.set_nodelay(true);
    let (from_caller, to_caller) = caller.into_split();
    let (from_target, to_target) = opened.into_split();
    let there = copy(from_caller, to_target, path.clone(), Direction::There);
    let back = copy(from_target, to_caller, path.clone(), Direction::Back);
    tokio::select! {
        ((), ()) = async { tokio::join!(there, back) } => {}
        _ = path.wait_for(|it| *it == Mode::Closed) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut path: watch::Receiver<Mode>,
    direction: Direction,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let Ok(count) = from.read(&mut chunk).await else {
            return;
        };
        // Also the end of a side is kept back, since nobody behind a cut learns of it.
        if pass(&mut path, direction).await == Gate::Close {
            return;
        }
        if count == 0 || to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}

/// Waits until bytes may pass or the connection is to be closed.
async fn pass(path: &mut watch::Receiver<Mode>, direction: Direction) -> Gate {
    let changed = path.wait_for(|it| it.gate(direction) != Gate::Wait).await;
    changed.map_or(Gate::Close, |it| it.gate(direction))
}
