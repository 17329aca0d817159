//! The hosts that are known, with their entries.

use std::{collections::BTreeMap, time::Instant};

use kernel::name::Domain;

use crate::{
    entry::Store,
    message::Line,
    random,
    record::{Record, Standing},
};

/// What is known of one other host.
#[derive(Clone, Debug)]
pub struct Peer {
    pub record: Record,
    pub store: Store,
    /// When a suspicion becomes a death.
    pub confirm_at: Option<Instant>,
    /// When the host was found dead.
    pub down_at: Option<Instant>,
}

impl Peer {
    pub fn is_down(&self) -> bool {
        self.record.standing == Standing::Down
    }

    pub fn is_alive(&self) -> bool {
        self.record.standing == Standing::Alive
    }

    pub fn line(&self) -> Line {
        line(&self.record, &self.store)
    }
}

/// The digest line of a host.
pub fn line(record: &Record, store: &Store) -> Line {
    Line {
        id: random::id(&record.holder.host),
        incarnation: record.holder.incarnation,
        refutation: record.refutation,
        version: store.version(),
    }
}

/// Every other host that is known, by the short id of its name.
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

    pub fn insert(&mut self, record: Record, confirm_at: Option<Instant>) -> u64 {
        let id = random::id(&record.holder.host);
        let peer = Peer {
            record,
            store: Store::default(),
            confirm_at,
            down_at: None,
        };
        self.peers.insert(id, peer);
        id
    }

    pub fn remove(&mut self, id: u64) -> Option<Peer> {
        self.peers.remove(&id)
    }

    /// The hosts of a failure domain that are not dead.
    pub fn in_domain<'a>(&'a self, domain: &'a Domain) -> impl Iterator<Item = (u64, &'a Peer)> {
        self.iter()
            .filter(move |(_, it)| it.record.domain == *domain && !it.is_down())
    }
}
