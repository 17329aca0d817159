//! Configuration revisions kept for hosts that learn them from this one.

use std::{collections::VecDeque, sync::Mutex};

use config::{
    Document,
    revision::{Number, Record, State},
};
use serde::{Deserialize, Serialize};

/// Revisions that are kept one by one.
const MAX_RECORDS: usize = 1024;

/// Bytes of revisions that are kept one by one.
const MAX_BYTES: usize = 4 << 20;

/// A whole text for a host that is too far behind.
#[derive(Deserialize, Serialize)]
struct Snapshot {
    snapshot: Number,
    text: String,
}

/// What a host sends to one that is behind.
#[derive(Debug)]
pub enum Update {
    /// One accepted edit.
    Record(Record),
    /// A whole text.
    State(State),
}

/// Reads what another host sent; nothing if it can't be understood.
pub fn parse(bytes: &[u8]) -> Option<Update> {
    if let Ok(it) = serde_json::from_slice::<Snapshot>(bytes) {
        let document = config::document::parse("snapshot", it.text.as_bytes()).ok()?;
        return Some(Update::State(State::new(it.snapshot, document)));
    }
    Record::from_json(bytes).ok().map(Update::Record)
}

#[derive(Debug, Default)]
struct Inner {
    records: VecDeque<(Number, Vec<u8>)>,
    bytes: usize,
}

/// The last revisions that this host adopted.
#[derive(Debug, Default)]
pub struct RevisionLog(Mutex<Inner>);

impl RevisionLog {
    /// Keeps an adopted record.
    pub fn push(&self, record: &Record) {
        let bytes = record.to_json();
        let mut inner = self.0.lock().expect("recent lock is poisoned");
        inner.bytes += bytes.len();
        inner.records.push_back((record.number, bytes));
        while inner.records.len() > MAX_RECORDS || inner.bytes > MAX_BYTES {
            let Some((_, bytes)) = inner.records.pop_front() else {
                return;
            };
            inner.bytes -= bytes.len();
        }
    }

    /// Forgets everything: the state was replaced as a whole.
    pub fn clear(&self) {
        *self.0.lock().expect("recent lock is poisoned") = Inner::default();
    }

    /// What brings a host from revision `after` to `number`, whose text is `text`.
    pub fn updates_after(
        &self,
        after: Number,
        current: Number,
        document: &Document,
    ) -> Vec<Vec<u8>> {
        if after >= current {
            return Vec::new();
        }
        let inner = self.0.lock().expect("recent lock is poisoned");
        let first = inner.records.front().map(|it| it.0);
        if first.is_some_and(|it| it <= after.next()) {
            let records = inner.records.iter().filter(|it| it.0 > after);
            return records.map(|it| it.1.clone()).collect();
        }
        let snapshot = Snapshot {
            snapshot: current,
            text: document.to_yaml(),
        };
        vec![serde_json::to_vec(&snapshot).expect("a snapshot is valid JSON")]
    }
}
