//! Handles calls to plain services. A call that may not be repeated is sent at most once. With an
//! idempotency key it is recorded before it is sent.

mod keyed;

use std::{sync::Arc, time::Instant};

use config::service::{Kind as ServiceKind, OutagePolicy, Repeat, Retry};
use kernel::{
    fault::{Execution, Fault, Kind},
    name::{Service, Upstream},
    service::Instance,
};
use serve::{Request, Responder, Response};
use upstream::{Cancellation, plain};

use crate::{
    envelope,
    flow::{
        Admitted, RETRY_AFTER, SERVED_BY, check_dependencies, final_fault, if_may_have_run, refuse,
        with_served_by,
    },
    host::{Host, elapsed_millis},
    host_list::ActiveCall,
    retries::Next,
};

/// Request headers that this host replaces.
const OWN_HEADERS: [&str; 2] = [envelope::REQUEST_ID, envelope::DEADLINE];

/// Header with the name of the instance that answered.
const UPSTREAM: &str = "x-upstream";

/// Response headers that this host replaces. A caller takes their values as those of this host.
const OWN_RESPONSE_HEADERS: [&str; 3] = [envelope::REQUEST_ID, SERVED_BY, UPSTREAM];

/// A call in progress.
struct Exchange<'a> {
    host: &'a Arc<Host>,
    admitted: &'a Admitted,
    service: Service,
    retry: Retry,
    outage: OutagePolicy,
    request: &'a Request,
    target: String,
    deadline: Instant,
}

/// Handles a call to the plain service `name`. `rest` is the remaining path.
pub fn run(
    host: &Arc<Host>,
    admitted: &Admitted,
    (name, rest): (&str, &str),
    request: &Request,
    responder: Responder,
) {
    let result = prepare(host, admitted, (name, rest), request).and_then(Exchange::run);
    match result {
        Ok(response) => responder.send(with_served_by(host, response)),
        Err(fault) => refuse(host, Some(&admitted.envelope), &fault, responder),
    }
}

fn prepare<'a>(
    host: &'a Arc<Host>,
    admitted: &'a Admitted,
    (name, rest): (&str, &str),
    request: &'a Request,
) -> Result<Exchange<'a>, Fault> {
    let unknown = || {
        Fault::new(
            Kind::UnknownService,
            format!("there is no plain service {name:?}"),
        )
    };
    let service: Service = name.parse().map_err(|_| unknown())?;
    let declaration = admitted.document.service(&service).ok_or_else(unknown)?;
    if declaration.kind != ServiceKind::Plain {
        return Err(unknown());
    }
    check_dependencies(host, &admitted.document, &service)?;
    let deadline = admitted.deadline(declaration);
    let target = match &request.query {
        Some(query) => format!("{rest}?{query}"),
        None => rest.to_owned(),
    };
    Ok(Exchange {
        host,
        admitted,
        service,
        retry: declaration.retry,
        outage: declaration.journal_outage,
        request,
        target,
        deadline,
    })
}

impl Exchange<'_> {
    fn run(self) -> Result<Response, Fault> {
        let Some(key) = self.admitted.envelope.key.clone() else {
            return self.send();
        };
        // A call that may be repeated needs no record.
        if self.retry.repeat == Repeat::Allowed {
            return self.send();
        }
        self.keyed(key)
    }

    fn trace(&self, text: impl Into<String>) {
        self.host.trace_step(&self.admitted.envelope.id, text);
    }

    /// Sends the call until an instance answers or no further attempt is allowed.
    fn send(&self) -> Result<Response, Fault> {
        self.host.retries.earn(&self.service, self.retry);
        let mut attempted: Vec<Upstream> = Vec::new();
        // The fault of an attempt that may have run takes precedence over later faults.
        let mut executed_fault: Option<Fault> = None;
        for attempt in 1.. {
            let now = self.host.clock.now();
            let domain = &self.host.settings.domain;
            let selected = self
                .host
                .host_list
                .pick(&self.service, domain, &attempted, now);
            let Some((instance, active)) = selected else {
                return Err(final_fault(executed_fault, self.no_instance(&attempted)));
            };
            let fault = match self.send_to(&instance, &active) {
                Ok(response) => return Ok(response),
                Err(it) => it,
            };
            attempted.push(instance.name);
            let execution = fault.kind.answer().execution;
            if execution != Execution::NotRun && self.retry.repeat != Repeat::Allowed {
                return Err(final_fault(executed_fault, fault));
            }
            let now = self.host.clock.now();
            let retries = &self.host.retries;
            let next = retries.decide(&self.service, attempt, self.deadline, now);
            let Next::Retry(pause) = next else {
                return Err(final_fault(executed_fault, fault));
            };
            executed_fault = if_may_have_run(fault).or(executed_fault);
            self.host.metrics.count_retry(&self.service);
            std::thread::sleep(pause);
        }
        unreachable!("the loop ends by returning")
    }

    fn send_to(&self, instance: &Instance, active: &ActiveCall) -> Result<Response, Fault> {
        self.trace(format!("sent to {}", instance.name));
        let sent = self.host.plain.call(self.forward(instance));
        let fault = match sent {
            Ok(answer) => {
                self.trace(format!("{} answered {}", instance.name, answer.status));
                active.succeeded();
                return Ok(self.response(answer, &instance.name));
            }
            Err(it) => it,
        };
        self.trace(format!("{} failed: {fault}", instance.name));
        if fault.kind == Kind::UpstreamLeaving {
            self.host.host_list.mark_leaving(instance);
        } else {
            active.failed(self.host.clock.now());
        }
        Err(fault)
    }

    fn forward(&self, instance: &Instance) -> plain::Request<'_> {
        let headers = self.request.headers.iter();
        let mut headers: Vec<(String, String)> = headers
            .filter(|(name, _)| !OWN_HEADERS.contains(&name.to_ascii_lowercase().as_str()))
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        let now = self.host.clock.now();
        let remaining = elapsed_millis(now, self.deadline);
        headers.push((
            envelope::REQUEST_ID.to_owned(),
            self.admitted.envelope.id.to_string(),
        ));
        headers.push((envelope::DEADLINE.to_owned(), remaining.to_string()));
        plain::Request {
            address: instance.address,
            method: &self.request.method,
            target: &self.target,
            headers,
            body: self.request.body.clone(),
            start_by: self.deadline,
            deadline: self.deadline,
            // The call continues if the caller disconnects, so that its outcome becomes known.
            cancellation: Cancellation::never(),
        }
    }

    fn no_instance(&self, attempted: &[Upstream]) -> Fault {
        let detail = format!(
            "service {} has no live instance besides the {} that refused",
            self.service,
            attempted.len()
        );
        Fault::new(Kind::NoUpstream, detail).with_retry_after(RETRY_AFTER)
    }

    fn response(&self, answer: plain::Response, instance: &Upstream) -> Response {
        let mut headers = answer.headers;
        headers.retain(|(name, _)| !OWN_RESPONSE_HEADERS.contains(&name.as_str()));
        headers.push((
            envelope::REQUEST_ID.to_owned(),
            self.admitted.envelope.id.to_string(),
        ));
        headers.push((UPSTREAM.to_owned(), instance.to_string()));
        Response {
            status: answer.status,
            headers,
            body: answer.body,
        }
    }
}
