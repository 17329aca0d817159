//! Client of plain services: HTTP services without adapters, to which calls are forwarded.

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

/// Headers that apply to one connection only, or that the client sets itself.
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
/// Hop-by-hop header for which the `http` crate has no constant.
const KEEP_ALIVE: &str = "keep-alive";

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The address of the service instance.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query, percent-encoded.
    pub target: &'a str,
    /// Header fields; hop-by-hop ones are not forwarded.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// The first byte has to be sent before this instant.
    pub start_by: Instant,
    /// The response has to be complete by this instant.
    pub deadline: Instant,
    /// Tells whether the caller still waits for the response.
    pub cancellation: Cancellation,
}

/// The response of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Header fields without the hop-by-hop ones.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// Calls plain services, each call once and on its own connection.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    /// Largest body of a response in bytes.
    pub max_response_bytes: u64,
}

impl Client {
    /// Sends a call and waits for its complete response.
    pub fn call(&self, request: Request<'_>) -> Result<Response, Fault> {
        let address = request.address;
        let deadline = request.deadline;
        let call = build_call(request, self.max_response_bytes)?;
        let response = call::send(call).map_err(|failure| failure.fault())?;
        if is_leaving(&response) {
            let detail = format!("the instance {address} is leaving");
            return Err(Fault::new(Kind::UpstreamLeaving, detail));
        }
        self.read_response(response)
            .map_err(|error| build_incomplete_response_fault(address, deadline, &error))
    }

    fn read_response(self, mut response: http::Response<Body>) -> Result<Response, Error> {
        let headers = read_headers(response.headers());
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

fn build_call(request: Request<'_>, max_response_bytes: u64) -> Result<Call, Fault> {
    let method = Method::from_bytes(request.method.as_bytes());
    let method = method.map_err(|_| build_bad_request_fault("the method is no token"))?;
    Ok(Call {
        address: request.address,
        method,
        target: request.target.to_owned(),
        headers: build_headers(&request.headers)?,
        body: request.body,
        max_response_bytes,
        start_by: request.start_by,
        deadline: request.deadline,
        cancellation: request.cancellation,
    })
}

fn build_bad_request_fault(detail: &str) -> Fault {
    Fault::new(Kind::BadRequest, detail)
}

fn build_headers(fields: &[(String, String)]) -> Result<HeaderMap, Fault> {
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        let name: HeaderName = name
            .parse()
            .map_err(|_| build_bad_request_fault("a header has no proper name"))?;
        let value: HeaderValue = value
            .parse()
            .map_err(|_| build_bad_request_fault("a header has no proper value"))?;
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

fn read_headers(headers: &HeaderMap) -> Vec<(String, String)> {
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

/// Returns whether the instance rejected the call because it is shutting down. The call has then
/// not run.
fn is_leaving(response: &http::Response<Body>) -> bool {
    let header = response.headers().get("x-leaving");
    response.status() == 503 && header.is_some_and(|it| it.as_bytes().eq_ignore_ascii_case(b"true"))
}

/// Returns the fault of a response that started but did not complete. The call was sent, so it may
/// have run.
fn build_incomplete_response_fault(address: SocketAddr, deadline: Instant, error: &Error) -> Fault {
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
