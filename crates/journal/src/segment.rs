//! Segments, which are the objects that hold the records of a shard.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::record::{Attempt, Moment, Record};

/// The maximum size of the records in a segment. A single larger record gets its own segment.
pub const MAX_BYTES: usize = 128 * 1024;

/// The number of a segment in its shard, from 0.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Number(pub u64);

impl Number {
    /// Returns the next number.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The content of a segment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Segment {
    /// The id of the write that created the segment. After a lost answer, a host uses the id to
    /// recognize its own segment.
    pub writer: Attempt,
    /// The time at which the segment was created.
    pub at: Moment,
    /// The records in the order in which they are applied.
    pub records: Vec<Record>,
}

/// The reason why a segment can't be read.
#[derive(Debug, Display, Error)]
pub enum ReadError {
    /// The bytes of the object are not a valid segment.
    #[display("segment {number} can't be read: {reason}")]
    Malformed {
        /// The number of the segment.
        number: Number,
        /// The parse error.
        #[error(source)]
        reason: serde_json::Error,
    },
    /// A segment is missing before the one that was found.
    #[display("segment {expected} is missing: {found} follows")]
    Missing {
        /// The number of the missing segment.
        expected: Number,
        /// The number of the segment that was found instead.
        found: Number,
    },
}

impl Segment {
    /// Serializes the segment to the bytes of its object.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a segment has only strings as keys")
    }

    /// Parses a segment from the bytes of its object.
    pub fn from_bytes(number: Number, bytes: &[u8]) -> Result<Self, ReadError> {
        serde_json::from_slice(bytes).map_err(|reason| ReadError::Malformed { number, reason })
    }

    /// Returns how many of `records` fit into one segment, which is at least one unless there are
    /// none.
    pub fn count_fitting<'a>(records: impl IntoIterator<Item = &'a Record>) -> usize {
        let mut bytes = 0;
        let mut count = 0;
        for record in records {
            bytes += serde_json::to_vec(record).map_or(0, |it| it.len() + 1);
            if count > 0 && bytes > MAX_BYTES {
                break;
            }
            count += 1;
        }
        count
    }
}
