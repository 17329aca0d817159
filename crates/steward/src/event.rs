//! What a steward is told, and what it decides.

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

/// Names a waiting [`Request`]; the caller of the state machine chooses it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Names a load or unload order until its result is known.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Order(pub u64);

/// What became of the steward that an engine had before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Predecessor {
    /// The engine had none.
    None,
    /// It gave the stewardship up itself.
    Released,
    /// Its host or its incarnation has ended.
    Gone,
    /// It may still act.
    Unknown,
}

/// How a load or unload order ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderResult {
    /// The engine carried it out.
    Done,
    /// The engine tried and failed, for the reason given.
    Failed(String),
    /// The engine keeps the adapter because a request runs on it.
    Busy,
    /// The engine knows a higher fencing number.
    StaleFence,
    /// The engine has no such adapter.
    NotLoaded,
    /// The engine has no free slot.
    NoSlot,
    /// The engine takes no orders because it is leaving.
    Leaving,
    /// No answer came; the order may have been carried out.
    Unknown,
}

/// What a steward is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// This host became steward of an engine. Its contents come with the next report.
    Acquired {
        /// The engine.
        engine: Instance,
        /// The fencing number of this stewardship.
        fence: u64,
        /// Whether the engine checks fencing numbers.
        fencing: Fencing,
        /// What became of the steward before.
        predecessor: Predecessor,
    },
    /// The steward before has ended, so that what it loaded can be adopted.
    PredecessorEnded {
        /// The engine.
        engine: Upstream,
    },
    /// This host is steward of an engine no longer.
    Lost {
        /// The engine.
        engine: Upstream,
    },
    /// The host list says something new of an engine.
    InstanceChanged {
        /// The engine as it is now.
        engine: Instance,
    },
    /// An engine can't be reached.
    Unreachable {
        /// The engine.
        engine: Upstream,
    },
    /// The exact report of an engine.
    SlotReport {
        /// The engine.
        engine: Upstream,
        /// When the report was asked for; changes known since then outrank it.
        requested_at: Instant,
        /// The engine's incarnation.
        incarnation: u64,
        /// How many adapter slots it has.
        slots: u32,
        /// What is loaded, with the number of requests that run on each.
        loaded: Vec<(Loaded, u32)>,
    },
    /// The lagging report of an engine.
    BatchReport {
        /// The engine.
        engine: Upstream,
        /// Requests that ran.
        running: u32,
        /// Requests that waited inside the engine.
        waiting: u32,
        /// Requests that can run together.
        capacity: u32,
    },
    /// A request wants a place.
    PermitRequest {
        /// Names the request until it is answered.
        ticket: Ticket,
        /// The request.
        request: Request,
    },
    /// The caller of a waiting request has gone.
    Withdraw {
        /// The request.
        ticket: Ticket,
    },
    /// A permit is not used any more.
    Release {
        /// The permit.
        number: Number,
        /// How its use ended.
        outcome: Outcome,
    },
    /// An entry host's process has ended, and with it what it ran.
    HolderTerminated {
        /// The process.
        holder: Holder,
    },
    /// A load or unload order has ended.
    OrderEnded {
        /// The order.
        order: Order,
        /// How it ended.
        result: OrderResult,
    },
    /// The floor of this steward: its share of the weight store's limits while it has no pool.
    GuaranteedLimits {
        /// Loads that may begin in a second.
        rate_per_second: f64,
        /// Loads that may begin at once after a pause.
        burst: u32,
        /// Loads that may be in flight.
        max_in_flight: u32,
    },
    /// The operators weigh the two measures anew.
    ObjectiveChanged(Objective),
    /// The pool of the weight store's limits says how things stand.
    LoanReceived(Loan),
    /// Time has passed.
    Tick,
}

/// What a steward decides.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answers a waiting request.
    Answer {
        /// The request.
        ticket: Ticket,
        /// The answer.
        verdict: Verdict,
    },
    /// Tells the asker to try another steward; the request has not run.
    Redirect {
        /// The request.
        ticket: Ticket,
    },
    /// Orders an engine to load an adapter.
    Load {
        /// Names the order.
        order: Order,
        /// The engine.
        engine: Upstream,
        /// Where it listens.
        address: SocketAddr,
        /// What to load, and under which epoch.
        loaded: Loaded,
        /// The fencing number to send along.
        fence: u64,
    },
    /// Orders an engine to unload an adapter.
    Unload {
        /// Names the order.
        order: Order,
        /// The engine.
        engine: Upstream,
        /// Where it listens.
        address: SocketAddr,
        /// What to unload.
        loaded: Loaded,
        /// The fencing number to send along.
        fence: u64,
    },
    /// Asks for an exact report of an engine soon.
    QueryStatus {
        /// The engine.
        engine: Upstream,
    },
    /// Tells the directories of all entry hosts what changed at an engine.
    Publish {
        /// The engine.
        engine: Upstream,
        /// What changed.
        change: Change,
    },
    /// Tells the directories of all entry hosts how long a new load waits at this steward.
    PublishBacklog {
        /// The wait.
        backlog: Backlog,
    },
    /// Tells the pool of the weight store's limits what this steward needs.
    SendDemand(Demand),
    /// The fencing number of this stewardship is out of date; the engine is treated as lost.
    Superseded {
        /// The engine.
        engine: Upstream,
    },
}
