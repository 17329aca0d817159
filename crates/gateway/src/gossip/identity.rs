//! Engines that may have started again since their entries were written (`fleet::identity`). A host that sees a connection
//! of an engine break tells the others, which may have none, at once, and tells them if the engine turns out to be alive.

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use fleet::{
    Time,
    assignment::Witness,
    circuit::State,
    engine::Engine,
    identity::{Announcement, BREAK_TIME},
    listing::Build,
    origin::{BuildId, Services, StreamId},
    quarantine::Incarnation,
    table::Key,
};
use futures::future;
use hyper::http::StatusCode;
use tokio::{sync::Mutex, task::spawn_local, time};

use super::{
    Gossip,
    quarantine::{Contents, incarnation},
};
use crate::{
    assignments, clock,
    message::{EndedEngine, EngineIncarnation, Message},
    orders,
};

/// Minimum time between two queries of this host whether an engine has started again.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which the answer of an engine to a query is relied on. If the engine ends sooner, the connection of the query
/// shows it.
const PROOF_TTL: Duration = Duration::from_secs(1);

/// Time between two queries of a host whether an engine still runs, for each host of the fleet. After the loss of all hosts,
/// all of them ask the same few engines.
const PROOF_INTERVAL_PER_HOST: Duration = Duration::from_millis(1);

/// Number of engines that are asked at the same time whether they still run.
const MAX_ASKED_WITNESSES: usize = 3;

/// Time after a break before an engine that no request needs is asked whether it has started again.
const BACKGROUND_DELAY: Duration = Duration::from_millis(300);

/// Minimum time between two announcements of this host that an engine may have ended. Engines may break one connection
/// after the other.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum time for which a response is held until it is certain whether its engine has started again.
const MAX_CONFIRM_TIME: Duration = Duration::from_millis(500);

/// Time between two attempts to find that out.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two checks whether the build that began a stream is known.
const ORIGIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time for which the build that began a stream is waited for.
const MAX_ORIGIN_WAIT: Duration = Duration::from_secs(15);

/// Queries and announcements of this host about engines that may have started again.
#[derive(Default)]
pub struct IdentityChecks {
    /// The last query of each engine. Requests that need the same engine share it.
    queries: RefCell<HashMap<Key, Rc<Mutex<Query>>>>,
    /// When this host last told the others that an engine may have ended.
    announced_at: RefCell<HashMap<Key, Time>>,
}

/// Query of an engine's status.
#[derive(Clone, Copy, Debug, Default)]
struct Query {
    /// When the engine was asked; zero if it never was.
    asked_at: Time,
    /// True if it answered that it is the listed incarnation, and accepts work.
    has_confirmed: bool,
}

impl Query {
    /// Returns whether the engine was asked within `time`.
    fn is_within(self, time: Duration, now: Time) -> bool {
        !self.asked_at.is_zero() && self.asked_at + time > now
    }
}

impl IdentityChecks {
    fn query(&self, key: Key) -> Rc<Mutex<Query>> {
        self.queries.borrow_mut().entry(key).or_default().clone()
    }

    /// Returns whether an announcement is due, and counts it.
    fn take_announcement(&self, key: Key, now: Time) -> bool {
        let mut announced_at = self.announced_at.borrow_mut();
        announced_at.retain(|_, at| *at + MAX_ORIGIN_WAIT > now);
        let last = announced_at.get(&key);
        let is_due = last.is_none_or(|it| *it + ANNOUNCEMENT_INTERVAL <= now);
        if is_due {
            announced_at.insert(key, now);
        }
        is_due
    }

    /// Returns whether this host has told the others that an engine may have ended, and forgets it.
    fn has_announced(&self, key: Key) -> bool {
        self.announced_at.borrow_mut().remove(&key).is_some()
    }
}

impl Gossip {
    /// Records that a connection to an engine broke or could not be opened, so that the engine may have ended.
    pub fn record_end(self: &Rc<Self>, key: Key) {
        let now = clock::now();
        let mut table = self.gateway.table.borrow_mut();
        let Some(engine) = table.get(key) else { return };
        if engine.identity().is_certain() {
            let id = &*engine.listing.id;
            log::info!(event = "engine-uncertain", engine = id, why = "break"; "a connection to engine {id} ended: the engine may start again as another build");
            if self.gateway.identity_checks.take_announcement(key, now) {
                self.send_to_all(&Message::Ended(ended_engine(
                    incarnation(&engine.listing),
                    0,
                )));
            }
            spawn_local(self.clone().confirm_end(key));
        }
        table.record_break(key, now, Announcement::Needed);
    }

    /// Records the engines whose idle connections have ended.
    pub fn observe_ended_connections(self: &Rc<Self>) {
        for addr in self.gateway.pool.take_ended() {
            let keys: Vec<Key> = {
                let table = self.gateway.table.borrow();
                let at_addr = table.iter().filter(|it| it.1.listing.addr == addr);
                at_addr.map(|it| it.0).collect()
            };
            for key in keys {
                self.record_end(key);
            }
        }
    }

    /// Tells all hosts repeatedly that an engine may have ended, unless other connections to it live on.
    async fn confirm_end(self: Rc<Self>, key: Key) {
        time::sleep(BREAK_TIME).await;
        if self.has_older_connection(key) {
            self.announce_alive(key);
            return;
        }
        let ended = {
            let mut table = self.gateway.table.borrow_mut();
            if !table.take_announcement(key) {
                return;
            }
            let Some(engine) = table.get(key) else { return };
            let at = engine.identity().uncertain_since();
            at.map(|at| (incarnation(&engine.listing), at))
        };
        if let Some((engine, at)) = ended {
            self.send_report(Contents::End { engine, at });
        }
    }

    /// Tells all hosts that an engine has not ended, if this host has told them that it may have.
    fn announce_alive(&self, key: Key) {
        if !self.gateway.identity_checks.has_announced(key) {
            return;
        }
        let table = self.gateway.table.borrow();
        if let Some(engine) = table.get(key) {
            let id = &*engine.listing.id;
            log::info!(event = "engine-certain", engine = id; "engine {id} has not ended");
            let engine = ended_engine(incarnation(&engine.listing), 0).engine;
            self.send_to_all(&Message::Alive(engine));
        }
    }

    fn send_to_all(&self, message: &Message) {
        for addr in self.live_addresses() {
            self.try_send(message, addr);
        }
    }

    /// Handles the report of another host that an engine has not ended.
    pub(super) fn handle_alive(&self, it: EngineIncarnation) {
        let mut table = self.gateway.table.borrow_mut();
        let Some(key) = table.find_by_short_id(it.engine) else {
            return;
        };
        let listed = table.get(key).map(|it| it.listing.incarnation);
        if listed == Some(it.incarnation) {
            table.record_start(key, it.incarnation, clock::now());
        }
    }

    /// Returns whether an idle connection to an engine shows that the engine has not ended.
    fn has_older_connection(&self, key: Key) -> bool {
        let now = clock::now();
        let proving = {
            let table = self.gateway.table.borrow();
            let engine = table.get(key);
            engine.and_then(|it| Some((it.listing.addr, it.identity().proving_connection()?)))
        };
        let connected_at = proving.and_then(|it| self.gateway.pool.oldest_idle(it.0, it.1));
        if let Some(connected_at) = connected_at {
            let mut table = self.gateway.table.borrow_mut();
            table.record_data(key, connected_at, now);
        }
        self.is_certain(key)
    }

    /// Handles the report of another host that an engine may have ended.
    pub(super) fn handle_ended(&self, it: &EndedEngine) {
        let at = clock::now().saturating_sub(Duration::from_millis(it.age_ms.into()));
        let mut table = self.gateway.table.borrow_mut();
        let Some(key) = table.find_by_short_id(it.engine.engine) else {
            return;
        };
        let Some(engine) = table.get(key) else { return };
        if engine.listing.incarnation != it.engine.incarnation {
            return;
        }
        if engine.identity().is_certain() {
            let id = &*engine.listing.id;
            log::info!(event = "engine-uncertain", engine = id, why = "other-host"; "another host reports that engine {id} may have ended");
        }
        table.record_break(key, at, Announcement::Done);
    }

    /// Returns whether an engine is certain to be the listed incarnation. Of one that is no longer listed, nothing is in
    /// doubt.
    pub fn is_certain(&self, key: Key) -> bool {
        let table = self.gateway.table.borrow();
        table.get(key).is_none_or(|it| it.identity().is_certain())
    }

    /// Asks an engine when it started, unless it was asked within [`CHECK_INTERVAL`]. Returns whether it is certain to be
    /// the listed incarnation.
    pub async fn check_identity(&self, key: Key) -> bool {
        let query = self.gateway.identity_checks.query(key);
        let mut query = query.lock().await;
        if self.is_certain(key) {
            return true;
        }
        if query.is_within(CHECK_INTERVAL, clock::now()) {
            return false;
        }
        if !self.has_older_connection(key) {
            self.query_start(key, &mut query).await;
        }
        let is_certain = self.is_certain(key);
        if is_certain {
            self.announce_alive(key);
        }
        is_certain
    }

    /// Waits until an engine that has begun to answer is certain to be the listed incarnation, as far as it can be found out
    /// in a short time. Another connection to it may have broken meanwhile.
    pub async fn confirm_identity(&self, key: Key) {
        let until = clock::now() + MAX_CONFIRM_TIME;
        while !self.check_identity(key).await && clock::now() < until {
            time::sleep(CONFIRM_INTERVAL).await;
        }
    }

    /// Asks an engine when it started, unless it was asked within [`PROOF_TTL`], before a stream goes on there. It may have
    /// started again while no host had a connection to it. If it doesn't answer, the list is relied on.
    pub async fn prove_identity(&self, key: Key) {
        let query = self.gateway.identity_checks.query(key);
        let mut query = query.lock().await;
        if !query.is_within(PROOF_TTL, clock::now()) {
            self.query_start(key, &mut query).await;
        }
    }

    /// Returns whether an engine of each list still runs in the incarnation of that time, by an answer to a query that was
    /// sent after this call. No engines of these lists can have ended together since.
    pub async fn have_survived(
        &self,
        service: &str,
        build: &Build,
        lists: &[Vec<Witness>],
    ) -> bool {
        let since = clock::now();
        for list in lists {
            let mut engines = assignments::serving_witnesses(&self.gateway, service, build, list);
            engines.sort_by_cached_key(|_| rand::random::<u32>());
            let mut is_proven = false;
            for asked in engines.chunks(MAX_ASKED_WITNESSES) {
                let answers = asked.iter().map(|it| self.confirms(*it, since));
                is_proven = future::join_all(answers).await.contains(&true);
                if is_proven {
                    break;
                }
            }
            if !is_proven {
                log::info!(event = "witnesses-gone", service; "no engine of build {build} has run throughout: streams of service {service} may have begun at another build");
                return false;
            }
        }
        true
    }

    /// Returns whether an engine has answered a query that was sent after `since` that it is the listed incarnation, and
    /// accepts work.
    async fn confirms(&self, key: Key, since: Time) -> bool {
        let query = self.gateway.identity_checks.query(key);
        let mut query = query.lock().await;
        if query.asked_at < since {
            let hosts = self.gateway.peers.borrow().host_count();
            let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
            let next = query.asked_at + PROOF_INTERVAL_PER_HOST * hosts;
            time::sleep(next.saturating_sub(clock::now())).await;
            self.query_start(key, &mut query).await;
        }
        query.has_confirmed
    }

    /// Asks an engine when it started.
    async fn query_start(&self, key: Key, query: &mut Query) {
        *query = Query {
            asked_at: clock::now(),
            has_confirmed: false,
        };
        let target = {
            let table = self.gateway.table.borrow();
            table
                .get(key)
                .map(|it| (it.listing.id.clone(), it.listing.addr))
        };
        let Some((id, addr)) = target else { return };
        let asked_at = query.asked_at;
        let gateway = &self.gateway;
        let request = gateway.dialect.build_status_query(&id);
        let response = orders::call_engine(gateway, key, &id, addr, request).await;
        if let Some((StatusCode::OK, body)) = response {
            let mut table = gateway.table.borrow_mut();
            table.record_data(key, asked_at, clock::now());
            drop(table);
            orders::record_start(gateway, key, &body, asked_at);
            let table = gateway.table.borrow();
            let engine = table.get(key);
            query.has_confirmed =
                engine.is_some_and(|it| it.accepts_work() && it.identity().is_certain());
        }
    }

    /// Asks one of the engines that have been uncertain for a while when it started.
    pub fn check_next_identity(self: &Rc<Self>) {
        let now = clock::now();
        let is_due = |it: &(Key, &Engine)| {
            let since = it.1.identity().uncertain_since();
            since.is_some_and(|it| it + BACKGROUND_DELAY <= now)
                && it.1.circuit.state(now) != State::Unreachable
        };
        let due: Vec<Key> = {
            let table = self.gateway.table.borrow();
            table
                .uncertain_engines()
                .filter(is_due)
                .map(|it| it.0)
                .collect()
        };
        if !due.is_empty() {
            let key = due[rand::random_range(0..due.len())];
            let gossip = self.clone();
            spawn_local(async move { gossip.check_identity(key).await });
        }
    }

    /// Records which build began a stream at an engine that may have started again, once that is known. Its first event came
    /// now, on a connection that was opened at `connected_at`.
    pub fn record_origin_later(
        self: &Rc<Self>,
        stream: StreamId,
        (service, services): (Arc<str>, Services),
        key: Key,
        connected_at: Option<Time>,
    ) {
        let gossip = self.clone();
        let begun_at = clock::now();
        spawn_local(async move {
            let until = clock::now() + MAX_ORIGIN_WAIT;
            loop {
                while !gossip.is_certain(key) && clock::now() < until {
                    gossip.check_identity(key).await;
                    time::sleep(ORIGIN_CHECK_INTERVAL).await;
                }
                // Another break may be noticed just after the entry was read.
                time::sleep(BREAK_TIME).await;
                if gossip.is_certain(key) || clock::now() >= until {
                    break;
                }
            }
            let build = {
                let table = gossip.gateway.table.borrow();
                let engine = table.get(key);
                let engine = engine.filter(|it| it.identity().has_sent(connected_at, begun_at));
                engine.map(|it| BuildId::of(&it.listing))
            };
            if let Some(build) = build {
                gossip.record_origin(stream, &service, services, build);
            }
        });
    }
}

/// Builds the message about an engine that may have ended.
pub(super) fn ended_engine(engine: Incarnation, age_ms: u32) -> EndedEngine {
    EndedEngine {
        engine: EngineIncarnation {
            engine: engine.engine,
            incarnation: engine.started_at,
        },
        age_ms,
    }
}
