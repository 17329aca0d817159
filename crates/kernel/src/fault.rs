//! The error kinds that callers receive, and the HTTP answer for each of them.

use std::{fmt, str::FromStr, time::Duration};

/// The execution state of a request that failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Execution {
    /// No upstream received any part of the request that could have started it.
    NotRun,
    /// An upstream ran the request.
    Ran,
    /// An upstream may have run the request.
    Unknown,
}

impl Execution {
    /// Returns the value used in answers: `not-run`, `ran` or `unknown`.
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

/// What a caller should do after a failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Advice {
    /// The caller has to correct the request; sending it unchanged gives the same answer.
    Correct,
    /// The request may be sent again after `Retry-After`.
    Retry,
    /// The caller has to find out whether the request took effect before sending it again.
    Inquire,
}

/// The answer for an error kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The name of the kind in answers, logs and metrics.
    pub name: &'static str,
    /// The HTTP status code.
    pub status: u16,
    /// The execution state of a request that fails with this kind.
    pub execution: Execution,
    /// What the caller should do.
    pub advice: Advice,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident => $name:literal, $status:literal, $execution:ident, $advice:ident;)*) => {
        /// A kind of failure that can be reported to a caller.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum Kind {
            $($(#[$doc])* $kind,)*
        }

        impl Kind {
            /// All kinds.
            pub const ALL: &[Self] = &[$(Self::$kind,)*];

            /// Returns the answer for this kind.
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
    /// The request can't be parsed: its JSON, a header or the path is malformed.
    BadRequest => "bad-request", 400, NotRun, Correct;
    /// The request body exceeds the size limit.
    BodyTooLarge => "body-too-large", 413, NotRun, Correct;
    /// The caller sent the request too slowly.
    SlowSender => "slow-sender", 408, NotRun, Retry;
    /// The path does not exist.
    UnknownPath => "unknown-path", 404, NotRun, Correct;
    /// The configuration declares no such service.
    UnknownService => "unknown-service", 404, NotRun, Correct;
    /// The service has no such adapter.
    UnknownAdapter => "unknown-adapter", 404, NotRun, Correct;
    /// The adapter has no such version.
    UnknownVersion => "unknown-version", 404, NotRun, Correct;
    /// The idempotency key was used for another request.
    KeyReused => "key-reused", 422, NotRun, Correct;
    /// The first call with this idempotency key is still running.
    KeyRunning => "key-running", 409, Unknown, Inquire;
    /// A call with this idempotency key was started before and its outcome is unknown.
    KeyUnknown => "key-unknown", 502, Unknown, Inquire;
    /// The tenant has exhausted its share.
    TenantLimit => "tenant-limit", 429, NotRun, Retry;
    /// No capacity becomes available before the deadline.
    Overloaded => "overloaded", 503, NotRun, Retry;
    /// The adapter can't be loaded before the deadline.
    LoadTooLate => "load-too-late", 503, NotRun, Retry;
    /// Loading the adapter failed.
    LoadFailed => "load-failed", 503, NotRun, Retry;
    /// No upstream of the service is known to be alive.
    NoUpstream => "no-upstream", 503, NotRun, Retry;
    /// A service that the requested service depends on is down.
    DependencyDown => "dependency-down", 503, NotRun, Retry;
    /// The steward can't be reached; no upstream was called.
    StewardLost => "steward-lost", 503, NotRun, Retry;
    /// The journal record of a call with an idempotency key can't be written; no upstream was
    /// called.
    JournalDown => "journal-down", 503, NotRun, Retry;
    /// The host is not ready or is shutting down.
    NotReady => "not-ready", 503, NotRun, Retry;
    /// The deadline passed before the request was sent to an upstream.
    DeadlineBeforeStart => "deadline-before-start", 504, NotRun, Retry;
    /// The deadline passed after the request was sent to an upstream.
    DeadlineAfterStart => "deadline-after-start", 504, Unknown, Inquire;
    /// The upstream refused the connection or the request and did not run it.
    UpstreamRefused => "upstream-refused", 503, NotRun, Retry;
    /// The upstream is shutting down and did not accept the request.
    UpstreamLeaving => "upstream-leaving", 503, NotRun, Retry;
    /// The connection was lost after the request was sent.
    UpstreamLost => "upstream-lost", 502, Unknown, Inquire;
    /// The upstream answered with another adapter or version; the answer was withheld
    /// from the caller.
    WrongAdapter => "wrong-adapter", 502, Ran, Retry;
    /// The upstream's answer can't be parsed.
    BadAnswer => "bad-answer", 502, Ran, Retry;
    /// An internal error of comfreywing.
    Internal => "internal", 500, Unknown, Inquire;
}

impl Kind {
    /// Returns the name of the kind in answers, logs and metrics.
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

    fn from_str(name: &str) -> Result<Self, UnknownKind> {
        let found = Self::ALL.iter().find(|it| it.as_str() == name);
        found.copied().ok_or_else(|| UnknownKind(name.to_owned()))
    }
}

/// The error for a string that names no [`Kind`].
#[derive(Clone, Debug, derive_more::Display, Eq, derive_more::Error, PartialEq)]
#[display("{_0:?} is not an error kind")]
pub struct UnknownKind(#[error(not(source))] pub String);

/// A failure of a request, as reported to the caller.
#[derive(Clone, Debug, derive_more::Display, Eq, derive_more::Error, PartialEq)]
#[display("{kind}: {detail}")]
pub struct Fault {
    /// The kind, which determines the answer.
    pub kind: Kind,
    /// A sentence that says what failed.
    pub detail: String,
    /// The delay after which the caller may retry, if known.
    pub retry_after: Option<Duration>,
}

impl Fault {
    /// Creates a fault without a retry delay.
    pub fn new(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Sets the delay after which the caller may retry.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}
