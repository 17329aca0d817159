//! The connections that were accepted, and how many of them strangers may hold.

use std::{collections::BTreeMap, net::IpAddr};

use kernel::name::Host;
use tokio::task::AbortHandle;

use crate::Limits;

/// The number of an accepted connection; later ones have higher numbers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Id(u64);

/// Whether an address belongs to a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Origin {
    Member,
    Unknown,
}

#[derive(Debug)]
struct Guest {
    address: IpAddr,
    origin: Origin,
    abort: AbortHandle,
}

/// Every accepted connection.
#[derive(Debug, Default)]
pub(crate) struct Book {
    next: u64,
    guests: BTreeMap<Id, Guest>,
    entered: BTreeMap<Id, (Host, AbortHandle)>,
}

impl Book {
    /// A number for a new connection.
    pub fn number(&mut self) -> Id {
        self.next += 1;
        Id(self.next)
    }

    /// Takes in a connection that has proved nothing yet. Where there are too many, the oldest is
    /// closed: a member needs only milliseconds to prove the key, so a stranger that holds
    /// connections open keeps no member out. Gives the number of connections closed.
    pub fn admit(
        &mut self,
        id: Id,
        address: IpAddr,
        origin: Origin,
        abort: AbortHandle,
        limits: &Limits,
    ) -> usize {
        let guest = Guest {
            address,
            origin,
            abort,
        };
        self.guests.insert(id, guest);
        let of_address = self.trim(limits.guests_per_address, |it| it.address == address);
        let of_all = self.trim(limits.guests, |it| it.origin == Origin::Unknown);
        of_address + of_all
    }

    fn trim(&mut self, most: usize, counts: impl Fn(&Guest) -> bool) -> usize {
        let counted = self.guests.iter().filter(|(_, it)| counts(it));
        let ids: Vec<Id> = counted.map(|(id, _)| *id).collect();
        let surplus = ids.len().saturating_sub(most);
        for id in &ids[..surplus] {
            if let Some(guest) = self.guests.remove(id) {
                guest.abort.abort();
            }
        }
        surplus
    }

    /// Notes that a connection has proved the key.
    pub fn enter(&mut self, id: Id, host: Host, limits: &Limits) -> Entry {
        let Some(guest) = self.guests.remove(&id) else {
            return Entry::Closed;
        };
        if self.entered.len() >= limits.connections {
            self.guests.insert(id, guest);
            return Entry::Full;
        }
        self.entered.insert(id, (host, guest.abort));
        Entry::Open
    }

    /// Forgets a connection that has ended.
    pub fn leave(&mut self, id: Id) {
        self.guests.remove(&id);
        self.entered.remove(&id);
    }

    /// Closes all connections of a host.
    pub fn close(&mut self, host: &Host) {
        self.entered.retain(|_, (held, abort)| {
            let stays = held != host;
            if !stays {
                abort.abort();
            }
            stays
        });
    }
}

/// What became of a connection that proved the key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Entry {
    /// It may make calls.
    Open,
    /// There are too many connections.
    Full,
    /// It was closed meanwhile.
    Closed,
}
