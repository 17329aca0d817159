//! Turns at engines that limit the requests of all hosts together (`fleet::request_limit`). The coordinator of an engine
//! is a live host, chosen by rendezvous hashing, of the engine's failure domain if it has one: hosts that can't reach that
//! domain can't reach the engine either.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    time::Duration,
};

use fleet::{
    Time,
    engine::Engine,
    listing::Listing,
    rendezvous,
    request_limit::{Patience, Rate, Turn},
    table::Key,
};
use tokio::{sync::oneshot, time};

use super::Gossip;
use crate::{
    clock, gateway,
    message::{
        self, EngineLimit, MAX_WORKLOADS_PER_MESSAGE, Message, TurnOutcome, TurnReply, TurnRequest,
    },
};

/// Maximum time in which the coordinator answers.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which an engine is not used after its coordinator could not tell when there is a turn.
const SILENCE_PAUSE: Duration = Duration::from_millis(200);

/// Maximum number of questions of this host about one engine that wait for answers. Further requests don't ask.
const MAX_QUESTIONS: usize = 16;

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
        &self,
        key: Key,
        patience: Patience,
    ) -> Result<Option<GrantedTurn>, Time> {
        let now = clock::now();
        let turn = match self.coordinator(key) {
            Coordinator::None => return Ok(None),
            Coordinator::Own => self.grant_turn(key, self.gateway.settings.peers, patience),
            Coordinator::Other(addr) => self.ask_for_turn(key, addr, patience).await,
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
    async fn ask_for_turn(&self, key: Key, to: SocketAddr, patience: Patience) -> Option<Turn> {
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
        let limit = {
            let table = self.gateway.table.borrow();
            encode_limit(table.get(key)?, clock::now())
        };
        let request = Message::TurnRequest(TurnRequest {
            limit,
            number,
            on_time_ms: message::to_millis(patience.on_time),
            longest_wait_ms: message::to_millis(patience.longest),
        });
        self.try_send(&request, to);
        let turn = time::timeout(REPLY_TIMEOUT, answered).await.ok()?.ok();
        drop(question);
        turn
    }

    /// Grants a turn to a host, as the coordinator.
    fn grant_turn(&self, key: Key, host: SocketAddr, patience: Patience) -> Option<Turn> {
        let now = clock::now();
        let share = self
            .gateway
            .peers
            .borrow()
            .reachable_share(&self.gateway.holder, now);
        let mut table = self.gateway.table.borrow_mut();
        let engine = table.get_mut(key)?;
        Some(engine.limit.grant(host, patience, share, now))
    }

    /// Answers another host that asks for a turn.
    pub(super) fn handle_turn_request(&self, request: &TurnRequest, from: SocketAddr) {
        self.observe_limit(&request.limit);
        let key = (self.gateway.table.borrow()).find_by_short_id(request.limit.engine.engine);
        let patience = Patience {
            on_time: Duration::from_millis(request.on_time_ms.into()),
            longest: Duration::from_millis(request.longest_wait_ms.into()),
        };
        let turn = key.and_then(|it| self.grant_turn(it, from, patience));
        // An engine that this host doesn't know yet.
        let turn = turn.unwrap_or(Turn::Taken(SILENCE_PAUSE));
        let reply = Message::TurnReply(TurnReply {
            number: request.number,
            outcome: TurnOutcome::from(turn),
        });
        self.try_send(&reply, from);
    }

    /// Passes the coordinator's answer to the request that asked.
    pub(super) fn handle_turn_reply(&self, reply: &TurnReply) {
        let question = (self.gateway.turn_questions.open.borrow_mut()).remove(&reply.number);
        let Some(question) = question else {
            return;
        };
        let turn = Turn::from(reply.outcome);
        if turn == Turn::Unlimited
            && let Some(engine) = self.gateway.table.borrow_mut().get_mut(question.engine)
        {
            let now = clock::now();
            if engine.limit.observe_remote(None, now, now) {
                gateway::log_limit(engine, "other-host");
            }
        }
        let _ = question.reply.send(turn);
    }

    /// Records limits that another host knows.
    pub(super) fn handle_limits(&self, limits: &[EngineLimit]) {
        for it in limits {
            self.observe_limit(it);
        }
    }

    fn observe_limit(&self, limit: &EngineLimit) {
        let mut table = self.gateway.table.borrow_mut();
        let engine = table.get_by_short_id(limit.engine.engine);
        let Some(engine) = engine.filter(|it| it.listing.incarnation == limit.engine.incarnation)
        else {
            return;
        };
        let now = clock::now();
        let stated_at = now.saturating_sub(Duration::from_millis(limit.age_ms.into()));
        let rate = limit.per_second.and_then(Rate::new);
        if engine.limit.observe_remote(rate, stated_at, now) {
            gateway::log_limit(engine, "other-host");
        }
    }

    /// Limits that have just changed, by the responses to this host, for all hosts.
    pub(super) fn changed_limits(&self) -> Vec<EngineLimit> {
        let now = clock::now();
        let changed: Vec<Key> = self.gateway.changed_limits.borrow_mut().drain(..).collect();
        let table = self.gateway.table.borrow();
        let engines = changed.iter().filter_map(|it| table.get(*it));
        engines.map(|it| encode_limit(it, now)).collect()
    }

    /// Limits for a heartbeat: recent changes, because datagrams may be lost, and those of the engines that this host
    /// coordinates, for hosts that start.
    pub(super) fn limit_messages(&self, now: Time) -> Vec<Message> {
        let repeat_time = REPEAT_TIME.mul_f64(self.gateway.peers.borrow().slowdown());
        let table = self.gateway.table.borrow();
        let is_due = |(key, it): &(Key, &Engine)| {
            let is_recent = (it.limit.changed_at()).is_some_and(|it| it + repeat_time > now);
            let is_limited = it.limit.rate().is_some();
            is_recent || is_limited && matches!(self.coordinator(*key), Coordinator::Own)
        };
        let due = table.iter().filter(is_due);
        let limits: Vec<EngineLimit> = due.map(|it| encode_limit(it.1, now)).collect();
        let parts = limits.chunks(MAX_WORKLOADS_PER_MESSAGE);
        parts.map(|it| Message::Limits(it.to_vec())).collect()
    }

    /// Host that schedules the requests to an engine with a limit.
    fn coordinator(&self, key: Key) -> Coordinator {
        let table = self.gateway.table.borrow();
        let Some(engine) = table.get(key).filter(|it| it.limit.rate().is_some()) else {
            return Coordinator::None;
        };
        let Listing { id, domain, .. } = &engine.listing;
        let rank = |host: &str, of: &str| (*of == **domain, rendezvous::weight(id, host));
        let own_rank = rank(&self.gateway.holder, &self.gateway.settings.domain);
        let peers = self.gateway.peers.borrow();
        let others = peers.live_holders(clock::now());
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
    /// The engine has no limit.
    None,
    /// This host.
    Own,
    /// Another host.
    Other(SocketAddr),
}

fn encode_limit(engine: &Engine, now: Time) -> EngineLimit {
    let Listing {
        id, incarnation, ..
    } = &engine.listing;
    EngineLimit {
        engine: message::make_incarnation(id, *incarnation),
        per_second: engine.limit.rate().map(Rate::per_second),
        age_ms: message::to_millis(now.saturating_sub(engine.limit.stated_at())),
    }
}

impl From<Turn> for TurnOutcome {
    fn from(turn: Turn) -> Self {
        match turn {
            Turn::Unlimited => Self::Unlimited,
            Turn::Granted(wait, rate) => Self::Granted {
                wait_ms: message::to_millis(wait),
                per_second: rate.per_second(),
            },
            Turn::Taken(wait) => Self::Taken(message::to_millis(wait)),
        }
    }
}

impl From<TurnOutcome> for Turn {
    fn from(outcome: TurnOutcome) -> Self {
        let millis = |it: u32| Duration::from_millis(it.into());
        match outcome {
            TurnOutcome::Unlimited => Self::Unlimited,
            TurnOutcome::Granted {
                wait_ms,
                per_second,
            } => match Rate::new(per_second) {
                Some(rate) => Self::Granted(millis(wait_ms), rate),
                None => Self::Taken(SILENCE_PAUSE),
            },
            TurnOutcome::Taken(wait_ms) => Self::Taken(millis(wait_ms)),
        }
    }
}
