//! What is recorded of a keyed call.

use std::time::{Duration, SystemTime};

use base64::{Engine as _, prelude::BASE64_STANDARD};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

use crate::scope::Digest;

/// How long a key is remembered after its call has ended at the latest.
pub const RETENTION: Duration = Duration::from_hours(24);

/// The largest body that is kept with an outcome, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Calendar time in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Moment(pub u64);

impl Moment {
    /// This much later.
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

/// One attempt to begin a call, unique among all hosts and their incarnations.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Attempt {
    /// The host.
    pub host: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// The number of the attempt in that incarnation.
    pub number: u64,
}

/// One record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The key.
    pub key: Digest,
    /// The attempt that this is about.
    #[serde(rename = "start")]
    pub attempt: Attempt,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// What happened to a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum Event {
    /// A host is about to make it, and nobody else may.
    Started {
        /// What must be the same when the key is used again.
        fingerprint: Digest,
        /// When this was recorded.
        at: Moment,
        /// The call has ended by then, whatever its outcome.
        run_by: Moment,
    },
    /// It was answered.
    Finished {
        /// The answer.
        outcome: Outcome,
    },
    /// It was sent, and its outcome is unknown.
    Lost,
    /// It was not sent, and never will be under this attempt.
    Void,
}

/// The answer to a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Headers, in order.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Body,
}

impl Outcome {
    /// An answer as it is kept: a body above [`MAX_BODY_BYTES`] is left out.
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
    /// All of it.
    Whole(#[serde(deserialize_with = "from_base64", serialize_with = "to_base64")] Vec<u8>),
    /// It was too large to be kept.
    Omitted {
        /// How large it was.
        bytes: usize,
    },
}

fn to_base64<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
    to.serialize_str(&BASE64_STANDARD.encode(bytes))
}

fn from_base64<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(from)?;
    BASE64_STANDARD.decode(text).map_err(D::Error::custom)
}
