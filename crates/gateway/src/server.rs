//! HTTP servers for callers, metrics and readiness checks.

mod head_timer;

use std::{cell::Cell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use hyper::{
    Request, Response, Version,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    http::StatusCode,
    server::conn::http1,
    service::{HttpService, service_fn},
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    time,
};

pub use head_timer::HeadTimeout;

use crate::{
    caller, connection, forward,
    gateway::Gateway,
    gossip::Gossip,
    reply::{self, Body},
    server::head_timer::HeadTimer,
};

/// Maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;

/// Delay after a failed accept, for example because no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum time for the head of a request for the metrics or the readiness, and maximum idle time of its connection.
const ENDPOINT_HEADER_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum size of the head of a request for the metrics or the readiness, in bytes.
const ENDPOINT_HEADER_BYTES: usize = 16 << 10;

/// Opens a listening socket.
pub fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Serves callers until the process ends. Once `closing` is true, each connection is closed after
/// its current request.
pub async fn serve_callers(
    listener: TcpListener,
    gateway: Rc<Gateway>,
    gossip: Rc<Gossip>,
    closing: watch::Receiver<bool>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((it, _)) => it,
            Err(error) => {
                log::warn!(event = "no-connection"; "cannot accept a connection: {error}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let served = serve_connection(stream, gateway.clone(), gossip.clone(), closing.clone());
        tokio::task::spawn_local(served);
    }
}

/// Guard that counts a connection with requests until its last response is written.
pub(crate) struct OpenConnection(Rc<Gateway>);

impl OpenConnection {
    /// Counts a connection.
    pub(crate) fn new(gateway: Rc<Gateway>) -> Self {
        gateway
            .open_connections
            .set(gateway.open_connections.get() + 1);
        Self(gateway)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0
            .open_connections
            .set(self.0.open_connections.get() - 1);
    }
}

/// Serves one connection of a caller.
async fn serve_connection(
    stream: TcpStream,
    gateway: Rc<Gateway>,
    gossip: Rc<Gossip>,
    mut closing: watch::Receiver<bool>,
) {
    let _open = OpenConnection::new(gateway.clone());
    if let Err(error) = connection::set_socket_options(&stream) {
        log::debug!("cannot set options of a caller's connection: {error}");
        return;
    }
    let limits = gateway.catalog().map(|it| it.limits).unwrap_or_default();
    let has_chunks = Cell::new(true);
    let stream = caller::Connection::new(stream);
    let caller = stream.caller();
    let service = service_fn(|request: Request<Incoming>| {
        let caller = caller.clone();
        has_chunks.set(request.version() == Version::HTTP_11);
        let gateway = gateway.clone();
        let gossip = gossip.clone();
        async move {
            let stopping = gateway.clone();
            let mut response = forward::handle(gateway, gossip, request, caller).await;
            if stopping.stopping.get() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    // The header timeout starts at the end of the previous request, so it covers the idle time as well.
    let mut connection = http1::Builder::new()
        .timer(HeadTimer(gateway.head_timeout.clone()))
        .header_read_timeout(gateway.head_timeout.get())
        .max_buf_size(limits.header_bytes.max(8 << 10) * 2)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = drive(&mut connection, &mut closing).await {
        log::debug!("a caller's connection failed: {error}");
        // Of the other errors, some come after a whole response, which a reset could discard.
        let is_truncated = error.is_user();
        if is_truncated && !has_chunks.get() {
            // A response that ends with its connection must not look complete.
            let stream = connection.into_parts().io.into_inner();
            if let Err(error) = stream.reset_on_close() {
                log::debug!("a caller's connection can't be reset: {error}");
            }
        }
    }
}

/// Serves a connection until it ends, and lets it end after its current request once this host is closing.
pub(crate) async fn drive<S>(
    connection: &mut http1::Connection<TokioIo<caller::Connection>, S>,
    closing: &mut watch::Receiver<bool>,
) -> hyper::Result<()>
where
    S: HttpService<Incoming, ResBody = Body, Error = Infallible>,
{
    tokio::select! {
        it = &mut *connection => it,
        _ = closing.wait_for(|it| *it) => {
            std::pin::Pin::new(&mut *connection).graceful_shutdown();
            connection.await
        }
    }
}

/// Serves the metrics until the process ends.
pub async fn serve_metrics(listener: TcpListener, gateway: Rc<Gateway>) {
    serve_endpoint(listener, gateway, |gateway| {
        gateway.record_state();
        Response::new(reply::full_body(gateway.metrics.to_text().into()))
    })
    .await;
}

/// Serves readiness checks of the balancer until the process ends.
pub async fn serve_readiness(listener: TcpListener, gateway: Rc<Gateway>) {
    serve_endpoint(listener, gateway, |gateway| {
        let mut response = Response::new(reply::full_body("".into()));
        if !gateway.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    })
    .await;
}

/// Answers every request on a port with a response made from the current state.
async fn serve_endpoint(
    listener: TcpListener,
    gateway: Rc<Gateway>,
    respond: fn(&Gateway) -> Response<Body>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let gateway = gateway.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|_: Request<Incoming>| {
                let response = respond(&gateway);
                async { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(ENDPOINT_HEADER_TIMEOUT)
                .max_buf_size(ENDPOINT_HEADER_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("a connection for metrics or readiness failed: {error}");
            }
        });
    }
}
