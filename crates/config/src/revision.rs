//! Revisions: the sequence of accepted edits, and the document that results from them.

use std::{fmt, str::FromStr};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{
    Document,
    change::{self, Change},
};

/// The number of a revision. Revision 0 is the empty document before the first edit.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(transparent)]
pub struct Number(pub u64);

impl Number {
    /// Returns the number of the following revision.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Identifies one attempt to edit. If the response is lost, the author finds out by this ID whether
/// the edit was accepted.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EditId(pub u128);

impl fmt::Display for EditId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for EditId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for EditId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// One accepted edit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The revision that results from the edit.
    pub number: Number,
    /// The ID of the attempt.
    #[serde(with = "crate::serial::edit")]
    pub edit: EditId,
    /// The author of the edit.
    pub author: String,
    /// The changes relative to the previous revision.
    pub changes: Vec<Change>,
}

/// An error about bytes that are not the expected JSON.
#[derive(Debug, Display, Error)]
#[display("cannot decode a {expected}: {source}")]
pub struct DecodeError {
    /// The kind of value that was expected.
    pub expected: &'static str,
    /// The JSON error.
    #[error(source)]
    pub source: serde_json::Error,
}

impl Record {
    /// Encodes the record as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("every map key in a record is a string")
    }

    /// Decodes a record from JSON.
    pub fn from_json(bytes: &[u8]) -> Result<Self, DecodeError> {
        serde_json::from_slice(bytes).map_err(|source| DecodeError {
            expected: "record of an edit",
            source,
        })
    }
}

/// The outcome of offering a record or a state to a [`State`].
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The offered revision is now the current one.
    Adopted,
    /// The offered revision is not higher than the current one; nothing changed.
    Stale,
    /// Records between the current revision and the offered one are missing; nothing changed.
    Gap {
        /// The current revision.
        current: Number,
        /// The revision that was offered.
        offered: Number,
    },
    /// The changes cannot be applied to the current document; nothing changed.
    Rejected(change::Invalid),
}

/// The current revision on a host and its document. The revision number only increases.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    number: Number,
    document: Document,
}

impl State {
    /// Creates a state from a revision number and the document of that revision.
    pub fn new(number: Number, document: Document) -> Self {
        Self { number, document }
    }

    /// Returns the number of the current revision.
    pub fn number(&self) -> Number {
        self.number
    }

    /// Returns the current document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Applies a record if it is that of the next revision.
    pub fn adopt(&mut self, record: &Record) -> Outcome {
        if record.number <= self.number {
            return Outcome::Stale;
        }
        if record.number != self.number.next() {
            return Outcome::Gap {
                current: self.number,
                offered: record.number,
            };
        }
        match self.document.with_changes(&record.changes) {
            Ok(document) => {
                *self = Self::new(record.number, document);
                Outcome::Adopted
            }
            Err(invalid) => Outcome::Rejected(invalid),
        }
    }

    /// Replaces this state by one that was loaded or received, if its revision is higher.
    pub fn replace(&mut self, state: Self) -> Outcome {
        if state.number <= self.number {
            return Outcome::Stale;
        }
        *self = state;
        Outcome::Adopted
    }
}
