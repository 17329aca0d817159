//! Handles the calls and messages of other hosts.

use std::sync::Arc;

use config::revision::Number;
use kernel::{
    fault::{Fault, Kind},
    name::Upstream,
    permit::{self, Holder, Outcome, Request, Verdict},
};
use member::Change;
use steward::{
    Event,
    lending::{Demand, Loan},
};

use crate::{
    directory::Announcement,
    host::Host,
    inbox::{MAX_PENDING_REQUESTS, Reply},
    lending,
    readiness::Stage,
};

/// The handler for calls and messages of other hosts.
pub struct Handler(pub Arc<Host>);

impl peer::Handler for Handler {
    fn place(&self, request: Request, reply: Reply) {
        if let Err(reply) = self.0.request_permit(request, reply) {
            reply(Verdict::Refused(overload_fault()));
        }
    }

    fn release(&self, engine: Upstream, fence: u64, number: permit::Number, outcome: Outcome) {
        log::trace!(target: "steward", "Permit {number} for {engine} with fencing token {fence} was released.");
        self.0.inbox.push_event(Event::Release { number, outcome });
    }

    fn revisions(&self, after: u64) -> Vec<Vec<u8>> {
        let (number, document) = self.0.configuration();
        self.0
            .revision_log
            .updates_after(Number(after), number, &document)
    }

    fn explain(&self, id: &str) -> Option<String> {
        crate::route::explain::report(&self.0, id)
    }

    fn host_list(&self) -> Option<peer::HostList> {
        let (read_at, list) = self.0.host_list.last_list()?;
        Some(peer::HostList {
            json: objects::hosts::to_json(&list),
            age: self.0.clock.now().saturating_duration_since(read_at),
        })
    }

    fn on_demand(&self, from: Holder, demand: Demand) {
        lending::receive_demand(&self.0, &from, demand);
    }

    fn on_loan(&self, loan: Loan) {
        self.0.inbox.push_event(Event::LoanReceived(loan));
    }

    fn on_member_change(&self, change: Change) {
        let member = change.member();
        let Holder { host, incarnation } = &member.holder;
        log::info!(target: "member", "Host {host} in {} is {:?}, incarnation {incarnation}.", member.domain, member.state);
        if let Change::Down(it) = &change {
            self.0.directory.remove_host(&it.holder.host);
        }
    }

    fn on_revision(&self, revision: u64, holder: Holder) {
        let mut highest = self
            .0
            .announced_revision
            .lock()
            .expect("revision lock is poisoned");
        if highest.as_ref().is_none_or(|it| it.0 < revision) {
            *highest = Some((revision, holder));
        }
    }

    fn on_superseded(&self, by: Holder) {
        let Holder { host, incarnation } = by;
        log::error!(target: "entry", "A later incarnation {incarnation} of host {host} has started; this process accepts no more requests.");
        self.0.readiness.advance_to(Stage::Leaving);
    }

    fn on_entry_change(&self, owner: Holder, key: &str, value: Option<&[u8]>) {
        lending::receive(&self.0, &owner, key, value);
        let announcement = self.0.directory.receive(&owner, key, value);
        if let Announcement::Steward { engine, fence } = announcement
            && self.0.held_fence(&engine).is_some_and(|it| it < fence)
        {
            // The claim object is authoritative. The `claims` duty reads it again.
            self.0.verify_claim(engine);
        }
    }
}

/// Returns the refusal for a permit request that exceeds the queue limit.
pub fn overload_fault() -> Fault {
    let detail = format!("{MAX_PENDING_REQUESTS} requests wait for this steward already");
    Fault::new(Kind::Overloaded, detail).with_retry_after(crate::flow::RETRY_AFTER)
}
