//! Recently adopted configuration revisions, kept for hosts that fall behind.

use std::{collections::VecDeque, sync::Mutex};

use config::{
    Document,
    revision::{Number, Record, State},
};
use serde::{Deserialize, Serialize};

/// Maximum number of records that are kept.
const MAX_RECORDS: usize = 1024;

/// Maximum total size of the kept records.
const MAX_BYTES: usize = 4 << 20;

/// A complete configuration for a host that is too far behind for single records.
#[derive(Deserialize, Serialize)]
struct Snapshot {
    snapshot: Number,
    text: String,
}

/// An update that a host sends to one that is behind.
#[derive(Debug)]
pub enum Update {
    /// One accepted edit.
    Record(Record),
    /// A complete configuration.
    State(State),
}

/// Parses an update of another host. Returns `None` if it is invalid.
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

/// The records of the last adopted revisions.
#[derive(Debug, Default)]
pub struct RevisionLog(Mutex<Inner>);

impl RevisionLog {
    /// Appends an adopted record and drops the oldest ones above the size limits.
    pub fn push(&self, record: &Record) {
        let bytes = record.to_json();
        let mut inner = self.0.lock().expect("revision log lock is poisoned");
        inner.bytes += bytes.len();
        inner.records.push_back((record.number, bytes));
        while inner.records.len() > MAX_RECORDS || inner.bytes > MAX_BYTES {
            let Some((_, bytes)) = inner.records.pop_front() else {
                return;
            };
            inner.bytes -= bytes.len();
        }
    }

    /// Drops all records, after the whole configuration was replaced.
    pub fn clear(&self) {
        *self.0.lock().expect("revision log lock is poisoned") = Inner::default();
    }

    /// Returns the updates that bring a host from revision `after` to revision `current`, whose
    /// configuration is `document`.
    pub fn updates_after(
        &self,
        after: Number,
        current: Number,
        document: &Document,
    ) -> Vec<Vec<u8>> {
        if after >= current {
            return Vec::new();
        }
        let inner = self.0.lock().expect("revision log lock is poisoned");
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
