//! Traces of recent requests for `comfreywing explain`: the decisions and their reasons.

use std::{
    collections::{HashMap, VecDeque},
    sync::Mutex,
    time::Instant,
};

use kernel::request::Id;
use serde::Serialize;

/// Maximum number of traced requests.
const MAX_REQUESTS: usize = 10_000;

/// Maximum number of steps per request.
const MAX_STEPS: usize = 64;

/// A step in the processing of a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Step {
    /// Milliseconds since the request arrived.
    pub at_ms: u64,
    /// The decision and its reason.
    pub what: String,
}

#[derive(Debug)]
struct Record {
    start: Instant,
    steps: Vec<Step>,
}

#[derive(Debug, Default)]
struct Inner {
    records: HashMap<Id, Record>,
    order: VecDeque<Id>,
}

/// The steps of recent requests. When full, the oldest request is dropped.
#[derive(Debug, Default)]
pub struct Trace {
    inner: Mutex<Inner>,
}

impl Trace {
    /// Starts the trace of a request. If the id is already traced, its trace is continued.
    pub fn begin(&self, id: &Id, now: Instant) {
        let mut inner = self.inner.lock().expect("trace lock is poisoned");
        if inner.records.contains_key(id) {
            return;
        }
        if inner.order.len() == MAX_REQUESTS
            && let Some(oldest) = inner.order.pop_front()
        {
            inner.records.remove(&oldest);
        }
        inner.order.push_back(id.clone());
        let record = Record {
            start: now,
            steps: Vec::new(),
        };
        inner.records.insert(id.clone(), record);
    }

    /// Adds a step to the trace of a request.
    pub fn step(&self, id: &Id, now: Instant, what: impl Into<String>) {
        let mut inner = self.inner.lock().expect("trace lock is poisoned");
        let Some(record) = inner.records.get_mut(id) else {
            return;
        };
        if record.steps.len() == MAX_STEPS {
            return;
        }
        let elapsed = now.saturating_duration_since(record.start).as_millis();
        record.steps.push(Step {
            at_ms: u64::try_from(elapsed).unwrap_or(u64::MAX),
            what: what.into(),
        });
    }

    /// Returns the steps of a request, if it is traced.
    pub fn steps(&self, id: &str) -> Option<Vec<Step>> {
        let id: Id = id.parse().ok()?;
        let inner = self.inner.lock().expect("trace lock is poisoned");
        inner.records.get(&id).map(|it| it.steps.clone())
    }
}
