//! Messages about the builds that began streams. Each stream's record is sent to a few other hosts, which are asked
//! when a caller resumes the stream at a host that doesn't know it (`fleet::origin`).

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use fleet::{
    Time,
    assignment::{Candidates, StreamKey, Witness},
    listing::Build,
    origin::{self, Announcement, BuildId, Catchup, Holder, Origin, Services, StreamId},
};
use futures::future;
use tokio::{sync::Notify, task::spawn_local, time};

use super::Gossip;
use crate::{
    assignments, clock,
    message::{self, MAX_ORIGINS_PER_MESSAGE, Message, OriginQuery, OriginReply, StreamNumber},
};

/// Time after which a query that has no answer is sent again, because datagrams may be lost.
const QUERY_INTERVAL: Duration = Duration::from_millis(80);

/// Number of times that a query is sent.
const QUERY_ROUNDS: u32 = 4;

/// Age up to which records are sent to hosts that become their holders. Streams are rarely resumed later.
const HANDOVER_AGE: Duration = Duration::from_secs(20);

/// Number of live hosts up to which records are sent to their new holders. In a larger fleet it is unlikely that all
/// holders of a stream are lost, and each host is the holder of few streams.
const MAX_HANDOVER_HOSTS: usize = 64;

/// Weights that are computed in one step of the selection of records for hosts that have joined, some 30 µs of processor
/// time.
const WEIGHTS_PER_STEP: usize = 400;

/// Time between two such steps.
const STEP_INTERVAL: Duration = Duration::from_millis(10);

/// Hosts that have joined and that have not been sent their records.
#[derive(Default)]
pub struct JoinedHosts {
    names: RefCell<HashSet<Arc<str>>>,
    arrived: Notify,
}

impl JoinedHosts {
    /// Records that a host has joined.
    pub(super) fn record(&self, name: &Arc<str>) {
        self.names.borrow_mut().insert(name.clone());
        self.arrived.notify_one();
    }
}

/// Queries of this host that wait for answers, by stream.
#[derive(Default)]
pub struct OriginQueries(RefCell<HashMap<StreamId, Rc<Pending>>>);

/// A query that waits for answers.
struct Pending {
    /// Combined answers so far; `None` if there are none.
    origin: Cell<Option<Origin>>,
    /// Hosts that have answered.
    answered: RefCell<Vec<SocketAddr>>,
    answer_received: Notify,
}

/// Request that waits for the answers to a query. Dropping the last one for a stream ends the query, also if the caller
/// disconnects.
struct Query<'a> {
    queries: &'a OriginQueries,
    stream: StreamId,
    pending: Rc<Pending>,
}

impl Drop for Query<'_> {
    fn drop(&mut self) {
        // One reference is the map's, one this request's.
        if Rc::strong_count(&self.pending) <= 2 {
            self.queries.0.borrow_mut().remove(&self.stream);
        }
    }
}

impl OriginQueries {
    /// Begins to wait for the answers to a query. Requests that resume the same stream share it.
    fn begin(&self, stream: StreamId) -> Query<'_> {
        let mut queries = self.0.borrow_mut();
        let pending = queries.entry(stream).or_insert_with(|| {
            Rc::new(Pending {
                origin: Cell::new(None),
                answered: RefCell::default(),
                answer_received: Notify::new(),
            })
        });
        Query {
            queries: self,
            stream,
            pending: pending.clone(),
        }
    }

    /// Records an answer.
    fn record(&self, reply: &OriginReply, from: SocketAddr) {
        let queries = self.0.borrow();
        let Some(query) = queries.get(&StreamId(reply.stream)) else {
            return;
        };
        let answer = Origin::from(reply.origin);
        let origin = query.origin.get().map_or(answer, |it| it.or(answer));
        query.origin.set(Some(origin));
        query.answered.borrow_mut().push(from);
        query.answer_received.notify_waiters();
    }
}

impl Gossip {
    /// Records which build began a stream of this host, and sends the record to its holders if they need it.
    pub fn record_origin(
        &self,
        stream: StreamId,
        service: &str,
        services: Services,
        build: BuildId,
    ) {
        let now = clock::now();
        let table = self.gateway.table.borrow();
        let mut origins = self.gateway.origins.borrow_mut();
        match origins.record_own(stream, (service, services), build, &table, now) {
            Announcement::Needed => self.announce_origins(&[(stream, build)]),
            Announcement::NotNeeded => {}
        }
    }

    /// Sends the records that are needed since a service has a second build.
    pub(super) fn announce_held_origins(&self) {
        let now = clock::now();
        let records = {
            let table = self.gateway.table.borrow();
            self.gateway
                .origins
                .borrow_mut()
                .take_unannounced(&table, now)
        };
        self.announce_origins(&records);
    }

    /// Sends records to their holders.
    fn announce_origins(&self, records: &[(StreamId, BuildId)]) {
        if records.is_empty() {
            return;
        }
        let hosts = self.gateway.peers.borrow().live_holders(clock::now());
        self.send_origins(records, &hosts);
    }

    /// Sends records to all of their holders.
    fn send_origins(&self, records: &[(StreamId, BuildId)], hosts: &[Holder<SocketAddr>]) {
        let domain = &self.gateway.settings.domain;
        let held = records.iter().flat_map(|it| {
            let holders = origin::record_holders(it.0, domain, hosts);
            holders.into_iter().map(move |addr| (addr, *it))
        });
        self.send_held_origins(held);
    }

    /// Sends records, each to the address with it.
    fn send_held_origins(&self, records: impl Iterator<Item = (SocketAddr, (StreamId, BuildId))>) {
        let mut by_holder: HashMap<SocketAddr, Vec<(u64, u64)>> = HashMap::new();
        for (addr, (stream, build)) in records {
            let list = by_holder.entry(addr).or_default();
            list.push((stream.0, build.0));
        }
        for (addr, list) in by_holder {
            for part in list.chunks(MAX_ORIGINS_PER_MESSAGE) {
                self.try_send(&Message::Origins(part.to_vec()), addr);
            }
        }
    }

    /// Sends the recent records to hosts that have joined, as far as they are their holders, until the process ends. Hosts
    /// that join meanwhile come next, together.
    pub async fn serve_joined_hosts(self: Rc<Self>) {
        loop {
            self.gateway.joined_hosts.arrived.notified().await;
            let names = self.gateway.joined_hosts.names.take();
            let mut hosts = self.gateway.peers.borrow().live_holders(clock::now());
            if hosts.len() > MAX_HANDOVER_HOSTS {
                continue;
            }
            let mut joined = hosts.clone();
            joined.retain(|it| names.contains(&it.name));
            let mut catchup = Catchup::new(joined, self.recent_origins());
            while !catchup.is_done() {
                let domain = &self.gateway.settings.domain;
                let selected = catchup.step(domain, &hosts, WEIGHTS_PER_STEP);
                self.send_held_origins(selected.into_iter());
                time::sleep(STEP_INTERVAL).await;
                hosts = self.gateway.peers.borrow().live_holders(clock::now());
            }
        }
    }

    /// Sends the recent records to other hosts, because this host is about to terminate.
    pub fn hand_over_origins(&self) {
        let hosts = self.gateway.peers.borrow().live_holders(clock::now());
        if hosts.len() <= MAX_HANDOVER_HOSTS {
            self.send_origins(&self.recent_origins(), &hosts);
        }
    }

    fn recent_origins(&self) -> Vec<(StreamId, BuildId)> {
        let origins = self.gateway.origins.borrow();
        origins.records_within(HANDOVER_AGE, clock::now())
    }

    /// Returns the build that began a stream of a service, if it is recorded here or at one of the holders, or if no
    /// other one can have begun it.
    pub async fn find_origin(
        &self,
        stream: StreamId,
        key: Option<StreamKey>,
        service: &Arc<str>,
        deadline: Time,
    ) -> Option<BuildId> {
        if let Origin::Recorded(it) = self.known_origin(stream, service) {
            return Some(it);
        }
        let query = self.gateway.origin_queries.begin(stream);
        let pending = &query.pending;
        let (computed, answers) = future::join(
            self.compute_origin(stream, key, service),
            self.query_origin(stream, service, pending, deadline),
        )
        .await;
        if let Answers::Received(Origin::Recorded(it)) = answers {
            return Some(it);
        }
        let computed = self.prove_origin(stream, service, computed).await;
        match (answers, computed) {
            // The stream may have begun at another build than the assigned one before the store recorded that, so the record
            // of a holder counts more than what the assignments give.
            (Answers::Received(it), _) => it.or(computed).build(),
            (Answers::None, _) | (_, Origin::Recorded(_)) => computed.build(),
            // This host may have been cut off since its start, and its list outdated.
            (Answers::NobodyAsked, _) => {
                let table = self.gateway.table.borrow();
                let origins = self.gateway.origins.borrow();
                let certain = origins.certain_build(service, &table, clock::now());
                certain.filter(|it| computed == Origin::Only(*it))
            }
        }
    }

    /// Returns what this host knows of the origin of a stream, with the state of the store after this call. Without an
    /// answer of the store, another build than the listed ones may have begun the stream.
    async fn compute_origin(
        &self,
        stream: StreamId,
        key: Option<StreamKey>,
        service: &Arc<str>,
    ) -> Computed {
        if let known @ Origin::Recorded(_) = self.known_origin(stream, service) {
            return Computed::Known(known);
        }
        let evidence = assignments::candidates(&self.gateway, service, key).await;
        // A record may have been received meanwhile.
        let known = self.known_origin(stream, service);
        let Some(evidence) = evidence else {
            // Another build than the listed ones may have begun the stream.
            return Computed::Known(match known {
                Origin::Only(_) => Origin::Unknown,
                it => it,
            });
        };
        match (known, evidence.candidates) {
            (Origin::Recorded(_), _) => Computed::Known(known),
            (_, Candidates::One(it)) => Computed::Assigned(it, evidence.witnesses),
            (_, Candidates::Several) => Computed::Known(Origin::Several),
            (Origin::Only(_), Candidates::Any(Some(it))) => {
                Computed::Known(known.or(Origin::Only(BuildId::new(service, &it))))
            }
            (_, Candidates::Any(_)) => Computed::Known(known),
        }
    }

    /// Returns the origin of a stream. One that follows from the assignments counts only if their witnesses still run.
    async fn prove_origin(
        &self,
        stream: StreamId,
        service: &Arc<str>,
        computed: Computed,
    ) -> Origin {
        match computed {
            Computed::Known(it) => it,
            Computed::Assigned(build, witnesses) => {
                let is_proven = self.have_survived(service, &build, &witnesses).await;
                match self.known_origin(stream, service) {
                    known @ Origin::Recorded(_) => known,
                    _ if is_proven => Origin::Recorded(BuildId::new(service, &build)),
                    _ => Origin::Several,
                }
            }
        }
    }

    /// Returns what this host tells others of the origin of a stream: its record, or what the assignments give, which is less
    /// certain than the record of another host.
    async fn origin_for_others(&self, stream: StreamId, service: &Arc<str>) -> Origin {
        let known = self.known_origin(stream, service);
        if let Origin::Recorded(_) = known {
            return known;
        }
        let computed = self.compute_origin(stream, None, service).await;
        match self.prove_origin(stream, service, computed).await {
            Origin::Recorded(it) => Origin::Only(it),
            it => it,
        }
    }

    /// Asks the holders of a stream until one of them has a record, or all of them have answered.
    async fn query_origin(
        &self,
        stream: StreamId,
        service: &str,
        query: &Pending,
        deadline: Time,
    ) -> Answers {
        let message = Message::OriginQuery(OriginQuery {
            stream: stream.0,
            service: service.to_owned(),
        });
        let mut asked_any = false;
        for _ in 0..QUERY_ROUNDS {
            let hosts = self.gateway.peers.borrow().recent_holders(clock::now());
            let domain = &self.gateway.settings.domain;
            let targets = origin::holders_to_ask(stream, domain, &hosts);
            asked_any |= !targets.is_empty();
            for addr in targets.iter().filter(|it| !query.has_answered(it)) {
                self.try_send(&message, *addr);
            }
            let until = (clock::now() + QUERY_INTERVAL).min(deadline);
            if query.wait_for_answers(&targets, until).await || clock::now() >= deadline {
                break;
            }
        }
        match query.origin.get() {
            Some(it) => Answers::Received(it),
            None if asked_any || self.gateway.peers.borrow().has_heard_of_hosts() => Answers::None,
            None => Answers::NobodyAsked,
        }
    }

    /// Knowledge of this host about the build that began a stream.
    fn known_origin(&self, stream: StreamId, service: &str) -> Origin {
        let table = self.gateway.table.borrow();
        let origins = self.gateway.origins.borrow();
        origins.find(stream, service, &table, clock::now())
    }

    /// Returns whether this host has a record of the build that began a stream.
    pub fn has_origin(&self, stream: StreamId, service: &str) -> bool {
        matches!(self.known_origin(stream, service), Origin::Recorded(_))
    }

    /// Answers a query of another host, after a read of the store if that may tell more.
    pub(super) fn handle_origin_query(self: &Rc<Self>, query: OriginQuery, from: SocketAddr) {
        let gossip = self.clone();
        spawn_local(async move {
            let (stream, service) = (StreamId(query.stream), query.service.into());
            let origin = gossip.origin_for_others(stream, &service).await;
            let reply = OriginReply {
                stream: query.stream,
                origin: origin.into(),
            };
            gossip.try_send(&Message::OriginReply(reply), from);
        });
    }

    /// Handles the answer of another host to a query.
    pub(super) fn handle_origin_reply(&self, reply: &OriginReply, from: SocketAddr) {
        self.gateway.origin_queries.record(reply, from);
    }

    /// Records the builds that began streams of other hosts.
    pub(super) fn handle_origins(&self, records: &[(StreamNumber, u64)]) {
        let now = clock::now();
        let mut origins = self.gateway.origins.borrow_mut();
        for (stream, build) in records {
            origins.record_remote(StreamId(*stream), BuildId(*build), now);
        }
    }

    /// Sends a message at once, without waiting for room in the socket's buffer.
    pub(super) fn try_send(&self, message: &Message, addr: SocketAddr) {
        self.try_send_all(message, &[addr]);
    }

    /// Sends a message to several hosts, encoded once, unless the socket is full.
    pub(super) fn try_send_all(&self, message: &Message, to: &[SocketAddr]) {
        for datagram in message::encode_within_limit(message) {
            for addr in to {
                if let Err(error) = self.socket.try_send_to(&datagram, *addr) {
                    log::debug!("cannot send datagram to {addr}: {error}");
                }
            }
        }
    }
}

/// Origin of a stream by the knowledge of this host and the assignments.
enum Computed {
    /// This host knows it, or knows that it can't be told.
    Known(Origin),
    /// The assignments give the stream to this build, if one engine of each of these lists still runs.
    Assigned(Build, Vec<Vec<Witness>>),
}

/// Result of a query to other hosts.
enum Answers {
    /// At least one host has answered.
    Received(Origin),
    /// No host has answered, or those that were known are lost.
    None,
    /// No message of another host was ever received.
    NobodyAsked,
}

impl Pending {
    fn has_answered(&self, host: &SocketAddr) -> bool {
        self.answered.borrow().contains(host)
    }

    /// Waits until a host has answered that it has a record, or all of `hosts` have answered. Returns false if
    /// answers are missing at `until`.
    async fn wait_for_answers(&self, hosts: &[SocketAddr], until: Time) -> bool {
        loop {
            let received = self.answer_received.notified();
            let has_record = matches!(self.origin.get(), Some(Origin::Recorded(_)));
            let has_all = !hosts.is_empty() && hosts.iter().all(|it| self.has_answered(it));
            if has_record || has_all {
                return true;
            }
            let wait = until.saturating_sub(clock::now());
            if wait.is_zero() || time::timeout(wait, received).await.is_err() {
                return false;
            }
        }
    }
}
