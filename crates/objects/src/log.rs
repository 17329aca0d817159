//! The configuration log. Each accepted edit is an object that is created only if absent; snapshots
//! store the document that results from the edits.

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

/// Maximum size of a part of a long edit or of a snapshot.
pub const MAX_PART_BYTES: usize = MAX_VALUE_BYTES - 64 * 1024;

/// Maximum size of the changes that are stored in the record of an edit. Larger changes are stored
/// in separate parts.
pub const MAX_INLINE_BYTES: usize = 64 * 1024;

/// Number of revisions after the last snapshot at which the next one is due.
pub const SNAPSHOT_INTERVAL_REVISIONS: u64 = 512;

/// Maximum number of records that one list call returns.
const MAX_PAGE_RECORDS: usize = 64;

/// Maximum number of attempts to create an object while the outcome is unknown.
const MAX_CREATE_ATTEMPTS: usize = 4;

/// The client of the configuration log, for readers and writers.
#[derive(Clone)]
pub struct Log {
    store: Arc<dyn Store>,
}

/// An error of reading or writing the log.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A call to the platform failed.
    #[display("{_0}")]
    Store(Failure),
    /// An object can't be decoded.
    #[display("the object {key} can't be read: {reason}")]
    #[from(skip)]
    Unreadable {
        /// The key of the object.
        key: String,
        /// The decoding error.
        reason: DecodeError,
    },
    /// An object to which another object refers does not exist.
    #[display("the object {key} is missing")]
    #[from(skip)]
    MissingObject {
        /// The key of the object.
        #[error(not(source))]
        key: String,
    },
    /// A revision is missing in the sequence of the log.
    #[display("revision {expected} is missing in the log: {found} follows")]
    #[from(skip)]
    MissingRevision {
        /// The revision that should come next.
        expected: Number,
        /// The revision that comes next.
        found: Number,
    },
    /// The changes of a revision do not apply to the document of the revision before it.
    #[display("the changes of revision {number} do not apply to the document before it: {reason}")]
    #[from(skip)]
    InapplicableChanges {
        /// The revision.
        number: Number,
        /// The invalid change.
        reason: Invalid,
    },
}

/// The outcome of appending an edit.
#[derive(Clone, Debug, PartialEq)]
pub enum AppendOutcome {
    /// The edit is in the log permanently.
    Accepted,
    /// Another edit has the same revision number. The appended edit has no effect, now or later.
    Conflict {
        /// The record of the other edit.
        theirs: Record,
    },
    /// The edit may be in the log, or may still reach it.
    Unknown {
        /// Description of the last failure.
        reason: String,
    },
}

/// The JSON of a record.
#[derive(Deserialize, Serialize)]
struct Stored {
    #[serde(flatten)]
    record: Record,
    /// The number of separate objects that contain the changes; 0 if the record contains them.
    #[serde(default)]
    parts: u32,
}

impl Log {
    /// Creates a log that is stored in `store`.
    pub fn new(store: Arc<dyn Store>) -> Self {
        Self { store }
    }

    /// Loads the last revision with its document, from the newest snapshot and the records after
    /// it.
    pub fn load(&self) -> Result<State, Error> {
        let mut state = self.load_snapshot()?;
        for record in self.fetch_after(state.number())? {
            apply_record(&mut state, &record)?;
        }
        Ok(state)
    }

    /// Returns all records after `number` in order, or an error if one is missing.
    pub fn fetch_after(&self, number: Number) -> Result<Vec<Record>, Error> {
        let mut records: Vec<Record> = Vec::new();
        let mut last_number = number;
        loop {
            let after = key::record(last_number);
            let prefix = key::RECORDS;
            let page = self
                .store
                .list(Reason::Config, prefix, &after, MAX_PAGE_RECORDS)?;
            for item in page.items {
                let record = self.read_record(&item.key, &item.value)?;
                if record.number != last_number.next() {
                    return Err(Error::MissingRevision {
                        expected: last_number.next(),
                        found: record.number,
                    });
                }
                last_number = record.number;
                records.push(record);
            }
            if page.more == Continuation::End {
                return Ok(records);
            }
        }
    }

    /// Appends an edit under its number. After a write with unknown outcome, reads the record back,
    /// and repeats the conditional write if there is none.
    pub fn append(&self, record: &Record) -> Result<AppendOutcome, Error> {
        let value = self.encode_record(record)?;
        let key = key::record(record.number);
        let mut prior = PriorAttempts::NoEffect;
        for _ in 0..MAX_CREATE_ATTEMPTS {
            match self.store.create(Reason::Config, &key, &value) {
                Ok(_) => return Ok(AppendOutcome::Accepted),
                Err(Failure::Conflict { .. }) => {}
                Err(Failure::Unknown { reason }) => prior = PriorAttempts::Unknown(reason),
                Err(failure) => return prior.into_outcome(failure),
            }
            match self.read_back(&key, record.edit) {
                Ok(Some(appended)) => return Ok(appended),
                // There is no record, but the write may still reach the platform. Only another
                // conditional write can determine the outcome.
                Ok(None) => {}
                Err(Error::Store(failure)) => prior = PriorAttempts::Unknown(failure.to_string()),
                Err(error) => return Err(error),
            }
        }
        prior.into_outcome(Failure::Unavailable {
            reason: format!(
                "{key} does not exist after {MAX_CREATE_ATTEMPTS} attempts to create it"
            ),
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

    /// Encodes a record. The changes of a long edit are stored in separate objects first.
    fn encode_record(&self, record: &Record) -> Result<Vec<u8>, Error> {
        let mut stored = Stored {
            record: record.clone(),
            parts: 0,
        };
        let chunks = change::json_chunks(&record.changes, MAX_PART_BYTES);
        let bytes: usize = chunks.iter().map(Vec::len).sum();
        if bytes > MAX_INLINE_BYTES {
            stored.record.changes.clear();
            stored.parts =
                u32::try_from(chunks.len()).expect("the number of parts fits into 32 bits");
            for (part, chunk) in (0..).zip(&chunks) {
                self.create_once(&key::edit(record.edit, part), chunk)?;
            }
        }
        Ok(serde_json::to_vec(&stored).expect("a record can be encoded as JSON"))
    }

    /// Creates an object that no other writer creates: if the object exists, an earlier attempt
    /// has created it.
    fn create_once(&self, key: &str, value: &[u8]) -> Result<(), Error> {
        let mut last_failure = None;
        for _ in 0..MAX_CREATE_ATTEMPTS {
            match self.store.create(Reason::Config, key, value) {
                Ok(_) | Err(Failure::Conflict { .. }) => return Ok(()),
                Err(failure @ Failure::Unknown { .. }) => last_failure = Some(failure),
                Err(failure) => return Err(failure.into()),
            }
        }
        let reason = last_failure.map(|it| it.to_string()).unwrap_or_default();
        Err(Failure::Unavailable { reason }.into())
    }

    fn read_record(&self, key: &str, value: &[u8]) -> Result<Record, Error> {
        let stored: Stored = decode(key, value)?;
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

/// The outcome of the prior attempts of a write.
enum PriorAttempts {
    /// No attempt had an effect.
    NoEffect,
    /// An attempt may have taken effect; holds the cause.
    Unknown(String),
}

impl PriorAttempts {
    /// Returns the outcome of a write whose last attempt failed without effect.
    fn into_outcome(self, failure: Failure) -> Result<AppendOutcome, Error> {
        match self {
            Self::NoEffect => Err(failure.into()),
            Self::Unknown(reason) => Ok(AppendOutcome::Unknown { reason }),
        }
    }
}

fn apply_record(state: &mut State, record: &Record) -> Result<(), Error> {
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

fn build_document(number: Number, changes: &[Change]) -> Result<Document, Error> {
    let document = Document::default().with_changes(changes);
    document.map_err(|reason| Error::InapplicableChanges { number, reason })
}

fn decode<'a, T: Deserialize<'a>>(key: &str, value: &'a [u8]) -> Result<T, Error> {
    serde_json::from_slice(value).map_err(|source| Error::Unreadable {
        key: key.to_owned(),
        reason: DecodeError {
            expected: "record of the log",
            source,
        },
    })
}
