//! Limits on the resources that callers can occupy.

#[cfg(test)]
mod tests;

use std::{fs, time::Duration};

/// Smallest value of [`Limits::header_bytes`]; the HTTP parser requires it.
pub const MIN_HEADER_BYTES: usize = 8192;

/// Rate at which a slow caller has to read a response once [`Limits::write_timeout`] has passed.
pub const MIN_READ_BYTES_PER_SECOND: u64 = 4096;

/// File descriptors reserved for uses other than connections to callers and upstreams.
const RESERVED_FILES: usize = 64;

/// Limits on the resources that callers can occupy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Size of the request line and headers in bytes, at least [`MIN_HEADER_BYTES`].
    pub header_bytes: usize,
    /// Number of headers of a request.
    pub header_count: usize,
    /// Time from the first byte of a request to the end of its headers.
    pub header_timeout: Duration,
    /// Size of a request body in bytes.
    pub body_bytes: usize,
    /// Total size of the bodies of all in-flight requests in bytes.
    pub total_body_bytes: usize,
    /// Time from the end of the headers to the end of the body.
    pub body_timeout: Duration,
    /// Time for which a caller may leave a response unread; every [`MIN_READ_BYTES_PER_SECOND`]
    /// bytes read extend it by one second.
    pub write_timeout: Duration,
    /// Number of open connections of all callers.
    pub connections: usize,
    /// Number of open connections of one peer IP address.
    pub peer_connections: usize,
    /// Time for which a connection may stay open without a request in progress.
    pub idle_timeout: Duration,
    /// Number of requests that wait for a worker.
    pub queue: usize,
    /// Time for which a request waits for a worker before it is rejected.
    pub queue_timeout: Duration,
    /// Number of worker threads, and so of requests that are handled at the same time.
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
    /// Caps `connections` by the process's limit on open files: each caller's connection may need
    /// one to an upstream as well.
    pub(crate) fn cap_by_open_files(mut self) -> Self {
        let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
        let Some(files) = parse_open_files(&limits) else {
            return self;
        };
        let connections = compute_max_connections(files);
        if connections < self.connections {
            log::warn!(
                target: "serve",
                "The process may open {files} files; the limit on connections is lowered to {connections} from {}.",
                self.connections,
            );
            self.connections = connections;
        }
        self
    }
}

/// Parses the soft limit on open files from the text of `/proc/self/limits`.
fn parse_open_files(limits: &str) -> Option<usize> {
    let line = limits
        .lines()
        .find_map(|it| it.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

fn compute_max_connections(files: usize) -> usize {
    (files.saturating_sub(RESERVED_FILES) / 2).max(1)
}
