//! The object API of the platform: versioned values under keys, with conditional writes and
//! watches.

use std::time::Duration;

use derive_more::{Display, Error};

/// The version of an object, which is the store-wide revision of its last write.
pub type Version = u64;

/// Maximum size of a value.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A value with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// The revision that wrote this value.
    pub version: Version,
    /// The value.
    pub value: Vec<u8>,
}

/// An object with its key, as a list call returns it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// The key of the object.
    pub key: String,
    /// The version of the object.
    pub version: Version,
    /// The value.
    pub value: Vec<u8>,
}

/// One page of a list, sorted by key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// The objects on this page.
    pub items: Vec<Item>,
    /// The store-wide revision at which the page was read.
    pub revision: Version,
    /// Indicates whether further pages follow.
    pub more: Continuation,
}

/// Indicates whether further pages follow a page of a list.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Continuation {
    /// This is the last page.
    #[default]
    End,
    /// Further objects may follow; the next call lists those after the last key of this page.
    More,
}

/// A change of an object, as a watch reports it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// The key of the changed object.
    pub key: String,
    /// The store-wide revision of the change.
    pub version: Version,
    /// The kind of change.
    pub kind: Kind,
}

/// The kind of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The object was created or updated.
    Put,
    /// The object was deleted.
    Delete,
}

/// The result of a watch: the changes since a revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Events {
    /// The changes, oldest first.
    pub events: Vec<Event>,
    /// The revision from which the next watch continues.
    pub revision: Version,
}

/// The failure of a call, which tells whether the call can have taken effect.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum Failure {
    /// The condition of a write does not hold: the object exists, is absent or has another
    /// version.
    #[display("the object {key} has changed")]
    Conflict {
        /// The key of the object.
        key: String,
    },
    /// The call exceeded the rate limit of the platform or the budget of this client; it had no
    /// effect.
    #[display("the platform asks to come back after {after:?}")]
    Throttled {
        /// Time to wait before the next attempt.
        after: Duration,
    },
    /// The call had no effect: there was no connection, or the platform refused the call. A read
    /// without a usable response fails in this way, too.
    #[display("the platform is not available: {reason}")]
    Unavailable {
        /// Description of the cause.
        reason: String,
    },
    /// There was no usable response to a write, which may have taken effect.
    #[display("the platform gave no answer, the outcome is unknown: {reason}")]
    Unknown {
        /// Description of the cause.
        reason: String,
    },
    /// The value is larger than [`MAX_VALUE_BYTES`].
    #[display("the value of {key} has {bytes} bytes, more than {MAX_VALUE_BYTES}")]
    TooLarge {
        /// The key of the object.
        key: String,
        /// The size of the value.
        bytes: usize,
    },
    /// The watch starts at a revision whose later changes the platform no longer keeps in full.
    #[display("the platform has forgotten the changes since revision {since}")]
    Gap {
        /// The revision from which the watch was to start.
        since: Version,
    },
}

/// The purpose of a call, by which calls are counted and prioritized.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// Reading or appending configuration revisions.
    #[display("config")]
    Config,
    /// Reading or claiming the stewardship of an engine.
    #[display("steward")]
    Steward,
    /// Recording calls with idempotency keys.
    #[display("journal")]
    Journal,
    /// Writing the status of a failure domain.
    #[display("status")]
    Status,
    /// Lending out shares of the weight store's limits.
    #[display("share")]
    Share,
    /// Reading the host list.
    #[display("hosts")]
    Hosts,
}

/// The object API. The implementations are the HTTP client and in-memory fakes in tests.
pub trait Store: Send + Sync {
    /// Reads an object.
    fn get(&self, reason: Reason, key: &str) -> Result<Option<Object>, Failure>;

    /// Creates an object; fails with [`Failure::Conflict`] if it exists.
    fn create(&self, reason: Reason, key: &str, value: &[u8]) -> Result<Version, Failure>;

    /// Updates an object; fails with [`Failure::Conflict`] unless it has `version`.
    fn update(
        &self,
        reason: Reason,
        key: &str,
        version: Version,
        value: &[u8],
    ) -> Result<Version, Failure>;

    /// Deletes an object; fails with [`Failure::Conflict`] unless it has `version`.
    fn delete(&self, reason: Reason, key: &str, version: Version) -> Result<(), Failure>;

    /// Lists up to `limit` objects whose keys start with `prefix` and are greater than `after`.
    fn list(
        &self,
        reason: Reason,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Page, Failure>;

    /// Waits up to `wait` for changes after revision `since` of objects whose keys start with
    /// `prefix`.
    fn watch(
        &self,
        reason: Reason,
        prefix: &str,
        since: Version,
        wait: Duration,
    ) -> Result<Events, Failure>;
}
