//! What was asked and what came back.

use crate::fixture::Delivery;

/// A life of an entry host: the host and how often it had been started before.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Incarnation {
    pub entry: usize,
    pub number: usize,
}

/// What a request asks for.
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

/// What came of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A status of 200 and the whole body.
    Whole(String),
    /// A stream that began.
    Streamed(Streamed),
    /// Another status and body, passed on from an upstream.
    PassedOn(String),
    /// A refusal.
    Refused { kind: String, ran: String },
    /// The connection was refused or broke before the whole answer came.
    Lost(String),
    /// The caller did not wait any longer.
    GivenUp,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// By `[DONE]`.
    Done,
    /// By an error event.
    Error,
    /// The connection broke.
    Broken,
    /// The connection was ended in order, with neither.
    Silent,
    /// The caller did not wait any longer.
    GivenUp,
}

/// What was read of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Streamed {
    /// The model and the text of each chunk.
    pub chunks: Vec<(String, String)>,
    pub end: End,
}

/// A request and what came of it.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub incarnation: Incarnation,
    /// The step at which it was sent.
    #[expect(dead_code, reason = "it is printed with the rest")]
    pub step: usize,
    pub operation: Operation,
    pub outcome: Outcome,
}

impl Call {
    /// Whether it was refused for another reason than that there is no such service, adapter or
    /// version.
    pub fn is_retryable(&self) -> bool {
        match &self.outcome {
            Outcome::Refused { kind, .. } => !kind.starts_with("unknown"),
            _ => false,
        }
    }
}

/// How the life of an entry host ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Exit {
    Killed,
    /// After SIGTERM, with this exit code.
    Terminated(Option<i32>),
}

/// A revision that an entry host told.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    pub incarnation: Incarnation,
    #[expect(dead_code, reason = "it is printed with the rest")]
    pub step: usize,
    pub revision: u64,
}

/// What a leaving engine got after every host knew.
#[derive(Clone, Debug)]
pub struct LeaveRecord {
    #[expect(dead_code, reason = "it is printed with the rest")]
    pub engine: String,
    #[expect(dead_code, reason = "it is printed with the rest")]
    pub steps: (usize, usize),
    /// Requests and loads that came.
    pub arrivals: u64,
}

/// Everything that was seen from outside.
#[derive(Debug, Default)]
pub struct History {
    pub calls: Vec<Call>,
    pub exits: Vec<(Incarnation, Exit)>,
    pub revisions: Vec<Observation>,
    pub leaves: Vec<LeaveRecord>,
}
