//! What hosts tell each other, in datagrams: that they live, which engines they order, the load that
//! they put on engines, and loads of adapters that are done. Datagrams get lost; everything is told
//! again or is in the store's list soon.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use fleet::{
    Time, coming,
    engine::Load,
    listing::Name,
    loader,
    reader::{Other, Sight},
    rendezvous::{self, short},
    table::Key,
};
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time};

use crate::{
    clock,
    dialect::Kind,
    feed::{self, Word},
    gateway::Gateway,
    kept::Reach,
};

/// Time between two words to each other host, up to [`HOSTS`] of them. Among more hosts it grows, so that
/// a host's words cost it the same.
const HELLO: Duration = Duration::from_millis(200);

/// A host that was heard within this time lives; it grows as [`HELLO`] does.
const LIVES: Duration = Duration::from_millis(1500);

/// Hosts to which each prompt is told at once, and to which the regular word goes at its full pace.
const HOSTS: usize = 40;

/// A host that wasn't heard for this long isn't told anything any more, unless the store lists it.
const FORGOTTEN: Duration = Duration::from_mins(1);

/// Largest datagram; the links' limit is 1,500 bytes with all heads.
const DATAGRAM: usize = 1400;

/// Adapters that one word names at most, so that it fits a datagram.
const NAMED: usize = 24;

/// Engines whose load one word tells at most, so that it fits a datagram.
const LOADED: usize = 100;

/// An engine's id in a datagram.
type Short = u32;

/// A message between hosts.
#[derive(Debug, Deserialize, Serialize)]
enum Message {
    Hello(Hello),
    Want(Want),
    News(Vec<News>),
    Sent(Short, u32),
    Leaving(Vec<Life>),
    Lists(Word),
    Loads(Loads),
}

/// One life of an engine.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Life {
    engine: Short,
    born: u64,
}

/// The regular word of a host.
#[derive(Debug, Default, Deserialize, Serialize)]
struct Hello {
    host: String,
    domain: String,
    leaving: bool,
    transit: u32,
    claims: Vec<Short>,
    lists: Word,
    runs: Vec<Run>,
}

/// The load that a host puts on engines: requests that run, and prompt tokens to be read.
#[derive(Debug, Default, Deserialize, Serialize)]
struct Loads {
    host: String,
    loads: Vec<(Short, u32, u32)>,
}

/// Requests of a host that run with an adapter, told to the engine's steward only.
#[derive(Debug, Deserialize, Serialize)]
struct Run {
    engine: Short,
    name: String,
    running: u32,
    began: u32,
}

/// An ask for a load.
#[derive(Debug, Deserialize, Serialize)]
struct Want {
    service: String,
    name: String,
    /// For one more copy: the decayed uses that it would take.
    spread: Option<f64>,
    /// Requests that wait for it.
    waiting: u32,
}

/// An adapter that comes to an engine or left it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct News {
    engine: Short,
    name: String,
    /// The version, and in how many ms it should be there.
    comes: Option<(u64, u32)>,
}

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
        self.living(now)
            .map(|(name, it)| (name.clone(), it.domain.clone()))
            .collect()
    }

    fn living(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, &Peer)> {
        let lives = LIVES.mul_f64(slower(self.by_name.len()));
        self.by_name.iter().filter(move |it| it.1.lives(lives, now))
    }

    /// How the other living hosts of a domain see a list.
    pub fn sights(&self, domain: &str, kind: Kind, now: Time) -> Vec<Other> {
        let near = self.living(now).filter(|it| *it.1.domain == *domain);
        near.map(|(name, it)| Other {
            name: name.clone(),
            sight: it.sight(kind, now),
        })
        .collect()
    }

    /// Whether another living host of a domain takes its lists from others.
    pub fn has_followers(&self, domain: &str, now: Time) -> bool {
        let mut near = self.living(now).filter(|it| *it.1.domain == *domain);
        near.any(|it| it.1.sight(Kind::Engines, now) == Sight::Follows)
    }

    /// Other hosts of a domain, living or not.
    pub fn of_domain(&self, domain: &str) -> usize {
        let near = self.by_name.values().filter(|it| *it.domain == *domain);
        near.count()
    }

    /// How long ago a reader read a list.
    pub fn age(&self, reader: &str, kind: Kind, now: Time) -> Option<Duration> {
        match self.by_name.get(reader)?.sight(kind, now) {
            Sight::Reads(age) => Some(age),
            Sight::Follows | Sight::Away => None,
        }
    }

    /// The least age of a list that another living host has read.
    pub fn youngest(&self, kind: Kind, now: Time) -> Option<Duration> {
        let ages = self
            .living(now)
            .filter_map(|it| match it.1.sight(kind, now) {
                Sight::Reads(age) => Some(age),
                Sight::Follows | Sight::Away => None,
            });
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
        let newer = self.living(now).find(newer);
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
        let lives = LIVES.mul_f64(slower(self.by_name.len()));
        let peer = self.by_name.get(name);
        peer.is_some_and(|it| it.lives(lives, now))
    }

    /// The living host that says it orders an engine.
    pub fn steward(&self, id: &str, now: Time) -> Option<&Arc<str>> {
        let host = self.stewards.get(&short(id))?;
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

    fn addr(&self, name: &str) -> Option<SocketAddr> {
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
        }
    }

    fn lives(&self, within: Duration, now: Time) -> bool {
        !self.leaving && self.heard.is_some_and(|it| it + within > now)
    }

    fn sight(&self, kind: Kind, now: Time) -> Sight {
        if self.lists.away || self.distrusted > now {
            return Sight::Away;
        }
        let silent = self.heard.map_or(now, |it| now.saturating_sub(it));
        match self.lists.lists[feed::index(kind)].1 {
            Some(age) => Sight::Reads(Duration::from_millis(age.into()) + silent),
            None => Sight::Follows,
        }
    }
}

/// How much slower the regular word is among so many hosts.
fn slower(hosts: usize) -> f64 {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    (f64::from(hosts) / 40.0).max(1.0)
}

/// The socket between hosts.
pub struct Gossip {
    gateway: Rc<Gateway>,
    socket: UdpSocket,
}

impl Gossip {
    /// Binds the socket.
    pub async fn bind(gateway: Rc<Gateway>) -> std::io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(gateway.settings.peers).await?;
        let port = gateway.settings.peers.port();
        let seeds = gateway.settings.seeds.iter();
        let seeds = seeds.map(|it| SocketAddr::new(it.ip(), port)).collect();
        gateway.peers.borrow_mut().seeds = seeds;
        Ok(Rc::new(Self { gateway, socket }))
    }

    /// Tells the others how this host does until the process ends.
    pub async fn tell(self: Rc<Self>) {
        let mut next = clock::now();
        loop {
            let wait = next.saturating_sub(clock::now());
            if time::timeout(wait, self.gateway.tell.notified())
                .await
                .is_ok()
            {
                self.tell_lists().await;
                continue;
            }
            self.hello().await;
            let hosts = self.gateway.peers.borrow().by_name.len();
            next = clock::now() + HELLO.mul_f64(slower(hosts));
        }
    }

    /// Hears the others until the process ends.
    pub async fn hear(self: Rc<Self>) {
        let mut buffer = vec![0; 64 << 10];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                time::sleep(HELLO).await;
                continue;
            };
            match postcard::from_bytes(&buffer[..length]) {
                Ok(Message::Hello(it)) => self.heard(&it, from),
                Ok(Message::Want(it)) => self.wanted(&it, from).await,
                Ok(Message::News(it)) => self.news(&it),
                Ok(Message::Sent(engine, tokens)) => self.sent(engine, tokens),
                Ok(Message::Leaving(it)) => self.left(&it),
                Ok(Message::Lists(it)) => self.lists(it, from),
                Ok(Message::Loads(it)) => self.loads(&it),
                Err(error) => log::debug!("datagram from {from} can't be read: {error}"),
            }
        }
    }

    /// Sends the news that has gathered to all others.
    pub async fn spread(&self) {
        let leaving: Vec<Life> = self.gateway.leaving.borrow_mut().drain(..).collect();
        if !leaving.is_empty() {
            for addr in self.audience() {
                self.send(&Message::Leaving(leaving.clone()), addr).await;
            }
        }
        let news: Vec<News> = self.gateway.news.borrow_mut().drain(..).collect();
        if news.is_empty() {
            return;
        }
        for part in news.chunks(NAMED) {
            let message = Message::News(part.to_vec());
            for addr in self.audience() {
                self.send(&message, addr).await;
            }
        }
    }

    /// Tells the others at once that an engine has a prompt to read: it is read before the next regular
    /// word.
    pub fn tell_sent(&self, id: &str, tokens: u32) {
        let Ok(bytes) = postcard::to_stdvec(&Message::Sent(short(id), tokens)) else {
            return;
        };
        for addr in self.nearest(id) {
            if let Err(error) = self.socket.try_send_to(&bytes, addr) {
                log::debug!("datagram to {addr} not sent: {error}");
            }
        }
    }

    fn left(&self, lives: &[Life]) {
        let mut table = self.gateway.table.borrow_mut();
        for life in lives {
            let key = table.find_short(life.engine);
            if let Some(engine) = key.and_then(|it| table.get_mut(it)) {
                engine.leaves(life.born);
            }
        }
    }

    fn sent(&self, engine: Short, tokens: u32) {
        let mut table = self.gateway.table.borrow_mut();
        let key = table.find_short(engine);
        if let Some(engine) = key.and_then(|it| table.get_mut(it)) {
            engine.reads(tokens, clock::now());
        }
    }

    /// Asks the host that orders suitable engines for a load: the `nth` in line for this adapter.
    /// Returns whether there is one.
    pub async fn want(
        &self,
        service: &Arc<str>,
        name: &Name,
        spread: Option<f64>,
        waiting: u32,
        nth: usize,
    ) -> bool {
        let Some(steward) = self.steward(service, name, spread.is_some(), nth) else {
            return false;
        };
        let now = clock::now();
        if *steward == *self.gateway.holder {
            let ask = loader::Ask {
                host: self.gateway.holder.clone(),
                service: service.clone(),
                name: name.clone(),
                spread,
                waiting,
            };
            self.gateway.loader.borrow_mut().want(&ask, now);
            self.gateway.order.notify_one();
            return true;
        }
        let Some(addr) = self.gateway.peers.borrow().addr(&steward) else {
            return false;
        };
        let want = Want {
            service: service.to_string(),
            name: name.to_string(),
            spread,
            waiting,
        };
        self.send(&Message::Want(want), addr).await;
        true
    }

    /// Hosts in line to load an adapter: every host computes the same order, so that one adapter isn't
    /// loaded twice.
    fn steward(
        &self,
        service: &Arc<str>,
        name: &Name,
        spread: bool,
        nth: usize,
    ) -> Option<Arc<str>> {
        let now = clock::now();
        let table = self.gateway.table.borrow();
        let claims = self.gateway.claims.borrow();
        let peers = self.gateway.peers.borrow();
        let own: Vec<&Arc<str>> = claims.orderable(now).collect();
        let mut line: Vec<(u64, Arc<str>)> = Vec::new();
        for (_, engine) in table.iter() {
            let listing = &engine.listing;
            let holds = engine.held.contains_key(name);
            if listing.service != *service || !engine.takes_work() || (spread && holds) {
                continue;
            }
            let steward = if own.contains(&&listing.id) {
                Some(&self.gateway.holder)
            } else {
                peers.steward(&listing.id, now)
            };
            if let Some(host) = steward {
                line.push((rendezvous::weight(name, &listing.id), host.clone()));
            }
        }
        line.sort_unstable();
        let mut hosts: Vec<Arc<str>> = Vec::new();
        for (_, host) in line.into_iter().rev() {
            if !hosts.contains(&host) {
                hosts.push(host);
            }
        }
        if hosts.is_empty() {
            return None;
        }
        Some(hosts[nth % hosts.len()].clone())
    }

    async fn hello(&self) {
        let now = clock::now();
        let mut hello = self.word(now);
        let loads = self.own_loads();
        let mut runs = self.runs();
        let audience: Vec<(Option<Arc<str>>, SocketAddr)> = {
            let mut peers = self.gateway.peers.borrow_mut();
            let own = &*self.gateway.holder;
            peers
                .by_name
                .retain(|_, it| it.heard.unwrap_or(it.told).max(it.told) + FORGOTTEN > now);
            let known = peers.by_name.iter().filter(|it| **it.0 != *own);
            let mut audience: Vec<_> = known.map(|it| (Some(it.0.clone()), it.1.addr)).collect();
            let silent = peers.by_name.values().all(|it| it.heard.is_none());
            if silent {
                audience.extend(peers.seeds.iter().map(|it| (None, *it)));
            }
            audience
        };
        for (name, addr) in audience {
            if addr == self.gateway.settings.peers {
                continue;
            }
            hello.runs = name.and_then(|it| runs.remove(&it)).unwrap_or_default();
            let message = Message::Hello(hello);
            self.send(&message, addr).await;
            let Message::Hello(it) = message else { return };
            hello = it;
            for part in &loads {
                self.send(part, addr).await;
            }
        }
    }

    /// Tells the hosts of the domain at once how far this host knows the lists.
    async fn tell_lists(&self) {
        let message = Message::Lists(feed::word(&self.gateway));
        let near: Vec<SocketAddr> = {
            let peers = self.gateway.peers.borrow();
            let domain = &*self.gateway.settings.domain;
            let near = peers.living(clock::now());
            let near = near.filter(|it| *it.1.domain == *domain);
            near.map(|it| it.1.addr).collect()
        };
        for addr in near {
            self.send(&message, addr).await;
        }
    }

    fn lists(&self, word: Word, from: SocketAddr) {
        let mut peers = self.gateway.peers.borrow_mut();
        if let Some(peer) = peers.by_name.values_mut().find(|it| it.addr == from) {
            peer.lists = word;
            peer.heard = Some(clock::now());
            self.gateway.heard.notify_waiters();
        }
    }

    /// The load that this host puts on engines, in words that fit a datagram.
    fn own_loads(&self) -> Vec<Message> {
        let table = self.gateway.table.borrow();
        let busy = table.iter().filter(|it| it.1.own != Load::default());
        let loads: Vec<_> = busy
            .map(|(_, it)| (short(&it.listing.id), it.own.running, it.own.unread))
            .collect();
        let part = |it: &[(Short, u32, u32)]| {
            Message::Loads(Loads {
                host: self.gateway.holder.to_string(),
                loads: it.to_vec(),
            })
        };
        loads.chunks(LOADED).map(part).collect()
    }

    fn loads(&self, loads: &Loads) {
        let now = clock::now();
        let host: Arc<str> = loads.host.as_str().into();
        let mut table = self.gateway.table.borrow_mut();
        for (engine, running, unread) in &loads.loads {
            let key = table.find_short(*engine);
            if let Some(engine) = key.and_then(|it| table.get_mut(it)) {
                let load = Load {
                    running: *running,
                    unread: *unread,
                };
                engine.heard(&host, load, now);
            }
        }
    }

    fn word(&self, now: Time) -> Hello {
        let claims = self.gateway.claims.borrow();
        Hello {
            host: self.gateway.holder.to_string(),
            domain: self.gateway.settings.domain.clone(),
            leaving: self.gateway.stopping.get(),
            transit: u32::try_from(self.gateway.loader.borrow().in_transit()).unwrap_or(0),
            claims: claims.orderable(now).map(|it| short(it)).collect(),
            lists: feed::word(&self.gateway),
            runs: Vec::new(),
        }
    }

    /// What runs or began at engines of other stewards, by steward.
    fn runs(&self) -> HashMap<Arc<str>, Vec<Run>> {
        let now = clock::now();
        let mut peers = self.gateway.peers.borrow_mut();
        let mut began = std::mem::take(&mut peers.began);
        let table = self.gateway.table.borrow();
        let mut runs: HashMap<Arc<str>, Vec<Run>> = HashMap::new();
        for (key, engine) in table.iter() {
            let Some(steward) = peers.steward(&engine.listing.id, now) else {
                continue;
            };
            for (name, belief) in &engine.held {
                let began = began.remove(&(key, name.clone())).unwrap_or(0);
                if began == 0 && belief.running == 0 {
                    continue;
                }
                let list = runs.entry(steward.clone()).or_default();
                if list.len() < NAMED {
                    list.push(Run {
                        engine: short(&engine.listing.id),
                        name: name.to_string(),
                        running: belief.running,
                        began,
                    });
                }
            }
        }
        runs
    }

    fn heard(&self, hello: &Hello, from: SocketAddr) {
        let now = clock::now();
        let host: Arc<str> = hello.host.as_str().into();
        {
            let mut peers = self.gateway.peers.borrow_mut();
            let lived = peers.is_live(&host, now);
            let entry = peers.by_name.entry(host.clone());
            let peer = entry.or_insert_with(|| Peer::new(from, now));
            if !lived && !hello.leaving {
                log::info!(event = "host", host = &*host; "host {host} heard at {from}");
            }
            peer.addr = from;
            peer.heard = Some(now);
            peer.leaving = hello.leaving;
            peer.transit = hello.transit;
            peer.domain = hello.domain.as_str().into();
            peer.lists = hello.lists;
            peers.steer(&host, &hello.claims);
            let live = peers.living(now);
            let elsewhere = live
                .map(|it| usize::try_from(it.1.transit).unwrap_or(0))
                .sum();
            self.gateway.loader.borrow_mut().elsewhere = elsewhere;
        }
        self.gateway.heard.notify_waiters();
        let mut table = self.gateway.table.borrow_mut();
        for run in &hello.runs {
            let key = table.find_short(run.engine);
            let Some(engine) = key.and_then(|it| table.get_mut(it)) else {
                continue;
            };
            if let Some(belief) = engine.held.get_mut(run.name.as_str()) {
                belief.others.insert(host.clone(), (now, run.running));
                belief.use_it(now, run.began);
            }
        }
    }

    async fn wanted(&self, want: &Want, from: SocketAddr) {
        let service: Arc<str> = want.service.as_str().into();
        let name: Name = want.name.as_str().into();
        let now = clock::now();
        let there: Vec<News> = {
            let table = self.gateway.table.borrow();
            let mine = self.gateway.mine();
            let holds = |key: &Key| {
                let engine = table.get(*key)?;
                let version = engine.held.get(&name)?.version;
                let newest = table.age(&name, version, now) == fleet::table::Age::Newest;
                let there = Some((version, Duration::ZERO));
                newest.then(|| self::news(&engine.listing.id, &name, there))
            };
            let comes = || {
                let load = self.gateway.coming.borrow().load(&name, &table, now)?;
                let engine = table.get(load.key)?;
                let comes = Some((load.version, load.due.saturating_sub(now)));
                Some(self::news(&engine.listing.id, &name, comes))
            };
            let held = mine.iter().filter_map(holds);
            held.chain(comes()).collect()
        };
        if !there.is_empty() && want.spread.is_none() {
            self.send(&Message::News(there), from).await;
            return;
        }
        let ask = loader::Ask {
            host: from.to_string().into(),
            service,
            name,
            spread: want.spread,
            waiting: want.waiting,
        };
        self.gateway.loader.borrow_mut().want(&ask, now);
        self.gateway.order.notify_one();
    }

    fn news(&self, news: &[News]) {
        let now = clock::now();
        for it in news {
            let name: Name = it.name.as_str().into();
            let Some(key) = self.gateway.table.borrow().find_short(it.engine) else {
                continue;
            };
            if let Some((version, due)) = it.comes {
                let due = now + Duration::from_millis(due.into());
                let load = coming::Load { key, version, due };
                self.gateway
                    .coming
                    .borrow_mut()
                    .announce(name.clone(), load);
                // Those who wait for it know now how long.
                self.gateway.wake(&name);
            } else if let Some(engine) = self.gateway.table.borrow_mut().get_mut(key) {
                engine.drop_hold(&name, now);
                self.gateway.coming.borrow_mut().forget(&name, key);
            }
        }
        self.gateway.settle();
    }

    fn audience(&self) -> Vec<SocketAddr> {
        let peers = self.gateway.peers.borrow();
        let living = peers.living(clock::now());
        living.map(|it| it.1.addr).collect()
    }

    /// The hosts that hear of each prompt at an engine: all of them, or a common part of many.
    fn nearest(&self, id: &str) -> Vec<SocketAddr> {
        let peers = self.gateway.peers.borrow();
        let mut living: Vec<_> = peers
            .living(clock::now())
            .map(|(name, it)| (name, it.addr))
            .collect();
        if living.len() > HOSTS {
            living.sort_by_cached_key(|it| rendezvous::weight(id, it.0));
            living.truncate(HOSTS);
        }
        living.into_iter().map(|it| it.1).collect()
    }

    async fn send(&self, message: &Message, to: SocketAddr) {
        let Ok(bytes) = postcard::to_stdvec(message) else {
            return;
        };
        if bytes.len() > DATAGRAM {
            log::debug!("datagram of {} bytes to {to}", bytes.len());
        }
        if let Err(error) = self.socket.send_to(&bytes, to).await {
            log::debug!("datagram to {to} not sent: {error}");
        }
    }
}

/// Word that one life of an engine takes no more work.
pub fn life(id: &str, born: u64) -> Life {
    Life {
        engine: short(id),
        born,
    }
}

/// News that an engine will hold a version of an adapter after some time, or doesn't hold it any more.
pub fn news(id: &str, name: &Name, comes: Option<(u64, Duration)>) -> News {
    let millis = |it: Duration| u32::try_from(it.as_millis()).unwrap_or(u32::MAX);
    News {
        engine: short(id),
        name: name.to_string(),
        comes: comes.map(|(version, due)| (version, millis(due))),
    }
}
