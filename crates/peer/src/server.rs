//! The calls that other hosts make.

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
    auth::{Check, NONCE_BYTES, Nonces},
    connection::{Allowance, network},
    guest::{Entry, Id, Origin},
    service::Context,
};

/// What a stranger is told.
const NOT_A_MEMBER: &str = "not a member";

/// Most bytes of revisions in one answer; the first one is always given.
const MAX_REVISIONS_BYTES: usize = 4 * 1024 * 1024;

fn failed(error: impl std::fmt::Display) -> Error {
    Error::failed(error.to_string())
}

/// Accepts connections for as long as it is polled.
pub(crate) async fn listen(context: Rc<Context>, listener: TcpListener) {
    let mut tasks = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) => admit(&context, &mut tasks, stream, from),
                Err(error) => {
                    log::warn!(target: "peer", "A connection could not be accepted: {error}.");
                    // Out of file descriptors, for one; accepting again at once would spin.
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = tasks.join_next() => {}
        }
    }
}

/// How long accepting pauses after an error.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);

fn admit(context: &Rc<Context>, tasks: &mut JoinSet<()>, stream: TcpStream, from: SocketAddr) {
    let id = context.book.borrow_mut().number();
    let abort = tasks.spawn_local(serve(Rc::clone(context), stream, id));
    let members = context.shared.members();
    let is_member = members.iter().any(|it| it.address.ip() == from.ip());
    let origin = if is_member {
        Origin::Member
    } else {
        Origin::Unknown
    };
    let mut book = context.book.borrow_mut();
    let closed = book.admit(id, from.ip(), origin, abort, &context.limits);
    context.shared.counters.strangers.add(closed);
}

async fn serve(context: Rc<Context>, stream: TcpStream, id: Id) {
    let _leave = Leave(&context, id);
    let allowance = Allowance::bytes(context.limits.bytes_to_enter);
    let entered = Rc::new(Notify::new());
    let door = Door {
        context: Rc::clone(&context),
        id,
        nonce: rand::random(),
        entered: Rc::clone(&entered),
        allowance: allowance.clone(),
    };
    let bytes = context.limits.call_bytes;
    let network = match network(stream, Side::Server, &context.shared, allowance, bytes) {
        Ok(network) => network,
        Err(error) => {
            log::debug!(target: "peer", "A connection broke: {error}.");
            return;
        }
    };
    let door: door::Client = capnp_rpc::new_client(door);
    let mut system = RpcSystem::new(network, Some(door.client));
    let in_time = tokio::select! {
        result = &mut system => {
            end(&context, result);
            return;
        }
        result = tokio::time::timeout(context.limits.time_to_enter, entered.notified()) => result,
    };
    if in_time.is_err() {
        context.shared.counters.strangers.add(1);
        return;
    }
    if let Err(error) = system.await {
        log::debug!(target: "peer", "The connection of a member broke: {error}.");
    }
}

/// Notes the end of a connection that has proved nothing.
fn end(context: &Context, result: Result<(), Error>) {
    context.shared.counters.strangers.add(1);
    if let Err(error) = result {
        log::debug!(target: "peer", "The connection of a stranger broke: {error}.");
    }
}

/// Removes a connection from the book when its task ends, in whatever way.
struct Leave<'a>(&'a Context, Id);

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        self.0.book.borrow_mut().leave(self.1);
    }
}

/// What a connection gets before it has proved the key.
struct Door {
    context: Rc<Context>,
    id: Id,
    nonce: [u8; NONCE_BYTES],
    entered: Rc<Notify>,
    allowance: Allowance,
}

impl Door {
    fn check(&self, params: door::enter_params::Reader<'_>) -> Result<(Holder, Nonces), Error> {
        wire::check_protocol(params.get_protocol()).map_err(failed)?;
        let member = read_holder(params.get_member()?).map_err(failed)?;
        let client = params.get_nonce()?.try_into();
        let nonces = Nonces {
            server: self.nonce,
            client: client.map_err(|_| Error::failed(NOT_A_MEMBER.to_owned()))?,
        };
        let key = &self.context.key;
        match key.check_enter(&nonces, &member, params.get_proof()?) {
            Check::Right => Ok((member, nonces)),
            Check::Wrong => Err(Error::failed(NOT_A_MEMBER.to_owned())),
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
        let entry = context
            .book
            .borrow_mut()
            .enter(self.id, member.host.clone(), &context.limits);
        match entry {
            Entry::Open => {}
            Entry::Full => return Err(Error::overloaded("too many connections".to_owned())),
            Entry::Closed => return Err(Error::failed("entered already".to_owned())),
        }
        self.allowance.lift();
        self.entered.notify_one();
        let mut results = results.get();
        results.set_proof(&context.key.prove_welcome(&nonces));
        results.set_peer(capnp_rpc::new_client(Peer {
            context: Rc::clone(context),
            member,
        }));
        Ok(())
    }
}

/// What a member may ask for.
struct Peer {
    context: Rc<Context>,
    member: Holder,
}

/// Counts a call as under way until it is dropped.
struct Serving(Rc<Cell<usize>>);

impl Serving {
    fn start(under_way: &Rc<Cell<usize>>, most: usize) -> Option<Self> {
        let count = under_way.get();
        if count >= most {
            return None;
        }
        under_way.set(count + 1);
        Some(Self(Rc::clone(under_way)))
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The closure that takes a verdict. A permit that nobody waits for any more is given back.
fn reply(
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
        let ask = read_permit_request(params.get()?.get_ask()?).map_err(failed)?;
        let most = context.limits.served_calls;
        let Some(_serving) = Serving::start(&context.serving, most) else {
            let fault = Fault::new(Kind::Overloaded, "too many hosts ask this one for a place");
            let refused = Verdict::Refused(fault);
            write_verdict(&refused, results.get().init_verdict());
            return Ok(());
        };
        let (sender, receiver) = oneshot::channel();
        context.handler.place(ask, reply(&context.handler, sender));
        let verdict = receiver.await.map_err(|_| failed("no verdict was given"))?;
        write_verdict(&verdict, results.get().init_verdict());
        Ok(())
    }

    async fn release(
        self: Rc<Self>,
        params: peer::ReleaseParams,
        _: peer::ReleaseResults,
    ) -> Result<(), Error> {
        self.context.shared.counters.calls_in.add(1);
        let release = read_release(params.get()?.get_release()?).map_err(failed)?;
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
        revisions.truncate(fitting(&revisions));
        let mut results = results.get();
        results.set_highest(self.context.revision.get());
        let count = u32::try_from(revisions.len()).map_err(failed)?;
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
        let demand = read_demand(params.get()?.get_demand()?).map_err(failed)?;
        self.context.handler.on_demand(self.member.clone(), demand);
        Ok(())
    }

    async fn lend(
        self: Rc<Self>,
        params: peer::LendParams,
        _: peer::LendResults,
    ) -> Result<(), Error> {
        self.context.shared.counters.calls_in.add(1);
        let loan = read_loan(params.get()?.get_loan()?).map_err(failed)?;
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
            results.set_age_millis(-1);
            return Ok(());
        };
        results.set_list(&list.json);
        results.set_age_millis(i64::try_from(list.age.as_millis()).map_err(failed)?);
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

/// How many of the revisions fit into one answer.
fn fitting(revisions: &[Vec<u8>]) -> usize {
    let mut bytes = 0;
    let fits = |it: &&Vec<u8>| {
        bytes += it.len();
        bytes <= MAX_REVISIONS_BYTES
    };
    revisions.iter().take_while(fits).count().max(1)
}
