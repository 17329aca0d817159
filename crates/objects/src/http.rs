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

/// The budget of a client that is given none.
pub const DEFAULT_RATE: Rate = Rate {
    calls_per_second: 50.0,
    burst: 100,
};

/// Characters of a key that stand for themselves in a path.
const SEGMENT: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'/')
    .remove(b'_')
    .remove(b'~');

/// Characters of a value that stand for themselves in a query.
const QUERY: &AsciiSet = &SEGMENT.add(b'/');

/// The object API over HTTP. Clones share connections, counts and budget.
#[derive(Clone, Debug)]
pub struct Client {
    transport: Arc<Transport>,
}

impl Client {
    /// A client with the default budget.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_budget(address, DEFAULT_RATE, Arc::new(System))
    }

    /// A client whose calls are held under a budget.
    pub fn with_budget(address: SocketAddr, rate: Rate, clock: Arc<dyn Clock>) -> Self {
        let budget = Budget::new(rate, clock);
        Self {
            transport: Arc::new(Transport::new(address, budget)),
        }
    }

    /// How many calls were made for each reason; those that the budget held back don't count.
    pub fn call_counts(&self) -> BTreeMap<Reason, u64> {
        self.transport.call_counts()
    }

    /// How many calls the budget held back.
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
            target: object(key),
            condition: Some(condition),
            body: value.to_vec(),
            patience: transport::CALL_TIMEOUT,
        };
        let answer = self.call(reason, &request)?;
        match answer.status {
            200 | 201 => answer
                .version()
                .ok_or_else(|| answer.malformed(Effect::Write)),
            412 => Err(conflict(key)),
            413 => Err(too_large(key, value)),
            _ => Err(answer.unexpected(Effect::Write)),
        }
    }
}

impl Store for Client {
    fn get(&self, reason: Reason, key: &str) -> Result<Option<Object>, Failure> {
        let answer = self.call(reason, &Request::get(object(key)))?;
        match answer.status {
            200 => {
                let version = answer.version();
                let version = version.ok_or_else(|| answer.malformed(Effect::Read))?;
                let value = answer.body;
                Ok(Some(Object { version, value }))
            }
            404 => Ok(None),
            _ => Err(answer.unexpected(Effect::Read)),
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
        self.put(reason, key, ("If-Match", tag(version)), value)
    }

    fn delete(&self, reason: Reason, key: &str, version: Version) -> Result<(), Failure> {
        let request = Request {
            method: Method::Delete,
            target: object(key),
            condition: Some(("If-Match", tag(version))),
            body: Vec::new(),
            patience: transport::CALL_TIMEOUT,
        };
        let answer = self.call(reason, &request)?;
        match answer.status {
            200 | 204 => Ok(()),
            // An absent object doesn't have the version.
            404 | 412 => Err(conflict(key)),
            _ => Err(answer.unexpected(Effect::Write)),
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
            query(prefix),
            query(after),
        );
        let answer = self.call(reason, &Request::get(target))?;
        match answer.status {
            200 => page(&answer),
            _ => Err(answer.unexpected(Effect::Read)),
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
            query(prefix),
            wait.as_millis(),
        );
        let mut request = Request::get(target);
        request.patience = wait.saturating_add(transport::CALL_TIMEOUT);
        let answer = self.call(reason, &request)?;
        match answer.status {
            200 => events(&answer, since),
            410 => Err(Failure::Gap { since }),
            _ => Err(answer.unexpected(Effect::Read)),
        }
    }
}

fn object(key: &str) -> String {
    format!("/objects/{}", utf8_percent_encode(key, SEGMENT))
}

fn query(text: &str) -> String {
    utf8_percent_encode(text, QUERY).to_string()
}

fn tag(version: Version) -> String {
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

fn page(answer: &Response) -> Result<Page, Failure> {
    let raw: RawPage = answer.json()?;
    let more = match raw.next {
        Some(_) => Continuation::More,
        None => Continuation::End,
    };
    let items: Option<Vec<Item>> = raw.items.into_iter().map(item).collect();
    Ok(Page {
        items: items.ok_or_else(|| answer.malformed(Effect::Read))?,
        revision: raw.revision,
        more,
    })
}

fn item(raw: RawItem) -> Option<Item> {
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

fn events(answer: &Response, since: Version) -> Result<Events, Failure> {
    let raw: RawEvents = answer.json()?;
    // A revision before the start would make the watch see changes twice.
    if raw.revision < since {
        return Err(answer.malformed(Effect::Read));
    }
    Ok(Events {
        events: raw.events.into_iter().map(event).collect(),
        revision: raw.revision,
    })
}

fn event(raw: RawEvent) -> Event {
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
