//! Calls to the platform's store.

use std::{pin::Pin, rc::Rc, time::Duration};

use fleet::{
    Time,
    era::{Era, Position, Verdict},
    store_call::{self, RecoveryBound},
};
use hyper::{Request, http::StatusCode};
use tokio::task::spawn_local;

use bytes::Bytes;

use crate::{
    call, clock,
    connection::Failure,
    dialect::{Kind, Object},
    gateway::Gateway,
};

/// Timeout of a call that does not wait for a change. A slow store takes a few hundred ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(1800);

/// Result of a write.
#[derive(Clone, Debug)]
pub enum WriteResult {
    /// The write was applied; holds the object as written, and its position.
    Written(Object, Position),
    /// The condition on the revision failed; holds the current object, and its position.
    Conflict(Object, Position),
    /// The object does not exist.
    NotFound,
    /// The store refused the write without applying it.
    Refused,
    /// No response, or one of another era than the request: the write may have been applied, or may still
    /// be applied.
    Unknown,
}

/// An answer of the store that belongs to the current era.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status of the response.
    pub status: StatusCode,
    /// Body of the response.
    pub body: Bytes,
    /// The current era, or the last known one if the answer doesn't state any.
    pub era: Era,
}

/// Reason of a call, as a metric label.
fn call_reason(kind: Kind, operation: &'static str) -> &'static str {
    match (kind, operation) {
        (Kind::Hosts, "write" | "delete") => "lease",
        (Kind::Claims, "write") => "claim",
        (Kind::Assignments, _) => "assignment",
        _ => operation,
    }
}

/// Sends a call and counts it. If it gets no answer, that is recorded as evidence about its connection.
async fn send_counted(
    gateway: &Rc<Gateway>,
    request: Request<Bytes>,
    timeout: Duration,
    reason: &'static str,
) -> Result<(StatusCode, Bytes, Verdict), Failure> {
    let sent_at = clock::now();
    let response = call::send(
        &gateway.store_pool,
        gateway.settings.store,
        request,
        timeout,
    )
    .await;
    let outcome = match &response {
        Ok(it) if it.head.status.is_success() => "done",
        Ok(_) => "refused",
        Err(_) => "silent",
    };
    gateway.metrics.count_store_call(reason, outcome);
    if let Err(error) = &response {
        log::debug!("store call failed: {error}");
        record_failure(gateway, sent_at);
    }
    let (head, body) = response?.accept();
    let verdict = gateway.observe_era(gateway.dialect.parse_era(&head.headers));
    Ok((head.status, body, verdict))
}

/// Sends a call. Returns `None` if the store did not answer, answered with an error of its own, or if the
/// answer is outdated.
pub async fn send(
    gateway: &Rc<Gateway>,
    request: Request<Bytes>,
    timeout: Duration,
    reason: &'static str,
) -> Option<Answer> {
    match send_counted(gateway, request, timeout, reason).await {
        Ok((_, _, Verdict::Outdated)) | Err(_) => None,
        Ok((status, body, _)) => {
            let era = gateway.store_era();
            if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
                log::debug!("store refused the call: {status}");
                gateway.record_store_refusal();
                return None;
            }
            gateway.record_store_answer();
            Some(Answer { status, body, era })
        }
    }
}

/// Asks for existing data, to see whether the store answers within `timeout`.
pub async fn probe(gateway: &Rc<Gateway>, timeout: Duration) -> Option<Answer> {
    let request = gateway.dialect.probe();
    send(gateway, request, timeout, "probe").await
}

/// Records that a call got no answer. One connection may fail while others work, so none of the open ones is used again, and
/// a call on a new one shows whether the store is available.
fn record_failure(gateway: &Rc<Gateway>, sent_at: Time) {
    if !gateway.record_store_failure(sent_at) {
        return;
    }
    gateway.store_pool.close_idle(gateway.settings.store);
    let gateway = gateway.clone();
    let checked: Pin<Box<dyn Future<Output = ()>>> = Box::pin(async move {
        let bound = RecoveryBound(gateway.settings.store_blind_time());
        probe(&gateway, store_call::probe_timeout(bound)).await;
    });
    spawn_local(checked);
}

/// Reads one object, with its position. Returns `Some(None)` if the object does not exist, and `None` if
/// the store did not answer.
pub async fn get(
    gateway: &Rc<Gateway>,
    kind: Kind,
    name: &str,
) -> Option<Option<(Object, Position)>> {
    let request = gateway.dialect.get(kind, name);
    let answer = send(gateway, request, CALL_TIMEOUT, call_reason(kind, "read")).await?;
    if answer.status == StatusCode::NOT_FOUND {
        return Some(None);
    }
    let object = gateway.dialect.parse_object(&answer.body)?;
    let position = Position {
        era: answer.era,
        rev: object.rev,
    };
    Some(Some((object, position)))
}

/// Creates an object, or replaces it if it was last changed at the given position.
pub async fn put(
    gateway: &Rc<Gateway>,
    kind: Kind,
    name: &str,
    spec: &serde_json::Value,
    position: Option<Position>,
) -> WriteResult {
    let rev = position.map(|it| it.rev);
    let request = gateway.dialect.put(kind, name, spec, rev);
    write(gateway, request, position, call_reason(kind, "write")).await
}

/// Deletes an object, if it was last changed at the given position.
pub async fn delete(
    gateway: &Rc<Gateway>,
    kind: Kind,
    name: &str,
    position: Position,
) -> WriteResult {
    let request = gateway.dialect.delete(kind, name, Some(position.rev));
    write(
        gateway,
        request,
        Some(position),
        call_reason(kind, "delete"),
    )
    .await
}

/// Sends a write. A condition on a position of an earlier era is not sent: its revision may have been
/// assigned again, to another change.
async fn write(
    gateway: &Rc<Gateway>,
    request: Request<Bytes>,
    position: Option<Position>,
    reason: &'static str,
) -> WriteResult {
    let era = gateway.store_era();
    if position.is_some_and(|it| it.era != era) {
        return WriteResult::Refused;
    }
    match send_counted(gateway, request, CALL_TIMEOUT, reason).await {
        Ok((status, body, Verdict::Current(answer_era))) => {
            // Before the first answer of the store, there is no era to compare with.
            if position.is_some() && answer_era != era {
                return WriteResult::Unknown;
            }
            write_result(gateway, status, &body, answer_era)
        }
        Ok((_, _, Verdict::Advanced { .. } | Verdict::Outdated | Verdict::Unknown)) | Err(_) => {
            WriteResult::Unknown
        }
    }
}

/// Determines the result of a write from the response.
fn write_result(gateway: &Rc<Gateway>, status: StatusCode, body: &[u8], era: Era) -> WriteResult {
    let object = gateway.dialect.parse_object(body).map(|it| {
        let rev = it.rev;
        (it, Position { era, rev })
    });
    match (status, object) {
        (StatusCode::CONFLICT, Some((it, position))) => WriteResult::Conflict(it, position),
        (StatusCode::NOT_FOUND, _) => WriteResult::NotFound,
        (it, Some((object, position))) if it.is_success() => WriteResult::Written(object, position),
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

/// Reads all objects of a kind, page by page. Also returns the position to watch from.
pub async fn list(
    gateway: &Rc<Gateway>,
    kind: Kind,
    stale: bool,
) -> Option<(Vec<Object>, Position)> {
    let mut objects: Vec<Object> = Vec::new();
    let mut first: Option<Position> = None;
    loop {
        let after = objects.last().map(|it| it.name.clone());
        let request = gateway.dialect.list(kind, after.as_deref(), stale);
        let answer = send(gateway, request, CALL_TIMEOUT, call_reason(kind, "list")).await?;
        let era = answer.era;
        if !answer.status.is_success() {
            let nothing = answer.status == StatusCode::NOT_FOUND;
            return nothing.then_some((objects, Position { era, rev: 0 }));
        }
        let page = gateway.dialect.parse_page(&answer.body)?;
        // Changes made while the pages are read are delivered by a watch from the first page's
        // revision.
        let rev = page.as_of;
        let as_of = *first.get_or_insert(Position { era, rev });
        if as_of.era != era {
            log::debug!("the era changed while a list was read");
            return None;
        }
        let more = page.has_more && !page.objects.is_empty();
        objects.extend(page.objects);
        if !more {
            return Some((objects, as_of));
        }
    }
}
