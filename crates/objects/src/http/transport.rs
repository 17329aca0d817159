//! One call over HTTP, and what its failure says about its effect.

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
use ureq::{Agent, Body, http};

use crate::{
    budget::{Budget, Decision},
    object::{Failure, Reason, Version},
};

/// Time to open a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for a whole call; a watch gets it on top of its wait.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which an idle connection isn't used again.
const MAX_IDLE_AGE: Duration = Duration::from_secs(5);

/// The largest answer in bytes.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// When to come back if the platform throttles without saying when.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The longest time that the platform may ask to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// The method of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Method {
    /// Reads.
    Get,
    /// Writes.
    Put,
    /// Deletes.
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

/// Whether a call changes something if it takes effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// It only reads.
    Read,
    /// It may change something.
    Write,
}

impl Effect {
    /// The failure of a call that was sent and got no usable answer.
    fn unanswered(self, reason: String) -> Failure {
        match self {
            Self::Read => Failure::Unavailable { reason },
            Self::Write => Failure::Unknown { reason },
        }
    }
}

/// A call to be made.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The header with the condition of a write.
    pub condition: Option<(&'static str, String)>,
    /// The body of a put.
    pub body: Vec<u8>,
    /// Time for the whole call.
    pub patience: Duration,
}

impl Request {
    /// A read with the usual timeout.
    pub fn get(target: String) -> Self {
        Self {
            method: Method::Get,
            target,
            condition: None,
            body: Vec::new(),
            patience: CALL_TIMEOUT,
        }
    }
}

/// An answer, read to its end.
#[derive(Clone, Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    tag: Option<String>,
    retry_after: Option<Duration>,
}

impl Response {
    /// The version in the `ETag` header.
    pub fn version(&self) -> Option<Version> {
        let quoted = self.tag.as_deref()?;
        quoted.strip_prefix('"')?.strip_suffix('"')?.parse().ok()
    }

    /// The body of a read as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Failure> {
        serde_json::from_slice(&self.body).map_err(|error| Failure::Unavailable {
            reason: format!("the answer can't be read: {error}"),
        })
    }

    /// The failure of a call whose answer can't be understood.
    pub fn malformed(&self, effect: Effect) -> Failure {
        effect.unanswered(format!("the answer {} can't be understood", self.status))
    }

    /// The failure of a call whose status has no meaning in the protocol.
    pub fn unexpected(&self, effect: Effect) -> Failure {
        let reason = format!("unexpected status {}", self.status);
        match self.status {
            400..=499 => Failure::Unavailable { reason },
            _ => effect.unanswered(reason),
        }
    }
}

/// The platform's address with the connections to it, counted calls and budget.
#[derive(Debug)]
pub struct Transport {
    agent: Agent,
    base: String,
    budget: Budget,
    counts: Mutex<BTreeMap<Reason, u64>>,
    held: AtomicU64,
}

impl Transport {
    /// A transport that opens its first connection with the first call.
    pub fn new(address: SocketAddr, budget: Budget) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .max_idle_age(MAX_IDLE_AGE)
            .build();
        Self {
            agent: config.into(),
            base: format!("http://{address}"),
            budget,
            counts: Mutex::default(),
            held: AtomicU64::new(0),
        }
    }

    /// Calls made so far.
    pub fn call_counts(&self) -> BTreeMap<Reason, u64> {
        self.counts.lock().expect("count lock is poisoned").clone()
    }

    /// Calls that the budget held back so far.
    pub fn over_budget_count(&self) -> u64 {
        self.held.load(Ordering::Relaxed)
    }

    /// Makes one call.
    pub fn call(&self, reason: Reason, request: &Request) -> Result<Response, Failure> {
        if let Decision::Wait(after) = self.budget.try_acquire(reason.into()) {
            self.held.fetch_add(1, Ordering::Relaxed);
            return Err(Failure::Throttled { after });
        }
        self.count(reason);
        let effect = request.method.effect();
        let response = self.send(request).map_err(|it| classify(effect, &it))?;
        let answer = read(effect, response)?;
        self.admit(answer)
    }

    fn count(&self, reason: Reason) {
        let mut counts = self.counts.lock().expect("count lock is poisoned");
        *counts.entry(reason).or_default() += 1;
    }

    fn send(&self, request: &Request) -> Result<http::Response<Body>, ureq::Error> {
        let url = format!("{}{}", self.base, request.target);
        let patience = Some(request.patience);
        match request.method {
            Method::Get => {
                let call = self.agent.get(url).config().timeout_global(patience);
                call.build().call()
            }
            Method::Delete => {
                let call = self.agent.delete(url).config().timeout_global(patience);
                conditional(call.build(), request).call()
            }
            Method::Put => {
                let call = self.agent.put(url).config().timeout_global(patience);
                conditional(call.build(), request).send(&request.body[..])
            }
        }
    }

    fn admit(&self, answer: Response) -> Result<Response, Failure> {
        match answer.status {
            429 => {
                let after = answer.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
                self.budget.block_for(after);
                Err(Failure::Throttled { after })
            }
            503 => Err(Failure::Unavailable {
                reason: "status 503".to_owned(),
            }),
            _ => Ok(answer),
        }
    }
}

fn conditional<B>(call: ureq::RequestBuilder<B>, request: &Request) -> ureq::RequestBuilder<B> {
    match &request.condition {
        Some((name, value)) => call.header(*name, value),
        None => call,
    }
}

fn read(effect: Effect, mut response: http::Response<Body>) -> Result<Response, Failure> {
    let header = |name: &str| Some(response.headers().get(name)?.to_str().ok()?.to_owned());
    let tag = header("etag");
    let retry_after = header("retry-after").and_then(|it| it.parse().ok());
    let status = response.status().as_u16();
    let body = response.body_mut().with_config();
    let body = body.limit(MAX_ANSWER_BYTES).read_to_vec();
    let body = match (effect, body) {
        (_, Ok(body)) => body,
        // Status and headers tell all that there is to know of a write.
        (Effect::Write, Err(_)) => Vec::new(),
        (Effect::Read, Err(error)) => return Err(classify(effect, &error)),
    };
    Ok(Response {
        status,
        body,
        tag,
        retry_after: retry_after.map(|it| Duration::from_secs(it).min(MAX_RETRY_AFTER)),
    })
}

fn classify(effect: Effect, error: &ureq::Error) -> Failure {
    let reason = error.to_string();
    if is_unsent(error) {
        return Failure::Unavailable { reason };
    }
    effect.unanswered(reason)
}

/// Whether a call failed before its first byte could leave this process.
fn is_unsent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(error) => is_unconnected(error.kind()),
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

fn is_unconnected(kind: io::ErrorKind) -> bool {
    matches!(
        kind,
        io::ErrorKind::AddrNotAvailable
            | io::ErrorKind::ConnectionRefused
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
    )
}
