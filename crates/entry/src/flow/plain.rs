//! A call to a plain service. A call that may not be repeated is sent at most once; with an
//! idempotency key it is recorded before it is sent.

use std::{sync::Arc, time::Instant};

use config::service::{Kind as ServiceKind, Outage, Repeat};
use journal::{Outcome, Scope, record::Body};
use kernel::{
    fault::{Fault, Kind, Ran},
    name::{Service, Upstream},
    request::Key,
    service::Instance,
};
use platform::journal::{Begin, End, First};
use serve::{Request, Responder, Response};
use sha2::{Digest, Sha256};
use upstream::{
    Watch,
    plain::{self, Forward},
};

use crate::{
    envelope,
    flow::{Admitted, RETRY_AFTER, check_dependencies, marked, may_have_run, refuse, told},
    host::{Host, millis},
};

/// Times that one call is sent, if it may be.
const MAX_ATTEMPTS: usize = 3;

/// Headers that this host sets itself.
const OWN_HEADERS: [&str; 2] = [envelope::REQUEST_ID, envelope::DEADLINE];

/// Headers of an answer that belong to one request and not to the call.
const ANSWER_HEADERS: [&str; 1] = [envelope::REQUEST_ID];

/// Header that marks the answer of an earlier call with the same key.
const REPEATED: &str = "idempotent-replay";

/// What a call needs on its way.
struct Way<'a> {
    host: &'a Arc<Host>,
    admitted: &'a Admitted,
    service: Service,
    repeat: Repeat,
    outage: Outage,
    request: &'a Request,
    target: String,
    deadline: Instant,
}

/// Answers a call to the plain service `name`; `rest` is the path below it.
pub fn run(
    host: &Arc<Host>,
    admitted: &Admitted,
    (name, rest): (&str, &str),
    request: &Request,
    responder: Responder,
) {
    let result = prepare(host, admitted, (name, rest), request).and_then(Way::run);
    match result {
        Ok(response) => responder.send(marked(host, response)),
        Err(fault) => refuse(host, Some(&admitted.envelope), &fault, responder),
    }
}

fn prepare<'a>(
    host: &'a Arc<Host>,
    admitted: &'a Admitted,
    (name, rest): (&str, &str),
    request: &'a Request,
) -> Result<Way<'a>, Fault> {
    let unknown = || {
        Fault::new(
            Kind::UnknownService,
            format!("there is no plain service {name:?}"),
        )
    };
    let service: Service = name.parse().map_err(|_| unknown())?;
    let declared = admitted.text.service(&service).ok_or_else(unknown)?;
    if declared.kind != ServiceKind::Plain {
        return Err(unknown());
    }
    check_dependencies(host, &admitted.text, &service)?;
    let deadline = admitted.deadline(declared);
    let target = match &request.query {
        Some(query) => format!("{rest}?{query}"),
        None => rest.to_owned(),
    };
    Ok(Way {
        host,
        admitted,
        service,
        repeat: declared.retry.repeat,
        outage: declared.journal_outage,
        request,
        target,
        deadline,
    })
}

impl Way<'_> {
    fn run(self) -> Result<Response, Fault> {
        let Some(key) = self.admitted.envelope.key.clone() else {
            return self.send();
        };
        // A call that may be repeated needs no record.
        if self.repeat == Repeat::Allowed {
            return self.send();
        }
        self.keyed(key)
    }

    fn note(&self, what: impl Into<String>) {
        self.host.step(&self.admitted.envelope.id, what);
    }

    /// Records the call before it is made, and its end after it.
    fn keyed(&self, key: Key) -> Result<Response, Fault> {
        let scope = Scope {
            service: self.service.clone(),
            tenant: self.admitted.envelope.tenant.clone(),
            key,
        };
        let journal = &self.host.journal;
        match journal.begin(&scope, &self.fingerprint(), self.deadline) {
            Begin::First(first) => self.first(first),
            Begin::Repeat(outcome) => self.repeat(outcome),
            Begin::Running => Err(self
                .key_fault(Kind::KeyRunning, "is running")
                .after(RETRY_AFTER)),
            Begin::Unknown => Err(self.key_fault(Kind::KeyUnknown, "has no known outcome")),
            Begin::Reused => Err(self.key_fault(Kind::KeyReused, "was another call")),
            Begin::Down(outage) => self.unrecorded(&outage),
        }
    }

    fn key_fault(&self, kind: Kind, what: &str) -> Fault {
        let detail = format!(
            "the first call of service {} with this key {what}",
            self.service
        );
        Fault::new(kind, detail)
    }

    fn first(&self, first: First) -> Result<Response, Fault> {
        self.note("recorded as the first call with its key");
        let journal = &self.host.journal;
        let sent = self.send();
        let end = match &sent {
            Ok(it) => journal.finish(first, it.status, it.headers.clone(), &it.body),
            Err(fault) if fault.kind.answer().ran == Ran::NotRun => journal.release(first),
            Err(_) => journal.lose(first),
        };
        self.note(match end {
            End::Recorded => "the end of the call is recorded",
            End::Pending => "the end of the call waits to be recorded",
        });
        sent
    }

    /// Answers a repeat with the first call's answer.
    fn repeat(&self, outcome: Outcome) -> Result<Response, Fault> {
        self.note("answered with the first call's answer");
        let body = match outcome.body {
            Body::Whole(it) => it,
            Body::Omitted { bytes } => {
                let what = format!(
                    "was answered with {} and {bytes} bytes, too many to be kept",
                    outcome.status
                );
                return Err(self.key_fault(Kind::BadAnswer, &what));
            }
        };
        let mut headers = outcome.headers;
        headers.retain(|(name, _)| !ANSWER_HEADERS.contains(&name.as_str()));
        headers.push((REPEATED.to_owned(), "true".to_owned()));
        headers.push((
            envelope::REQUEST_ID.to_owned(),
            self.admitted.envelope.id.to_string(),
        ));
        Ok(Response {
            status: outcome.status,
            headers,
            body,
        })
    }

    /// The record can't be written: the service's declaration decides.
    fn unrecorded(&self, outage: &platform::journal::Outage) -> Result<Response, Fault> {
        if self.outage == Outage::ServeAtRisk {
            log::warn!(target: "journal", "A call of service {} is made without a record: {outage}.", self.service);
            self.note(format!("made without a record, as declared: {outage}"));
            return self.send();
        }
        Err(Fault::new(Kind::JournalDown, outage.to_string()).after(RETRY_AFTER))
    }

    /// What must be the same when a key is used again: everything that the service acts on.
    fn fingerprint(&self) -> [u8; 32] {
        let mut hash = Sha256::new();
        let tenant = self.admitted.envelope.tenant.as_str();
        let parts = [
            tenant.as_bytes(),
            self.request.method.as_bytes(),
            self.target.as_bytes(),
            &self.request.body,
        ];
        for part in parts {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        hash.finalize().into()
    }

    /// Sends the call until it is answered or may not be sent again.
    fn send(&self) -> Result<Response, Fault> {
        let mut tried: Vec<Upstream> = Vec::new();
        // An attempt that may have run decides what the caller is told, whatever follows it.
        let mut begun: Option<Fault> = None;
        loop {
            let domain = &self.host.settings.domain;
            let picked = self.host.listed.pick(&self.service, domain, &tried);
            let Some((instance, _running)) = picked else {
                return Err(told(begun, self.no_instance(&tried)));
            };
            self.note(format!("sent to {}", instance.name));
            let sent = self.host.plain.call(self.forward(&instance));
            let fault = match sent {
                Ok(answer) => {
                    self.note(format!("{} answered {}", instance.name, answer.status));
                    return Ok(self.response(answer, &instance.name));
                }
                Err(it) => it,
            };
            self.note(format!("{} failed: {fault}", instance.name));
            if fault.kind == Kind::UpstreamLeaving {
                self.host.listed.leaving(&instance.name);
            }
            tried.push(instance.name);
            let may_repeat =
                fault.kind.answer().ran == Ran::NotRun || self.repeat == Repeat::Allowed;
            let late = self.host.clock.now() >= self.deadline;
            if !may_repeat || late || tried.len() == MAX_ATTEMPTS {
                return Err(told(begun, fault));
            }
            begun = may_have_run(fault).or(begun);
        }
    }

    fn forward(&self, instance: &Instance) -> Forward<'_> {
        let headers = self.request.headers.iter();
        let mut headers: Vec<(String, String)> = headers
            .filter(|(name, _)| !OWN_HEADERS.contains(&name.to_ascii_lowercase().as_str()))
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        let now = self.host.clock.now();
        let remaining = millis(now, self.deadline);
        headers.push((
            envelope::REQUEST_ID.to_owned(),
            self.admitted.envelope.id.to_string(),
        ));
        headers.push((envelope::DEADLINE.to_owned(), remaining.to_string()));
        Forward {
            address: instance.address,
            method: &self.request.method,
            target: &self.target,
            headers,
            body: self.request.body.clone(),
            start_by: self.deadline,
            deadline: self.deadline,
            // A call whose caller has gone goes on, so that its outcome becomes known.
            watch: Watch::none(),
        }
    }

    fn no_instance(&self, tried: &[Upstream]) -> Fault {
        let detail = format!(
            "service {} has no live instance besides the {} that refused",
            self.service,
            tried.len()
        );
        Fault::new(Kind::NoUpstream, detail).after(RETRY_AFTER)
    }

    fn response(&self, answer: plain::Answer, instance: &Upstream) -> Response {
        let mut headers = answer.headers;
        headers.push((
            "x-request-id".to_owned(),
            self.admitted.envelope.id.to_string(),
        ));
        headers.push(("x-upstream".to_owned(), instance.to_string()));
        Response {
            status: answer.status,
            headers,
            body: answer.body,
        }
    }
}
