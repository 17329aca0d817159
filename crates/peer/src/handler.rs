//! What the rest of an entry host does for its peers.

use std::time::Duration;

use kernel::{
    name::Upstream,
    permit::{Holder, Number, Outcome, Request, Verdict},
};
use steward::lending::{Demand, Loan};

/// The platform's host list as a host read it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostList {
    /// The list, in the form in which the platform gives it.
    pub json: Vec<u8>,
    /// How long ago it was read.
    pub age: Duration,
}

/// Answers peers and hears of members. Every method runs on the thread of the sockets and must
/// return soon.
pub trait Handler: Send + Sync {
    /// Places a request; the verdict may be given later and from any thread. If the asking host
    /// has gone by then, a permit comes back at once through [`Handler::release`].
    fn place(&self, ask: Request, reply: Box<dyn FnOnce(Verdict) + Send>);

    /// Takes a permit back. The same release may come more than once.
    fn release(&self, engine: Upstream, fence: u64, number: Number, outcome: Outcome);

    /// The accepted configuration edits after a revision, in order.
    fn revisions(&self, after: u64) -> Vec<Vec<u8>>;

    /// What was decided for a request and why.
    fn explain(&self, request: &str) -> Option<String>;

    /// The platform's host list as this host read it last, if it did.
    fn host_list(&self) -> Option<HostList> {
        None
    }

    /// A steward tells the lender of the weight store's limits what it needs.
    fn on_demand(&self, from: Holder, demand: Demand) {
        let _ = (from, demand);
    }

    /// The lender of the weight store's limits tells this steward what it lends to it.
    fn on_loan(&self, loan: Loan) {
        let _ = loan;
    }

    /// A member has changed.
    fn on_member_change(&self, change: member::Change);

    /// An entry that another host published has changed, or vanished.
    fn on_entry_change(&self, owner: Holder, key: &str, value: Option<&[u8]>);

    /// A later process has taken this host's name; peers hear nothing of this one any more.
    fn on_superseded(&self, by: Holder) {
        let _ = by;
    }

    /// A configuration revision higher than any known before exists; `holder` knows of it.
    fn on_revision(&self, revision: u64, holder: Holder) {
        let _ = (revision, holder);
    }
}
