//! Whole calls: a request, and an answer that is read to its end within a time.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{HeaderMap, Request, Response, http::StatusCode};
use tokio::time;

use crate::channel::{Failure, Pool};

/// Largest answer of a whole call in bytes: a page of the store has about 1 MB.
const ANSWER_BYTES: usize = 8 << 20;

/// Calls that aren't on a caller's way use connections that were idle for at most this long.
const IDLE: Duration = Duration::from_secs(3);

/// Sends a request and reads the whole answer.
pub async fn call(
    pool: &Pool,
    addr: SocketAddr,
    mut request: Request<Bytes>,
    within: Duration,
) -> Result<(StatusCode, Bytes), Failure> {
    request.headers_mut().insert(
        hyper::header::HOST,
        addr.to_string()
            .parse()
            .expect("an address is a valid host"),
    );
    let whole = async {
        let mut channel = pool.channel(addr, IDLE).await?;
        let answer = channel.send(request).await?;
        let (head, body) = read(answer).await?;
        channel.keep(kept_for(&head.headers));
        Ok((head.status, body))
    };
    match time::timeout(within, whole).await {
        Ok(it) => it,
        Err(_) => Err(Failure::Broken(format!("no answer in {within:?}"))),
    }
}

/// Reads an answer to its end.
pub async fn read(
    answer: Response<hyper::body::Incoming>,
) -> Result<(hyper::http::response::Parts, Bytes), Failure> {
    let (head, body) = answer.into_parts();
    let body = Limited::new(body, ANSWER_BYTES)
        .collect()
        .await
        .map_err(|it| Failure::Broken(it.to_string()))?;
    Ok((head, body.to_bytes()))
}

/// How long the peer keeps the idle connection, where it says so.
pub fn kept_for(head: &HeaderMap) -> Option<Duration> {
    let text = head.get("keep-alive")?.to_str().ok()?;
    let value = text.split(',').find_map(|it| {
        let (name, value) = it.trim().split_once('=')?;
        name.eq_ignore_ascii_case("timeout").then_some(value)
    })?;
    value.trim().parse().ok().map(Duration::from_secs)
}
