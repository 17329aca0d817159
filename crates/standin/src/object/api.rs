//! The HTTP side of the object API and its switches.

use std::{
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use base64::{Engine as _, prelude::BASE64_STANDARD};
use hyper::{Method, StatusCode};
use tokio::sync::watch;

use super::{
    Counts, Switch,
    store::{Condition, Seen, Store, Written},
};
use crate::{
    bucket::Bucket,
    control::Outage,
    http::{self, Call, Reply},
};

/// The largest value in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// The longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// The wait of a watch that names none.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
struct State {
    store: Store,
    counts: Counts,
    outage: Outage,
    lose_answers: u64,
    delay: Duration,
    bucket: Bucket,
}

/// The object API without its socket.
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

/// Whether a call is let through.
enum Gate {
    Pass,
    Stop(Reply),
    Hang,
}

/// Whether the answer to a write is sent.
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
            Switch::History(limit) => state.store.limit_history(limit),
        }
        drop(state);
        // An outage ends watches that are waiting.
        self.revision.send_modify(|_| {});
    }

    /// What was asked so far.
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Answers a call of the object API.
    pub async fn platform(&self, call: Call) -> Reply {
        let delay = self.lock().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        match self.gate() {
            Gate::Pass => self.route(&call).await,
            Gate::Stop(reply) => reply,
            Gate::Hang => std::future::pending().await,
        }
    }

    fn gate(&self) -> Gate {
        let mut state = self.lock();
        if state.outage != Outage::None {
            state.counts.refused += 1;
            return outage(state.outage);
        }
        if !state.bucket.take(Instant::now()) {
            state.counts.throttled += 1;
            let reply = Reply::error(StatusCode::TOO_MANY_REQUESTS, "throttled", "over the rate");
            return Gate::Stop(reply.with("retry-after", "1"));
        }
        Gate::Pass
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
                Reply::new(StatusCode::OK, it.value.clone()).with("etag", &http::tag(it.version))
            }
            None => Reply::error(StatusCode::NOT_FOUND, "not-found", key),
        }
    }

    fn put(&self, key: &str, call: &Call) -> Reply {
        let Some((condition, status)) = condition(call) else {
            let message = "a write needs If-None-Match: * or If-Match with a version";
            return Reply::error(StatusCode::BAD_REQUEST, "bad-request", message);
        };
        if call.body.len() > MAX_VALUE_BYTES {
            return Reply::error(StatusCode::PAYLOAD_TOO_LARGE, "too-large", key);
        }
        let (written, delivery) = self.write(|store| store.put(key, condition, call.body.clone()));
        match (written, delivery) {
            (Written::Done(_), Delivery::Lost) => Reply::Break,
            (Written::Done(version), Delivery::Sent) => {
                Reply::empty(status).with("etag", &http::tag(version))
            }
            _ => Reply::error(StatusCode::PRECONDITION_FAILED, "conflict", key),
        }
    }

    fn delete(&self, key: &str, call: &Call) -> Reply {
        let Some(version) = http::matched(call).and_then(version) else {
            let message = "a delete needs If-Match with a version";
            return Reply::error(StatusCode::BAD_REQUEST, "bad-request", message);
        };
        match self.write(|store| store.delete(key, version)) {
            (Written::Done(_), Delivery::Lost) => Reply::Break,
            (Written::Done(_), Delivery::Sent) => Reply::empty(StatusCode::NO_CONTENT),
            (Written::Conflict, _) => {
                Reply::error(StatusCode::PRECONDITION_FAILED, "conflict", key)
            }
            (Written::Missing, _) => Reply::error(StatusCode::NOT_FOUND, "not-found", key),
        }
    }

    fn write(&self, change: impl FnOnce(&mut Store) -> Written) -> (Written, Delivery) {
        let mut state = self.lock();
        state.counts.writes += 1;
        let written = change(&mut state.store);
        if !matches!(written, Written::Done(_)) {
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
            .number("limit")
            .map_or(usize::MAX, |it| usize::try_from(it).unwrap_or(usize::MAX));
        let (found, more) = state
            .store
            .list(call.text("prefix"), call.text("after"), limit);
        let values = call.text("values") == "true";
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
        let Some(since) = call.number("since") else {
            return Reply::error(StatusCode::BAD_REQUEST, "bad-request", "since is missing");
        };
        self.lock().counts.watches += 1;
        let wait = call
            .number("wait_ms")
            .map_or(DEFAULT_WAIT, Duration::from_millis);
        let deadline = tokio::time::Instant::now() + wait.min(MAX_WAIT);
        let mut revision = self.revision.subscribe();
        loop {
            let kind = self.lock().outage;
            match outage(kind) {
                Gate::Pass => {}
                Gate::Stop(reply) => return reply,
                Gate::Hang => return std::future::pending().await,
            }
            let (events, next) = match self.lock().store.changes(call.text("prefix"), since) {
                Seen::Changes(events, next) => (events, next),
                Seen::Forgotten => return Reply::error(StatusCode::GONE, "gone", "forgotten"),
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

fn outage(kind: Outage) -> Gate {
    match kind {
        Outage::None => Gate::Pass,
        Outage::Refuse => {
            let reply = Reply::error(StatusCode::SERVICE_UNAVAILABLE, "outage", "out of service");
            Gate::Stop(reply)
        }
        Outage::Break => Gate::Stop(Reply::Break),
        Outage::Hang => Gate::Hang,
    }
}

fn condition(call: &Call) -> Option<(Condition, StatusCode)> {
    match (call.header("if-none-match"), http::matched(call)) {
        (Some("*"), None) => Some((Condition::Absent, StatusCode::CREATED)),
        (None, Some(tag)) => Some((Condition::Version(version(tag)?), StatusCode::OK)),
        _ => None,
    }
}

fn version(tag: &str) -> Option<u64> {
    tag.strip_prefix('"')?.strip_suffix('"')?.parse().ok()
}
