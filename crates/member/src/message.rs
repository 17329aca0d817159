//! Gossip messages.

use std::net::SocketAddr;

use kernel::permit::Holder;

use crate::record::Record;

/// One gossip message, sent as a datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// The sender's own record.
    pub sender: Record,
    /// The highest configuration revision that the sender knows to exist.
    pub revision: u64,
    /// Records of other hosts that the sender passes on. They may include the receiver's.
    pub records: Vec<Record>,
    /// The purpose of the message.
    pub body: Body,
}

/// The purpose of a message and its data.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Body {
    /// The message only carries records.
    News,
    /// Requests an `Ack` with this number.
    Ping(u64),
    /// Answers a `Ping`.
    Ack(u64),
    /// Requests to ping a third host and to forward its `Ack`.
    Relay {
        /// The number that the forwarded `Ack` carries.
        number: u64,
        /// The address of the host to ping.
        target: SocketAddr,
    },
    /// Requests the records of all hosts that the receiver knows.
    Join,
    /// A digest: the versions that the sender has of some hosts.
    Sync(Vec<Line>),
    /// An update in answer to a `Sync` or another `Delta`.
    Delta(Update),
}

/// The answer to a digest or to another update.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Update {
    /// Entries that the receiver lacks.
    pub deltas: Vec<Delta>,
    /// The sender's digest lines of hosts for which it lacks data that the receiver has.
    pub requested: Vec<Line>,
    /// The sender's digest lines of hosts for which the receiver will still lack entries after this
    /// update. The receiver requests them in turn, so that it controls the pace of long transfers.
    pub remaining: Vec<Line>,
}

/// A digest line: the versions that its sender has of one host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Line {
    /// The host's id, a hash of its name.
    pub id: u64,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its refutation count.
    pub refutation: u32,
    /// The version up to which the sender of the line has the host's entries.
    pub version: u64,
}

/// A published entry, as exchanged by gossip.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Its key, unique per owner.
    pub key: String,
    /// Its version, unique among the entries of one owner.
    pub version: u64,
    /// Its value, or `None` if it was removed.
    pub value: Option<Vec<u8>>,
}

/// Entries of one owner for a receiver that has all versions up to `after`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Delta {
    /// The owner.
    pub owner: Holder,
    /// The version that the receiver must have reached to apply the delta.
    pub after: u64,
    /// The version that the receiver reaches with these entries.
    pub upto: u64,
    /// The entries, in ascending order of version.
    pub entries: Vec<Entry>,
}
