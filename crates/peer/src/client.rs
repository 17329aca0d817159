//! The calls that this host makes.

use std::{rc::Rc, time::Duration};

use kernel::{
    fault::Fault,
    name::Host,
    permit::{Outcome, Request, Verdict},
};
use steward::lending::{Demand, Loan};
use tokio::time::timeout;
use wire::{
    call::{Release, read_verdict, write_permit_request},
    lending::{write_demand, write_loan},
};

use crate::{
    handle::{Body, Call},
    handler::HostList,
    link::{Lost, fault, reach},
    service::Context,
};

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
        Body::Hosts(reply) => {
            let answer = within(timeout, &host, hosts(&context, &host)).await;
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

async fn hosts(context: &Rc<Context>, host: &Host) -> Result<Option<HostList>, Lost> {
    let open = reach(context, host).await?;
    let request = open.peer.hosts_request();
    let answer = open.answer(request.send().promise).await?;
    let answer = answer.get()?;
    let Ok(age) = u64::try_from(answer.get_age_millis()) else {
        return Ok(None);
    };
    Ok(Some(HostList {
        json: answer.get_list()?.to_vec(),
        age: Duration::from_millis(age),
    }))
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

async fn place(context: &Rc<Context>, host: &Host, ask: &Request) -> Result<Verdict, Lost> {
    let open = reach(context, host).await?;
    let mut request = open.peer.place_request();
    write_permit_request(ask, request.get().init_ask());
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
