//! Interface through which the rest of an entry host answers calls and observes its peers.

use std::time::Duration;

use kernel::{
    name::Upstream,
    permit::{Holder, Number, Outcome, Request, Verdict},
};
use steward::lending::{Demand, Loan};

/// The platform's host list as a host last read it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostList {
    /// The list in the platform's JSON format.
    pub json: Vec<u8>,
    /// The time since the host read the list.
    pub age: Duration,
}

/// Answers the calls of peers and receives events. All methods run on the network thread and must
/// return quickly.
pub trait Handler: Send + Sync {
    /// Decides on a permit request. The verdict may be given later and from any thread. If the
    /// requesting host no longer waits for the verdict, a granted permit is immediately passed to
    /// [`Handler::release`].
    fn place(&self, request: Request, reply: Box<dyn FnOnce(Verdict) + Send>);

    /// Takes back a permit. The same release may arrive more than once.
    fn release(&self, engine: Upstream, fence: u64, number: Number, outcome: Outcome);

    /// Returns the accepted configuration edits after a revision, in order.
    fn revisions(&self, after: u64) -> Vec<Vec<u8>>;

    /// Explains the decisions for a request. Returns `None` if the request is unknown.
    fn explain(&self, request: &str) -> Option<String>;

    /// Returns the platform's host list as this host last read it, or `None` if it never did.
    fn host_list(&self) -> Option<HostList> {
        None
    }

    /// A steward has sent its demand to this host, which lends out the weight store's limits.
    fn on_demand(&self, from: Holder, demand: Demand) {
        let _ = (from, demand);
    }

    /// The host that lends out the weight store's limits has sent a loan to this steward.
    fn on_loan(&self, loan: Loan) {
        let _ = loan;
    }

    /// The state of a member has changed.
    fn on_member_change(&self, change: member::Change);

    /// An entry that another host published was set, or removed if `value` is `None`.
    fn on_entry_change(&self, owner: Holder, key: &str, value: Option<&[u8]>);

    /// A later process uses this host's name. Peers ignore this process from now on.
    fn on_superseded(&self, by: Holder) {
        let _ = by;
    }

    /// A configuration revision exists that is higher than any known before. The host `holder`
    /// knows the revision.
    fn on_revision(&self, revision: u64, holder: Holder) {
        let _ = (revision, holder);
    }
}
