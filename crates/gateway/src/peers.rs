//! What a host knows of the others.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use fleet::{
    Time,
    listing::Name,
    reader::{DomainHost, Observation},
    rendezvous::short_id,
    table::Key,
};

use crate::{
    clock,
    dialect::Kind,
    feed::{self, Word},
    kept::Reach,
    message::{Hello, Short},
};

/// Hosts up to which the regular word between them goes at its full pace; a host's words to more of them
/// cost it the same.
const HOSTS: f64 = 40.0;

/// A host that was heard within this time lives, where the word goes at its full pace.
const LIVES: Duration = Duration::from_millis(1500);

/// A host that wasn't heard for this long isn't told anything any more, unless the store lists it.
const FORGOTTEN: Duration = Duration::from_mins(1);

#[derive(Debug)]
struct Peer {
    addr: SocketAddr,
    heard: Option<Time>,
    told: Time,
    domain: Arc<str>,
    leaving: bool,
    transit: u32,
    claims: Vec<Short>,
    lists: Word,
    /// Until when it isn't asked for lists, since it didn't answer.
    distrusted: Time,
    /// Whether it lived when that was looked at last.
    lived: bool,
}

/// Other hosts.
#[derive(Default)]
pub struct Peers {
    by_name: HashMap<Arc<str>, Peer>,
    /// Which host said last that it orders an engine.
    stewards: HashMap<Short, Arc<str>>,
    seeds: Vec<SocketAddr>,
    /// Starts since the last word, by engine and adapter.
    began: HashMap<(Key, Name), u32>,
}

impl Peers {
    /// Notes the address of a host from the store.
    pub fn learn(&mut self, name: &str, addr: SocketAddr, domain: &str, now: Time) {
        let entry = self.by_name.entry(name.into());
        let peer = entry.or_insert_with(|| Peer::new(addr, now));
        peer.addr = addr;
        peer.domain = domain.into();
        peer.told = now;
    }

    /// Hosts that may spend the budgets of all: those that are known, this one, and the seeds before
    /// any is known.
    pub fn hosts(&self) -> usize {
        self.by_name.len().max(self.seeds.len()).max(1)
    }

    /// Names and failure domains of the hosts that live and stay.
    pub fn live(&self, now: Time) -> Vec<(Arc<str>, Arc<str>)> {
        let living = self.alive(now);
        living
            .map(|(name, it)| (name.clone(), it.domain.clone()))
            .collect()
    }

    /// Names and addresses of the hosts that live and stay.
    pub fn living(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, SocketAddr)> {
        self.alive(now).map(|(name, it)| (name, it.addr))
    }

    /// Addresses of the hosts of a domain that live and stay.
    pub fn near(&self, domain: &str, now: Time) -> Vec<SocketAddr> {
        let near = self.neighbours(domain, now);
        near.map(|it| it.1.addr).collect()
    }

    /// Names and addresses of all hosts, and the seeds as long as none was heard. Hosts that weren't heard
    /// for long are forgotten.
    pub fn known(&mut self, now: Time) -> Vec<(Option<Arc<str>>, SocketAddr)> {
        self.by_name
            .retain(|_, it| it.heard.unwrap_or(it.told).max(it.told) + FORGOTTEN > now);
        let known = self.by_name.iter();
        let mut known: Vec<_> = known.map(|it| (Some(it.0.clone()), it.1.addr)).collect();
        if self.by_name.values().all(|it| it.heard.is_none()) {
            known.extend(self.seeds.iter().map(|it| (None, *it)));
        }
        known
    }

    /// The hosts that lived when this was asked last and don't any more.
    pub fn lost(&mut self, now: Time) -> Vec<Arc<str>> {
        let within = self.within();
        let mut lost = Vec::new();
        for (name, peer) in &mut self.by_name {
            let lives = peer.lives(within, now);
            if std::mem::replace(&mut peer.lived, lives) && !lives {
                lost.push(name.clone());
            }
        }
        lost
    }

    /// Sets the addresses that the settings name.
    pub fn seed(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Takes in the regular word of a host.
    pub fn hear(&mut self, host: &Arc<str>, hello: &Hello, from: SocketAddr, now: Time) {
        let entry = self.by_name.entry(host.clone());
        let peer = entry.or_insert_with(|| Peer::new(from, now));
        peer.addr = from;
        peer.heard = Some(now);
        peer.leaving = hello.leaving;
        peer.transit = hello.transit;
        peer.domain = hello.domain.as_str().into();
        peer.lists = hello.lists;
        self.steer(host, &hello.claims);
    }

    /// Takes in how far a host knows the lists; false if it isn't known.
    pub fn lists(&mut self, word: Word, from: SocketAddr, now: Time) -> bool {
        let peer = self.by_name.values_mut().find(|it| it.addr == from);
        let Some(peer) = peer else { return false };
        peer.lists = word;
        peer.heard = Some(now);
        true
    }

    /// Loads that the hosts that live have on their way.
    pub fn in_transit(&self, now: Time) -> usize {
        let loads = self.alive(now).map(|it| it.1.transit);
        loads.map(|it| usize::try_from(it).unwrap_or(0)).sum()
    }

    /// How much slower the regular word is among so many hosts.
    pub fn slower(&self) -> f64 {
        let hosts = u32::try_from(self.by_name.len()).unwrap_or(u32::MAX);
        (f64::from(hosts) / HOSTS).max(1.0)
    }

    /// Starts of requests since the last word, by engine and adapter.
    pub fn take_began(&mut self) -> HashMap<(Key, Name), u32> {
        std::mem::take(&mut self.began)
    }

    /// A host that was heard within this time lives.
    fn within(&self) -> Duration {
        LIVES.mul_f64(self.slower())
    }

    fn alive(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, &Peer)> {
        let within = self.within();
        let hosts = self.by_name.iter();
        hosts.filter(move |it| it.1.lives(within, now))
    }

    /// The hosts of a domain that live and stay.
    fn neighbours(&self, domain: &str, now: Time) -> impl Iterator<Item = (&Arc<str>, &Peer)> {
        self.alive(now).filter(move |it| *it.1.domain == *domain)
    }

    /// How the other living hosts of a domain see a list.
    pub fn sights(&self, domain: &str, kind: Kind, now: Time) -> Vec<DomainHost> {
        let near = self.neighbours(domain, now);
        near.map(|(name, it)| DomainHost {
            name: name.clone(),
            observation: it.sight(kind, now),
        })
        .collect()
    }

    /// Whether another living host of a domain takes its lists from others.
    pub fn has_followers(&self, domain: &str, now: Time) -> bool {
        let mut near = self.neighbours(domain, now);
        near.any(|it| it.1.sight(Kind::Engines, now) == Observation::Following)
    }

    /// Other hosts of a domain, living or not.
    pub fn of_domain(&self, domain: &str) -> usize {
        let near = self.by_name.values().filter(|it| *it.domain == *domain);
        near.count()
    }

    /// How long ago a reader read a list.
    pub fn age(&self, reader: &str, kind: Kind, now: Time) -> Option<Duration> {
        self.by_name.get(reader)?.sight(kind, now).age()
    }

    /// The least age of a list that another living host has read.
    pub fn youngest(&self, kind: Kind, now: Time) -> Option<Duration> {
        let ages = self.alive(now).filter_map(|it| it.1.sight(kind, now).age());
        ages.min()
    }

    /// The host to take a list from, its address and how far it knows the list: the reader, or for the
    /// configuration any host that knows a newer one.
    pub fn source(
        &self,
        reader: &Arc<str>,
        kind: Kind,
        own: Reach,
    ) -> Option<(Arc<str>, SocketAddr, Reach)> {
        let now = clock::now();
        let reach = |it: &Peer| it.lists.lists[feed::index(kind)].0;
        let newer = |it: &(&Arc<str>, &Peer)| {
            kind == Kind::Config && it.1.distrusted <= now && reach(it.1).last > own.last
        };
        let newer = self.alive(now).find(newer);
        let (name, peer) = newer.or_else(|| self.by_name.get_key_value(reader))?;
        Some((name.clone(), peer.addr, reach(peer)))
    }

    /// Doesn't ask a host for lists for a while.
    pub fn distrust(&mut self, name: &str, until: Time) {
        if let Some(it) = self.by_name.get_mut(name) {
            it.distrusted = until;
        }
    }

    /// Whether a host lives and stays.
    pub fn is_live(&self, name: &str, now: Time) -> bool {
        let peer = self.by_name.get(name);
        peer.is_some_and(|it| it.lives(self.within(), now))
    }

    /// The living host that says it orders an engine.
    pub fn steward(&self, id: &str, now: Time) -> Option<&Arc<str>> {
        let host = self.stewards.get(&short_id(id))?;
        self.is_live(host, now).then_some(host)
    }

    /// Enters which engines a host says it orders.
    fn steer(&mut self, host: &Arc<str>, claims: &[Short]) {
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

    /// Counts a request that began with an adapter.
    pub fn began(&mut self, key: Key, name: &Name) {
        *self.began.entry((key, name.clone())).or_default() += 1;
    }

    /// Addresses of other hosts, living ones first, and the seeds.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let mut known: Vec<&Peer> = self.by_name.values().collect();
        known.sort_by_key(|it| std::cmp::Reverse(it.heard));
        let known = known.into_iter().map(|it| it.addr);
        known.chain(self.seeds.iter().copied()).collect()
    }

    /// The address of a host.
    pub fn addr(&self, name: &str) -> Option<SocketAddr> {
        self.by_name.get(name).map(|it| it.addr)
    }
}

impl Peer {
    fn new(addr: SocketAddr, now: Time) -> Self {
        Self {
            addr,
            heard: None,
            told: now,
            domain: "".into(),
            leaving: false,
            transit: 0,
            claims: Vec::new(),
            lists: Word::default(),
            distrusted: Time::ZERO,
            lived: false,
        }
    }

    fn lives(&self, within: Duration, now: Time) -> bool {
        !self.leaving && self.heard.is_some_and(|it| it + within > now)
    }

    fn sight(&self, kind: Kind, now: Time) -> Observation {
        if self.lists.away || self.distrusted > now {
            return Observation::StoreUnreachable;
        }
        let silent = self.heard.map_or(now, |it| now.saturating_sub(it));
        match self.lists.lists[feed::index(kind)].1 {
            Some(age) => Observation::Reading(Duration::from_millis(age.into()) + silent),
            None => Observation::Following,
        }
    }
}
