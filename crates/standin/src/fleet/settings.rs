//! Settings file of an entry host of the fleet.

use std::{fmt, net::SocketAddr};

/// Cluster key of all fleets. It is public and protects nothing.
pub const CLUSTER_KEY: &str = "demo-key-not-secret-0123456789abcdef";

/// The settings that differ between entry hosts. `Display` writes the settings file.
#[derive(Debug)]
pub struct Entry<'a> {
    /// The name of the host.
    pub host: &'a str,
    /// The failure domain of the host.
    pub domain: &'a str,
    /// The address for callers. It is fixed and stays the same across restarts, so that a test that
    /// connects to a terminated host does not reach another process.
    pub callers: SocketAddr,
    /// The peer address of the host.
    pub peers: SocketAddr,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// The peer addresses of other hosts.
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
