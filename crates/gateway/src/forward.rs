//! Entry point for callers' requests: reads a request, finds its route and forwards it.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use fleet::{
    account::Unauthenticated,
    assignment::StreamKey,
    catalog::{Catalog, RequestKind, Route},
    prefix::Chain,
    quarantine::{self, Suspect},
};
use http_body_util::{BodyExt, Limited};
use hyper::{
    HeaderMap, Method, Request, Response,
    body::Incoming,
    header::{CONTENT_LENGTH, HOST, HeaderValue, WWW_AUTHENTICATE},
};
use tokio::time;

use crate::{
    account,
    caller::Caller,
    clock, content,
    dialect::RequestHead,
    exchange::{Exchange, Received},
    gateway::Gateway,
    gossip::Gossip,
    handover::{HANDOVER, Handover},
    memory,
    reply::{self, Body, Fault},
};

/// Retry delay returned while this host is stopping. Another host can serve the caller at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Retry delay returned while the memory for bodies is spent.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Maximum time for which the rest of a body that was given up is read.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(1);

/// Maximum time for which a request waits for the host's first configuration.
const MAX_CONFIG_WAIT: Duration = Duration::from_secs(1);

/// Handles one request.
pub async fn handle(
    gateway: Rc<Gateway>,
    gossip: Rc<Gossip>,
    request: Request<Incoming>,
    caller: Caller,
) -> Response<Body> {
    let exchange = match accept(&gateway, &gossip, request, caller, None).await {
        Ok(it) => it,
        Err(response) => return response,
    };
    gateway.count_request(&exchange.service);
    exchange.run().await
}

/// Handles one request that another host passes on. That host has counted it for the retry budget.
pub async fn handle_from_host(
    gateway: Rc<Gateway>,
    gossip: Rc<Gossip>,
    request: Request<Incoming>,
    handover: Handover,
    caller: Caller,
) -> Response<Body> {
    let received_at = clock::now();
    match accept(&gateway, &gossip, request, caller, Some(&handover)).await {
        Ok(mut exchange) => {
            exchange.adopt_handover(handover, received_at);
            exchange.run().await
        }
        Err(response) => response,
    }
}

/// Returns the configuration. On a host that has just started, requests wait a moment for the first
/// configuration, because their callers may have no attempt left after this one.
async fn wait_for_catalog(gateway: &Rc<Gateway>) -> Option<Rc<Catalog>> {
    let adopted = gateway.config_adopted.notified();
    if gateway.catalog().is_none() {
        let _ = time::timeout(MAX_CONFIG_WAIT, adopted).await;
    }
    gateway.catalog()
}

/// Returns the response to a request that this host doesn't begin, because it is stopping.
fn stopping_response() -> Response<Body> {
    reply::fault_response(Fault::Stopping, Some(STOPPING_RETRY_AFTER))
}

/// Response to a request without a valid key, which says how to send one.
fn unauthenticated_response(gateway: &Gateway) -> Response<Body> {
    let mut response = reply::fault_response(Fault::Unauthenticated, None);
    let challenge = gateway.dialect.challenge();
    response.headers_mut().insert(WWW_AUTHENTICATE, challenge);
    response
}

/// Reads a request and finds its route and client account.
async fn accept(
    gateway: &Rc<Gateway>,
    gossip: &Rc<Gossip>,
    request: Request<Incoming>,
    caller: Caller,
    handover: Option<&Handover>,
) -> Result<Exchange, Response<Body>> {
    let started = clock::now();
    if gateway.closing.get() {
        // The request might not finish before the process ends. Another host takes it at once.
        return Err(stopping_response());
    }
    let Some(catalog) = wait_for_catalog(gateway).await else {
        log::info!(event = "no-config"; "request refused: no configuration is known");
        return Err(reply::fault_response(
            Fault::NoConfig,
            Some(Duration::from_millis(400)),
        ));
    };
    let (parts, body) = request.into_parts();
    let host = parts.headers.get(HOST).and_then(|it| it.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    let Some(route) = catalog.route(host, parts.uri.path()).cloned() else {
        return Err(reply::fault_response(Fault::NoRoute, None));
    };
    let request_head = gateway
        .dialect
        .parse_request_head(&parts.headers)
        .map_err(|it| {
            log::info!(event = "bad-request", why = it; "request refused: invalid headers: {it}");
            reply::fault_response(Fault::BadRequest, None)
        })?;
    let account = account::authenticate(&catalog, &route, &request_head, handover)
        .map_err(|Unauthenticated| unauthenticated_response(gateway))?;
    let limit = catalog.limits.body_bytes;
    let timeout = request_head.timeout.unwrap_or(route.timeout);
    let deadline = started + timeout.min(route.timeout);
    let remaining = deadline.saturating_sub(started);
    let body = read_body(gateway, body, limit, remaining).await?;
    if gateway.closing.get() && route.kind.is_stream() {
        // A response that has begun can't be replaced by a failure at the end of the grace period.
        return Err(stopping_response());
    }
    // The host that passes the request on has charged it.
    let charge = match (&account, handover) {
        (Some(it), None) => account::charge(gateway, gossip, it, &request_head)
            .map_err(|wait| reply::fault_response(Fault::Quota, Some(wait)))?,
        _ => None,
    };
    let mut headers = forwarded_headers(gateway, parts.headers, &parts.method, &body);
    if catalog.accounts.is_some() {
        account::replace_credentials(gateway, &mut headers, account.as_deref());
    }
    // All tries of a stream go to one service while the weights of the route stay. Once the build that began it is known,
    // the service is that of the build.
    let began_by = request_head.resumed_request.as_ref();
    let began_by = began_by.unwrap_or(&request_head.id);
    let service = route
        .service(fleet::rendezvous::weight(began_by, ""))
        .clone();
    let prefix_chain = prefix_chain(&request_head);
    let content = content::identify(
        &*gateway.dialect,
        &parts.method,
        &parts.uri,
        &headers,
        &body,
    );
    let stream_key = stream_key(&route, &request_head);
    let mut suspects = quarantine::suspects(&service, &request_head.prompt_parts);
    suspects.push(Suspect::whole(content));
    let received = Received {
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
        route,
        service,
        request_head,
        account,
        charge,
        prefix_chain,
        suspects,
        stream_key,
        started,
        deadline,
        revision: catalog.revision,
        caller,
    };
    Ok(Exchange::new(gateway, gossip, received))
}

/// Reads the body of a request.
async fn read_body(
    gateway: &Gateway,
    mut body: Incoming,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, Response<Body>> {
    let collect = gateway.request_budget.collect(&mut body, max_bytes);
    let failure = match time::timeout(timeout, collect).await {
        Ok(Ok(it)) => return Ok(it),
        Ok(Err(it)) => it,
        Err(_) => return Err(reply::fault_response(Fault::Timeout, None)),
    };
    if !matches!(failure, memory::Failure::NoMemory) {
        return Err(reply::fault_response(Fault::TooLarge, None));
    }
    // A caller whose connection is closed while it sends may lose the response.
    let mut rest = Limited::new(body, max_bytes);
    let discard = async { while let Some(Ok(_)) = rest.frame().await {} };
    let _ = time::timeout(timeout.min(MAX_DISCARD_TIME), discard).await;
    Err(reply::fault_response(
        Fault::NoMemory,
        Some(MEMORY_RETRY_AFTER),
    ))
}

/// Returns the key of the stream that a request begins or resumes, if its route allows that streams are resumed.
fn stream_key(route: &Route, request_head: &RequestHead) -> Option<StreamKey> {
    if route.kind != RequestKind::Resumable {
        return None;
    }
    let began_by = match request_head.last_event_id {
        Some(_) => request_head.resumed_request.as_deref(),
        None => Some(request_head.id.as_str()),
    };
    StreamKey::new(request_head.name.as_deref(), began_by)
}

/// Returns the parts of a prompt. One whose parts aren't named is unlike any other.
fn prefix_chain(request_head: &RequestHead) -> Chain {
    let name = request_head.name.as_deref().unwrap_or_default();
    if !request_head.prompt_parts.is_empty() || request_head.prompt_tokens == 0 {
        return Chain::new(name, &request_head.prompt_parts);
    }
    let prompt = fleet::prefix::Part {
        id: rand::random(),
        tokens: request_head.prompt_tokens,
    };
    Chain::new(name, &[prompt])
}

/// Returns the headers of a caller's request that are forwarded, with the length of its body.
fn forwarded_headers(
    gateway: &Gateway,
    mut headers: HeaderMap,
    method: &Method,
    body: &[u8],
) -> HeaderMap {
    reply::strip_hop_headers(&mut headers);
    headers.remove(&HANDOVER);
    let reserved: Vec<_> = headers
        .keys()
        .filter(|it| gateway.dialect.is_reserved(it))
        .cloned()
        .collect();
    for name in reserved {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
    if !body.is_empty() || method == Method::POST || method == Method::PUT {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    headers
}
