//! HTTP calls whose whole response is read within a timeout.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, Request, http::response::Parts};
use tokio::time;

use crate::connection::{Connection, Failure, Pool, Reuse};

/// Maximum idle time of a pooled connection that is reused for a call. Callers do not wait for
/// these calls.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);

/// A whole response. Its connection is closed unless the response is accepted.
pub struct Received {
    /// Status and headers.
    pub head: Parts,
    body: Bytes,
    connection: Connection,
}

impl Received {
    /// Accepts the response as the one to the request, and returns the connection to the pool.
    pub fn accept(self) -> (Parts, Bytes) {
        self.connection
            .release(keep_alive_timeout(&self.head.headers));
        (self.head, self.body)
    }
}

/// Sends a request and reads the whole response.
pub async fn send(
    pool: &Pool,
    addr: SocketAddr,
    mut request: Request<Bytes>,
    timeout: Duration,
) -> Result<Received, Failure> {
    request.headers_mut().insert(
        hyper::header::HOST,
        addr.to_string()
            .parse()
            .expect("a socket address is a valid header value"),
    );
    let exchange = async {
        let reuse = Reuse::IdleLess(MAX_IDLE_TIME);
        let mut connection = pool.acquire(addr, reuse).await?;
        let response = connection.send(request).await?;
        let (head, body) = response.into_parts();
        Ok(Received {
            head,
            body: body.collect().await?,
            connection,
        })
    };
    match time::timeout(timeout, exchange).await {
        Ok(it) => it,
        Err(_) => Err(Failure::Broken(format!("no response within {timeout:?}"))),
    }
}

/// Time for which the peer keeps an idle connection open, if its `Keep-Alive` header names one.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let value = text.split(',').find_map(|it| {
        let (name, value) = it.trim().split_once('=')?;
        name.eq_ignore_ascii_case("timeout").then_some(value)
    })?;
    value.trim().parse().ok().map(Duration::from_secs)
}
