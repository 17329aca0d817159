//! Turns at engines that limit the requests of all hosts together (`fleet::request_limit`). The coordinator of an engine
//! is a live host, chosen by rendezvous hashing, of the engine's failure domain if it has one: hosts that can't reach that
//! domain can't reach the engine either.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use fleet::{
    Time,
    engine::Engine,
    listing::Listing,
    rendezvous,
    request_limit::{Observation, Patience, Rate, Stated, StatementId, Supersession, Turn},
    table::{Key, Table},
};
use tokio::{sync::oneshot, task::spawn_local, time};

use super::Gossip;
use crate::{
    clock, gateway,
    message::{
        self, EngineIncarnation, EngineLimit, FullEngine, LimitSuperseded,
        MAX_WORKLOADS_PER_MESSAGE, Message, Refusal, StatedLimit, TurnOutcome, TurnReply,
        TurnRequest,
    },
};

/// Maximum time in which the coordinator answers.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which an engine is not used after its coordinator could not tell when there is a turn.
const SILENCE_PAUSE: Duration = Duration::from_millis(200);

/// Maximum number of questions of this host about one engine that wait for answers. Further requests don't ask.
const MAX_QUESTIONS: usize = 16;

/// Time after which a request may ask again whose coordinator knows no limit.
const MIN_QUESTION_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which this host repeats a change of a limit in its heartbeats, at the full heartbeat rate.
const REPEAT_TIME: Duration = Duration::from_secs(1);

/// Time after its turn in which a request may still be sent.
const TURN_TTL: Duration = Duration::from_millis(500);

/// Questions of this host that wait for answers, by number.
#[derive(Default)]
pub struct TurnQuestions {
    open: RefCell<HashMap<u32, Question>>,
    last_number: Cell<u32>,
}

impl TurnQuestions {
    /// Number of questions about an engine that wait for answers.
    fn count(&self, key: Key) -> usize {
        let open = self.open.borrow();
        open.values().filter(|it| it.engine == key).count()
    }
}

struct Question {
    engine: Key,
    reply: oneshot::Sender<Turn>,
}

/// Turn of a request at an engine.
#[derive(Clone, Copy, Debug)]
pub struct GrantedTurn {
    /// The engine.
    pub engine: Key,
    /// Time before which the request must not be sent.
    pub at: Time,
    rate: Rate,
}

impl GrantedTurn {
    /// Returns whether a request may be sent to the engine by this turn: not long after its time, and not after the
    /// engine has stated a lower limit.
    pub fn is_valid(&self, engine: &Engine, now: Time) -> bool {
        engine.limit.honors(self.rate) && now < self.at + TURN_TTL
    }
}

/// Question that waits for an answer. Dropping it ends the wait.
struct OpenQuestion<'a> {
    questions: &'a TurnQuestions,
    number: u32,
}

impl Drop for OpenQuestion<'_> {
    fn drop(&mut self) {
        self.questions.open.borrow_mut().remove(&self.number);
    }
}

impl Gossip {
    /// Asks for a turn at an engine. Returns `None` if the engine has no limit. The error is the time
    /// until which this host gets no turn.
    pub(crate) async fn request_turn(
        self: &Rc<Self>,
        key: Key,
        patience: Patience,
    ) -> Result<Option<GrantedTurn>, Time> {
        let now = clock::now();
        let turn = match self.coordinator(key) {
            Coordinator::None => return Ok(None),
            Coordinator::Own => self.grant_turn(key, self.gateway.settings.peers, patience),
            Coordinator::Other(addr) => (self.ask_for_turn(key, addr, patience, Asker::Own)).await,
        };
        let (outcome, until) = match turn {
            Some(Turn::Unlimited) => return Ok(None),
            Some(Turn::Granted(wait, rate)) => {
                return Ok(Some(GrantedTurn {
                    engine: key,
                    at: now + wait,
                    rate,
                }));
            }
            Some(Turn::Taken(wait)) => ("no-turn", now + wait),
            None => ("silent-coordinator", clock::now() + SILENCE_PAUSE),
        };
        self.gateway.metrics.count_limited_request(outcome);
        if let Some(engine) = self.gateway.table.borrow_mut().get_mut(key) {
            engine.limit.record_taken(until);
        }
        Err(until)
    }

    /// Asks another host for a turn. Returns `None` if it doesn't answer.
    async fn ask_for_turn(
        &self,
        key: Key,
        to: SocketAddr,
        patience: Patience,
        asker: Asker,
    ) -> Option<Turn> {
        let questions = &self.gateway.turn_questions;
        let (reply, answered) = oneshot::channel();
        let number = questions.last_number.get().wrapping_add(1);
        if questions.count(key) >= MAX_QUESTIONS {
            time::sleep(SILENCE_PAUSE).await;
            return None;
        }
        questions.last_number.set(number);
        let question = Question { engine: key, reply };
        questions.open.borrow_mut().insert(number, question);
        let question = OpenQuestion { questions, number };
        let request = {
            let now = clock::now();
            let table = self.gateway.table.borrow();
            let engine = table.get(key)?;
            TurnRequest {
                engine: incarnation_of(engine),
                stated: engine.limit.stated().map(|it| encode_stated(&it, now)),
                refusal: encode_refusal(engine, now),
                number,
                on_time_ms: message::to_millis(patience.on_time),
                longest_wait_ms: message::to_millis(patience.longest),
                is_relayed: asker == Asker::OtherHost,
            }
        };
        self.try_send(&Message::TurnRequest(request), to);
        let turn = time::timeout(REPLY_TIMEOUT, answered).await.ok()?.ok();
        drop(question);
        turn
    }

    /// Grants a turn to a host, as the coordinator.
    fn grant_turn(&self, key: Key, host: SocketAddr, patience: Patience) -> Option<Turn> {
        let now = clock::now();
        let peers = self.gateway.peers.borrow();
        let share = peers.reachable_share(&self.gateway.holder, now);
        let mut table = self.gateway.table.borrow_mut();
        let engine = table.get_mut(key)?;
        let rate = engine.turn_rate(now)?;
        engine.limit.lead(rate, peers.liveness_timeout(), now);
        Some(engine.limit.grant(host, patience, share, now))
    }

    /// Answers another host that asks for a turn. A host that doesn't reach the coordinator asks another one, which asks
    /// the coordinator in its place: two hosts that grant turns at the same time would exceed the limit.
    pub(super) fn handle_turn_request(self: &Rc<Self>, request: TurnRequest, from: SocketAddr) {
        if let Some(stated) = request.stated {
            let engine = request.engine;
            self.observe_limit(&EngineLimit { engine, stated }, from);
        }
        if let Some(refusal) = request.refusal {
            let engine = request.engine;
            self.observe_full(&FullEngine { engine, refusal });
        }
        let key = (self.gateway.table.borrow()).find_by_short_id(request.engine.engine);
        // An engine that this host doesn't know yet.
        let Some(key) = key else {
            self.reply_to(&request, from, Turn::Taken(SILENCE_PAUSE));
            return;
        };
        let patience = Patience {
            on_time: message::from_millis(request.on_time_ms),
            longest: message::from_millis(request.longest_wait_ms),
        };
        match self.coordinator(key) {
            Coordinator::None => self.reply_to(&request, from, Turn::Unlimited),
            Coordinator::Own => {
                let turn = self.grant_turn(key, from, patience);
                self.reply_to(&request, from, turn.unwrap_or(Turn::Taken(SILENCE_PAUSE)));
            }
            Coordinator::Other(_) if request.is_relayed => {
                self.reply_to(&request, from, Turn::Taken(SILENCE_PAUSE));
            }
            Coordinator::Other(addr) => {
                let gossip = self.clone();
                spawn_local(async move {
                    let turn = gossip.ask_for_turn(key, addr, patience, Asker::OtherHost);
                    if let Some(turn) = turn.await {
                        gossip.reply_to(&request, from, turn);
                    }
                });
            }
        }
    }

    fn reply_to(&self, request: &TurnRequest, to: SocketAddr, turn: Turn) {
        let reply = Message::TurnReply(TurnReply {
            number: request.number,
            outcome: TurnOutcome::from(turn),
        });
        self.try_send(&reply, to);
    }

    /// Passes the coordinator's answer to the request that asked.
    pub(super) fn handle_turn_reply(&self, reply: &TurnReply) {
        let question = (self.gateway.turn_questions.open.borrow_mut()).remove(&reply.number);
        let Some(question) = question else {
            return;
        };
        let now = clock::now();
        let needs_turn =
            (self.gateway.table.borrow().get(question.engine)).is_some_and(|it| it.needs_turn(now));
        let turn = match Turn::from(reply.outcome) {
            // The coordinator has sent the proof, which may be late or may be about an earlier statement.
            Turn::Unlimited if needs_turn => Turn::Taken(MIN_QUESTION_INTERVAL),
            it => it,
        };
        let _ = question.reply.send(turn);
    }

    /// Records limits that another host knows.
    pub(super) fn handle_limits(&self, limits: &[EngineLimit], from: SocketAddr) {
        for it in limits {
            self.observe_limit(it, from);
        }
    }

    /// Records a limit that another host knows, or tells that host that the engine has allowed more since.
    fn observe_limit(&self, limit: &EngineLimit, from: SocketAddr) {
        let mut table = self.gateway.table.borrow_mut();
        let Some(engine) = find_engine(&mut table, limit.engine) else {
            return;
        };
        let now = clock::now();
        let stated = decode_stated(&limit.stated, now);
        let previous = engine.limit.stated_until();
        match engine.limit.observe_remote(stated) {
            Observation::Unchanged => {}
            Observation::Adopted => {
                gateway::log_limit(engine, "other-host", stated.until, previous, now);
            }
            Observation::Superseded(it) => {
                let proof = Message::LimitSuperseded(LimitSuperseded {
                    engine: limit.engine,
                    superseded: limit.stated,
                    later_ms: message::to_millis(it.later_by),
                    current: it.current.map(|it| encode_stated(&it, now)),
                });
                self.try_send(&proof, from);
            }
        }
    }

    /// Records that an engine allows more than this host knew.
    pub(super) fn handle_superseded(&self, proof: &LimitSuperseded) {
        let mut table = self.gateway.table.borrow_mut();
        let Some(engine) = find_engine(&mut table, proof.engine) else {
            return;
        };
        let now = clock::now();
        let proof = Supersession {
            superseded: StatementId(proof.superseded.id),
            later_by: message::from_millis(proof.later_ms),
            current: (proof.current.as_ref()).map(|it| decode_stated(it, now)),
        };
        let previous = engine.limit.stated_until();
        if engine.limit.supersede(&proof) {
            gateway::log_limit(
                engine,
                "other-host",
                previous + proof.later_by,
                previous,
                now,
            );
        }
    }

    /// Limits that have just changed, by the responses to this host, for all hosts.
    pub(super) fn changed_limits(&self) -> Vec<EngineLimit> {
        let now = clock::now();
        let changed: Vec<Key> = self.gateway.changed_limits.borrow_mut().drain(..).collect();
        let table = self.gateway.table.borrow();
        let engines = changed.iter().filter_map(|it| table.get(*it));
        engines.filter_map(|it| encode_limit(it, now)).collect()
    }

    /// Records engines without room that another host knows.
    pub(super) fn handle_full(&self, engines: &[FullEngine]) {
        for it in engines {
            self.observe_full(it);
        }
    }

    fn observe_full(&self, full: &FullEngine) {
        let mut table = self.gateway.table.borrow_mut();
        let Some(engine) = find_engine(&mut table, full.engine) else {
            return;
        };
        let now = clock::now();
        let Refusal { tolerance, age_ms } = full.refusal;
        let refused_at = now.saturating_sub(message::from_millis(age_ms));
        if engine.room.tolerance().is_none() {
            engine.room.observe(Some(tolerance));
        }
        let running = engine.local_work.running;
        let random = rand::random_range(0.0..1.0);
        if (engine.room).record_refusal(running, random, refused_at, now) {
            gateway::log_full(engine, "other-host", running);
        }
    }

    /// Engines that this host has just found to be full, for all hosts.
    pub(super) fn newly_full(&self) -> Vec<FullEngine> {
        let now = clock::now();
        let keys: Vec<Key> = self.gateway.full_engines.borrow_mut().drain(..).collect();
        let table = self.gateway.table.borrow();
        let engines = keys.iter().filter_map(|it| table.get(*it));
        engines.filter_map(|it| encode_full(it, now)).collect()
    }

    /// Takes up or leaves the coordination of engines whose requests are sent in turn.
    pub(super) fn update_coordination(&self, now: Time) {
        let limited: Vec<Key> = (self.gateway.table.borrow().iter())
            .filter(|(_, it)| it.turn_rate(now).is_some() || it.limit.is_leading())
            .map(|it| it.0)
            .collect();
        let timeout = self.gateway.peers.borrow().liveness_timeout();
        for key in limited {
            let coordinator = self.coordinator(key);
            let mut table = self.gateway.table.borrow_mut();
            let Some(engine) = table.get_mut(key) else {
                continue;
            };
            let was_leading = engine.limit.is_leading();
            match engine.turn_rate(now) {
                Some(rate) if coordinator == Coordinator::Own => {
                    engine.limit.lead(rate, timeout, now);
                }
                _ => engine.limit.follow(),
            }
            if was_leading != engine.limit.is_leading() {
                let id = &*engine.listing.id;
                let leads = engine.limit.is_leading();
                log::info!(event = "limit-coordinator", engine = id, own = leads; "this host {} the requests of all hosts to engine {id}", if leads { "now schedules" } else { "no longer schedules" });
            }
        }
    }

    /// Limits for a heartbeat: recent changes, because datagrams may be lost, and those of the engines that this host
    /// coordinates, for hosts that start.
    pub(super) fn limit_messages(&self, now: Time) -> Vec<Message> {
        let repeat_time = REPEAT_TIME.mul_f64(self.gateway.peers.borrow().slowdown());
        let table = self.gateway.table.borrow();
        let is_due = |(key, it): &(Key, &Engine)| {
            let is_recent = (it.limit.lowered_at()).is_some_and(|it| it + repeat_time > now);
            let is_limited = it.limit.rate().is_some();
            is_recent || is_limited && matches!(self.coordinator(*key), Coordinator::Own)
        };
        let due = table.iter().filter(is_due);
        let limits: Vec<EngineLimit> = due.filter_map(|it| encode_limit(it.1, now)).collect();
        let is_recent =
            |it: &Engine| (it.room.refused_at(now)).is_some_and(|at| at + repeat_time > now);
        let full = table.iter().map(|it| it.1).filter(|it| is_recent(it));
        let full: Vec<FullEngine> = full.filter_map(|it| encode_full(it, now)).collect();
        let limits = limits.chunks(MAX_WORKLOADS_PER_MESSAGE);
        let full = full.chunks(MAX_WORKLOADS_PER_MESSAGE);
        limits
            .map(|it| Message::Limits(it.to_vec()))
            .chain(full.map(|it| Message::Full(it.to_vec())))
            .collect()
    }

    /// Host that schedules the requests to an engine with a limit, or without room.
    fn coordinator(&self, key: Key) -> Coordinator {
        let now = clock::now();
        let table = self.gateway.table.borrow();
        let Some(engine) = table.get(key).filter(|it| it.turn_rate(now).is_some()) else {
            return Coordinator::None;
        };
        let Listing { id, domain, .. } = &engine.listing;
        let rank = |host: &str, of: &str| (*of == **domain, rendezvous::weight(id, host));
        let own_rank = rank(&self.gateway.holder, &self.gateway.settings.domain);
        let peers = self.gateway.peers.borrow();
        let others = peers.live_holders(now);
        let best = others.iter().max_by_key(|it| rank(&it.name, &it.domain));
        match best {
            Some(it) if rank(&it.name, &it.domain) > own_rank => Coordinator::Other(it.addr),
            _ => Coordinator::Own,
        }
    }
}

/// Host that schedules the requests to an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Coordinator {
    /// Requests to the engine need no turn.
    None,
    /// This host.
    Own,
    /// Another host.
    Other(SocketAddr),
}

/// For which host a turn is asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Asker {
    Own,
    /// One that doesn't reach the coordinator.
    OtherHost,
}

/// Incarnation of an engine, for messages.
fn incarnation_of(engine: &Engine) -> EngineIncarnation {
    message::make_incarnation(&engine.listing.id, engine.listing.incarnation)
}

/// Limit of an engine, for messages; `None` if it has none.
fn encode_limit(engine: &Engine, now: Time) -> Option<EngineLimit> {
    Some(EngineLimit {
        engine: incarnation_of(engine),
        stated: encode_stated(&engine.limit.stated()?, now),
    })
}

/// Last refusal of an engine, for messages; `None` unless it is full.
fn encode_refusal(engine: &Engine, now: Time) -> Option<Refusal> {
    let refused_at = engine.room.refused_at(now)?;
    Some(Refusal {
        tolerance: engine.room.tolerance()?,
        age_ms: message::to_millis(now.saturating_sub(refused_at)),
    })
}

fn encode_full(engine: &Engine, now: Time) -> Option<FullEngine> {
    Some(FullEngine {
        engine: incarnation_of(engine),
        refusal: encode_refusal(engine, now)?,
    })
}

fn encode_stated(it: &Stated, now: Time) -> StatedLimit {
    StatedLimit {
        id: it.id.0,
        rate: it.rate.thousandths(),
        age_ms: message::to_millis(now.saturating_sub(it.until)),
    }
}

fn decode_stated(it: &StatedLimit, now: Time) -> Stated {
    Stated {
        id: StatementId(it.id),
        rate: Rate::from_thousandths(it.rate),
        until: now.saturating_sub(message::from_millis(it.age_ms)),
    }
}

fn find_engine(table: &mut Table, id: EngineIncarnation) -> Option<&mut Engine> {
    let engine = table.get_by_short_id(id.engine);
    engine.filter(|it| it.listing.incarnation == id.incarnation)
}

impl From<Turn> for TurnOutcome {
    fn from(turn: Turn) -> Self {
        match turn {
            Turn::Unlimited => Self::Unlimited,
            Turn::Granted(wait, rate) => Self::Granted {
                wait_ms: message::to_millis(wait),
                rate: rate.thousandths(),
            },
            Turn::Taken(wait) => Self::Taken(message::to_millis(wait)),
        }
    }
}

impl From<TurnOutcome> for Turn {
    fn from(outcome: TurnOutcome) -> Self {
        match outcome {
            TurnOutcome::Unlimited => Self::Unlimited,
            TurnOutcome::Granted { wait_ms, rate } => {
                Self::Granted(message::from_millis(wait_ms), Rate::from_thousandths(rate))
            }
            TurnOutcome::Taken(wait_ms) => Self::Taken(message::from_millis(wait_ms)),
        }
    }
}
