//! The connections to other hosts.

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
    auth::{Check, NONCE_BYTES, Nonces},
    connection::{Allowance, network},
    service::Context,
};

/// Why a call failed. In no case has the request run.
#[derive(Debug, Display, Error, From)]
pub(crate) enum Lost {
    #[display("it is not known")]
    Unknown,
    #[display("it is down")]
    Down,
    #[display("it could not be reached: {_0}")]
    Connect(std::io::Error),
    #[display("the call failed: {_0}")]
    Call(capnp::Error),
    #[display("its answer can't be understood: {_0}")]
    Answer(wire::Invalid),
    #[display("it did not prove that it is a member")]
    Stranger,
    #[display("the connection broke")]
    Broken,
    #[display("it gave no answer in time")]
    Late,
    #[display("connecting to it has just failed")]
    JustFailed,
}

impl From<tokio::time::error::Elapsed> for Lost {
    fn from(_: tokio::time::error::Elapsed) -> Self {
        Self::Late
    }
}

pub(crate) fn fault(host: &Host, lost: &Lost) -> Fault {
    Fault::new(Kind::StewardLost, format!("host {host}: {lost}"))
}

/// An open connection.
#[derive(Clone)]
pub(crate) struct Open {
    member: Member,
    pub peer: peer::Client,
    /// Changes when the connection has ended.
    ended: watch::Receiver<()>,
    task: AbortHandle,
}

impl Open {
    fn serves(&self, member: &Member) -> bool {
        let same = self.member.holder == member.holder && self.member.address == member.address;
        same && !self.is_ended()
    }

    fn is_ended(&self) -> bool {
        self.ended.has_changed().is_err()
    }

    /// Waits for an answer, or for the end of the connection.
    pub async fn answer<T>(&self, call: impl Future<Output = capnp::Result<T>>) -> Result<T, Lost> {
        let mut ended = self.ended.clone();
        tokio::select! {
            answer = call => Ok(answer?),
            _ = ended.changed() => Err(Lost::Broken),
        }
    }
}

/// The connection to one host, if there is one.
#[derive(Default)]
struct Link {
    open: tokio::sync::Mutex<Option<Open>>,
    failed_at: Cell<Option<Instant>>,
    /// A copy of what is open, to be closed while a caller holds the lock.
    task: RefCell<Option<AbortHandle>>,
}

/// The connections to all hosts.
#[derive(Default)]
pub(crate) struct Links(RefCell<BTreeMap<Host, Rc<Link>>>);

impl Links {
    fn get(&self, host: &Host) -> Rc<Link> {
        Rc::clone(self.0.borrow_mut().entry(host.clone()).or_default())
    }

    /// Closes the connection to a host: all calls under way fail at once.
    pub fn close(&self, host: &Host) {
        let Some(link) = self.0.borrow_mut().remove(host) else {
            return;
        };
        if let Some(task) = link.task.take() {
            task.abort();
        }
    }
}

fn find(context: &Context, host: &Host) -> Result<Member, Lost> {
    let members = context.shared.members();
    let member = members.iter().find(|it| it.holder.host == *host);
    match member {
        None => Err(Lost::Unknown),
        Some(member) if member.state == Condition::Down => Err(Lost::Down),
        Some(member) => Ok(member.clone()),
    }
}

/// The connection to a host; callers share one, and share the failure to open it.
pub(crate) async fn reach(context: &Rc<Context>, host: &Host) -> Result<Open, Lost> {
    let member = find(context, host)?;
    let link = context.links.get(host);
    let asked_at = Instant::now();
    let mut open = link.open.lock().await;
    if let Some(open) = open.as_ref().filter(|it| it.serves(&member)) {
        return Ok(open.clone());
    }
    if link.failed_at.get().is_some_and(|it| it >= asked_at) {
        return Err(Lost::JustFailed);
    }
    *open = None;
    let result = timeout(context.limits.connect, connect(context, member)).await;
    match result.map_err(Lost::from).flatten() {
        Ok(opened) => {
            link.task.replace(Some(opened.task.clone()));
            *open = Some(opened.clone());
            Ok(opened)
        }
        Err(lost) => {
            link.failed_at.set(Some(Instant::now()));
            Err(lost)
        }
    }
}

/// Ends the task of a connection that is not taken into use.
struct Abort(Option<AbortHandle>);

impl Drop for Abort {
    fn drop(&mut self) {
        if let Some(task) = self.0.take() {
            task.abort();
        }
    }
}

async fn connect(context: &Rc<Context>, member: Member) -> Result<Open, Lost> {
    let stream = TcpStream::connect(member.address).await?;
    let bytes = context.limits.answer_bytes;
    let allowance = Allowance::unlimited();
    let network = network(stream, Side::Client, &context.shared, allowance, bytes)?;
    let mut system = RpcSystem::new(network, None);
    let door: door::Client = system.bootstrap(Side::Server);
    let (end, ended) = watch::channel(());
    let task = tokio::task::spawn_local(async move {
        let _end = end;
        if let Err(error) = system.await {
            log::debug!(target: "peer", "A connection broke: {error}.");
        }
    });
    let mut abort = Abort(Some(task.abort_handle()));
    let peer = enter(context, &door).await?;
    abort.0 = None;
    Ok(Open {
        member,
        peer,
        ended,
        task: task.abort_handle(),
    })
}

/// Proves the key to the other host and has it prove the key in turn.
async fn enter(context: &Context, door: &door::Client) -> Result<peer::Client, Lost> {
    let challenge = door.challenge_request().send().promise.await?;
    let challenge = challenge.get()?;
    wire::check_protocol(challenge.get_protocol())?;
    let server = challenge.get_nonce()?.try_into();
    let nonces = Nonces {
        server: server.map_err(|_| Lost::Stranger)?,
        client: rand::random::<[u8; NONCE_BYTES]>(),
    };
    let mut request = door.enter_request();
    let mut params = request.get();
    params.set_protocol(wire::PROTOCOL);
    write_holder(&context.me, params.reborrow().init_member());
    params.set_nonce(&nonces.client);
    params.set_proof(&context.key.prove_enter(&nonces, &context.me));
    let answer = request.send().promise.await?;
    let answer = answer.get()?;
    match context.key.check_welcome(&nonces, answer.get_proof()?) {
        Check::Right => Ok(answer.get_peer()?),
        Check::Wrong => Err(Lost::Stranger),
    }
}
