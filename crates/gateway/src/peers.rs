//! Other hosts, as known from their messages and from the store.

use std::{
    collections::{HashMap, HashSet},
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use fleet::{
    Time,
    era::Era,
    listing::Name,
    origin::Holder,
    reader::{DomainHost, ReadState},
    rendezvous::short_id,
    table::Key,
};

use crate::{
    claims::LeaseSpec,
    clock,
    dialect::Kind,
    list_cache::Watermark,
    list_sync::{self, ListState},
    message::{Heartbeat, ShortId},
};

/// Number of hosts up to which heartbeats are sent at the full rate. With more hosts the rate
/// falls, so that the cost of sending stays the same.
const FULL_RATE_HOSTS: f64 = 40.0;

/// Time between two heartbeats to each other host. It grows with the number of hosts
/// ([`Peers::slowdown`]).
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Time since its last message for which a host counts as live, at the full heartbeat rate.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1500);

/// Heartbeats after which a host that is silent doesn't count as heard.
const HEARD_HEARTBEATS: f64 = 3.5;

/// Maximum time between two moments at which all messages that had arrived were read, at the full heartbeat rate. What
/// lies beyond is this host's own delay: other hosts were not silent in it.
const MAX_READ_GAP: Duration = Duration::from_millis(400);

/// Maximum delay of this host that is not counted as the silence of another one since its last message. Otherwise a host
/// that is always late would never notice a loss.
const MAX_OWN_DELAY: Duration = Duration::from_secs(4);

/// Time since an engine answered a host in which the host is preferred for requests that are passed on.
const CONTACT_TTL: Duration = Duration::from_secs(2);

/// Time without a message after which no heartbeats are sent to a host, unless the store lists it.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// Builds at which a host begins streams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamStart {
    /// At the builds assigned to them.
    Assigned,
    /// At any build: the host runs a build of this program that doesn't know assignments.
    Anywhere,
}

/// Host that gets heartbeats.
#[derive(Debug)]
pub struct HeartbeatTarget {
    /// Its name; `None` if only its address is known.
    pub name: Option<Arc<str>>,
    /// Its address.
    pub addr: SocketAddr,
    /// Its failure domain, if it is known.
    pub domain: Option<Arc<str>>,
}

/// Known state of another host.
#[derive(Debug)]
struct Peer {
    addr: SocketAddr,
    /// Time of the last heartbeat or list state.
    last_received: Option<Time>,
    /// This host's own delay since then.
    own_delay: Duration,
    /// Time at which the store last listed the host, or at which it first became known.
    last_listed: Time,
    domain: Arc<str>,
    /// True if the host announced that it is about to terminate.
    leaving: bool,
    /// True if the host announced that it is cut off from all engines.
    isolated: bool,
    /// When an engine last answered the host.
    engine_contact: Option<Time>,
    /// Number of loads that the host has in flight.
    in_flight_loads: u32,
    /// Engines of which the host is the steward.
    claims: Vec<ShortId>,
    list_state: ListState,
    /// End of the period in which the host is not asked for lists, because it failed to respond.
    distrusted_until: Time,
    /// True if the host was live at the last check for lost hosts.
    was_live: bool,
    stream_start: StreamStart,
}

/// Other hosts.
#[derive(Default)]
pub struct Peers {
    /// Known hosts. This host is among them once the store lists it, but never counts as live,
    /// because it receives no heartbeat of its own.
    by_name: HashMap<Arc<str>, Peer>,
    /// Host that last announced itself as the steward of each engine.
    stewards: HashMap<ShortId, Arc<str>>,
    /// Addresses from the settings, used until a message of another host is received.
    seeds: Vec<SocketAddr>,
    /// Number of requests started since the last heartbeat, by engine and adapter.
    started_requests: HashMap<(Key, Name), u32>,
    /// When all messages that had arrived were last read.
    read_up_to: Option<Time>,
}

impl Peers {
    /// Records the address of a host that the store lists.
    pub fn add_listed(&mut self, name: &str, addr: SocketAddr, lease: &LeaseSpec, now: Time) {
        let entry = self.by_name.entry(name.into());
        let peer = entry.or_insert_with(|| Peer::new(addr, now));
        peer.addr = addr;
        peer.domain = lease.domain.as_str().into();
        peer.stream_start = if lease.assigns_streams {
            StreamStart::Assigned
        } else {
            StreamStart::Anywhere
        };
        peer.last_listed = now;
    }

    /// Records that all messages which have arrived by now are read.
    pub fn observe_all_read(&mut self, now: Time) {
        let delay = self.own_delay(now);
        if !delay.is_zero() {
            for it in self.by_name.values_mut() {
                it.own_delay = (it.own_delay + delay).min(MAX_OWN_DELAY);
            }
        }
        self.read_up_to = Some(now);
    }

    /// Time for which messages of other hosts may have waited to be read.
    fn own_delay(&self, now: Time) -> Duration {
        let gap = self.read_up_to.map(|it| now.saturating_sub(it));
        let max_gap = MAX_READ_GAP.mul_f64(self.slowdown());
        gap.unwrap_or_default().saturating_sub(max_gap)
    }

    /// Returns whether a host is live: not about to terminate, and not silent for long beside this host's own delay.
    fn counts_as_live(&self, peer: &Peer, now: Time) -> bool {
        let delay = (peer.own_delay + self.own_delay(now)).min(MAX_OWN_DELAY);
        peer.is_live(self.liveness_timeout() + delay, now)
    }

    /// Returns whether a live host begins streams without regard to their assignments.
    pub fn has_unassigned_streams(&self, now: Time) -> bool {
        let mut peers = self.live_peers(now);
        peers.any(|it| it.1.stream_start == StreamStart::Anywhere)
    }

    /// Number of hosts that share a retry budget: the known hosts, which include this one once the
    /// store lists it, but no fewer than the seeds, since other hosts may not be known yet.
    pub fn host_count(&self) -> usize {
        self.by_name.len().max(self.seeds.len()).max(1)
    }

    /// Share of the hosts that are known and not about to terminate that are live, this host (`own`) included. Hosts
    /// that were heard of within the last minute may still run behind a cut.
    pub fn reachable_share(&self, own: &str, now: Time) -> f64 {
        self.share_within(own, self.liveness_timeout(), now)
    }

    /// The same share, of the hosts whose last message came within a few heartbeats. A cut shows in it sooner, and so does
    /// a lost message.
    pub fn heard_share(&self, own: &str, now: Time) -> f64 {
        self.share_within(own, self.hearing_timeout(), now)
    }

    /// Time since its last message for which a host counts as heard.
    pub fn hearing_timeout(&self) -> Duration {
        HEARTBEAT_INTERVAL.mul_f64(HEARD_HEARTBEATS * self.slowdown())
    }

    fn share_within(&self, own: &str, timeout: Duration, now: Time) -> f64 {
        let count = |it: usize| f64::from(u32::try_from(it).unwrap_or(u32::MAX));
        let others = (self.by_name.iter()).filter(|(name, it)| ***name != *own && !it.leaving);
        let known = if self.has_heard_of_hosts() {
            others.count() + 1
        } else {
            (others.count() + 1).max(self.seeds.len())
        };
        let live = (self.by_name.values()).filter(|it| it.is_live(timeout, now));
        let live = live.count() + 1;
        count(live) / count(known.max(live))
    }

    /// When an engine last answered another live host.
    pub fn engine_contact(&self, now: Time) -> Option<Time> {
        let contacts = self.live_peers(now).filter_map(|it| it.1.engine_contact);
        contacts.max()
    }

    /// Returns whether an address is that of a known host.
    pub fn is_member(&self, ip: IpAddr) -> bool {
        self.by_name.values().any(|it| it.addr.ip() == ip)
    }

    /// Host to which a request is passed on, beside those that were tried: one that reaches engines, of this host's
    /// failure domain if there is one. Hosts are chosen at random, so that they share the load.
    pub fn host_for(
        &self,
        tried: &[Arc<str>],
        domain: &str,
        now: Time,
    ) -> Option<(Arc<str>, SocketAddr)> {
        let hosts = self.live_peers(now);
        let usable = hosts.filter(|(name, it)| !it.isolated && !tried.contains(name));
        let rank = |it: &Peer| {
            let reaches_engines = (it.engine_contact).is_some_and(|at| at + CONTACT_TTL > now);
            (
                reaches_engines,
                *it.domain == *domain,
                rand::random::<u32>(),
            )
        };
        let best = usable.max_by_key(|it| rank(it.1));
        best.map(|(name, it)| (name.clone(), it.addr))
    }

    /// Names and failure domains of the live hosts.
    pub fn live_hosts(&self, now: Time) -> Vec<(Arc<str>, Arc<str>)> {
        let live = self.live_peers(now);
        live.map(|(name, it)| (name.clone(), it.domain.clone()))
            .collect()
    }

    /// Names and addresses of the live hosts.
    pub fn live_addresses(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, SocketAddr)> {
        self.live_peers(now).map(|(name, it)| (name, it.addr))
    }

    /// Live hosts, as holders of records.
    pub fn live_holders(&self, now: Time) -> Vec<Holder<SocketAddr>> {
        self.live_peers(now).map(to_holder).collect()
    }

    /// Hosts that may hold records: the live ones, and those that are about to terminate.
    pub fn recent_holders(&self, now: Time) -> Vec<Holder<SocketAddr>> {
        let timeout = self.liveness_timeout();
        let recent = (self.by_name.iter())
            .filter(|it| it.1.last_received.is_some_and(|it| it + timeout > now));
        recent.map(to_holder).collect()
    }

    /// Returns whether a message of another host was received, however long ago.
    pub fn has_heard_of_hosts(&self) -> bool {
        self.by_name.values().any(|it| it.last_received.is_some())
    }

    /// Addresses of the live hosts of a domain.
    pub fn domain_addresses(&self, domain: &str, now: Time) -> Vec<SocketAddr> {
        let peers = self.domain_peers(domain, now);
        peers.map(|it| it.1.addr).collect()
    }

    /// Names and addresses of all known hosts, and the seeds until a message of any host was
    /// received. Forgets hosts that have been silent for long.
    pub fn heartbeat_targets(&mut self, now: Time) -> Vec<HeartbeatTarget> {
        self.by_name.retain(|_, it| {
            it.last_received
                .unwrap_or(it.last_listed)
                .max(it.last_listed)
                + FORGET_AFTER
                > now
        });
        let known = self.by_name.iter();
        let mut known: Vec<_> = known
            .map(|(name, it)| HeartbeatTarget {
                name: Some(name.clone()),
                addr: it.addr,
                domain: Some(it.domain.clone()),
            })
            .collect();
        if self.by_name.values().all(|it| it.last_received.is_none()) {
            known.extend(self.seeds.iter().map(|it| HeartbeatTarget {
                name: None,
                addr: *it,
                domain: None,
            }));
        }
        known
    }

    /// Hosts that were live at the last call and no longer are.
    pub fn take_lost(&mut self, now: Time) -> Vec<Arc<str>> {
        let live: HashSet<Arc<str>> = self.live_peers(now).map(|it| it.0.clone()).collect();
        let mut lost = Vec::new();
        for (name, peer) in &mut self.by_name {
            let is_live = live.contains(name);
            if std::mem::replace(&mut peer.was_live, is_live) && !is_live {
                lost.push(name.clone());
            }
        }
        lost
    }

    /// Name of the host with this address.
    pub fn name_at(&self, addr: SocketAddr) -> Option<Arc<str>> {
        let mut hosts = self.by_name.iter();
        hosts.find(|it| it.1.addr == addr).map(|it| it.0.clone())
    }

    /// Sets the seed addresses from the settings.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Handles a heartbeat.
    pub fn receive_heartbeat(
        &mut self,
        host: &Arc<str>,
        heartbeat: &Heartbeat,
        from: SocketAddr,
        now: Time,
    ) {
        let entry = self.by_name.entry(host.clone());
        let peer = entry.or_insert_with(|| Peer::new(from, now));
        peer.addr = from;
        peer.record_message(now);
        peer.leaving = heartbeat.leaving;
        peer.isolated = heartbeat.isolated;
        let contact = heartbeat.engine_contact_ms;
        let contact = contact.map(|it| now.saturating_sub(Duration::from_millis(it.into())));
        peer.engine_contact = peer.engine_contact.max(contact);
        peer.in_flight_loads = heartbeat.in_flight_loads;
        peer.domain = heartbeat.domain.as_str().into();
        peer.list_state = heartbeat.list_state;
        self.update_stewards(host, &heartbeat.claims);
    }

    /// Handles the list state of a host. Returns false if the host is unknown.
    pub fn receive_list_state(
        &mut self,
        list_state: ListState,
        from: SocketAddr,
        now: Time,
    ) -> bool {
        let peer = self.by_name.values_mut().find(|it| it.addr == from);
        let Some(peer) = peer else { return false };
        peer.list_state = list_state;
        peer.record_message(now);
        true
    }

    /// Number of in-flight loads of all live hosts.
    pub fn in_flight_loads(&self, now: Time) -> usize {
        let loads = self.live_peers(now).map(|it| it.1.in_flight_loads);
        loads.map(|it| usize::try_from(it).unwrap_or(0)).sum()
    }

    /// Factor by which heartbeats are slowed down for the current number of hosts.
    pub fn slowdown(&self) -> f64 {
        let hosts = u32::try_from(self.by_name.len()).unwrap_or(u32::MAX);
        (f64::from(hosts) / FULL_RATE_HOSTS).max(1.0)
    }

    /// Time by which the reports of other hosts lag behind those of a small fleet.
    pub fn report_lag(&self) -> Duration {
        HEARTBEAT_INTERVAL.mul_f64(self.slowdown() - 1.0)
    }

    /// Takes the numbers of requests started since the last heartbeat, by engine and adapter.
    pub fn take_started(&mut self) -> HashMap<(Key, Name), u32> {
        std::mem::take(&mut self.started_requests)
    }

    /// Time since its last message for which a host counts as live, at the current heartbeat rate.
    pub fn liveness_timeout(&self) -> Duration {
        LIVENESS_TIMEOUT.mul_f64(self.slowdown())
    }

    /// Hosts whose last message is recent and that are not about to terminate.
    fn live_peers(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, &Peer)> {
        let hosts = self.by_name.iter();
        hosts.filter(move |it| self.counts_as_live(it.1, now))
    }

    /// Live hosts of a domain.
    fn domain_peers(&self, domain: &str, now: Time) -> impl Iterator<Item = (&Arc<str>, &Peer)> {
        self.live_peers(now)
            .filter(move |it| *it.1.domain == *domain)
    }

    /// Other live hosts of a domain, with how each of them gets a list. A list from an earlier era than `era`
    /// counts as infinitely old: its reader will notice soon that the store came back from a copy.
    pub fn domain_hosts(&self, domain: &str, kind: Kind, era: Era, now: Time) -> Vec<DomainHost> {
        let peers = self.domain_peers(domain, now);
        let is_behind = |it: &Peer| Era(it.watermark(kind).era) < era;
        peers
            .map(|(name, it)| DomainHost {
                name: name.clone(),
                read_state: match it.read_state(kind, now) {
                    ReadState::Reading(_) if is_behind(it) => ReadState::Reading(Duration::MAX),
                    it => it,
                },
            })
            .collect()
    }

    /// Live host that has adopted a newer configuration than revision `own`, with its address.
    pub fn newer_config(&self, own: u64, now: Time) -> Option<(Arc<str>, SocketAddr)> {
        let newer = |it: &&Peer| it.list_state.config > own && it.distrusted_until <= now;
        let mut peers = self.live_peers(now).filter(|it| newer(&it.1));
        peers.next().map(|(name, it)| (name.clone(), it.addr))
    }

    /// Returns whether another live host of a domain takes its lists from readers.
    pub fn has_followers(&self, domain: &str, now: Time) -> bool {
        let mut peers = self.domain_peers(domain, now);
        peers.any(|it| it.1.read_state(Kind::Engines, now) == ReadState::Following)
    }

    /// Number of other hosts of a domain, live or not.
    pub fn domain_host_count(&self, domain: &str) -> usize {
        let peers = self.by_name.values().filter(|it| *it.domain == *domain);
        peers.count()
    }

    /// Time since a reader read a list.
    pub fn list_age(&self, reader: &str, kind: Kind, now: Time) -> Option<Duration> {
        self.by_name.get(reader)?.read_state(kind, now).age()
    }

    /// Smallest age of a list among the live hosts that read it.
    pub fn min_list_age(&self, kind: Kind, now: Time) -> Option<Duration> {
        let ages = self
            .live_peers(now)
            .filter_map(|it| it.1.read_state(kind, now).age());
        ages.min()
    }

    /// Host to take a list from, with its address and watermark. This is the reader, or for the
    /// configuration any host that has a newer one.
    pub fn list_source(
        &self,
        reader: &Arc<str>,
        kind: Kind,
        own: Watermark,
    ) -> Option<(Arc<str>, SocketAddr, Watermark)> {
        let now = clock::now();
        let newer = |it: &(&Arc<str>, &Peer)| {
            kind == Kind::Config
                && it.1.distrusted_until <= now
                && it.1.watermark(kind).last() > own.last()
        };
        let newer = self.live_peers(now).find(newer);
        let (name, peer) = newer.or_else(|| self.by_name.get_key_value(reader))?;
        Some((name.clone(), peer.addr, peer.watermark(kind)))
    }

    /// Stops asking a host for lists until `until`.
    pub fn distrust(&mut self, name: &str, until: Time) {
        if let Some(it) = self.by_name.get_mut(name) {
            it.distrusted_until = until;
        }
    }

    /// Returns whether a host is live.
    pub fn is_live(&self, name: &str, now: Time) -> bool {
        let peer = self.by_name.get(name);
        peer.is_some_and(|it| self.counts_as_live(it, now))
    }

    /// Live host that is the steward of an engine, by its own announcement.
    pub fn steward(&self, id: &str, now: Time) -> Option<&Arc<str>> {
        let host = self.stewards.get(&short_id(id))?;
        self.is_live(host, now).then_some(host)
    }

    /// Updates the engines of which a host is the steward.
    fn update_stewards(&mut self, host: &Arc<str>, claims: &[ShortId]) {
        let Some(peer) = self.by_name.get_mut(host) else {
            return;
        };
        if peer.claims == claims {
            return;
        }
        for it in std::mem::take(&mut peer.claims) {
            if self.stewards.get(&it) == Some(host) {
                self.stewards.remove(&it);
            }
        }
        peer.claims = claims.to_vec();
        for it in claims {
            self.stewards.insert(*it, host.clone());
        }
    }

    /// Counts a request started with an adapter on an engine.
    pub fn count_start(&mut self, key: Key, name: &Name) {
        *self
            .started_requests
            .entry((key, name.clone()))
            .or_default() += 1;
    }

    /// Addresses of other hosts, those with the most recent messages first, followed by the seeds.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let known = latest_first(self.by_name.values());
        known.chain(self.seeds.iter().copied()).collect()
    }

    /// Addresses of the live hosts that the store answers, those with the most recent messages first.
    pub fn hosts_with_store(&self, now: Time) -> Vec<SocketAddr> {
        let peers = self.live_peers(now).map(|it| it.1);
        latest_first(peers.filter(|it| !it.list_state.store_unavailable)).collect()
    }

    /// Address of a host.
    pub fn addr(&self, name: &str) -> Option<SocketAddr> {
        self.by_name.get(name).map(|it| it.addr)
    }
}

/// Returns the addresses of hosts, those with the most recent messages first.
fn latest_first<'a>(peers: impl Iterator<Item = &'a Peer>) -> impl Iterator<Item = SocketAddr> {
    let mut peers: Vec<&Peer> = peers.collect();
    peers.sort_by_key(|it| std::cmp::Reverse(it.last_received));
    peers.into_iter().map(|it| it.addr)
}

/// Returns a host as a holder of records.
fn to_holder((name, peer): (&Arc<str>, &Peer)) -> Holder<SocketAddr> {
    Holder {
        name: name.clone(),
        domain: peer.domain.clone(),
        addr: peer.addr,
    }
}

impl Peer {
    fn new(addr: SocketAddr, now: Time) -> Self {
        Self {
            addr,
            last_received: None,
            own_delay: Duration::ZERO,
            last_listed: now,
            domain: "".into(),
            leaving: false,
            isolated: false,
            engine_contact: None,
            in_flight_loads: 0,
            claims: Vec::new(),
            list_state: ListState::default(),
            distrusted_until: Time::ZERO,
            was_live: false,
            stream_start: StreamStart::Assigned,
        }
    }

    fn record_message(&mut self, now: Time) {
        self.last_received = Some(now);
        self.own_delay = Duration::ZERO;
    }

    /// Returns whether the last message is more recent than `timeout` and the host is not about to
    /// terminate.
    fn is_live(&self, timeout: Duration, now: Time) -> bool {
        !self.leaving && self.last_received.is_some_and(|it| it + timeout > now)
    }

    /// Revisions up to which the host knows a list.
    fn watermark(&self, kind: Kind) -> Watermark {
        self.list_state.lists[list_sync::list_index(kind)].0
    }

    /// How the host gets a list.
    fn read_state(&self, kind: Kind, now: Time) -> ReadState {
        if self.list_state.store_unavailable || self.distrusted_until > now {
            return ReadState::StoreUnreachable;
        }
        let silence = self.last_received.map_or(now, |it| now.saturating_sub(it));
        match self.list_state.lists[list_sync::list_index(kind)].1 {
            Some(age) => ReadState::Reading(Duration::from_millis(age.into()) + silence),
            None => ReadState::Following,
        }
    }
}
