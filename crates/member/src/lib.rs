//! Gossip membership of entry hosts and the choice of the steward of each engine. This crate
//! performs no I/O.
//!
//! In each period, every host probes a few members of its own failure domain. Joins, suspicions
//! and failures are broadcast to a few members and piggybacked on later messages. Anti-entropy
//! repairs lost updates: a host compares versions with a random member. The same exchange
//! replicates the entries that hosts publish.

mod broadcast;
pub mod entry;
pub mod event;
pub mod message;
mod probe;
pub mod random;
pub mod record;
pub mod settings;
pub mod state;
pub mod steward;
mod sync;
mod table;
mod view;

pub use event::{Input, Listing, Output};
pub use message::Message;
pub use record::{Change, Condition, Member};
pub use settings::{Detail, Settings};
pub use state::State;

use std::net::SocketAddr;

use kernel::{name::Domain, permit::Holder};

/// The identity of the host on which a [`State`] runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// The host's name and incarnation.
    pub holder: Holder,
    /// The host's failure domain.
    pub domain: Domain,
    /// The address at which peers reach the host.
    pub address: SocketAddr,
}
