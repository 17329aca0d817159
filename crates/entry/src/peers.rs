//! What this host answers to other hosts.

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
    directory::News,
    host::Host,
    inbox::{MAX_ASKS, Reply},
    lending,
    readiness::Stage,
};

/// Answers other hosts.
pub struct Answers(pub Arc<Host>);

impl peer::Handler for Answers {
    fn place(&self, ask: Request, reply: Reply) {
        if let Err(reply) = self.0.ask(ask, reply) {
            reply(Verdict::Refused(full()));
        }
    }

    fn release(&self, engine: Upstream, fence: u64, number: permit::Number, outcome: Outcome) {
        log::trace!(target: "steward", "Permit {number} of {engine} under {fence} is released.");
        self.0.inbox.event(Event::Release { number, outcome });
    }

    fn revisions(&self, after: u64) -> Vec<Vec<u8>> {
        let (number, text) = self.0.text();
        self.0.recent.after(Number(after), number, &text)
    }

    fn explain(&self, id: &str) -> Option<String> {
        crate::route::explain::report(&self.0, id)
    }

    fn host_list(&self) -> Option<peer::HostList> {
        let (read, list) = self.0.listed.last()?;
        Some(peer::HostList {
            json: objects::hosts::to_json(&list),
            age: self.0.clock.now().saturating_duration_since(read),
        })
    }

    fn on_demand(&self, from: Holder, demand: Demand) {
        lending::take(&self.0, &from, demand);
    }

    fn on_loan(&self, loan: Loan) {
        self.0.inbox.event(Event::LoanReceived(loan));
    }

    fn on_member_change(&self, change: Change) {
        let member = change.member();
        let Holder { host, incarnation } = &member.holder;
        log::info!(target: "member", "Host {host} of {} is {:?}, incarnation {incarnation}.", member.domain, member.state);
        if let Change::Down(it) = &change {
            self.0.directory.forget(&it.holder.host);
        }
    }

    fn on_revision(&self, revision: u64, holder: Holder) {
        let mut known = self.0.known.lock().expect("known lock is poisoned");
        if known.as_ref().is_none_or(|it| it.0 < revision) {
            *known = Some((revision, holder));
        }
    }

    fn on_superseded(&self, by: Holder) {
        let Holder { host, incarnation } = by;
        log::error!(target: "entry", "Another process of host {host} has started, incarnation {incarnation}. This one takes no more requests.");
        self.0.readiness.reach(Stage::Leaving);
    }

    fn on_entry_change(&self, owner: Holder, key: &str, value: Option<&[u8]>) {
        lending::receive(&self.0, &owner, key, value);
        let news = self.0.directory.receive(&owner, key, value);
        if let News::Steward { engine, fence } = news
            && self.0.held_fence(&engine).is_some_and(|it| it < fence)
        {
            // The object decides; the duty of claims reads it.
            self.0.doubt(engine);
        }
    }
}

/// The refusal when too many asks wait.
pub fn full() -> Fault {
    let detail = format!("{MAX_ASKS} requests wait for this steward already");
    Fault::new(Kind::Overloaded, detail).with_retry_after(crate::flow::RETRY_AFTER)
}
