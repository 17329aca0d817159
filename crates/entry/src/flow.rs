//! The processing of a request, from admission to the response.

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
pub mod placement;
pub mod plain;

/// The retry delay suggested to the caller if no better estimate is available.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Header with the name of the host that answered.
pub const SERVED_BY: &str = "x-served-by";

/// The longest accepted deadline of a request.
pub const MAX_DEADLINE: Duration = Duration::from_mins(10);

/// An admitted request.
pub struct Admitted {
    /// The parsed headers.
    pub envelope: Envelope,
    /// The configuration under which the request was admitted.
    pub document: Document,
    /// The revision of the configuration.
    pub revision: Number,
    /// The time of arrival.
    pub received_at: Instant,
    /// Tells whether the caller is still connected.
    pub caller: Caller,
    /// Counts the request against its tenant's limit until dropped.
    _running: running::Request,
}

impl Admitted {
    /// Returns the priority class: the caller's if set, otherwise the service's default.
    pub fn class(&self, service: &config::Service) -> Class {
        self.envelope.class.unwrap_or(service.class)
    }

    /// Returns the time by which the request must be answered.
    pub fn deadline(&self, service: &config::Service) -> Instant {
        let time_limit = self.envelope.deadline.unwrap_or(service.deadline);
        self.received_at + time_limit.min(MAX_DEADLINE)
    }
}

/// Admits a request. Sends a refusal and returns `None` if the request is not admitted.
pub fn admit(
    host: &Arc<Host>,
    request: &Request,
    responder: Responder,
) -> Option<(Admitted, Responder)> {
    let header = |name: &str| request.headers.get(name);
    let envelope = match envelope::parse(header, || host.generate_id()) {
        Ok(it) => it,
        Err(fault) => {
            refuse(host, None, &fault, responder);
            return None;
        }
    };
    if let Some(fault) = readiness_fault(host) {
        refuse(host, Some(&envelope), &fault, responder);
        return None;
    }
    let (revision, document) = host.configuration();
    let tenant = &envelope.tenant;
    let running = match host
        .running
        .admit(tenant, document.tenant(tenant).in_flight)
    {
        Ok(it) => it,
        Err(limit) => {
            let fault = tenant_limit_fault(tenant, limit);
            refuse(host, Some(&envelope), &fault, responder);
            return None;
        }
    };
    host.trace.begin(&envelope.id, request.received_at);
    host.trace_step(
        &envelope.id,
        format!(
            "admitted under revision {revision}, tenant {}",
            envelope.tenant
        ),
    );
    let admitted = Admitted {
        envelope,
        document,
        revision,
        received_at: request.received_at,
        caller: responder.caller(),
        _running: running,
    };
    Some((admitted, responder))
}

fn tenant_limit_fault(tenant: &Tenant, running::Limit(limit): running::Limit) -> Fault {
    let detail = format!("tenant {tenant} runs {limit} requests on this host, as many as it may");
    Fault::new(Kind::TenantLimit, detail).with_retry_after(RETRY_AFTER)
}

fn readiness_fault(host: &Host) -> Option<Fault> {
    match host.readiness.stage() {
        Stage::Ready => None,
        stage => {
            let detail = format!("host {} is {}", host.me.host, stage.as_str());
            Some(Fault::new(Kind::NotReady, detail).with_retry_after(RETRY_AFTER))
        }
    }
}

/// Checks that every direct and indirect dependency of `service` has a live upstream.
pub fn check_dependencies(
    host: &Host,
    document: &Document,
    service: &Service,
) -> Result<(), Fault> {
    let mut visited = vec![service.clone()];
    let mut index = 0;
    while index < visited.len() {
        let declared = document.service(&visited[index]);
        index += 1;
        for name in declared.iter().flat_map(|it| &it.depends_on) {
            if visited.contains(name) {
                continue;
            }
            if is_down(host, document, name) {
                let detail =
                    format!("service {service} depends on {name}, which has no live upstream");
                return Err(Fault::new(Kind::DependencyDown, detail).with_retry_after(RETRY_AFTER));
            }
            visited.push(name.clone());
        }
    }
    Ok(())
}

fn is_down(host: &Host, document: &Document, name: &Service) -> bool {
    match document.service(name).map(|it| &it.kind) {
        Some(config::service::Kind::Model(model)) => !host.host_list.has_engine(model),
        Some(config::service::Kind::Plain) => !host.host_list.has_plain(name),
        None => true,
    }
}

/// Returns the fault if the request may have run, and `None` if it certainly did not.
pub fn if_may_have_run(fault: Fault) -> Option<Fault> {
    (fault.kind.answer().execution != Execution::NotRun).then_some(fault)
}

/// Selects the fault to return after the last attempt. The outcome is `not-run` only if no attempt
/// ran.
pub fn final_fault(executed_fault: Option<Fault>, last: Fault) -> Fault {
    match executed_fault {
        Some(executed_fault) if last.kind.answer().execution == Execution::NotRun => executed_fault,
        _ => last,
    }
}

/// Sends a fault as the response.
pub fn refuse(host: &Host, envelope: Option<&Envelope>, fault: &Fault, responder: Responder) {
    let id = envelope.map(|it| it.id.as_str());
    if let Some(it) = envelope {
        host.trace_step(&it.id, format!("answered with {fault}"));
    }
    host.metrics.count_refusal(fault.kind);
    log::debug!(target: "entry", "Request {} failed: {fault}.", id.unwrap_or("without id"));
    responder.send(with_served_by(host, serve::build_error_response(fault, id)));
}

/// Adds the header that names this host.
pub fn with_served_by(host: &Host, mut response: Response) -> Response {
    response.headers.push(served_by_header(host));
    response
}

/// Returns the header that names this host.
pub fn served_by_header(host: &Host) -> (String, String) {
    (SERVED_BY.to_owned(), host.me.host.to_string())
}
