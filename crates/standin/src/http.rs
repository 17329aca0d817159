//! HTTP server that all stand-ins use. It can truncate responses to simulate connection failures.

use std::{
    borrow::Cow,
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::JoinHandle,
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header, service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::{mpsc, oneshot};

pub mod body;

use body::{Disconnected, Outgoing};

/// Loopback address that lets the operating system choose a free port.
pub const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Delay before a connection is closed early, so that chunks sent before reach the socket.
const FLUSH_DELAY: Duration = Duration::from_millis(5);

/// Number of repetitions in each chunk of a response that never ends.
const ENDLESS_REPEATS: usize = 1000;

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path, percent-decoded.
    pub path: String,
    /// The decoded query parameters. The last value of a repeated name wins.
    pub query: BTreeMap<String, String>,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Call {
    /// Returns the value of a header if it is valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns a query parameter as a number.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }

    /// Returns a query parameter, or an empty string if it is absent.
    pub fn query_text(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }

    /// Parses the body as JSON. The error is the response to send.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body)
            .map_err(|it| Reply::error(StatusCode::BAD_REQUEST, "bad-request", &it.to_string()))
    }
}

/// Response to a call.
#[derive(Debug)]
pub enum Reply {
    /// Sends this response.
    Answer(Box<Response<Outgoing>>),
    /// Closes the connection without a response.
    Close,
}

impl Reply {
    /// Creates a response with a body.
    pub fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        let mut response = Response::new(Outgoing::whole(body.into()));
        *response.status_mut() = status;
        Self::Answer(Box::new(response))
    }

    /// Creates a response without a body.
    pub fn empty(status: StatusCode) -> Self {
        Self::new(status, Bytes::new())
    }

    /// Creates a response with a JSON body.
    pub fn json(status: StatusCode, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("the stand-in's types can be written as JSON");
        Self::new(status, body).with("content-type", "application/json")
    }

    /// Creates an error response in the format of the engines.
    pub fn error(status: StatusCode, code: &str, message: &str) -> Self {
        let body = serde_json::json!({"error": {"code": code, "message": message}});
        Self::json(status, &body)
    }

    /// Creates a response whose body is sent in chunks.
    pub fn stream(chunks: mpsc::Receiver<Result<Bytes, Disconnected>>) -> Self {
        Self::Answer(Box::new(Response::new(Outgoing::Chunks(chunks))))
    }

    /// Creates a response that sends the given start of its body and then closes the connection.
    pub fn truncated(status: StatusCode, start: Bytes) -> Self {
        let (sender, chunks) = mpsc::channel(1);
        tokio::spawn(async move {
            let _ = sender.send(Ok(start)).await;
            abort_body(&sender).await;
        });
        let mut response = Response::new(Outgoing::Chunks(chunks));
        *response.status_mut() = status;
        Self::Answer(Box::new(response))
    }

    /// Creates a response that repeats a part of its body until the peer closes the connection.
    pub fn endless(status: StatusCode, part: &[u8]) -> Self {
        let part = Bytes::from(part.repeat(ENDLESS_REPEATS));
        let (sender, chunks) = mpsc::channel(1);
        tokio::spawn(async move { while sender.send(Ok(part.clone())).await.is_ok() {} });
        let mut response = Response::new(Outgoing::Chunks(chunks));
        *response.status_mut() = status;
        Self::Answer(Box::new(response))
    }

    /// Sets a header.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: &str) -> Self {
        if let Self::Answer(response) = &mut self {
            let value = value.parse().expect("the value can stand in a header");
            response.headers_mut().insert(name, value);
        }
        self
    }
}

/// Aborts a response body after a delay in which the earlier chunks are sent.
pub async fn abort_body(sender: &mpsc::Sender<Result<Bytes, Disconnected>>) {
    tokio::time::sleep(FLUSH_DELAY).await;
    let _ = sender.send(Err(Disconnected)).await;
}

/// Handles the calls that a [`Server`] receives.
pub trait Handler: Send + Sync + 'static {
    /// Handles a call.
    fn answer(self: Arc<Self>, call: Call) -> impl Future<Output = Reply> + Send;
}

/// HTTP server that runs on its own thread until this is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Starts a server that listens on an address and passes calls to a handler.
    pub fn start<H: Handler>(address: SocketAddr, handler: Arc<H>) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::Builder::new()
            .name("standin".to_owned())
            .spawn(move || runtime.block_on(serve(listener, handler, stopped)))?;
        Ok(Self {
            address,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
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

async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    mut stopped: oneshot::Receiver<()>,
) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(target: "standin", "Cannot listen: {error}.");
            return;
        }
    };
    loop {
        let accepted = tokio::select! {
            _ = &mut stopped => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve_connection(stream, handler.clone()));
    }
}

async fn serve_connection<H: Handler>(stream: tokio::net::TcpStream, handler: Arc<H>) {
    let service = service_fn(|request| handle_request(handler.clone(), request));
    let served = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!(target: "standin", "Serving a connection failed: {error}.");
    }
}

async fn handle_request<H: Handler>(
    handler: Arc<H>,
    request: Request<Incoming>,
) -> Result<Response<Outgoing>, Disconnected> {
    let call = read_call(request).await?;
    match handler.answer(call).await {
        Reply::Answer(response) => Ok(*response),
        Reply::Close => Err(Disconnected),
    }
}

async fn read_call(request: Request<Incoming>) -> Result<Call, Disconnected> {
    let (head, body) = request.into_parts();
    let body = body::collect(body).await?;
    let path = percent_encoding::percent_decode_str(head.uri.path()).decode_utf8_lossy();
    let query = head.uri.query().unwrap_or_default();
    Ok(Call {
        method: head.method,
        path: path.into_owned(),
        query: form_urlencoded::parse(query.as_bytes())
            .map(|(name, value)| (Cow::into_owned(name), Cow::into_owned(value)))
            .collect(),
        headers: head.headers,
        body,
    })
}

/// Formats a version as an `ETag`.
pub fn etag(version: u64) -> String {
    format!("\"{version}\"")
}

/// Returns the value of the `If-Match` header.
pub fn if_match(call: &Call) -> Option<&str> {
    call.header(header::IF_MATCH.as_str())
}
