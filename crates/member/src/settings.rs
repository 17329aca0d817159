//! Intervals and limits of gossip.

use std::time::Duration;

/// The set of hosts that a host tracks fully, with all their entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Detail {
    /// All hosts. Suits fleets of up to about a hundred hosts.
    Fleet,
    /// The hosts of the own failure domain. Of every other domain, only a few contacts are kept.
    Domain,
}

/// Intervals and limits of gossip. All hosts of a deployment must use the same values.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Time between two probe rounds.
    pub probe_period: Duration,
    /// Time to wait for the answer to a direct probe before other members are asked to probe.
    pub direct_probe_timeout: Duration,
    /// Time to wait for the indirect probes before the target is suspected.
    pub indirect_probe_timeout: Duration,
    /// Time that a suspected host has to refute the suspicion before it is declared down.
    pub suspicion_timeout: Duration,
    /// Time between two regular version comparisons with a random member.
    pub sync_interval: Duration,
    /// Minimum time between two version comparisons while recent changes are pending.
    pub eager_sync_interval: Duration,
    /// Time after its start during which a host compares versions at the eager interval.
    pub startup_sync_duration: Duration,
    /// Time between two attempts to reach hosts that are down or unknown.
    pub reconnect_interval: Duration,
    /// Time between two probes of a contact in another failure domain.
    pub contact_probe_interval: Duration,
    /// Time for which the record of a down host is kept.
    pub down_retention: Duration,
    /// Number of successors on the ring of host ids that are probed in each period.
    pub ring_probes: usize,
    /// Number of further members that are probed in each period, in random order.
    pub random_probes: usize,
    /// Number of members that are asked to probe a host that did not answer.
    pub relays: usize,
    /// Number of members to which a new broadcast is sent immediately.
    pub fanout: usize,
    /// The set of hosts that are tracked fully.
    pub detail: Detail,
    /// Maximum number of contacts, hosts that are not down, kept per other domain. Applies to
    /// [`Detail::Domain`] only.
    pub contacts_per_domain: usize,
    /// Maximum number of lines in a digest.
    pub max_digest_lines: usize,
    /// Approximate size in bytes up to which a message is filled.
    pub target_message_bytes: usize,
    /// Maximum number of messages sent in response to one digest or update.
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
            down_retention: Duration::from_hours(2),
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
