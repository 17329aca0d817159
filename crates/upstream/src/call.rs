//! Sends one HTTP call and classifies its failures by whether the upstream may have run it.

use std::{
    io,
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
    transport::{NumericResolver, SendGuard, build_connector},
};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest head of a response.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Maximum number of bytes that an upstream may send before the head of a response is complete, and in a stream from one
/// part of the body to the next: informational responses, framing of chunks and trailers.
const MAX_OVERHEAD_BYTES: u64 = 256 * 1024;
/// Maximum number of bytes on the wire for each byte of a body that is read as a whole. A byte in a chunk of its own takes
/// six.
const MAX_WIRE_RATIO: u64 = 8;
/// Status codes of a complete response (RFC 9110, section 15). A change of protocol is never asked for.
const FINAL_STATUSES: std::ops::Range<u16> = 200..600;
/// Size of each of the two buffers of a connection.
const BUFFER_BYTES: usize = 16 * 1024;
/// Largest body of a response that is parsed as a whole, such as an error or the response to a
/// status query.
pub(crate) const MAX_MESSAGE_BYTES: u64 = 1024 * 1024;

/// A call that is ready to be sent.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) address: SocketAddr,
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Vec<u8>,
    /// Largest body of a response that is read as a whole.
    pub(crate) max_response_bytes: u64,
    /// The first byte has to be sent before this instant.
    pub(crate) start_by: Instant,
    /// The response has to be complete by this instant.
    pub(crate) deadline: Instant,
    pub(crate) cancellation: Cancellation,
}

/// An error that left a call without a response.
#[derive(Debug)]
pub(crate) struct Failure {
    address: SocketAddr,
    error: Error,
    sent: bool,
    deadline_passed: bool,
}

impl Failure {
    /// Returns whether a byte of the request may have been sent.
    pub(crate) fn is_sent(&self) -> bool {
        self.sent
    }

    /// Returns the fault of this failure; its kind tells whether the call may have run.
    pub(crate) fn fault(&self) -> Fault {
        let kind = match (self.sent, self.deadline_passed) {
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

/// Allowance for the bytes of a stream's upstream until it is renewed.
#[derive(Clone, Debug)]
pub(crate) struct Allowance(Arc<SendGuard>);

impl Allowance {
    /// Allows the overhead of the next part of the body.
    pub(crate) fn renew(&self) {
        self.0.allow_input(MAX_OVERHEAD_BYTES);
    }
}

/// Sends a call once and waits for the head of its response, whose body is to be read as a whole.
pub(crate) fn send(call: Call) -> Result<Response<Body>, Failure> {
    let max_body_bytes = call.max_response_bytes.saturating_mul(MAX_WIRE_RATIO);
    let (response, allowance) = send_for_stream(call)?;
    let max_bytes = max_body_bytes.saturating_add(MAX_OVERHEAD_BYTES);
    allowance.0.allow_input(max_bytes);
    Ok(response)
}

/// Sends a call once and waits for the head of its response, whose body may be of any length. The reader has to renew the
/// allowance after each part of the body.
pub(crate) fn send_for_stream(call: Call) -> Result<(Response<Body>, Allowance), Failure> {
    let start_by = call.start_by.min(call.deadline);
    let guard = SendGuard::new(start_by, call.cancellation.clone(), MAX_OVERHEAD_BYTES);
    let (address, deadline) = (call.address, call.deadline);
    let response = run(call, guard.clone()).map_err(|error| Failure {
        address,
        sent: guard.is_sent(),
        deadline_passed: is_deadline_passed(&error, deadline),
        error,
    })?;
    let allowance = Allowance(guard);
    allowance.renew();
    Ok((response, allowance))
}

fn is_deadline_passed(error: &Error, deadline: Instant) -> bool {
    matches!(error, Error::Timeout(Timeout::Global)) || Instant::now() >= deadline
}

fn run(call: Call, guard: Arc<SendGuard>) -> Result<Response<Body>, Error> {
    let remaining = call.deadline.saturating_duration_since(Instant::now());
    let agent = Agent::with_parts(
        build_config(remaining),
        build_connector(guard),
        NumericResolver,
    );
    let uri = Uri::builder()
        .scheme("http")
        .authority(call.address.to_string())
        .path_and_query(call.target)
        .build()?;
    let mut request = ureq::http::Request::new(call.body);
    *request.method_mut() = call.method;
    *request.uri_mut() = uri;
    *request.headers_mut() = call.headers;
    let response = if request.body().is_empty() && !needs_body(request.method()) {
        agent.run(request.map(|_| ()))?
    } else {
        agent.run(request)?
    };
    let status = response.status();
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        return Err(io::Error::other(format!("{status} is no final status")).into());
    }
    Ok(response)
}

/// Returns whether a request of this method carries a body even if the body is empty.
fn needs_body(method: &Method) -> bool {
    matches!(*method, Method::POST | Method::PUT | Method::PATCH)
}

fn build_config(remaining: Duration) -> Config {
    Config::builder()
        .http_status_as_error(false)
        .allow_non_standard_methods(true)
        .proxy(None)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .max_response_header_size(MAX_HEAD_BYTES)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .max_idle_connections(0)
        .max_idle_connections_per_host(0)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_global(Some(remaining))
        .build()
}
