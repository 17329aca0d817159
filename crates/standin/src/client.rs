//! Blocking HTTP client for tests, the demo and the control interface of stand-ins in other
//! processes.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read},
    net::SocketAddr,
    time::{Duration, Instant},
};

use derive_more::{Display, Error};
use serde::{Serialize, de::DeserializeOwned};
use ureq::{Agent, Body, BodyReader, http};

/// Default timeout of a whole call, from connecting to the end of the body.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Error of a call that got no complete response.
#[derive(Debug, Display, Error)]
#[display("{method} http://{address}{path}: {reason}")]
pub struct Failure {
    method: &'static str,
    address: SocketAddr,
    path: String,
    #[error(not(source))]
    reason: String,
}

/// An HTTP request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// The headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body. An empty one is not sent.
    pub body: Vec<u8>,
    /// Timeout of the whole call.
    pub timeout: Duration,
}

impl Request {
    /// Creates a request without headers and body.
    pub fn new(method: &'static str, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Vec::new(),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Creates a `POST` request with a JSON body.
    pub fn post(path: impl Into<String>, body: &impl Serialize) -> Self {
        let body = serde_json::to_vec(body).expect("the body can be written as JSON");
        let request = Self::new("POST", path).with("content-type", "application/json");
        Self { body, ..request }
    }

    /// Adds a header.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    fn failure(&self, address: SocketAddr, reason: &dyn std::fmt::Display) -> Failure {
        Failure {
            method: self.method,
            address,
            path: self.path.clone(),
            reason: reason.to_string(),
        }
    }

    fn execute(&self, address: SocketAddr) -> Result<http::Response<Body>, Failure> {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_global(Some(self.timeout))
            .build();
        let agent: Agent = config.into();
        let mut request = http::Request::builder()
            .method(self.method)
            .uri(format!("http://{address}{}", self.path));
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        let response = match self.body.as_slice() {
            [] => request.body(()).map(|it| agent.run(it)),
            body => request.body(body).map(|it| agent.run(it)),
        };
        let response = response.map_err(|it| self.failure(address, &it))?;
        response.map_err(|it| self.failure(address, &it))
    }

    /// Sends the request and reads the whole response.
    pub fn send(&self, address: SocketAddr) -> Result<Answer, Failure> {
        let mut response = self.execute(address)?;
        let (status, headers) = read_head(&response);
        let body = response.body_mut().read_to_vec();
        Ok(Answer {
            status,
            headers,
            body: body.map_err(|it| self.failure(address, &it))?,
        })
    }

    /// Sends the request and returns the response as a stream of server-sent events.
    pub fn stream(&self, address: SocketAddr) -> Result<Stream, Failure> {
        let response = self.execute(address)?;
        let (status, headers) = read_head(&response);
        let body = response.into_body().into_reader();
        Ok(Stream {
            status,
            headers,
            state: State::Open,
            body: BufReader::new(body),
        })
    }
}

fn read_head(response: &http::Response<Body>) -> (u16, BTreeMap<String, String>) {
    let headers = response.headers().iter().map(|(name, value)| {
        let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
        (name.to_string(), value)
    });
    (response.status().as_u16(), headers.collect())
}

/// A response with its whole body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers, with lowercase names.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns the value of a header, or an empty string if the header is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Parses the body as JSON. Returns null if it is invalid.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A response that is read as a stream of server-sent events.
pub struct Stream {
    /// The HTTP status.
    pub status: u16,
    /// The headers, with lowercase names.
    pub headers: BTreeMap<String, String>,
    /// The state of the stream after the last read.
    pub state: State,
    body: BufReader<BodyReader<'static>>,
}

/// State of a [`Stream`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// More events may follow.
    Open,
    /// The body ended as HTTP requires.
    Ended,
    /// The connection failed before the end of the body.
    Broken,
}

impl Stream {
    /// Reads the rest of the response as text, up to its end or to the first read error.
    pub fn text(mut self) -> String {
        let mut rest = Vec::new();
        let _ = self.body.read_to_end(&mut rest);
        String::from_utf8_lossy(&rest).into_owned()
    }
}

impl std::fmt::Debug for Stream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Stream")
            .field("status", &self.status)
            .field("headers", &self.headers)
            .finish_non_exhaustive()
    }
}

/// A server-sent event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Time at which the event was read.
    pub at: Instant,
    /// The `event` field, or an empty string.
    pub kind: String,
    /// The `id` field, or an empty string.
    pub id: String,
    /// The `data` fields, concatenated.
    pub data: String,
}

impl Event {
    /// Parses the data as JSON. Returns null if it is invalid.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.data).unwrap_or_default()
    }

    /// Returns whether this event marks the end of a complete stream.
    pub fn is_done(&self) -> bool {
        self.data == "[DONE]"
    }
}

impl Iterator for Stream {
    type Item = Event;

    /// Reads the next event. Returns `None` at the end of the response and after a read error.
    fn next(&mut self) -> Option<Event> {
        let mut event = Event {
            at: Instant::now(),
            kind: String::new(),
            id: String::new(),
            data: String::new(),
        };
        loop {
            let mut line = String::new();
            match self.body.read_line(&mut line) {
                Ok(0) => self.state = State::Ended,
                Ok(_) => {}
                Err(_) => self.state = State::Broken,
            }
            if self.state != State::Open {
                return None;
            }
            let line = line.trim_end();
            match line.split_once(": ") {
                Some(("id", value)) => value.clone_into(&mut event.id),
                Some(("event", value)) => value.clone_into(&mut event.kind),
                Some(("data", value)) => event.data.push_str(value),
                _ if line.is_empty() && !event.data.is_empty() => {
                    event.at = Instant::now();
                    return Some(event);
                }
                _ => {}
            }
        }
    }
}

/// Sets a switch of a stand-in in another process through its control interface.
pub fn set_switch(address: SocketAddr, path: &str, switch: &impl Serialize) -> Result<(), Failure> {
    let request = Request::post(path, switch);
    let answer = request.send(address)?;
    match answer.status {
        200 | 204 => Ok(()),
        _ => Err(request.failure(address, &answer.text())),
    }
}

/// Reads the counters of a stand-in in another process.
pub fn read_counts<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, Failure> {
    let request = Request::new("GET", path);
    let answer = request.send(address)?;
    serde_json::from_slice(&answer.body).map_err(|it| request.failure(address, &it))
}
