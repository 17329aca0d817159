//! A caller's request on its way: tries until there is an answer.

mod place;
mod send;

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use fleet::{
    Time,
    catalog::{RequestKind, Route},
    circuit::State,
    prefix::Chain,
    stall::Stage,
    table::Key,
};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Method, Response,
    body::Incoming,
    header::CONTENT_LENGTH,
    http::{StatusCode, Uri, response},
};
use tokio::time;

pub use send::Sent;

use crate::{
    call, clock,
    dialect::{RequestHead, ResponseHead},
    gateway::Gateway,
    gossip::Gossip,
    patience::{Waited, Waiter, wait},
    relay::Relay,
    reply::{self, Body, Fault},
    run::Run,
    story::{End, Story},
};

/// A caller's request on its way, with all that was learned of it.
pub struct Job {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) gossip: Rc<Gossip>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) head: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    pub(crate) envelope: RequestHead,
    pub(crate) chain: Chain,
    pub(crate) began: Time,
    pub(crate) deadline: Time,
    pub(crate) tried: Vec<Key>,
    /// How many of these have ended, as another engine at their address said: they don't count.
    pub(crate) strangers: usize,
    pub(crate) sent: u32,
    /// Whether an engine may have run it.
    pub(crate) ran: bool,
    /// What happened so far.
    pub(crate) story: Story,
    /// Whether the end has been told.
    pub(crate) ended: bool,
    /// An engine's failure, which is the answer if no other engine does better.
    pub(crate) failure: Option<Response<Body>>,
}

impl Job {
    /// Tries until there is an answer.
    pub(crate) async fn run(mut self) -> Response<Body> {
        // Whether the last engine didn't hold the adapter.
        let mut missed = false;
        loop {
            let until = self.began + self.hold();
            let choice = match self.place(until).await {
                Ok(it) => it,
                Err(fault) => return self.fail(fault),
            };
            let last_event = self.envelope.last_event_id.clone();
            match self.send(choice, last_event.as_deref()).await {
                Sent::Answer(it) => {
                    let (head, body, mark, run) = *it;
                    match self.answer(head, body, &mark, run).await {
                        Ok(answer) => return answer,
                        Err(job) => self = job,
                    }
                }
                Sent::NotRun(status) => {
                    log::debug!("request {} not run: {status:?}", self.envelope.id);
                    missed = status == Some(StatusCode::MISDIRECTED_REQUEST);
                }
                Sent::Lost if self.route.kind.is_retryable() => {}
                Sent::Lost => return self.fail(Fault::UpstreamLost),
                Sent::Late => return self.fail(Fault::Timeout),
                Sent::NoBudget => return self.fail(Fault::NoBudget),
            }
            if !self.has_attempts() {
                let fault = match (self.ran, missed) {
                    (true, _) => Fault::UpstreamLost,
                    (false, true) => Fault::AdapterLoad,
                    (false, false) => Fault::Overload,
                };
                return self.fail(fault);
            }
        }
    }

    /// Passes an answer back, or returns the job if it is to be sent again.
    async fn answer(
        mut self,
        mut head: response::Parts,
        body: Incoming,
        mark: &ResponseHead,
        run: Run,
    ) -> Result<Response<Body>, Self> {
        let key = run.key;
        debug_assert!(mark.sealed);
        if head.status.is_server_error() {
            self.failed(key);
            self.ran = true;
            let again = self.route.kind.is_retryable()
                && self.has_attempts()
                && clock::now() + Duration::from_millis(50) < self.deadline;
            if again && self.gateway.has_repeat(&self.service) {
                let within = self.deadline.saturating_sub(clock::now());
                if let Ok(Ok(body)) = time::timeout(within, body.collect()).await {
                    run.keep(call::kept_for(&head.headers));
                    reply::strip(&mut head.headers);
                    head.headers.remove(CONTENT_LENGTH);
                    let body = reply::whole(body.to_bytes());
                    self.failure = Some(Response::from_parts(head, body));
                }
                return Err(self);
            }
        }
        let kept = call::kept_for(&head.headers);
        reply::strip(&mut head.headers);
        if head.status.is_success() && self.route.kind.is_stream() {
            head.headers.remove(CONTENT_LENGTH);
            let relay = Relay::new(self, body, run, kept);
            return Ok(Response::from_parts(head, relay.body()));
        }
        let whole = wait(&self.waiter(), key, Stage::NextEvent, body.collect()).await;
        match whole {
            Waited::There(Ok(body)) => {
                let body = body.to_bytes();
                head.headers.remove(CONTENT_LENGTH);
                if !head.status.is_server_error() {
                    self.succeeded(key);
                }
                self.story.passed();
                let end = if head.status.is_success() {
                    End::Served
                } else {
                    End::Failed
                };
                self.end(end);
                run.keep(kept);
                Ok(Response::from_parts(head, reply::whole(body)))
            }
            Waited::There(Err(_)) | Waited::Hung => {
                log::debug!("request {}: its answer broke off", self.envelope.id);
                self.failed(key);
                self.ran = true;
                if self.route.kind.is_retryable() && self.has_attempts() {
                    return Err(self);
                }
                Ok(self.fail(Fault::UpstreamLost))
            }
            Waited::Late => Ok(self.fail(Fault::Timeout)),
        }
    }
    pub(crate) fn failed(&self, key: Key) {
        let now = clock::now();
        if let Some(engine) = self.gateway.table.borrow_mut().get_mut(key) {
            let before = engine.circuit.state(now);
            engine.circuit.record_failure(now);
            if before != State::Open && engine.circuit.state(now) == State::Open {
                let id = &*engine.listing.id;
                let failures = engine.circuit.failure_rate();
                log::info!(event = "engine-aside", engine = id, failures; "engine {id} is put aside");
            }
        }
    }

    pub(crate) fn succeeded(&self, key: Key) {
        if let Some(engine) = self.gateway.table.borrow_mut().get_mut(key) {
            engine.circuit.record_success();
            engine.last_success_at = clock::now();
        }
    }

    /// Tells how it ended, once.
    pub(crate) fn end(&mut self, end: End) {
        if !std::mem::replace(&mut self.ended, true) {
            let metrics = &self.gateway.metrics;
            self.story
                .end(&self.envelope, &self.route, &self.service, end, metrics);
        }
    }

    pub(crate) fn waiter(&self) -> Waiter {
        Waiter {
            gateway: self.gateway.clone(),
            route: self.route.clone(),
            deadline: self.deadline,
        }
    }

    /// Whether it may be sent to one more engine.
    fn has_attempts(&self) -> bool {
        self.tried.len() < self.route.attempts + self.strangers
    }

    /// Whether a stream may be resumed at one more engine.
    pub(crate) fn may_resume(&self) -> bool {
        self.route.kind == RequestKind::Resumable
            && self.has_attempts()
            && clock::now() + Duration::from_millis(50) < self.deadline
    }

    fn fail(&mut self, fault: Fault) -> Response<Body> {
        if let Some(answer) = self.failure.take() {
            self.end(End::Failed);
            return answer;
        }
        // "Not run" must be true.
        let fault = match fault {
            Fault::Overload | Fault::NoEngine | Fault::AdapterLoad | Fault::NoBudget
                if self.ran =>
            {
                Fault::UpstreamLost
            }
            Fault::Timeout if self.sent == 0 => Fault::Overload,
            it => it,
        };
        self.end(End::Refused(fault.name()));
        let after = match fault {
            Fault::AdapterLoad => Some(Duration::from_millis(300)),
            Fault::NoBudget => Some(Duration::from_millis(500)),
            Fault::Overload | Fault::NoEngine => Some(Duration::from_millis(700)),
            _ => None,
        };
        reply::fault(fault, after)
    }
}

impl Drop for Job {
    /// A job that is dropped before its end belongs to a caller that left.
    fn drop(&mut self) {
        self.end(End::Left);
    }
}
