//! The small HTTP server under every stand-in. It can break an answer off at a chosen place.

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

use body::{Broken, Outgoing};

/// The address that lets the system choose a free port on loopback.
pub const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Time for chunks that were sent before a break to leave the process.
const FLUSH: Duration = Duration::from_millis(5);

/// One request, read to its end.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path, percent-decoded.
    pub path: String,
    /// The query, decoded; of a repeated name the last value.
    pub query: BTreeMap<String, String>,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Call {
    /// A header's value if it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// A number of the query.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }

    /// A text of the query; empty if it is absent.
    pub fn text(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }

    /// The body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body)
            .map_err(|it| Reply::error(StatusCode::BAD_REQUEST, "bad-request", &it.to_string()))
    }
}

/// What to do with the connection of a call.
#[derive(Debug)]
pub enum Reply {
    /// Send this answer.
    Answer(Box<Response<Outgoing>>),
    /// Close the connection without an answer.
    Break,
}

impl Reply {
    /// An answer with a body.
    pub fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        let mut response = Response::new(Outgoing::whole(body.into()));
        *response.status_mut() = status;
        Self::Answer(Box::new(response))
    }

    /// An answer without a body.
    pub fn empty(status: StatusCode) -> Self {
        Self::new(status, Bytes::new())
    }

    /// An answer with a JSON body.
    pub fn json(status: StatusCode, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("the stand-in's types can be written as JSON");
        Self::new(status, body).with("content-type", "application/json")
    }

    /// An error in the engines' form.
    pub fn error(status: StatusCode, code: &str, message: &str) -> Self {
        let body = serde_json::json!({"error": {"code": code, "message": message}});
        Self::json(status, &body)
    }

    /// An answer whose body comes in pieces.
    pub fn stream(pieces: mpsc::Receiver<Result<Bytes, Broken>>) -> Self {
        Self::Answer(Box::new(Response::new(Outgoing::Pieces(pieces))))
    }

    /// An answer that breaks off after the first bytes of its body.
    pub fn cut(status: StatusCode, start: Bytes) -> Self {
        let (sender, pieces) = mpsc::channel(1);
        tokio::spawn(async move {
            let _ = sender.send(Ok(start)).await;
            break_off(&sender).await;
        });
        let mut response = Response::new(Outgoing::Pieces(pieces));
        *response.status_mut() = status;
        Self::Answer(Box::new(response))
    }

    /// The same answer with a header.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: &str) -> Self {
        if let Self::Answer(response) = &mut self {
            let value = value.parse().expect("the value can stand in a header");
            response.headers_mut().insert(name, value);
        }
        self
    }
}

/// Breaks a body off once the pieces before have left.
pub async fn break_off(sender: &mpsc::Sender<Result<Bytes, Broken>>) {
    tokio::time::sleep(FLUSH).await;
    let _ = sender.send(Err(Broken)).await;
}

/// What answers calls.
pub trait Handler: Send + Sync + 'static {
    /// Answers one call.
    fn answer(self: Arc<Self>, call: Call) -> impl Future<Output = Reply> + Send;
}

/// A server on a thread of its own, which ends when the server is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Listens on an address and answers with a handler.
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

    /// Where it listens.
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
        tokio::spawn(connection(stream, handler.clone()));
    }
}

async fn connection<H: Handler>(stream: tokio::net::TcpStream, handler: Arc<H>) {
    let service = service_fn(|request| exchange(handler.clone(), request));
    let served = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!(target: "standin", "A connection ended: {error}.");
    }
}

async fn exchange<H: Handler>(
    handler: Arc<H>,
    request: Request<Incoming>,
) -> Result<Response<Outgoing>, Broken> {
    let call = read(request).await?;
    match handler.answer(call).await {
        Reply::Answer(response) => Ok(*response),
        Reply::Break => Err(Broken),
    }
}

async fn read(request: Request<Incoming>) -> Result<Call, Broken> {
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

/// The `ETag` of a version.
pub fn tag(version: u64) -> String {
    format!("\"{version}\"")
}

/// The version in an `If-Match` header.
pub fn matched(call: &Call) -> Option<&str> {
    call.header(header::IF_MATCH.as_str())
}
