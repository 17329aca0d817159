//! Datagrams between hosts. Hosts announce that they are alive, the engines to which they send
//! orders, their workload at engines, and loads of adapters. Datagrams may be lost: their contents
//! are sent again, or reach the store's lists soon.

mod accounts;
mod capacity;
mod copies;
mod identity;
mod limits;
mod load_times;
mod origins;
mod quarantine;

use std::{
    collections::{HashMap, HashSet},
    mem::MaybeUninit,
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    sync::Arc,
    task::Poll,
    time::Duration,
};

use fleet::{
    Time,
    capacity::Load,
    engine::Workload,
    era::Era,
    in_flight,
    listing::{Name, State},
    loader::{self, Wanted},
    origin::BuildId,
    placement::{self, Purpose},
    reading::End,
    rendezvous::{self, short_id},
    table::{Freshness, Key},
};
use socket2::SockRef;
use tokio::{net::UdpSocket, time};

pub use self::{
    identity::IdentityChecks,
    limits::{GrantedTurn, TurnQuestions},
    origins::{JoinedHosts, OriginQueries},
    quarantine::CrashWatch,
};

use crate::{
    clock,
    gateway::Gateway,
    list_sync::{self, ListState},
    message::{
        self, AdapterUpdate, AdapterUsage, EngineIncarnation, EngineWorkload, Heartbeat,
        LoadRequest, MAX_ADAPTERS_PER_MESSAGE, MAX_WORKLOADS_PER_MESSAGE, Message, PromptEnd,
        ShortId, Workloads,
    },
    peers::{HEARTBEAT_INTERVAL, HeartbeatTarget},
};

/// Heartbeats from one report of this host's work to hosts of other domains to the next.
const WORK_REPORT_INTERVAL: u32 = 2;

/// Slowdown of the heartbeats up to which reports of work are left out. Beyond, they would be outdated before the next.
const MAX_SLOWDOWN_OF_RARE_REPORTS: f64 = 1.6;

/// Maximum number of hosts to which each prompt is announced.
const MAX_PROMPT_RECIPIENTS: usize = 100;

/// Socket for messages between hosts.
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
        gateway.peers.borrow_mut().set_seeds(seeds);
        Ok(Rc::new(Self { gateway, socket }))
    }

    /// Sends heartbeats to the other hosts until the process ends.
    pub async fn send_heartbeats(self: Rc<Self>) {
        let mut next = clock::now();
        loop {
            let wait = next.saturating_sub(clock::now());
            if time::timeout(wait, self.gateway.lists_read.notified())
                .await
                .is_ok()
            {
                self.send_list_state().await;
                continue;
            }
            self.send_heartbeat().await;
            let slowdown = self.gateway.peers.borrow().slowdown();
            next = clock::now() + HEARTBEAT_INTERVAL.mul_f64(slowdown);
        }
    }

    /// Receives messages of other hosts until the process ends.
    pub async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; 64 << 10];
        loop {
            let next = {
                let receive = pin!(self.socket.recv_from(&mut buffer));
                self.receive_next(receive).await
            };
            let Ok((length, from)) = next else {
                time::sleep(HEARTBEAT_INTERVAL).await;
                continue;
            };
            match message::decode(&buffer[..length]) {
                Some(Message::Heartbeat(it)) => self.handle_heartbeat(&it, from),
                Some(Message::LoadRequest(it)) => self.handle_load_request(&it, from).await,
                Some(Message::AdapterUpdates(it)) => self.handle_updates(&it),
                Some(Message::PromptSent(engine, tokens)) => {
                    self.handle_prompt(engine, tokens, from);
                }
                Some(Message::Leaving(it)) => self.handle_leaving(&it),
                Some(Message::Vanished(it)) => self.handle_vanished(&it),
                Some(Message::ListState(it)) => self.handle_list_state(it, from),
                Some(Message::Workloads(it)) => self.handle_workloads(&it),
                Some(Message::Origins(it)) => self.handle_origins(&it),
                Some(Message::OriginQuery(it)) => self.handle_origin_query(it, from),
                Some(Message::OriginReply(it)) => self.handle_origin_reply(&it, from),
                Some(Message::Crash(it)) => self.handle_crash(&it),
                Some(Message::PartSuccess(it)) => self.handle_part_success(it),
                Some(Message::Full(it)) => self.handle_full(&it),
                Some(Message::Limits(it)) => self.handle_limits(&it, from),
                Some(Message::LimitSuperseded(it)) => self.handle_superseded(&it),
                Some(Message::TurnRequest(it)) => self.handle_turn_request(it, from),
                Some(Message::TurnReply(it)) => self.handle_turn_reply(&it),
                Some(Message::Ended(it)) => self.handle_ended(&it),
                Some(Message::Alive(it)) => self.handle_alive(it),
                Some(Message::Speeds(it)) => self.handle_speeds(&it, Load::Busy),
                Some(Message::IdleSpeeds(it)) => self.handle_speeds(&it, Load::Idle),
                Some(Message::AccountUsage(it)) => self.handle_account_usage(&it, from),
                Some(Message::AccountWork(it)) => self.handle_account_work(&it, from),
                Some(Message::FirstRequests(it)) => self.handle_first_requests(&it),
                Some(Message::LoadTimes(it)) => self.handle_load_times(&it),
                Some(Message::PromptEnded(engine, tokens, end)) => {
                    self.handle_prompt_end(engine, tokens, end, from);
                }
                Some(Message::CopyWanted(it)) => self.handle_copy_wanted(&it).await,
                None => log::debug!("cannot decode datagram from {from}"),
            }
        }
    }

    /// Waits for the next message. Other hosts count as silent only for the time in which all messages were read.
    async fn receive_next<T>(&self, mut receive: Pin<&mut impl Future<Output = T>>) -> T {
        if let Poll::Ready(it) = futures::poll!(&mut receive) {
            return it;
        }
        self.observe_all_read();
        receive.await
    }

    /// Records that all messages of other hosts are read, unless some wait in the socket.
    fn observe_all_read(&self) {
        let mut byte = [MaybeUninit::uninit()];
        let waiting = SockRef::from(&self.socket).peek(&mut byte);
        if waiting.is_err_and(|it| it.kind() == std::io::ErrorKind::WouldBlock) {
            let mut peers = self.gateway.peers.borrow_mut();
            peers.observe_all_read(clock::now());
        }
    }

    /// Sends the queued updates to all live hosts.
    pub async fn send_updates(&self) {
        let leaving: Vec<EngineIncarnation> = self
            .gateway
            .leaving_engines
            .borrow_mut()
            .drain(..)
            .collect();
        if !leaving.is_empty() {
            self.send_all(&Message::Leaving(leaving), &self.live_addresses())
                .await;
        }
        let vanished: Vec<EngineIncarnation> =
            (self.gateway.vanished_engines.borrow_mut().drain(..)).collect();
        if !vanished.is_empty() {
            self.send_all(&Message::Vanished(vanished), &self.live_addresses())
                .await;
        }
        let limits = self.changed_limits();
        if !limits.is_empty() {
            self.send_all(&Message::Limits(limits), &self.live_addresses())
                .await;
        }
        let full = self.newly_full();
        if !full.is_empty() {
            self.send_all(&Message::Full(full), &self.live_addresses())
                .await;
        }
        let updates: Vec<AdapterUpdate> = self
            .gateway
            .adapter_updates
            .borrow_mut()
            .drain(..)
            .collect();
        for part in updates.chunks(MAX_ADAPTERS_PER_MESSAGE) {
            let message = Message::AdapterUpdates(part.to_vec());
            self.send_all(&message, &self.live_addresses()).await;
        }
    }

    /// Announces at once that an engine has a prompt to prefill. The next heartbeat would be too
    /// late, because the prefill would be done by then.
    pub fn announce_prompt(&self, id: &str, tokens: u32) {
        self.announce(id, &Message::PromptSent(short_id(id), tokens));
    }

    /// Announces at once that a prompt which was announced has ended, so that others know what the engine still has to
    /// prefill.
    pub fn announce_prompt_end(&self, id: &str, tokens: u32, end: End) {
        let end = match end {
            End::Read => PromptEnd::Read,
            End::Dropped => PromptEnd::Dropped,
        };
        self.announce(id, &Message::PromptEnded(short_id(id), tokens, end));
    }

    /// Sends a message about an engine to the hosts that hear of its prompts. A datagram that can't be sent at once is lost.
    fn announce(&self, id: &str, message: &Message) {
        let bytes = message::encode(message);
        for addr in self.prompt_recipients(id) {
            if let Err(error) = self.socket.try_send_to(&bytes, addr) {
                log::debug!("cannot send datagram to {addr}: {error}");
            }
        }
    }

    /// Marks engines that accept no more work.
    fn handle_leaving(&self, incarnations: &[EngineIncarnation]) {
        let mut table = self.gateway.table.borrow_mut();
        for it in incarnations {
            if let Some(engine) = table.get_by_short_id(it.engine) {
                let is_news = engine.mark_leaving(it.incarnation);
                if is_news {
                    let id = &*engine.listing.id;
                    log::info!(event = "engine-leaving", engine = id; "another host reports that engine {id} accepts no more work");
                }
            }
        }
    }

    /// Marks engines whose entry has vanished.
    fn handle_vanished(&self, incarnations: &[EngineIncarnation]) {
        let mut table = self.gateway.table.borrow_mut();
        for it in incarnations {
            if let Some(engine) = table.get_by_short_id(it.engine) {
                engine.mark_vanished(it.incarnation);
            }
        }
    }

    /// Adds a prompt of another host to the estimated workload of an engine.
    fn handle_prompt(&self, engine: ShortId, tokens: u32, from: SocketAddr) {
        let now = clock::now();
        let mut table = self.gateway.table.borrow_mut();
        let Some(key) = table.find_by_short_id(engine) else {
            return;
        };
        let host = self.gateway.peers.borrow().name_at(from);
        if let Some(engine) = table.get_mut(key) {
            engine.record_prompt(tokens, now);
        }
        if let Some(host) = host {
            table.record_remote_prompt(&host, key, tokens, now);
            table.record_remote_start(&host, key, now);
        }
    }

    /// Records that a prompt of another host has ended.
    fn handle_prompt_end(&self, engine: ShortId, tokens: u32, end: PromptEnd, from: SocketAddr) {
        let Some(host) = self.gateway.peers.borrow().name_at(from) else {
            return;
        };
        let end = match end {
            PromptEnd::Read => End::Read,
            PromptEnd::Dropped => End::Dropped,
        };
        let mut table = self.gateway.table.borrow_mut();
        if let Some(key) = table.find_by_short_id(engine) {
            table.record_remote_prompt_end(&host, key, tokens, end, clock::now());
        }
    }

    /// Requests a load from the steward at position `nth` in the order for this adapter. Returns
    /// false if no suitable engine has a steward.
    pub async fn request_load(
        &self,
        service: &Arc<str>,
        wanted: &Wanted,
        replica_uses: Option<f64>,
        waiting: u32,
        nth: usize,
    ) -> bool {
        let purpose = if replica_uses.is_some() {
            Purpose::Replica
        } else {
            Purpose::Missing
        };
        let Some(steward) = self.nth_steward(service, wanted, purpose, nth) else {
            return false;
        };
        if *steward == *self.gateway.holder {
            let request = loader::LoadRequest {
                host: self.gateway.holder.clone(),
                service: service.clone(),
                wanted: wanted.clone(),
                replica_uses,
                waiting,
            };
            self.gateway.request_load(&request);
            return true;
        }
        let Some(addr) = self.gateway.peers.borrow().addr(&steward) else {
            return false;
        };
        let request = LoadRequest {
            service: service.to_string(),
            name: wanted.name.to_string(),
            replica_uses,
            waiting,
            build: wanted.build.map(|it| it.0),
            lost_engine: wanted.lost_engine,
        };
        self.send(&Message::LoadRequest(request), addr).await;
        true
    }

    /// Returns the steward at position `nth` in the order in which stewards are asked to load an
    /// adapter. All hosts compute the same order, so an adapter is not loaded twice.
    fn nth_steward(
        &self,
        service: &Arc<str>,
        wanted: &Wanted,
        purpose: Purpose,
        nth: usize,
    ) -> Option<Arc<str>> {
        let now = clock::now();
        let table = self.gateway.table.borrow();
        let claims = self.gateway.claims.borrow();
        let peers = self.gateway.peers.borrow();
        let own: HashSet<&Arc<str>> = claims.orderable(now).collect();
        let mut hosts: Vec<&Arc<str>> = Vec::new();
        for key in placement::rank_for_load(&table, service, wanted, purpose, now) {
            let Some(engine) = table.get(key) else {
                continue;
            };
            let id = &engine.listing.id;
            let steward = if own.contains(id) {
                Some(&self.gateway.holder)
            } else {
                peers.steward(id, now)
            };
            let Some(host) = steward.filter(|it| !hosts.contains(it)) else {
                continue;
            };
            hosts.push(host);
            if hosts.len() > nth {
                return Some(host.clone());
            }
        }
        // All stewards were asked before; begin again with the first.
        hosts.get(nth % hosts.len().max(1)).map(|it| (*it).clone())
    }

    /// Sends one heartbeat and the workload of this host to all known hosts.
    async fn send_heartbeat(&self) {
        let now = clock::now();
        let mut heartbeat = self.build_heartbeat(now);
        // These describe this host's work, most of which is at engines of its own domain.
        let work = [
            self.workload_messages(),
            self.account_messages(now),
            self.account_work_messages(),
        ];
        let work = encode_all(work.iter().flatten());
        let news = [self.drain_messages(), self.report_messages(now)];
        self.update_coordination(now);
        let limits = self.limit_messages(now);
        let speeds = self.speed_messages(now);
        let load_times = self.load_times_message();
        let news = news.iter().flatten().chain(&limits).chain(&speeds);
        let news = encode_all(news.chain(&load_times));
        let sends_work_afar = self.sends_work_afar();
        self.announce_held_origins();
        let mut usage = self.usage_by_steward();
        self.observe_all_read();
        for host in self.gateway.peers.borrow_mut().take_lost(now) {
            log::info!(event = "host-lost", host = &*host; "host {host} is silent or shutting down");
        }
        let targets = self.gateway.peers.borrow_mut().heartbeat_targets(now);
        for HeartbeatTarget { name, addr, domain } in targets {
            if addr == self.gateway.settings.peers {
                continue;
            }
            let is_afar = domain.is_some_and(|it| *it != *self.gateway.settings.domain);
            heartbeat.adapter_usage = name.and_then(|it| usage.remove(&it)).unwrap_or_default();
            let message = Message::Heartbeat(heartbeat);
            self.send(&message, addr).await;
            let Message::Heartbeat(it) = message else {
                return;
            };
            heartbeat = it;
            let work = work.iter().filter(|_| sends_work_afar || !is_afar);
            for datagram in news.iter().chain(work) {
                self.send_datagram(datagram, addr).await;
            }
        }
    }

    /// Returns whether this heartbeat reports this host's work to other domains, too. Traffic between domains is scarce, and
    /// what changes at once is announced at once.
    fn sends_work_afar(&self) -> bool {
        let number = self.gateway.heartbeats_sent.get();
        self.gateway.heartbeats_sent.set(number.wrapping_add(1));
        let is_rare = self.gateway.peers.borrow().slowdown() > MAX_SLOWDOWN_OF_RARE_REPORTS;
        is_rare || number.is_multiple_of(WORK_REPORT_INTERVAL)
    }

    /// Sends the state of this host's lists to the hosts of its domain at once.
    async fn send_list_state(&self) {
        let message = Message::ListState(list_sync::list_state(&self.gateway));
        let domain = &self.gateway.settings.domain;
        let domain_peers = self
            .gateway
            .peers
            .borrow()
            .domain_addresses(domain, clock::now());
        self.send_all(&message, &domain_peers).await;
    }

    /// Records the list state of another host.
    fn handle_list_state(&self, list_state: ListState, from: SocketAddr) {
        self.gateway.observe_store_of(&list_state);
        let mut peers = self.gateway.peers.borrow_mut();
        if peers.receive_list_state(list_state, from, clock::now()) {
            self.gateway.lists_received.notify_waiters();
        }
    }

    /// Workload that this host puts on engines, in messages that fit into a datagram.
    fn workload_messages(&self) -> Vec<Message> {
        let now = clock::now();
        let table = self.gateway.table.borrow();
        let busy = table
            .iter()
            .filter(|it| it.1.local_work != Workload::default());
        let workloads: Vec<_> = busy
            .map(|(_, it)| {
                (
                    short_id(&it.listing.id),
                    it.local_work.running,
                    it.local_work.prefill_tokens,
                    message::to_millis(now.saturating_sub(it.own_success_at)),
                )
            })
            .collect();
        let part = |(index, it): (usize, &[EngineWorkload])| {
            Message::Workloads(Workloads {
                host: self.gateway.holder.to_string(),
                continued: index > 0,
                workloads: it.to_vec(),
            })
        };
        if workloads.is_empty() {
            return vec![part((0, &[]))];
        }
        let parts = workloads.chunks(MAX_WORKLOADS_PER_MESSAGE);
        parts.enumerate().map(part).collect()
    }

    /// Engines that are known to accept no more work while the platform's list says otherwise. They are
    /// announced with each heartbeat, since the first announcement may have been lost.
    fn drain_messages(&self) -> Vec<Message> {
        let table = self.gateway.table.borrow();
        let unlisted = table
            .iter()
            .filter(|(_, it)| it.is_leaving() && it.listing.state == State::Ready);
        let incarnations: Vec<EngineIncarnation> = unlisted
            .map(|(_, it)| message::make_incarnation(&it.listing.id, it.listing.incarnation))
            .collect();
        incarnations
            .chunks(MAX_WORKLOADS_PER_MESSAGE)
            .map(|it| Message::Leaving(it.to_vec()))
            .collect()
    }

    /// Records the workload that another host puts on engines.
    fn handle_workloads(&self, message: &Workloads) {
        let now = clock::now();
        let host: Arc<str> = message.host.as_str().into();
        let mut table = self.gateway.table.borrow_mut();
        if !message.continued {
            table.begin_work_report(&host);
        }
        for (engine, running, prefill_tokens, silence) in &message.workloads {
            if let Some(key) = table.find_by_short_id(*engine) {
                let work = Workload {
                    running: *running,
                    prefill_tokens: *prefill_tokens,
                };
                table.record_remote_work(&host, key, work, now);
                let silence = Duration::from_millis((*silence).into());
                if let Some(engine) = table.get_mut(key) {
                    engine.record_remote_success(now.saturating_sub(silence));
                }
            }
        }
    }

    /// Builds a heartbeat. The adapter usage differs by receiver and is left empty.
    fn build_heartbeat(&self, now: Time) -> Heartbeat {
        let claims = self.gateway.claims.borrow();
        Heartbeat {
            host: self.gateway.holder.to_string(),
            domain: self.gateway.settings.domain.clone(),
            leaving: self.gateway.stopping.get(),
            isolated: self.gateway.is_isolated(),
            engine_contact_ms: (self.gateway.engine_contact.get())
                .map(|it| message::to_millis(now.saturating_sub(it))),
            in_flight_loads: u32::try_from(self.gateway.loader.borrow().in_flight_count())
                .unwrap_or(0),
            full_speed_loads: self.gateway.loader.borrow().full_speed_loads(),
            claims: claims.orderable(now).map(|it| short_id(it)).collect(),
            list_state: list_sync::list_state(&self.gateway),
            quarantined_parts: self.quarantined_parts(now),
            usage_continued: false,
            adapter_usage: Vec::new(),
        }
    }

    /// Running and newly started requests at engines of other stewards, by steward.
    fn usage_by_steward(&self) -> HashMap<Arc<str>, Vec<AdapterUsage>> {
        let now = clock::now();
        let mut peers = self.gateway.peers.borrow_mut();
        let mut started = peers.take_started();
        let table = self.gateway.table.borrow();
        let mut usage: HashMap<Arc<str>, Vec<AdapterUsage>> = HashMap::new();
        for (key, engine) in table.iter() {
            let Some(steward) = peers.steward(&engine.listing.id, now) else {
                continue;
            };
            for (name, estimate) in &engine.held {
                let started = started.remove(&(key, name.clone())).unwrap_or(0);
                if started == 0 && estimate.running == 0 {
                    continue;
                }
                let list = usage.entry(steward.clone()).or_default();
                if list.len() < MAX_ADAPTERS_PER_MESSAGE {
                    list.push(AdapterUsage {
                        engine: short_id(&engine.listing.id),
                        name: name.to_string(),
                        running: estimate.running,
                        started,
                    });
                }
            }
        }
        usage
    }

    /// Records a heartbeat of another host.
    fn handle_heartbeat(&self, heartbeat: &Heartbeat, from: SocketAddr) {
        let now = clock::now();
        let host: Arc<str> = heartbeat.host.as_str().into();
        let has_joined;
        {
            let mut peers = self.gateway.peers.borrow_mut();
            has_joined = !peers.is_live(&host, now) && !heartbeat.leaving;
            if has_joined {
                log::info!(event = "host", host = &*host; "received a heartbeat of host {host} from {from}");
            }
            peers.receive_heartbeat(&host, heartbeat, from, now);
            self.gateway.observe_store_of(&heartbeat.list_state);
            let ListState { era, era_age, .. } = heartbeat.list_state;
            let age = Duration::from_millis(era_age.into());
            self.gateway.observe_era_age(Era(era), age);
            let mut loader = self.gateway.loader.borrow_mut();
            loader.remote_loads = peers.in_flight_loads(now);
            loader.blend_full_speed_loads(heartbeat.full_speed_loads);
        }
        self.gateway.lists_received.notify_waiters();
        if has_joined {
            self.gateway.joined_hosts.record(&host);
        }
        self.handle_quarantined(&heartbeat.quarantined_parts, from);
        let mut table = self.gateway.table.borrow_mut();
        // A truncated list doesn't show that the other adapters have no requests.
        let is_truncated = heartbeat.adapter_usage.len() >= MAX_ADAPTERS_PER_MESSAGE;
        if !is_truncated && !heartbeat.usage_continued {
            table.begin_usage_report(&host);
        }
        for usage in &heartbeat.adapter_usage {
            let Some(key) = table.find_by_short_id(usage.engine) else {
                continue;
            };
            let name: Name = usage.name.as_str().into();
            table.record_remote_usage(&host, key, &name, usage.running, usage.started, now);
        }
    }

    /// Handles a load request of another host. If the adapter is already held or being loaded, the
    /// response names the engine; otherwise the loader decides.
    async fn handle_load_request(&self, request: &LoadRequest, from: SocketAddr) {
        let wanted = Wanted {
            name: request.name.as_str().into(),
            build: request.build.map(BuildId),
            lost_engine: request.lost_engine,
        };
        if request.replica_uses.is_none() {
            let locations = self.adapter_locations(&wanted);
            if !locations.is_empty() {
                self.send(&Message::AdapterUpdates(locations), from).await;
                return;
            }
        }
        let request = loader::LoadRequest {
            host: from.to_string().into(),
            service: request.service.as_str().into(),
            wanted,
            replica_uses: request.replica_uses,
            waiting: request.waiting,
        };
        self.gateway.request_load(&request);
    }

    /// Engines of this host that hold the newest version of an adapter, and an in-flight load of
    /// the adapter by another host.
    fn adapter_locations(&self, wanted: &Wanted) -> Vec<AdapterUpdate> {
        let now = clock::now();
        let name = &wanted.name;
        let own_engines = self.gateway.orderable_engines();
        let table = self.gateway.table.borrow();
        let holds = |key: &Key| {
            let engine = table.get(*key).filter(|it| wanted.suits(it))?;
            let version = engine.held.get(name)?.version;
            let newest = table.freshness(name, version, now) == Freshness::Newest;
            let arrival = Some((version, Duration::ZERO));
            newest.then(|| message::make_adapter_update(&engine.listing.id, name, arrival))
        };
        let loading = || {
            let load = self
                .gateway
                .in_flight_loads
                .borrow()
                .find(wanted, &table, now)?;
            let engine = table.get(load.key)?;
            let arrival = Some((load.version, load.due.saturating_sub(now)));
            Some(message::make_adapter_update(
                &engine.listing.id,
                name,
                arrival,
            ))
        };
        let held = own_engines.iter().filter_map(holds);
        held.chain(loading()).collect()
    }

    /// Applies adapter updates of another host.
    fn handle_updates(&self, updates: &[AdapterUpdate]) {
        let now = clock::now();
        for it in updates {
            let name: Name = it.name.as_str().into();
            let Some(key) = self.gateway.table.borrow().find_by_short_id(it.engine) else {
                continue;
            };
            if let Some((version, due)) = it.arrival {
                let due = now + Duration::from_millis(due.into());
                let load = in_flight::Load { key, version, due };
                self.gateway
                    .in_flight_loads
                    .borrow_mut()
                    .announce(name.clone(), load);
                // Waiting requests can now wait until the load is due.
                self.gateway.wake_waiters(&name);
            } else if let Some(engine) = self.gateway.table.borrow_mut().get_mut(key) {
                engine.record_unload(&name, now);
                self.gateway.in_flight_loads.borrow_mut().remove(&name, key);
            }
        }
        self.gateway.record_due_loads();
    }

    /// Addresses of all live hosts.
    fn live_addresses(&self) -> Vec<SocketAddr> {
        let peers = self.gateway.peers.borrow();
        let live = peers.live_addresses(clock::now());
        live.map(|it| it.1).collect()
    }

    /// Hosts that receive each announcement of a prompt at an engine: all live hosts, or if there
    /// are many, a subset that is the same for all senders.
    fn prompt_recipients(&self, id: &str) -> Vec<SocketAddr> {
        let peers = self.gateway.peers.borrow();
        let mut live: Vec<_> = peers.live_addresses(clock::now()).collect();
        if live.len() > MAX_PROMPT_RECIPIENTS {
            live.sort_by_cached_key(|it| rendezvous::weight(id, it.0));
            live.truncate(MAX_PROMPT_RECIPIENTS);
        }
        live.into_iter().map(|it| it.1).collect()
    }

    async fn send(&self, message: &Message, to: SocketAddr) {
        self.send_all(message, &[to]).await;
    }

    /// Sends a message to several hosts, encoded once.
    async fn send_all(&self, message: &Message, to: &[SocketAddr]) {
        for datagram in message::encode_within_limit(message) {
            for addr in to {
                self.send_datagram(&datagram, *addr).await;
            }
        }
    }

    async fn send_datagram(&self, datagram: &[u8], to: SocketAddr) {
        if let Err(error) = self.socket.send_to(datagram, to).await {
            log::debug!("cannot send datagram to {to}: {error}");
        }
    }
}

/// Encodes messages that several hosts receive.
fn encode_all<'a>(messages: impl Iterator<Item = &'a Message>) -> Vec<Vec<u8>> {
    messages.flat_map(message::encode_within_limit).collect()
}
