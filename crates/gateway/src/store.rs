//! Calls to the platform's store.

use std::{rc::Rc, time::Duration};

use hyper::{Request, http::StatusCode};

use bytes::Bytes;

use crate::{
    call,
    connection::Failure,
    dialect::{Kind, Object},
    gateway::Gateway,
};

/// Timeout of a call that does not wait for a change. A slow store takes a few hundred ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(1800);

/// Result of a write.
#[derive(Clone, Debug)]
pub enum WriteResult {
    /// The write was applied; holds the object as written.
    Written(Object),
    /// The condition on the revision failed; holds the current object.
    Conflict(Object),
    /// The object does not exist.
    NotFound,
    /// The store refused the write without applying it.
    Refused,
    /// No response: the write may have been applied, or may still be applied.
    Unknown,
}

/// Reason of a call, as a metric label.
fn call_reason(kind: Kind, operation: &'static str) -> &'static str {
    match (kind, operation) {
        (Kind::Hosts, "write" | "delete") => "lease",
        (Kind::Claims, "write") => "claim",
        _ => operation,
    }
}

/// Sends a call and counts it.
async fn send_counted(
    gateway: &Rc<Gateway>,
    request: Request<Bytes>,
    timeout: Duration,
    reason: &'static str,
) -> Result<(StatusCode, Bytes), Failure> {
    let response = call::send(&gateway.pool, gateway.settings.store, request, timeout).await;
    let outcome = match &response {
        Ok((status, _)) if status.is_success() => "done",
        Ok(_) => "refused",
        Err(_) => "silent",
    };
    gateway.metrics.count_store_call(reason, outcome);
    response
}

/// Sends a call. Returns `None` if the store did not answer or answered with an error of its own.
pub async fn send(
    gateway: &Rc<Gateway>,
    request: Request<Bytes>,
    timeout: Duration,
    reason: &'static str,
) -> Option<(StatusCode, Bytes)> {
    match send_counted(gateway, request, timeout, reason).await {
        Ok((status, body)) => {
            let available = !status.is_server_error() && status != StatusCode::TOO_MANY_REQUESTS;
            if !available {
                log::debug!("store refused the call: {status}");
            }
            gateway.set_store_available(available);
            available.then_some((status, body))
        }
        Err(error) => {
            log::debug!("store call failed: {error}");
            gateway.set_store_available(false);
            None
        }
    }
}

/// Reads one object. Returns `Some(None)` if the object does not exist, and `None` if the store did
/// not answer.
pub async fn get(gateway: &Rc<Gateway>, kind: Kind, name: &str) -> Option<Option<Object>> {
    let request = gateway.dialect.get(kind, name);
    let (status, body) = send(gateway, request, CALL_TIMEOUT, call_reason(kind, "read")).await?;
    if status == StatusCode::NOT_FOUND {
        return Some(None);
    }
    gateway.dialect.parse_object(&body).map(Some)
}

/// Creates an object, or replaces it if it still has the given revision.
pub async fn put(
    gateway: &Rc<Gateway>,
    kind: Kind,
    name: &str,
    spec: &serde_json::Value,
    rev: Option<u64>,
) -> WriteResult {
    let request = gateway.dialect.put(kind, name, spec, rev);
    let Ok((status, body)) =
        send_counted(gateway, request, CALL_TIMEOUT, call_reason(kind, "write")).await
    else {
        gateway.set_store_available(false);
        return WriteResult::Unknown;
    };
    write_result(gateway, status, &body)
}

/// Deletes an object, if it still has the given revision.
pub async fn delete(
    gateway: &Rc<Gateway>,
    kind: Kind,
    name: &str,
    rev: Option<u64>,
) -> WriteResult {
    let request = gateway.dialect.delete(kind, name, rev);
    let Ok((status, body)) =
        send_counted(gateway, request, CALL_TIMEOUT, call_reason(kind, "delete")).await
    else {
        return WriteResult::Unknown;
    };
    write_result(gateway, status, &body)
}

/// Determines the result of a write from the response.
fn write_result(gateway: &Rc<Gateway>, status: StatusCode, body: &[u8]) -> WriteResult {
    let object = gateway.dialect.parse_object(body);
    match (status, object) {
        (StatusCode::CONFLICT, Some(it)) => WriteResult::Conflict(it),
        (StatusCode::NOT_FOUND, _) => WriteResult::NotFound,
        (it, Some(object)) if it.is_success() => WriteResult::Written(object),
        (it, None) if it.is_success() => WriteResult::Unknown,
        (StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _) => {
            WriteResult::Refused
        }
        _ => {
            log::warn!(event = "store-write-refused", status = status.as_u16(); "the store refused a write");
            WriteResult::Refused
        }
    }
}

/// Reads all objects of a kind, page by page. Also returns the revision to watch from.
pub async fn list(gateway: &Rc<Gateway>, kind: Kind, stale: bool) -> Option<(Vec<Object>, u64)> {
    let mut objects: Vec<Object> = Vec::new();
    let mut first_as_of = None;
    loop {
        let after = objects.last().map(|it| it.name.clone());
        let request = gateway.dialect.list(kind, after.as_deref(), stale);
        let (status, body) =
            send(gateway, request, CALL_TIMEOUT, call_reason(kind, "list")).await?;
        if !status.is_success() {
            return (status == StatusCode::NOT_FOUND).then_some((objects, 0));
        }
        let page = gateway.dialect.parse_page(&body)?;
        // Changes made while the pages are read are delivered by a watch from the first page's
        // revision.
        let as_of = *first_as_of.get_or_insert(page.as_of);
        let more = page.has_more && !page.objects.is_empty();
        objects.extend(page.objects);
        if !more {
            return Some((objects, as_of));
        }
    }
}
