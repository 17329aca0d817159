//! Connections to upstreams, kept for the next request. A connection serves one request at a time and
//! is closed as soon as whoever waits for its answer goes away.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::AbortHandle, time};

/// Time for a new connection; between failure domains it takes a few ms.
const CONNECT: Duration = Duration::from_millis(400);

/// Time after which bytes that a peer hasn't confirmed end a connection: a peer that is cut off
/// answers nothing.
const UNCONFIRMED: Duration = Duration::from_millis(1500);

/// Idle time after which a connection is probed, and the time between probes.
const PROBE: Duration = Duration::from_secs(1);

/// Probes without an answer that end a connection.
const PROBES: u32 = 2;

/// Longest time that a kept connection is used again, unless the upstream says less. Upstreams close
/// idle connections at times of their own.
const KEPT: Duration = Duration::from_secs(4);

/// Part of the time named by the upstream that is used, so that its close isn't met.
const KEPT_PART: f64 = 0.6;

/// Why there is no answer.
#[derive(Debug, Display, Error)]
pub enum Failure {
    /// The upstream could not be reached; nothing was sent.
    #[display("no connection: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// The connection broke after the request may have been sent.
    #[display("the connection broke: {_0}")]
    Broken(#[error(not(source))] String),
}

struct Kept {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    until: Instant,
    since: Instant,
}

/// Connections of this host to all upstreams.
#[derive(Clone, Default)]
pub struct Pool(Rc<RefCell<HashMap<SocketAddr, Vec<Kept>>>>);

/// A connection in use; dropping it closes the connection.
pub struct Channel {
    pool: Pool,
    addr: SocketAddr,
    kept: Option<Kept>,
    /// Whether it served a request before.
    pub used: bool,
}

impl Pool {
    /// A connection to an upstream: one that was idle for less than `idle`, or a new one.
    pub async fn channel(&self, addr: SocketAddr, idle: Duration) -> Result<Channel, Failure> {
        if let Some(kept) = self.take(addr, idle) {
            return Ok(self.wrap(addr, kept, true));
        }
        let kept = connect(addr).await?;
        Ok(self.wrap(addr, kept, false))
    }

    fn wrap(&self, addr: SocketAddr, kept: Kept, used: bool) -> Channel {
        Channel {
            pool: self.clone(),
            addr,
            kept: Some(kept),
            used,
        }
    }

    fn take(&self, addr: SocketAddr, idle: Duration) -> Option<Kept> {
        let mut pool = self.0.borrow_mut();
        let list = pool.get_mut(&addr)?;
        let now = Instant::now();
        list.retain(|it| it.until > now && !it.sender.is_closed());
        let at = list
            .iter()
            .rposition(|it| it.sender.is_ready() && it.since + idle > now)?;
        Some(list.remove(at))
    }

    /// Closes what is idle for too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.0.borrow_mut().retain(|_, list| {
            list.retain(|it| it.until > now && !it.sender.is_closed());
            !list.is_empty()
        });
    }

    /// Closes all idle connections to an upstream.
    pub fn forget(&self, addr: SocketAddr) {
        self.0.borrow_mut().remove(&addr);
    }
}

impl Channel {
    /// Sends a request and reads the head of the answer.
    pub async fn send(&mut self, request: Request<Bytes>) -> Result<Response<Incoming>, Failure> {
        let Some(kept) = &mut self.kept else {
            return Err(Failure::Unreachable("the connection is closed".into()));
        };
        let sent = kept.sender.try_send_request(request.map(Full::new)).await;
        sent.map_err(|mut it| match it.take_message() {
            Some(_) => Failure::Unreachable(it.error().to_string()),
            None => Failure::Broken(it.error().to_string()),
        })
    }

    /// Keeps the connection for the next request, after the whole answer was read.
    pub fn keep(mut self, named: Option<Duration>) {
        let Some(mut kept) = self.kept.take() else {
            return;
        };
        if kept.sender.is_closed() {
            return;
        }
        kept.since = Instant::now();
        let time = named.map_or(KEPT, |it| it.mul_f64(KEPT_PART).min(KEPT));
        kept.until = kept.since + time;
        let mut pool = self.pool.0.borrow_mut();
        pool.entry(self.addr).or_default().push(kept);
    }
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn connect(addr: SocketAddr) -> Result<Kept, Failure> {
    let unreachable = |it: &dyn std::fmt::Display| Failure::Unreachable(it.to_string());
    let stream = time::timeout(CONNECT, TcpStream::connect(addr))
        .await
        .map_err(|it| unreachable(&it))?
        .map_err(|it| unreachable(&it))?;
    tune(&stream).map_err(|it| unreachable(&it))?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|it| unreachable(&it))?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {addr} ended: {error}");
        }
    });
    let now = Instant::now();
    Ok(Kept {
        sender,
        task: task.abort_handle(),
        until: now + KEPT,
        since: now,
    })
}

/// Sets what finds a dead peer early.
pub fn tune(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(UNCONFIRMED))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(PROBE)
            .with_interval(PROBE)
            .with_retries(PROBES),
    )
}
