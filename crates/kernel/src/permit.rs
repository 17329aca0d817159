//! What an entry host asks a steward for, and what it gets.

use std::{net::SocketAddr, time::Duration};

use crate::{
    fault::Fault,
    name::{Host, Model, Tenant, Upstream},
    reference::{Loaded, Reference},
    request::{Class, Id},
};

/// A request for a place on an engine. Times are spans from now, since hosts share no clock.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The request that wants the place.
    pub request: Id,
    /// The entry host that asks, with the incarnation that it has now.
    pub holder: Holder,
    /// The adapter and version.
    pub reference: Reference,
    /// The base model that the adapter belongs to.
    pub model: Model,
    /// Whose request it is.
    pub tenant: Tenant,
    /// How important it is.
    pub class: Class,
    /// How much time is left to the deadline.
    pub remaining: Duration,
    /// A hash of the start of the prompt, for engines that cache prefixes.
    pub prefix: u64,
    /// The most tokens the answer may have.
    pub max_tokens: u32,
}

/// One life of an entry host's process.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Holder {
    /// The host.
    pub host: Host,
    /// Its incarnation; a process that starts takes a higher one.
    pub incarnation: u64,
}

/// The number of a permit, unique for its steward's fencing number.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Number(pub u64);

/// Leave to run one request on one engine, with the adapter loaded and pinned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Permit {
    /// The permit's number.
    pub number: Number,
    /// The engine.
    pub upstream: Upstream,
    /// Where the engine listens.
    pub address: SocketAddr,
    /// The name to ask the engine for.
    pub loaded: Loaded,
    /// The steward's fencing number for this engine.
    pub fence: u64,
    /// The permit is void if the request has not been sent to the engine within this time.
    pub start_by: Duration,
    /// The pin is dropped after this time.
    pub run_by: Duration,
    /// How long the request waited for its adapter to arrive.
    pub load_stall: Duration,
    /// How long the request waited in the steward's queue in all.
    pub queue_wait: Duration,
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request may run.
    Granted(Permit),
    /// The request is refused; it has not run.
    Refused(Fault),
    /// The host that was asked doesn't place the request, which has not run: ask another one.
    NotSteward,
}

/// How the use of a permit ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The engine gave the whole answer.
    Completed,
    /// The permit was never used.
    Unused,
    /// The engine refused: it lacks the adapter, or it can't be reached.
    Refused,
    /// The engine refused because it is leaving.
    Leaving,
    /// The answer broke off.
    Interrupted,
    /// The caller has gone and the engine was told to cancel.
    Cancelled,
}
