//! Snapshots: the whole text in parts, and the object that names the newest complete one.

use config::{
    Document,
    change::{diff, json_chunks},
    revision::{Number, State},
};
use serde::{Deserialize, Serialize};

use super::{Error, Log, MAX_PART_BYTES, SNAPSHOT_REVISIONS, key, read, text_of};
use crate::object::{Failure, Object, Reason, Version};

/// How often a load starts again because its snapshot was replaced meanwhile.
const LOAD_ATTEMPTS: usize = 3;

/// A complete snapshot.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Complete {
    number: Number,
    parts: u32,
}

/// The newest snapshot, and the one before it for those who are still reading that.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Head {
    newest: Complete,
    before: Option<Complete>,
}

/// What a host does about a snapshot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SnapshotOutcome {
    /// The last one is recent enough.
    NotDue,
    /// It was written.
    Written,
    /// Another host writes it.
    Contended,
}

impl Log {
    /// Writes a snapshot if the last one is [`SNAPSHOT_REVISIONS`] behind. The log is complete
    /// without it; it makes loading shorter.
    pub fn write_snapshot_if_due(&self, state: &State) -> Result<SnapshotOutcome, Error> {
        let head = self.read_head()?;
        let last = head
            .as_ref()
            .map_or(Number(0), |(head, _)| head.newest.number);
        if state.number().0 < last.0 + SNAPSHOT_REVISIONS {
            return Ok(SnapshotOutcome::NotDue);
        }
        let Some(parts) = self.write_parts(state)? else {
            return Ok(SnapshotOutcome::Contended);
        };
        let newest = Complete {
            number: state.number(),
            parts,
        };
        let moved = match &head {
            None => self.create_head(newest),
            Some((head, version)) => self.move_head(*head, *version, newest),
        };
        match moved {
            Ok(_) => {}
            Err(Failure::Conflict { .. }) => return Ok(SnapshotOutcome::Contended),
            Err(failure) => return Err(failure.into()),
        }
        if let Some(old) = head.and_then(|(head, _)| head.before) {
            self.delete_parts(old)?;
        }
        Ok(SnapshotOutcome::Written)
    }

    /// The newest snapshot; the empty text before the first one.
    pub(super) fn load_snapshot(&self) -> Result<State, Error> {
        let mut missing = None;
        for _ in 0..LOAD_ATTEMPTS {
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
        Ok(Some((read(key::HEAD, &value)?, version)))
    }

    fn read_parts(&self, snapshot: Complete) -> Result<State, Error> {
        let mut changes = Vec::new();
        for part in 0..snapshot.parts {
            let key = key::snapshot(snapshot.number, part);
            changes.extend(self.read_changes(&key)?);
        }
        let text = text_of(snapshot.number, &changes)?;
        Ok(State::new(snapshot.number, text))
    }

    /// Writes the parts; nothing if another host has begun to write them.
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

    fn create_head(&self, newest: Complete) -> Result<Version, Failure> {
        let head = Head {
            newest,
            before: None,
        };
        let value = serde_json::to_vec(&head).expect("a head has only strings as keys");
        self.store.create(Reason::Config, key::HEAD, &value)
    }

    fn move_head(
        &self,
        head: Head,
        version: Version,
        newest: Complete,
    ) -> Result<Version, Failure> {
        let head = Head {
            newest,
            before: Some(head.newest),
        };
        let value = serde_json::to_vec(&head).expect("a head has only strings as keys");
        self.store
            .update(Reason::Config, key::HEAD, version, &value)
    }

    fn delete_parts(&self, snapshot: Complete) -> Result<(), Error> {
        for part in 0..snapshot.parts {
            let key = key::snapshot(snapshot.number, part);
            if let Some(object) = self.store.get(Reason::Config, &key)? {
                self.store.delete(Reason::Config, &key, object.version)?;
            }
        }
        Ok(())
    }
}
