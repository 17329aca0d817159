//! One request from the end of its head to its reply.

use std::{convert::Infallible, net::SocketAddr, rc::Rc, sync::mpsc::TrySendError, time::Duration};

use http_body_util::BodyExt;
use hyper::{
    Method, StatusCode, Version,
    body::{Body as _, Incoming},
    header::{CONNECTION, HeaderName, HeaderValue},
    http,
};
use kernel::{
    fault::{Fault, Kind},
    request::Id,
};
use tokio::{sync::oneshot, time::timeout};

use crate::{
    body::Content,
    connection::Shared,
    exchange::{Exchange, Framing},
    limits::Limits,
    request::Request,
    responder::{Answer, Caller, Responder},
    response::{Response, build_error_response},
    socket::Progress,
    worker::{Claim, Claimed, Job},
};

/// When a caller who met a full queue may come back.
const OVERLOAD_PAUSE: Duration = Duration::from_secs(1);

type Reply = http::Response<Content>;

/// Reads the rest of a request, has a worker handle it, and gives the reply.
pub(crate) async fn reply(
    request: http::Request<Incoming>,
    peer: SocketAddr,
    shared: Rc<Shared>,
    progress: Rc<Progress>,
) -> Result<Reply, Infallible> {
    let body_bytes = shared.body_bytes.clone();
    let mut exchange = Exchange::new(progress, framing(request.version()), body_bytes);
    let (head, body) = request.into_parts();
    let id = request_id(&head);
    let request = match read(&head, body, peer, &shared.limits, &mut exchange).await {
        Ok(request) => request,
        Err(fault) => return Ok(refuse_unread(&fault, id.as_ref(), exchange)),
    };
    let reply = match handled(request, &shared, exchange.caller()).await {
        Ok(Answer::Whole(response)) => whole(response, exchange),
        Ok(Answer::Stream {
            status,
            headers,
            pieces,
        }) => build(status, headers, Content::stream(pieces, exchange)),
        Err(fault) => refuse(&fault, id.as_ref(), exchange),
    };
    Ok(reply)
}

/// Has a worker handle a request, if one becomes free in time.
async fn handled(request: Request, shared: &Shared, caller: Caller) -> Result<Answer, Fault> {
    let claim = Claim::default();
    let (sender, mut answer) = oneshot::channel();
    let job = Job {
        claim: claim.clone(),
        request,
        responder: Responder::new(caller, sender),
    };
    enqueue(shared, job)?;
    let answered = match timeout(shared.limits.queue_timeout, &mut answer).await {
        Ok(answered) => answered,
        Err(_) if claim.take() == Claimed::Mine => {
            return Err(overloaded("no worker became free in time"));
        }
        Err(_) => answer.await,
    };
    answered.map_err(|_| Fault::new(Kind::Internal, "the handler gave no answer"))
}

fn overloaded(detail: &str) -> Fault {
    Fault::new(Kind::Overloaded, detail).with_retry_after(OVERLOAD_PAUSE)
}

fn framing(version: Version) -> Framing {
    if version == Version::HTTP_11 {
        return Framing::Chunked;
    }
    Framing::Closed
}

fn request_id(head: &http::request::Parts) -> Option<Id> {
    let value = head.headers.get("x-request-id")?;
    value.to_str().ok()?.parse().ok()
}

async fn read(
    head: &http::request::Parts,
    body: Incoming,
    peer: SocketAddr,
    limits: &Limits,
    exchange: &mut Exchange,
) -> Result<Request, Fault> {
    if head.method == Method::CONNECT {
        return Err(Fault::new(Kind::BadRequest, "CONNECT is not supported"));
    }
    let received = std::time::Instant::now();
    let mut request = Request::from_head(head, peer, received)?;
    let collected = timeout(limits.body_timeout, read_body(body, limits, exchange)).await;
    request.body = collected.unwrap_or_else(|_| {
        let detail = format!("the body did not come within {:?}", limits.body_timeout);
        Err(Fault::new(Kind::SlowSender, detail))
    })?;
    Ok(request)
}

async fn read_body(
    mut body: Incoming,
    limits: &Limits,
    exchange: &mut Exchange,
) -> Result<Vec<u8>, Fault> {
    let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut whole = Vec::new();
    check_size(declared, limits)?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| unreadable(&error))?;
        // Trailers mean nothing here.
        let data = frame.into_data().unwrap_or_default();
        check_size(whole.len() + data.len(), limits)?;
        check_sum(exchange.hold(data.len()), limits)?;
        whole.extend_from_slice(&data);
    }
    Ok(whole)
}

fn unreadable(error: &hyper::Error) -> Fault {
    let detail = format!("the body can't be read: {error}");
    Fault::new(Kind::BadRequest, detail)
}

fn check_size(bytes: usize, limits: &Limits) -> Result<(), Fault> {
    if bytes <= limits.body_bytes {
        return Ok(());
    }
    let detail = format!("the body has more than {} bytes", limits.body_bytes);
    Err(Fault::new(Kind::BodyTooLarge, detail))
}

fn check_sum(bytes: usize, limits: &Limits) -> Result<(), Fault> {
    if bytes <= limits.total_body_bytes {
        return Ok(());
    }
    Err(overloaded(
        "the bodies of the running requests are too large",
    ))
}

fn enqueue(shared: &Shared, job: Job) -> Result<(), Fault> {
    match shared.jobs.try_send(job) {
        Ok(()) => Ok(()),
        Err(TrySendError::Full(_)) => Err(overloaded("every worker is busy")),
        Err(TrySendError::Disconnected(_)) => {
            Err(Fault::new(Kind::NotReady, "the workers have ended"))
        }
    }
}

fn refuse(fault: &Fault, id: Option<&Id>, exchange: Exchange) -> Reply {
    log::debug!(target: "serve", "A request was refused: {fault}.");
    whole(build_error_response(fault, id.map(Id::as_str)), exchange)
}

fn refuse_unread(fault: &Fault, id: Option<&Id>, exchange: Exchange) -> Reply {
    exchange.leave_unread();
    let mut reply = refuse(fault, id, exchange);
    let close = HeaderValue::from_static("close");
    reply.headers_mut().insert(CONNECTION, close);
    reply
}

fn whole(response: Response, exchange: Exchange) -> Reply {
    let content = Content::whole(response.body, exchange);
    build(response.status, response.headers, content)
}

fn build(status: u16, headers: Vec<(String, String)>, content: Content) -> Reply {
    let mut reply = http::Response::new(content);
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or_else(|_| {
        log::error!(target: "serve", "A handler answered with the status {status}.");
        StatusCode::INTERNAL_SERVER_ERROR
    });
    for (name, value) in headers {
        match field(&name, &value) {
            Some((name, value)) => {
                reply.headers_mut().append(name, value);
            }
            None => log::error!(target: "serve", "The header {name:?} can't be sent."),
        }
    }
    reply
}

fn field(name: &str, value: &str) -> Option<(HeaderName, HeaderValue)> {
    Some((name.parse().ok()?, value.parse().ok()?))
}
