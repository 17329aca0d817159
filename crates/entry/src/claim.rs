//! The object that confirms who is steward of an engine, and how it is taken over.

pub mod store;

use std::hash::{DefaultHasher, Hash, Hasher};

use derive_more::{Display, Error};
use kernel::{
    name::{Host, Upstream},
    permit::Holder,
};
use objects::object::Version;
use serde::{Deserialize, Serialize};
use steward::Predecessor;

/// The distance between the fencing numbers of two stewards that the platform confirmed. The numbers
/// in between are for stewards that it could not confirm yet.
pub const FENCE_STEP: u64 = 4096;

/// How many numbers above the last known one an unconfirmed steward chooses from.
const UNCONFIRMED_FENCE_RANGE: u64 = 256;

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
pub enum Liveness {
    /// The process has ended: its host runs a later one, or the platform's list lacks the host.
    Terminated,
    /// It may still act, even if nobody hears from it.
    MayBeRunning,
}

/// What to do to become steward.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Acquisition {
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

/// The lowest number that the platform may confirm above `highest`.
pub fn confirmed_fence(highest: u64) -> u64 {
    (highest / FENCE_STEP + 1) * FENCE_STEP
}

/// Decides how `me` takes an engine, given the object found and the highest fencing number that was
/// heard of, which an unconfirmed steward may have chosen.
pub fn plan_acquisition(
    found: Option<(Version, Record)>,
    me: &Holder,
    liveness: Liveness,
    highest: u64,
) -> Acquisition {
    let Some((version, record)) = found else {
        return Acquisition::Write {
            version: None,
            record: held_record(me, confirmed_fence(highest)),
            predecessor: Predecessor::None,
        };
    };
    if record.holder == *me && record.state == State::Held {
        return Acquisition::Held {
            fence: record.fence,
        };
    }
    Acquisition::Write {
        version: Some(version),
        record: held_record(me, confirmed_fence(highest.max(record.fence))),
        predecessor: predecessor(&record, me, liveness),
    }
}

/// The fencing number of a steward that takes an engine while the platform is out, above the
/// `highest` that is known. Two hosts that do so at the same time choose different ones, save by
/// an unlikely chance.
pub fn unconfirmed_fence(highest: u64, me: &Holder) -> u64 {
    let mut hasher = DefaultHasher::new();
    (me.host.as_str(), me.incarnation).hash(&mut hasher);
    highest + 1 + hasher.finish() % UNCONFIRMED_FENCE_RANGE
}

/// What to do with an engine that was taken while the platform was out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Confirmation {
    /// Write this, if the object still has the version (or is absent).
    Write {
        /// The version, unless the object is absent.
        version: Option<Version>,
        /// What to write.
        record: Record,
    },
    /// Another host was confirmed with a number as high.
    Lost,
}

/// Decides how `me` has an engine confirmed that it took under `fence`, given the object found.
pub fn plan_confirmation(
    found: Option<(Version, Record)>,
    me: &Holder,
    fence: u64,
) -> Confirmation {
    match found {
        Some((_, record)) if record.fence >= fence && record.holder != *me => Confirmation::Lost,
        found => Confirmation::Write {
            version: found.map(|it| it.0),
            record: held_record(me, fence),
        },
    }
}

fn held_record(me: &Holder, fence: u64) -> Record {
    Record {
        holder: me.clone(),
        fence,
        state: State::Held,
    }
}

fn predecessor(record: &Record, me: &Holder, liveness: Liveness) -> Predecessor {
    if record.state == State::Released {
        return Predecessor::Released;
    }
    let is_earlier_incarnation =
        record.holder.host == me.host && record.holder.incarnation < me.incarnation;
    if is_earlier_incarnation || liveness == Liveness::Terminated {
        return Predecessor::Gone;
    }
    Predecessor::Unknown
}
