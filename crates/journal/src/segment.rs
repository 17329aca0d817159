//! Segments: many records in one object.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::record::{Attempt, Moment, Record};

/// The largest segment in bytes, unless one record alone is larger.
pub const MAX_BYTES: usize = 128 * 1024;

/// The number of a segment in its shard, from 0.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Number(pub u64);

impl Number {
    /// The number after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The content of a segment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Segment {
    /// The write that made it, by which its host recognises it after a lost answer.
    pub writer: Attempt,
    /// When it was made.
    pub at: Moment,
    /// The records, in order.
    pub records: Vec<Record>,
}

/// Why a segment can't be taken in.
#[derive(Debug, Display, Error)]
pub enum ReadError {
    /// Its bytes are no segment.
    #[display("segment {number} can't be read: {reason}")]
    Malformed {
        /// The segment.
        number: Number,
        /// Why.
        #[error(source)]
        reason: serde_json::Error,
    },
    /// A segment before it is missing.
    #[display("segment {expected} is missing: {found} follows")]
    Missing {
        /// The segment that should follow.
        expected: Number,
        /// The segment that follows.
        found: Number,
    },
}

impl Segment {
    /// The bytes of the object.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a segment has only strings as keys")
    }

    /// A segment from the bytes of its object.
    pub fn from_bytes(number: Number, bytes: &[u8]) -> Result<Self, ReadError> {
        serde_json::from_slice(bytes).map_err(|reason| ReadError::Malformed { number, reason })
    }

    /// How many of `records` fit into one segment; at least one, if there is any.
    pub fn fitting<'a>(records: impl IntoIterator<Item = &'a Record>) -> usize {
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
