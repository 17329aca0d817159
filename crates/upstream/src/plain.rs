//! The client of plain services.

use std::{net::SocketAddr, time::Instant};

use kernel::fault::{Fault, Kind};
use ureq::{
    Body, Error,
    http::{self, HeaderMap, HeaderName, HeaderValue, Method, header},
};

use crate::{
    call::{self, Call},
    cancellation::Cancellation,
};

/// Fields that concern one connection, or that the client sets itself.
const HOP_BY_HOP: [HeaderName; 10] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
const KEEP_ALIVE: &str = "keep-alive";

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Where the instance listens.
    pub address: SocketAddr,
    /// The method.
    pub method: &'a str,
    /// Path and query, percent-encoded.
    pub target: &'a str,
    /// Header fields; those that concern the caller's connection are left out.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// No byte is sent from this instant on.
    pub start_by: Instant,
    /// The answer has to be whole by then.
    pub deadline: Instant,
    /// Whether anybody still waits for the answer.
    pub cancellation: Cancellation,
}

/// The answer of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Header fields, without those that concern the connection.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// Calls plain services, each call once and on a connection of its own.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    /// Largest body of an answer in bytes.
    pub max_response_bytes: u64,
}

impl Client {
    /// Sends a call and waits for its whole answer.
    pub fn call(&self, forward: Request<'_>) -> Result<Response, Fault> {
        let address = forward.address;
        let deadline = forward.deadline;
        let response = call::send(prepare(forward)?).map_err(|failure| failure.fault())?;
        if is_leaving(&response) {
            let detail = format!("the instance {address} is leaving");
            return Err(Fault::new(Kind::UpstreamLeaving, detail));
        }
        self.read(response)
            .map_err(|error| broken(address, deadline, &error))
    }

    fn read(self, mut response: http::Response<Body>) -> Result<Response, Error> {
        let headers = fields(response.headers());
        let body = response
            .body_mut()
            .with_config()
            .limit(self.max_response_bytes)
            .read_to_vec()?;
        Ok(Response {
            status: response.status().as_u16(),
            headers,
            body,
        })
    }
}

fn prepare(forward: Request<'_>) -> Result<Call, Fault> {
    let method = Method::from_bytes(forward.method.as_bytes());
    let method = method.map_err(|_| bad_request("the method is no token"))?;
    Ok(Call {
        address: forward.address,
        method,
        target: forward.target.to_owned(),
        headers: forwarded(&forward.headers)?,
        body: forward.body,
        start_by: forward.start_by,
        deadline: forward.deadline,
        cancellation: forward.cancellation,
    })
}

fn bad_request(detail: &str) -> Fault {
    Fault::new(Kind::BadRequest, detail)
}

fn forwarded(fields: &[(String, String)]) -> Result<HeaderMap, Fault> {
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        let name: HeaderName = name
            .parse()
            .map_err(|_| bad_request("a header has no proper name"))?;
        let value: HeaderValue = value
            .parse()
            .map_err(|_| bad_request("a header has no proper value"))?;
        headers.append(name, value);
    }
    remove_hop_by_hop(&mut headers);
    Ok(headers)
}

fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
}

fn fields(headers: &HeaderMap) -> Vec<(String, String)> {
    let mut headers = headers.clone();
    remove_hop_by_hop(&mut headers);
    headers
        .iter()
        .map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes());
            (name.as_str().to_owned(), value.into_owned())
        })
        .collect()
}

fn is_leaving(response: &http::Response<Body>) -> bool {
    let header = response.headers().get("x-leaving");
    response.status() == 503 && header.is_some_and(|it| it.as_bytes().eq_ignore_ascii_case(b"true"))
}

/// The fault of an answer that began and did not end. The call was sent, so it may have run.
fn broken(address: SocketAddr, deadline: Instant, error: &Error) -> Fault {
    if matches!(error, Error::BodyExceedsLimit(_)) {
        let detail = format!("the answer of {address} is larger than the limit");
        return Fault::new(Kind::BadAnswer, detail);
    }
    if matches!(error, Error::Timeout(_)) || Instant::now() >= deadline {
        let detail = format!("the deadline passed while {address} answered");
        return Fault::new(Kind::DeadlineAfterStart, detail);
    }
    let detail = format!("the answer of {address} broke off: {error}");
    Fault::new(Kind::UpstreamLost, detail)
}
