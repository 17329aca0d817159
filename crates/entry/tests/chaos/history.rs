//! The recorded requests, responses and events of a run.

use crate::fixture::Delivery;

/// An incarnation of an entry host, numbered by its earlier starts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Incarnation {
    pub entry: usize,
    pub number: usize,
}

/// The operation that a request performs.
#[derive(Clone, Debug)]
pub enum Operation {
    Model {
        reference: String,
        delivery: Delivery,
    },
    Keyed {
        key: String,
    },
}

/// The outcome of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Status 200 with the complete body.
    Whole(String),
    /// A started stream.
    Streamed(Streamed),
    /// A status and body of an upstream that the host passed on.
    PassedOn(String),
    /// A refusal by the host.
    Refused { kind: String, ran: String },
    /// The connection was refused or broke before the complete response.
    Lost(String),
    /// The caller timed out.
    GivenUp,
}

/// The end of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// A `[DONE]` event.
    Done,
    /// An error event.
    Error,
    /// A broken connection.
    Broken,
    /// An orderly end of the connection without a `[DONE]` or error event.
    Silent,
    /// The caller timed out.
    GivenUp,
}

/// The received part of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Streamed {
    /// The model and text of each chunk.
    pub chunks: Vec<(String, String)>,
    pub end: End,
}

/// A request and its outcome.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub incarnation: Incarnation,
    /// The step during which the request was sent.
    #[expect(dead_code, reason = "only read through the `Debug` output")]
    pub step: usize,
    pub operation: Operation,
    pub outcome: Outcome,
}

impl Call {
    /// Returns whether the refusal has another reason than an unknown service, adapter or version.
    pub fn is_retryable(&self) -> bool {
        match &self.outcome {
            Outcome::Refused { kind, .. } => !kind.starts_with("unknown"),
            _ => false,
        }
    }
}

/// The end of an incarnation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Exit {
    Killed,
    /// SIGTERM, with the resulting exit code.
    Terminated(Option<i32>),
}

/// A revision reported by an entry host.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    pub incarnation: Incarnation,
    #[expect(dead_code, reason = "only read through the `Debug` output")]
    pub step: usize,
    pub revision: u64,
}

/// The requests and loads that arrived at a leaving engine after all hosts knew that it leaves.
#[derive(Clone, Debug)]
pub struct LeaveRecord {
    #[expect(dead_code, reason = "only read through the `Debug` output")]
    pub engine: String,
    #[expect(dead_code, reason = "only read through the `Debug` output")]
    pub steps: (usize, usize),
    /// Number of new requests and loads.
    pub arrivals: u64,
}

/// Everything observed from outside during a run.
#[derive(Debug, Default)]
pub struct History {
    pub calls: Vec<Call>,
    pub exits: Vec<(Incarnation, Exit)>,
    pub revisions: Vec<Observation>,
    pub leaves: Vec<LeaveRecord>,
}
