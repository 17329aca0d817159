//! The client of model engines.

mod orders;
mod stream;

use std::{
    fmt::Write as _,
    net::SocketAddr,
    time::{Duration, Instant},
};

use kernel::{
    fault::{Fault, Kind},
    reference::Loaded,
    request::Id,
};
use serde_json::{Value, json};
use ureq::{
    Body,
    http::{HeaderMap, HeaderValue, Method, Response, header::CONTENT_TYPE},
};

use crate::{
    call::{self, Call, MESSAGE_BYTES},
    cancellation::Cancellation,
};
pub use orders::{Inventory, LoadOutcome, Occupancy, UnloadOutcome};
pub use stream::{Item, Stream};

/// Longest wait for an answer to a cancellation; whoever drops a stream waits that long.
const CANCEL_TIME: Duration = Duration::from_millis(100);
/// Refusals that an engine gives before anything runs.
const NOT_RUN: [&str; 3] = ["not-loaded", LEAVING, "full"];
/// The refusal of an engine that takes nothing new.
const LEAVING: &str = "leaving";

/// A request for a chat completion.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Where the engine listens.
    pub address: SocketAddr,
    /// The name to answer under; chunks for another name are withheld.
    pub loaded: &'a Loaded,
    /// The caller's body; model, priority and streaming are set by the client.
    pub body: &'a Value,
    /// Names the request for resume and cancel; no other request to the engine may have it.
    pub id: &'a Id,
    /// Lower ones go first.
    pub priority: i32,
    /// No byte is sent from this instant on.
    pub start_by: Instant,
    /// The answer has to be whole by then.
    pub deadline: Instant,
    /// Whether anybody still waits for the answer.
    pub cancellation: Cancellation,
}

/// Calls engines, each call on a connection of its own.
#[derive(Clone, Copy, Debug, Default)]
pub struct Client;

impl Client {
    /// Starts a request. The engine is always asked to stream.
    pub fn start(&self, start: &Request<'_>) -> Result<Stream, Fault> {
        Stream::open(start)
    }

    /// Loads an adapter, and waits until it is loaded.
    pub fn load(
        &self,
        address: SocketAddr,
        loaded: &Loaded,
        fence: u64,
        timeout: Duration,
    ) -> LoadOutcome {
        orders::load(address, loaded, fence, timeout)
    }

    /// Unloads an adapter.
    pub fn unload(
        &self,
        address: SocketAddr,
        loaded: &Loaded,
        fence: u64,
        timeout: Duration,
    ) -> UnloadOutcome {
        orders::unload(address, loaded, fence, timeout)
    }

    /// Asks for the exact list of what is loaded.
    pub fn fetch_inventory(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Inventory, Fault> {
        orders::models(address, timeout)
    }

    /// Asks for the engine's lagging report of its load.
    pub fn fetch_occupancy(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Occupancy, Fault> {
        orders::occupancy(address, timeout)
    }

    /// Tells an engine to drop a request, as far as it can be told.
    pub fn cancel(&self, address: SocketAddr, id: &Id) {
        let target = request_target(id, "cancel");
        let call = post(address, target, &json!({}), Instant::now() + CANCEL_TIME);
        if let Err(failure) = call::send(call) {
            log::debug!(target: "upstream", "{id} can't be cancelled: {}.", failure.fault());
        }
    }
}

fn request_target(id: &Id, action: &str) -> String {
    format!("/v1/requests/{}/{action}", escape(id.as_str()))
}

/// Percent-encodes what a path segment can't hold.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            escaped.push(char::from(byte));
        } else {
            let _ = write!(escaped, "%{byte:02X}");
        }
    }
    escaped
}

fn post(address: SocketAddr, target: String, body: &Value, deadline: Instant) -> Call {
    let mut call = get(address, target, deadline);
    call.method = Method::POST;
    call.body = body.to_string().into_bytes();
    let json = HeaderValue::from_static("application/json");
    call.headers.insert(CONTENT_TYPE, json);
    call
}

fn get(address: SocketAddr, target: String, deadline: Instant) -> Call {
    Call {
        address,
        method: Method::GET,
        target,
        headers: HeaderMap::new(),
        body: Vec::new(),
        start_by: deadline,
        deadline,
        cancellation: Cancellation::never(),
    }
}

/// The body of an engine error: `{"error":{"code","message"}}`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct Refusal {
    code: String,
    message: String,
}

impl Refusal {
    fn read(response: &mut Response<Body>) -> Self {
        let body: Option<Value> = read_json(response).ok();
        let error = body.as_ref().map(|it| &it["error"]);
        let field = |name: &str| {
            let text = error.and_then(|it| it[name].as_str());
            text.unwrap_or_default().to_owned()
        };
        Self {
            code: field("code"),
            message: field("message"),
        }
    }
}

fn read_json(response: &mut Response<Body>) -> Result<Value, String> {
    let bytes = response
        .body_mut()
        .with_config()
        .limit(MESSAGE_BYTES)
        .read_to_vec()
        .map_err(|error| error.to_string())?;
    serde_json::from_slice(&bytes).map_err(|error| error.to_string())
}

/// The fault of a request that an engine did not take.
fn refused(address: SocketAddr, response: &mut Response<Body>) -> Fault {
    let status = response.status();
    let refusal = Refusal::read(response);
    let is_not_run = matches!(status.as_u16(), 404 | 503);
    let Refusal { code, message } = refusal;
    if is_not_run && NOT_RUN.contains(&&*code) {
        let detail = format!("the engine {address} refused the request: {code}");
        let kind = match code.as_str() {
            LEAVING => Kind::UpstreamLeaving,
            _ => Kind::UpstreamRefused,
        };
        return Fault::new(kind, detail);
    }
    let detail = format!("the engine {address} answered {status} {code} {message}");
    Fault::new(Kind::UpstreamLost, detail)
}
