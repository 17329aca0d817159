//! What was decided for recent requests and why, for `comfreywing explain`.

use std::{
    collections::{HashMap, VecDeque},
    sync::Mutex,
    time::Instant,
};

use kernel::request::Id;
use serde::Serialize;

/// Requests that are remembered.
const MAX_REQUESTS: usize = 10_000;

/// Steps that are remembered of one request.
const MAX_STEPS: usize = 64;

/// One decision.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Step {
    /// Milliseconds since the request arrived.
    pub at_ms: u64,
    /// What was decided and why.
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

/// The steps of recent requests; the oldest request is forgotten first.
#[derive(Debug, Default)]
pub struct Trace {
    inner: Mutex<Inner>,
}

impl Trace {
    /// Begins the record of a request. A repeated id goes on with the same record.
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

    /// Adds a step to the record of a request.
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

    /// The steps of a request, unless it is unknown or forgotten.
    pub fn steps(&self, id: &str) -> Option<Vec<Step>> {
        let id: Id = id.parse().ok()?;
        let inner = self.inner.lock().expect("trace lock is poisoned");
        inner.records.get(&id).map(|it| it.steps.clone())
    }
}
