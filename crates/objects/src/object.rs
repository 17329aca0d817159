//! Objects of the platform: versioned values under keys, with conditional writes and watches.

use std::time::Duration;

use derive_more::{Display, Error};

/// The version of an object: the store-wide revision of its last write.
pub type Version = u64;

/// The largest value in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A value with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// The version that this value was written as.
    pub version: Version,
    /// The value.
    pub value: Vec<u8>,
}

/// One entry of a list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The version of the object.
    pub version: Version,
    /// The value.
    pub value: Vec<u8>,
}

/// A part of a list, in the order of keys.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// The entries.
    pub items: Vec<Item>,
    /// The store's revision that the page was read at.
    pub revision: Version,
    /// Whether entries follow the last one.
    pub more: Continuation,
}

/// Whether a list goes on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Continuation {
    /// This was the last page.
    #[default]
    End,
    /// Ask again, after the last key.
    More,
}

/// One change that a watch reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// The key.
    pub key: String,
    /// The version after the change.
    pub version: Version,
    /// What happened.
    pub kind: Kind,
}

/// What a watch saw happen to an object.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// It was written.
    Put,
    /// It was deleted.
    Delete,
}

/// The changes since a revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Events {
    /// The changes, oldest first.
    pub events: Vec<Event>,
    /// The revision to watch from next.
    pub revision: Version,
}

/// Why a call failed.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum Failure {
    /// The condition does not hold: the object exists, is absent or has another version.
    #[display("the object {key} has changed")]
    Conflict {
        /// The object.
        key: String,
    },
    /// The call was over the rate; it had no effect.
    #[display("the platform asks to come back after {after:?}")]
    Throttled {
        /// When to come back.
        after: Duration,
    },
    /// The call had no effect: no connection, or a refusal.
    #[display("the platform is not available: {reason}")]
    Unavailable {
        /// What was seen.
        reason: String,
    },
    /// No answer came; a write may have taken effect.
    #[display("the platform gave no answer, the outcome is unknown: {reason}")]
    Unknown {
        /// What was seen.
        reason: String,
    },
    /// The value is larger than [`MAX_VALUE_BYTES`].
    #[display("the value of {key} has {bytes} bytes, more than {MAX_VALUE_BYTES}")]
    TooLarge {
        /// The object.
        key: String,
        /// Size of the value.
        bytes: usize,
    },
    /// The watch asked for changes that the platform no longer has.
    #[display("the platform has forgotten the changes since revision {since}")]
    Gap {
        /// Where the watch began.
        since: Version,
    },
}

/// What a call is made for; calls are counted by it.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// Reading or appending configuration revisions.
    #[display("config")]
    Config,
    /// Reading or taking the stewardship of an engine.
    #[display("steward")]
    Steward,
    /// Recording keyed calls.
    #[display("journal")]
    Journal,
    /// Writing the status of a failure domain.
    #[display("status")]
    Status,
    /// Moving shares of the weight store's limits.
    #[display("share")]
    Share,
    /// Reading the host list.
    #[display("hosts")]
    Hosts,
}

/// The object API. The HTTP client implements it, and so do small fakes in tests.
pub trait Store: Send + Sync {
    /// Reads an object.
    fn get(&self, reason: Reason, key: &str) -> Result<Option<Object>, Failure>;

    /// Writes an object that must be absent.
    fn create(&self, reason: Reason, key: &str, value: &[u8]) -> Result<Version, Failure>;

    /// Writes an object that must have `version`.
    fn update(
        &self,
        reason: Reason,
        key: &str,
        version: Version,
        value: &[u8],
    ) -> Result<Version, Failure>;

    /// Deletes an object that must have `version`.
    fn delete(&self, reason: Reason, key: &str, version: Version) -> Result<(), Failure>;

    /// Lists objects whose keys begin with `prefix` and come after `after`.
    fn list(
        &self,
        reason: Reason,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Page, Failure>;

    /// Waits up to `wait` for changes below `prefix` after revision `since`.
    fn watch(
        &self,
        reason: Reason,
        prefix: &str,
        since: Version,
        wait: Duration,
    ) -> Result<Events, Failure>;
}
