//! Settings of the peer service.

use std::{net::SocketAddr, time::Duration};

/// Settings of a [`Service`](crate::Service).
#[derive(Clone, Debug)]
pub struct Settings {
    /// The identity of this host. A port of 0 in its address is replaced by the port that was bound.
    pub identity: member::Identity,
    /// The address to listen on, for both datagrams and connections.
    pub listen: SocketAddr,
    /// The cluster key, which is the same on all hosts.
    pub key: Vec<u8>,
    /// Peer addresses through which members are found.
    pub seeds: Vec<SocketAddr>,
    /// The intervals and limits of gossip.
    pub gossip: member::Settings,
    /// Limits on resources and timeouts.
    pub limits: Limits,
    /// The seed of the random number generator of gossip.
    pub seed: u64,
}

impl Settings {
    /// Creates settings with the default intervals and limits.
    pub fn new(
        identity: member::Identity,
        listen: SocketAddr,
        key: Vec<u8>,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        Self {
            identity,
            listen,
            key,
            seeds,
            gossip: member::Settings::default(),
            limits: Limits::default(),
            seed: rand::random(),
        }
    }
}

/// Limits on resources and timeouts, which protect against hostile input and slow hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Time within which an accepted connection must be authenticated.
    pub authentication_timeout: Duration,
    /// Maximum number of bytes that an accepted connection may send before it is authenticated.
    pub max_unauthenticated_bytes: u64,
    /// Maximum number of unauthenticated connections of one IP address.
    pub unauthenticated_per_address: usize,
    /// Maximum number of unauthenticated connections from addresses that belong to no member.
    pub unauthenticated: usize,
    /// Maximum number of authenticated connections that were accepted.
    pub connections: usize,
    /// Maximum size in bytes of a received call.
    pub max_request_bytes: usize,
    /// Maximum size in bytes of a received response.
    pub max_response_bytes: usize,
    /// Maximum number of this host's calls in progress, and also of its calls that are queued.
    /// Releases don't count.
    pub outgoing_calls: usize,
    /// Maximum number of permit requests of other hosts in progress.
    pub incoming_permit_requests: usize,
    /// Maximum number of queued releases per host.
    pub releases_per_host: usize,
    /// Number of datagrams with an invalid tag per second after which only the tags of datagrams
    /// from members' addresses are verified.
    pub forged_checks_per_second: u32,
    /// Time within which a connection to another host must be opened and authenticated.
    pub connect_timeout: Duration,
    /// Time to wait for the acknowledgement of a batch of releases before it is sent again.
    pub release_timeout: Duration,
    /// Time for which [`Service::stop`](crate::Service::stop) waits until all releases are
    /// acknowledged.
    pub drain_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            authentication_timeout: Duration::from_secs(2),
            max_unauthenticated_bytes: 4096,
            unauthenticated_per_address: 16,
            unauthenticated: 64,
            connections: 2048,
            max_request_bytes: 64 * 1024,
            max_response_bytes: 8 * 1024 * 1024,
            outgoing_calls: 4096,
            incoming_permit_requests: 8192,
            releases_per_host: 16_384,
            forged_checks_per_second: 500,
            connect_timeout: Duration::from_secs(1),
            release_timeout: Duration::from_secs(2),
            drain_timeout: Duration::from_secs(1),
        }
    }
}
