//! The calls that this host makes.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side};
use derive_more::{Display, Error, From};
use kernel::{
    fault::{Fault, Kind},
    name::Host,
    permit::{Ask, Outcome, Verdict},
};
use member::{Condition, Member};
use steward::share::{Demand, Loan};
use tokio::{
    net::TcpStream,
    sync::watch,
    task::AbortHandle,
    time::{Instant, timeout},
};
use wire::{
    call::{Release, read_verdict, write_ask, write_holder, write_release},
    comfreywing_capnp::{door, peer},
    share::{write_demand, write_loan},
};

use crate::{
    auth::{Check, NONCE_BYTES, Nonces},
    connection::{Allowance, network},
    handle::{Body, Call},
    service::Context,
};

/// Why a call failed. In no case has the request run.
#[derive(Debug, Display, Error, From)]
enum Lost {
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

fn fault(host: &Host, lost: &Lost) -> Fault {
    Fault::new(Kind::StewardLost, format!("host {host}: {lost}"))
}

/// An open connection.
#[derive(Clone)]
struct Open {
    member: Member,
    peer: peer::Client,
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
    async fn answer<T>(&self, call: impl Future<Output = capnp::Result<T>>) -> Result<T, Lost> {
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
async fn reach(context: &Rc<Context>, host: &Host) -> Result<Open, Lost> {
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
            log::debug!(target: "peer", "a connection broke: {error}");
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

/// How long a verdict is waited for after nobody needs it any more.
const GRACE: Duration = Duration::from_secs(5);

/// Makes a call and answers whoever waits for it.
pub(crate) async fn call(context: Rc<Context>, call: Call) {
    context.shared.counters.calls_out.add(1);
    let Call {
        host,
        timeout,
        body,
    } = call;
    match body {
        Body::Place(ask, reply) => {
            // Cancelling the call could cross a permit on its way; so the call goes on after its
            // caller has given up, and the permit is given back.
            let limit = timeout.max(ask.remaining) + GRACE;
            let answer = within(limit, &host, place(&context, &host, &ask)).await;
            if let Err(Ok(Verdict::Granted(permit))) = reply.fill(answer) {
                give_back(&context, host, permit);
            }
        }
        Body::Revisions(after, reply) => {
            let answer = within(timeout, &host, revisions(&context, &host, after)).await;
            // Whoever asked may have given up.
            let _ = reply.fill(answer);
        }
        Body::Explain(request, reply) => {
            let answer = within(timeout, &host, explain(&context, &host, &request)).await;
            let _ = reply.fill(answer);
        }
        Body::Demand(demand) => {
            let answer = within(timeout, &host, tell_demand(&context, &host, &demand)).await;
            note_unheard(answer);
        }
        Body::Lend(loan) => {
            let answer = within(timeout, &host, lend(&context, &host, &loan)).await;
            note_unheard(answer);
        }
    }
}

/// A message that may get lost was lost.
fn note_unheard(answer: Result<(), Fault>) {
    if let Err(fault) = answer {
        log::debug!(target: "peer", "{fault}");
    }
}

async fn tell_demand(context: &Rc<Context>, host: &Host, demand: &Demand) -> Result<(), Lost> {
    let open = reach(context, host).await?;
    let mut request = open.peer.demand_request();
    write_demand(demand, request.get().init_demand());
    open.answer(request.send().promise).await?;
    Ok(())
}

async fn lend(context: &Rc<Context>, host: &Host, loan: &Loan) -> Result<(), Lost> {
    let open = reach(context, host).await?;
    let mut request = open.peer.lend_request();
    write_loan(loan, request.get().init_loan());
    open.answer(request.send().promise).await?;
    Ok(())
}

async fn within<T>(
    limit: Duration,
    host: &Host,
    call: impl Future<Output = Result<T, Lost>>,
) -> Result<T, Fault> {
    let answer = timeout(limit, call).await;
    let answer = answer.map_err(Lost::from).flatten();
    answer.map_err(|lost| fault(host, &lost))
}

fn give_back(context: &Context, host: Host, permit: kernel::permit::Permit) {
    let release = Release {
        engine: permit.upstream,
        fence: permit.fence,
        number: permit.number,
        outcome: Outcome::Unused,
    };
    context.shared.releases.add(host, release);
}

async fn place(context: &Rc<Context>, host: &Host, ask: &Ask) -> Result<Verdict, Lost> {
    let open = reach(context, host).await?;
    let mut request = open.peer.place_request();
    write_ask(ask, request.get().init_ask());
    let answer = open.answer(request.send().promise).await?;
    Ok(read_verdict(answer.get()?.get_verdict()?)?)
}

async fn revisions(context: &Rc<Context>, host: &Host, after: u64) -> Result<Vec<Vec<u8>>, Lost> {
    let open = reach(context, host).await?;
    let mut request = open.peer.revisions_request();
    request.get().set_after(after);
    let answer = open.answer(request.send().promise).await?;
    let list = answer.get()?.get_revisions()?;
    let revisions: capnp::Result<Vec<Vec<u8>>> =
        list.iter().map(|it| it.map(<[u8]>::to_vec)).collect();
    Ok(revisions?)
}

async fn explain(
    context: &Rc<Context>,
    host: &Host,
    request: &str,
) -> Result<Option<String>, Lost> {
    let open = reach(context, host).await?;
    let mut call = open.peer.explain_request();
    call.get().set_request(request);
    let answer = open.answer(call.send().promise).await?;
    let answer = answer.get()?;
    let text = answer.get_text()?.to_str().map_err(capnp::Error::from)?;
    Ok(answer.get_found().then(|| text.to_owned()))
}

/// Sends releases for as long as it is polled.
pub(crate) async fn send_releases(context: Rc<Context>) {
    let busy: Rc<RefCell<BTreeMap<Host, AbortHandle>>> = Rc::default();
    loop {
        for host in context.shared.releases.hosts() {
            if busy.borrow().contains_key(&host) {
                continue;
            }
            let task = tokio::task::spawn_local(drain(
                Rc::clone(&context),
                host.clone(),
                Rc::clone(&busy),
            ));
            busy.borrow_mut().insert(host, task.abort_handle());
        }
        context.shared.releases.added.notified().await;
    }
}

/// Pause before the releases of a host are sent again, in milliseconds; it doubles up to the most.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LAST_PAUSE: Duration = Duration::from_secs(1);

/// Sends the releases of one host until none is left or the host is dead.
async fn drain(context: Rc<Context>, host: Host, busy: Rc<RefCell<BTreeMap<Host, AbortHandle>>>) {
    let mut pause = FIRST_PAUSE;
    loop {
        let batch = context.shared.releases.batch(&host);
        if batch.is_empty() {
            break;
        }
        match deliver(&context, &host, &batch).await {
            Ok(()) => pause = FIRST_PAUSE,
            Err(Lost::Down | Lost::Unknown) => {
                let dropped = context.shared.releases.clear(&host);
                context.shared.counters.releases_dropped.add(dropped);
                break;
            }
            Err(lost) => {
                log::debug!(target: "peer", "releases for host {host} have to wait: {lost}");
                tokio::time::sleep(pause).await;
                pause = LAST_PAUSE.min(pause * 2);
            }
        }
    }
    busy.borrow_mut().remove(&host);
}

async fn deliver(context: &Rc<Context>, host: &Host, batch: &[Release]) -> Result<(), Lost> {
    let open = reach(context, host).await?;
    let calls = batch.iter().map(|release| {
        context.shared.counters.calls_out.add(1);
        let mut request = open.peer.release_request();
        write_release(release, request.get().init_release());
        request.send().promise
    });
    let calls = futures::future::try_join_all(calls);
    timeout(context.limits.acknowledge, open.answer(calls)).await??;
    context.shared.releases.acknowledge(host, batch);
    Ok(())
}
