//! The events that a steward handles and the actions that it decides on.

use std::{net::SocketAddr, time::Instant};

use kernel::{
    name::Upstream,
    permit::{Holder, Number, Outcome, Request, Verdict},
    reference::Loaded,
    service::{Fencing, Instance},
};

use crate::{
    lending::{Demand, Loan},
    route::{Backlog, Change},
    settings::Objective,
};

/// Identifies a permit request until it is answered. The caller of the state machine chooses it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Identifies a load or unload order until its result is known.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Order(pub u64);

/// How the previous stewardship of an engine ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Predecessor {
    /// There was no previous stewardship.
    None,
    /// The previous steward released the engine.
    Released,
    /// The previous steward's host or process incarnation has ended.
    Gone,
    /// The previous steward may still act on the engine.
    Unknown,
}

/// The result of a load or unload order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderResult {
    /// The engine carried out the order.
    Done,
    /// The engine tried and failed, for the given reason.
    Failed(String),
    /// The engine keeps the adapter because a request runs on it.
    Busy,
    /// The engine has seen a higher fencing token.
    StaleFence,
    /// The engine doesn't have the adapter loaded.
    NotLoaded,
    /// The engine has no free slot.
    NoSlot,
    /// The engine accepts no orders because it is leaving.
    Leaving,
    /// No answer arrived. The engine may have carried out the order.
    Unknown,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// This host became steward of an engine. The next slot report lists what the engine has
    /// loaded.
    Acquired {
        /// The engine.
        engine: Instance,
        /// The fencing token of this stewardship.
        fence: u64,
        /// The engine's handling of fencing tokens.
        fencing: Fencing,
        /// How the previous stewardship ended.
        predecessor: Predecessor,
    },
    /// The previous steward has ended, so the adapters that it loaded can be adopted.
    PredecessorEnded {
        /// The engine.
        engine: Upstream,
    },
    /// This host is no longer steward of the engine.
    Lost {
        /// The engine.
        engine: Upstream,
    },
    /// The host list has a new record of the engine.
    InstanceChanged {
        /// The new record.
        engine: Instance,
    },
    /// The engine can't be reached.
    Unreachable {
        /// The engine.
        engine: Upstream,
    },
    /// A slot report: what the engine has loaded.
    SlotReport {
        /// The engine.
        engine: Upstream,
        /// When the report was requested. A report requested before the last order was issued
        /// or ended is outdated.
        requested_at: Instant,
        /// The engine's incarnation.
        incarnation: u64,
        /// Number of adapter slots.
        slots: u32,
        /// The loaded adapters, each with the number of requests that run on it.
        loaded: Vec<(Loaded, u32)>,
    },
    /// A batch report, which lags behind the engine's actual state.
    BatchReport {
        /// The engine.
        engine: Upstream,
        /// Number of requests that ran.
        running: u32,
        /// Number of requests that waited inside the engine.
        waiting: u32,
        /// Number of requests that the engine can run at once.
        capacity: u32,
    },
    /// A caller requests a permit to run a request.
    PermitRequest {
        /// Identifies the request until it is answered.
        ticket: Ticket,
        /// The request.
        request: Request,
    },
    /// The caller of a waiting request no longer needs an answer.
    Withdraw {
        /// The ticket of the request.
        ticket: Ticket,
    },
    /// A permit is no longer in use.
    Release {
        /// The permit.
        number: Number,
        /// How the use of the permit ended.
        outcome: Outcome,
    },
    /// An entry host's process has terminated, and its requests with it.
    HolderTerminated {
        /// The process incarnation.
        holder: Holder,
    },
    /// A load or unload order has ended.
    OrderEnded {
        /// The order.
        order: Order,
        /// The result.
        result: OrderResult,
    },
    /// Sets the minimum that is guaranteed to this steward while it can't use the pool.
    GuaranteedLimits {
        /// Number of loads that may begin per second.
        rate_per_second: f64,
        /// Number of loads that may begin at once after a pause.
        burst: u32,
        /// Number of loads that may be in flight.
        max_in_flight: u32,
    },
    /// The operators changed the weights of the objective.
    ObjectiveChanged(Objective),
    /// A loan message of the pool arrived.
    LoanReceived(Loan),
    /// Time has passed.
    Tick,
}

/// An output of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answers a permit request.
    Answer {
        /// The ticket of the request.
        ticket: Ticket,
        /// The answer.
        verdict: Verdict,
    },
    /// Tells the caller to try another steward. The request has not run.
    Redirect {
        /// The ticket of the request.
        ticket: Ticket,
    },
    /// Orders an engine to load an adapter.
    Load {
        /// Identifies the order.
        order: Order,
        /// The engine.
        engine: Upstream,
        /// The address that the engine listens on.
        address: SocketAddr,
        /// The adapter to load and its load epoch.
        loaded: Loaded,
        /// The fencing token to send with the order.
        fence: u64,
    },
    /// Orders an engine to unload an adapter.
    Unload {
        /// Identifies the order.
        order: Order,
        /// The engine.
        engine: Upstream,
        /// The address that the engine listens on.
        address: SocketAddr,
        /// The adapter to unload and its load epoch.
        loaded: Loaded,
        /// The fencing token to send with the order.
        fence: u64,
    },
    /// Requests a slot report of an engine soon.
    QueryStatus {
        /// The engine.
        engine: Upstream,
    },
    /// Publishes a change of an engine to the directories of all entry hosts.
    Publish {
        /// The engine.
        engine: Upstream,
        /// The change.
        change: Change,
    },
    /// Publishes how long a new load waits at this steward to the directories of all entry hosts.
    PublishBacklog {
        /// The wait.
        backlog: Backlog,
    },
    /// Sends this steward's demand for loads to the pool.
    SendDemand(Demand),
    /// A later steward has taken over the engine. This stewardship has ended.
    Superseded {
        /// The engine.
        engine: Upstream,
    },
}
