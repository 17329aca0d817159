//! One attempt at an engine: sends the request and classifies the response by its headers.

use std::{net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use bytes::Bytes;
use fleet::{
    Time,
    engine::Miss,
    listing::{Build, Name},
    placement::Choice,
    table::{Freshness, Key, Table},
};
use hyper::{
    Request, Response,
    http::{StatusCode, response},
};
use tokio::time;

use crate::{
    attribution::{Attribution, contains_status_line},
    clock,
    connection::{Body, Failure, Origin, Reuse},
    dialect::{ResponseHead, UpstreamHead},
    exchange::Exchange,
    in_flight::InFlight,
};

/// Maximum idle time of a pooled connection for a request that must not run twice. If the upstream
/// closed the connection just as the request was sent, it would be unknown whether the request ran.
const MAX_IDLE_NOT_RETRYABLE: Duration = Duration::from_millis(800);

/// Maximum idle time of a pooled connection for a request that may be retried.
const MAX_IDLE_RETRYABLE: Duration = Duration::from_secs(4);

/// Time before another attempt to connect to an engine that was unreachable.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Priority of all requests at the engines; 0 is the highest. An engine preempts running streams for requests of
/// higher priority, which makes the streams late, so routes are ranked by admission instead.
const ENGINE_PRIORITY: u8 = 1;

/// Response of an engine whose body has not been read.
pub(crate) type OpenResponse = (response::Parts, Body, ResponseHead, InFlight);

/// Outcome of an attempt at one engine.
pub enum Outcome {
    /// The engine responded.
    Response(Box<OpenResponse>),
    /// The request was not run.
    NotExecuted(Option<StatusCode>),
    /// The request may have run, and there is no complete response.
    Lost,
    /// The deadline has passed.
    DeadlineExceeded,
    /// The retry budget is spent.
    NoBudget,
    /// The caller has closed its connection.
    CallerLeft,
}

/// Engine that may be sent the request at this moment. Only [`Exchange::check_target`] makes one, and it is outdated after any
/// wait.
struct Target {
    addr: SocketAddr,
    instance: Arc<str>,
    build: Build,
    /// Version of the adapter that the engine is estimated to hold.
    held: Option<u64>,
    /// Version of the adapter to require: the newest version, if the engine is estimated to hold it.
    required: Option<u64>,
    /// True if the engine limits the requests of all hosts.
    is_limited: bool,
}

/// Presence of the request among those that are counted at its engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Counted {
    /// It was not sent there.
    No,
    /// It is about to be sent there, and its load counts already.
    Yes,
}

/// Request that was sent to an engine, whose response has not begun. Dropping it closes the connection, which cancels
/// the request at the engine.
pub(crate) struct Attempt {
    addr: SocketAddr,
    instance: Arc<str>,
    origin: Origin,
    pub(crate) in_flight: InFlight,
    /// Version of the adapter that the engine was estimated to hold when the request was sent.
    pub(crate) version: Option<u64>,
    /// Head of the response.
    pub(crate) response: Pin<Box<dyn Future<Output = Result<Response<Body>, Failure>>>>,
}

impl Exchange {
    /// Sends the request to an engine and reads the headers of the response.
    pub(crate) async fn send(&mut self, choice: Choice, last_event_id: Option<&str>) -> Outcome {
        match self.start_attempt(choice, last_event_id).await {
            Ok(attempt) => self.await_head(attempt, last_event_id).await,
            Err(outcome) => outcome,
        }
    }

    /// Sends the request to an engine. If this is cancelled, nothing was sent, and no retry was taken from the budget.
    pub(crate) async fn start_attempt(
        &mut self,
        choice: Choice,
        last_event_id: Option<&str>,
    ) -> Result<Attempt, Outcome> {
        let key = choice.key;
        self.check_target(key, Counted::No)?;
        if self.unreachable_engines.contains(&key) {
            time::sleep(RECONNECT_PAUSE).await;
        }
        let is_retry = self.attempts > 0;
        let is_reserved = self.way_back.is_some() && self.attempted_engines.contains(&key);
        if is_retry && !is_reserved && !self.gateway.has_retry(&self.service) {
            let metrics = &self.gateway.metrics;
            metrics.count_retry(&self.service, "refused");
            return Err(Outcome::NoBudget);
        }
        if self.begun_by().is_some() {
            Box::pin(self.gossip.prove_identity(key)).await;
        }
        // A turn for a request that can't be sent would be lost to the other hosts.
        self.check_target_again(key, Counted::No)?;
        if !self.take_turn(key).await {
            return Err(Outcome::NotExecuted(None));
        }
        let Target {
            addr,
            instance,
            is_limited,
            ..
        } = self.check_target_again(key, Counted::No)?;
        let mut in_flight = InFlight::start(
            &self.gateway,
            &self.gossip,
            key,
            self.request_head.name.clone(),
            &self.prefix_chain,
        );
        in_flight.expected_wait = choice.expected_wait;
        if in_flight.prefill_tokens > 0 {
            self.gossip
                .announce_prompt(&instance, in_flight.prefill_tokens);
        }
        let reuse = self.reuse(addr);
        let mut connection = match self.gateway.pool.acquire(addr, reuse).await {
            Ok(it) => it,
            Err(error) => {
                log::debug!("engine {instance}: {error}");
                self.record_unreachable(key);
                return Err(Outcome::NotExecuted(None));
            }
        };
        self.gossip.observe_ended_connections();
        // Nothing may wait from here until the request is sent.
        let target = match self.check_target_again(key, Counted::Yes) {
            Ok(it) if it.addr == addr => Ok(it),
            Ok(_) => Err(Outcome::NotExecuted(None)),
            Err(it) => Err(it),
        };
        let target = match target {
            Ok(it) => it,
            Err(outcome) => {
                connection.release(None);
                return Err(outcome);
            }
        };
        if is_reserved {
            self.way_back = None;
        }
        if is_retry && !self.gateway.take_retry(&self.service) {
            connection.release(None);
            return Err(Outcome::NoBudget);
        }
        if is_limited {
            self.gateway.metrics.count_limited_request("sent");
        }
        self.attempts += 1;
        self.trial = None;
        self.attempted_addrs.push(addr);
        in_flight.attempt = self.trace.record_attempt(&instance, &target.build, &choice);
        let origin = connection.origin;
        self.gateway.metrics.count_connection(origin);
        if !self.attempted_engines.contains(&key) {
            self.attempted_engines.push(key);
        }
        self.repeatable_engines.retain(|it| *it != key);
        let request = self.build_request(&target, last_event_id);
        let response = Box::pin(connection.send(request));
        in_flight.connection = Some(connection);
        Ok(Attempt {
            addr,
            instance,
            origin,
            in_flight,
            version: target.held,
            response,
        })
    }

    /// Classifies the response of an attempt.
    pub(crate) async fn finish_attempt(
        &mut self,
        attempt: Attempt,
        response: Result<Response<Body>, Failure>,
    ) -> Outcome {
        let Attempt {
            addr,
            instance,
            origin,
            in_flight,
            ..
        } = attempt;
        let key = in_flight.key;
        let number = in_flight.attempt;
        match response {
            Ok(response) => {
                let response_head = self.gateway.dialect.parse_response_head(response.headers());
                if self.is_attributed(&response, &response_head, &instance, origin, number) {
                    self.gateway.record_engine_contact();
                    self.classify_response(response, response_head, &instance, in_flight)
                        .await
                } else {
                    self.record_out_of_step(key, addr, origin)
                }
            }
            Err(failure) => {
                if matches!(failure, Failure::Broken(_)) {
                    self.record_break(&in_flight);
                }
                self.record_no_response(&failure, key, addr, (&instance, number), origin)
            }
        }
    }

    /// Records an attempt that brought no head of a response.
    fn record_no_response(
        &mut self,
        failure: &Failure,
        key: Key,
        addr: SocketAddr,
        (instance, number): (&str, usize),
        origin: Origin,
    ) -> Outcome {
        let id = &*self.request_head.id;
        log::debug!("engine {instance}: request {id}: {failure}");
        match failure {
            Failure::TooLarge(part) => {
                self.record_too_large(key, number, *part);
                self.record_out_of_step(key, addr, origin)
            }
            Failure::Malformed(_) => {
                self.trace.record_outcome(number, "malformed response");
                self.record_out_of_step(key, addr, origin)
            }
            Failure::Unreachable(_) => {
                self.trace.record_outcome(number, "not sent");
                // The engine may have closed the pooled connection, so this engine may be tried again.
                self.attempted_engines
                    .retain(|it| *it != key || origin == Origin::New);
                Outcome::NotExecuted(None)
            }
            // Only bodies need memory.
            Failure::Broken(_) | Failure::NoMemory => {
                self.trace.record_outcome(number, "connection broke");
                self.gateway.suspect_path(key);
                if origin == Origin::New {
                    self.record_failure(key);
                }
                self.may_have_run = true;
                Outcome::Lost
            }
        }
    }

    /// Records that an engine sent bytes that do not belong to this request where its response was expected.
    fn record_out_of_step(&mut self, key: Key, addr: SocketAddr, origin: Origin) -> Outcome {
        self.record_failure(key);
        if origin == Origin::Pooled {
            self.gateway.pool.suspend_reuse(addr);
            self.repeatable_engines.push(key);
        }
        self.may_have_run = true;
        Outcome::Lost
    }

    /// Decides which connection may carry the next attempt. All attempts have the same id, so a second
    /// response to an earlier attempt on the same connection could not be told from the response to this one.
    fn reuse(&self, addr: SocketAddr) -> Reuse {
        if self.attempted_addrs.contains(&addr) {
            Reuse::Never
        } else if self.route.kind.is_retryable() {
            Reuse::IdleLess(MAX_IDLE_RETRYABLE)
        } else {
            Reuse::IdleLess(MAX_IDLE_NOT_RETRYABLE)
        }
    }

    /// Returns whether a response belongs to this request, and logs it if not. A response that was not
    /// expected leaves the connection out of step, so its connection must not be reused.
    fn is_attributed(
        &mut self,
        response: &Response<Body>,
        response_head: &ResponseHead,
        instance: &str,
        origin: Origin,
        attempt: usize,
    ) -> bool {
        let id = &*self.request_head.id;
        let response_id = response_head.request_id.as_deref();
        let attribution = if contains_status_line(response.headers()) {
            Attribution::Unknown
        } else {
            Attribution::new(id, response_id, origin)
        };
        self.gateway.metrics.count_response(attribution, origin);
        if attribution == Attribution::Own {
            return true;
        }
        log::info!(
            event = "answer-refused", request = id, engine = instance, attribution = attribution.name(),
            status = response.status().as_u16(), sealed = response_head.sealed, id = response_id.unwrap_or("-"),
            connection = origin.name();
            "the response of engine {instance} does not belong to request {id}"
        );
        self.trace
            .record_outcome(attempt, "response to another request");
        false
    }

    /// Classifies a response to this request by its status and headers.
    async fn classify_response(
        &mut self,
        response: Response<Body>,
        response_head: ResponseHead,
        instance: &str,
        in_flight: InFlight,
    ) -> Outcome {
        let status = response.status();
        let key = in_flight.key;
        let attempt = in_flight.attempt;
        self.gateway
            .observe_engine(key, &response_head, in_flight.sent_at);
        if status == StatusCode::SERVICE_UNAVAILABLE
            && let Some(time) = response_head.retry_after
        {
            self.gateway.back_off_engine(key, time);
        }
        if status == StatusCode::MISDIRECTED_REQUEST && !response_head.sealed {
            self.handle_misdirected(key, instance, in_flight.sent_at, &response_head);
            self.trace.record_outcome(attempt, "421 not held");
            in_flight.discard_response(response).await;
            return Outcome::NotExecuted(Some(status));
        }
        // The seal contradicts the statement: the heads of two responses may have joined.
        if response_head.not_executed && !response_head.sealed {
            let lacks_room = matches!(
                status,
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
            );
            if lacks_room {
                self.gateway.record_full(key);
            }
            let outcome = format!("{} not run", status.as_u16());
            self.trace.record_outcome(attempt, outcome);
            in_flight.discard_response(response).await;
            return Outcome::NotExecuted(Some(status));
        }
        if !response_head.sealed {
            let id = &*self.request_head.id;
            log::info!(
                event = "answer-refused", request = id, engine = instance, attribution = Attribution::Own.name(),
                status = status.as_u16(), sealed = false;
                "the response of engine {instance} to request {id} is not sealed"
            );
            self.trace.record_outcome(attempt, "answer not sealed");
            self.record_failure(key);
            self.may_have_run = true;
            return Outcome::Lost;
        }
        self.trace
            .record_outcome(attempt, format!("answers {}", status.as_u16()));
        self.may_have_run = true;
        self.way_back = None;
        self.confirm_adapter(key, in_flight.sent_at);
        self.gateway.record_acceptance(key);
        self.confirm_engine(&in_flight).await;
        if status.is_success() && self.is_of_uncertain_build(&in_flight) {
            self.trace.record_outcome(attempt, "started again");
            return Outcome::Lost;
        }
        let (head, body) = response.into_parts();
        Outcome::Response(Box::new((head, body, response_head, in_flight)))
    }

    /// Checks whether the request may be sent to an engine now, by all that may have changed since the engine was chosen.
    fn check_target(&mut self, key: Key, counted: Counted) -> Result<Target, Outcome> {
        let now = clock::now();
        if self.caller.has_left() {
            return Err(Outcome::CallerLeft);
        }
        if now >= self.gateway.limit(self.deadline) {
            return Err(Outcome::DeadlineExceeded);
        }
        if self.check_quarantine().is_err() {
            return Err(Outcome::NotExecuted(None));
        }
        self.target(key, counted).ok_or(Outcome::NotExecuted(None))
    }

    /// Checks after a wait what [`Self::check_target`] does. A silent engine to which the request was to return stays the
    /// one that was left: it may take the request later, for example after a back-off.
    fn check_target_again(&mut self, key: Key, counted: Counted) -> Result<Target, Outcome> {
        let checked = self.check_target(key, counted);
        let is_way_back =
            self.attempted_engines.contains(&key) && !self.repeatable_engines.contains(&key);
        if is_way_back && matches!(checked, Err(Outcome::NotExecuted(_))) {
            self.left_engine.get_or_insert(key);
        }
        checked
    }

    /// Returns the engine to which an attempt may go, if it still exists and takes the request.
    fn target(&self, key: Key, counted: Counted) -> Option<Target> {
        let now = clock::now();
        let table = self.gateway.table.borrow();
        if !self.may_take(key, &table, counted, now) {
            return None;
        }
        let engine = table.get(key)?;
        let name = self.request_head.name.as_deref();
        let newest = name.and_then(|it| table.newest_version(it));
        let held = name.and_then(|it| engine.held.get(it)).map(|it| it.version);
        let listing = &engine.listing;
        Some(Target {
            addr: listing.addr,
            instance: listing.id.clone(),
            build: listing.build.clone(),
            held,
            required: newest.filter(|it| held == Some(*it)),
            is_limited: engine.needs_turn(now),
        })
    }

    /// Returns whether an engine takes the request: it accepts work, asks for no back-off, is of the build that may serve
    /// the request, and holds a version of the adapter on which the request may still begin.
    pub(super) fn may_take(&self, key: Key, table: &Table, counted: Counted, now: Time) -> bool {
        let Some(engine) = table.get(key) else {
            return false;
        };
        let is_closed = match counted {
            Counted::No => engine.backoff.closed_until(now).is_some(),
            Counted::Yes => engine.backoff.is_closed(now),
        };
        let slot = || match counted {
            Counted::No => table.slot(key, now),
            Counted::Yes => table.slot_of_counted(key, now),
        };
        let is_fresh = |name: &Name| {
            engine.held.get(name).is_some_and(|it| {
                let freshness = table.freshness_after(name, it.version, now, Duration::ZERO, slot);
                freshness != Freshness::Stale
            })
        };
        let name = self.request_head.name.as_ref();
        engine.accepts_work()
            && engine.is_of_build(self.build)
            && !is_closed
            && name.is_none_or(is_fresh)
    }

    /// Builds the request for an engine.
    fn build_request(&self, target: &Target, last_event_id: Option<&str>) -> Request<Bytes> {
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let upstream_head = UpstreamHead {
            timeout: self.deadline.saturating_sub(clock::now()),
            instance: &target.instance,
            version: target.required,
            priority: self.request_head.name.as_ref().map(|_| ENGINE_PRIORITY),
            last_event_id,
        };
        self.gateway
            .dialect
            .write_upstream_head(request.headers_mut(), &upstream_head);
        request
    }

    /// Handles status 421: the engine does not hold the adapter, or another engine has its address.
    fn handle_misdirected(
        &mut self,
        key: Key,
        instance: &str,
        sent_at: Time,
        response_head: &ResponseHead,
    ) {
        let mismatch = response_head
            .instance
            .as_ref()
            .is_some_and(|it| it != instance);
        let mut table = self.gateway.table.borrow_mut();
        let Some(engine) = table.get_mut(key) else {
            return;
        };
        if mismatch {
            log::info!(event = "engine-stranger", engine = instance; "another engine has the address of engine {instance}");
            engine.circuit.mark_unreachable(clock::now());
            self.mismatched_instances += 1;
            return;
        }
        if let Some(name) = &self.request_head.name {
            let miss = engine.record_miss(name, sent_at, clock::now());
            log::debug!("engine {instance} does not hold {name}: {miss:?}");
            if miss != Miss::Unexpected {
                self.gateway.metrics.count_load("early");
                // The load may still be in flight, so the next attempt may go to the same engine.
                self.attempted_engines.retain(|it| *it != key);
            }
            if !engine.held.contains_key(name) {
                self.gateway.in_flight_loads.borrow_mut().remove(name, key);
            }
            drop(table);
            if let Miss::Last(arrival) = miss {
                self.gossip.report_first_requests(key, name, &arrival);
            }
        }
    }

    /// Records that the engine holds the adapter.
    fn confirm_adapter(&self, key: Key, sent_at: Time) {
        let Some(name) = &self.request_head.name else {
            return;
        };
        let mut table = self.gateway.table.borrow_mut();
        let estimate = table.get_mut(key).and_then(|it| it.held.get_mut(name));
        let arrival = estimate.and_then(|it| it.confirm(sent_at));
        drop(table);
        if let Some(arrival) = arrival {
            self.gateway.metrics.count_load("in-time");
            self.gossip.report_first_requests(key, name, &arrival);
            self.gateway.wake_waiters(name);
        }
    }

    /// Records that no connection to an engine could be opened.
    fn record_unreachable(&mut self, key: Key) {
        self.gateway.suspect_path(key);
        self.gossip.record_end(key);
        if !self.unreachable_engines.contains(&key) {
            self.unreachable_engines.push(key);
        }
        if let Some(engine) = self.gateway.table.borrow_mut().get_mut(key) {
            engine.circuit.mark_unreachable(clock::now());
            self.gateway.pool.close_idle(engine.listing.addr);
        }
    }
}
