//! How other threads speak to the thread of the sockets.

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
    release::Added,
    shared::Shared,
    slot::{self, Reply},
};

/// A call to another host.
#[derive(Debug)]
pub(crate) struct Call {
    pub host: Host,
    pub timeout: Duration,
    pub body: Body,
}

#[derive(Debug)]
pub(crate) enum Body {
    Place(Box<Request>, Reply<Verdict>),
    Revisions(u64, Reply<Vec<Vec<u8>>>),
    Explain(String, Reply<Option<String>>),
    Demand(Demand),
    Lend(Loan),
    Hosts(Reply<Option<HostList>>),
}

/// How long a host may take to give revisions or an explanation.
const INQUIRY_TIMEOUT: Duration = Duration::from_secs(5);

/// The way to the peers. Clones lead to the same sockets. Calls block and must not be made from
/// within a [`Handler`](crate::Handler).
#[derive(Clone, Debug)]
pub struct Handle {
    pub(crate) shared: Arc<Shared>,
    pub(crate) calls: mpsc::Sender<Call>,
}

impl Handle {
    /// Asks a host to place a request. A failure means that the request has not run: a permit
    /// that arrives too late is given back unused.
    pub fn place(&self, host: &Host, ask: Request, timeout: Duration) -> Result<Verdict, Fault> {
        let (wait, reply) = slot::new();
        self.call(host, timeout, Body::Place(Box::new(ask), reply))?;
        wait.wait(timeout)
            .unwrap_or_else(|| Err(late(host, timeout)))
    }

    /// Tells a host how the use of its permit ended. The release is sent again until it is
    /// acknowledged or the host is dead.
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
        if self.shared.releases.add(host.clone(), release) == Added::Displaced {
            self.shared.counters.releases_dropped.add(1);
            log::warn!(target: "peer", "Too many releases wait for host {host}; the oldest was dropped.");
        }
    }

    /// The configuration edits after a revision that a host knows of.
    pub fn fetch_revisions(&self, host: &Host, after: u64) -> Result<Vec<Vec<u8>>, Fault> {
        let (wait, reply) = slot::new();
        self.call(host, INQUIRY_TIMEOUT, Body::Revisions(after, reply))?;
        wait.wait(INQUIRY_TIMEOUT)
            .unwrap_or_else(|| Err(late(host, INQUIRY_TIMEOUT)))
    }

    /// What a host decided for a request.
    pub fn explain(&self, host: &Host, request: &str) -> Result<Option<String>, Fault> {
        let (wait, reply) = slot::new();
        let body = Body::Explain(request.to_owned(), reply);
        self.call(host, INQUIRY_TIMEOUT, body)?;
        wait.wait(INQUIRY_TIMEOUT)
            .unwrap_or_else(|| Err(late(host, INQUIRY_TIMEOUT)))
    }

    /// The platform's host list as another host read it last; none if it never did.
    pub fn fetch_host_list(&self, host: &Host) -> Result<Option<HostList>, Fault> {
        let (wait, reply) = slot::new();
        self.call(host, INQUIRY_TIMEOUT, Body::Hosts(reply))?;
        wait.wait(INQUIRY_TIMEOUT)
            .unwrap_or_else(|| Err(late(host, INQUIRY_TIMEOUT)))
    }

    /// Tells the host that lends out the weight store's limits what this steward needs. The message
    /// may get lost; its counts are totals.
    pub fn send_demand(&self, host: &Host, demand: Demand) -> Result<(), Fault> {
        self.call(host, INQUIRY_TIMEOUT, Body::Demand(demand))
    }

    /// Tells a steward what this host lends to it. The message may get lost; its counts are totals.
    pub fn send_loan(&self, host: &Host, loan: Loan) -> Result<(), Fault> {
        self.call(host, INQUIRY_TIMEOUT, Body::Lend(loan))
    }

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

    /// Sets or removes an entry that spreads to the hosts of the failure domain. An entry that is
    /// too large is refused.
    pub fn publish(&self, key: &str, value: Option<Vec<u8>>) -> Result<(), Fault> {
        let bytes = value.as_ref().map_or(0, Vec::len);
        if key.len() > entry::MAX_KEY_BYTES || bytes > entry::MAX_VALUE_BYTES {
            let detail = format!("entry {key:?} of {bytes} bytes is too large to be published");
            return Err(Fault::new(Kind::Internal, detail));
        }
        self.shared.publish(key.to_owned(), value);
        Ok(())
    }

    /// Tells of the highest configuration revision that is known to exist.
    pub fn announce_revision(&self, revision: u64) {
        self.shared.revise(revision);
    }

    /// Takes in the entry hosts on the platform's host list.
    pub fn set_listed_hosts(&self, listed: Vec<Listing>) {
        self.shared.list(listed);
    }

    /// Every known host, this one included.
    pub fn members(&self) -> Arc<[Member]> {
        self.shared.members()
    }

    /// Tells the peers that this host is shutting down.
    pub fn leave(&self) {
        self.shared.leave();
    }

    /// What has crossed the sockets so far.
    pub fn counters(&self) -> Totals {
        self.shared.counters.totals()
    }
}

fn late(host: &Host, timeout: Duration) -> Fault {
    let detail = format!("host {host} gave no answer within {timeout:?}");
    Fault::new(Kind::StewardLost, detail)
}
