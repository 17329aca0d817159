//! Client of inference engines.

mod control;
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
    call::{self, Call, MAX_MESSAGE_BYTES},
    cancellation::Cancellation,
};
pub use control::{Inventory, LoadOutcome, Occupancy, UnloadOutcome};
pub use stream::{Item, Stream};

/// Time limit of a cancellation call, which blocks the thread that drops a stream.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(100);
/// Error codes with which an engine rejects a request before anything runs.
const NOT_RUN_CODES: [&str; 3] = ["not-loaded", LEAVING, "full"];
/// Error code of an engine that is shutting down and accepts nothing new.
const LEAVING: &str = "leaving";

/// A request for a chat completion.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The address of the engine.
    pub address: SocketAddr,
    /// The loaded adapter to run on; chunks that name another one are not delivered.
    pub loaded: &'a Loaded,
    /// The caller's body; the client overrides `model`, `priority`, and `stream`.
    pub body: &'a Value,
    /// Identifies the request when it is resumed or cancelled; must be unique on the engine.
    pub id: &'a Id,
    /// Lower values run first.
    pub priority: i32,
    /// The first byte has to be sent before this instant.
    pub start_by: Instant,
    /// The response has to be complete by this instant.
    pub deadline: Instant,
    /// Tells whether the caller still waits for the response.
    pub cancellation: Cancellation,
}

/// Calls engines, each call on its own connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct Client;

impl Client {
    /// Starts a request. The response is always streamed.
    pub fn start(&self, request: &Request<'_>) -> Result<Stream, Fault> {
        Stream::open(request)
    }

    /// Loads an adapter and waits for the outcome. `fence` is the fencing token of the steward.
    pub fn load(
        &self,
        address: SocketAddr,
        loaded: &Loaded,
        fence: u64,
        timeout: Duration,
    ) -> LoadOutcome {
        control::load(address, loaded, fence, timeout)
    }

    /// Unloads an adapter. `fence` is the fencing token of the steward.
    pub fn unload(
        &self,
        address: SocketAddr,
        loaded: &Loaded,
        fence: u64,
        timeout: Duration,
    ) -> UnloadOutcome {
        control::unload(address, loaded, fence, timeout)
    }

    /// Fetches the exact list of loaded adapters.
    pub fn fetch_inventory(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Inventory, Fault> {
        control::fetch_inventory(address, timeout)
    }

    /// Fetches the number of running and waiting requests, which lags behind the actual state.
    pub fn fetch_occupancy(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Occupancy, Fault> {
        control::fetch_occupancy(address, timeout)
    }

    /// Tells an engine to cancel a request. A failure is only logged.
    pub fn cancel(&self, address: SocketAddr, id: &Id) {
        let target = format_request_target(id, "cancel");
        let call = build_post(address, target, &json!({}), Instant::now() + CANCEL_TIMEOUT);
        if let Err(failure) = call::send(call) {
            log::debug!(target: "upstream", "Failed to cancel request {id}: {}.", failure.fault());
        }
    }
}

fn format_request_target(id: &Id, action: &str) -> String {
    format!("/v1/requests/{}/{action}", percent_encode(id.as_str()))
}

/// Percent-encodes the bytes that are not allowed in a path segment.
fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}

fn build_post(address: SocketAddr, target: String, body: &Value, deadline: Instant) -> Call {
    let mut call = build_get(address, target, deadline);
    call.method = Method::POST;
    call.body = body.to_string().into_bytes();
    let json = HeaderValue::from_static("application/json");
    call.headers.insert(CONTENT_TYPE, json);
    call
}

fn build_get(address: SocketAddr, target: String, deadline: Instant) -> Call {
    Call {
        address,
        method: Method::GET,
        target,
        headers: HeaderMap::new(),
        body: Vec::new(),
        max_response_bytes: MAX_MESSAGE_BYTES,
        start_by: deadline,
        deadline,
        cancellation: Cancellation::never(),
    }
}

/// The body of an error response of an engine: `{"error":{"code","message"}}`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct ErrorBody {
    code: String,
    message: String,
}

impl ErrorBody {
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
        .limit(MAX_MESSAGE_BYTES)
        .read_to_vec()
        .map_err(|error| error.to_string())?;
    serde_json::from_slice(&bytes).map_err(|error| error.to_string())
}

/// Reads the fault of a request to which an engine responded with an error.
fn read_rejection(address: SocketAddr, response: &mut Response<Body>) -> Fault {
    let status = response.status();
    let error_body = ErrorBody::read(response);
    let may_be_not_run = matches!(status.as_u16(), 404 | 503);
    let ErrorBody { code, message } = error_body;
    if may_be_not_run && NOT_RUN_CODES.contains(&&*code) {
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
