//! Accepts connections and serves the calls of other hosts.

use std::{cell::Cell, net::SocketAddr, rc::Rc, sync::Arc};

use capnp::Error;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side};
use kernel::{
    fault::{Fault, Kind},
    permit::{Holder, Outcome, Verdict},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, oneshot},
    task::JoinSet,
};
use wire::{
    call::{read_holder, read_permit_request, read_release, write_verdict},
    comfreywing_capnp::{door, peer},
    lending::{read_demand, read_loan},
};

use crate::{
    Handler,
    auth::{NONCE_BYTES, Nonces, Validity},
    connection::{Quota, build_network},
    registry::{Admission, Id, Origin},
    service::Context,
};

/// Error text sent to a peer whose proof is invalid.
const NOT_A_MEMBER: &str = "not a member";

/// Maximum total size in bytes of the revisions in one response. The first revision is always sent,
/// however large.
const MAX_REVISIONS_BYTES: usize = 4 * 1024 * 1024;

fn to_rpc_error(error: impl std::fmt::Display) -> Error {
    Error::failed(error.to_string())
}

/// Accepts connections until dropped.
pub(crate) async fn listen(context: Rc<Context>, listener: TcpListener) {
    let mut tasks = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) => register(&context, &mut tasks, stream, from),
                Err(error) => {
                    log::warn!(target: "peer", "Accepting a connection failed: {error}.");
                    // Without a delay, a lasting error such as a lack of file descriptors would make
                    // this loop spin.
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = tasks.join_next() => {}
        }
    }
}

/// Delay before the next attempt to accept a connection after an error.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(50);

/// Starts the task of an accepted connection and registers the connection.
fn register(context: &Rc<Context>, tasks: &mut JoinSet<()>, stream: TcpStream, from: SocketAddr) {
    let id = context.registry.borrow_mut().allocate_id();
    let abort = tasks.spawn_local(serve(Rc::clone(context), stream, id));
    let members = context.shared.members();
    let is_member = members.iter().any(|it| it.address.ip() == from.ip());
    let origin = if is_member {
        Origin::Member
    } else {
        Origin::Unknown
    };
    let mut registry = context.registry.borrow_mut();
    let closed = registry.insert(id, from.ip(), origin, abort, &context.limits);
    context.shared.counters.strangers.add(closed);
}

/// Serves an accepted connection until it ends, or until the authentication timeout has passed
/// without authentication.
async fn serve(context: Rc<Context>, stream: TcpStream, id: Id) {
    let _unregister = UnregisterOnDrop(&context, id);
    let quota = Quota::limited(context.limits.max_unauthenticated_bytes);
    let authenticated = Rc::new(Notify::new());
    let door = Door {
        context: Rc::clone(&context),
        id,
        nonce: rand::random(),
        authenticated: Rc::clone(&authenticated),
        quota: quota.clone(),
    };
    let max_bytes = context.limits.max_request_bytes;
    let network = match build_network(stream, Side::Server, &context.shared, quota, max_bytes) {
        Ok(network) => network,
        Err(error) => {
            log::debug!(target: "peer", "Setting up an accepted connection failed: {error}.");
            return;
        }
    };
    let door: door::Client = capnp_rpc::new_client(door);
    let mut system = RpcSystem::new(network, Some(door.client));
    let in_time = tokio::select! {
        result = &mut system => {
            record_unauthenticated_end(&context, result);
            return;
        }
        result = tokio::time::timeout(context.limits.authentication_timeout, authenticated.notified()) => result,
    };
    if in_time.is_err() {
        context.shared.counters.strangers.add(1);
        return;
    }
    if let Err(error) = system.await {
        log::debug!(target: "peer", "An authenticated connection failed: {error}.");
    }
}

/// Counts and logs the end of a connection that was never authenticated.
fn record_unauthenticated_end(context: &Context, result: Result<(), Error>) {
    context.shared.counters.strangers.add(1);
    if let Err(error) = result {
        log::debug!(target: "peer", "An unauthenticated connection failed: {error}.");
    }
}

/// Removes a connection from the registry when its task ends, including when the task is aborted.
struct UnregisterOnDrop<'a>(&'a Context, Id);

impl Drop for UnregisterOnDrop<'_> {
    fn drop(&mut self) {
        self.0.registry.borrow_mut().remove(self.1);
    }
}

/// Serves the schema's `Door` interface, which is all that a connection offers before it is
/// authenticated.
struct Door {
    context: Rc<Context>,
    id: Id,
    nonce: [u8; NONCE_BYTES],
    authenticated: Rc<Notify>,
    quota: Quota,
}

impl Door {
    /// Checks the proof of the connecting host.
    fn check(&self, params: door::enter_params::Reader<'_>) -> Result<(Holder, Nonces), Error> {
        wire::check_protocol(params.get_protocol()).map_err(to_rpc_error)?;
        let member = read_holder(params.get_member()?).map_err(to_rpc_error)?;
        let client = params.get_nonce()?.try_into();
        let nonces = Nonces {
            server: self.nonce,
            client: client.map_err(|_| Error::failed(NOT_A_MEMBER.to_owned()))?,
        };
        let key = &self.context.key;
        match key.check_client(&nonces, &member, params.get_proof()?) {
            Validity::Valid => Ok((member, nonces)),
            Validity::Invalid => Err(Error::failed(NOT_A_MEMBER.to_owned())),
        }
    }
}

impl door::Server for Door {
    async fn challenge(
        self: Rc<Self>,
        _: door::ChallengeParams,
        mut results: door::ChallengeResults,
    ) -> Result<(), Error> {
        let mut results = results.get();
        results.set_protocol(wire::PROTOCOL);
        results.set_nonce(&self.nonce);
        Ok(())
    }

    async fn enter(
        self: Rc<Self>,
        params: door::EnterParams,
        mut results: door::EnterResults,
    ) -> Result<(), Error> {
        let (member, nonces) = self.check(params.get()?)?;
        let context = &self.context;
        let admission = context.registry.borrow_mut().authenticate(
            self.id,
            member.host.clone(),
            &context.limits,
        );
        match admission {
            Admission::Admitted => {}
            Admission::Full => return Err(Error::overloaded("too many connections".to_owned())),
            Admission::NotPending => return Err(Error::failed("entered already".to_owned())),
        }
        self.quota.remove_limit();
        self.authenticated.notify_one();
        let mut results = results.get();
        results.set_proof(&context.key.prove_server(&nonces));
        results.set_peer(capnp_rpc::new_client(Peer {
            context: Rc::clone(context),
            member,
        }));
        Ok(())
    }
}

/// Serves the calls of an authenticated member.
struct Peer {
    context: Rc<Context>,
    member: Holder,
}

/// Counts a permit request as in progress until dropped.
struct InProgress(Rc<Cell<usize>>);

impl InProgress {
    /// Returns `None` if `max` requests are in progress.
    fn start(in_progress: &Rc<Cell<usize>>, max: usize) -> Option<Self> {
        let count = in_progress.get();
        if count >= max {
            return None;
        }
        in_progress.set(count + 1);
        Some(Self(Rc::clone(in_progress)))
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Returns a closure that sends the verdict. If the call has ended by then, the closure releases a
/// granted permit.
fn verdict_callback(
    handler: &Arc<dyn Handler>,
    to: oneshot::Sender<Verdict>,
) -> Box<dyn FnOnce(Verdict) + Send> {
    let handler = Arc::clone(handler);
    Box::new(move |verdict| {
        if let Err(Verdict::Granted(permit)) = to.send(verdict) {
            handler.release(
                permit.upstream,
                permit.fence,
                permit.number,
                Outcome::Unused,
            );
        }
    })
}

impl peer::Server for Peer {
    async fn place(
        self: Rc<Self>,
        params: peer::PlaceParams,
        mut results: peer::PlaceResults,
    ) -> Result<(), Error> {
        let context = &self.context;
        context.shared.counters.calls_in.add(1);
        let request = read_permit_request(params.get()?.get_ask()?).map_err(to_rpc_error)?;
        let max = context.limits.incoming_permit_requests;
        let Some(_in_progress) = InProgress::start(&context.permit_requests, max) else {
            let fault = Fault::new(Kind::Overloaded, "too many hosts ask this one for a place");
            let refused = Verdict::Refused(fault);
            write_verdict(&refused, results.get().init_verdict());
            return Ok(());
        };
        let (sender, receiver) = oneshot::channel();
        context
            .handler
            .place(request, verdict_callback(&context.handler, sender));
        let verdict = receiver
            .await
            .map_err(|_| to_rpc_error("no verdict was given"))?;
        write_verdict(&verdict, results.get().init_verdict());
        Ok(())
    }

    async fn release(
        self: Rc<Self>,
        params: peer::ReleaseParams,
        _: peer::ReleaseResults,
    ) -> Result<(), Error> {
        self.context.shared.counters.calls_in.add(1);
        let release = read_release(params.get()?.get_release()?).map_err(to_rpc_error)?;
        self.context.handler.release(
            release.engine,
            release.fence,
            release.number,
            release.outcome,
        );
        Ok(())
    }

    async fn revisions(
        self: Rc<Self>,
        params: peer::RevisionsParams,
        mut results: peer::RevisionsResults,
    ) -> Result<(), Error> {
        self.context.shared.counters.calls_in.add(1);
        let mut revisions = self.context.handler.revisions(params.get()?.get_after());
        revisions.truncate(count_fitting(&revisions));
        let mut results = results.get();
        results.set_highest(self.context.highest_revision.get());
        let count = u32::try_from(revisions.len()).map_err(to_rpc_error)?;
        let mut list = results.init_revisions(count);
        for (index, revision) in (0..).zip(&revisions) {
            list.set(index, revision);
        }
        Ok(())
    }

    async fn demand(
        self: Rc<Self>,
        params: peer::DemandParams,
        _: peer::DemandResults,
    ) -> Result<(), Error> {
        self.context.shared.counters.calls_in.add(1);
        let demand = read_demand(params.get()?.get_demand()?).map_err(to_rpc_error)?;
        self.context.handler.on_demand(self.member.clone(), demand);
        Ok(())
    }

    async fn lend(
        self: Rc<Self>,
        params: peer::LendParams,
        _: peer::LendResults,
    ) -> Result<(), Error> {
        self.context.shared.counters.calls_in.add(1);
        let loan = read_loan(params.get()?.get_loan()?).map_err(to_rpc_error)?;
        self.context.handler.on_loan(loan);
        Ok(())
    }

    async fn hosts(
        self: Rc<Self>,
        _: peer::HostsParams,
        mut results: peer::HostsResults,
    ) -> Result<(), Error> {
        self.context.shared.counters.calls_in.add(1);
        let mut results = results.get();
        let Some(list) = self.context.handler.host_list() else {
            // A negative age means that this host has never read the list.
            results.set_age_millis(-1);
            return Ok(());
        };
        results.set_list(&list.json);
        results.set_age_millis(i64::try_from(list.age.as_millis()).map_err(to_rpc_error)?);
        Ok(())
    }

    async fn explain(
        self: Rc<Self>,
        params: peer::ExplainParams,
        mut results: peer::ExplainResults,
    ) -> Result<(), Error> {
        self.context.shared.counters.calls_in.add(1);
        let request = params.get()?.get_request()?.to_str()?;
        let found = self.context.handler.explain(request);
        let mut results = results.get();
        results.set_found(found.is_some());
        results.set_text(found.unwrap_or_default());
        Ok(())
    }
}

/// Returns the number of revisions, from the first on, that are sent in one response.
fn count_fitting(revisions: &[Vec<u8>]) -> usize {
    let mut bytes = 0;
    let fits = |it: &&Vec<u8>| {
        bytes += it.len();
        bytes <= MAX_REVISIONS_BYTES
    };
    revisions.iter().take_while(fits).count().max(1)
}
