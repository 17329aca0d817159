//! The platform object that records the steward of an engine, and the rules for claiming it.

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

/// The distance between two fencing tokens that the platform confirmed. The tokens in between are
/// left for stewards that claim an engine while the platform is unavailable.
pub const FENCE_STEP: u64 = 4096;

/// Number of values above the highest known fencing token from which an unconfirmed steward picks.
const UNCONFIRMED_FENCE_RANGE: u64 = 256;

/// The content of an engine's claim object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The process that holds the stewardship.
    pub holder: Holder,
    /// The fencing token. Each acquisition raises it.
    pub fence: u64,
    /// The state of the stewardship.
    pub state: State,
}

/// The state of a stewardship.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The holder is the steward.
    Held,
    /// The holder released the stewardship and sends no more orders.
    Released,
}

/// The JSON form of a [`Record`].
#[derive(Deserialize, Serialize)]
struct Raw {
    host: String,
    incarnation: u64,
    fence: u64,
    state: State,
}

/// Returned if an object does not contain a valid record.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("invalid claim record: {_0}")]
pub struct Invalid(#[error(not(source))] String);

impl Record {
    /// Parses the content of a claim object.
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

    /// Serializes the record for the claim object.
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

/// Returns the key of an engine's claim object.
pub fn key(engine: &Upstream) -> String {
    format!("steward/{engine}")
}

/// The known state of a holder's process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// The process has ended: its host runs a later incarnation, or the platform no longer lists
    /// the host.
    Terminated,
    /// The process may be running, even if it does not respond.
    MayBeRunning,
}

/// The next action of a host that wants to become steward.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Acquisition {
    /// The object already names this process as the holder.
    Held {
        /// The fencing token.
        fence: u64,
    },
    /// Write the record, on the condition that the object still has the given version or is absent.
    Write {
        /// The expected version; `None` if the object must be absent.
        version: Option<Version>,
        /// The record to write.
        record: Record,
        /// The state of the previous steward.
        predecessor: Predecessor,
    },
}

/// Returns the lowest fencing token above `highest` that the platform may confirm.
pub fn confirmed_fence(highest: u64) -> u64 {
    (highest / FENCE_STEP + 1) * FENCE_STEP
}

/// Decides how `me` claims an engine. `found` is the current claim object. `highest` is the highest
/// known fencing token, which can exceed the recorded one if an unconfirmed steward chose it.
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
        predecessor: classify_predecessor(&record, me, liveness),
    }
}

/// Picks a fencing token above `highest` for a steward that claims an engine while the platform is
/// unavailable. The hash of the holder makes it unlikely that two hosts pick the same token at the
/// same time.
pub fn unconfirmed_fence(highest: u64, me: &Holder) -> u64 {
    let mut hasher = DefaultHasher::new();
    (me.host.as_str(), me.incarnation).hash(&mut hasher);
    highest + 1 + hasher.finish() % UNCONFIRMED_FENCE_RANGE
}

/// The action that confirms a claim made while the platform was unavailable.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Confirmation {
    /// Write the record, on the condition that the object still has the given version or is absent.
    Write {
        /// The expected version; `None` if the object must be absent.
        version: Option<Version>,
        /// The record to write.
        record: Record,
    },
    /// Another host was confirmed with an equal or higher fencing token.
    Lost,
}

/// Decides how `me` confirms its claim under `fence`, given the current claim object.
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

fn classify_predecessor(record: &Record, me: &Holder, liveness: Liveness) -> Predecessor {
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
