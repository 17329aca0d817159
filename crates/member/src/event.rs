//! What goes into the state machine and what comes out of it.

use std::net::SocketAddr;

use kernel::{
    name::{Domain, Host},
    permit::Holder,
    service,
};

use crate::{Message, record::Change};

/// Something that happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// A message of a member arrived.
    Datagram {
        /// Where it came from.
        from: SocketAddr,
        /// What it says.
        message: Message,
    },
    /// Time has passed. Ticks should come several times in each period.
    Tick,
    /// Addresses at which to look for members.
    Seeds(Vec<SocketAddr>),
    /// The entry hosts on the platform's lagging host list.
    Listed(Vec<Listing>),
    /// Sets or removes an entry of the own host.
    Publish {
        /// Its key.
        key: String,
        /// Its value; none to remove it.
        value: Option<Vec<u8>>,
    },
    /// A configuration revision is known to exist.
    Revision(u64),
    /// The own host is shutting down.
    Leave,
}

/// An entry host on the platform's host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
    /// The host.
    pub host: Host,
    /// Its peer address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Whether the platform takes it away.
    pub state: service::State,
}

/// Something to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// Send a message.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        message: Message,
    },
    /// A member has changed.
    Changed(Change),
    /// An entry of another host has changed or vanished.
    Entry {
        /// The host that published it.
        owner: Holder,
        /// Its key.
        key: String,
        /// Its value; none if it vanished.
        value: Option<Vec<u8>>,
    },
    /// A later process has taken this host's name; nothing that this one says is heard any more.
    Superseded(Holder),
    /// A configuration revision higher than any known before exists.
    Revision {
        /// The revision.
        revision: u64,
        /// A host that knows of it.
        holder: Holder,
    },
}
