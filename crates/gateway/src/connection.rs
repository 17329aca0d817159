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
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which bytes that a peer hasn't confirmed end a connection: a peer that is cut off
/// answers nothing.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Idle time after which a connection is probed, and the time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer that end a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Longest time that a kept connection is used again, unless the upstream says less. Upstreams close
/// idle connections at times of their own.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);

/// Part of the time named by the upstream that is used, so that its close isn't met.
const KEEP_ALIVE_FRACTION: f64 = 0.6;

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

struct Pooled {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    expires: Instant,
    idle_since: Instant,
}

/// Connections of this host to all upstreams.
#[derive(Clone, Default)]
pub struct Pool(Rc<RefCell<HashMap<SocketAddr, Vec<Pooled>>>>);

/// A connection in use; dropping it closes the connection.
pub struct Connection {
    pool: Pool,
    addr: SocketAddr,
    pooled: Option<Pooled>,
    /// Whether it served a request before.
    pub reused: bool,
}

impl Pool {
    /// A connection to an upstream: one that was idle for less than `max_idle`, or a new one.
    pub async fn acquire(
        &self,
        addr: SocketAddr,
        max_idle: Duration,
    ) -> Result<Connection, Failure> {
        if let Some(pooled) = self.take_idle(addr, max_idle) {
            return Ok(self.wrap(addr, pooled, true));
        }
        let pooled = connect(addr).await?;
        Ok(self.wrap(addr, pooled, false))
    }

    fn wrap(&self, addr: SocketAddr, pooled: Pooled, reused: bool) -> Connection {
        Connection {
            pool: self.clone(),
            addr,
            pooled: Some(pooled),
            reused,
        }
    }

    fn take_idle(&self, addr: SocketAddr, max_idle: Duration) -> Option<Pooled> {
        let mut idle = self.0.borrow_mut();
        let list = idle.get_mut(&addr)?;
        let now = Instant::now();
        list.retain(|it| it.expires > now && !it.sender.is_closed());
        let at = list
            .iter()
            .rposition(|it| it.sender.is_ready() && it.idle_since + max_idle > now)?;
        Some(list.remove(at))
    }

    /// Closes what is idle for too long.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.0.borrow_mut().retain(|_, list| {
            list.retain(|it| it.expires > now && !it.sender.is_closed());
            !list.is_empty()
        });
    }

    /// Closes all idle connections to an upstream.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.0.borrow_mut().remove(&addr);
    }
}

impl Connection {
    /// Sends a request and reads the head of the answer.
    pub async fn send(&mut self, request: Request<Bytes>) -> Result<Response<Incoming>, Failure> {
        let Some(pooled) = &mut self.pooled else {
            return Err(Failure::Unreachable("the connection is closed".into()));
        };
        let sent = pooled.sender.try_send_request(request.map(Full::new)).await;
        sent.map_err(|mut it| match it.take_message() {
            Some(_) => Failure::Unreachable(it.error().to_string()),
            None => Failure::Broken(it.error().to_string()),
        })
    }

    /// Keeps the connection for the next request, after the whole answer was read.
    pub fn release(mut self, keep_alive: Option<Duration>) {
        let Some(mut pooled) = self.pooled.take() else {
            return;
        };
        if pooled.sender.is_closed() {
            return;
        }
        pooled.idle_since = Instant::now();
        let idle_time = keep_alive.map_or(MAX_IDLE_TIME, |it| {
            it.mul_f64(KEEP_ALIVE_FRACTION).min(MAX_IDLE_TIME)
        });
        pooled.expires = pooled.idle_since + idle_time;
        let mut pool = self.pool.0.borrow_mut();
        pool.entry(self.addr).or_default().push(pooled);
    }
}

impl Drop for Pooled {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn connect(addr: SocketAddr) -> Result<Pooled, Failure> {
    let unreachable = |it: &dyn std::fmt::Display| Failure::Unreachable(it.to_string());
    let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .map_err(|it| unreachable(&it))?
        .map_err(|it| unreachable(&it))?;
    set_socket_options(&stream).map_err(|it| unreachable(&it))?;
    let (sender, driver) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|it| unreachable(&it))?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = driver.await {
            log::debug!("connection to {addr} ended: {error}");
        }
    });
    let now = Instant::now();
    Ok(Pooled {
        sender,
        task: task.abort_handle(),
        expires: now + MAX_IDLE_TIME,
        idle_since: now,
    })
}

/// Sets what finds a dead peer early.
pub fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_PROBES),
    )
}
