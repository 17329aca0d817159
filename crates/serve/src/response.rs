//! Responses, and the conversion of faults to error responses.

use std::{fmt::Write as _, time::Duration};

use hyper::StatusCode;
use kernel::fault::Fault;
use serde_json::json;

/// A complete response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Header fields; the server adds `Content-Length` and `Date`.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// Builds the error response for a fault.
pub fn build_error_response(fault: &Fault, request_id: Option<&str>) -> Response {
    let answer = fault.kind.answer();
    let body = json!({"error": {
        "kind": answer.name,
        "message": fault.detail,
        "ran": answer.execution.as_str(),
        "request_id": request_id,
    }});
    let mut headers = vec![build_header("Content-Type", "application/json")];
    headers.extend(request_id.map(|it| build_header("X-Request-Id", it)));
    headers.extend(
        fault
            .retry_after
            .map(|it| build_header("Retry-After", &round_up_to_seconds(it).to_string())),
    );
    Response {
        status: answer.status,
        headers,
        body: body.to_string().into_bytes(),
    }
}

fn build_header(name: &str, value: &str) -> (String, String) {
    (name.to_owned(), value.to_owned())
}

fn round_up_to_seconds(duration: Duration) -> u64 {
    duration.as_secs() + u64::from(duration.subsec_nanos() > 0)
}

/// Encodes a response that closes its connection. Used when the HTTP parser cannot continue.
pub(crate) fn encode_closing(response: &Response) -> Vec<u8> {
    let reason = StatusCode::from_u16(response.status)
        .ok()
        .and_then(|it| it.canonical_reason())
        .unwrap_or_default();
    let mut head = format!("HTTP/1.1 {} {reason}\r\n", response.status);
    for (name, value) in &response.headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let length = response.body.len();
    let _ = write!(
        head,
        "Content-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&response.body);
    bytes
}
