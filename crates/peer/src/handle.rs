//! Access to the peer service from other threads.

use std::{sync::Arc, time::Duration};

use kernel::{
    fault::{Fault, Kind},
    name::{Host, Upstream},
    permit::{Number, Outcome, Request, Verdict},
};
use member::{Listing, Member, entry};
use steward::lending::{Demand, Loan};
use tokio::sync::mpsc;
use wire::call::Release;

use crate::{
    counter::Totals,
    handler::HostList,
    reply::{self, Reply},
    shared::Shared,
};

/// A call to another host.
#[derive(Debug)]
pub(crate) struct Call {
    pub host: Host,
    pub timeout: Duration,
    pub body: Body,
}

/// The parameters of a call, and where its result goes if a caller waits for it.
#[derive(Debug)]
pub(crate) enum Body {
    Place(Box<Request>, Reply<Verdict>),
    Revisions(u64, Reply<Vec<Vec<u8>>>),
    Explain(String, Reply<Option<String>>),
    Demand(Demand),
    Loan(Loan),
    Hosts(Reply<Option<HostList>>),
}

/// Timeout of all calls other than permit requests and releases.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Makes calls to other hosts and publishes data by gossip. Clones share the same service. Methods
/// that return a response block the thread and must not be called from a
/// [`Handler`](crate::Handler).
#[derive(Clone, Debug)]
pub struct Handle {
    pub(crate) shared: Arc<Shared>,
    pub(crate) calls: mpsc::Sender<Call>,
}

impl Handle {
    /// Requests a permit from a steward and waits for the verdict. After an error the request has
    /// not run: if a permit arrives later, it is released unused.
    pub fn place(
        &self,
        host: &Host,
        request: Request,
        timeout: Duration,
    ) -> Result<Verdict, Fault> {
        let (waiter, reply) = reply::channel();
        self.call(host, timeout, Body::Place(Box::new(request), reply))?;
        waiter
            .wait(timeout)
            .unwrap_or_else(|| Err(timeout_fault(host, timeout)))
    }

    /// Queues the release of a permit that a host has granted. The release is sent again until it
    /// is acknowledged or the host is down.
    pub fn release(
        &self,
        host: &Host,
        engine: Upstream,
        fence: u64,
        number: Number,
        outcome: Outcome,
    ) {
        let release = Release {
            engine,
            fence,
            number,
            outcome,
        };
        self.shared.queue_release(host.clone(), release);
    }

    /// Fetches the configuration edits after a revision that a host knows.
    pub fn fetch_revisions(&self, host: &Host, after: u64) -> Result<Vec<Vec<u8>>, Fault> {
        let (waiter, reply) = reply::channel();
        self.call(host, CALL_TIMEOUT, Body::Revisions(after, reply))?;
        waiter
            .wait(CALL_TIMEOUT)
            .unwrap_or_else(|| Err(timeout_fault(host, CALL_TIMEOUT)))
    }

    /// Fetches a host's explanation of its decisions for a request, or `None` if the host does not
    /// know the request.
    pub fn explain(&self, host: &Host, request: &str) -> Result<Option<String>, Fault> {
        let (waiter, reply) = reply::channel();
        let body = Body::Explain(request.to_owned(), reply);
        self.call(host, CALL_TIMEOUT, body)?;
        waiter
            .wait(CALL_TIMEOUT)
            .unwrap_or_else(|| Err(timeout_fault(host, CALL_TIMEOUT)))
    }

    /// Fetches the platform's host list as another host last read it, or `None` if that host has
    /// never read the list.
    pub fn fetch_host_list(&self, host: &Host) -> Result<Option<HostList>, Fault> {
        let (waiter, reply) = reply::channel();
        self.call(host, CALL_TIMEOUT, Body::Hosts(reply))?;
        waiter
            .wait(CALL_TIMEOUT)
            .unwrap_or_else(|| Err(timeout_fault(host, CALL_TIMEOUT)))
    }

    /// Sends this steward's demand to the host that lends out the weight store's limits. The message
    /// may get lost without an error; a later one makes up for it, because its counts are totals.
    pub fn send_demand(&self, host: &Host, demand: Demand) -> Result<(), Fault> {
        self.call(host, CALL_TIMEOUT, Body::Demand(demand))
    }

    /// Sends a steward the loan that this host grants to it. The message may get lost without an
    /// error; a later one makes up for it, because its counts are totals.
    pub fn send_loan(&self, host: &Host, loan: Loan) -> Result<(), Fault> {
        self.call(host, CALL_TIMEOUT, Body::Loan(loan))
    }

    /// Queues a call for the network thread.
    fn call(&self, host: &Host, timeout: Duration, body: Body) -> Result<(), Fault> {
        let call = Call {
            host: host.clone(),
            timeout,
            body,
        };
        self.calls.try_send(call).map_err(|error| {
            let reason = match error {
                mpsc::error::TrySendError::Full(_) => "too many calls wait",
                mpsc::error::TrySendError::Closed(_) => "this host is shutting down",
            };
            Fault::new(
                Kind::StewardLost,
                format!("host {host} was not asked: {reason}"),
            )
        })
    }

    /// Sets or removes an entry of this host, which gossip distributes to the hosts that track this
    /// one in full detail. Fails if the entry is too large.
    pub fn publish(&self, key: &str, value: Option<Vec<u8>>) -> Result<(), Fault> {
        let bytes = value.as_ref().map_or(0, Vec::len);
        if key.len() > entry::MAX_KEY_BYTES || bytes > entry::MAX_VALUE_BYTES {
            let detail = format!("entry {key:?} of {bytes} bytes is too large to be published");
            return Err(Fault::new(Kind::Internal, detail));
        }
        self.shared.publish(key.to_owned(), value);
        Ok(())
    }

    /// Announces by gossip the highest configuration revision that is known to exist.
    pub fn announce_revision(&self, revision: u64) {
        self.shared.announce_revision(revision);
    }

    /// Passes the entry hosts on the platform's host list to the membership state machine.
    pub fn set_listed_hosts(&self, listings: Vec<Listing>) {
        self.shared.set_listed_hosts(listings);
    }

    /// Returns all known hosts, including this one.
    pub fn members(&self) -> Arc<[Member]> {
        self.shared.members()
    }

    /// Announces that this host is shutting down.
    pub fn leave(&self) {
        self.shared.leave();
    }

    /// Returns the current counter values.
    pub fn counters(&self) -> Totals {
        self.shared.counters.totals()
    }
}

fn timeout_fault(host: &Host, timeout: Duration) -> Fault {
    let detail = format!("host {host} gave no answer within {timeout:?}");
    Fault::new(Kind::StewardLost, detail)
}
