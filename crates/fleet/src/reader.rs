//! Which hosts of a failure domain read the store's lists, and from whom the others take them.
//!
//! Load pattern that this answers: tens of hosts in a domain, of which each would watch every engine, while
//! each call to the store is paid for; and a host that reads for others and is lost, frozen or cut off.

use std::{sync::Arc, time::Duration};

use crate::rendezvous;

/// Hosts that read in a domain: two, so that one may be lost at any moment.
const READERS: usize = 2;

/// Hosts of a domain for each reader: what a reader hands on costs it time and bytes for each of them.
const HOSTS_PER_READER: usize = 10;

/// How a host sees the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Observation {
    /// It takes the lists from a reader.
    #[default]
    Following,
    /// It reads the lists; this long ago they were complete.
    Reading(Duration),
    /// The store doesn't answer it.
    StoreUnreachable,
}

impl Observation {
    /// How long ago its lists were complete, if it reads them.
    pub fn age(self) -> Option<Duration> {
        match self {
            Self::Reading(age) => Some(age),
            Self::Following | Self::StoreUnreachable => None,
        }
    }
}

/// Another host of the domain that lives.
#[derive(Clone, Debug)]
pub struct DomainHost {
    /// Its name.
    pub name: Arc<str>,
    /// How it sees the store.
    pub observation: Observation,
}

/// What a host does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Role {
    /// It reads the lists itself.
    Read,
    /// It takes them from this host.
    Follow(Arc<str>),
}

/// The role of a host. The first of the living hosts in a common order read; a host whose readers all know
/// less than the bound allows reads for itself.
pub fn choose_role(own: &str, domain: &str, others: &[DomainHost], bound: Duration) -> Role {
    let readers = READERS.max((others.len() + 1).div_ceil(HOSTS_PER_READER));
    let weight = |name: &str| {
        (
            rendezvous::weight(domain, name),
            rendezvous::weight(name, ""),
        )
    };
    let mine = weight(own);
    let before = others
        .iter()
        .filter(|it| it.observation != Observation::StoreUnreachable && weight(&it.name) > mine)
        .count();
    if before < readers {
        return Role::Read;
    }
    let fresh = |it: &&DomainHost| it.observation.age().is_some_and(|age| age <= bound);
    others
        .iter()
        .filter(fresh)
        .max_by_key(|it| rendezvous::weight(own, &it.name))
        .map_or(Role::Read, |it| Role::Follow(it.name.clone()))
}
