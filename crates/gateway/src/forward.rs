//! Reads a caller's request, finds its route and passes it on.

use std::{rc::Rc, time::Duration};

use fleet::{catalog::Catalog, prefix::Chain};
use http_body_util::{BodyExt, Limited};
use hyper::{
    Method, Request, Response,
    body::Incoming,
    header::{CONTENT_LENGTH, HOST, HeaderValue},
};
use tokio::time;

use crate::{
    clock,
    gateway::Gateway,
    gossip::Gossip,
    job::Job,
    reply::{self, Body, Fault},
    story::Story,
};

/// Time after which a caller may come back where another host serves it.
const ELSEWHERE: Duration = Duration::from_millis(50);

/// Longest time for which a request waits for the first configuration of a host.
const STARTS: Duration = Duration::from_secs(1);

/// Serves one request.
pub async fn serve(
    gateway: Rc<Gateway>,
    gossip: Rc<Gossip>,
    request: Request<Incoming>,
) -> Response<Body> {
    let job = match accept(&gateway, &gossip, request).await {
        Ok(it) => it,
        Err(answer) => return answer,
    };
    gateway.count_request(&job.service);
    job.run().await
}

/// The configuration. A host that has just started has it in a moment, and its callers may have no more
/// tries than this one.
async fn catalog(gateway: &Rc<Gateway>) -> Option<Rc<Catalog>> {
    let known = gateway.configured.notified();
    if gateway.catalog().is_none() {
        let _ = time::timeout(STARTS, known).await;
    }
    gateway.catalog()
}

/// Reads a request and finds its route.
async fn accept(
    gateway: &Rc<Gateway>,
    gossip: &Rc<Gossip>,
    request: Request<Incoming>,
) -> Result<Job, Response<Body>> {
    let began = clock::now();
    if gateway.closing.get() {
        // It might not be done before the end; another host takes it at once.
        return Err(reply::fault(Fault::Stopping, Some(ELSEWHERE)));
    }
    let Some(catalog) = catalog(gateway).await else {
        log::info!(event = "no-config"; "a request is refused: no configuration is known");
        return Err(reply::fault(
            Fault::NoConfig,
            Some(Duration::from_millis(400)),
        ));
    };
    let (parts, body) = request.into_parts();
    let host = parts.headers.get(HOST).and_then(|it| it.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    let Some(route) = catalog.route(host, parts.uri.path()).cloned() else {
        return Err(reply::fault(Fault::NoRoute, None));
    };
    let envelope = gateway
        .dialect
        .parse_request_head(&parts.headers)
        .map_err(|it| {
            log::info!(event = "bad-request", why = it; "a request can't be read: {it}");
            reply::fault(Fault::BadRequest, None)
        })?;
    let limit = catalog.limits.body_bytes;
    let patience = envelope.timeout.unwrap_or(route.timeout);
    let deadline = began + patience.min(route.timeout);
    let within = deadline.saturating_sub(began);
    let body = match time::timeout(within, Limited::new(body, limit).collect()).await {
        Ok(Ok(it)) => it.to_bytes(),
        Ok(Err(_)) => return Err(reply::fault(Fault::TooLarge, None)),
        Err(_) => return Err(reply::fault(Fault::Timeout, None)),
    };
    let mut head = parts.headers;
    reply::strip(&mut head);
    let ours: Vec<_> = head
        .keys()
        .filter(|it| gateway.dialect.is_reserved(it))
        .cloned()
        .collect();
    for name in ours {
        head.remove(name);
    }
    head.remove(CONTENT_LENGTH);
    if !body.is_empty() || parts.method == Method::POST || parts.method == Method::PUT {
        head.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    let service = route
        .service(fleet::rendezvous::weight(&envelope.id, ""))
        .clone();
    let name = envelope.name.as_deref().unwrap_or_default();
    let mut chain = Chain::new(name, &envelope.prompt_parts);
    if envelope.prompt_parts.is_empty() && envelope.prompt_tokens > 0 {
        let whole = fleet::prefix::Part {
            id: rand::random(),
            tokens: envelope.prompt_tokens,
        };
        chain = Chain::new(name, &[whole]);
    }
    Ok(Job {
        gateway: gateway.clone(),
        gossip: gossip.clone(),
        method: parts.method,
        uri: parts.uri,
        head,
        body,
        route,
        service,
        envelope,
        chain,
        began,
        deadline,
        tried: Vec::new(),
        strangers: 0,
        sent: 0,
        ran: false,
        story: Story::new(began, catalog.revision),
        ended: false,
        failure: None,
    })
}
