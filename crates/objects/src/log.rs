//! The configuration log: accepted edits as objects that are created only if absent, and
//! snapshots of the text that they add up to.

mod key;
mod snapshot;

pub use self::snapshot::SnapshotOutcome;

use std::sync::Arc;

use config::{
    Document,
    change::{self, Change, Invalid},
    revision::{DecodeError, EditId, Number, Outcome, Record, State},
};
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};

use crate::object::{Continuation, Failure, MAX_VALUE_BYTES, Reason, Store};

/// The largest part of a long edit or of a snapshot, in bytes.
pub const MAX_PART_BYTES: usize = MAX_VALUE_BYTES - 64 * 1024;

/// The largest changes of an edit that are stored in its record, in bytes.
pub const MAX_INLINE_BYTES: usize = 64 * 1024;

/// A snapshot is due when the log has this many revisions above the last one.
pub const SNAPSHOT_REVISIONS: u64 = 512;

/// Records read by one list call.
const PAGE_RECORDS: usize = 64;

/// How often an append whose outcome is unknown is tried in all.
const APPEND_ATTEMPTS: usize = 4;

/// The log, as readers and writers see it.
#[derive(Clone)]
pub struct Log {
    store: Arc<dyn Store>,
}

/// Why the log could not be read or written.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A call to the platform failed.
    #[display("{_0}")]
    Store(Failure),
    /// An object can't be understood.
    #[display("the object {key} can't be read: {reason}")]
    #[from(skip)]
    Unreadable {
        /// The object.
        key: String,
        /// Why.
        reason: DecodeError,
    },
    /// An object that another one names is absent.
    #[display("the object {key} is missing")]
    #[from(skip)]
    MissingObject {
        /// The object.
        #[error(not(source))]
        key: String,
    },
    /// The log has a hole.
    #[display("revision {expected} is missing in the log: {found} follows")]
    #[from(skip)]
    MissingRevision {
        /// The revision that should follow.
        expected: Number,
        /// The revision that follows.
        found: Number,
    },
    /// The changes of a revision do not fit the text before it.
    #[display("revision {number} does not fit the text before it: {reason}")]
    #[from(skip)]
    InapplicableChanges {
        /// The revision.
        number: Number,
        /// Why.
        reason: Invalid,
    },
}

/// What became of an edit.
#[derive(Clone, Debug, PartialEq)]
pub enum AppendOutcome {
    /// It is in the log and stays there.
    Accepted,
    /// Another edit took its number; this one has not taken effect and never will.
    Conflict {
        /// The edit that took the number.
        theirs: Record,
    },
    /// It may be in the log or may still get there.
    Unknown {
        /// What was seen last.
        reason: String,
    },
}

/// A record as it is stored.
#[derive(Deserialize, Serialize)]
struct Stored {
    #[serde(flatten)]
    record: Record,
    /// In how many parts the changes are stored apart; 0 if they are in the record.
    #[serde(default)]
    parts: u32,
}

impl Log {
    /// A log over the platform's objects.
    pub fn new(store: Arc<dyn Store>) -> Self {
        Self { store }
    }

    /// The highest revision and its text: the newest snapshot and the records above it.
    pub fn load(&self) -> Result<State, Error> {
        let mut state = self.load_snapshot()?;
        for record in self.fetch_after(state.number())? {
            adopt(&mut state, &record)?;
        }
        Ok(state)
    }

    /// Every record above `number`, in order, without holes.
    pub fn fetch_after(&self, number: Number) -> Result<Vec<Record>, Error> {
        let mut records: Vec<Record> = Vec::new();
        let mut last = number;
        loop {
            let after = key::record(last);
            let prefix = key::RECORDS;
            let page = self
                .store
                .list(Reason::Config, prefix, &after, PAGE_RECORDS)?;
            for item in page.items {
                let record = self.read_record(&item.key, &item.value)?;
                if record.number != last.next() {
                    return Err(Error::MissingRevision {
                        expected: last.next(),
                        found: record.number,
                    });
                }
                last = record.number;
                records.push(record);
            }
            if page.more == Continuation::End {
                return Ok(records);
            }
        }
    }

    /// Appends an edit under its number. A lost answer is settled by reading back, and by trying
    /// again under the same condition while the number is still free.
    pub fn append(&self, record: &Record) -> Result<AppendOutcome, Error> {
        let value = self.store_changes(record)?;
        let key = key::record(record.number);
        let mut seen = Certainty::NotWritten;
        for _ in 0..APPEND_ATTEMPTS {
            match self.store.create(Reason::Config, &key, &value) {
                Ok(_) => return Ok(AppendOutcome::Accepted),
                Err(Failure::Conflict { .. }) => {}
                Err(Failure::Unknown { reason }) => seen = Certainty::Unknown(reason),
                Err(failure) => return seen.give_up(failure),
            }
            match self.read_back(&key, record.edit) {
                Ok(Some(appended)) => return Ok(appended),
                // The number is free, but the write may still be on its way: only another
                // conditional write can tell.
                Ok(None) => {}
                Err(Error::Store(failure)) => seen = Certainty::Unknown(failure.to_string()),
                Err(error) => return Err(error),
            }
        }
        seen.give_up(Failure::Unavailable {
            reason: format!("{key} is neither written nor taken"),
        })
    }

    fn read_back(&self, key: &str, edit: EditId) -> Result<Option<AppendOutcome>, Error> {
        let Some(object) = self.store.get(Reason::Config, key)? else {
            return Ok(None);
        };
        let theirs = self.read_record(key, &object.value)?;
        if theirs.edit == edit {
            return Ok(Some(AppendOutcome::Accepted));
        }
        Ok(Some(AppendOutcome::Conflict { theirs }))
    }

    /// The bytes of a record. The changes of a long edit are stored apart before it.
    fn store_changes(&self, record: &Record) -> Result<Vec<u8>, Error> {
        let mut stored = Stored {
            record: record.clone(),
            parts: 0,
        };
        let chunks = change::json_chunks(&record.changes, MAX_PART_BYTES);
        let bytes: usize = chunks.iter().map(Vec::len).sum();
        if bytes > MAX_INLINE_BYTES {
            stored.record.changes.clear();
            stored.parts = u32::try_from(chunks.len()).expect("a text has few parts");
            for (part, chunk) in (0..).zip(&chunks) {
                self.create_once(&key::edit(record.edit, part), chunk)?;
            }
        }
        Ok(serde_json::to_vec(&stored).expect("a record has only strings as keys"))
    }

    /// Creates an object that nobody else writes, so that one that exists is our own.
    fn create_once(&self, key: &str, value: &[u8]) -> Result<(), Error> {
        let mut last = None;
        for _ in 0..APPEND_ATTEMPTS {
            match self.store.create(Reason::Config, key, value) {
                Ok(_) | Err(Failure::Conflict { .. }) => return Ok(()),
                Err(failure @ Failure::Unknown { .. }) => last = Some(failure),
                Err(failure) => return Err(failure.into()),
            }
        }
        let reason = last.map(|it| it.to_string()).unwrap_or_default();
        Err(Failure::Unavailable { reason }.into())
    }

    fn read_record(&self, key: &str, value: &[u8]) -> Result<Record, Error> {
        let stored: Stored = read(key, value)?;
        let mut record = stored.record;
        for part in 0..stored.parts {
            let key = key::edit(record.edit, part);
            record.changes.extend(self.read_changes(&key)?);
        }
        Ok(record)
    }

    fn read_changes(&self, key: &str) -> Result<Vec<Change>, Error> {
        let Some(object) = self.store.get(Reason::Config, key)? else {
            let key = key.to_owned();
            return Err(Error::MissingObject { key });
        };
        change::from_json(&object.value).map_err(|reason| Error::Unreadable {
            key: key.to_owned(),
            reason,
        })
    }
}

/// Whether a write may have taken effect, as far as earlier attempts tell.
enum Certainty {
    NotWritten,
    Unknown(String),
}

impl Certainty {
    fn give_up(self, failure: Failure) -> Result<AppendOutcome, Error> {
        match self {
            Self::NotWritten => Err(failure.into()),
            Self::Unknown(reason) => Ok(AppendOutcome::Unknown { reason }),
        }
    }
}

fn adopt(state: &mut State, record: &Record) -> Result<(), Error> {
    match state.adopt(record) {
        Outcome::Adopted | Outcome::Stale => Ok(()),
        Outcome::Gap { current, offered } => Err(Error::MissingRevision {
            expected: current.next(),
            found: offered,
        }),
        Outcome::Rejected(reason) => Err(Error::InapplicableChanges {
            number: record.number,
            reason,
        }),
    }
}

fn text_of(number: Number, changes: &[Change]) -> Result<Document, Error> {
    let text = Document::default().with_changes(changes);
    text.map_err(|reason| Error::InapplicableChanges { number, reason })
}

fn read<'a, T: Deserialize<'a>>(key: &str, value: &'a [u8]) -> Result<T, Error> {
    serde_json::from_slice(value).map_err(|source| Error::Unreadable {
        key: key.to_owned(),
        reason: DecodeError {
            expected: "record of the log",
            source,
        },
    })
}
