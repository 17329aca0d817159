//! Passes requests on to another host while this one is cut off from all engines ([`crate::isolation`]).
//!
//! The other host handles the request like one of its own callers', with the attempts, the deadline and the build that
//! this host tells. It doesn't pass the request on again. What it answers goes to the caller unchanged.

use std::{convert::Infallible, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use fleet::{Time, catalog::RequestKind, origin::BuildId};
use hyper::{
    HeaderMap, Request, Response,
    body::Incoming,
    header::{CONTENT_LENGTH, HeaderName, HeaderValue},
    http::StatusCode,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Deserialize, Serialize};
use tokio::{net::TcpStream, sync::watch, time};

use crate::{
    call,
    caller::{self, Caller},
    clock,
    connection::{self, Connection, Failure, Reuse},
    exchange::{BUDGET_PAUSE, Exchange},
    forward,
    gateway::{Gateway, ReservedRetry},
    gossip::Gossip,
    relay::Relay,
    reply::{self, Body, Fault},
    server::{self, OpenConnection},
    takeover::PLACEMENT_TIMEOUT,
    trace::End,
};

/// Header with the [`Handover`] of a request, as JSON. Only hosts may set it.
pub static HANDOVER: HeaderName = HeaderName::from_static("comfreywing-handover");

/// Name of the fault with which the other host didn't take the request. It did not run there, so a third host may.
static NOT_TAKEN: HeaderName = HeaderName::from_static("comfreywing-not-taken");

/// Build of the engines that send a stream to a host that passed the request on ([`BuildId`]), in decimal.
static BUILD: HeaderName = HeaderName::from_static("comfreywing-build");

/// Maximum number of hosts to which a request is passed on.
pub const MAX_HOSTS: usize = 3;

/// Maximum idle time of a connection to another host that is used for a request that may be repeated.
const MAX_IDLE: Duration = Duration::from_secs(2);

/// Maximum time for the head of a request of another host, and maximum idle time of its connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of the head of a request of another host, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// State of a request at the host that passes it on.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Handover {
    /// The host that passes the request on.
    pub host: String,
    /// Time in ms until the deadline of the request.
    pub remaining_ms: u64,
    /// Engines to which it has sent the request.
    pub attempted: Vec<String>,
    /// True if an engine may have run the request.
    pub may_have_run: bool,
    /// Id of the last event that the caller has, if the stream has begun.
    pub last_event_id: Option<String>,
    /// Build that began the stream, if it is known.
    pub build: Option<u64>,
    /// Client account of the request, if that host knows client accounts and the request has one.
    #[serde(default)]
    pub account: Option<String>,
    /// Revision of the configuration by which that host found the account.
    #[serde(default)]
    pub revision: u64,
}

impl Handover {
    /// Takes the handover out of the headers of a request of another host.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(&HANDOVER)?;
        serde_json::from_slice(value.as_bytes()).ok()
    }
}

/// Response of another host to a request that was passed on.
pub(crate) struct HostResponse {
    response: Response<connection::Body>,
    /// Closed when this is dropped, which ends the request at the other host.
    connection: Connection,
}

impl HostResponse {
    /// Build that the other host keeps the stream at. Older hosts don't state it.
    pub(crate) fn build(&self) -> Option<BuildId> {
        let value = self.response.headers().get(&BUILD)?;
        value.to_str().ok()?.parse().ok().map(BuildId)
    }

    /// Head of a response to the caller, and the body with its connection.
    pub(crate) fn into_parts(self) -> (Response<()>, connection::Body, Connection) {
        let (mut head, body) = self.response.into_parts();
        reply::strip_hop_headers(&mut head.headers);
        head.headers.remove(&NOT_TAKEN);
        head.headers.remove(&BUILD);
        (Response::from_parts(head, ()), body, self.connection)
    }
}

impl Exchange {
    /// Returns whether the request is to be passed on to another host.
    pub(crate) fn may_hand_over(&self) -> bool {
        self.gateway.is_isolated()
            && self.received_from.is_none()
            && self.hosts_left > 0
            && self.has_time_left()
            && (!self.may_have_run || self.route.kind.is_retryable())
    }

    /// Returns whether no engine is sought here, because this host is cut off from all of them and another one may take
    /// the request.
    pub(crate) fn is_placed_elsewhere(&self) -> bool {
        let is_isolated = self.gateway.is_isolated();
        is_isolated && self.received_from.is_some() || self.may_hand_over()
    }

    /// Returns whether a request that gets no engine here is to be passed on. Waits until it is known whether this host is
    /// cut off.
    pub(crate) async fn may_hand_over_instead(&self) -> bool {
        let may_run_elsewhere = !self.may_have_run || self.route.kind.is_retryable();
        may_run_elsewhere
            && self.received_from.is_none()
            && self.gateway.await_isolation_verdict().await
            && self.may_hand_over()
    }

    /// Returns whether a stream that has begun is to go on at another host.
    pub(crate) fn may_resume_elsewhere(&self) -> bool {
        self.route.kind == RequestKind::Resumable && self.may_hand_over()
    }

    /// Passes the request on, and returns the response for the caller.
    pub(crate) async fn hand_over(mut self) -> Response<Body> {
        loop {
            let last_event_id = self.request_head.last_event_id.clone();
            let response = match self.send_to_host(last_event_id.as_deref()).await {
                Ok(it) => it,
                Err(fault) => return self.fail(fault),
            };
            let status = response.response.status();
            if status.is_success() && self.route.kind.is_stream() {
                self.trace.record_status(status);
                self.adopt_host_build(&response);
                let (mut head, body, connection) = response.into_parts();
                head.headers_mut().remove(CONTENT_LENGTH);
                let relay = Relay::of_host(self, body, connection);
                return head.map(|()| relay.into_body());
            }
            let (mut head, body, connection) = response.into_parts();
            let context = self.wait_context();
            let collected = tokio::select! {
                biased;
                it = body.collect() => it,
                () = context.wait_for_end() => {
                    self.may_have_run = true;
                    return self.fail(Fault::Timeout);
                }
            };
            match collected {
                Ok(body) => {
                    connection.release(call::keep_alive_timeout(head.headers()));
                    head.headers_mut().remove(CONTENT_LENGTH);
                    self.trace.record_status(status);
                    self.trace.record_forwarded();
                    self.give_back_if_refused(&head);
                    self.record_end(if status.is_success() {
                        End::Served
                    } else {
                        End::Failed
                    });
                    return head.map(|()| reply::full_body(body));
                }
                Err(failure) => {
                    log::debug!("request {}: {failure}", self.request_head.id);
                    self.may_have_run = true;
                    if !self.may_hand_over() {
                        return self.fail(Fault::UpstreamLost);
                    }
                }
            }
        }
    }

    /// Returns what the request was charged to its account, if the other host has refused it. Its status promises that
    /// the request has not run; an engine's own answer promises nothing.
    fn give_back_if_refused(&mut self, head: &Response<()>) {
        let is_refusal = [
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::TOO_MANY_REQUESTS,
        ]
        .contains(&head.status());
        let is_sealed = self
            .gateway
            .dialect
            .parse_response_head(head.headers())
            .sealed;
        if is_refusal && !is_sealed && !self.may_have_run {
            self.give_back();
        }
    }

    /// Sends the request to another host, or to a further one if it doesn't take it.
    pub(crate) async fn send_to_host(
        &mut self,
        last_event_id: Option<&str>,
    ) -> Result<HostResponse, Fault> {
        loop {
            let now = clock::now();
            let host = if self.hosts_left > 0 && self.has_time_left() {
                let peers = self.gateway.peers.borrow();
                peers.host_for(&self.hosts_tried, &self.gateway.settings.domain, now)
            } else {
                None
            };
            let Some((name, addr)) = host else {
                self.hosts_left = 0;
                return Err(if self.may_have_run {
                    Fault::UpstreamLost
                } else {
                    Fault::NoEngine
                });
            };
            let retry = self.reserve_repetition().await?;
            self.hosts_left -= 1;
            self.hosts_tried.push(name.clone());
            self.trace.record_handover(&name);
            let outcome = self.try_host(&name, addr, last_event_id).await;
            if let Some(retry) = retry
                && !matches!(
                    outcome,
                    Err(HostFailure::NotTaken(_) | HostFailure::CallerLeft)
                )
            {
                retry.spend();
            }
            let metrics = &self.gateway.metrics;
            match outcome {
                Ok(response) => {
                    metrics.count_handover("sent");
                    return Ok(response);
                }
                Err(HostFailure::NotTaken(why)) => {
                    metrics.count_handover("not-taken");
                    let id = &*self.request_head.id;
                    log::info!(event = "handover-refused", request = id, host = &*name, why; "host {name} did not take request {id}");
                }
                Err(HostFailure::Lost) => {
                    metrics.count_handover("lost");
                    self.may_have_run = true;
                    if !self.route.kind.is_retryable() {
                        return Err(Fault::UpstreamLost);
                    }
                }
                Err(HostFailure::DeadlineExceeded) => {
                    self.may_have_run = true;
                    return Err(Fault::Timeout);
                }
                Err(HostFailure::CallerLeft) => {
                    self.hosts_left = 0;
                    self.record_end(End::CallerLeft);
                    return Err(Fault::UpstreamLost);
                }
            }
        }
    }

    /// Reserves a retry if a lost host may have sent the request to an engine. The next host doesn't know of that, so its
    /// first attempt takes none. It knows of the engines that this host has asked. Fails if the budget has no retry.
    async fn reserve_repetition(&mut self) -> Result<Option<ReservedRetry>, Fault> {
        if !self.may_have_run || !self.attempted_ids().is_empty() {
            return Ok(None);
        }
        let until = self.deadline.min(clock::now() + PLACEMENT_TIMEOUT);
        loop {
            if let Some(it) = self.gateway.reserve_retry(&self.service) {
                return Ok(Some(it));
            }
            if clock::now() + BUDGET_PAUSE >= until {
                self.gateway.metrics.count_retry(&self.service, "refused");
                self.hosts_left = 0;
                return Err(Fault::UpstreamLost);
            }
            self.wait_for_budget().await;
        }
    }

    /// Ids of the engines to which this host has sent the request.
    fn attempted_ids(&self) -> Vec<String> {
        let table = self.gateway.table.borrow();
        let attempted = self.attempted_engines.iter();
        let attempted = attempted.filter_map(|it| table.get(*it));
        attempted.map(|it| it.listing.id.to_string()).collect()
    }

    /// Sends the request to a host and reads the head of the response.
    async fn try_host(
        &mut self,
        name: &Arc<str>,
        addr: SocketAddr,
        last_event_id: Option<&str>,
    ) -> Result<HostResponse, HostFailure> {
        let reuse = if self.route.kind.is_retryable() {
            Reuse::IdleLess(MAX_IDLE)
        } else {
            Reuse::Never
        };
        let pool = &self.gateway.host_pool;
        let connected = pool.acquire(addr, reuse).await;
        let mut connection = connected.map_err(|error| {
            log::debug!("host {name}: {error}");
            HostFailure::NotTaken("unreachable".to_owned())
        })?;
        if self.caller.has_left() {
            connection.release(None);
            return Err(HostFailure::CallerLeft);
        }
        let request = self.build_handover(last_event_id);
        let response = connection.send(request);
        let context = self.wait_context();
        let response = tokio::select! {
            biased;
            it = response => it,
            () = context.wait_for_end() => return Err(HostFailure::DeadlineExceeded),
        };
        match response {
            Ok(response) => match response.headers().get(&NOT_TAKEN) {
                Some(why) => {
                    let why = why.to_str().unwrap_or("-").to_owned();
                    Err(HostFailure::NotTaken(why))
                }
                None => Ok(HostResponse {
                    response,
                    connection,
                }),
            },
            Err(Failure::Unreachable(_)) => Err(HostFailure::NotTaken("closed".to_owned())),
            Err(error) => {
                log::debug!("host {name}: {error}");
                Err(HostFailure::Lost)
            }
        }
    }

    fn build_handover(&self, last_event_id: Option<&str>) -> Request<Bytes> {
        let remaining = self.deadline.saturating_sub(clock::now());
        let handover = Handover {
            host: self.gateway.holder.to_string(),
            remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            attempted: self.attempted_ids(),
            may_have_run: self.may_have_run,
            last_event_id: last_event_id.map(str::to_owned),
            build: self
                .build
                .filter(|_| self.assigned.is_none())
                .map(|it| it.0),
            account: (self.account.as_ref()).map(|it| it.name.to_string()),
            revision: self.trace.config,
        };
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let value = serde_json::to_vec(&handover).unwrap_or_default();
        if let Ok(value) = HeaderValue::from_bytes(&value) {
            request.headers_mut().insert(HANDOVER.clone(), value);
        }
        request
    }

    /// Keeps a new stream that another host sends at the build of that host's engine.
    pub(crate) fn adopt_host_build(&mut self, response: &HostResponse) {
        self.keep_at_build(response.build());
    }

    /// Keeps a new stream at a build, whichever is assigned to it.
    fn keep_at_build(&mut self, build: Option<BuildId>) {
        if self.assigned.take().is_some() {
            self.build = None;
        }
        self.build = self.build.or(build);
    }

    /// Tells the host that passed the request on which build sends the stream, and keeps it at that build.
    pub(crate) fn announce_build(
        &mut self,
        engine_build: Option<BuildId>,
        headers: &mut HeaderMap,
    ) {
        self.keep_at_build(engine_build);
        headers.remove(&BUILD);
        if let Some(build) = self.build {
            headers.insert(BUILD.clone(), build.0.into());
        }
    }

    /// Adopts what the host that passed the request on has done with it.
    pub(crate) fn adopt_handover(&mut self, handover: Handover, received_at: Time) {
        let remaining = Duration::from_millis(handover.remaining_ms);
        self.deadline = self.deadline.min(received_at + remaining);
        self.trace.record_origin_host(&handover.host);
        let table = self.gateway.table.borrow();
        let attempted = handover.attempted.iter();
        self.attempted_engines = attempted.filter_map(|it| table.find(it)).collect();
        drop(table);
        self.attempts = u32::try_from(handover.attempted.len()).unwrap_or(u32::MAX);
        self.may_have_run = handover.may_have_run;
        self.has_begun = handover.build.is_some() && handover.last_event_id.is_some();
        if handover.last_event_id.is_some() {
            self.request_head.last_event_id = handover.last_event_id;
        }
        self.build = handover.build.map(BuildId);
        self.keep_service();
        self.received_from = Some(handover.host.into());
    }
}

/// Why there is no response of another host.
enum HostFailure {
    /// The request did not run there.
    NotTaken(String),
    /// The request may have run there.
    Lost,
    DeadlineExceeded,
    /// The caller has closed its connection.
    CallerLeft,
}

/// Serves the requests that another host passes on over a connection. Only hosts of the fleet are let in.
pub async fn serve(
    stream: TcpStream,
    gateway: Rc<Gateway>,
    gossip: Rc<Gossip>,
    mut closing: watch::Receiver<bool>,
) {
    let _open = OpenConnection::new(gateway.clone());
    let Ok(from) = stream.peer_addr() else { return };
    if !gateway.peers.borrow().is_member(from.ip()) {
        log::warn!(event = "stranger", addr = from.to_string(); "{from} is no host of the fleet: its connection is closed");
        return;
    }
    if let Err(error) = connection::set_socket_options(&stream) {
        log::debug!("cannot set options of a connection of host {from}: {error}");
        return;
    }
    let stream = caller::Connection::new(stream);
    let caller = stream.caller();
    let service = service_fn(|request: Request<Incoming>| {
        let response = handle(gateway.clone(), gossip.clone(), request, caller.clone());
        async { Ok::<_, Infallible>(response.await) }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = server::drive(&mut connection, &mut closing).await {
        log::debug!("a connection of host {from} failed: {error}");
    }
}

async fn handle(
    gateway: Rc<Gateway>,
    gossip: Rc<Gossip>,
    mut request: Request<Incoming>,
    caller: Caller,
) -> Response<Body> {
    let Some(handover) = Handover::take(request.headers_mut()) else {
        return reply::fault_response(Fault::BadRequest, None);
    };
    if gateway.is_isolated() {
        return mark_not_taken(reply::fault_response(Fault::NoEngine, None), "isolated");
    }
    if gateway.closing.get() {
        return mark_not_taken(reply::fault_response(Fault::Stopping, None), "stopping");
    }
    if gateway.catalog().is_none() {
        return mark_not_taken(reply::fault_response(Fault::NoConfig, None), "no-config");
    }
    let response = forward::handle_from_host(gateway.clone(), gossip, request, handover, caller);
    let response = Box::pin(response).await;
    // This host may have been cut off meanwhile. The status promises that the request has not run here.
    if gateway.is_isolated() && response.status() == StatusCode::SERVICE_UNAVAILABLE {
        return mark_not_taken(response, "isolated");
    }
    response
}

/// Marks a response to another host, whose request has not run here.
fn mark_not_taken(mut response: Response<Body>, why: &'static str) -> Response<Body> {
    let headers = response.headers_mut();
    headers.insert(NOT_TAKEN.clone(), HeaderValue::from_static(why));
    response
}

/// Returns whether the first byte of a connection begins a request that is passed on. Requests for lists begin with `{`.
pub async fn is_request(stream: &TcpStream, timeout: Duration) -> Option<bool> {
    let mut first = [0];
    let peeked = time::timeout(timeout, stream.peek(&mut first)).await;
    match peeked {
        Ok(Ok(1)) => Some(first[0] != b'{'),
        _ => None,
    }
}
