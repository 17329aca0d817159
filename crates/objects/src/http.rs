//! The HTTP client of the object API.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use base64::{Engine as _, prelude::BASE64_STANDARD};
use kernel::clock::{Clock, System};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Deserialize;

use crate::{
    budget::{Budget, Rate},
    object::{
        Continuation, Event, Events, Failure, Item, Kind, MAX_VALUE_BYTES, Object, Page, Reason,
        Store, Version,
    },
};

pub mod transport;

use transport::{Effect, Method, Request, Response, Transport};

/// The budget of a client that is created without a rate.
pub const DEFAULT_RATE: Rate = Rate {
    calls_per_second: 50.0,
    burst: 100,
};

/// The characters that are percent-encoded in the path of a key; slashes are not.
const PATH: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'/')
    .remove(b'_')
    .remove(b'~');

/// The characters that are percent-encoded in a value of the query string.
const QUERY: &AsciiSet = &PATH.add(b'/');

/// The HTTP client of the object API. Clones share counts and budget.
#[derive(Clone, Debug)]
pub struct Client {
    transport: Arc<Transport>,
}

impl Client {
    /// Creates a client with the budget [`DEFAULT_RATE`].
    pub fn new(address: SocketAddr) -> Self {
        Self::with_budget(address, DEFAULT_RATE, Arc::new(System))
    }

    /// Creates a client that limits its calls to `rate`.
    pub fn with_budget(address: SocketAddr, rate: Rate, clock: Arc<dyn Clock>) -> Self {
        let budget = Budget::new(rate, clock);
        Self {
            transport: Arc::new(Transport::new(address, budget)),
        }
    }

    /// Returns the number of calls made for each reason, without those that exceeded the budget.
    pub fn call_counts(&self) -> BTreeMap<Reason, u64> {
        self.transport.call_counts()
    }

    /// Returns the number of calls that were not sent because they exceeded the budget.
    pub fn over_budget_count(&self) -> u64 {
        self.transport.over_budget_count()
    }

    pub(crate) fn call(&self, reason: Reason, request: &Request) -> Result<Response, Failure> {
        self.transport.call(reason, request)
    }

    fn put(
        &self,
        reason: Reason,
        key: &str,
        condition: (&'static str, String),
        value: &[u8],
    ) -> Result<Version, Failure> {
        check_size(key, value)?;
        let request = Request {
            method: Method::Put,
            target: object_path(key),
            condition: Some(condition),
            body: value.to_vec(),
            timeout: transport::CALL_TIMEOUT,
        };
        let response = self.call(reason, &request)?;
        match response.status {
            200 | 201 => response
                .version()
                .ok_or_else(|| response.malformed(Effect::Write)),
            412 => Err(conflict(key)),
            413 => Err(too_large(key, value)),
            _ => Err(response.unexpected(Effect::Write)),
        }
    }
}

impl Store for Client {
    fn get(&self, reason: Reason, key: &str) -> Result<Option<Object>, Failure> {
        let response = self.call(reason, &Request::get(object_path(key)))?;
        match response.status {
            200 => {
                let version = response.version();
                let version = version.ok_or_else(|| response.malformed(Effect::Read))?;
                let value = response.body;
                Ok(Some(Object { version, value }))
            }
            404 => Ok(None),
            _ => Err(response.unexpected(Effect::Read)),
        }
    }

    fn create(&self, reason: Reason, key: &str, value: &[u8]) -> Result<Version, Failure> {
        self.put(reason, key, ("If-None-Match", "*".to_owned()), value)
    }

    fn update(
        &self,
        reason: Reason,
        key: &str,
        version: Version,
        value: &[u8],
    ) -> Result<Version, Failure> {
        self.put(reason, key, ("If-Match", etag(version)), value)
    }

    fn delete(&self, reason: Reason, key: &str, version: Version) -> Result<(), Failure> {
        let request = Request {
            method: Method::Delete,
            target: object_path(key),
            condition: Some(("If-Match", etag(version))),
            body: Vec::new(),
            timeout: transport::CALL_TIMEOUT,
        };
        let response = self.call(reason, &request)?;
        match response.status {
            200 | 204 => Ok(()),
            // An absent object cannot have the expected version.
            404 | 412 => Err(conflict(key)),
            _ => Err(response.unexpected(Effect::Write)),
        }
    }

    fn list(
        &self,
        reason: Reason,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Page, Failure> {
        let target = format!(
            "/objects?prefix={}&after={}&limit={limit}&values=true",
            encode_query(prefix),
            encode_query(after),
        );
        let response = self.call(reason, &Request::get(target))?;
        match response.status {
            200 => decode_page(&response),
            _ => Err(response.unexpected(Effect::Read)),
        }
    }

    fn watch(
        &self,
        reason: Reason,
        prefix: &str,
        since: Version,
        wait: Duration,
    ) -> Result<Events, Failure> {
        let target = format!(
            "/watch?prefix={}&since={since}&wait_ms={}",
            encode_query(prefix),
            wait.as_millis(),
        );
        let mut request = Request::get(target);
        request.timeout = wait.saturating_add(transport::CALL_TIMEOUT);
        let response = self.call(reason, &request)?;
        match response.status {
            200 => decode_events(&response, since),
            410 => Err(Failure::Gap { since }),
            _ => Err(response.unexpected(Effect::Read)),
        }
    }
}

fn object_path(key: &str) -> String {
    format!("/objects/{}", utf8_percent_encode(key, PATH))
}

fn encode_query(text: &str) -> String {
    utf8_percent_encode(text, QUERY).to_string()
}

fn etag(version: Version) -> String {
    format!("\"{version}\"")
}

fn conflict(key: &str) -> Failure {
    Failure::Conflict {
        key: key.to_owned(),
    }
}

fn too_large(key: &str, value: &[u8]) -> Failure {
    Failure::TooLarge {
        key: key.to_owned(),
        bytes: value.len(),
    }
}

fn check_size(key: &str, value: &[u8]) -> Result<(), Failure> {
    if value.len() > MAX_VALUE_BYTES {
        return Err(too_large(key, value));
    }
    Ok(())
}

#[derive(Deserialize)]
struct RawPage {
    items: Vec<RawItem>,
    revision: Version,
    next: Option<String>,
}

#[derive(Deserialize)]
struct RawItem {
    key: String,
    version: Version,
    value_base64: String,
}

fn decode_page(response: &Response) -> Result<Page, Failure> {
    let raw: RawPage = response.json()?;
    let more = match raw.next {
        Some(_) => Continuation::More,
        None => Continuation::End,
    };
    let items: Option<Vec<Item>> = raw.items.into_iter().map(decode_item).collect();
    Ok(Page {
        items: items.ok_or_else(|| response.malformed(Effect::Read))?,
        revision: raw.revision,
        more,
    })
}

fn decode_item(raw: RawItem) -> Option<Item> {
    let value = BASE64_STANDARD.decode(&raw.value_base64).ok()?;
    Some(Item {
        key: raw.key,
        version: raw.version,
        value,
    })
}

#[derive(Deserialize)]
struct RawEvents {
    events: Vec<RawEvent>,
    revision: Version,
}

#[derive(Deserialize)]
struct RawEvent {
    kind: RawKind,
    key: String,
    version: Version,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum RawKind {
    Put,
    Delete,
}

fn decode_events(response: &Response, since: Version) -> Result<Events, Failure> {
    let raw: RawEvents = response.json()?;
    // The next watch would report changes again if it started at an earlier revision.
    if raw.revision < since {
        return Err(response.malformed(Effect::Read));
    }
    Ok(Events {
        events: raw.events.into_iter().map(decode_event).collect(),
        revision: raw.revision,
    })
}

fn decode_event(raw: RawEvent) -> Event {
    let kind = match raw.kind {
        RawKind::Put => Kind::Put,
        RawKind::Delete => Kind::Delete,
    };
    Event {
        key: raw.key,
        version: raw.version,
        kind,
    }
}
