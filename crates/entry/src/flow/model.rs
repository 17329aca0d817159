//! Handles requests to model services: obtains a permit, streams from the engine and answers the
//! caller.

mod relay;

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

use self::relay::Relay;
use crate::{
    chat::{self, Call, Delivery},
    flow::{
        Admitted, RETRY_AFTER, check_dependencies, final_fault, if_may_have_run,
        placement::{self, Placement, Search},
        refuse,
    },
    host::{Host, elapsed_millis},
    retries::Next,
};

/// A request in progress.
struct Exchange<'a> {
    host: &'a Arc<Host>,
    admitted: &'a Admitted,
    call: Call,
    target: Target,
    class: Class,
    deadline: Instant,
    labels: Labels,
}

/// The result of one attempt.
enum Attempt {
    /// The caller has received the response or has disconnected.
    Done,
    /// Nothing was sent to the caller, and the request may be retried.
    Retry {
        fault: Fault,
        engine: Upstream,
        responder: Responder,
    },
    /// Nothing was sent to the caller, and the request may not be retried.
    Failed { fault: Fault, responder: Responder },
}

/// Handles a request to a model service.
pub fn run(host: &Arc<Host>, admitted: &Admitted, body: &[u8], responder: Responder) {
    match prepare(host, admitted, body) {
        Ok(exchange) => exchange.run(responder),
        Err(fault) => refuse(host, Some(&admitted.envelope), &fault, responder),
    }
}

fn prepare<'a>(
    host: &'a Arc<Host>,
    admitted: &'a Admitted,
    body: &[u8],
) -> Result<Exchange<'a>, Fault> {
    let call = chat::parse(body)?;
    let document = &admitted.document;
    let name = &call.reference.service;
    let target = document.resolve(&call.reference)?;
    let service = document
        .service(name)
        .ok_or_else(|| Fault::new(Kind::UnknownService, format!("there is no service {name}")))?;
    check_dependencies(host, document, name)?;
    let class = admitted.class(service);
    let labels = Labels {
        tenant: admitted.envelope.tenant.clone(),
        class,
        service: name.clone(),
    };
    Ok(Exchange {
        deadline: admitted.deadline(service),
        host,
        admitted,
        call,
        target,
        class,
        labels,
    })
}

impl Exchange<'_> {
    fn run(self, mut responder: Responder) {
        let service = &self.labels.service;
        self.host.retries.earn(service, self.target.retry);
        let mut refused_by = Vec::new();
        // The fault of an attempt that may have run takes precedence over later faults.
        let mut executed_fault: Option<Fault> = None;
        for attempt in 1.. {
            let placement = match self.search(&refused_by) {
                Ok(it) => it,
                Err(placement::Failure::Fault(fault)) => {
                    return self.refuse(&final_fault(executed_fault, fault), responder);
                }
                Err(placement::Failure::CallerGone) => return self.finish_cancelled(),
            };
            self.host
                .metrics
                .record_load_stall(&self.labels, placement.permit.load_stall);
            self.host
                .metrics
                .record_queue_wait(&self.labels, placement.permit.queue_wait);
            match self.attempt(&placement, responder) {
                Attempt::Done => return,
                Attempt::Failed { fault, responder } => {
                    return self.refuse(&final_fault(executed_fault, fault), responder);
                }
                Attempt::Retry {
                    fault,
                    engine,
                    responder: returned,
                } => {
                    self.trace(format!("attempt {attempt} on {engine} ended with {fault}"));
                    let now = self.host.clock.now();
                    let next = self
                        .host
                        .retries
                        .decide(service, attempt, self.deadline, now);
                    let Next::Retry(pause) = next else {
                        return self.refuse(&final_fault(executed_fault, fault), returned);
                    };
                    self.host.metrics.count_retry(service);
                    std::thread::sleep(pause);
                    refused_by.push(engine);
                    executed_fault = if_may_have_run(fault).or(executed_fault);
                    responder = returned;
                }
            }
        }
    }

    fn refuse(&self, fault: &Fault, responder: Responder) {
        self.record_metrics(metrics::Outcome::Refused);
        refuse(self.host, Some(&self.admitted.envelope), fault, responder);
    }

    fn finish_cancelled(&self) {
        self.record_metrics(metrics::Outcome::Cancelled);
        self.trace("the caller has gone");
    }

    fn record_metrics(&self, outcome: metrics::Outcome) {
        let now = self.host.clock.now();
        let elapsed = now.saturating_duration_since(self.admitted.received_at);
        self.host
            .metrics
            .record_request(&self.labels, outcome, elapsed);
    }

    fn trace(&self, text: impl Into<String>) {
        self.host.trace_step(&self.admitted.envelope.id, text);
    }

    fn search(&self, refused_by: &[Upstream]) -> Result<Placement, placement::Failure> {
        let search = Search {
            host: self.host,
            request: self.permit_request(),
            id: &self.admitted.envelope.id,
            deadline: self.deadline,
            caller: &self.admitted.caller,
            refused_by,
        };
        search.run()
    }

    fn permit_request(&self) -> Request {
        let now = self.host.clock.now();
        Request {
            request: self.admitted.envelope.id.clone(),
            holder: self.host.me.clone(),
            reference: self.call.reference.clone(),
            model: self.target.model.clone(),
            tenant: self.admitted.envelope.tenant.clone(),
            class: self.class,
            remaining: self.deadline.saturating_duration_since(now),
            prefix: self.call.prefix_hash,
            max_tokens: self.call.max_tokens,
        }
    }

    fn attempt(&self, placement: &Placement, responder: Responder) -> Attempt {
        let engine = placement.permit.upstream.clone();
        if self.host.clock.now() >= placement.start_by() {
            placement::release(self.host, placement, Outcome::Unused);
            let fault = Fault::new(
                Kind::Overloaded,
                format!("the permit on {engine} was void before it could be used"),
            );
            return Attempt::Retry {
                fault: fault.with_retry_after(RETRY_AFTER),
                engine,
                responder,
            };
        }
        match self.start(placement) {
            Ok(stream) => self.deliver(placement, stream, responder),
            Err(fault) => self.handle_failure(placement, fault, responder),
        }
    }

    fn start(&self, placement: &Placement) -> Result<engine::Stream, Fault> {
        let id = self.host.attempt_id(&self.admitted.envelope.id);
        self.trace(format!(
            "sent to {} as {id} for {}",
            placement.permit.upstream, placement.permit.loaded
        ));
        let caller = self.admitted.caller.clone();
        self.host.engines.start(&engine::Request {
            address: placement.permit.address,
            loaded: &placement.permit.loaded,
            body: &self.call.body,
            id: &id,
            priority: priority(self.class),
            start_by: placement.start_by().min(self.deadline),
            deadline: self.deadline,
            cancellation: Cancellation::new(move || caller.is_disconnected()),
        })
    }

    /// Handles a failed attempt of which nothing was sent to the caller.
    fn handle_failure(&self, placement: &Placement, fault: Fault, responder: Responder) -> Attempt {
        let execution = fault.kind.answer().execution;
        let outcome = match execution {
            Execution::NotRun if fault.kind == Kind::UpstreamLeaving => Outcome::Leaving,
            Execution::NotRun => Outcome::Refused,
            Execution::Ran | Execution::Unknown => Outcome::Interrupted,
        };
        placement::release(self.host, placement, outcome);
        let engine = placement.permit.upstream.clone();
        let may_repeat =
            execution == Execution::NotRun || self.target.retry.repeat == Repeat::Allowed;
        if may_repeat && self.host.clock.now() < self.deadline {
            return Attempt::Retry {
                fault,
                engine,
                responder,
            };
        }
        Attempt::Failed { fault, responder }
    }

    fn deliver(
        &self,
        placement: &Placement,
        mut stream: engine::Stream,
        responder: Responder,
    ) -> Attempt {
        // Nothing is sent to the caller before the first chunk, because sending fixes the status
        // code.
        let first = match stream.next() {
            engine::Item::Chunk { index, json } => match chat::parse_chunk(&json) {
                Ok(chunk) => (index, chunk),
                Err(fault) => return self.handle_failure(placement, fault, responder),
            },
            engine::Item::End => {
                let fault = Fault::new(Kind::BadAnswer, "the engine's answer has no content");
                return self.handle_failure(placement, fault, responder);
            }
            engine::Item::Failed(fault) => return self.handle_failure(placement, fault, responder),
        };
        let now = self.host.clock.now();
        let elapsed = now.saturating_duration_since(self.admitted.received_at);
        self.host.metrics.record_first_token(&self.labels, elapsed);
        self.trace("first token");
        let relay = Relay::new(self, placement, stream, now);
        match self.call.delivery {
            Delivery::Streamed => relay.stream(first, responder),
            Delivery::Whole => relay.send_whole(&first.1, responder),
        }
    }

    fn headers(&self, placement: &Placement, content_type: &str) -> Vec<(String, String)> {
        let field = |name: &str, value: String| (name.to_owned(), value);
        vec![
            field("content-type", content_type.to_owned()),
            field("x-request-id", self.admitted.envelope.id.to_string()),
            field("x-adapter", self.call.reference.to_string()),
            field("x-upstream", placement.permit.upstream.to_string()),
            field(
                "x-load-stall-ms",
                placement.permit.load_stall.as_millis().to_string(),
            ),
        ]
    }

    fn finish(&self, placement: &Placement, outcome: Outcome, text: &str) -> Attempt {
        placement::release(self.host, placement, outcome);
        self.record_metrics(match outcome {
            Outcome::Completed => metrics::Outcome::Completed,
            Outcome::Cancelled => metrics::Outcome::Cancelled,
            Outcome::Unused | Outcome::Refused | Outcome::Leaving | Outcome::Interrupted => {
                metrics::Outcome::Interrupted
            }
        });
        self.trace(text);
        let elapsed = elapsed_millis(self.admitted.received_at, self.host.clock.now());
        log::debug!(target: "entry", "Request {} ended after {elapsed} ms: {text}.", self.admitted.envelope.id);
        Attempt::Done
    }
}

/// Returns the priority on the engine, which runs requests with lower numbers first.
fn priority(class: Class) -> i32 {
    match class {
        Class::Interactive => 0,
        Class::Standard => 1,
        Class::Background => 2,
    }
}
