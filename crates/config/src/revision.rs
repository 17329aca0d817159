//! Revisions: accepted edits in their order, and the text that they add up to.

use std::{fmt, str::FromStr};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{
    Document,
    change::{self, Change},
};

/// The number of a revision; 0 is the empty text before the first edit.
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
    /// The number after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The identity of one attempt to edit, by which its author recognises it after a lost answer.
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
    /// The revision that it makes.
    pub number: Number,
    /// The attempt that made it.
    #[serde(with = "crate::serial::edit")]
    pub edit: EditId,
    /// Who made it.
    pub author: String,
    /// What it changes, from the revision before.
    pub changes: Vec<Change>,
}

/// Bytes that are no record.
#[derive(Debug, Display, Error)]
#[display("cannot decode a {expected}: {source}")]
pub struct DecodeError {
    /// What they should be.
    pub expected: &'static str,
    /// Why they are not.
    #[error(source)]
    pub source: serde_json::Error,
}

impl Record {
    /// The record as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record has only strings as keys")
    }

    /// A record from JSON.
    pub fn from_json(bytes: &[u8]) -> Result<Self, DecodeError> {
        serde_json::from_slice(bytes).map_err(|source| DecodeError {
            expected: "record of an edit",
            source,
        })
    }
}

/// What came of a record that was offered.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It is in force.
    Adopted,
    /// It is not higher than the revision in force; nothing changed.
    Stale,
    /// Records before it are missing; nothing changed.
    Gap {
        /// The revision in force.
        current: Number,
        /// The revision that was offered.
        offered: Number,
    },
    /// Its changes do not fit the text in force; nothing changed.
    Rejected(change::Invalid),
}

/// The revision in force on a host and its text. It only goes up.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    number: Number,
    document: Document,
}

impl State {
    /// The state of a text that is known to be that of a revision.
    pub fn new(number: Number, document: Document) -> Self {
        Self { number, document }
    }

    /// The revision in force.
    pub fn number(&self) -> Number {
        self.number
    }

    /// The text in force.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Adopts the record of the next revision.
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

    /// Takes a whole state that was read or received, if it is higher.
    pub fn replace(&mut self, state: Self) -> Outcome {
        if state.number <= self.number {
            return Outcome::Stale;
        }
        *self = state;
        Outcome::Adopted
    }
}
