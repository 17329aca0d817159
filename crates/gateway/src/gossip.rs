//! What hosts tell each other, in datagrams: that they live, which engines they order, the load that
//! they put on engines, and loads of adapters that are done. Datagrams get lost; everything is told
//! again or is in the store's list soon.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use fleet::{
    Time,
    engine::Workload,
    in_flight,
    listing::Name,
    loader,
    rendezvous::{self, short_id},
    table::{Freshness, Key},
};
use tokio::{net::UdpSocket, time};

use crate::{
    clock,
    feed::{self, Word},
    gateway::Gateway,
    message::{self, Hello, LOADED, Life, Loads, Message, NAMED, News, Run, Short, Want},
};

/// Time between two words to each other host; among many hosts it grows ([`crate::peers::Peers::slower`]).
const HELLO: Duration = Duration::from_millis(200);

/// Hosts to which each prompt is told at once.
const HOSTS: usize = 40;

/// Largest datagram; the links' limit is 1,500 bytes with all heads.
const DATAGRAM: usize = 1400;

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
        gateway.peers.borrow_mut().seed(seeds);
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
            let slower = self.gateway.peers.borrow().slower();
            next = clock::now() + HELLO.mul_f64(slower);
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
            match message::read(&buffer[..length]) {
                Some(Message::Hello(it)) => self.heard(&it, from),
                Some(Message::Want(it)) => self.wanted(&it, from).await,
                Some(Message::News(it)) => self.news(&it),
                Some(Message::Sent(engine, tokens)) => self.sent(engine, tokens),
                Some(Message::Leaving(it)) => self.left(&it),
                Some(Message::Lists(it)) => self.lists(it, from),
                Some(Message::Loads(it)) => self.loads(&it),
                None => log::debug!("datagram from {from} can't be read"),
            }
        }
    }

    /// Sends the news that has gathered to all others.
    pub async fn spread(&self) {
        let leaving: Vec<Life> = self.gateway.leaving.borrow_mut().drain(..).collect();
        if !leaving.is_empty() {
            self.send_all(&Message::Leaving(leaving), &self.audience())
                .await;
        }
        let news: Vec<News> = self.gateway.news.borrow_mut().drain(..).collect();
        for part in news.chunks(NAMED) {
            let message = Message::News(part.to_vec());
            self.send_all(&message, &self.audience()).await;
        }
    }

    /// Tells the others at once that an engine has a prompt to read: it is read before the next regular
    /// word.
    pub fn tell_sent(&self, id: &str, tokens: u32) {
        let bytes = message::write(&Message::Sent(short_id(id), tokens));
        for addr in self.nearest(id) {
            if let Err(error) = self.socket.try_send_to(&bytes, addr) {
                log::debug!("datagram to {addr} not sent: {error}");
            }
        }
    }

    fn left(&self, lives: &[Life]) {
        let mut table = self.gateway.table.borrow_mut();
        for life in lives {
            if let Some(engine) = table.get_by_short_id(life.engine) {
                engine.mark_leaving(life.born);
            }
        }
    }

    fn sent(&self, engine: Short, tokens: u32) {
        let mut table = self.gateway.table.borrow_mut();
        if let Some(engine) = table.get_by_short_id(engine) {
            engine.record_prompt(tokens, clock::now());
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
        if *steward == *self.gateway.holder {
            let ask = loader::LoadRequest {
                host: self.gateway.holder.clone(),
                service: service.clone(),
                name: name.clone(),
                replica_uses: spread,
                waiting,
            };
            self.gateway.want(&ask);
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
            if listing.service != *service || !engine.accepts_work() || (spread && holds) {
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
        for host in self.gateway.peers.borrow_mut().lost(now) {
            log::info!(event = "host-lost", host = &*host; "host {host} is silent or leaves");
        }
        let known = self.gateway.peers.borrow_mut().known(now);
        for (name, addr) in known {
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
        let domain = &self.gateway.settings.domain;
        let near = self.gateway.peers.borrow().near(domain, clock::now());
        self.send_all(&message, &near).await;
    }

    fn lists(&self, word: Word, from: SocketAddr) {
        let mut peers = self.gateway.peers.borrow_mut();
        if peers.lists(word, from, clock::now()) {
            self.gateway.heard.notify_waiters();
        }
    }

    /// The load that this host puts on engines, in words that fit a datagram.
    fn own_loads(&self) -> Vec<Message> {
        let table = self.gateway.table.borrow();
        let busy = table
            .iter()
            .filter(|it| it.1.local_work != Workload::default());
        let loads: Vec<_> = busy
            .map(|(_, it)| {
                (
                    short_id(&it.listing.id),
                    it.local_work.running,
                    it.local_work.prefill_tokens,
                )
            })
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
            if let Some(engine) = table.get_by_short_id(*engine) {
                let load = Workload {
                    running: *running,
                    prefill_tokens: *unread,
                };
                engine.record_remote_work(&host, load, now);
            }
        }
    }

    fn word(&self, now: Time) -> Hello {
        let claims = self.gateway.claims.borrow();
        Hello {
            host: self.gateway.holder.to_string(),
            domain: self.gateway.settings.domain.clone(),
            leaving: self.gateway.stopping.get(),
            transit: u32::try_from(self.gateway.loader.borrow().in_flight_count()).unwrap_or(0),
            claims: claims.orderable(now).map(|it| short_id(it)).collect(),
            lists: feed::word(&self.gateway),
            runs: Vec::new(),
        }
    }

    /// What runs or began at engines of other stewards, by steward.
    fn runs(&self) -> HashMap<Arc<str>, Vec<Run>> {
        let now = clock::now();
        let mut peers = self.gateway.peers.borrow_mut();
        let mut began = peers.take_began();
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
                        engine: short_id(&engine.listing.id),
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
            if !peers.is_live(&host, now) && !hello.leaving {
                log::info!(event = "host", host = &*host; "host {host} heard at {from}");
            }
            peers.hear(&host, hello, from, now);
            self.gateway.loader.borrow_mut().remote_loads = peers.in_transit(now);
        }
        self.gateway.heard.notify_waiters();
        let mut table = self.gateway.table.borrow_mut();
        for run in &hello.runs {
            let Some(engine) = table.get_by_short_id(run.engine) else {
                continue;
            };
            if let Some(belief) = engine.held.get_mut(run.name.as_str()) {
                belief
                    .remote_running
                    .insert(host.clone(), (now, run.running));
                belief.record_uses(now, run.began);
            }
        }
    }

    async fn wanted(&self, want: &Want, from: SocketAddr) {
        let name: Name = want.name.as_str().into();
        if want.spread.is_none() {
            let there = self.holders(&name);
            if !there.is_empty() {
                self.send(&Message::News(there), from).await;
                return;
            }
        }
        let ask = loader::LoadRequest {
            host: from.to_string().into(),
            service: want.service.as_str().into(),
            name,
            replica_uses: want.spread,
            waiting: want.waiting,
        };
        self.gateway.want(&ask);
    }

    /// The engines of this host that hold the newest version of an adapter, and a load of it elsewhere.
    fn holders(&self, name: &Name) -> Vec<News> {
        let now = clock::now();
        let mine = self.gateway.mine();
        let table = self.gateway.table.borrow();
        let holds = |key: &Key| {
            let engine = table.get(*key)?;
            let version = engine.held.get(name)?.version;
            let newest = table.freshness(name, version, now) == Freshness::Newest;
            let there = Some((version, Duration::ZERO));
            newest.then(|| message::news(&engine.listing.id, name, there))
        };
        let comes = || {
            let load = self.gateway.coming.borrow().find(name, &table, now)?;
            let engine = table.get(load.key)?;
            let comes = Some((load.version, load.due.saturating_sub(now)));
            Some(message::news(&engine.listing.id, name, comes))
        };
        let held = mine.iter().filter_map(holds);
        held.chain(comes()).collect()
    }

    fn news(&self, news: &[News]) {
        let now = clock::now();
        for it in news {
            let name: Name = it.name.as_str().into();
            let Some(key) = self.gateway.table.borrow().find_by_short_id(it.engine) else {
                continue;
            };
            if let Some((version, due)) = it.comes {
                let due = now + Duration::from_millis(due.into());
                let load = in_flight::Load { key, version, due };
                self.gateway
                    .coming
                    .borrow_mut()
                    .announce(name.clone(), load);
                // Those who wait for it know now how long.
                self.gateway.wake(&name);
            } else if let Some(engine) = self.gateway.table.borrow_mut().get_mut(key) {
                engine.remove_held(&name, now);
                self.gateway.coming.borrow_mut().remove(&name, key);
            }
        }
        self.gateway.settle();
    }

    fn audience(&self) -> Vec<SocketAddr> {
        let peers = self.gateway.peers.borrow();
        let living = peers.living(clock::now());
        living.map(|it| it.1).collect()
    }

    /// The hosts that hear of each prompt at an engine: all of them, or a common part of many.
    fn nearest(&self, id: &str) -> Vec<SocketAddr> {
        let peers = self.gateway.peers.borrow();
        let mut living: Vec<_> = peers.living(clock::now()).collect();
        if living.len() > HOSTS {
            living.sort_by_cached_key(|it| rendezvous::weight(id, it.0));
            living.truncate(HOSTS);
        }
        living.into_iter().map(|it| it.1).collect()
    }

    async fn send(&self, message: &Message, to: SocketAddr) {
        self.send_all(message, &[to]).await;
    }

    /// Sends the same message to many, written once.
    async fn send_all(&self, message: &Message, to: &[SocketAddr]) {
        let bytes = message::write(message);
        if bytes.len() > DATAGRAM {
            log::debug!("datagram of {} bytes", bytes.len());
        }
        for addr in to {
            if let Err(error) = self.socket.send_to(&bytes, addr).await {
                log::debug!("datagram to {addr} not sent: {error}");
            }
        }
    }
}
