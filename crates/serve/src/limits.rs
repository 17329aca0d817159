//! What the server allows its callers.

use std::time::Duration;

/// Smallest value of [`Limits::header_bytes`]; the parser needs that much.
pub const MIN_HEADER_BYTES: usize = 8192;

/// Bytes of an answer that a slow caller has to read each second.
pub const MIN_READ_BYTES: u64 = 4096;

/// Bounds on what callers can occupy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Size of a request line with its headers, at least 8,192 bytes.
    pub header_bytes: usize,
    /// Number of headers.
    pub header_count: usize,
    /// Time from the first byte of a request to the end of its headers.
    pub header_time: Duration,
    /// Size of a request body in bytes.
    pub body_bytes: usize,
    /// Size of the bodies of all requests that run, in bytes.
    pub running_body_bytes: usize,
    /// Time from the end of the headers to the end of the body.
    pub body_time: Duration,
    /// Time for which a caller may leave an answer unread; a caller that reads gains a second
    /// for every [`MIN_READ_BYTES`].
    pub write_time: Duration,
    /// Open connections of all callers.
    pub connections: usize,
    /// Open connections of one peer address.
    pub peer_connections: usize,
    /// Time for which a connection may stay open without a request.
    pub idle: Duration,
    /// Requests that wait for a worker.
    pub queue: usize,
    /// Requests that are handled at the same time, each on a thread of its own.
    pub workers: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            header_count: 64,
            header_time: Duration::from_secs(5),
            body_bytes: 1024 * 1024,
            running_body_bytes: 64 * 1024 * 1024,
            body_time: Duration::from_secs(10),
            write_time: Duration::from_secs(20),
            connections: 4096,
            peer_connections: 1024,
            idle: Duration::from_mins(1),
            queue: 256,
            workers: 256,
        }
    }
}
