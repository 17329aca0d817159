//! The way of a request: route, place, engine, answer.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use fleet::{
    Time,
    catalog::{Kind, Route},
    listing::Name,
    place::{Choice, Place},
    prefix::Chain,
    stall::{self, Stage, Verdict},
    table::Key,
};
use http_body_util::{BodyExt, Limited};
use hyper::{
    HeaderMap, Method, Request, Response,
    body::Incoming,
    header::{CONTENT_LENGTH, HOST, HeaderValue},
    http::{StatusCode, Uri, response},
};
use tokio::time;

use crate::{
    call,
    channel::{Channel, Failure},
    clock,
    dialect::{Envelope, Mark, Stamp},
    gateway::{Gateway, WAITERS},
    gossip::Gossip,
    relay::Relay,
    reply::{self, Body, Fault},
    story::{End, Story},
};

/// Time after which a caller may come back where another host serves it.
const ELSEWHERE: Duration = Duration::from_millis(50);

/// Part of the caller's time after which a request that has no place is refused: the rest is for the
/// caller's next try.
const HOLD_PART: f64 = 0.3;

/// Part of the time for the first event for which a prompt waits here for its turn at an engine.
const PACED_PART: f64 = 0.6;

/// Pause between two looks at whether an engine has read enough.
const PACED: Duration = Duration::from_millis(15);

/// Longest time that a request without a place is held.
const HOLD: Duration = Duration::from_millis(2200);

/// Time after which a load is asked for again at the same host, since datagrams get lost.
const ASK_AGAIN: Duration = Duration::from_millis(90);

/// Asks to one host before the next in line is asked.
const ASKS: u32 = 5;

/// Connections for requests that must not run twice are used again only when they were idle for less:
/// a close that crosses the request would leave open whether it ran.
const FRESH: Duration = Duration::from_millis(800);

/// The same for other requests.
const IDLE: Duration = Duration::from_secs(4);

/// Time beyond a request's own for the engine's answer that its time is over.
const LATE_ANSWER: Duration = Duration::from_millis(120);

/// A caller's request on its way, with all that was learned of it.
pub struct Job {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) gossip: Rc<Gossip>,
    method: Method,
    uri: Uri,
    head: HeaderMap,
    body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    pub(crate) envelope: Envelope,
    chain: Chain,
    pub(crate) began: Time,
    pub(crate) deadline: Time,
    tried: Vec<Key>,
    sent: u32,
    /// Whether an engine may have run it.
    ran: bool,
    /// What happened so far.
    pub(crate) story: Story,
    /// Whether the end has been told.
    ended: bool,
    /// An engine's failure, which is the answer if no other engine does better.
    failure: Option<Response<Body>>,
}

/// A request that runs at an engine. Dropping it ends it there.
pub struct Run {
    job: Rc<Gateway>,
    pub(crate) key: Key,
    name: Option<Name>,
    unread: u32,
    channel: Option<Channel>,
    sent: Time,
    pub(crate) expected: Duration,
}

/// What came of sending a request to one engine.
pub enum Sent {
    /// The engine's answer.
    Answer(Box<(response::Parts, Incoming, Mark, Run)>),
    /// It was not run.
    NotRun(Option<StatusCode>),
    /// It may have run; there is no whole answer.
    Lost,
    /// The time is over.
    Late,
    /// The retry budget is spent.
    NoBudget,
}

/// Serves one request.
pub async fn serve(
    gateway: Rc<Gateway>,
    gossip: Rc<Gossip>,
    request: Request<Incoming>,
) -> Response<Body> {
    let job = match accept(&gateway, &gossip, request).await {
        Ok(it) => it,
        Err(answer) => return answer,
    };
    gateway.count_request(&job.service);
    job.run().await
}

/// Reads a request and finds its route.
async fn accept(
    gateway: &Rc<Gateway>,
    gossip: &Rc<Gossip>,
    request: Request<Incoming>,
) -> Result<Job, Response<Body>> {
    let began = clock::now();
    if gateway.closing.get() {
        // It might not be done before the end; another host takes it at once.
        return Err(reply::fault(Fault::Stopping, Some(ELSEWHERE)));
    }
    let Some(catalog) = gateway.catalog() else {
        return Err(reply::fault(
            Fault::NoConfig,
            Some(Duration::from_millis(400)),
        ));
    };
    let (parts, body) = request.into_parts();
    let host = parts.headers.get(HOST).and_then(|it| it.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    let Some(route) = catalog.route(host, parts.uri.path()).cloned() else {
        return Err(reply::fault(Fault::NoRoute, None));
    };
    let envelope = gateway.dialect.envelope(&parts.headers).map_err(|it| {
        log::info!(event = "bad-request", why = it; "a request can't be read: {it}");
        reply::fault(Fault::BadRequest, None)
    })?;
    let limit = catalog.limits.body_bytes;
    let patience = envelope.patience.unwrap_or(route.timeout);
    let deadline = began + patience.min(route.timeout);
    let within = deadline.saturating_sub(began);
    let body = match time::timeout(within, Limited::new(body, limit).collect()).await {
        Ok(Ok(it)) => it.to_bytes(),
        Ok(Err(_)) => return Err(reply::fault(Fault::TooLarge, None)),
        Err(_) => return Err(reply::fault(Fault::Timeout, None)),
    };
    let mut head = parts.headers;
    reply::strip(&mut head);
    let ours: Vec<_> = head
        .keys()
        .filter(|it| gateway.dialect.is_ours(it))
        .cloned()
        .collect();
    for name in ours {
        head.remove(name);
    }
    head.remove(CONTENT_LENGTH);
    if !body.is_empty() || parts.method == Method::POST || parts.method == Method::PUT {
        head.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    let service = route
        .service(fleet::rendezvous::weight(&envelope.id, ""))
        .clone();
    let name = envelope.name.as_deref().unwrap_or_default();
    let mut chain = Chain::new(name, &envelope.parts);
    if envelope.parts.is_empty() && envelope.tokens > 0 {
        let whole = fleet::prefix::Part {
            id: rand::random(),
            tokens: envelope.tokens,
        };
        chain = Chain::new(name, &[whole]);
    }
    Ok(Job {
        gateway: gateway.clone(),
        gossip: gossip.clone(),
        method: parts.method,
        uri: parts.uri,
        head,
        body,
        route,
        service,
        envelope,
        chain,
        began,
        deadline,
        tried: Vec::new(),
        sent: 0,
        ran: false,
        story: Story::new(began, catalog.version),
        ended: false,
        failure: None,
    })
}

impl Job {
    async fn run(mut self) -> Response<Body> {
        loop {
            let until = self.began + self.hold();
            let choice = match self.place(until).await {
                Ok(it) => it,
                Err(fault) => return self.fail(fault),
            };
            let last_event = self.envelope.last_event.clone();
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
                }
                Sent::Lost if self.route.kind.repeats() => {}
                Sent::Lost => return self.fail(Fault::UpstreamLost),
                Sent::Late => return self.fail(Fault::Timeout),
                Sent::NoBudget => return self.fail(Fault::NoBudget),
            }
            if self.tried.len() >= self.route.attempts {
                let fault = if self.ran {
                    Fault::UpstreamLost
                } else {
                    Fault::Overload
                };
                return self.fail(fault);
            }
        }
    }

    /// How long it may be held without a place.
    fn hold(&self) -> Duration {
        let whole = self.deadline.saturating_sub(self.began);
        whole.mul_f64(HOLD_PART).min(HOLD)
    }

    /// Finds a place, and waits for the adapter's load until then if there is none.
    pub(crate) async fn place(&mut self, until: Time) -> Result<Choice, Fault> {
        let name = self.envelope.name.clone();
        let until = until.min(self.deadline);
        let mut waiting: Option<Waiting> = None;
        loop {
            let place = self
                .gateway
                .place(&self.service, name.as_ref(), &self.chain, &self.tried);
            let now = clock::now();
            match place {
                Place::At(choice) => {
                    if choice.spread {
                        self.spread(name.as_ref(), choice.key).await;
                    }
                    if now + choice.wait > self.deadline {
                        return Err(Fault::Overload);
                    }
                    return Ok(choice);
                }
                Place::Later(choice) => {
                    // Waiting here costs nothing that waiting at the engine doesn't, and spares the
                    // streams that run there.
                    let paced = now < self.began + self.route.target.mul_f64(PACED_PART);
                    if choice.spread {
                        self.spread(name.as_ref(), choice.key).await;
                    }
                    if !paced {
                        return Ok(choice);
                    }
                    time::sleep(PACED).await;
                    self.story.paced += PACED;
                }
                Place::Nowhere | Place::Load if now >= until => {
                    return Err(match place {
                        Place::Load => Fault::AdapterLoad,
                        _ => Fault::NoEngine,
                    });
                }
                Place::Nowhere => time::sleep(Duration::from_millis(50)).await,
                Place::Load => {
                    let Some(name) = &name else {
                        return Err(Fault::NoEngine);
                    };
                    if waiting.is_none() {
                        let it = Waiting::new(&self.gateway, name);
                        if it.wait.count.get() > WAITERS {
                            return Err(Fault::Overload);
                        }
                        waiting = Some(it);
                    }
                    let Some(waiting) = &waiting else { continue };
                    self.ask(name, waiting, now).await;
                    let there = waiting.wait.there.notified();
                    let pause = ASK_AGAIN.min(until.saturating_sub(now));
                    let _ = time::timeout(pause, there).await;
                    self.story.load += clock::now().saturating_sub(now);
                }
            }
        }
    }

    /// Asks for a load, unless another request has just done so.
    async fn ask(&self, name: &Name, waiting: &Waiting, now: Time) {
        let wait = &waiting.wait;
        if wait.asked.get().is_some_and(|it| it + ASK_AGAIN > now) {
            return;
        }
        wait.asked.set(Some(now));
        let asks = wait.asks.get();
        wait.asks.set(asks + 1);
        let nth = usize::try_from(asks / ASKS).unwrap_or(0);
        let waiting = u32::try_from(wait.count.get()).unwrap_or(u32::MAX);
        if !self
            .gossip
            .want(&self.service, name, None, waiting, nth)
            .await
        {
            log::debug!("nobody orders engines that could load {name}");
        }
    }

    /// Asks for one more copy of an adapter that is in demand, of one host after the other.
    async fn spread(&self, name: Option<&Name>, from: Key) {
        let Some(name) = name.filter(|it| fleet::listing::is_adapter(it)) else {
            return;
        };
        let now = clock::now();
        let Some((nth, uses)) = self.gateway.spreads(name, from, now) else {
            return;
        };
        self.gossip
            .want(&self.service, name, Some(uses), 0, nth)
            .await;
    }

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
        run.expected = choice.wait;
        if run.unread > 0 {
            self.gossip.tell_sent(&instance, run.unread);
        }
        let idle = if self.route.kind.repeats() {
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
        let stage = Stage::Head(choice.wait);
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
        let mark = self.gateway.dialect.mark(answer.headers());
        let status = answer.status();
        let key = run.key;
        if status == StatusCode::MISDIRECTED_REQUEST && !mark.sealed {
            self.misdirected(key, instance, &mark);
            self.story.outcome("421 not held");
            run.finish(answer).await;
            return Sent::NotRun(Some(status));
        }
        if mark.not_run {
            self.story.outcome("not run");
            run.finish(answer).await;
            return Sent::NotRun(Some(status));
        }
        let other = mark.id.as_ref().is_some_and(|it| *it != self.envelope.id);
        if other || !mark.sealed {
            log::info!(
                event = "answer-refused", request = &*self.envelope.id, engine = instance,
                status = status.as_u16(), sealed = mark.sealed, id = mark.id.as_deref().unwrap_or("-");
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

    /// Passes an answer back, or returns the job if it is to be sent again.
    async fn answer(
        mut self,
        mut head: response::Parts,
        body: Incoming,
        mark: &Mark,
        run: Run,
    ) -> Result<Response<Body>, Self> {
        let key = run.key;
        debug_assert!(mark.sealed);
        if head.status.is_server_error() {
            self.failed(key);
            self.ran = true;
            let again = self.route.kind.repeats()
                && self.tried.len() < self.route.attempts
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
        if head.status.is_success() && self.route.kind.streams() {
            head.headers.remove(CONTENT_LENGTH);
            let relay = Relay::new(self, body, run, kept);
            return Ok(Response::from_parts(head, relay.body()));
        }
        let whole = wait(&self.waiter(), key, Stage::Next, body.collect()).await;
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
                if self.route.kind.repeats() && self.tried.len() < self.route.attempts {
                    return Err(self);
                }
                Ok(self.fail(Fault::UpstreamLost))
            }
            Waited::Late => Ok(self.fail(Fault::Timeout)),
        }
    }

    fn target(&self, key: Key) -> Option<(std::net::SocketAddr, Arc<str>, Option<u64>)> {
        let table = self.gateway.table.borrow();
        let engine = table.get(key)?;
        let name = self.envelope.name.as_deref();
        let newest = name.and_then(|it| table.newest(it));
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
        let stamp = Stamp {
            left: self.deadline.saturating_sub(clock::now()),
            instance,
            version,
            priority: self.envelope.name.as_ref().map(|_| self.route.priority),
            last_event,
        };
        self.gateway.dialect.stamp(request.headers_mut(), &stamp);
        request
    }

    fn misdirected(&mut self, key: Key, instance: &str, mark: &Mark) {
        let other = mark.instance.as_ref().is_some_and(|it| it != instance);
        let mut table = self.gateway.table.borrow_mut();
        let Some(engine) = table.get_mut(key) else {
            return;
        };
        if other {
            log::info!(event = "engine-stranger", engine = instance; "another has the address of engine {instance}");
            engine.circuit.unreachable(clock::now());
            return;
        }
        if let Some(name) = &self.envelope.name {
            let expected = engine.misses(name, clock::now());
            log::debug!("engine {instance}: doesn't hold {name}, expected {expected}");
            if expected {
                self.gateway.metrics.load("early");
                self.gateway.loader.borrow_mut().arrived(false);
                // It is on its way: the next try goes there again.
                self.tried.retain(|it| *it != key);
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
        if belief.is_some_and(fleet::engine::Belief::confirm) {
            self.gateway.metrics.load("in-time");
            self.gateway.loader.borrow_mut().arrived(true);
            self.gateway.wake(name);
        }
    }

    fn unreachable(&mut self, key: Key) {
        if let Some(engine) = self.gateway.table.borrow_mut().get_mut(key) {
            engine.circuit.unreachable(clock::now());
            self.gateway.pool.forget(engine.listing.addr);
        }
    }

    pub(crate) fn failed(&self, key: Key) {
        if let Some(engine) = self.gateway.table.borrow_mut().get_mut(key) {
            engine.circuit.failure(clock::now());
        }
    }

    pub(crate) fn succeeded(&self, key: Key) {
        if let Some(engine) = self.gateway.table.borrow_mut().get_mut(key) {
            engine.circuit.success();
            engine.answered = clock::now();
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

    /// Whether a stream may be resumed at one more engine.
    pub(crate) fn may_resume(&self) -> bool {
        self.route.kind == Kind::Resumable
            && self.tried.len() < self.route.attempts
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

/// One more request that waits for an adapter.
struct Waiting {
    gateway: Rc<Gateway>,
    name: Name,
    wait: Rc<crate::gateway::Wait>,
}

impl Waiting {
    fn new(gateway: &Rc<Gateway>, name: &Name) -> Self {
        let wait = gateway.wait(name);
        wait.count.set(wait.count.get() + 1);
        Self {
            gateway: gateway.clone(),
            name: name.clone(),
            wait,
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.wait.count.set(self.wait.count.get() - 1);
        self.gateway.waited(&self.name);
    }
}

impl Run {
    fn begin(gateway: &Rc<Gateway>, key: Key, name: Option<Name>, chain: &Chain) -> Self {
        let now = clock::now();
        let mut unread = 0;
        if let Some(engine) = gateway.table.borrow_mut().get_mut(key) {
            unread = chain.tokens().saturating_sub(engine.kept.tokens(chain));
            engine.own.running += 1;
            engine.own.unread += unread;
            engine.reads(unread, now);
            engine.kept.read(chain);
            if let Some(belief) = name.as_ref().and_then(|it| engine.held.get_mut(it)) {
                belief.running += 1;
                belief.use_it(now, 1);
            }
        }
        if let Some(name) = &name {
            gateway.peers.borrow_mut().began(key, name);
        }
        Self {
            job: gateway.clone(),
            key,
            name,
            unread,
            channel: None,
            sent: now,
            expected: Duration::ZERO,
        }
    }

    /// Notes that the first event is there.
    pub(crate) fn first_event(&mut self) {
        let now = clock::now();
        if let Some(engine) = self.job.table.borrow_mut().get_mut(self.key) {
            engine.own.unread = engine.own.unread.saturating_sub(self.unread);
            if self.unread > 0 {
                engine.first_event(self.sent, self.expected, now);
            }
        }
        self.unread = 0;
    }

    /// Keeps the connection after the whole answer was read.
    pub(crate) fn keep(mut self, named: Option<Duration>) {
        if let Some(channel) = self.channel.take() {
            channel.keep(named);
        }
    }

    /// Reads an answer that isn't passed on, so that the connection can be kept.
    async fn finish(self, answer: Response<Incoming>) {
        let within = Duration::from_millis(50);
        if let Ok(Ok((head, _))) = time::timeout(within, call::read(answer)).await {
            self.keep(call::kept_for(&head.headers));
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut table = self.job.table.borrow_mut();
        let Some(engine) = table.get_mut(self.key) else {
            return;
        };
        engine.own.running = engine.own.running.saturating_sub(1);
        engine.own.unread = engine.own.unread.saturating_sub(self.unread);
        if let Some(belief) = self.name.as_ref().and_then(|it| engine.held.get_mut(it)) {
            belief.running = belief.running.saturating_sub(1);
        }
    }
}

/// What a wait for an engine needs to know of a request.
pub(crate) struct Waiter {
    gateway: Rc<Gateway>,
    route: Arc<Route>,
    deadline: Time,
}

/// What came of a wait for an engine.
pub(crate) enum Waited<T> {
    There(T),
    /// The engine says nothing to anyone.
    Hung,
    /// The time is over.
    Late,
}

/// Waits for an engine. A request that may be repeated is taken from one that hangs.
pub(crate) async fn wait<T>(
    job: &Waiter,
    key: Key,
    stage: Stage,
    what: impl Future<Output = T>,
) -> Waited<T> {
    let began = clock::now();
    let end = job.deadline + LATE_ANSWER;
    tokio::pin!(what);
    loop {
        let now = clock::now();
        if now >= end {
            return Waited::Late;
        }
        let answered = job.gateway.table.borrow().get(key).map(|it| it.answered);
        let silence = answered.map_or(Duration::MAX, |it| now.saturating_sub(it));
        let waited = now.saturating_sub(began);
        let step = match stall::judge(&job.route, stage, waited, silence) {
            Verdict::Hung => return Waited::Hung,
            Verdict::Wait(step) => step.min(end.saturating_sub(now)),
        };
        if let Ok(it) = time::timeout(step, &mut what).await {
            return Waited::There(it);
        }
    }
}
