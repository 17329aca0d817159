//! The objects and the history of their changes, without I/O.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Version of an object: the store-wide revision of its last write.
pub type Version = u64;

/// Default number of changes that are retained for watches.
pub const DEFAULT_HISTORY: usize = 10_000;

/// Maximum number of objects in a page of a list.
pub const MAX_PAGE_ITEMS: usize = 1000;

/// Total size of the values in a page of a list at which the page ends.
pub const MAX_PAGE_BYTES: usize = 4 << 20;

/// Maximum number of changes in a response to a watch.
pub const MAX_EVENTS: usize = 1000;

/// A value with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// The version.
    pub version: Version,
    /// The value.
    pub value: Bytes,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(Version),
}

/// Outcome of a write or delete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The change took effect at this revision.
    Done(Version),
    /// The precondition failed.
    Conflict,
    /// The object to delete does not exist.
    Missing,
}

/// Kind of a change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The object was written.
    Put,
    /// The object was deleted.
    Delete,
}

/// A change of an object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// The kind of the change.
    pub kind: Kind,
    /// The key of the object.
    pub key: String,
    /// The revision of the change.
    pub version: Version,
}

/// Outcome of a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchOutcome {
    /// The changes, and the revision from which to watch next.
    Changes(Vec<Event>, Version),
    /// Changes after the given revision were dropped from the history, or the store never had that
    /// revision.
    Gap,
}

/// The objects and the retained part of their history.
#[derive(Clone, Debug)]
pub struct Store {
    objects: BTreeMap<String, Object>,
    history: VecDeque<Event>,
    history_limit: usize,
    /// The revision of the last change that was dropped from the history.
    expired_revision: Version,
    revision: Version,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            objects: BTreeMap::new(),
            history: VecDeque::new(),
            history_limit: DEFAULT_HISTORY,
            expired_revision: 0,
            revision: 0,
        }
    }
}

impl Store {
    /// Returns the revision of the last change.
    pub fn revision(&self) -> Version {
        self.revision
    }

    /// Returns an object.
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Writes an object if the precondition holds.
    pub fn put(&mut self, key: &str, condition: Condition, value: Bytes) -> WriteOutcome {
        let found = self.objects.get(key).map(|it| it.version);
        let holds = match condition {
            Condition::Absent => found.is_none(),
            Condition::Version(version) => found == Some(version),
        };
        if !holds {
            return WriteOutcome::Conflict;
        }
        let version = self.record(Kind::Put, key);
        self.objects
            .insert(key.to_owned(), Object { version, value });
        WriteOutcome::Done(version)
    }

    /// Deletes an object if it has the given version.
    pub fn delete(&mut self, key: &str, version: Version) -> WriteOutcome {
        match self.objects.get(key) {
            None => WriteOutcome::Missing,
            Some(it) if it.version != version => WriteOutcome::Conflict,
            Some(_) => {
                self.objects.remove(key);
                WriteOutcome::Done(self.record(Kind::Delete, key))
            }
        }
    }

    fn record(&mut self, kind: Kind, key: &str) -> Version {
        self.revision += 1;
        self.history.push_back(Event {
            kind,
            key: key.to_owned(),
            version: self.revision,
        });
        self.trim_history();
        self.revision
    }

    /// Sets the number of changes that are retained for watches.
    pub fn set_history_limit(&mut self, limit: usize) {
        self.history_limit = limit;
        self.trim_history();
    }

    fn trim_history(&mut self) {
        while self.history.len() > self.history_limit {
            let dropped = self.history.pop_front();
            self.expired_revision = dropped.map_or(self.expired_revision, |it| it.version);
        }
    }

    /// Lists the objects whose keys start with a prefix and follow a key. The second value is true
    /// if more objects follow.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> (Vec<(&str, &Object)>, bool) {
        let limit = limit.clamp(1, MAX_PAGE_ITEMS);
        let mut found = Vec::new();
        let mut bytes = 0;
        for (key, object) in self.objects.range(prefix.to_owned()..) {
            if !key.starts_with(prefix) {
                break;
            }
            if !after.is_empty() && key.as_str() <= after {
                continue;
            }
            if found.len() == limit || bytes >= MAX_PAGE_BYTES {
                return (found, true);
            }
            bytes += object.value.len();
            found.push((key.as_str(), object));
        }
        (found, false)
    }

    /// Returns the changes after a revision of objects whose keys start with a prefix.
    pub fn changes(&self, prefix: &str, since: Version) -> WatchOutcome {
        if since < self.expired_revision || since > self.revision {
            return WatchOutcome::Gap;
        }
        let start = self.history.partition_point(|it| it.version <= since);
        let events: Vec<Event> = self
            .history
            .range(start..)
            .filter(|it| it.key.starts_with(prefix))
            .take(MAX_EVENTS)
            .cloned()
            .collect();
        let revision = match events.last() {
            Some(last) if events.len() == MAX_EVENTS => last.version,
            _ => self.revision,
        };
        WatchOutcome::Changes(events, revision)
    }
}
