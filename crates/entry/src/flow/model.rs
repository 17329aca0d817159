//! A request to a model service: a permit, a stream from the engine, an answer to the caller.

mod pump;

use std::{sync::Arc, time::Instant};

use config::{Target, service::Repeat};
use kernel::{
    fault::{Execution, Fault, Kind},
    name::Upstream,
    permit::{Outcome, Request},
    request::Class,
};
use serve::Responder;
use telemetry::metrics::{self, Labels};
use upstream::{Cancellation, engine};

use self::pump::Pump;
use crate::{
    chat::{self, Call, Delivery},
    flow::{
        Admitted, RETRY_AFTER, check_dependencies, may_have_run,
        place::{self, Place, Search},
        refuse, told,
    },
    host::{Host, millis},
    retries::Next,
};

/// What a request needs on its way.
struct Way<'a> {
    host: &'a Arc<Host>,
    admitted: &'a Admitted,
    call: Call,
    target: Target,
    class: Class,
    deadline: Instant,
    labels: Labels,
}

/// How one attempt ended.
enum Attempt {
    /// The caller has its answer, or has gone.
    Over,
    /// Nothing reached the caller; the request may be sent again.
    Again {
        fault: Fault,
        engine: Upstream,
        responder: Responder,
    },
    /// Nothing reached the caller; the request may not be sent again.
    Refused { fault: Fault, responder: Responder },
}

/// Answers a request to a model service.
pub fn run(host: &Arc<Host>, admitted: &Admitted, body: &[u8], responder: Responder) {
    match prepare(host, admitted, body) {
        Ok(way) => way.run(responder),
        Err(fault) => refuse(host, Some(&admitted.envelope), &fault, responder),
    }
}

fn prepare<'a>(host: &'a Arc<Host>, admitted: &'a Admitted, body: &[u8]) -> Result<Way<'a>, Fault> {
    let call = chat::parse(body)?;
    let text = &admitted.text;
    let name = &call.reference.service;
    let target = text.resolve(&call.reference)?;
    let declared = text
        .service(name)
        .ok_or_else(|| Fault::new(Kind::UnknownService, format!("there is no service {name}")))?;
    check_dependencies(host, text, name)?;
    let class = admitted.class(declared);
    let labels = Labels {
        tenant: admitted.envelope.tenant.clone(),
        class,
        service: name.clone(),
    };
    Ok(Way {
        deadline: admitted.deadline(declared),
        host,
        admitted,
        call,
        target,
        class,
        labels,
    })
}

impl Way<'_> {
    fn run(self, mut responder: Responder) {
        let service = &self.labels.service;
        self.host.retries.earn(service, self.target.retry);
        let mut avoid = Vec::new();
        // An attempt that may have run decides what the caller is told, whatever follows it.
        let mut begun: Option<Fault> = None;
        for attempt in 1.. {
            let place = match self.search(&avoid) {
                Ok(it) => it,
                Err(place::Failure::Fault(fault)) => {
                    return self.refuse(&told(begun, fault), responder);
                }
                Err(place::Failure::CallerGone) => return self.abandoned(),
            };
            self.host
                .metrics
                .record_load_stall(&self.labels, place.permit.load_stall);
            self.host
                .metrics
                .record_queue_wait(&self.labels, place.permit.queue_wait);
            match self.attempt(&place, responder) {
                Attempt::Over => return,
                Attempt::Refused { fault, responder } => {
                    return self.refuse(&told(begun, fault), responder);
                }
                Attempt::Again {
                    fault,
                    engine,
                    responder: back,
                } => {
                    self.note(format!("attempt {attempt} on {engine} ended with {fault}"));
                    let now = self.host.clock.now();
                    let next = self
                        .host
                        .retries
                        .decide(service, attempt, self.deadline, now);
                    let Next::Again(pause) = next else {
                        return self.refuse(&told(begun, fault), back);
                    };
                    self.host.metrics.count_retry(service);
                    std::thread::sleep(pause);
                    avoid.push(engine);
                    begun = may_have_run(fault).or(begun);
                    responder = back;
                }
            }
        }
    }

    fn refuse(&self, fault: &Fault, responder: Responder) {
        self.measure(metrics::Outcome::Refused);
        refuse(self.host, Some(&self.admitted.envelope), fault, responder);
    }

    fn abandoned(&self) {
        self.measure(metrics::Outcome::Cancelled);
        self.note("the caller has gone");
    }

    fn measure(&self, outcome: metrics::Outcome) {
        let now = self.host.clock.now();
        let elapsed = now.saturating_duration_since(self.admitted.arrived);
        self.host
            .metrics
            .record_request(&self.labels, outcome, elapsed);
    }

    fn note(&self, what: impl Into<String>) {
        self.host.step(&self.admitted.envelope.id, what);
    }

    fn search(&self, avoid: &[Upstream]) -> Result<Place, place::Failure> {
        let search = Search {
            host: self.host,
            ask: self.ask(),
            id: &self.admitted.envelope.id,
            deadline: self.deadline,
            caller: &self.admitted.caller,
            avoid,
        };
        search.run()
    }

    fn ask(&self) -> Request {
        let now = self.host.clock.now();
        Request {
            request: self.admitted.envelope.id.clone(),
            holder: self.host.me.clone(),
            reference: self.call.reference.clone(),
            model: self.target.model.clone(),
            tenant: self.admitted.envelope.tenant.clone(),
            class: self.class,
            remaining: self.deadline.saturating_duration_since(now),
            prefix: self.call.prefix,
            max_tokens: self.call.max_tokens,
        }
    }

    fn attempt(&self, place: &Place, responder: Responder) -> Attempt {
        let engine = place.permit.upstream.clone();
        if self.host.clock.now() >= place.start_by() {
            place::release(self.host, place, Outcome::Unused);
            let fault = Fault::new(
                Kind::Overloaded,
                format!("the permit on {engine} was void before it could be used"),
            );
            return Attempt::Again {
                fault: fault.with_retry_after(RETRY_AFTER),
                engine,
                responder,
            };
        }
        match self.start(place) {
            Ok(stream) => self.deliver(place, stream, responder),
            Err(fault) => self.failed(place, fault, responder),
        }
    }

    fn start(&self, place: &Place) -> Result<engine::Stream, Fault> {
        let id = self.host.attempt_id(&self.admitted.envelope.id);
        self.note(format!(
            "sent to {} as {id} for {}",
            place.permit.upstream, place.permit.loaded
        ));
        let caller = self.admitted.caller.clone();
        self.host.engines.start(&engine::Request {
            address: place.permit.address,
            loaded: &place.permit.loaded,
            body: &self.call.body,
            id: &id,
            priority: priority(self.class),
            start_by: place.start_by().min(self.deadline),
            deadline: self.deadline,
            cancellation: Cancellation::new(move || caller.is_disconnected()),
        })
    }

    /// An attempt of which nothing has reached the caller has failed.
    fn failed(&self, place: &Place, fault: Fault, responder: Responder) -> Attempt {
        let ran = fault.kind.answer().execution;
        let outcome = match ran {
            Execution::NotRun if fault.kind == Kind::UpstreamLeaving => Outcome::Leaving,
            Execution::NotRun => Outcome::Refused,
            Execution::Ran | Execution::Unknown => Outcome::Interrupted,
        };
        place::release(self.host, place, outcome);
        let engine = place.permit.upstream.clone();
        let may_repeat = ran == Execution::NotRun || self.target.retry.repeat == Repeat::Allowed;
        if may_repeat && self.host.clock.now() < self.deadline {
            return Attempt::Again {
                fault,
                engine,
                responder,
            };
        }
        Attempt::Refused { fault, responder }
    }

    fn deliver(&self, place: &Place, mut stream: engine::Stream, responder: Responder) -> Attempt {
        // Nothing is told to the caller before the first chunk: until then the status is open.
        let first = match stream.next() {
            engine::Item::Chunk { index, json } => match chat::chunk(&json) {
                Ok(chunk) => (index, chunk),
                Err(fault) => return self.failed(place, fault, responder),
            },
            engine::Item::End => {
                let fault = Fault::new(Kind::BadAnswer, "the engine's answer has no content");
                return self.failed(place, fault, responder);
            }
            engine::Item::Failed(fault) => return self.failed(place, fault, responder),
        };
        let now = self.host.clock.now();
        let elapsed = now.saturating_duration_since(self.admitted.arrived);
        self.host.metrics.record_first_token(&self.labels, elapsed);
        self.note("first token");
        let pump = Pump::new(self, place, stream, now);
        match self.call.delivery {
            Delivery::Streamed => pump.streamed(first, responder),
            Delivery::Whole => pump.whole(&first.1, responder),
        }
    }

    fn headers(&self, place: &Place, content_type: &str) -> Vec<(String, String)> {
        let field = |name: &str, value: String| (name.to_owned(), value);
        vec![
            field("content-type", content_type.to_owned()),
            field("x-request-id", self.admitted.envelope.id.to_string()),
            field("x-adapter", self.call.reference.to_string()),
            field("x-upstream", place.permit.upstream.to_string()),
            field(
                "x-load-stall-ms",
                place.permit.load_stall.as_millis().to_string(),
            ),
        ]
    }

    fn ended(&self, place: &Place, outcome: Outcome, what: &str) -> Attempt {
        place::release(self.host, place, outcome);
        self.measure(match outcome {
            Outcome::Completed => metrics::Outcome::Completed,
            Outcome::Cancelled => metrics::Outcome::Cancelled,
            Outcome::Unused | Outcome::Refused | Outcome::Leaving | Outcome::Interrupted => {
                metrics::Outcome::Interrupted
            }
        });
        self.note(what);
        let elapsed = millis(self.admitted.arrived, self.host.clock.now());
        log::debug!(target: "entry", "Request {} ended after {elapsed} ms: {what}.", self.admitted.envelope.id);
        Attempt::Over
    }
}

/// Engines run lower numbers first.
fn priority(class: Class) -> i32 {
    match class {
        Class::Interactive => 0,
        Class::Standard => 1,
        Class::Background => 2,
    }
}
