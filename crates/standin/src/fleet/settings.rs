//! The settings file of an entry host of the fleet.

use std::{fmt, net::SocketAddr};

/// The cluster key of every fleet. It protects nothing.
pub const CLUSTER_KEY: &str = "demo-key-not-secret-0123456789abcdef";

/// What differs from entry host to entry host.
#[derive(Debug)]
pub struct Entry<'a> {
    /// The host.
    pub host: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
    /// Where its callers connect, also after a restart: a test that connects to a host that is gone
    /// must not meet another process.
    pub callers: SocketAddr,
    /// Its peer address.
    pub peers: SocketAddr,
    /// The platform.
    pub platform: SocketAddr,
    /// Peer addresses of other hosts.
    pub seeds: Vec<SocketAddr>,
}

impl fmt::Display for Entry<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "host: {}", self.host)?;
        writeln!(f, "domain: {}", self.domain)?;
        writeln!(f, "callers: \"{}\"", self.callers)?;
        writeln!(f, "peers: \"{}\"", self.peers)?;
        writeln!(f, "platform: \"{}\"", self.platform)?;
        writeln!(f, "cluster_key: {CLUSTER_KEY}")?;
        writeln!(f, "seeds:")?;
        for seed in &self.seeds {
            writeln!(f, "  - \"{seed}\"")?;
        }
        if self.seeds.is_empty() {
            writeln!(f, "  []")?;
        }
        writeln!(f, "log: {{level: debug, form: text}}")
    }
}
