//! Remembers which build of an engine began each stream, so that only engines of the same build continue it.
//!
//! The output of two builds does not fit together, and engines don't check who began a stream. A caller that resumes
//! a stream names the request that began it, and may come to another host than before. So each host tells a few
//! others which build began a stream ([`record_holders`]), and a host that doesn't know it asks those
//! ([`holders_to_ask`]). A stream of unknown origin isn't continued.
//!
//! A service whose engines are all of one build needs no records: whoever began a stream was of that build. No record
//! is sent while a host has followed the list of engines for as long as a stream can last and has seen one build only.
//! The origin of a stream without a record is computed from its assignment ([`crate::assignment`]). Only where streams
//! began without one, the list decides: such a stream is continued if the hosts that were asked have all seen the same
//! build only.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use crate::{
    Time,
    listing::{Build, Listing},
    rendezvous,
    table::Table,
};

/// Time after its beginning, or after it was last resumed, in which a stream can be resumed.
pub const STREAM_TTL: Duration = Duration::from_mins(1);

/// Maximum time between two complete lists of engines within which no build can have come and gone unnoticed.
pub const MAX_LIST_GAP: Duration = Duration::from_secs(5);

/// Time for which a host has to follow the list of engines before it can say that a service has one build only. A
/// stream that was cut when its host restarted is resumed sooner.
pub const SETTLE_TIME: Duration = Duration::from_millis(2500);

/// Maximum number of streams that are remembered.
const MAX_RECORDS: usize = 65_536;

/// Number of hosts of the own failure domain that hold the record of a stream.
const DOMAIN_HOLDERS: usize = 2;

/// Number of hosts that hold the record of a stream, at least one of them in another failure domain.
const HOLDERS: usize = 3;

/// Identifies a stream by the id of the request whose response brought its first event.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StreamId(pub u64);

impl StreamId {
    /// Identifies the stream that a request began.
    pub fn new(request_id: &str) -> Self {
        Self(rendezvous::weight(request_id, "stream"))
    }
}

/// Identifies a build of the engines of one service.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct BuildId(pub u64);

impl BuildId {
    /// Identifies a build of the engines of a service.
    pub fn new(service: &str, build: &Build) -> Self {
        let mut hasher = DefaultHasher::new();
        service.hash(&mut hasher);
        build.hash(&mut hasher);
        Self(hasher.finish())
    }

    /// Identifies the build of a listed engine.
    pub fn of(listing: &Listing) -> Self {
        Self::new(&listing.service, &listing.build)
    }
}

/// Knowledge of a host about the build that began a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// This build began the stream.
    Recorded(BuildId),
    /// There is no record, and the host has seen no other build of the service.
    Only(BuildId),
    /// There is no record, and the host has seen several builds of the service.
    Several,
    /// The host doesn't know what builds there are.
    Unknown,
}

impl Origin {
    /// Combines the knowledge of two hosts. A record is certain, and one host that has seen several
    /// builds outweighs others whose lists are shorter or older.
    #[must_use]
    pub fn or(self, other: Self) -> Self {
        match (self, other) {
            (Self::Recorded(it), _) | (_, Self::Recorded(it)) => Self::Recorded(it),
            (Self::Several, _) | (_, Self::Several) => Self::Several,
            (Self::Only(a), Self::Only(b)) if a != b => Self::Several,
            (Self::Only(it), _) | (_, Self::Only(it)) => Self::Only(it),
            (Self::Unknown, Self::Unknown) => Self::Unknown,
        }
    }

    /// Returns the build that may continue the stream.
    pub fn build(self) -> Option<BuildId> {
        match self {
            Self::Recorded(it) | Self::Only(it) => Some(it),
            Self::Several | Self::Unknown => None,
        }
    }
}

/// Build that began a stream.
#[derive(Clone, Copy, Debug)]
struct Record {
    build: BuildId,
    recorded_at: Time,
    /// True if a stream of this host has the record, and no other host was told.
    is_unannounced: bool,
}

/// Origins of the streams of this host, and of those of which it holds the records for other hosts.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    records: HashMap<StreamId, Record>,
    /// Times of the records, oldest first. A stream that was recorded again has several.
    order: VecDeque<(Time, StreamId)>,
    /// Since when the list of engines has been known without a gap.
    followed_since: Option<Time>,
    /// When the list of engines was last known to be complete.
    last_complete: Time,
}

/// Number of services at which the streams of a route may begin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Services {
    /// The service follows from the route.
    One,
    /// The route is split, and its weights may change. Only the record tells which service began a stream.
    Several,
}

/// Need of other hosts for a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Announcement {
    /// The holders of the stream need the record now.
    Needed,
    /// Nobody needs it while the service has one build only, or it came from another host.
    NotNeeded,
}

impl Origins {
    /// Records the build that began a stream of this host, whenever an event of it arrives first in a response.
    /// `services` tells whether another service may have begun it, by the route of the request.
    pub fn record_own(
        &mut self,
        stream: StreamId,
        (service, services): (&str, Services),
        build: BuildId,
        table: &Table,
        now: Time,
    ) -> Announcement {
        let is_only =
            services == Services::One && self.certain_build(service, table, now) == Some(build);
        let it = Record {
            build,
            recorded_at: now,
            is_unannounced: is_only,
        };
        self.insert(stream, it);
        if is_only {
            Announcement::NotNeeded
        } else {
            Announcement::Needed
        }
    }

    /// Records the origin of a stream of another host. The first record of a stream stays.
    pub fn record_remote(&mut self, stream: StreamId, build: BuildId, now: Time) {
        let build = self.recorded(stream, now).unwrap_or(build);
        let it = Record {
            build,
            recorded_at: now,
            is_unannounced: false,
        };
        self.insert(stream, it);
    }

    fn insert(&mut self, stream: StreamId, record: Record) {
        let now = record.recorded_at;
        self.records.insert(stream, record);
        self.order.push_back((now, stream));
        while let Some((at, oldest)) = self.order.front().copied()
            && (at + STREAM_TTL <= now || self.order.len() > MAX_RECORDS)
        {
            self.order.pop_front();
            if self
                .records
                .get(&oldest)
                .is_some_and(|it| it.recorded_at == at)
            {
                self.records.remove(&oldest);
            }
        }
    }

    fn recorded(&self, stream: StreamId, now: Time) -> Option<BuildId> {
        let record = self.records.get(&stream)?;
        (record.recorded_at + STREAM_TTL > now).then_some(record.build)
    }

    /// Returns the knowledge of this host about the origin of a stream of a service.
    pub fn find(&self, stream: StreamId, service: &str, table: &Table, now: Time) -> Origin {
        if let Some(it) = self.recorded(stream, now) {
            return Origin::Recorded(it);
        }
        if table
            .builds_within(service, STREAM_TTL, now)
            .nth(1)
            .is_some()
        {
            return Origin::Several;
        }
        self.only_build(service, SETTLE_TIME, table, now)
            .map_or(Origin::Unknown, Origin::Only)
    }

    /// Returns the only build that the engines of a service have had for as long as a stream can last.
    pub fn certain_build(&self, service: &str, table: &Table, now: Time) -> Option<BuildId> {
        self.only_build(service, STREAM_TTL, table, now)
    }

    /// Records that the list of engines is complete at `now`.
    pub fn observe_complete_list(&mut self, now: Time) {
        if self.followed_since.is_none() || self.last_complete + MAX_LIST_GAP < now {
            self.followed_since = Some(now);
        }
        self.last_complete = now;
    }

    /// Returns the only build that the engines of a service have had, if this host has followed the list of engines
    /// for `time`.
    fn only_build(
        &self,
        service: &str,
        time: Duration,
        table: &Table,
        now: Time,
    ) -> Option<BuildId> {
        let is_current = self.last_complete + MAX_LIST_GAP >= now;
        let is_long = self.followed_since.is_some_and(|it| it + time <= now);
        let mut recent = table.builds_within(service, STREAM_TTL, now);
        let first = recent.next()?;
        (is_current && is_long && recent.next().is_none()).then_some(first)
    }

    /// Takes the records of this host's streams that no other host was told of, if their service has more than one
    /// build by now.
    pub fn take_unannounced(&mut self, table: &Table, now: Time) -> Vec<(StreamId, BuildId)> {
        let services = table
            .services()
            .filter(|it| self.certain_build(it, table, now).is_none());
        let mixed: HashSet<BuildId> = services
            .flat_map(|it| table.builds_within(it, STREAM_TTL, now))
            .collect();
        let unannounced = self
            .records
            .iter_mut()
            .filter(|it| it.1.is_unannounced && mixed.contains(&it.1.build));
        unannounced
            .map(|(stream, it)| {
                it.is_unannounced = false;
                (*stream, it.build)
            })
            .collect()
    }

    /// Returns the records that are younger than `age`.
    pub fn records_within(&self, age: Duration, now: Time) -> Vec<(StreamId, BuildId)> {
        let recent = (self.records.iter()).filter(|it| it.1.recorded_at + age > now);
        recent.map(|(stream, it)| (*stream, it.build)).collect()
    }
}

/// Another host, as a holder of records.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder<A> {
    /// Name of the host.
    pub name: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Its address.
    pub addr: A,
}

/// Returns the addresses of the hosts that hold the record of a stream: two of the own failure domain and one of
/// another, as far as there are so many.
pub fn record_holders<A: Copy>(stream: StreamId, domain: &str, hosts: &[Holder<A>]) -> Vec<A> {
    let (own, others) = rank(stream, domain, hosts);
    let remote = remote_holders(own.len(), others.len());
    let own = own.into_iter().take(HOLDERS - remote);
    let holders = own.chain(others.into_iter().take(remote));
    holders.map(|it| it.addr).collect()
}

/// Selects the records that hosts which have joined are to hold, a few at a time: a host has thousands of records, and
/// many hosts may join at once.
#[derive(Debug)]
pub struct Catchup<A> {
    /// The hosts that have joined.
    joined: Vec<Holder<A>>,
    records: Vec<(StreamId, BuildId)>,
    /// Number of pairs of a record and a host that have been looked at.
    next: usize,
    /// Number of weights that have been computed.
    weights: usize,
}

impl<A: Copy> Catchup<A> {
    /// Begins the selection among the records of this host.
    pub fn new(joined: Vec<Holder<A>>, records: Vec<(StreamId, BuildId)>) -> Self {
        Self {
            joined,
            records,
            next: 0,
            weights: 0,
        }
    }

    /// Returns whether all records have been looked at.
    pub fn is_done(&self) -> bool {
        self.next >= self.records.len() * self.joined.len()
    }

    /// Number of weights that have been computed so far, which the time of the selection depends on.
    pub fn weights(&self) -> usize {
        self.weights
    }

    /// Goes on until `max_weights` further weights have been computed, or one record and host more. Returns the selected
    /// records, each with the address of its holder. `hosts` are all live hosts, and `domain` is that of this host.
    pub fn step(
        &mut self,
        domain: &str,
        hosts: &[Holder<A>],
        max_weights: usize,
    ) -> Vec<(A, (StreamId, BuildId))> {
        let (own, others): (Vec<_>, Vec<_>) = hosts.iter().partition(|it| *it.domain == *domain);
        let remote = remote_holders(own.len(), others.len());
        let end = self.weights + max_weights;
        let mut selected = Vec::new();
        while !self.is_done() && self.weights < end {
            let record = self.records[self.next / self.joined.len()];
            let host = &self.joined[self.next % self.joined.len()];
            self.next += 1;
            let (rivals, holders) = if *host.domain == *domain {
                (&own, HOLDERS - remote)
            } else {
                (&others, remote)
            };
            let rank = Rank::of(record.0, host, rivals, holders);
            self.weights += rank.weights;
            if rank.is_holder {
                selected.push((host.addr, record));
            }
        }
        selected
    }
}

/// Rank of a host among others for a stream.
struct Rank {
    is_holder: bool,
    /// Number of weights computed.
    weights: usize,
}

impl Rank {
    /// Compares the host with `rivals` until as many as there are `holders` rank higher.
    fn of<A>(stream: StreamId, host: &Holder<A>, rivals: &[&Holder<A>], holders: usize) -> Self {
        let key = stream.0.to_string();
        let own = weighted_rank(&key, host);
        let mut weights = 1;
        let mut higher = 0;
        for rival in rivals.iter().filter(|it| it.name != host.name) {
            if higher == holders {
                break;
            }
            weights += 1;
            higher += usize::from(weighted_rank(&key, rival) > own);
        }
        Self {
            is_holder: higher < holders,
            weights,
        }
    }
}

/// Returns the rank of a host for a stream; the highest comes first.
fn weighted_rank<'a, A>(key: &str, host: &'a Holder<A>) -> (u64, Reverse<&'a str>) {
    (rendezvous::weight(key, &host.name), Reverse(&host.name))
}

/// Returns how many holders of a record are in other failure domains, by the number of hosts in the own domain and in
/// others.
fn remote_holders(own: usize, others: usize) -> usize {
    others.min(HOLDERS - own.min(DOMAIN_HOLDERS))
}

/// Returns the addresses of the hosts that a host asks for the record of a stream, whichever failure domain the
/// stream began in: the best of the own domain, and the best of each other one. A ranking keeps its order when hosts
/// are lost, so one of the holders that are left is among them.
pub fn holders_to_ask<A: Copy>(stream: StreamId, domain: &str, hosts: &[Holder<A>]) -> Vec<A> {
    let (own, others) = rank(stream, domain, hosts);
    let mut domains = HashSet::new();
    let best_of_domain = others.into_iter().filter(|it| domains.insert(&it.domain));
    let asked = own.into_iter().take(HOLDERS).chain(best_of_domain);
    asked.map(|it| it.addr).collect()
}

/// Ranks the hosts of a failure domain, and all others, for a stream.
fn rank<'a, A>(
    stream: StreamId,
    domain: &str,
    hosts: &'a [Holder<A>],
) -> (Vec<&'a Holder<A>>, Vec<&'a Holder<A>>) {
    let key = stream.0.to_string();
    let mut ranked: Vec<_> = hosts.iter().collect();
    ranked.sort_by_cached_key(|it| Reverse(weighted_rank(&key, it)));
    ranked.into_iter().partition(|it| *it.domain == *domain)
}
