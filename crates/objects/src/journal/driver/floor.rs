//! The floor of a shard, which is the first segment that is still needed, and the deletion of the
//! segments below it.

use journal::segment::Number;
use serde::{Deserialize, Serialize};

use super::{Driver, segment_number};
use crate::object::{Failure, Reason, Version};

/// Maximum number of segments deleted in one pass.
const MAX_DELETED_SEGMENTS: usize = 64;

/// The floor of a shard as stored in the platform.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Floor {
    /// The first segment that is still needed.
    pub(super) segment: Number,
    /// The floor before the last advance. Only segments below this floor are deleted, since another
    /// host may have read it just before the advance and still list segments from it.
    previous: Number,
    /// The version of the object, or `None` if the object does not exist yet.
    version: Option<Version>,
}

/// The JSON of the object.
#[derive(Deserialize, Serialize)]
struct Stored {
    segment: u64,
    /// See [`Floor::previous`].
    before: u64,
}

impl Driver {
    /// Records the floor of the shard if it has advanced, and deletes segments that are no longer
    /// needed.
    pub(in crate::journal) fn delete_expired(&self) -> Result<(), Failure> {
        let now = self.now();
        let Some(target) = self.lock().shard.next_floor(now) else {
            return Ok(());
        };
        let mut floor = self.read_floor()?;
        if target > floor.segment {
            floor = self.advance_floor(floor, target)?;
        }
        self.lock().shard.on_floor_recorded(floor.segment);
        self.delete_below(floor.previous)
    }

    pub(super) fn read_floor(&self) -> Result<Floor, Failure> {
        let Some(object) = self.context.store.get(Reason::Journal, &self.floor_key())? else {
            return Ok(Floor::default());
        };
        let stored: Stored = serde_json::from_slice(&object.value).map_err(|error| {
            let reason = format!("{}: {error}", self.floor_key());
            Failure::Unavailable { reason }
        })?;
        Ok(Floor {
            segment: Number(stored.segment),
            previous: Number(stored.before),
            version: Some(object.version),
        })
    }

    fn advance_floor(&self, floor: Floor, target: Number) -> Result<Floor, Failure> {
        let stored = Stored {
            segment: target.0,
            before: floor.segment.0,
        };
        let value = serde_json::to_vec(&stored).expect("a floor can be encoded as JSON");
        let key = self.floor_key();
        let store = &self.context.store;
        let version = match floor.version {
            None => store.create(Reason::Journal, &key, &value)?,
            Some(version) => store.update(Reason::Journal, &key, version, &value)?,
        };
        Ok(Floor {
            segment: target,
            previous: floor.segment,
            version: Some(version),
        })
    }

    fn delete_below(&self, floor: Number) -> Result<(), Failure> {
        let prefix = self.segment_prefix();
        let store = &self.context.store;
        let page = store.list(Reason::Journal, &prefix, &prefix, MAX_DELETED_SEGMENTS)?;
        for item in page.items {
            if segment_number(&item.key).is_none_or(|it| it >= floor) {
                break;
            }
            match store.delete(Reason::Journal, &item.key, item.version) {
                Ok(()) | Err(Failure::Conflict { .. }) => {}
                Err(failure) => return Err(failure),
            }
        }
        Ok(())
    }

    fn floor_key(&self) -> String {
        format!("journal-floor/{:04}", self.shard_number)
    }
}
