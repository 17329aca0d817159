//! What this host answers to other hosts.

use std::sync::Arc;

use kernel::{
    fault::{Fault, Kind},
    name::Upstream,
    permit::{Ask, Holder, Number, Outcome, Verdict},
};
use member::Change;
use steward::Event;

use crate::{
    directory::News,
    host::Host,
    inbox::{MAX_ASKS, Reply},
};

/// Answers other hosts.
pub struct Answers(pub Arc<Host>);

impl peer::Handler for Answers {
    fn place(&self, ask: Ask, reply: Reply) {
        if let Err((_, reply)) = self.0.ask(ask, reply) {
            reply(Verdict::Refused(full()));
        }
    }

    fn release(&self, engine: Upstream, fence: u64, number: Number, outcome: Outcome) {
        log::trace!(target: "steward", "Permit {number} of {engine} under {fence} is released.");
        self.0.inbox.event(Event::Release { number, outcome });
    }

    fn revisions(&self, after: u64) -> Vec<Vec<u8>> {
        self.0.recent.after(after)
    }

    fn explain(&self, id: &str) -> Option<String> {
        crate::route::explain::report(&self.0, id)
    }

    fn changed(&self, change: Change) {
        log::info!(target: "member", "{change}.");
        if let Some(holder) = change.ended() {
            self.0.directory.forget(&holder.host);
            self.0.inbox.event(Event::HolderGone {
                holder: holder.clone(),
            });
        }
    }

    fn entry(&self, owner: Holder, key: &str, value: Option<&[u8]>) {
        let news = self.0.directory.receive(&owner, key, value);
        if let News::Steward { engine, .. } = news
            && self.0.holds(&engine)
        {
            // The object decides; the duty of claims reads it and gives the engine up.
            self.0.doubt(engine);
        }
    }
}

/// The refusal when too many asks wait.
pub fn full() -> Fault {
    let detail = format!("{MAX_ASKS} requests wait for this steward already");
    Fault::new(Kind::Overloaded, detail).after(crate::flow::RETRY_AFTER)
}
