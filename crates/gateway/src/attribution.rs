//! Attribution of an engine's response to the request that was sent last on its connection. An engine may
//! send another response to an earlier request at the point where the next response is expected.

/// Request to which a response belongs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Attribution {
    /// The response names the request that was sent last.
    Own,
    /// The response names another request.
    Other,
    /// The response names no request.
    Unnamed,
}

impl Attribution {
    /// Compares the id in a response with that of the request that was sent last.
    pub fn new(request_id: &str, response_id: Option<&str>) -> Self {
        match response_id {
            Some(it) if it == request_id => Self::Own,
            Some(_) => Self::Other,
            None => Self::Unnamed,
        }
    }

    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Other => "other",
            Self::Unnamed => "unnamed",
        }
    }
}
