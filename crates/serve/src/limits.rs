//! What the server allows its callers.

#[cfg(test)]
mod tests;

use std::{fs, time::Duration};

/// Smallest value of [`Limits::header_bytes`]; the parser needs that much.
pub const MIN_HEADER_BYTES: usize = 8192;

/// Bytes of an answer that a slow caller has to read each second.
pub const MIN_READ_BYTES_PER_SECOND: u64 = 4096;

/// Files that a process needs besides its connections to callers and upstreams.
const OTHER_FILES: usize = 64;

/// Bounds on what callers can occupy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Size of a request line with its headers, at least 8,192 bytes.
    pub header_bytes: usize,
    /// Number of headers.
    pub header_count: usize,
    /// Time from the first byte of a request to the end of its headers.
    pub header_timeout: Duration,
    /// Size of a request body in bytes.
    pub body_bytes: usize,
    /// Size of the bodies of all requests that run, in bytes.
    pub total_body_bytes: usize,
    /// Time from the end of the headers to the end of the body.
    pub body_timeout: Duration,
    /// Time for which a caller may leave an answer unread; a caller that reads gains a second
    /// for every [`MIN_READ_BYTES_PER_SECOND`].
    pub write_timeout: Duration,
    /// Open connections of all callers.
    pub connections: usize,
    /// Open connections of one peer address.
    pub peer_connections: usize,
    /// Time for which a connection may stay open without a request.
    pub idle_timeout: Duration,
    /// Requests that wait for a worker.
    pub queue: usize,
    /// Time for which a request waits for a worker before it is refused.
    pub queue_timeout: Duration,
    /// Requests that are handled at the same time, each on a thread of its own.
    pub workers: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            header_count: 64,
            header_timeout: Duration::from_secs(5),
            body_bytes: 1024 * 1024,
            total_body_bytes: 64 * 1024 * 1024,
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(20),
            connections: 8192,
            peer_connections: 4096,
            idle_timeout: Duration::from_mins(1),
            queue: 256,
            queue_timeout: Duration::from_millis(500),
            workers: 256,
        }
    }
}

impl Limits {
    /// The same limits with no more connections than the process may have files for, since each
    /// request may need a connection to an upstream as well.
    pub(crate) fn within_files(mut self) -> Self {
        let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
        let Some(files) = open_files(&limits) else {
            return self;
        };
        let connections = max_connections(files);
        if connections < self.connections {
            log::warn!(
                target: "serve",
                "The process may open {files} files, so {connections} connections are allowed in place of {}.",
                self.connections,
            );
            self.connections = connections;
        }
        self
    }
}

/// The soft limit on open files in the text of `/proc/self/limits`.
fn open_files(limits: &str) -> Option<usize> {
    let line = limits
        .lines()
        .find_map(|it| it.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

fn max_connections(files: usize) -> usize {
    (files.saturating_sub(OTHER_FILES) / 2).max(1)
}
