//! The closed list of error kinds and the one table from kind to answer.

use std::{fmt, str::FromStr, time::Duration};

/// Whether a request that failed had run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Execution {
    /// No upstream has seen a byte of it that could make it run.
    NotRun,
    /// An upstream ran it.
    Ran,
    /// It may have run.
    Unknown,
}

impl Execution {
    /// The word in answers: `not-run`, `ran` or `unknown`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Execution {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// What a caller should do about a kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Advice {
    /// The request is wrong; sending it again gives the same answer.
    Correct,
    /// The request may be sent again after `Retry-After`.
    Retry,
    /// The caller has to find out what happened before it sends the request again.
    Inquire,
}

/// The answer that belongs to a kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The kind's word in answers, logs and metrics.
    pub name: &'static str,
    /// HTTP status.
    pub status: u16,
    /// Whether a request that ends with this kind had run.
    pub execution: Execution,
    /// What the caller should do.
    pub advice: Advice,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident => $name:literal, $status:literal, $execution:ident, $advice:ident;)*) => {
        /// The kinds of failure that a caller can be told of.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum Kind {
            $($(#[$doc])* $kind,)*
        }

        impl Kind {
            /// Every kind.
            pub const ALL: &[Self] = &[$(Self::$kind,)*];

            /// The answer that belongs to this kind.
            pub const fn answer(self) -> Answer {
                match self {
                    $(Self::$kind => Answer {
                        name: $name,
                        status: $status,
                        execution: Execution::$execution,
                        advice: Advice::$advice,
                    },)*
                }
            }
        }
    };
}

kinds! {
    /// The request could not be read: bad JSON, header or path.
    BadRequest => "bad-request", 400, NotRun, Correct;
    /// The body is larger than the limit.
    BodyTooLarge => "body-too-large", 413, NotRun, Correct;
    /// The sender was too slow.
    SlowSender => "slow-sender", 408, NotRun, Retry;
    /// There is no such path.
    UnknownPath => "unknown-path", 404, NotRun, Correct;
    /// The text declares no such service.
    UnknownService => "unknown-service", 404, NotRun, Correct;
    /// The service has no such adapter.
    UnknownAdapter => "unknown-adapter", 404, NotRun, Correct;
    /// The adapter has no such version.
    UnknownVersion => "unknown-version", 404, NotRun, Correct;
    /// The idempotency key was used for another request.
    KeyReused => "key-reused", 422, NotRun, Correct;
    /// The first call with this key is still running.
    KeyRunning => "key-running", 409, Unknown, Inquire;
    /// A call with this key was begun before and its outcome is not known.
    KeyUnknown => "key-unknown", 502, Unknown, Inquire;
    /// The tenant has used up its share.
    TenantLimit => "tenant-limit", 429, NotRun, Retry;
    /// There is no capacity within the deadline.
    Overloaded => "overloaded", 503, NotRun, Retry;
    /// The adapter can't be loaded within the deadline.
    LoadTooLate => "load-too-late", 503, NotRun, Retry;
    /// The adapter could not be loaded.
    LoadFailed => "load-failed", 503, NotRun, Retry;
    /// No upstream of the service is known to be alive.
    NoUpstream => "no-upstream", 503, NotRun, Retry;
    /// A service that this one depends on is down.
    DependencyDown => "dependency-down", 503, NotRun, Retry;
    /// The steward could not be reached; no upstream was called.
    StewardLost => "steward-lost", 503, NotRun, Retry;
    /// The record of a keyed call could not be written; the call was not made.
    JournalDown => "journal-down", 503, NotRun, Retry;
    /// The host is not ready or is shutting down.
    NotReady => "not-ready", 503, NotRun, Retry;
    /// The deadline passed before the request was sent to an upstream.
    DeadlineBeforeStart => "deadline-before-start", 504, NotRun, Retry;
    /// The deadline passed after the request was sent to an upstream.
    DeadlineAfterStart => "deadline-after-start", 504, Unknown, Inquire;
    /// The upstream refused the connection or the request; it did not run.
    UpstreamRefused => "upstream-refused", 503, NotRun, Retry;
    /// The upstream is leaving and took nothing new.
    UpstreamLeaving => "upstream-leaving", 503, NotRun, Retry;
    /// The connection broke after the request was sent.
    UpstreamLost => "upstream-lost", 502, Unknown, Inquire;
    /// The upstream answered for another adapter or version; the answer was withheld.
    WrongAdapter => "wrong-adapter", 502, Ran, Retry;
    /// The upstream's answer can't be understood.
    BadAnswer => "bad-answer", 502, Ran, Retry;
    /// A defect of comfreywing.
    Internal => "internal", 500, Unknown, Inquire;
}

impl Kind {
    /// The kind's word in answers, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        self.answer().name
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Kind {
    type Err = UnknownKind;

    fn from_str(word: &str) -> Result<Self, UnknownKind> {
        let found = Self::ALL.iter().find(|it| it.as_str() == word);
        found.copied().ok_or_else(|| UnknownKind(word.to_owned()))
    }
}

/// A word that no kind has.
#[derive(Clone, Debug, derive_more::Display, Eq, derive_more::Error, PartialEq)]
#[display("{_0:?} is not an error kind")]
pub struct UnknownKind(#[error(not(source))] pub String);

/// One failure: its kind, what it concerns, and when to come back.
#[derive(Clone, Debug, derive_more::Display, Eq, derive_more::Error, PartialEq)]
#[display("{kind}: {detail}")]
pub struct Fault {
    /// The kind; the table gives the answer.
    pub kind: Kind,
    /// A sentence that names the thing.
    pub detail: String,
    /// When to come back, if that is known.
    pub retry_after: Option<Duration>,
}

impl Fault {
    /// A fault that says nothing on when to come back.
    pub fn new(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// The same fault with a time to come back.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}
