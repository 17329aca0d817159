//! Which stewards an entry host asks for a place, by what it knows of all engines.

mod directory;

use std::time::Duration;

use kernel::{
    name::{Domain, Host, Model, Upstream},
    reference::Reference,
    service::State,
};

pub use directory::Directory;

/// How full the batch of an engine is, in eighths.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Occupancy(pub u8);

impl Occupancy {
    /// A full batch.
    pub const FULL: Self = Self(8);

    /// The level of a batch.
    pub fn new(running: u32, capacity: u32) -> Self {
        let eighths = running.saturating_mul(8) / capacity.max(1);
        Self(u8::try_from(eighths.min(8)).unwrap_or(8))
    }
}

/// How long a new load waits before it begins at a steward.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Backlog {
    /// It begins almost at once.
    #[default]
    None,
    /// It waits up to a quarter of a second.
    Short,
    /// It waits up to one second.
    Medium,
    /// It waits up to four seconds.
    Long,
    /// It waits longer, or loads fail at present.
    Blocked,
}

impl Backlog {
    /// The class of a wait; no wait means that no load can begin.
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

/// What a steward tells all entry hosts of one of its engines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The sender is steward of the engine and knows its contents, which are empty until told.
    Added {
        /// Where the engine stands.
        domain: Domain,
        /// The base model that it serves.
        model: Model,
        /// The sender's fencing number.
        fence: u64,
        /// Whether it takes new work.
        state: State,
    },
    /// An adapter takes new work there.
    Loaded(Reference),
    /// An adapter doesn't take new work there any more.
    Unloaded(Reference),
    /// The batch is about this full.
    Occupancy(Occupancy),
    /// The host list says something new.
    State(State),
    /// The sender is steward of it no longer, or can't reach it.
    Removed,
}

/// A steward to ask, and the engine that it is asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The engine.
    pub engine: Upstream,
    /// Its steward.
    pub steward: Host,
}
