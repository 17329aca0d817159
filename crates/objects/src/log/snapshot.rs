//! Snapshots of the configuration document. A snapshot is stored in parts, and the head object
//! names the newest complete snapshot.

use config::{
    Document,
    change::{diff, json_chunks},
    revision::{Number, State},
};
use serde::{Deserialize, Serialize};

use super::{Error, Log, MAX_PART_BYTES, SNAPSHOT_INTERVAL_REVISIONS, build_document, decode, key};
use crate::object::{Failure, Object, Reason, Version};

/// Maximum number of attempts to load a snapshot. An attempt fails if the snapshot is replaced and
/// deleted while its parts are read.
const MAX_LOAD_ATTEMPTS: usize = 3;

/// Describes a complete snapshot.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Descriptor {
    /// The revision of the document.
    number: Number,
    /// The number of parts.
    parts: u32,
}

/// The head object, which names the newest snapshot and the one before it. The latter is kept for
/// hosts that are still reading it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Head {
    newest: Descriptor,
    /// The snapshot before the newest one.
    before: Option<Descriptor>,
}

/// The result of an attempt to write a snapshot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SnapshotOutcome {
    /// The last snapshot is recent enough.
    NotDue,
    /// The snapshot was written.
    Written,
    /// Another host has started to write the same snapshot or has replaced the head.
    Contended,
}

impl Log {
    /// Writes a snapshot if the last one is [`SNAPSHOT_INTERVAL_REVISIONS`] behind. Snapshots only
    /// shorten loading: the log is complete without them.
    pub fn write_snapshot_if_due(&self, state: &State) -> Result<SnapshotOutcome, Error> {
        let head = self.read_head()?;
        let last_number = head
            .as_ref()
            .map_or(Number(0), |(head, _)| head.newest.number);
        if state.number().0 < last_number.0 + SNAPSHOT_INTERVAL_REVISIONS {
            return Ok(SnapshotOutcome::NotDue);
        }
        let Some(parts) = self.write_parts(state)? else {
            return Ok(SnapshotOutcome::Contended);
        };
        let newest = Descriptor {
            number: state.number(),
            parts,
        };
        let head_written = match &head {
            None => self.create_head(newest),
            Some((head, version)) => self.update_head(*head, *version, newest),
        };
        match head_written {
            Ok(_) => {}
            Err(Failure::Conflict { .. }) => return Ok(SnapshotOutcome::Contended),
            Err(failure) => return Err(failure.into()),
        }
        if let Some(old) = head.and_then(|(head, _)| head.before) {
            self.delete_parts(old)?;
        }
        Ok(SnapshotOutcome::Written)
    }

    /// Loads the newest snapshot, or returns the empty document if there is none.
    pub(super) fn load_snapshot(&self) -> Result<State, Error> {
        let mut missing = None;
        for _ in 0..MAX_LOAD_ATTEMPTS {
            let Some((head, _)) = self.read_head()? else {
                return Ok(State::default());
            };
            match self.read_parts(head.newest) {
                Err(Error::MissingObject { key }) => missing = Some(Error::MissingObject { key }),
                other => return other,
            }
        }
        Err(missing.unwrap_or(Error::MissingObject {
            key: key::HEAD.to_owned(),
        }))
    }

    fn read_head(&self) -> Result<Option<(Head, Version)>, Error> {
        let Some(Object { version, value }) = self.store.get(Reason::Config, key::HEAD)? else {
            return Ok(None);
        };
        Ok(Some((decode(key::HEAD, &value)?, version)))
    }

    fn read_parts(&self, snapshot: Descriptor) -> Result<State, Error> {
        let mut changes = Vec::new();
        for part in 0..snapshot.parts {
            let key = key::snapshot(snapshot.number, part);
            changes.extend(self.read_changes(&key)?);
        }
        let document = build_document(snapshot.number, &changes)?;
        Ok(State::new(snapshot.number, document))
    }

    /// Writes the parts and returns their number, or `None` if another host has started to write
    /// them.
    fn write_parts(&self, state: &State) -> Result<Option<u32>, Error> {
        let changes = diff(&Document::default(), state.document());
        let chunks = json_chunks(&changes, MAX_PART_BYTES);
        for (part, chunk) in (0..).zip(&chunks) {
            let key = key::snapshot(state.number(), part);
            match self.store.create(Reason::Config, &key, chunk) {
                Ok(_) => {}
                Err(Failure::Conflict { .. }) => return Ok(None),
                Err(failure) => return Err(failure.into()),
            }
        }
        Ok(u32::try_from(chunks.len()).ok())
    }

    fn create_head(&self, newest: Descriptor) -> Result<Version, Failure> {
        let head = Head {
            newest,
            before: None,
        };
        let value = serde_json::to_vec(&head).expect("a head can be encoded as JSON");
        self.store.create(Reason::Config, key::HEAD, &value)
    }

    fn update_head(
        &self,
        head: Head,
        version: Version,
        newest: Descriptor,
    ) -> Result<Version, Failure> {
        let head = Head {
            newest,
            before: Some(head.newest),
        };
        let value = serde_json::to_vec(&head).expect("a head can be encoded as JSON");
        self.store
            .update(Reason::Config, key::HEAD, version, &value)
    }

    fn delete_parts(&self, snapshot: Descriptor) -> Result<(), Error> {
        for part in 0..snapshot.parts {
            let key = key::snapshot(snapshot.number, part);
            if let Some(object) = self.store.get(Reason::Config, &key)? {
                self.store.delete(Reason::Config, &key, object.version)?;
            }
        }
        Ok(())
    }
}
