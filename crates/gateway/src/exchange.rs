//! Exchange of a caller's request for a response, with attempts at several engines if necessary.

mod attempt;
mod placement;
mod turn;
mod waiting;

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use fleet::{
    Time,
    account::{Account, ledger::Charge},
    assignment::StreamKey,
    catalog::{RequestKind, Route},
    circuit::State,
    origin::{BuildId, STREAM_TTL, Services, StreamId},
    prefix::Chain,
    quarantine::{self, PartId, Suspect},
    stall::Stage,
    table::Key,
};
use hyper::{
    HeaderMap, Method, Response,
    header::CONTENT_LENGTH,
    http::{StatusCode, Uri, response},
};
use tokio::time;

pub use attempt::Outcome;
pub(crate) use attempt::{Attempt, OpenResponse};

use crate::{
    assignments::{self, Exception},
    call,
    caller::Caller,
    clock,
    connection::{self, Part},
    dialect::{RequestHead, ResponseHead},
    gateway::{Gateway, ReservedRetry},
    gossip::{Gossip, GrantedTurn},
    handover::MAX_HOSTS,
    in_flight::InFlight,
    relay::Relay,
    reply::{self, Body, Fault},
    stall::{WaitContext, WaitResult, wait_for_engine},
    takeover::{PLACEMENT_TIMEOUT, Takeover},
    trace::{End, Trace},
};

/// Time between two checks whether the retry budget has recovered.
pub(crate) const BUDGET_PAUSE: Duration = Duration::from_millis(100);

/// Time between two checks whether the build that began a stream is recorded.
const ORIGIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time before the deadline in which another attempt is made.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(50);

/// Time within which a crashed engine, the last of its build, is usually replaced.
const BUILD_RETURN_TIME: Duration = Duration::from_secs(2);

/// Caller's request in progress, with the results of all attempts so far.
pub struct Exchange {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) gossip: Rc<Gossip>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    pub(crate) request_head: RequestHead,
    /// Client account of the request; `None` if it needs none.
    pub(crate) account: Option<Arc<Account>>,
    /// Units of the quota of the account that the request was charged, until its end.
    pub(crate) charge: Option<Charge>,
    pub(crate) prefix_chain: Chain,
    /// Parts of the request, on one of which engines may crash.
    pub(crate) suspects: Vec<Suspect>,
    /// Quarantined part that the request tries, until it is sent.
    pub(crate) trial: Option<PartId>,
    /// Turn of the request at an engine that limits its requests, until it is sent.
    pub(crate) turn: Option<GrantedTurn>,
    pub(crate) started: Time,
    pub(crate) deadline: Time,
    /// Engines to which the request was sent.
    pub(crate) attempted_engines: Vec<Key>,
    /// Attempted engines to which the request may be sent once more. They count as one attempt each.
    pub(crate) repeatable_engines: Vec<Key>,
    /// Silent engine that was left for another one. The request may be sent there once more if no other engine takes
    /// it, and it counts as one attempt.
    pub(crate) left_engine: Option<Key>,
    /// Engine to which the request was sent last when the silent one that was left could not be asked once more.
    pub(crate) last_after_left: Option<Key>,
    /// Retry for the way back to `left_engine`, until the engine that took over has responded.
    pub(crate) way_back: Option<ReservedRetry>,
    /// Engines to which no connection could be opened for the request.
    pub(crate) unreachable_engines: Vec<Key>,
    /// Addresses to which the request was sent.
    pub(crate) attempted_addrs: Vec<SocketAddr>,
    /// Number of attempted engines that have been replaced by another engine at the same address.
    /// They do not count as attempts.
    pub(crate) mismatched_instances: usize,
    /// Number of times that the request was sent to an engine.
    pub(crate) attempts: u32,
    /// True once the response to the caller has begun.
    pub(crate) has_begun: bool,
    /// True if an engine may have run the request.
    pub(crate) may_have_run: bool,
    /// Trace of the request for the log.
    pub(crate) trace: Trace,
    /// True once the end of the request has been recorded.
    pub(crate) end_recorded: bool,
    /// Time after which a refused request may be sent again, if it is known.
    pub(crate) retry_after: Option<Duration>,
    /// Build that began the stream. Only engines of the same build may continue it; `None` before its first event.
    pub(crate) build: Option<BuildId>,
    /// Key of the stream that the request begins or resumes, if its origin can be computed.
    pub(crate) stream_key: Option<StreamKey>,
    /// Key of a new stream that begins at the build assigned to it, until its first event arrives.
    pub(crate) assigned: Option<StreamKey>,
    /// When the build that begins the stream is recorded.
    pub(crate) origin_record: OriginRecord,
    /// Host that has passed the request on to this one.
    pub(crate) received_from: Option<Arc<str>>,
    /// Connection on which the request came.
    pub(crate) caller: Caller,
    /// Hosts to which the request was passed on.
    pub(crate) hosts_tried: Vec<Arc<str>>,
    /// Number of further hosts to which the request may be passed on.
    pub(crate) hosts_left: usize,
    /// Failure response of an engine, returned to the caller if no other engine succeeds.
    pub(crate) fallback_response: Option<Response<Body>>,
}

/// A caller's request as received, with what the host has found out about it.
pub(crate) struct Received {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Headers that are forwarded.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    pub(crate) request_head: RequestHead,
    pub(crate) account: Option<Arc<Account>>,
    pub(crate) charge: Option<Charge>,
    pub(crate) prefix_chain: Chain,
    pub(crate) suspects: Vec<Suspect>,
    pub(crate) stream_key: Option<StreamKey>,
    pub(crate) started: Time,
    pub(crate) deadline: Time,
    /// Revision of the configuration that routed the request.
    pub(crate) revision: u64,
    /// Connection on which the request came.
    pub(crate) caller: Caller,
}

impl Exchange {
    /// Begins the exchange for a request.
    pub(crate) fn new(gateway: &Rc<Gateway>, gossip: &Rc<Gossip>, received: Received) -> Self {
        let mut trace = Trace::new(received.started, received.revision);
        trace.account = received.account.as_ref().map(|it| it.name.clone());
        Self {
            gateway: gateway.clone(),
            gossip: gossip.clone(),
            method: received.method,
            uri: received.uri,
            headers: received.headers,
            body: received.body,
            route: received.route,
            service: received.service,
            request_head: received.request_head,
            account: received.account,
            charge: received.charge,
            prefix_chain: received.prefix_chain,
            suspects: received.suspects,
            trial: None,
            turn: None,
            started: received.started,
            deadline: received.deadline,
            attempted_engines: Vec::new(),
            repeatable_engines: Vec::new(),
            left_engine: None,
            last_after_left: None,
            way_back: None,
            unreachable_engines: Vec::new(),
            attempted_addrs: Vec::new(),
            mismatched_instances: 0,
            attempts: 0,
            has_begun: false,
            may_have_run: false,
            trace,
            end_recorded: false,
            retry_after: None,
            build: None,
            stream_key: received.stream_key,
            assigned: None,
            origin_record: OriginRecord::AtFirstEvent,
            received_from: None,
            caller: received.caller,
            hosts_tried: Vec::new(),
            hosts_left: MAX_HOSTS,
            fallback_response: None,
        }
    }
}

/// When the build that begins a stream is recorded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OriginRecord {
    /// With the first event of the stream.
    AtFirstEvent,
    /// Once it is certain whether the engine had started again.
    Later,
}

/// Exchange whose request has no response yet.
struct Unfinished {
    exchange: Exchange,
    /// Outcome of the attempt that took the request over from a silent engine.
    next_outcome: Option<Outcome>,
}

impl Unfinished {
    fn new(exchange: Exchange, next_outcome: Option<Outcome>) -> Self {
        Self {
            exchange,
            next_outcome,
        }
    }
}

impl Exchange {
    /// Sends the request to engines until there is a response.
    pub(crate) async fn run(mut self) -> Response<Body> {
        if let Err(fault) = self.find_origin().await {
            // A host that reaches engines may find it.
            return self.hand_over_or_fail(fault).await;
        }
        self.assign_build().await;
        // True if the last engine did not hold the adapter.
        let mut adapter_missing = false;
        let mut next_outcome = None;
        loop {
            if next_outcome.is_none() && self.may_hand_over() {
                return self.hand_over().await;
            }
            let until = self.started + self.hold_time();
            let outcome = match next_outcome.take() {
                Some(it) => it,
                None => match self.place_and_send(until).await {
                    Ok(it) => it,
                    Err(fault) => return self.hand_over_or_fail(fault).await,
                },
            };
            match outcome {
                Outcome::Response(it) => {
                    let (head, body, response_head, in_flight) = *it;
                    match self
                        .relay_response(head, body, &response_head, in_flight)
                        .await
                    {
                        Ok(response) => return response,
                        Err(unfinished) => {
                            self = unfinished.exchange;
                            next_outcome = unfinished.next_outcome;
                            if next_outcome.is_some() {
                                continue;
                            }
                        }
                    }
                }
                Outcome::NotExecuted(status) => {
                    log::debug!("request {} was not run: {status:?}", self.request_head.id);
                    adapter_missing = status == Some(StatusCode::MISDIRECTED_REQUEST);
                }
                Outcome::Lost if self.route.kind.is_retryable() => {}
                Outcome::Lost => return self.fail(Fault::UpstreamLost),
                Outcome::DeadlineExceeded => return self.fail(Fault::Timeout),
                Outcome::CallerLeft => return self.end_without_caller(),
                Outcome::NoBudget if self.left_engine.is_some() => {}
                // The request is first to get the next retry of this host, sooner than a new request of
                // the caller would.
                Outcome::NoBudget if clock::now() + BUDGET_PAUSE < until && !self.may_have_run => {
                    self.wait_for_budget().await;
                    continue;
                }
                Outcome::NoBudget => return self.fail(Fault::NoBudget),
            }
            if self.may_hand_over() {
                continue;
            }
            if !self.has_engine_left() {
                if self.may_hand_over_instead().await {
                    continue;
                }
                let fault = match (self.may_have_run, adapter_missing) {
                    (true, _) => Fault::UpstreamLost,
                    (false, true) => Fault::AdapterLoad,
                    (false, false) => Fault::Overload,
                };
                return self.fail(fault);
            }
        }
    }

    /// Passes the request on if this host is cut off from all engines, or ends it with a fault.
    async fn hand_over_or_fail(mut self, fault: Fault) -> Response<Body> {
        if self.may_hand_over_instead().await {
            self.hand_over().await
        } else {
            self.fail(fault)
        }
    }

    /// Ends the request of a caller that has disconnected. Nobody reads the response.
    fn end_without_caller(&mut self) -> Response<Body> {
        self.record_end(End::CallerLeft);
        reply::fault_response(Fault::UpstreamLost, None)
    }

    /// Waits for a moment in which the retry budget may recover.
    pub(crate) async fn wait_for_budget(&mut self) {
        time::sleep(BUDGET_PAUSE).await;
        self.trace.budget_wait += BUDGET_PAUSE;
    }

    /// Finds the build that began the stream, if the caller resumes one.
    async fn find_origin(&mut self) -> Result<(), Fault> {
        if !self.route.kind.is_stream() || self.request_head.last_event_id.is_none() {
            return Ok(());
        }
        // The host that passed the request on has told.
        if self.build.is_some() {
            return Ok(());
        }
        let build = self.find_stream_origin().await;
        self.build = Some(build.ok_or(Fault::OriginUnknown)?);
        self.keep_service();
        Ok(())
    }

    /// Sends the rest of a stream to the service whose build began it. The weights of the route may have changed since, so
    /// that they give another service.
    pub(crate) fn keep_service(&mut self) {
        let Some(build) = self.build else { return };
        let now = clock::now();
        let table = self.gateway.table.borrow();
        let has_build = |service: &str| {
            let mut builds = table.builds_within(service, STREAM_TTL, now);
            builds.any(|it| it == build)
        };
        if has_build(&self.service) {
            return;
        }
        let mut targets = self.route.targets.iter();
        let Some(target) = targets.find(|it| has_build(&it.service)) else {
            return;
        };
        let service = target.service.clone();
        drop(table);
        self.suspects.retain(|it| it.is_whole());
        let parts = quarantine::suspects(&service, &self.request_head.prompt_parts);
        self.suspects.splice(0..0, parts);
        self.service = service;
    }

    /// Finds the build that began the stream of this request.
    pub(crate) async fn find_stream_origin(&self) -> Option<BuildId> {
        let (stream, key) = (self.stream(), self.stream_key);
        let gossip = &self.gossip;
        let origin = gossip.find_origin(stream, key, &self.service, self.deadline);
        Box::pin(origin).await
    }

    /// Waits until it is known which build began the stream, if its engine may have started again.
    pub(crate) async fn await_origin(&self) -> Option<BuildId> {
        let until = self.deadline.min(clock::now() + PLACEMENT_TIMEOUT);
        let is_recorded = || self.gossip.has_origin(self.stream(), &self.service);
        while self.origin_record == OriginRecord::Later && !is_recorded() && clock::now() < until {
            time::sleep(ORIGIN_CHECK_INTERVAL).await;
        }
        self.find_stream_origin().await
    }

    /// Lets a new stream begin at the build that is assigned to it.
    async fn assign_build(&mut self) {
        let is_new = self.build.is_none() && self.request_head.last_event_id.is_none();
        if let Some(key) = self.stream_key.filter(|_| is_new) {
            assignments::wait_until_known(&self.gateway, &self.service).await;
            self.assigned = Some(key);
        }
    }

    /// Urgency of the request: that of its client account, or of its route.
    pub(crate) fn priority(&self) -> u8 {
        let account = self.account.as_ref();
        account
            .and_then(|it| it.priority)
            .unwrap_or(self.route.priority)
    }

    /// The stream of this request, which an earlier request of the caller may have begun.
    fn stream(&self) -> StreamId {
        let began_by = self.request_head.resumed_request.as_ref();
        let is_resumed = self.request_head.last_event_id.is_some();
        StreamId::new(
            began_by
                .filter(|_| is_resumed)
                .unwrap_or(&self.request_head.id),
        )
    }

    /// Build that began the stream of which the request is to bring the rest.
    pub(crate) fn begun_by(&self) -> Option<BuildId> {
        let build = self.build.filter(|_| self.assigned.is_none());
        build.filter(|_| self.route.kind == RequestKind::Resumable)
    }

    /// Returns whether the response of an engine may not be used, because it is not certain that the engine is of the build
    /// that began the stream. It may have started again since it was chosen.
    pub(crate) fn is_of_uncertain_build(&self, in_flight: &InFlight) -> bool {
        let Some(build) = self.begun_by() else {
            return false;
        };
        self.gossip.observe_ended_connections();
        !self.gossip.is_certain(in_flight.key) || in_flight.build() != Some(build)
    }

    /// Waits until it is certain whether an engine that is to bring the rest of a stream has started again.
    pub(crate) async fn confirm_engine(&self, in_flight: &InFlight) {
        if self.is_of_uncertain_build(in_flight) {
            Box::pin(self.gossip.confirm_identity(in_flight.key)).await;
        }
    }

    /// Records in the store that a new stream may begin at another build than the assigned one, if it does not follow from
    /// the assignments, before its first event is forwarded. `in_flight` is the request at the engine that sends it.
    pub(crate) async fn secure_origin(&self, in_flight: &InFlight) {
        let is_resumable = self.route.kind == RequestKind::Resumable;
        let Some(key) = self.assigned.filter(|_| is_resumable) else {
            return;
        };
        self.gossip.observe_ended_connections();
        if !self.gossip.is_certain(in_flight.key) {
            Box::pin(self.gossip.check_identity(in_flight.key)).await;
            self.gossip.observe_ended_connections();
        }
        let (gateway, service) = (&self.gateway, &self.service);
        let is_covered = self.build.is_none()
            || in_flight
                .build()
                .is_some_and(|it| assignments::covers(gateway, service, key, it));
        if is_covered && self.gossip.is_certain(in_flight.key) {
            return;
        }
        let exception = Box::pin(assignments::allow_exception(gateway, service, key)).await;
        if exception == Exception::Refused {
            assignments::record_unassigned(gateway, service);
        }
    }

    /// Records which build begins a new stream, once it is certain.
    pub(crate) fn record_engine_origin(&mut self, in_flight: &InFlight) {
        self.gossip.observe_ended_connections();
        let is_new = self.assigned.is_some() || self.build.is_none();
        let is_resumable = self.route.kind == RequestKind::Resumable;
        if !is_new || !is_resumable || self.gossip.is_certain(in_flight.key) {
            self.record_origin(in_flight.build());
            return;
        }
        self.build = None;
        self.origin_record = OriginRecord::Later;
        let (stream, service) = (self.stream(), self.service.clone());
        self.assigned = None;
        let (engine, connected_at) = (in_flight.key, in_flight.connected_at());
        self.gossip
            .record_origin_later(stream, (service, self.services()), engine, connected_at);
    }

    /// Records that an engine has sent the first event of its response. From then on, only engines of its build
    /// may continue the stream.
    pub(crate) fn record_origin(&mut self, engine_build: Option<BuildId>) {
        let build = match self.assigned.take() {
            // The stream may have been assigned to another build while the engine was silent.
            Some(_) => engine_build.or(self.build),
            None => self.build.or(engine_build),
        };
        let Some(build) = build else {
            return;
        };
        self.build = Some(build);
        let (stream, services) = (self.stream(), self.services());
        self.gossip
            .record_origin(stream, &self.service, services, build);
    }

    /// Number of services at which the streams of the route may begin.
    fn services(&self) -> Services {
        if self.route.targets.len() > 1 {
            Services::Several
        } else {
            Services::One
        }
    }

    /// Sends the request to the engine on which it is placed.
    async fn place_and_send(&mut self, until: Time) -> Result<Outcome, Fault> {
        let choice = self.place_again(until).await?;
        let is_unreachable = self.unreachable_engines.contains(&choice.key);
        if is_unreachable && clock::now() >= until {
            return Err(Fault::NoEngine);
        }
        let last_event_id = self.request_head.last_event_id.clone();
        Ok(self.send(choice, last_event_id.as_deref()).await)
    }

    /// Forwards a response to the caller. Returns the exchange if the request has no response yet.
    async fn relay_response(
        mut self,
        mut head: response::Parts,
        body: connection::Body,
        response_head: &ResponseHead,
        in_flight: InFlight,
    ) -> Result<Response<Body>, Unfinished> {
        let key = in_flight.key;
        debug_assert!(response_head.sealed);
        let is_failure = head.status.is_server_error();
        if is_failure {
            self.record_failure(key);
        }
        if !self.route.kind.is_retryable() && reply::denies_run(head.status) {
            return Ok(self.fail(Fault::UpstreamLost));
        }
        self.trace.record_status(head.status);
        let keep_alive = call::keep_alive_timeout(&head.headers);
        reply::strip_hop_headers(&mut head.headers);
        if head.status.is_success() && self.route.kind.is_stream() {
            head.headers.remove(CONTENT_LENGTH);
            if self.received_from.is_some() && self.gossip.is_certain(key) {
                self.announce_build(in_flight.build(), &mut head.headers);
            }
            let relay = Relay::new(self, body, in_flight, keep_alive);
            return Ok(Response::from_parts(head, relay.into_body()));
        }
        let collect = body.collect();
        tokio::pin!(collect);
        let context = self.wait_context();
        let collected = wait_for_engine(&context, key, Stage::NextEvent, &mut collect).await;
        let last_event_id = self.request_head.last_event_id.clone();
        let last_event_id = last_event_id.as_deref();
        let is_answer = |it: &Result<_, _>| !is_failure && it.is_ok();
        let collected = match collected {
            WaitResult::Ready(it) => Some(it),
            WaitResult::DeadlineExceeded => None,
            WaitResult::Stalled => match self
                .take_over(&in_flight, collect, is_answer, last_event_id)
                .await
            {
                Takeover::Continued(it) => Some(it),
                Takeover::Accepted(it) => {
                    return Err(Unfinished::new(self, Some(Outcome::Response(it))));
                }
                Takeover::Sent(attempt) => {
                    drop(in_flight);
                    let outcome = self.await_head(*attempt, last_event_id).await;
                    return Err(Unfinished::new(self, Some(outcome)));
                }
                Takeover::DeadlineExceeded => None,
                Takeover::Isolated => {
                    drop(in_flight);
                    self.may_have_run = true;
                    return Err(Unfinished::new(self, None));
                }
            },
        };
        match collected {
            Some(Ok(body)) => {
                head.headers.remove(CONTENT_LENGTH);
                let may_repeat = self.route.kind.is_retryable() && self.may_continue_elsewhere();
                if is_failure && may_repeat && self.gateway.has_retry(&self.service) {
                    in_flight.release_connection(keep_alive);
                    let response = Response::from_parts(head, reply::full_body(body));
                    self.fallback_response = Some(response);
                    return Err(Unfinished::new(self, None));
                }
                if !is_failure {
                    self.record_success(&in_flight);
                }
                self.trace.record_forwarded();
                let end = if head.status.is_success() {
                    End::Served
                } else {
                    End::Failed
                };
                self.record_end(end);
                in_flight.release_connection(keep_alive);
                Ok(Response::from_parts(head, reply::full_body(body)))
            }
            Some(Err(failure)) => {
                self.record_incomplete(&in_flight, &failure);
                if self.route.kind.is_retryable() && self.has_engine_left() {
                    return Err(Unfinished::new(self, None));
                }
                Ok(self.fail(Fault::UpstreamLost))
            }
            None => Ok(self.fail(Fault::Timeout)),
        }
    }

    /// Records that the connection to an engine broke before the end of the response. The engine may have crashed.
    pub(crate) fn record_break(&self, in_flight: &InFlight) {
        self.gossip.record_end(in_flight.key);
        if in_flight.may_be_beginning() {
            self.gossip.record_break(in_flight.key, &self.suspects);
        }
    }

    /// Records a response of an engine whose body could not be read to its end.
    fn record_incomplete(&mut self, in_flight: &InFlight, failure: &connection::Failure) {
        log::debug!("request {}: {failure}", self.request_head.id);
        if matches!(failure, connection::Failure::NoMemory) {
            let attempt = in_flight.attempt;
            self.trace.record_outcome(attempt, "no memory");
            return;
        }
        self.record_break(in_flight);
        if let connection::Failure::TooLarge(part) = failure {
            self.record_too_large(in_flight.key, in_flight.attempt, *part);
        }
        self.record_failure(in_flight.key);
    }

    /// Logs a response of an engine of which a part is too large, and records it as the outcome of the attempt.
    pub(crate) fn record_too_large(&mut self, key: Key, attempt: usize, part: Part) {
        let id = &*self.request_head.id;
        let table = self.gateway.table.borrow();
        let instance = table.get(key).map_or("-", |it| &it.listing.id);
        log::info!(
            event = "answer-refused", request = id, engine = instance, why = part.outcome();
            "the response of engine {instance} to request {id} was given up: {}", part.outcome()
        );
        drop(table);
        self.trace.record_outcome(attempt, part.outcome());
    }

    /// Counts a failed response of an engine in its circuit breaker.
    pub(crate) fn record_failure(&self, key: Key) {
        let now = clock::now();
        if let Some(engine) = self.gateway.table.borrow_mut().get_mut(key) {
            let previous = engine.circuit.state(now);
            engine.circuit.record_failure(now);
            if previous != State::Open && engine.circuit.state(now) == State::Open {
                let id = &*engine.listing.id;
                let failures = engine.circuit.failure_rate();
                log::info!(event = "engine-aside", engine = id, failures; "engine {id} ejected: too many failed responses");
            }
        }
    }

    /// Counts a successful response of an engine in its circuit breaker.
    pub(crate) fn record_success(&self, in_flight: &InFlight) {
        self.gateway.record_engine_contact();
        let (key, now) = (in_flight.key, clock::now());
        let mut table = self.gateway.table.borrow_mut();
        if let Some(engine) = table.get_mut(key) {
            engine.record_success(now);
        }
        if let Some(connected_at) = in_flight.connected_at() {
            table.record_data(key, connected_at, now);
        }
    }

    /// Records the end of the request. Only the first call has an effect.
    pub(crate) fn record_end(&mut self, end: End) {
        if !std::mem::replace(&mut self.end_recorded, true) {
            self.settle(end);
            if end == End::Served {
                self.gossip.record_part_success(&self.suspects);
            }
            let metrics = &self.gateway.metrics;
            self.trace.finish(
                &self.request_head,
                &self.route,
                &self.service,
                &self.suspects,
                end,
                metrics,
            );
        }
    }

    /// Returns what the request was charged to its account, if it certainly has not run.
    fn settle(&mut self, end: End) {
        let has_not_run = match end {
            End::Refused(_) => !self.may_have_run,
            End::CallerLeft => {
                !self.may_have_run && self.attempts == 0 && self.hosts_tried.is_empty()
            }
            End::Served | End::Failed | End::Truncated(_) => false,
        };
        if has_not_run {
            self.give_back();
        }
    }

    /// Returns what the request was charged to its account.
    pub(crate) fn give_back(&mut self) {
        if let Some(charge) = self.charge.take() {
            let mut ledger = self.gateway.ledger.borrow_mut();
            ledger.give_back(&charge, clock::now());
        }
    }

    /// Limits of a wait for an engine.
    pub(crate) fn wait_context(&self) -> WaitContext {
        WaitContext {
            gateway: self.gateway.clone(),
            route: self.route.clone(),
            deadline: self.deadline,
        }
    }

    /// Returns whether the request may be sent to another engine.
    fn has_attempts_left(&self) -> bool {
        self.attempted_engines.len() < self.route.attempts + self.mismatched_instances
    }

    /// Returns whether the request may be sent to another engine, or to the silent one that was left.
    fn has_engine_left(&self) -> bool {
        self.has_attempts_left() || self.left_engine.is_some()
    }

    /// Returns whether a stream may be resumed at another engine, or at the silent one that was left.
    pub(crate) fn may_resume(&self) -> bool {
        self.route.kind == RequestKind::Resumable && self.may_continue_elsewhere()
    }

    /// Returns whether there are time and an engine for another attempt, be it the silent one that was left.
    fn may_continue_elsewhere(&self) -> bool {
        self.has_time_left() && self.has_engine_left()
    }

    /// Returns whether a request that may run more than once may be sent to another engine now.
    pub(crate) fn may_send_again(&self) -> bool {
        self.route.kind.is_retryable() && self.has_attempts_left() && self.has_time_left()
    }

    /// Returns whether there is time for another attempt.
    pub(crate) fn has_time_left(&self) -> bool {
        clock::now() + MIN_ATTEMPT_TIME < self.gateway.limit(self.deadline)
    }

    /// Records a fault as the end of the request and returns the response for it.
    pub(crate) fn fail(&mut self, fault: Fault) -> Response<Body> {
        if let Some(response) = self.fallback_response.take() {
            self.trace.record_status(response.status());
            self.trace.record_forwarded();
            self.record_end(End::Failed);
            return response;
        }
        // These faults tell the caller that the request was not run, so they are replaced if it may
        // have been.
        let fault = match fault {
            Fault::Overload
            | Fault::NoEngine
            | Fault::AdapterLoad
            | Fault::NoBudget
            | Fault::BuildGone
            | Fault::EngineLimit
            | Fault::PromptQuarantined
            | Fault::RequestQuarantined
                if self.may_have_run =>
            {
                Fault::UpstreamLost
            }
            Fault::Timeout if self.attempts == 0 && !self.may_have_run => Fault::Overload,
            // The wait for the engine has ended because this host is stopping.
            Fault::Timeout if clock::now() < self.deadline => Fault::UpstreamLost,
            it => it,
        };
        self.trace.record_status(fault.status());
        self.record_end(End::Refused(fault.name()));
        let retry_after = match fault {
            Fault::AdapterLoad | Fault::OriginUnknown => Some(Duration::from_millis(300)),
            Fault::BuildGone => Some(BUILD_RETURN_TIME),
            Fault::NoBudget => Some(Duration::from_millis(500)),
            Fault::Overload | Fault::NoEngine | Fault::EngineLimit => {
                Some(Duration::from_millis(700))
            }
            Fault::PromptQuarantined | Fault::RequestQuarantined => {
                Some(self.gateway.settings.quarantine_term())
            }
            _ => None,
        };
        let retry_after = retry_after.map(|it| self.retry_after.unwrap_or(it));
        reply::fault_response(fault, retry_after)
    }
}

impl Drop for Exchange {
    /// An exchange that is dropped before its end belongs to a caller that has disconnected.
    fn drop(&mut self) {
        self.record_end(End::CallerLeft);
    }
}
