//! The objects and their history, without I/O.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The version of an object: the store-wide revision of its last write.
pub type Version = u64;

/// Changes that are kept for watches unless switched.
pub const DEFAULT_HISTORY: usize = 10_000;

/// Most entries of a page.
pub const MAX_PAGE_ITEMS: usize = 1000;

/// Values of a page in bytes, after which it ends.
pub const MAX_PAGE_BYTES: usize = 4 << 20;

/// Most changes in one answer to a watch.
pub const MAX_EVENTS: usize = 1000;

/// A value with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// The version.
    pub version: Version,
    /// The value.
    pub value: Bytes,
}

/// What a write requires.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// The object is absent.
    Absent,
    /// The object has this version.
    Version(Version),
}

/// What came of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Written {
    /// It took effect as this version.
    Done(Version),
    /// The condition doesn't hold.
    Conflict,
    /// A delete found no object.
    Missing,
}

/// What happened to an object.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// It was written.
    Put,
    /// It was deleted.
    Delete,
}

/// A change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// What happened.
    pub kind: Kind,
    /// The object.
    pub key: String,
    /// The revision of the change.
    pub version: Version,
}

/// What a watch finds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Seen {
    /// Changes, and the revision to watch from next.
    Changes(Vec<Event>, Version),
    /// The changes are forgotten.
    Forgotten,
}

/// The objects.
#[derive(Clone, Debug)]
pub struct Store {
    objects: BTreeMap<String, Object>,
    history: VecDeque<Event>,
    history_limit: usize,
    forgotten: Version,
    revision: Version,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            objects: BTreeMap::new(),
            history: VecDeque::new(),
            history_limit: DEFAULT_HISTORY,
            forgotten: 0,
            revision: 0,
        }
    }
}

impl Store {
    /// The revision of the last write.
    pub fn revision(&self) -> Version {
        self.revision
    }

    /// Reads an object.
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Writes an object if a condition holds.
    pub fn put(&mut self, key: &str, condition: Condition, value: Bytes) -> Written {
        let found = self.objects.get(key).map(|it| it.version);
        let holds = match condition {
            Condition::Absent => found.is_none(),
            Condition::Version(version) => found == Some(version),
        };
        if !holds {
            return Written::Conflict;
        }
        let version = self.record(Kind::Put, key);
        self.objects
            .insert(key.to_owned(), Object { version, value });
        Written::Done(version)
    }

    /// Deletes an object that has a version.
    pub fn delete(&mut self, key: &str, version: Version) -> Written {
        match self.objects.get(key) {
            None => Written::Missing,
            Some(it) if it.version != version => Written::Conflict,
            Some(_) => {
                self.objects.remove(key);
                Written::Done(self.record(Kind::Delete, key))
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
        self.trim();
        self.revision
    }

    /// Keeps at most this many changes for watches.
    pub fn limit_history(&mut self, limit: usize) {
        self.history_limit = limit;
        self.trim();
    }

    fn trim(&mut self) {
        while self.history.len() > self.history_limit {
            let dropped = self.history.pop_front();
            self.forgotten = dropped.map_or(self.forgotten, |it| it.version);
        }
    }

    /// Lists objects below a prefix and after a key; the second value tells whether more follow.
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

    /// The changes below a prefix after a revision.
    pub fn changes(&self, prefix: &str, since: Version) -> Seen {
        if since < self.forgotten || since > self.revision {
            return Seen::Forgotten;
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
        Seen::Changes(events, revision)
    }
}
