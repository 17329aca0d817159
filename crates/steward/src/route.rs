//! Chooses the stewards that an entry host asks for a permit.

mod directory;

use std::time::Duration;

use kernel::{
    name::{Domain, Host, Model, Upstream},
    reference::Reference,
    service::State,
};

pub use directory::Directory;

/// The occupancy of an engine's batch, in eighths.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Occupancy(pub u8);

impl Occupancy {
    /// A full batch.
    pub const FULL: Self = Self(8);

    /// Computes the occupancy of a batch.
    pub fn new(running: u32, capacity: u32) -> Self {
        let eighths = running.saturating_mul(8) / capacity.max(1);
        Self(u8::try_from(eighths.min(8)).unwrap_or(8))
    }
}

/// How long a new load waits before it begins at a steward.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Backlog {
    /// The load begins within 20 ms.
    #[default]
    None,
    /// The load waits up to 250 ms.
    Short,
    /// The load waits up to one second.
    Medium,
    /// The load waits up to four seconds.
    Long,
    /// The load waits longer, or loads currently fail.
    Blocked,
}

impl Backlog {
    /// Classifies a wait. `None` means that no load can begin.
    pub fn new(wait: Option<Duration>) -> Self {
        match wait.map(|it| it.as_millis()) {
            Some(0..=20) => Self::None,
            Some(21..=250) => Self::Short,
            Some(251..=1000) => Self::Medium,
            Some(1001..=4000) => Self::Long,
            _ => Self::Blocked,
        }
    }
}

/// A change of an engine that its steward publishes to all entry hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The sender is steward of the engine and knows its slots. The directory lists no loaded
    /// adapter until the sender publishes one.
    Added {
        /// The failure domain that the engine is in.
        domain: Domain,
        /// The base model that the engine serves.
        model: Model,
        /// The fencing token of the sender's stewardship.
        fence: u64,
        /// The availability of the engine.
        state: State,
    },
    /// The engine accepts new requests for the adapter.
    Loaded(Reference),
    /// The engine no longer accepts new requests for the adapter.
    Unloaded(Reference),
    /// The approximate occupancy of the batch.
    Occupancy(Occupancy),
    /// The availability of the engine changed.
    State(State),
    /// The sender is no longer steward of the engine, or can't reach it.
    Removed,
}

/// A steward to ask for a permit, and the engine that it is asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The engine.
    pub engine: Upstream,
    /// Its steward.
    pub steward: Host,
}
