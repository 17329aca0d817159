//! Settings of the sockets between entry hosts.

use std::{net::SocketAddr, time::Duration};

/// Settings of a [`Service`](crate::Service).
#[derive(Clone, Debug)]
pub struct Settings {
    /// This host. A port of zero in its address is replaced by the port that was bound.
    pub me: member::Identity,
    /// Where to listen, for datagrams and for connections.
    pub listen: SocketAddr,
    /// The cluster key, which all hosts share.
    pub key: Vec<u8>,
    /// Peer addresses at which to look for members.
    pub seeds: Vec<SocketAddr>,
    /// The intervals and limits of gossip.
    pub gossip: member::Settings,
    /// The limits against hostile input.
    pub limits: Limits,
    /// The seed of the random choices of gossip.
    pub seed: u64,
}

impl Settings {
    /// Settings with the default intervals and limits.
    pub fn new(
        me: member::Identity,
        listen: SocketAddr,
        key: Vec<u8>,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        Self {
            me,
            listen,
            key,
            seeds,
            gossip: member::Settings::default(),
            limits: Limits::default(),
            seed: rand::random(),
        }
    }
}

/// Limits against hostile input and slow hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// How long a connection may take to prove the cluster key.
    pub time_to_enter: Duration,
    /// Most bytes that a connection may send before it has proved the key.
    pub bytes_to_enter: u64,
    /// Most connections of one IP address that have not proved the key.
    pub guests_per_address: usize,
    /// Most connections of all non-members that have not proved the key.
    pub guests: usize,
    /// Most connections that have proved the key.
    pub connections: usize,
    /// Largest call that a member may send, in bytes.
    pub call_bytes: usize,
    /// Largest answer to a call, in bytes.
    pub answer_bytes: usize,
    /// Most calls of this host that are under way.
    pub calls: usize,
    /// Most calls of others that are under way.
    pub served_calls: usize,
    /// Most releases that wait for one host.
    pub releases: usize,
    /// Datagrams without a valid code that are checked in a second; beyond that, only those from
    /// members' addresses are.
    pub forgeries: u32,
    /// How long connecting to a host and proving the key may take.
    pub connect: Duration,
    /// How long a release waits for its acknowledgement before it is sent again.
    pub acknowledge: Duration,
    /// How long stopping waits for releases to be acknowledged.
    pub drain: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            time_to_enter: Duration::from_secs(2),
            bytes_to_enter: 4096,
            guests_per_address: 16,
            guests: 64,
            connections: 2048,
            call_bytes: 64 * 1024,
            answer_bytes: 8 * 1024 * 1024,
            calls: 4096,
            served_calls: 8192,
            releases: 16_384,
            forgeries: 500,
            connect: Duration::from_secs(1),
            acknowledge: Duration::from_secs(2),
            drain: Duration::from_secs(1),
        }
    }
}
