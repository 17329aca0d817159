//! Handles one request, from the end of its head to its response.

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
    body::ResponseBody,
    connection::Shared,
    exchange::{Exchange, Framing},
    limits::Limits,
    request::Request,
    responder::{Caller, HandlerResponse, Responder},
    response::{Response, build_error_response},
    socket::Progress,
    worker::{Claim, ClaimResult, Job},
};

/// `Retry-After` of a request that is rejected because of overload.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

type HttpResponse = http::Response<ResponseBody>;

/// Reads the rest of a request, has a worker handle it, and returns the response.
pub(crate) async fn respond(
    request: http::Request<Incoming>,
    peer: SocketAddr,
    shared: Rc<Shared>,
    progress: Rc<Progress>,
) -> Result<HttpResponse, Infallible> {
    let total_body_bytes = shared.total_body_bytes.clone();
    let mut exchange = Exchange::new(
        progress,
        choose_framing(request.version()),
        total_body_bytes,
    );
    let (head, body) = request.into_parts();
    let id = parse_request_id(&head);
    let request = match read_request(&head, body, peer, &shared.limits, &mut exchange).await {
        Ok(request) => request,
        Err(fault) => return Ok(reject_unread(&fault, id.as_ref(), exchange)),
    };
    let response = match run_handler(request, &shared, exchange.caller()).await {
        Ok(HandlerResponse::Full(response)) => build_full_response(response, exchange),
        Ok(HandlerResponse::Stream {
            status,
            headers,
            chunks,
        }) => build_response(status, headers, ResponseBody::stream(chunks, exchange)),
        Err(fault) => reject(&fault, id.as_ref(), exchange),
    };
    Ok(response)
}

/// Queues a request for a worker and waits for its response. Rejects the request if no worker
/// becomes free in time.
async fn run_handler(
    request: Request,
    shared: &Shared,
    caller: Caller,
) -> Result<HandlerResponse, Fault> {
    let claim = Claim::default();
    let (sender, mut receiver) = oneshot::channel();
    let job = Job {
        claim: claim.clone(),
        request,
        responder: Responder::new(caller, sender),
    };
    enqueue(shared, job)?;
    let handled = match timeout(shared.limits.queue_timeout, &mut receiver).await {
        Ok(handled) => handled,
        Err(_) if claim.acquire() == ClaimResult::Acquired => {
            return Err(build_overload_fault("no worker became free in time"));
        }
        Err(_) => receiver.await,
    };
    handled.map_err(|_| Fault::new(Kind::Internal, "the handler gave no answer"))
}

fn build_overload_fault(detail: &str) -> Fault {
    Fault::new(Kind::Overloaded, detail).with_retry_after(OVERLOAD_RETRY_AFTER)
}

fn choose_framing(version: Version) -> Framing {
    if version == Version::HTTP_11 {
        return Framing::Chunked;
    }
    Framing::CloseDelimited
}

fn parse_request_id(head: &http::request::Parts) -> Option<Id> {
    let value = head.headers.get("x-request-id")?;
    value.to_str().ok()?.parse().ok()
}

async fn read_request(
    head: &http::request::Parts,
    body: Incoming,
    peer: SocketAddr,
    limits: &Limits,
    exchange: &mut Exchange,
) -> Result<Request, Fault> {
    if head.method == Method::CONNECT {
        return Err(Fault::new(Kind::BadRequest, "CONNECT is not supported"));
    }
    let received_at = std::time::Instant::now();
    let mut request = Request::from_head(head, peer, received_at)?;
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
    let mut bytes = Vec::new();
    check_body_size(declared, limits)?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| build_body_fault(&error))?;
        // Trailers are ignored.
        let data = frame.into_data().unwrap_or_default();
        check_body_size(bytes.len() + data.len(), limits)?;
        check_total_body_size(exchange.add_body_bytes(data.len()), limits)?;
        bytes.extend_from_slice(&data);
    }
    Ok(bytes)
}

fn build_body_fault(error: &hyper::Error) -> Fault {
    let detail = format!("the body can't be read: {error}");
    Fault::new(Kind::BadRequest, detail)
}

fn check_body_size(bytes: usize, limits: &Limits) -> Result<(), Fault> {
    if bytes <= limits.body_bytes {
        return Ok(());
    }
    let detail = format!("the body has more than {} bytes", limits.body_bytes);
    Err(Fault::new(Kind::BodyTooLarge, detail))
}

fn check_total_body_size(bytes: usize, limits: &Limits) -> Result<(), Fault> {
    if bytes <= limits.total_body_bytes {
        return Ok(());
    }
    Err(build_overload_fault(
        "the bodies of the running requests are too large",
    ))
}

fn enqueue(shared: &Shared, job: Job) -> Result<(), Fault> {
    match shared.jobs.try_send(job) {
        Ok(()) => Ok(()),
        Err(TrySendError::Full(_)) => Err(build_overload_fault("every worker is busy")),
        Err(TrySendError::Disconnected(_)) => {
            Err(Fault::new(Kind::NotReady, "the workers have ended"))
        }
    }
}

fn reject(fault: &Fault, id: Option<&Id>, exchange: Exchange) -> HttpResponse {
    log::debug!(target: "serve", "A request was rejected: {fault}.");
    build_full_response(build_error_response(fault, id.map(Id::as_str)), exchange)
}

fn reject_unread(fault: &Fault, id: Option<&Id>, exchange: Exchange) -> HttpResponse {
    exchange.mark_unread();
    let mut response = reject(fault, id, exchange);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

fn build_full_response(response: Response, exchange: Exchange) -> HttpResponse {
    let body = ResponseBody::full(response.body, exchange);
    build_response(response.status, response.headers, body)
}

fn build_response(status: u16, headers: Vec<(String, String)>, body: ResponseBody) -> HttpResponse {
    let mut response = http::Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_else(|_| {
        log::error!(target: "serve", "A handler responded with the invalid status {status}.");
        StatusCode::INTERNAL_SERVER_ERROR
    });
    for (name, value) in headers {
        match parse_header(&name, &value) {
            Some((name, value)) => {
                response.headers_mut().append(name, value);
            }
            None => log::error!(target: "serve", "The invalid header {name:?} is not sent."),
        }
    }
    response
}

fn parse_header(name: &str, value: &str) -> Option<(HeaderName, HeaderValue)> {
    Some((name.parse().ok()?, value.parse().ok()?))
}
