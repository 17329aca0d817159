//! Pooled HTTP connections to upstreams. A connection serves one request at a time. It is closed
//! when the waiter for its response is dropped.

mod metered;

use std::{
    cell::RefCell,
    collections::{BTreeSet, HashMap},
    net::{IpAddr, SocketAddr},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response, Version,
    body::{Body as _, Frame, Incoming, SizeHint},
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpSocket, TcpStream},
    task::AbortHandle,
    time,
};

use fleet::Time;

use self::metered::{Allowance, Metered};
use crate::{
    clock,
    memory::{self, Budget},
};

/// Timeout for a new connection. Connecting to another failure domain takes a few ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which unacknowledged data closes a connection. A peer behind a broken link
/// acknowledges nothing. The kernel also counts the time in which the peer's receive buffer is full,
/// so this must exceed the time for which a sound peer may read nothing.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Idle time before the first TCP keepalive probe, and the time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes that close a connection. On Linux, [`TCP_USER_TIMEOUT`] takes the place
/// of this number.
const KEEPALIVE_PROBES: u32 = 2;

/// Maximum idle time of a pooled connection, unless the upstream names a shorter one. Upstreams
/// close idle connections at their own timeouts.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);

/// Time after bytes out of step in which each connection to the upstream serves one request only.
const SINGLE_USE_TIME: Duration = Duration::from_secs(5);

/// Fraction of the upstream's keep-alive timeout that is used, so that no request is sent while the
/// upstream closes the connection.
const KEEP_ALIVE_FRACTION: f64 = 0.6;

/// Status codes of a complete response (RFC 9110, section 15). A change of protocol is never asked for.
const FINAL_STATUSES: std::ops::Range<u16> = 200..600;

/// Maximum size of the head of a response, in bytes. A connection reads at most as much at once.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum number of bytes that an upstream may send before the head of a response is complete, or from one part of its
/// body to the next: informational responses, and the framing of chunks. The connection reads ahead of the reader of the
/// body by less than the difference to [`MAX_HEAD_BYTES`].
const MAX_OVERHEAD_BYTES: usize = 4 * MAX_HEAD_BYTES;

/// Maximum size of the body of a response that is read as a whole, in bytes. A page of the store has about 1 MB.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// Reason why there is no response, or no complete one.
#[derive(Debug, Display, Error)]
pub enum Failure {
    /// The upstream could not be reached, and nothing was sent.
    #[display("cannot connect: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// The connection failed after the request may have been sent.
    #[display("connection failed: {_0}")]
    Broken(#[error(not(source))] String),
    /// The upstream sent bytes that are no response.
    #[display("malformed response: {_0}")]
    Malformed(#[error(not(source))] String),
    /// The upstream sent more bytes than are allowed.
    #[display("{_0} too large")]
    TooLarge(#[error(not(source))] Part),
    /// The memory for the bodies of responses is spent.
    #[display("no memory for the response")]
    NoMemory,
}

/// Part of a response.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Part {
    /// Status line and headers, and what precedes them.
    #[display("head")]
    Head,
    /// The body with its framing.
    #[display("response")]
    Body,
    /// An event of a stream.
    #[display("event")]
    Event,
}

impl Part {
    /// Outcome of an attempt in which this part was too large, in logs.
    pub fn outcome(self) -> &'static str {
        match self {
            Self::Head => "head too large",
            Self::Body => "response too large",
            Self::Event => "event too large",
        }
    }
}

/// Open connection that can be pooled.
struct Pooled {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    allowance: Allowance,
    opened_at: Time,
    expires: Instant,
    idle_since: Instant,
    /// Time for which the upstream has promised to keep the connection open.
    promised: Option<Duration>,
}

impl Pooled {
    /// Returns whether the upstream has closed the idle connection sooner than promised.
    fn has_ended_early(&self, now: Instant) -> bool {
        self.promised.is_some() && self.expires > now && self.sender.is_closed()
    }
}

/// Which connection may carry a request.
#[derive(Clone, Copy, Debug)]
pub enum Reuse {
    /// A pooled connection that was idle for less than this time, or a new one.
    IdleLess(Duration),
    /// A new connection only.
    Never,
}

/// State of the connections to all upstreams.
#[derive(Default)]
struct Connections {
    idle: HashMap<SocketAddr, Vec<Pooled>>,
    /// Ends of the times in which connections to an upstream are not reused.
    single_use_until: HashMap<SocketAddr, Instant>,
    /// Upstreams that have reset a connection, or closed an idle one sooner than promised.
    ended: BTreeSet<SocketAddr>,
}

impl Connections {
    /// Drops the idle connections to an upstream that can't be used any more.
    fn retain_usable(&mut self, addr: SocketAddr, now: Instant) {
        let Some(list) = self.idle.get_mut(&addr) else {
            return;
        };
        if list.iter().any(|it| it.has_ended_early(now)) {
            self.ended.insert(addr);
        }
        list.retain(|it| it.expires > now && !it.sender.is_closed());
    }
}

/// Connection pool for all upstreams.
#[derive(Clone)]
pub struct Pool {
    connections: Rc<RefCell<Connections>>,
    /// Memory for bodies of responses that are read as a whole.
    budget: Budget,
    /// Local address of new connections; `None` for any.
    local: Option<IpAddr>,
}

/// Where a connection comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// It was opened for this request.
    New,
    /// It comes from the pool, so it has served earlier requests.
    Pooled,
}

impl Origin {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::New => "new",
            Self::Pooled => "kept",
        }
    }
}

/// Body of an upstream's response. Reading it renews what the upstream may send.
pub struct Body {
    incoming: Incoming,
    allowance: Allowance,
    budget: Budget,
}

/// Connection in use. Dropping it closes the connection.
pub struct Connection {
    pool: Pool,
    addr: SocketAddr,
    pooled: Option<Pooled>,
    /// Where the connection comes from.
    pub origin: Origin,
}

impl Pool {
    /// Creates a pool whose responses share a budget.
    pub fn new(budget: Budget) -> Self {
        Self {
            connections: Rc::default(),
            budget,
            local: None,
        }
    }

    /// Makes new connections have this local address.
    #[must_use]
    pub fn bound_to(self, local: IpAddr) -> Self {
        Self {
            local: Some(local),
            ..self
        }
    }

    /// Returns a pooled connection if `reuse` allows it and there is one, or a new one.
    pub async fn acquire(&self, addr: SocketAddr, reuse: Reuse) -> Result<Connection, Failure> {
        if let Reuse::IdleLess(max_idle) = reuse
            && let Some(pooled) = self.take_idle(addr, max_idle)
        {
            return Ok(self.wrap(addr, pooled, Origin::Pooled));
        }
        let pooled = connect(addr, self.local, &self.connections).await?;
        Ok(self.wrap(addr, pooled, Origin::New))
    }

    fn wrap(&self, addr: SocketAddr, pooled: Pooled, origin: Origin) -> Connection {
        Connection {
            pool: self.clone(),
            addr,
            pooled: Some(pooled),
            origin,
        }
    }

    /// Takes the most recently used connection that was idle for less than `max_idle`.
    fn take_idle(&self, addr: SocketAddr, max_idle: Duration) -> Option<Pooled> {
        let mut connections = self.connections.borrow_mut();
        let now = Instant::now();
        connections.retain_usable(addr, now);
        let list = connections.idle.get_mut(&addr)?;
        let at = list
            .iter()
            .rposition(|it| it.sender.is_ready() && it.idle_since + max_idle > now)?;
        Some(list.remove(at))
    }

    /// Closes pooled connections whose idle time has expired.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut connections = self.connections.borrow_mut();
        let addrs: Vec<SocketAddr> = connections.idle.keys().copied().collect();
        for addr in addrs {
            connections.retain_usable(addr, now);
        }
        connections.idle.retain(|_, list| !list.is_empty());
        connections.single_use_until.retain(|_, it| *it > now);
    }

    /// Takes the upstreams that have reset a connection, or closed an idle one sooner than promised.
    pub fn take_ended(&self) -> BTreeSet<SocketAddr> {
        std::mem::take(&mut self.connections.borrow_mut().ended)
    }

    /// Returns when the oldest idle connection to an upstream was opened, if that was at `latest` or before.
    pub fn oldest_idle(&self, addr: SocketAddr, latest: Time) -> Option<Time> {
        let connections = self.connections.borrow();
        let open = connections.idle.get(&addr)?.iter();
        let opened = open
            .filter(|it| !it.sender.is_closed())
            .map(|it| it.opened_at);
        opened.min().filter(|it| *it <= latest)
    }

    /// Closes all idle connections to an upstream.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.connections.borrow_mut().idle.remove(&addr);
    }

    /// Stops the reuse of connections to an upstream for some time, because it sent bytes that do not belong to
    /// the last request of their connection. They take the place of the next response.
    pub fn suspend_reuse(&self, addr: SocketAddr) {
        let mut connections = self.connections.borrow_mut();
        connections.idle.remove(&addr);
        let until = Instant::now() + SINGLE_USE_TIME;
        connections.single_use_until.insert(addr, until);
    }
}

impl Connection {
    /// Sends a request. The returned future reads the headers of the response, which has a final status.
    pub fn send(
        &mut self,
        request: Request<Bytes>,
    ) -> impl Future<Output = Result<Response<Body>, Failure>> + use<> {
        let sent = self.pooled.as_mut().map(|it| {
            it.allowance.renew();
            let response = it.sender.try_send_request(request.map(Full::new));
            (response, it.allowance.clone())
        });
        let budget = self.pool.budget.clone();
        async move {
            let Some((response, allowance)) = sent else {
                return Err(Failure::Unreachable("the connection is closed".into()));
            };
            let response = response.await.map_err(|mut it| match it.take_message() {
                Some(_) => Failure::Unreachable(it.error().to_string()),
                None if it.error().is_parse_too_large() || allowance.is_exceeded() => {
                    Failure::TooLarge(Part::Head)
                }
                None if it.error().is_parse() => Failure::Malformed(it.error().to_string()),
                None => Failure::Broken(it.error().to_string()),
            })?;
            allowance.renew();
            let status = response.status();
            if !FINAL_STATUSES.contains(&status.as_u16()) {
                return Err(Failure::Malformed(format!("{status} is no final status")));
            }
            let mut response = response.map(|incoming| Body {
                incoming,
                allowance,
                budget,
            });
            // The version belongs to this connection. On one to a caller, it would end a stream without a mark.
            *response.version_mut() = Version::HTTP_11;
            Ok(response)
        }
    }

    /// When the connection was opened; `None` once it is closed.
    pub fn opened_at(&self) -> Option<Time> {
        self.pooled.as_ref().map(|it| it.opened_at)
    }

    /// Returns whether the upstream has not closed the connection.
    pub fn is_open(&self) -> bool {
        (self.pooled.as_ref()).is_some_and(|it| !it.sender.is_closed())
    }

    /// Returns the connection to the pool, after the whole response was read. `keep_alive` is the
    /// upstream's keep-alive timeout.
    pub fn release(mut self, keep_alive: Option<Duration>) {
        let Some(mut pooled) = self.pooled.take() else {
            return;
        };
        if pooled.sender.is_closed() {
            return;
        }
        pooled.idle_since = Instant::now();
        pooled.promised = keep_alive;
        let idle_time = keep_alive.map_or(MAX_IDLE_TIME, |it| {
            it.mul_f64(KEEP_ALIVE_FRACTION).min(MAX_IDLE_TIME)
        });
        pooled.expires = pooled.idle_since + idle_time;
        let mut connections = self.pool.connections.borrow_mut();
        let single_use_until = connections.single_use_until.get(&self.addr);
        if single_use_until.is_none_or(|it| *it <= pooled.idle_since) {
            connections.idle.entry(self.addr).or_default().push(pooled);
        }
    }
}

impl Body {
    /// Reads the whole body, of [`MAX_BODY_BYTES`] at most. The bytes of small frames are copied, so that the memory in
    /// use does not depend on the number of frames.
    pub async fn collect(mut self) -> Result<Bytes, Failure> {
        let budget = self.budget.clone();
        if self.size_hint().lower() > MAX_BODY_BYTES as u64 {
            budget.record_too_large();
            return Err(Failure::TooLarge(Part::Body));
        }
        let collected = budget.collect(&mut self, MAX_BODY_BYTES).await;
        collected.map_err(|it| match it {
            memory::Failure::TooLarge => Failure::TooLarge(Part::Body),
            memory::Failure::NoMemory => Failure::NoMemory,
            memory::Failure::Broken(it) => it,
        })
    }

    /// Reads the body to its end without keeping it, if it has at most `max_bytes`.
    pub async fn discard(mut self, max_bytes: usize) -> Result<(), Failure> {
        if self.size_hint().lower() > max_bytes as u64 {
            return Err(Failure::TooLarge(Part::Body));
        }
        let mut count = 0;
        while let Some(frame) = self.frame().await {
            count += frame?.into_data().map_or(0, |it| it.len());
            if count > max_bytes {
                return Err(Failure::TooLarge(Part::Body));
            }
        }
        Ok(())
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Failure;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        let frame = std::task::ready!(Pin::new(&mut self.incoming).poll_frame(context));
        Poll::Ready(frame.map(|it| {
            let frame = it.map_err(|error| {
                if self.allowance.is_exceeded() {
                    Failure::TooLarge(Part::Body)
                } else {
                    Failure::Broken(error.to_string())
                }
            })?;
            self.allowance.renew();
            Ok(frame)
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl Drop for Pooled {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens a connection to an upstream.
async fn connect(
    addr: SocketAddr,
    local: Option<IpAddr>,
    connections: &Rc<RefCell<Connections>>,
) -> Result<Pooled, Failure> {
    let unreachable = |it: &dyn std::fmt::Display| Failure::Unreachable(it.to_string());
    let stream = time::timeout(CONNECT_TIMEOUT, open(addr, local))
        .await
        .map_err(|it| unreachable(&it))?
        .map_err(|it| unreachable(&it))?;
    set_socket_options(&stream).map_err(|it| unreachable(&it))?;
    let allowance = Allowance::new(MAX_OVERHEAD_BYTES);
    let metered = Metered::new(stream, allowance.clone());
    let (sender, driver) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(metered))
        .await
        .map_err(|it| unreachable(&it))?;
    let connections = Rc::downgrade(connections);
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = driver.await {
            log::debug!("connection to {addr} ended: {error}");
            if !error.is_parse()
                && let Some(connections) = connections.upgrade()
            {
                connections.borrow_mut().ended.insert(addr);
            }
        }
    });
    let now = Instant::now();
    Ok(Pooled {
        sender,
        task: task.abort_handle(),
        allowance,
        opened_at: clock::now(),
        expires: now + MAX_IDLE_TIME,
        idle_since: now,
        promised: None,
    })
}

async fn open(addr: SocketAddr, local: Option<IpAddr>) -> std::io::Result<TcpStream> {
    let Some(local) = local.filter(|it| it.is_ipv4() && addr.is_ipv4()) else {
        return TcpStream::connect(addr).await;
    };
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(local, 0))?;
    socket.connect(addr).await
}

/// Sets socket options that detect a dead peer early.
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
