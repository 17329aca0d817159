//! The object that confirms who is steward of an engine, and how it is taken over.

pub mod store;

use derive_more::{Display, Error};
use kernel::{
    name::{Host, Upstream},
    permit::Holder,
};
use platform::object::Version;
use serde::{Deserialize, Serialize};
use steward::Predecessor;

/// What the object of an engine says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Who holds the stewardship.
    pub holder: Holder,
    /// The fencing number; each taking makes it higher.
    pub fence: u64,
    /// Whether the holder has given it up.
    pub state: State,
}

/// Whether a stewardship is held.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It is held.
    Held,
    /// The holder gave it up itself and acts no more.
    Released,
}

#[derive(Deserialize, Serialize)]
struct Raw {
    host: String,
    incarnation: u64,
    fence: u64,
    state: State,
}

/// Why an object is no record.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("the object of an engine's steward can't be read: {_0}")]
pub struct Invalid(#[error(not(source))] String);

impl Record {
    /// Reads the object.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, Invalid> {
        let raw: Raw = serde_json::from_slice(bytes).map_err(|it| Invalid(it.to_string()))?;
        let host = Host::new(&raw.host).map_err(|it| Invalid(it.to_string()))?;
        Ok(Self {
            holder: Holder {
                host,
                incarnation: raw.incarnation,
            },
            fence: raw.fence,
            state: raw.state,
        })
    }

    /// The object's bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        let raw = Raw {
            host: self.holder.host.to_string(),
            incarnation: self.holder.incarnation,
            fence: self.fence,
            state: self.state,
        };
        serde_json::to_vec(&raw).expect("a record is valid JSON")
    }
}

/// The key of the object of an engine.
pub fn key(engine: &Upstream) -> String {
    format!("steward/{engine}")
}

/// What is known of a holder's process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// The process has ended: its host runs a later one, or the platform's list lacks the host.
    Ended,
    /// It may still act, even if nobody hears from it.
    MayAct,
}

/// What to do to become steward.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Next {
    /// The object says that this host holds it already.
    Held {
        /// The fencing number.
        fence: u64,
    },
    /// Write this, if the object still has the version (or is absent).
    Write {
        /// The version, unless the object is absent.
        version: Option<Version>,
        /// What to write.
        record: Record,
        /// What is known of the holder before.
        predecessor: Predecessor,
    },
}

/// Decides how `me` takes an engine, given the object found.
pub fn next(found: Option<(Version, Record)>, me: &Holder, evidence: Evidence) -> Next {
    let Some((version, record)) = found else {
        return Next::Write {
            version: None,
            record: held(me, 1),
            predecessor: Predecessor::None,
        };
    };
    if record.holder == *me && record.state == State::Held {
        return Next::Held {
            fence: record.fence,
        };
    }
    Next::Write {
        version: Some(version),
        record: held(me, record.fence + 1),
        predecessor: predecessor(&record, me, evidence),
    }
}

fn held(me: &Holder, fence: u64) -> Record {
    Record {
        holder: me.clone(),
        fence,
        state: State::Held,
    }
}

fn predecessor(record: &Record, me: &Holder, evidence: Evidence) -> Predecessor {
    if record.state == State::Released {
        return Predecessor::Released;
    }
    let earlier_self = record.holder.host == me.host && record.holder.incarnation < me.incarnation;
    if earlier_self || evidence == Evidence::Ended {
        return Predecessor::Gone;
    }
    Predecessor::Unknown
}
