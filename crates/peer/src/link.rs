//! Connections that this host opens to other hosts.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side};
use derive_more::{Display, Error, From};
use kernel::{
    fault::{Fault, Kind},
    name::Host,
};
use member::{Condition, Member};
use tokio::{
    net::TcpStream,
    sync::watch,
    task::AbortHandle,
    time::{Instant, timeout},
};
use wire::{
    call::write_holder,
    comfreywing_capnp::{door, peer},
};

use crate::{
    auth::{NONCE_BYTES, Nonces, Validity},
    connection::{Quota, build_network},
    service::Context,
};

/// The reason why a call failed. After any of these errors, a request that was to be placed has not
/// run, because no permit was received.
#[derive(Debug, Display, Error, From)]
pub(crate) enum CallError {
    #[display("it is not known")]
    Unknown,
    #[display("it is down")]
    Down,
    #[display("it could not be reached: {_0}")]
    Connect(std::io::Error),
    #[display("the call failed: {_0}")]
    Call(capnp::Error),
    #[display("its answer can't be understood: {_0}")]
    InvalidResponse(wire::Invalid),
    #[display("it did not prove that it is a member")]
    Unauthenticated,
    #[display("the connection broke")]
    Disconnected,
    #[display("it gave no answer in time")]
    TimedOut,
    /// Another caller's attempt to connect failed while this caller waited for its result.
    #[display("connecting to it has just failed")]
    SharedAttemptFailed,
}

impl From<tokio::time::error::Elapsed> for CallError {
    fn from(_: tokio::time::error::Elapsed) -> Self {
        Self::TimedOut
    }
}

/// Converts the failure of a call to the fault that its caller gets.
pub(crate) fn to_fault(host: &Host, error: &CallError) -> Fault {
    Fault::new(Kind::StewardLost, format!("host {host}: {error}"))
}

/// An authenticated connection to another host.
#[derive(Clone)]
pub(crate) struct Session {
    member: Member,
    pub peer: peer::Client,
    /// Closed when the connection has ended.
    closed: watch::Receiver<()>,
    task: AbortHandle,
}

impl Session {
    /// Returns whether the session is open and connected to this incarnation and address.
    fn is_usable_for(&self, member: &Member) -> bool {
        let same = self.member.holder == member.holder && self.member.address == member.address;
        same && !self.is_closed()
    }

    fn is_closed(&self) -> bool {
        self.closed.has_changed().is_err()
    }

    /// Waits for the response to a call. Fails when the connection ends.
    pub async fn response<T>(
        &self,
        call: impl Future<Output = capnp::Result<T>>,
    ) -> Result<T, CallError> {
        let mut closed = self.closed.clone();
        tokio::select! {
            response = call => Ok(response?),
            _ = closed.changed() => Err(CallError::Disconnected),
        }
    }
}

/// The connection state of one host.
#[derive(Default)]
struct Link {
    /// The current session. The lock is held while a connection is being opened.
    session: tokio::sync::Mutex<Option<Session>>,
    /// The time of the last failed attempt to connect.
    failed_at: Cell<Option<Instant>>,
    /// The task of the current session, which can be aborted without the lock.
    task: RefCell<Option<AbortHandle>>,
}

/// The connection state of all hosts.
#[derive(Default)]
pub(crate) struct Links(RefCell<BTreeMap<Host, Rc<Link>>>);

impl Links {
    fn get(&self, host: &Host) -> Rc<Link> {
        Rc::clone(self.0.borrow_mut().entry(host.clone()).or_default())
    }

    /// Closes the connection to a host. All calls in progress fail immediately.
    pub fn close(&self, host: &Host) {
        let Some(link) = self.0.borrow_mut().remove(host) else {
            return;
        };
        if let Some(task) = link.task.take() {
            task.abort();
        }
    }
}

/// Returns the member record of a host that is not down.
fn find_member(context: &Context, host: &Host) -> Result<Member, CallError> {
    let members = context.shared.members();
    let member = members.iter().find(|it| it.holder.host == *host);
    match member {
        None => Err(CallError::Unknown),
        Some(member) if member.state == Condition::Down => Err(CallError::Down),
        Some(member) => Ok(member.clone()),
    }
}

/// Returns the session with a host and connects first if there is none. Concurrent callers share
/// one attempt to connect, including its failure.
pub(crate) async fn get_or_connect(
    context: &Rc<Context>,
    host: &Host,
) -> Result<Session, CallError> {
    let member = find_member(context, host)?;
    let link = context.links.get(host);
    let called_at = Instant::now();
    let mut session = link.session.lock().await;
    if let Some(session) = session.as_ref().filter(|it| it.is_usable_for(&member)) {
        return Ok(session.clone());
    }
    if link.failed_at.get().is_some_and(|it| it >= called_at) {
        return Err(CallError::SharedAttemptFailed);
    }
    *session = None;
    let result = timeout(context.limits.connect_timeout, connect(context, member)).await;
    match result.map_err(CallError::from).flatten() {
        Ok(connected) => {
            link.task.replace(Some(connected.task.clone()));
            *session = Some(connected.clone());
            Ok(connected)
        }
        Err(error) => {
            link.failed_at.set(Some(Instant::now()));
            Err(error)
        }
    }
}

/// Aborts the task of a connection when dropped, unless the handle was taken out.
struct AbortOnDrop(Option<AbortHandle>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        if let Some(task) = self.0.take() {
            task.abort();
        }
    }
}

/// Opens a connection, starts the task that drives it, and authenticates both ends.
async fn connect(context: &Rc<Context>, member: Member) -> Result<Session, CallError> {
    let stream = TcpStream::connect(member.address).await?;
    let max_bytes = context.limits.max_response_bytes;
    let quota = Quota::unlimited();
    let network = build_network(stream, Side::Client, &context.shared, quota, max_bytes)?;
    let mut system = RpcSystem::new(network, None);
    let door: door::Client = system.bootstrap(Side::Server);
    let (close, closed) = watch::channel(());
    let task = tokio::task::spawn_local(async move {
        // Dropped with the task, which closes the channel.
        let _close = close;
        if let Err(error) = system.await {
            log::debug!(target: "peer", "An outgoing connection failed: {error}.");
        }
    });
    let mut abort = AbortOnDrop(Some(task.abort_handle()));
    let peer = authenticate(context, &door).await?;
    abort.0 = None;
    Ok(Session {
        member,
        peer,
        closed,
        task: task.abort_handle(),
    })
}

/// Performs the mutual authentication over the schema's `Door` interface, which is all that a
/// connection offers before it is authenticated. Returns the interface for calls.
async fn authenticate(context: &Context, door: &door::Client) -> Result<peer::Client, CallError> {
    let challenge = door.challenge_request().send().promise.await?;
    let challenge = challenge.get()?;
    wire::check_protocol(challenge.get_protocol())?;
    let server = challenge.get_nonce()?.try_into();
    let nonces = Nonces {
        server: server.map_err(|_| CallError::Unauthenticated)?,
        client: rand::random::<[u8; NONCE_BYTES]>(),
    };
    let mut request = door.enter_request();
    let mut params = request.get();
    params.set_protocol(wire::PROTOCOL);
    write_holder(&context.holder, params.reborrow().init_member());
    params.set_nonce(&nonces.client);
    params.set_proof(&context.key.prove_client(&nonces, &context.holder));
    let response = request.send().promise.await?;
    let response = response.get()?;
    match context.key.check_server(&nonces, response.get_proof()?) {
        Validity::Valid => Ok(response.get_peer()?),
        Validity::Invalid => Err(CallError::Unauthenticated),
    }
}
