//! What hosts tell each other by gossip.

use std::net::SocketAddr;

use kernel::permit::Holder;

use crate::record::Record;

/// One datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// Who sends it.
    pub sender: Record,
    /// The highest configuration revision that the sender knows to exist.
    pub revision: u64,
    /// Beliefs that the sender passes on.
    pub records: Vec<Record>,
    /// What the message is for.
    pub body: Body,
}

/// What a message is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Body {
    /// Only to pass on beliefs.
    News,
    /// Asks for an `Ack` with this number.
    Ping(u64),
    /// Answers a `Ping`.
    Ack(u64),
    /// Asks to probe a third host and to pass its `Ack` on.
    Relay {
        /// The number that the passed-on `Ack` carries.
        number: u64,
        /// The host to probe.
        target: SocketAddr,
    },
    /// Asks for everything that the receiver knows of hosts.
    Join,
    /// Says how much the sender knows of some hosts.
    Sync(Vec<Line>),
    /// Answers a `Sync`.
    Delta(Update),
}

/// The answer to a digest.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Update {
    /// Entries that the receiver lacks.
    pub deltas: Vec<Delta>,
    /// What the sender lacks, as far as it could see.
    pub requested: Vec<Line>,
    /// What the receiver will still lack after this answer, to be asked for in turn. This paces a
    /// long transfer by the receiver.
    pub remaining: Vec<Line>,
}

/// How much the sender knows of one host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Line {
    /// The short id of the host.
    pub id: u64,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its count of refutations.
    pub refutation: u32,
    /// The version up to which the sender has its entries.
    pub version: u64,
}

/// A published entry as it travels.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Its key, unique for its owner.
    pub key: String,
    /// Its version; versions of one owner's entries are all different.
    pub version: u64,
    /// Its value; none if it was removed.
    pub value: Option<Vec<u8>>,
}

/// Entries of one owner, for a receiver that has the versions up to `after`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Delta {
    /// The owner.
    pub owner: Holder,
    /// The version that the receiver must have reached.
    pub after: u64,
    /// The version that the receiver reaches with these entries.
    pub upto: u64,
    /// The entries, by rising version.
    pub entries: Vec<Entry>,
}
