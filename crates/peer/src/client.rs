//! Calls that this host makes to other hosts.

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
    link::{CallError, get_or_connect, to_fault},
    service::Context,
};

/// Additional time to wait for a verdict after both the caller's timeout and the request's
/// deadline.
const VERDICT_GRACE: Duration = Duration::from_secs(5);

/// Makes a call and passes the result to the waiting caller, if the call has one.
pub(crate) async fn execute(context: Rc<Context>, call: Call) {
    context.shared.counters.calls_out.add(1);
    let Call {
        host,
        timeout,
        body,
    } = call;
    match body {
        Body::Place(request, reply) => {
            // The call continues after its caller has timed out, so that a permit granted late is
            // returned to the steward. If the call were canceled, a permit in transit would be
            // lost.
            let limit = timeout.max(request.remaining) + VERDICT_GRACE;
            let result = with_timeout(limit, &host, place(&context, &host, &request)).await;
            if let Err(Ok(Verdict::Granted(permit))) = reply.send(result) {
                return_permit(&context, host, permit);
            }
        }
        Body::Revisions(after, reply) => {
            let result =
                with_timeout(timeout, &host, fetch_revisions(&context, &host, after)).await;
            // The caller may have timed out.
            let _ = reply.send(result);
        }
        Body::Explain(request, reply) => {
            let result = with_timeout(timeout, &host, explain(&context, &host, &request)).await;
            let _ = reply.send(result);
        }
        Body::Hosts(reply) => {
            let result = with_timeout(timeout, &host, fetch_host_list(&context, &host)).await;
            let _ = reply.send(result);
        }
        Body::Demand(demand) => {
            let result = with_timeout(timeout, &host, send_demand(&context, &host, &demand)).await;
            log_failure(result);
        }
        Body::Loan(loan) => {
            let result = with_timeout(timeout, &host, send_loan(&context, &host, &loan)).await;
            log_failure(result);
        }
    }
}

/// Logs the failure of a call for which no caller waits.
fn log_failure(result: Result<(), Fault>) {
    if let Err(fault) = result {
        log::debug!(target: "peer", "{fault}");
    }
}

async fn send_demand(context: &Rc<Context>, host: &Host, demand: &Demand) -> Result<(), CallError> {
    let session = get_or_connect(context, host).await?;
    let mut request = session.peer.demand_request();
    write_demand(demand, request.get().init_demand());
    session.response(request.send().promise).await?;
    Ok(())
}

async fn fetch_host_list(
    context: &Rc<Context>,
    host: &Host,
) -> Result<Option<HostList>, CallError> {
    let session = get_or_connect(context, host).await?;
    let request = session.peer.hosts_request();
    let response = session.response(request.send().promise).await?;
    let response = response.get()?;
    // A negative age means that the peer has never read the list.
    let Ok(age_ms) = u64::try_from(response.get_age_millis()) else {
        return Ok(None);
    };
    Ok(Some(HostList {
        json: response.get_list()?.to_vec(),
        age: Duration::from_millis(age_ms),
    }))
}

async fn send_loan(context: &Rc<Context>, host: &Host, loan: &Loan) -> Result<(), CallError> {
    let session = get_or_connect(context, host).await?;
    let mut request = session.peer.lend_request();
    write_loan(loan, request.get().init_loan());
    session.response(request.send().promise).await?;
    Ok(())
}

async fn with_timeout<T>(
    limit: Duration,
    host: &Host,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, Fault> {
    let result = timeout(limit, call).await;
    let result = result.map_err(CallError::from).flatten();
    result.map_err(|error| to_fault(host, &error))
}

/// Queues the release of a permit that is not used.
fn return_permit(context: &Context, host: Host, permit: kernel::permit::Permit) {
    let release = Release {
        engine: permit.upstream,
        fence: permit.fence,
        number: permit.number,
        outcome: Outcome::Unused,
    };
    context.shared.queue_release(host, release);
}

async fn place(
    context: &Rc<Context>,
    host: &Host,
    permit_request: &Request,
) -> Result<Verdict, CallError> {
    let session = get_or_connect(context, host).await?;
    let mut request = session.peer.place_request();
    write_permit_request(permit_request, request.get().init_ask());
    let response = session.response(request.send().promise).await?;
    Ok(read_verdict(response.get()?.get_verdict()?)?)
}

async fn fetch_revisions(
    context: &Rc<Context>,
    host: &Host,
    after: u64,
) -> Result<Vec<Vec<u8>>, CallError> {
    let session = get_or_connect(context, host).await?;
    let mut request = session.peer.revisions_request();
    request.get().set_after(after);
    let response = session.response(request.send().promise).await?;
    let list = response.get()?.get_revisions()?;
    let revisions: capnp::Result<Vec<Vec<u8>>> =
        list.iter().map(|it| it.map(<[u8]>::to_vec)).collect();
    Ok(revisions?)
}

async fn explain(
    context: &Rc<Context>,
    host: &Host,
    request: &str,
) -> Result<Option<String>, CallError> {
    let session = get_or_connect(context, host).await?;
    let mut call = session.peer.explain_request();
    call.get().set_request(request);
    let response = session.response(call.send().promise).await?;
    let response = response.get()?;
    let text = response.get_text()?.to_str().map_err(capnp::Error::from)?;
    Ok(response.get_found().then(|| text.to_owned()))
}
