//! Table of the known hosts and their entries.

use std::{collections::BTreeMap, time::Instant};

use kernel::name::Domain;

use crate::{
    entry::Store,
    message::Line,
    random,
    record::{Record, Standing},
};

/// The state kept for one other host.
#[derive(Clone, Debug)]
pub struct Peer {
    pub record: Record,
    pub entries: Store,
    /// When the host is declared down if it stays suspected.
    pub suspicion_deadline: Option<Instant>,
    /// When the host was declared down.
    pub down_since: Option<Instant>,
}

impl Peer {
    pub fn is_down(&self) -> bool {
        self.record.standing == Standing::Down
    }

    pub fn is_alive(&self) -> bool {
        self.record.standing == Standing::Alive
    }

    pub fn digest_line(&self) -> Line {
        digest_line(&self.record, &self.entries)
    }
}

/// Creates the digest line of a host.
pub fn digest_line(record: &Record, store: &Store) -> Line {
    Line {
        id: random::host_id(&record.holder.host),
        incarnation: record.holder.incarnation,
        refutation: record.refutation,
        version: store.version(),
    }
}

/// All other known hosts, by the id of their name.
#[derive(Clone, Debug, Default)]
pub struct Table {
    peers: BTreeMap<u64, Peer>,
}

impl Table {
    pub fn get(&self, id: u64) -> Option<&Peer> {
        self.peers.get(&id)
    }

    pub fn get_mut(&mut self, id: u64) -> Option<&mut Peer> {
        self.peers.get_mut(&id)
    }

    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (u64, &Peer)> + Clone {
        self.peers.iter().map(|(id, it)| (*id, it))
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = (u64, &mut Peer)> {
        self.peers.iter_mut().map(|(id, it)| (*id, it))
    }

    /// Inserts a host without entries and returns its id.
    pub fn insert(&mut self, record: Record, suspicion_deadline: Option<Instant>) -> u64 {
        let id = random::host_id(&record.holder.host);
        let peer = Peer {
            record,
            entries: Store::default(),
            suspicion_deadline,
            down_since: None,
        };
        self.peers.insert(id, peer);
        id
    }

    pub fn remove(&mut self, id: u64) -> Option<Peer> {
        self.peers.remove(&id)
    }

    /// The hosts of a failure domain that are not down.
    pub fn in_domain<'a>(&'a self, domain: &'a Domain) -> impl Iterator<Item = (u64, &'a Peer)> {
        self.iter()
            .filter(move |(_, it)| it.record.domain == *domain && !it.is_down())
    }
}
