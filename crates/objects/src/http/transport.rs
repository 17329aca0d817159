//! The HTTP transport: makes and counts calls, and classifies failures by whether the call can have
//! taken effect.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use serde::de::DeserializeOwned;
use transport::ResetGuard;
use ureq::{
    Agent, Body, http,
    unversioned::{
        resolver::DefaultResolver,
        transport::{Connector, TcpConnector},
    },
};

use crate::{
    budget::{Budget, Decision},
    object::{Failure, Reason, Version},
};

/// Timeout for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for a whole call; a watch adds the time that it waits for changes.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Size of each of the two buffers of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// Retry delay when the platform throttles without a valid `Retry-After` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Upper bound on the retry delay that the platform may request.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// The HTTP method of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Method {
    /// Reads, lists or watches objects.
    Get,
    /// Creates or updates an object.
    Put,
    /// Deletes an object.
    Delete,
}

impl Method {
    fn effect(self) -> Effect {
        match self {
            Self::Get => Effect::Read,
            Self::Put | Self::Delete => Effect::Write,
        }
    }
}

/// The effect that a call can have on the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The call changes nothing.
    Read,
    /// The call may change an object.
    Write,
}

impl Effect {
    /// Returns the failure of a call that was sent and got no usable response.
    fn failure_without_response(self, reason: String) -> Failure {
        match self {
            Self::Read => Failure::Unavailable { reason },
            Self::Write => Failure::Unknown { reason },
        }
    }
}

/// A call to make.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub target: String,
    /// The name and value of the header that makes a write conditional.
    pub condition: Option<(&'static str, String)>,
    /// The body of a `PUT` request.
    pub body: Vec<u8>,
    /// Timeout for the whole call.
    pub timeout: Duration,
}

impl Request {
    /// Creates a `GET` request with [`CALL_TIMEOUT`].
    pub fn get(target: String) -> Self {
        Self {
            method: Method::Get,
            target,
            condition: None,
            body: Vec::new(),
            timeout: CALL_TIMEOUT,
        }
    }
}

/// A response with its complete body. The body is empty if that of a write could not be read.
#[derive(Clone, Debug)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The response body.
    pub body: Vec<u8>,
    etag: Option<String>,
    retry_after: Option<Duration>,
}

impl Response {
    /// Returns the version in the `ETag` header, if there is a valid one.
    pub fn version(&self) -> Option<Version> {
        let quoted = self.etag.as_deref()?;
        quoted.strip_prefix('"')?.strip_suffix('"')?.parse().ok()
    }

    /// Decodes the response to a read as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Failure> {
        serde_json::from_slice(&self.body).map_err(|error| Failure::Unavailable {
            reason: format!("the answer can't be read: {error}"),
        })
    }

    /// Returns the failure of a call whose response is malformed.
    pub fn malformed(&self, effect: Effect) -> Failure {
        effect.failure_without_response(format!("the answer {} can't be understood", self.status))
    }

    /// Returns the failure of a call with a status that the protocol does not define for the call.
    pub fn unexpected(&self, effect: Effect) -> Failure {
        let reason = format!("unexpected status {}", self.status);
        match self.status {
            400..=499 => Failure::Unavailable { reason },
            _ => effect.failure_without_response(reason),
        }
    }
}

/// Makes the calls to the platform, with the call counts and the budget.
///
/// Each call has its own connection. Responses contain nothing that identifies their request, so on a
/// shared connection a second copy of a response would be taken for the response to the next request.
#[derive(Debug)]
pub struct Transport {
    agent: Agent,
    base_url: String,
    budget: Budget,
    counts: Mutex<BTreeMap<Reason, u64>>,
    over_budget: AtomicU64,
}

impl Transport {
    /// Creates a transport.
    pub fn new(address: SocketAddr, budget: Budget) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .input_buffer_size(BUFFER_BYTES)
            .output_buffer_size(BUFFER_BYTES)
            .max_idle_connections(0)
            .max_idle_connections_per_host(0)
            .build();
        let connector = TcpConnector::default().chain(ResetGuard);
        Self {
            agent: Agent::with_parts(config, connector, DefaultResolver::default()),
            base_url: format!("http://{address}"),
            budget,
            counts: Mutex::default(),
            over_budget: AtomicU64::new(0),
        }
    }

    /// Returns the number of calls made so far by reason.
    pub fn call_counts(&self) -> BTreeMap<Reason, u64> {
        self.counts.lock().expect("count lock is poisoned").clone()
    }

    /// Returns the number of calls that were not sent because they exceeded the budget.
    pub fn over_budget_count(&self) -> u64 {
        self.over_budget.load(Ordering::Relaxed)
    }

    /// Makes one call if the budget allows it.
    pub fn call(&self, reason: Reason, request: &Request) -> Result<Response, Failure> {
        if let Decision::Wait(after) = self.budget.try_acquire(reason.into()) {
            self.over_budget.fetch_add(1, Ordering::Relaxed);
            return Err(Failure::Throttled { after });
        }
        self.count(reason);
        let effect = request.method.effect();
        let response = self.send(request).map_err(|it| classify(effect, &it))?;
        let response = read_response(effect, response)?;
        self.check_throttling(response)
    }

    fn count(&self, reason: Reason) {
        let mut counts = self.counts.lock().expect("count lock is poisoned");
        *counts.entry(reason).or_default() += 1;
    }

    fn send(&self, request: &Request) -> Result<http::Response<Body>, ureq::Error> {
        let url = format!("{}{}", self.base_url, request.target);
        let timeout = Some(request.timeout);
        match request.method {
            Method::Get => {
                let call = self.agent.get(url).config().timeout_global(timeout);
                call.build().call()
            }
            Method::Delete => {
                let call = self.agent.delete(url).config().timeout_global(timeout);
                add_condition(call.build(), request).call()
            }
            Method::Put => {
                let call = self.agent.put(url).config().timeout_global(timeout);
                add_condition(call.build(), request).send(&request.body[..])
            }
        }
    }

    fn check_throttling(&self, response: Response) -> Result<Response, Failure> {
        match response.status {
            429 => {
                let after = response.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
                self.budget.block_for(after);
                Err(Failure::Throttled { after })
            }
            503 => Err(Failure::Unavailable {
                reason: "status 503".to_owned(),
            }),
            _ => Ok(response),
        }
    }
}

fn add_condition<B>(call: ureq::RequestBuilder<B>, request: &Request) -> ureq::RequestBuilder<B> {
    match &request.condition {
        Some((name, value)) => call.header(*name, value),
        None => call,
    }
}

fn read_response(effect: Effect, mut response: http::Response<Body>) -> Result<Response, Failure> {
    let header = |name: &str| Some(response.headers().get(name)?.to_str().ok()?.to_owned());
    let etag = header("etag");
    let retry_after = header("retry-after").and_then(|it| it.parse().ok());
    let status = response.status().as_u16();
    let body = response.body_mut().with_config();
    let body = body.limit(MAX_RESPONSE_BYTES).read_to_vec();
    let body = match (effect, body) {
        (_, Ok(body)) => body,
        // The status and headers of the response already tell the outcome of a write.
        (Effect::Write, Err(_)) => Vec::new(),
        (Effect::Read, Err(error)) => return Err(classify(effect, &error)),
    };
    Ok(Response {
        status,
        body,
        etag,
        retry_after: retry_after.map(|it| Duration::from_secs(it).min(MAX_RETRY_AFTER)),
    })
}

fn classify(effect: Effect, error: &ureq::Error) -> Failure {
    let reason = error.to_string();
    if is_unsent(error) {
        return Failure::Unavailable { reason };
    }
    effect.failure_without_response(reason)
}

/// Returns whether a call failed before any byte of its request was sent.
fn is_unsent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(error) => is_connect_error(error.kind()),
        ureq::Error::Timeout(timeout) => {
            matches!(timeout, ureq::Timeout::Connect | ureq::Timeout::Resolve)
        }
        ureq::Error::BadUri(_)
        | ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Http(_) => true,
        _ => false,
    }
}

fn is_connect_error(kind: io::ErrorKind) -> bool {
    matches!(
        kind,
        io::ErrorKind::AddrNotAvailable
            | io::ErrorKind::ConnectionRefused
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
    )
}
