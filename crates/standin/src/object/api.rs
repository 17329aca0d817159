//! HTTP interface and switches of the object API.

use std::{
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use base64::{Engine as _, prelude::BASE64_STANDARD};
use hyper::{Method, StatusCode};
use tokio::sync::watch;

use super::{
    Counts, Switch,
    store::{Condition, Store, WatchOutcome, WriteOutcome},
};
use crate::{
    bucket::Bucket,
    control::Outage,
    http::{self, Call, Reply},
};

/// Maximum size of a value.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Maximum wait of a watch call.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// Wait of a watch call that does not set one.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
struct State {
    store: Store,
    counts: Counts,
    outage: Outage,
    /// The number of writes left whose responses are lost.
    lose_answers: u64,
    delay: Duration,
    bucket: Bucket,
}

/// The object API without its HTTP server.
#[derive(Debug)]
pub struct Api {
    state: Mutex<State>,
    revision: watch::Sender<u64>,
}

impl Default for Api {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            revision: watch::Sender::new(0),
        }
    }
}

/// Decision on a call before it is processed.
enum Admission {
    Proceed,
    Respond(Reply),
    Hang,
}

/// Decision on the response to a write.
enum Delivery {
    Sent,
    Lost,
}

impl Api {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the stand-in's lock is poisoned")
    }

    /// Sets a switch.
    pub fn set(&self, switch: Switch) {
        let mut state = self.lock();
        match switch {
            Switch::Outage(outage) => state.outage = outage,
            Switch::LoseAnswers(count) => state.lose_answers = count,
            Switch::CallsPerSecond(rate) => state.bucket = Bucket::new(rate, rate),
            Switch::DelayMs(delay) => state.delay = Duration::from_millis(delay),
            Switch::History(limit) => state.store.set_history_limit(limit),
        }
        drop(state);
        // Wakes waiting watches, which an outage must end.
        self.revision.send_modify(|_| {});
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Handles a call of the object API.
    pub async fn handle(&self, call: Call) -> Reply {
        let delay = self.lock().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        match self.admit() {
            Admission::Proceed => self.route(&call).await,
            Admission::Respond(reply) => reply,
            Admission::Hang => std::future::pending().await,
        }
    }

    fn admit(&self) -> Admission {
        let mut state = self.lock();
        if state.outage != Outage::None {
            state.counts.refused += 1;
            return admit_in_outage(state.outage);
        }
        if !state.bucket.try_take(Instant::now()) {
            state.counts.throttled += 1;
            let reply = Reply::error(StatusCode::TOO_MANY_REQUESTS, "throttled", "over the rate");
            return Admission::Respond(reply.with("retry-after", "1"));
        }
        Admission::Proceed
    }

    async fn route(&self, call: &Call) -> Reply {
        let key = call
            .path
            .strip_prefix("/objects/")
            .filter(|it| !it.is_empty());
        match (&call.method, call.path.as_str(), key) {
            (&Method::GET, "/objects", None) => self.list(call),
            (&Method::GET, "/watch", None) => self.watch(call).await,
            (&Method::GET, _, Some(key)) => self.get(key),
            (&Method::PUT, _, Some(key)) => self.put(key, call),
            (&Method::DELETE, _, Some(key)) => self.delete(key, call),
            _ => Reply::error(StatusCode::NOT_FOUND, "unknown-path", &call.path),
        }
    }

    fn get(&self, key: &str) -> Reply {
        let mut state = self.lock();
        state.counts.reads += 1;
        match state.store.get(key) {
            Some(it) => {
                Reply::new(StatusCode::OK, it.value.clone()).with("etag", &http::etag(it.version))
            }
            None => Reply::error(StatusCode::NOT_FOUND, "not-found", key),
        }
    }

    fn put(&self, key: &str, call: &Call) -> Reply {
        let Some((condition, status)) = parse_condition(call) else {
            let message = "a write needs If-None-Match: * or If-Match with a version";
            return Reply::error(StatusCode::BAD_REQUEST, "bad-request", message);
        };
        if call.body.len() > MAX_VALUE_BYTES {
            return Reply::error(StatusCode::PAYLOAD_TOO_LARGE, "too-large", key);
        }
        let (written, delivery) =
            self.apply_write(|store| store.put(key, condition, call.body.clone()));
        match (written, delivery) {
            (WriteOutcome::Done(_), Delivery::Lost) => Reply::Close,
            (WriteOutcome::Done(version), Delivery::Sent) => {
                Reply::empty(status).with("etag", &http::etag(version))
            }
            _ => Reply::error(StatusCode::PRECONDITION_FAILED, "conflict", key),
        }
    }

    fn delete(&self, key: &str, call: &Call) -> Reply {
        let Some(version) = http::if_match(call).and_then(parse_version) else {
            let message = "a delete needs If-Match with a version";
            return Reply::error(StatusCode::BAD_REQUEST, "bad-request", message);
        };
        match self.apply_write(|store| store.delete(key, version)) {
            (WriteOutcome::Done(_), Delivery::Lost) => Reply::Close,
            (WriteOutcome::Done(_), Delivery::Sent) => Reply::empty(StatusCode::NO_CONTENT),
            (WriteOutcome::Conflict, _) => {
                Reply::error(StatusCode::PRECONDITION_FAILED, "conflict", key)
            }
            (WriteOutcome::Missing, _) => Reply::error(StatusCode::NOT_FOUND, "not-found", key),
        }
    }

    fn apply_write(
        &self,
        change: impl FnOnce(&mut Store) -> WriteOutcome,
    ) -> (WriteOutcome, Delivery) {
        let mut state = self.lock();
        state.counts.writes += 1;
        let written = change(&mut state.store);
        if !matches!(written, WriteOutcome::Done(_)) {
            return (written, Delivery::Sent);
        }
        self.revision.send_replace(state.store.revision());
        if state.lose_answers == 0 {
            return (written, Delivery::Sent);
        }
        state.lose_answers -= 1;
        state.counts.lost += 1;
        (written, Delivery::Lost)
    }

    fn list(&self, call: &Call) -> Reply {
        let mut state = self.lock();
        state.counts.lists += 1;
        let limit = call
            .query_number("limit")
            .map_or(usize::MAX, |it| usize::try_from(it).unwrap_or(usize::MAX));
        let (found, more) =
            state
                .store
                .list(call.query_text("prefix"), call.query_text("after"), limit);
        let values = call.query_text("values") == "true";
        let items: Vec<_> = found
            .iter()
            .map(|(key, object)| {
                let mut item = serde_json::json!({"key": key, "version": object.version});
                if values {
                    item["value_base64"] = BASE64_STANDARD.encode(&object.value).into();
                }
                item
            })
            .collect();
        let mut page = serde_json::json!({"items": items, "revision": state.store.revision()});
        if let (true, Some((key, _))) = (more, found.last()) {
            page["next"] = (*key).into();
        }
        Reply::json(StatusCode::OK, &page)
    }

    async fn watch(&self, call: &Call) -> Reply {
        let Some(since) = call.query_number("since") else {
            return Reply::error(StatusCode::BAD_REQUEST, "bad-request", "since is missing");
        };
        self.lock().counts.watches += 1;
        let wait = call
            .query_number("wait_ms")
            .map_or(DEFAULT_WAIT, Duration::from_millis);
        let deadline = tokio::time::Instant::now() + wait.min(MAX_WAIT);
        let mut revision = self.revision.subscribe();
        loop {
            let outage = self.lock().outage;
            match admit_in_outage(outage) {
                Admission::Proceed => {}
                Admission::Respond(reply) => return reply,
                Admission::Hang => return std::future::pending().await,
            }
            let (events, next) = match self.lock().store.changes(call.query_text("prefix"), since) {
                WatchOutcome::Changes(events, next) => (events, next),
                WatchOutcome::Gap => return Reply::error(StatusCode::GONE, "gone", "forgotten"),
            };
            let expired = tokio::time::Instant::now() >= deadline;
            if expired || !events.is_empty() {
                let body = serde_json::json!({"events": events, "revision": next});
                return Reply::json(StatusCode::OK, &body);
            }
            let _ = tokio::time::timeout_at(deadline, revision.changed()).await;
        }
    }
}

fn admit_in_outage(outage: Outage) -> Admission {
    match outage {
        Outage::None => Admission::Proceed,
        Outage::Refuse => {
            let reply = Reply::error(StatusCode::SERVICE_UNAVAILABLE, "outage", "out of service");
            Admission::Respond(reply)
        }
        Outage::Break => Admission::Respond(Reply::Close),
        Outage::Hang => Admission::Hang,
    }
}

fn parse_condition(call: &Call) -> Option<(Condition, StatusCode)> {
    match (call.header("if-none-match"), http::if_match(call)) {
        (Some("*"), None) => Some((Condition::Absent, StatusCode::CREATED)),
        (None, Some(tag)) => Some((Condition::Version(parse_version(tag)?), StatusCode::OK)),
        _ => None,
    }
}

fn parse_version(tag: &str) -> Option<u64> {
    tag.strip_prefix('"')?.strip_suffix('"')?.parse().ok()
}
