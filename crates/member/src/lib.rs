//! Membership of entry hosts by gossip, and which host is steward of which engine. No I/O here.
//!
//! Every host probes a few members of its own failure domain in each period, passes on news of
//! joins, suspicions and deaths, and repairs what got lost by comparing versions with a random
//! member. The same comparison carries the entries that hosts publish.

mod belief;
pub mod entry;
pub mod event;
pub mod message;
mod news;
mod probe;
pub mod random;
pub mod record;
pub mod settings;
pub mod state;
pub mod steward;
mod sync;
mod table;

pub use event::{Input, Listing, Output};
pub use message::Message;
pub use record::{Change, Condition, Member};
pub use settings::{Detail, Settings};
pub use state::State;

use std::net::SocketAddr;

use kernel::{name::Domain, permit::Holder};

/// The host that runs this code.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Its name and incarnation.
    pub holder: Holder,
    /// Its failure domain.
    pub domain: Domain,
    /// Where its peers reach it.
    pub address: SocketAddr,
}
