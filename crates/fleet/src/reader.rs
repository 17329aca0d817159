//! Decides which hosts of a failure domain read the store's lists (configuration, engines and versions), and
//! from which host the others take them.
//!
//! A domain has tens of hosts. If each of them watched every engine, the cost would grow with their number,
//! since each call to the store is billed. A host that reads for others may crash, freeze or be partitioned.

use std::{sync::Arc, time::Duration};

use crate::{rendezvous, store_call::RecoveryBound};

/// Minimum number of readers in a domain; with two of them, one may fail at any time.
const MIN_READERS: usize = 2;

/// Hosts of a domain per reader: forwarding the lists costs a reader time and bytes for each host.
const HOSTS_PER_READER: usize = 10;

/// Time between two probes of an unavailable store by a host that is to read it.
const PROBE_INTERVAL: Duration = Duration::from_millis(600);

/// Fraction of the bound on the detection of a recovery for which the other hosts wait between two probes.
const OTHERS_PROBE_FRACTION: f64 = 0.45;

/// How a host currently gets the lists.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReadState {
    /// The host takes the lists from a reader.
    #[default]
    Following,
    /// The host reads the lists itself; the duration is the age of its last complete read.
    Reading(Duration),
    /// The store doesn't answer the host.
    StoreUnreachable,
}

impl ReadState {
    /// Returns the age of the host's lists if it reads them itself.
    pub fn age(self) -> Option<Duration> {
        match self {
            Self::Reading(age) => Some(age),
            Self::Following | Self::StoreUnreachable => None,
        }
    }
}

/// Another live host of the domain.
#[derive(Clone, Debug)]
pub struct DomainHost {
    /// Its name.
    pub name: Arc<str>,
    /// How it gets the lists.
    pub read_state: ReadState,
}

/// How a host is to get the lists.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Role {
    /// Read the lists itself.
    Read,
    /// Take the lists from this host.
    Follow(Arc<str>),
}

/// Chooses the role of host `own`. The live hosts are ranked, with the same result on all of them, and the
/// highest ranked read. A host also reads if the lists of all readers are older than `max_age`.
pub fn choose_role(own: &str, domain: &str, others: &[DomainHost], max_age: Duration) -> Role {
    let usable = |it: &&DomainHost| it.read_state != ReadState::StoreUnreachable;
    if count_ranked_higher(own, domain, others.iter().filter(usable)) < reader_count(others) {
        return Role::Read;
    }
    let fresh = |it: &&DomainHost| it.read_state.age().is_some_and(|age| age <= max_age);
    others
        .iter()
        .filter(fresh)
        .max_by_key(|it| rendezvous::weight(own, &it.name))
        .map_or(Role::Read, |it| Role::Follow(it.name.clone()))
}

/// Number of readers of a domain with these hosts and one more.
fn reader_count(others: &[DomainHost]) -> usize {
    MIN_READERS.max((others.len() + 1).div_ceil(HOSTS_PER_READER))
}

/// Counts the hosts that rank higher than host `own`.
fn count_ranked_higher<'a>(
    own: &str,
    domain: &str,
    others: impl Iterator<Item = &'a DomainHost>,
) -> usize {
    let rank = |name: &str| {
        (
            rendezvous::weight(domain, name),
            rendezvous::weight(name, ""),
        )
    };
    let own_rank = rank(own);
    others.filter(|it| rank(&it.name) > own_rank).count()
}

/// Returns the time between two probes of host `own` while the store doesn't answer it.
///
/// In an outage of the store, all hosts of a domain lose their readers at the same moment. Only as many as there
/// are readers probe often. The others learn of the recovery from them, and probe seldom in case that only they
/// are cut off from the store.
pub fn probe_interval(
    own: &str,
    domain: &str,
    others: &[DomainHost],
    bound: RecoveryBound,
) -> Duration {
    if count_ranked_higher(own, domain, others.iter()) < reader_count(others) {
        PROBE_INTERVAL
    } else {
        PROBE_INTERVAL.max(bound.0.mul_f64(OTHERS_PROBE_FRACTION))
    }
}
