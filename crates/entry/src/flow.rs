//! The way of a request through this host.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use config::{Document, revision::Number};
use kernel::{
    fault::{Execution, Fault, Kind},
    name::{Service, Tenant},
    request::Class,
};
use serve::{Caller, Request, Responder, Response};

use crate::{
    envelope::{self, Envelope},
    host::Host,
    readiness::Stage,
    running,
};

pub mod model;
pub mod place;
pub mod plain;

/// When to come back if nothing better is known.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The longest deadline that a request may have.
pub const MAX_DEADLINE: Duration = Duration::from_mins(10);

/// A request that was admitted, with all that its way needs to know.
pub struct Admitted {
    /// What its headers say.
    pub envelope: Envelope,
    /// The text that it was admitted under.
    pub text: Document,
    /// The revision of that text.
    pub number: Number,
    /// When it arrived.
    pub arrived: Instant,
    /// Whether the caller is still there.
    pub caller: Caller,
    /// Counts the request for as long as it runs.
    _running: running::Request,
}

impl Admitted {
    /// The class: the caller's or the service's.
    pub fn class(&self, service: &config::Service) -> Class {
        self.envelope.class.unwrap_or(service.class)
    }

    /// When the request has to be answered.
    pub fn deadline(&self, service: &config::Service) -> Instant {
        let span = self.envelope.deadline.unwrap_or(service.deadline);
        self.arrived + span.min(MAX_DEADLINE)
    }
}

/// Admits a request, or answers it with the reason why not.
pub fn admit(
    host: &Arc<Host>,
    request: &Request,
    responder: Responder,
) -> Option<(Admitted, Responder)> {
    let header = |name: &str| request.headers.get(name);
    let envelope = match envelope::parse(header, || host.fresh_id()) {
        Ok(it) => it,
        Err(fault) => {
            refuse(host, None, &fault, responder);
            return None;
        }
    };
    if let Some(fault) = unready(host) {
        refuse(host, Some(&envelope), &fault, responder);
        return None;
    }
    let (number, text) = host.text();
    let tenant = &envelope.tenant;
    let running = match host.running.enter(tenant, text.tenant(tenant).in_flight) {
        Ok(it) => it,
        Err(limit) => {
            let fault = over_limit(tenant, limit);
            refuse(host, Some(&envelope), &fault, responder);
            return None;
        }
    };
    host.trace.begin(&envelope.id, request.received_at);
    host.step(
        &envelope.id,
        format!(
            "admitted under revision {number}, tenant {}",
            envelope.tenant
        ),
    );
    let admitted = Admitted {
        envelope,
        text,
        number,
        arrived: request.received_at,
        caller: responder.caller(),
        _running: running,
    };
    Some((admitted, responder))
}

fn over_limit(tenant: &Tenant, running::Limit(limit): running::Limit) -> Fault {
    let detail = format!("tenant {tenant} runs {limit} requests on this host, as many as it may");
    Fault::new(Kind::TenantLimit, detail).with_retry_after(RETRY_AFTER)
}

fn unready(host: &Host) -> Option<Fault> {
    match host.readiness.stage() {
        Stage::Ready => None,
        stage => {
            let detail = format!("host {} is {}", host.me.host, stage.as_str());
            Some(Fault::new(Kind::NotReady, detail).with_retry_after(RETRY_AFTER))
        }
    }
}

/// Checks that every service that `service` depends on can be served, directly or through others.
pub fn check_dependencies(host: &Host, text: &Document, service: &Service) -> Result<(), Fault> {
    let mut seen = vec![service.clone()];
    let mut next = 0;
    while next < seen.len() {
        let declared = text.service(&seen[next]);
        next += 1;
        for name in declared.iter().flat_map(|it| &it.depends_on) {
            if seen.contains(name) {
                continue;
            }
            if is_down(host, text, name) {
                let detail =
                    format!("service {service} depends on {name}, which has no live upstream");
                return Err(Fault::new(Kind::DependencyDown, detail).with_retry_after(RETRY_AFTER));
            }
            seen.push(name.clone());
        }
    }
    Ok(())
}

fn is_down(host: &Host, text: &Document, name: &Service) -> bool {
    match text.service(name).map(|it| &it.kind) {
        Some(config::service::Kind::Model(model)) => !host.listed.has_engine(model),
        Some(config::service::Kind::Plain) => !host.listed.has_plain(name),
        None => true,
    }
}

/// The fault, unless it says that nothing ran.
pub fn may_have_run(fault: Fault) -> Option<Fault> {
    (fault.kind.answer().execution != Execution::NotRun).then_some(fault)
}

/// What a caller is told after the last attempt: `not-run` only if no attempt ran.
pub fn told(begun: Option<Fault>, last: Fault) -> Fault {
    match begun {
        Some(begun) if last.kind.answer().execution == Execution::NotRun => begun,
        _ => last,
    }
}

/// Answers with a fault.
pub fn refuse(host: &Host, envelope: Option<&Envelope>, fault: &Fault, responder: Responder) {
    let id = envelope.map(|it| it.id.as_str());
    if let Some(it) = envelope {
        host.step(&it.id, format!("answered with {fault}"));
    }
    host.metrics.count_refusal(fault.kind);
    log::debug!(target: "entry", "Request {} ends with {fault}.", id.unwrap_or("without id"));
    responder.send(marked(host, serve::build_error_response(fault, id)));
}

/// Adds the header that names this host.
pub fn marked(host: &Host, mut response: Response) -> Response {
    response.headers.push(served_by(host));
    response
}

/// The header that names this host.
pub fn served_by(host: &Host) -> (String, String) {
    ("x-served-by".to_owned(), host.me.host.to_string())
}
