//! The object that says where a shard begins, and the deletion of what lies well below.

use journal::segment::Number;
use serde::{Deserialize, Serialize};

use super::{Lane, number};
use crate::object::{Failure, Reason, Version};

/// Segments deleted in one pass.
const MAX_DELETED: usize = 64;

/// Where a shard begins.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Floor {
    /// The first segment that is still needed.
    pub(super) segment: Number,
    /// The floor before. Only segments below it are deleted, since a host may have read it just
    /// before it was moved.
    before: Number,
    /// The version of the object; nothing if there is none yet.
    version: Option<Version>,
}

/// The object.
#[derive(Deserialize, Serialize)]
struct Stored {
    segment: u64,
    before: u64,
}

impl Lane {
    /// Records the floor if it has moved, and deletes segments that nobody needs.
    pub(in crate::journal) fn tidy(&self) -> Result<(), Failure> {
        let now = self.now();
        let Some(target) = self.lock().shard.next_floor(now) else {
            return Ok(());
        };
        let mut floor = self.read_floor()?;
        if target > floor.segment {
            floor = self.move_floor(floor, target)?;
        }
        self.lock().shard.on_floor_recorded(floor.segment);
        self.delete_below(floor.before)
    }

    pub(super) fn read_floor(&self) -> Result<Floor, Failure> {
        let Some(object) = self.host.store.get(Reason::Journal, &self.floor_key())? else {
            return Ok(Floor::default());
        };
        let stored: Stored = serde_json::from_slice(&object.value).map_err(|error| {
            let reason = format!("{}: {error}", self.floor_key());
            Failure::Unavailable { reason }
        })?;
        Ok(Floor {
            segment: Number(stored.segment),
            before: Number(stored.before),
            version: Some(object.version),
        })
    }

    fn move_floor(&self, floor: Floor, target: Number) -> Result<Floor, Failure> {
        let stored = Stored {
            segment: target.0,
            before: floor.segment.0,
        };
        let value = serde_json::to_vec(&stored).expect("a floor has only strings as keys");
        let key = self.floor_key();
        let store = &self.host.store;
        let version = match floor.version {
            None => store.create(Reason::Journal, &key, &value)?,
            Some(version) => store.update(Reason::Journal, &key, version, &value)?,
        };
        Ok(Floor {
            segment: target,
            before: floor.segment,
            version: Some(version),
        })
    }

    fn delete_below(&self, floor: Number) -> Result<(), Failure> {
        let prefix = self.prefix();
        let store = &self.host.store;
        let page = store.list(Reason::Journal, &prefix, &prefix, MAX_DELETED)?;
        for item in page.items {
            if number(&item.key).is_none_or(|it| it >= floor) {
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
        format!("journal-floor/{:04}", self.number)
    }
}
