//! The records of calls with idempotency keys.

use std::time::{Duration, SystemTime};

use base64::{Engine as _, prelude::BASE64_STANDARD};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

use crate::scope::Digest;

/// The time for which a key is retained after the latest possible end of its call.
pub const RETENTION: Duration = Duration::from_hours(24);

/// The maximum size of an answer's body that is stored with the outcome.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Wall-clock time in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Moment(pub u64);

impl Moment {
    /// Returns the time `span` later, limited to the largest representable time.
    #[must_use]
    pub fn saturating_add(self, span: Duration) -> Self {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}

impl From<SystemTime> for Moment {
    fn from(time: SystemTime) -> Self {
        let span = time.duration_since(SystemTime::UNIX_EPOCH);
        Self(0).saturating_add(span.unwrap_or_default())
    }
}

/// The id of an attempt to start a call or to write a segment, unique among all hosts and their
/// incarnations.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Attempt {
    /// The host that makes the attempt.
    pub host: String,
    /// The incarnation of the host.
    pub incarnation: u64,
    /// The number of the attempt in the incarnation.
    pub number: u64,
}

/// A record of an event in the life cycle of a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The digest of the call's key.
    pub key: Digest,
    /// The attempt to which the event belongs.
    #[serde(rename = "start")]
    pub attempt: Attempt,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// An event in the life cycle of a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum Event {
    /// A host is about to make the call, and no other host may make it.
    Started {
        /// A digest of the request. It has to be equal whenever the key is used again.
        fingerprint: Digest,
        /// The time at which the record was created.
        at: Moment,
        /// The time by which the call has ended, whatever its outcome.
        run_by: Moment,
    },
    /// The call was answered.
    Finished {
        /// The answer to the call.
        outcome: Outcome,
    },
    /// The call was sent, and its outcome is unknown.
    Lost,
    /// The call was not sent and will not be sent under this attempt.
    Void,
}

/// The answer to a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcome {
    /// The HTTP status code.
    pub status: u16,
    /// The headers in their original order.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Body,
}

impl Outcome {
    /// Creates the stored form of an answer. A body larger than [`MAX_BODY_BYTES`] is omitted.
    pub fn new(status: u16, headers: Vec<(String, String)>, body: &[u8]) -> Self {
        let body = if body.len() > MAX_BODY_BYTES {
            Body::Omitted { bytes: body.len() }
        } else {
            Body::Whole(body.to_vec())
        };
        Self {
            status,
            headers,
            body,
        }
    }
}

/// The body of an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// The complete body.
    Whole(#[serde(deserialize_with = "from_base64", serialize_with = "to_base64")] Vec<u8>),
    /// The body was too large to be stored.
    Omitted {
        /// The size of the body.
        bytes: usize,
    },
}

fn to_base64<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&BASE64_STANDARD.encode(bytes))
}

fn from_base64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    BASE64_STANDARD.decode(text).map_err(D::Error::custom)
}
