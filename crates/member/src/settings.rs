//! The intervals and limits of gossip.

use std::time::Duration;

/// Which hosts a host knows in full.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Detail {
    /// All hosts; fits fleets of up to about a hundred hosts.
    Fleet,
    /// Those of the own failure domain, and a few contacts in each other domain.
    Domain,
}

/// Intervals and limits; all hosts of a deployment use the same.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Time between two rounds of probes.
    pub probe_period: Duration,
    /// How long a direct probe waits for its answer before others are asked to probe.
    pub direct_probe_timeout: Duration,
    /// How long the indirect probes may then take before the target is suspected.
    pub indirect_probe_timeout: Duration,
    /// How long a suspected host has to refute.
    pub suspicion_timeout: Duration,
    /// Time between two comparisons of versions with a random member.
    pub sync_interval: Duration,
    /// Shortest time between two comparisons after a change.
    pub eager_sync_interval: Duration,
    /// How long after its start a host compares versions as often as after a change.
    pub startup_sync_duration: Duration,
    /// Time between two tries to reach hosts that are not known to be alive.
    pub reconnect_interval: Duration,
    /// Time between two probes of a contact in another failure domain.
    pub contact_probe_interval: Duration,
    /// How long a dead host is remembered.
    pub dead_retention: Duration,
    /// How many successors on the ring of the own domain are probed in each period.
    pub ring_probes: usize,
    /// How many further members of the own domain are probed in each period, in random order.
    pub random_probes: usize,
    /// How many members are asked to probe a host that did not answer.
    pub relays: usize,
    /// To how many members fresh news is sent at once.
    pub fanout: usize,
    /// Which hosts are known in full.
    pub detail: Detail,
    /// How many live hosts are kept of each other domain if only the own one is known in full.
    pub contacts_per_domain: usize,
    /// Most lines of a digest.
    pub max_digest_lines: usize,
    /// Rough size in bytes up to which a message is filled.
    pub target_message_bytes: usize,
    /// Most messages that answer one comparison.
    pub max_sync_responses: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_millis(500),
            direct_probe_timeout: Duration::from_millis(200),
            indirect_probe_timeout: Duration::from_millis(300),
            suspicion_timeout: Duration::from_secs(1),
            sync_interval: Duration::from_secs(1),
            eager_sync_interval: Duration::from_millis(200),
            startup_sync_duration: Duration::from_secs(10),
            reconnect_interval: Duration::from_secs(2),
            contact_probe_interval: Duration::from_secs(2),
            dead_retention: Duration::from_hours(2),
            ring_probes: 1,
            random_probes: 1,
            relays: 3,
            fanout: 3,
            detail: Detail::Fleet,
            contacts_per_domain: 3,
            max_digest_lines: 28,
            target_message_bytes: 1000,
            max_sync_responses: 4,
        }
    }
}
