//! Attribution of an engine's response to the request that was sent last on its connection. An engine may
//! send a second response to an earlier request at the point where the next response is expected, so a
//! response says nothing about a request until it is attributed to it.

use crate::connection::Origin;

/// Request to which a response belongs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Attribution {
    /// The request that was sent last.
    Own,
    /// Another request, which the response names.
    Other,
    /// Unknown: the response names no request, and the connection has had earlier ones.
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
