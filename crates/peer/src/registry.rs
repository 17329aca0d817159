//! Registry of accepted connections, with limits on those that are not authenticated.

use std::{collections::BTreeMap, net::IpAddr};

use kernel::name::Host;
use tokio::task::AbortHandle;

use crate::Limits;

/// Identifies an accepted connection. Ids increase in the order of acceptance.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Id(u64);

/// The origin of a connection by its IP address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Origin {
    /// The address belongs to a member.
    Member,
    /// The address belongs to no member.
    Unknown,
}

/// A connection that is not authenticated yet.
#[derive(Debug)]
struct Unauthenticated {
    address: IpAddr,
    origin: Origin,
    abort: AbortHandle,
}

/// All accepted connections.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    last_id: u64,
    unauthenticated: BTreeMap<Id, Unauthenticated>,
    authenticated: BTreeMap<Id, (Host, AbortHandle)>,
}

impl Registry {
    /// Returns the id for a new connection.
    pub fn allocate_id(&mut self) -> Id {
        self.last_id += 1;
        Id(self.last_id)
    }

    /// Adds a connection that is not authenticated, and closes the oldest ones above the limits.
    /// Because a member authenticates within milliseconds, others can't keep it out by holding
    /// connections open. Returns the number of connections closed.
    pub fn insert(
        &mut self,
        id: Id,
        address: IpAddr,
        origin: Origin,
        abort: AbortHandle,
        limits: &Limits,
    ) -> usize {
        let connection = Unauthenticated {
            address,
            origin,
            abort,
        };
        self.unauthenticated.insert(id, connection);
        let of_address = self.close_surplus(limits.unauthenticated_per_address, |it| {
            it.address == address
        });
        let of_unknown =
            self.close_surplus(limits.unauthenticated, |it| it.origin == Origin::Unknown);
        of_address + of_unknown
    }

    /// Closes the oldest of the unauthenticated connections that match the filter, until at most
    /// `max` of them are left. Returns the number of connections closed.
    fn close_surplus(&mut self, max: usize, filter: impl Fn(&Unauthenticated) -> bool) -> usize {
        let matching = self.unauthenticated.iter().filter(|(_, it)| filter(it));
        let ids: Vec<Id> = matching.map(|(id, _)| *id).collect();
        let surplus = ids.len().saturating_sub(max);
        for id in &ids[..surplus] {
            if let Some(connection) = self.unauthenticated.remove(id) {
                connection.abort.abort();
            }
        }
        surplus
    }

    /// Marks a connection as authenticated, if the limit on connections permits.
    pub fn authenticate(&mut self, id: Id, host: Host, limits: &Limits) -> Admission {
        let Some(connection) = self.unauthenticated.remove(&id) else {
            return Admission::NotPending;
        };
        if self.authenticated.len() >= limits.connections {
            self.unauthenticated.insert(id, connection);
            return Admission::Full;
        }
        self.authenticated.insert(id, (host, connection.abort));
        Admission::Admitted
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: Id) {
        self.unauthenticated.remove(&id);
        self.authenticated.remove(&id);
    }

    /// Closes all authenticated connections of a host.
    pub fn close_host(&mut self, host: &Host) {
        self.authenticated.retain(|_, (owner, abort)| {
            let keep = owner != host;
            if !keep {
                abort.abort();
            }
            keep
        });
    }
}

/// Result of [`Registry::authenticate`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Admission {
    /// The connection may make calls.
    Admitted,
    /// The limit on authenticated connections is reached.
    Full,
    /// The connection is authenticated already or is being closed.
    NotPending,
}
