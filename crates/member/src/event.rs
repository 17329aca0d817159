//! Inputs and outputs of the state machine.

use std::net::SocketAddr;

use kernel::{
    name::{Domain, Host},
    permit::Holder,
    service,
};

use crate::{Message, record::Change};

/// An input of the state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// A gossip message arrived.
    Datagram {
        /// The source address.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Time has passed. Ticks are expected several times in each probe period.
    Tick,
    /// The addresses of seeds, through which members are found.
    Seeds(Vec<SocketAddr>),
    /// The entry hosts on the platform's host list, which may lag behind.
    Listed(Vec<Listing>),
    /// Sets or removes an entry of the own host.
    Publish {
        /// Its key.
        key: String,
        /// Its value, or `None` to remove it.
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
    /// Its state in the host list. A host that the platform is removing is leaving.
    pub state: service::State,
}

/// An output of the state machine, to be carried out by the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// Send a message.
    Send {
        /// The destination.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The state of a member has changed.
    Changed(Change),
    /// An entry of another host was set or removed.
    Entry {
        /// The host that published it.
        owner: Holder,
        /// Its key.
        key: String,
        /// Its value, or `None` if it was removed.
        value: Option<Vec<u8>>,
    },
    /// A later process uses this host's name. Other hosts ignore this process from now on.
    Superseded(Holder),
    /// A configuration revision exists that is higher than any known before.
    Revision {
        /// The revision.
        revision: u64,
        /// A host that knows the revision.
        holder: Holder,
    },
}
