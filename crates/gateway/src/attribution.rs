//! Attribution of an engine's response to the request that was sent last on its connection. An engine may
//! send a second response to an earlier request at the point where the next response is expected, so a
//! response says nothing about a request until it is attributed to it.

use hyper::HeaderMap;

use crate::connection::Origin;

/// Beginning of a status line.
const VERSION: &[u8] = b"HTTP/1.";

/// Request to which a response belongs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Attribution {
    /// The request that was sent last.
    Own,
    /// Another request, which the response names.
    Other,
    /// Unknown: the response names no request, and the connection has had earlier ones, or its head is joined from
    /// two responses.
    Unknown,
}

impl Attribution {
    /// Attributes a response by the id that it names. A response that names no request can only belong to
    /// the first one of its connection.
    pub fn new(request_id: &str, response_id: Option<&str>, connection: Origin) -> Self {
        match (response_id, connection) {
            (Some(it), _) if it == request_id => Self::Own,
            (Some(_), _) => Self::Other,
            (None, Origin::New) => Self::Own,
            (None, Origin::Pooled) => Self::Unknown,
        }
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Other => "other",
            Self::Unknown => "unknown",
        }
    }
}

/// Returns whether a header contains the status line of a response. Then an engine sent the beginning of a
/// response, without its end, where this one was expected: the status belongs to the former, the headers to both.
pub fn contains_status_line(headers: &HeaderMap) -> bool {
    let is_status_line = |it: &[u8]| {
        let rest = it.strip_prefix(VERSION).unwrap_or_default();
        matches!(rest, [minor, b' ', status @ ..] if minor.is_ascii_digit()
            && status.len() >= 3 && status[..3].iter().all(u8::is_ascii_digit))
    };
    headers.values().any(|it| {
        let bytes = it.as_bytes();
        (0..bytes.len()).any(|at| is_status_line(&bytes[at..]))
    })
}
