//! Handles calls with an idempotency key.

use config::service::OutagePolicy;
use journal::{Outcome, Scope, record::Body};
use kernel::{
    fault::{Execution, Fault, Kind},
    request::Key,
};
use objects::journal::{Decision, Durability, StartedCall};
use serve::Response;
use sha2::{Digest, Sha256};

use super::Exchange;
use crate::{envelope, flow::RETRY_AFTER};

/// Response headers that belong to a single request and are not replayed.
const PER_REQUEST_HEADERS: [&str; 1] = [envelope::REQUEST_ID];

/// The header that marks a replayed response.
const REPLAY_HEADER: &str = "idempotent-replay";

impl Exchange<'_> {
    /// Records the call before sending it, and its outcome afterwards.
    pub(super) fn keyed(&self, key: Key) -> Result<Response, Fault> {
        let scope = Scope {
            service: self.service.clone(),
            tenant: self.admitted.envelope.tenant.clone(),
            key,
        };
        let journal = &self.host.journal;
        match journal.begin(&scope, &self.fingerprint(), self.deadline) {
            Decision::First(first) => self.run_first(first),
            Decision::Repeat(outcome) => self.replay(outcome),
            Decision::Running => Err(self
                .key_fault(Kind::KeyRunning, "is running")
                .with_retry_after(RETRY_AFTER)),
            Decision::OutcomeUnknown => {
                Err(self.key_fault(Kind::KeyUnknown, "has no known outcome"))
            }
            Decision::KeyReused => Err(self.key_fault(Kind::KeyReused, "was another call")),
            Decision::Unavailable(outage) => self.handle_outage(&outage),
        }
    }

    fn key_fault(&self, kind: Kind, state: &str) -> Fault {
        let detail = format!(
            "the first call of service {} with this key {state}",
            self.service
        );
        Fault::new(kind, detail)
    }

    fn run_first(&self, first: StartedCall) -> Result<Response, Fault> {
        self.trace("recorded as the first call with its key");
        let journal = &self.host.journal;
        // Recording takes time, and other hosts consider the call ended soon after its deadline.
        if self.host.clock.now() >= self.deadline {
            journal.release(first);
            let detail = "the deadline passed while the call was recorded";
            return Err(Fault::new(Kind::DeadlineBeforeStart, detail).with_retry_after(RETRY_AFTER));
        }
        let sent = self.send();
        let end = match &sent {
            Ok(it) => journal.finish(first, it.status, it.headers.clone(), &it.body),
            Err(fault) if fault.kind.answer().execution == Execution::NotRun => {
                journal.release(first)
            }
            Err(_) => journal.finish_unknown(first),
        };
        self.trace(match end {
            Durability::Recorded => "the end of the call is recorded",
            Durability::Pending => "the end of the call waits to be recorded",
        });
        sent
    }

    /// Replays the recorded response of the first call.
    fn replay(&self, outcome: Outcome) -> Result<Response, Fault> {
        self.trace("answered with the first call's answer");
        let body = match outcome.body {
            Body::Whole(it) => it,
            Body::Omitted { bytes } => {
                let state = format!(
                    "was answered with {} and {bytes} bytes, too many to be kept",
                    outcome.status
                );
                return Err(self.key_fault(Kind::BadAnswer, &state));
            }
        };
        let mut headers = outcome.headers;
        headers.retain(|(name, _)| !PER_REQUEST_HEADERS.contains(&name.as_str()));
        headers.push((REPLAY_HEADER.to_owned(), "true".to_owned()));
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

    /// Applies the service's outage policy if the call cannot be recorded.
    fn handle_outage(&self, outage: &objects::journal::Outage) -> Result<Response, Fault> {
        if self.outage == OutagePolicy::ServeAtRisk {
            log::warn!(target: "journal", "Calling service {} without a journal record: {outage}.", self.service);
            self.trace(format!("made without a record, as declared: {outage}"));
            return self.send();
        }
        Err(Fault::new(Kind::JournalDown, outage.to_string()).with_retry_after(RETRY_AFTER))
    }

    /// Hashes everything that the service acts on. A repeated call must have the same fingerprint.
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
}
