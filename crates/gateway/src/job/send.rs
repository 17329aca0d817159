//! Sends a request to one engine and sorts its answer by the head.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use fleet::{placement::Choice, stall::Stage, table::Key};
use hyper::{
    Request, Response,
    body::Incoming,
    http::{StatusCode, response},
};

use crate::{
    channel::Failure,
    clock,
    dialect::{ResponseHead, UpstreamHead},
    job::Job,
    patience::{Waited, wait},
    run::Run,
};

/// Connections for requests that must not run twice are used again only when they were idle for less:
/// a close that crosses the request would leave open whether it ran.
const FRESH: Duration = Duration::from_millis(800);

/// The same for other requests.
const IDLE: Duration = Duration::from_secs(4);
/// What came of sending a request to one engine.
pub enum Sent {
    /// The engine's answer.
    Answer(Box<(response::Parts, Incoming, ResponseHead, Run)>),
    /// It was not run.
    NotRun(Option<StatusCode>),
    /// It may have run; there is no whole answer.
    Lost,
    /// The time is over.
    Late,
    /// The retry budget is spent.
    NoBudget,
}

impl Job {
    /// Sends it to an engine and reads the head of the answer.
    pub(crate) async fn send(&mut self, choice: Choice, last_event: Option<&str>) -> Sent {
        let now = clock::now();
        if now >= self.deadline {
            return Sent::Late;
        }
        let key = choice.key;
        let Some((addr, instance, version)) = self.target(key) else {
            return Sent::NotRun(None);
        };
        let mut run = Run::begin(&self.gateway, key, self.envelope.name.clone(), &self.chain);
        run.expected = choice.expected_wait;
        if run.unread > 0 {
            self.gossip.tell_sent(&instance, run.unread);
        }
        let idle = if self.route.kind.is_retryable() {
            IDLE
        } else {
            FRESH
        };
        let channel = match self.gateway.pool.channel(addr, idle).await {
            Ok(it) => it,
            Err(error) => {
                log::debug!("engine {instance}: {error}");
                self.unreachable(key);
                return Sent::NotRun(None);
            }
        };
        if self.sent > 0 && !self.gateway.may_repeat(&self.service) {
            return Sent::NoBudget;
        }
        self.sent += 1;
        self.story.tried(&instance, &choice);
        let kind = if channel.used { "kept" } else { "new" };
        self.gateway.metrics.connection(kind);
        if !self.tried.contains(&key) {
            self.tried.push(key);
        }
        let request = self.request(&instance, version, last_event);
        let used = channel.used;
        let channel = run.channel.insert(channel);
        let stage = Stage::Head(choice.expected_wait);
        let answer = wait(&self.waiter(), key, stage, channel.send(request)).await;
        match answer {
            Waited::There(Ok(answer)) => self.sort(answer, &instance, run).await,
            Waited::There(Err(Failure::Unreachable(error))) => {
                log::debug!("engine {instance}: not sent: {error}");
                self.story.outcome("not sent");
                self.tried.retain(|it| *it != key || !used);
                Sent::NotRun(None)
            }
            Waited::There(Err(Failure::Broken(error))) => {
                log::debug!("engine {instance}: request {}: {error}", self.envelope.id);
                self.story.outcome("connection broke");
                if !used {
                    self.failed(key);
                }
                self.ran = true;
                Sent::Lost
            }
            Waited::Hung => {
                self.story.outcome("hung");
                self.failed(key);
                self.ran = true;
                Sent::Lost
            }
            Waited::Late => {
                self.ran = true;
                Sent::Late
            }
        }
    }

    /// Sorts an answer by its head.
    async fn sort(&mut self, answer: Response<Incoming>, instance: &str, run: Run) -> Sent {
        let mark = self.gateway.dialect.parse_response_head(answer.headers());
        let status = answer.status();
        let key = run.key;
        if status == StatusCode::MISDIRECTED_REQUEST && !mark.sealed {
            self.misdirected(key, instance, &mark);
            self.story.outcome("421 not held");
            run.finish(answer).await;
            return Sent::NotRun(Some(status));
        }
        if mark.not_executed {
            self.story.outcome("not run");
            run.finish(answer).await;
            return Sent::NotRun(Some(status));
        }
        let other = mark
            .request_id
            .as_ref()
            .is_some_and(|it| *it != self.envelope.id);
        if other || !mark.sealed {
            log::info!(
                event = "answer-refused", request = &*self.envelope.id, engine = instance,
                status = status.as_u16(), sealed = mark.sealed, id = mark.request_id.as_deref().unwrap_or("-");
                "the answer of engine {instance} is not that of request {}", self.envelope.id
            );
            self.story.outcome("answer not its own");
            self.failed(key);
            self.ran = true;
            return Sent::Lost;
        }
        self.story.outcome("answers");
        self.confirm(key);
        let (head, body) = answer.into_parts();
        Sent::Answer(Box::new((head, body, mark, run)))
    }

    fn target(&self, key: Key) -> Option<(std::net::SocketAddr, Arc<str>, Option<u64>)> {
        let table = self.gateway.table.borrow();
        let engine = table.get(key)?;
        let name = self.envelope.name.as_deref();
        let newest = name.and_then(|it| table.newest_version(it));
        let held = name.and_then(|it| engine.held.get(it)).map(|it| it.version);
        let version = newest.map(|it| it.version).filter(|it| held == Some(*it));
        let listing = &engine.listing;
        Some((listing.addr, listing.id.clone(), version))
    }

    fn request(
        &self,
        instance: &str,
        version: Option<u64>,
        last_event: Option<&str>,
    ) -> Request<Bytes> {
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.head.clone();
        let stamp = UpstreamHead {
            timeout: self.deadline.saturating_sub(clock::now()),
            instance,
            version,
            priority: self.envelope.name.as_ref().map(|_| self.route.priority),
            last_event_id: last_event,
        };
        self.gateway
            .dialect
            .write_upstream_head(request.headers_mut(), &stamp);
        request
    }

    fn misdirected(&mut self, key: Key, instance: &str, mark: &ResponseHead) {
        let other = mark.instance.as_ref().is_some_and(|it| it != instance);
        let mut table = self.gateway.table.borrow_mut();
        let Some(engine) = table.get_mut(key) else {
            return;
        };
        if other {
            log::info!(event = "engine-stranger", engine = instance; "another has the address of engine {instance}");
            engine.circuit.mark_unreachable(clock::now());
            self.strangers += 1;
            return;
        }
        if let Some(name) = &self.envelope.name {
            let expected = engine.record_miss(name, clock::now());
            log::debug!("engine {instance}: doesn't hold {name}, expected {expected}");
            if expected {
                self.gateway.metrics.load("early");
                self.gateway.loader.borrow_mut().record_arrival(false);
                // It is on its way: the next try goes there again.
                self.tried.retain(|it| *it != key);
            }
            if !engine.held.contains_key(name) {
                self.gateway.coming.borrow_mut().remove(name, key);
            }
        }
    }

    /// Notes that the engine holds the adapter.
    fn confirm(&self, key: Key) {
        let Some(name) = &self.envelope.name else {
            return;
        };
        let mut table = self.gateway.table.borrow_mut();
        let belief = table.get_mut(key).and_then(|it| it.held.get_mut(name));
        if belief.is_some_and(fleet::engine::Estimate::confirm) {
            self.gateway.metrics.load("in-time");
            self.gateway.loader.borrow_mut().record_arrival(true);
            self.gateway.wake(name);
        }
    }

    fn unreachable(&mut self, key: Key) {
        if let Some(engine) = self.gateway.table.borrow_mut().get_mut(key) {
            engine.circuit.mark_unreachable(clock::now());
            self.gateway.pool.forget(engine.listing.addr);
        }
    }
}
