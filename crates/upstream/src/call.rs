//! One HTTP call, and what a failure says about whether it ran.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use kernel::fault::{Fault, Kind};
use ureq::{
    Agent, Body, Error, Timeout,
    config::Config,
    http::{HeaderMap, Method, Response, Uri},
};

use crate::{
    cancellation::Cancellation,
    transport::{Gate, Numeric, connector},
};

/// Longest wait for a connection.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// Size of an answer's head in bytes.
const HEAD_BYTES: usize = 32 * 1024;
/// Size of each of a connection's two buffers in bytes.
const BUFFER_BYTES: usize = 16 * 1024;
/// Size of an answer that is read for its meaning, such as a refusal, in bytes.
pub(crate) const MESSAGE_BYTES: u64 = 1024 * 1024;

/// A call that is ready to be sent.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) address: SocketAddr,
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Vec<u8>,
    pub(crate) start_by: Instant,
    pub(crate) deadline: Instant,
    pub(crate) cancellation: Cancellation,
}

/// Why a call has no answer.
#[derive(Debug)]
pub(crate) struct Failure {
    address: SocketAddr,
    error: Error,
    sent: bool,
    late: bool,
}

impl Failure {
    /// Whether a byte of the request may have been sent.
    pub(crate) fn is_sent(&self) -> bool {
        self.sent
    }

    pub(crate) fn fault(&self) -> Fault {
        let kind = match (self.sent, self.late) {
            (false, false) => Kind::UpstreamRefused,
            (false, true) => Kind::DeadlineBeforeStart,
            (true, false) => Kind::UpstreamLost,
            (true, true) => Kind::DeadlineAfterStart,
        };
        let Self { address, error, .. } = self;
        let detail = match kind {
            Kind::UpstreamRefused => format!("the upstream {address} can't be reached: {error}"),
            Kind::UpstreamLost => format!("the upstream {address} gave no answer: {error}"),
            _ => format!("the deadline passed before the upstream {address} answered"),
        };
        Fault::new(kind, detail)
    }
}

/// Sends a call, once, and waits for the head of its answer.
pub(crate) fn send(call: Call) -> Result<Response<Body>, Failure> {
    let gate = Gate::new(call.start_by.min(call.deadline), call.cancellation.clone());
    let (address, deadline) = (call.address, call.deadline);
    run(call, gate.clone()).map_err(|error| Failure {
        address,
        sent: gate.is_sent(),
        late: is_late(&error, deadline),
        error,
    })
}

fn is_late(error: &Error, deadline: Instant) -> bool {
    matches!(error, Error::Timeout(Timeout::Global)) || Instant::now() >= deadline
}

fn run(call: Call, gate: Arc<Gate>) -> Result<Response<Body>, Error> {
    let left = call.deadline.saturating_duration_since(Instant::now());
    let agent = Agent::with_parts(config(left), connector(gate), Numeric);
    let uri = Uri::builder()
        .scheme("http")
        .authority(call.address.to_string())
        .path_and_query(call.target)
        .build()?;
    let mut request = ureq::http::Request::new(call.body);
    *request.method_mut() = call.method;
    *request.uri_mut() = uri;
    *request.headers_mut() = call.headers;
    if request.body().is_empty() && !needs_body(request.method()) {
        return agent.run(request.map(|_| ()));
    }
    agent.run(request)
}

fn needs_body(method: &Method) -> bool {
    matches!(*method, Method::POST | Method::PUT | Method::PATCH)
}

fn config(left: Duration) -> Config {
    Config::builder()
        .http_status_as_error(false)
        .allow_non_standard_methods(true)
        .proxy(None)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .max_response_header_size(HEAD_BYTES)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .max_idle_connections(0)
        .max_idle_connections_per_host(0)
        .timeout_connect(Some(CONNECT_TIME))
        .timeout_global(Some(left))
        .build()
}
