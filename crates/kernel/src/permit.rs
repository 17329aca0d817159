//! Permits: an entry host requests one from a steward before it runs a request on an engine.
//!
//! The steward of an engine decides which requests run on it and which adapters it loads.

use std::{net::SocketAddr, time::Duration};

use crate::{
    fault::Fault,
    name::{Host, Model, Tenant, Upstream},
    reference::{Loaded, Reference},
    request::{Class, Id},
};

/// A permit request. Its times are durations, because hosts share no clock.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The id of the client's request.
    pub request: Id,
    /// The entry host that will hold the permit.
    pub holder: Holder,
    /// The requested adapter and version.
    pub reference: Reference,
    /// The base model of the adapter.
    pub model: Model,
    /// The client account of the request.
    pub tenant: Tenant,
    /// The priority class of the request.
    pub class: Class,
    /// The time left until the request's deadline.
    pub remaining: Duration,
    /// A hash of the start of the prompt, for engines that cache prompt prefixes.
    pub prefix: u64,
    /// The maximum number of tokens in the answer.
    pub max_tokens: u32,
}

/// One incarnation of an entry host, which can hold permits.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Holder {
    /// The host.
    pub host: Host,
    /// The incarnation of the host's process. Each restart uses a higher number.
    pub incarnation: u64,
}

/// The number of a permit, unique among the permits that a steward grants under one fencing token.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Number(pub u64);

/// Permission to run one request on one engine, with the adapter loaded and pinned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Permit {
    /// The number of the permit.
    pub number: Number,
    /// The engine that may run the request.
    pub upstream: Upstream,
    /// The address where the engine listens.
    pub address: SocketAddr,
    /// The name under which the engine has loaded the adapter.
    pub loaded: Loaded,
    /// The steward's fencing token for this engine.
    pub fence: u64,
    /// The time within which the request has to be sent to the engine. The permit expires after
    /// that.
    pub start_by: Duration,
    /// The time after which the steward releases the pin on the adapter.
    pub run_by: Duration,
    /// The time that the request waited for its adapter to be loaded.
    pub load_stall: Duration,
    /// The total time that the request waited in the steward's queue.
    pub queue_wait: Duration,
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request may run on an engine.
    Granted(Permit),
    /// The request is refused and has not run.
    Refused(Fault),
    /// The host that received the permit request is not the steward for it. The request has not
    /// run, and the entry host has to ask another host.
    NotSteward,
}

/// The outcome of using a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The engine sent the complete answer.
    Completed,
    /// The permit was never used.
    Unused,
    /// The engine does not have the adapter or can't be reached.
    Refused,
    /// The engine refused the request because it is shutting down.
    Leaving,
    /// The answer ended before it was complete.
    Interrupted,
    /// The caller disconnected, and the request to the engine was canceled.
    Cancelled,
}
