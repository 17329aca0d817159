//! Failure detection by direct and indirect probes.

use std::{collections::BTreeMap, net::SocketAddr, time::Instant};

use kernel::name::Domain;

use crate::{
    message::Body,
    record::{Record, Standing},
    state::{Due, State, advance_if_due},
};

/// A probe that has not been answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    pub number: u64,
    /// Id of the probed host.
    pub target: u64,
    pub stage: Stage,
    pub deadline: Instant,
}

/// The stage of a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// The target was pinged by this host.
    Direct,
    /// Other members were asked to ping the target.
    Indirect,
}

/// A probe made on behalf of another host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayedProbe {
    /// The number of the ping that this host sent.
    pub number: u64,
    /// The number under which the requester expects the `Ack`.
    pub requester_number: u64,
    pub requester: SocketAddr,
    pub deadline: Instant,
}

/// Maximum number of outstanding probes made on behalf of other hosts.
const MAX_RELAYED_PROBES: usize = 64;

impl State {
    /// Handles probes that have timed out and starts those that are due.
    pub(crate) fn run_probes(&mut self, now: Instant) {
        self.relayed_probes.retain(|it| it.deadline > now);
        self.handle_probe_timeouts(now);
        if advance_if_due(
            &mut self.timers.next_probe_round,
            self.settings.probe_period,
            now,
        ) == Due::Now
        {
            self.start_probe_round(now);
        }
        let interval = self.settings.contact_probe_interval;
        if advance_if_due(&mut self.timers.next_contact_probe, interval, now) == Due::Now {
            self.probe_contact(now);
        }
    }

    fn handle_probe_timeouts(&mut self, now: Instant) {
        let (expired, pending) = self.probes.drain(..).partition(|it| it.deadline <= now);
        self.probes = pending;
        let expired: Vec<Probe> = expired;
        for probe in expired {
            match probe.stage {
                Stage::Direct => self.probe_indirectly(probe, now),
                Stage::Indirect => self.set_standing(probe.target, Standing::Suspect, now),
            }
        }
    }

    fn probe_indirectly(&mut self, probe: Probe, now: Instant) {
        let Some(target) = self.table.get(probe.target).map(|it| it.record.address) else {
            return;
        };
        let relays = self.pick_members(self.settings.relays, |it| it != probe.target);
        let number = probe.number;
        for relay in relays {
            self.send_to(relay, Body::Relay { number, target });
        }
        // A second direct probe is a cheap remedy for a single lost datagram.
        self.send_to(probe.target, Body::Ping(number));
        self.probes.push(Probe {
            stage: Stage::Indirect,
            deadline: now + self.settings.indirect_probe_timeout,
            ..probe
        });
    }

    fn start_probe_round(&mut self, now: Instant) {
        let mut targets = self.ring_successors();
        for _ in 0..self.settings.random_probes {
            targets.extend(self.next_random_member());
        }
        targets.sort_unstable();
        targets.dedup();
        for target in targets {
            self.start_probe(target, now);
        }
    }

    /// The members that follow this host on the ring of host ids. Each member is thus probed by its
    /// predecessor in every period, which bounds the time to detect its failure. Suspected members
    /// are skipped, so that simultaneous failures of ring neighbors are detected one period after
    /// another.
    fn ring_successors(&self) -> Vec<u64> {
        let own_id = self.own_id();
        let ring = self
            .table
            .iter()
            .filter(|(_, it)| it.is_alive() && self.is_fully_tracked(&it.record));
        let following = ring.clone().filter(|(id, _)| *id > own_id);
        let wrapped = ring.filter(|(id, _)| *id < own_id);
        following
            .chain(wrapped)
            .map(|it| it.0)
            .take(self.settings.ring_probes)
            .collect()
    }

    /// The next member in a random order. A new order is drawn once all members have been returned.
    fn next_random_member(&mut self) -> Option<u64> {
        if self.probe_order.is_empty() {
            self.probe_order = self.pick_members(usize::MAX, |_| true);
        }
        self.probe_order.pop()
    }

    /// Pings a host unless it is down or is already being probed.
    fn start_probe(&mut self, target: u64, now: Instant) {
        let is_probed = self.probes.iter().any(|it| it.target == target);
        let is_down = self
            .table
            .get(target)
            .is_none_or(crate::table::Peer::is_down);
        if is_probed || is_down {
            return;
        }
        self.last_probe_number += 1;
        let number = self.last_probe_number;
        self.probes.push(Probe {
            number,
            target,
            stage: Stage::Direct,
            deadline: now + self.settings.direct_probe_timeout,
        });
        self.send_to(target, Body::Ping(number));
    }

    /// Probes one contact in another domain, whose answer also carries records of that domain. With
    /// probability one half, the contact is chosen from the domain with the fewest contacts if that
    /// domain has too few.
    fn probe_contact(&mut self, now: Instant) {
        let mut by_domain: BTreeMap<&Domain, Vec<u64>> = BTreeMap::new();
        for (id, peer) in self.table.iter() {
            if !peer.is_down() && !self.is_fully_tracked(&peer.record) {
                by_domain.entry(&peer.record.domain).or_default().push(id);
            }
        }
        let all: Vec<u64> = by_domain.values().flatten().copied().collect();
        let smallest = by_domain.into_values().min_by_key(Vec::len);
        let candidates = match (smallest, self.random.below(2)) {
            (Some(smallest), 0) if smallest.len() < self.settings.contacts_per_domain => smallest,
            _ => all,
        };
        if let Some(target) = candidates.get(self.random.below(candidates.len())) {
            self.start_probe(*target, now);
        }
    }

    /// Answers a ping. An answer to another domain carries a sample of records.
    pub(crate) fn handle_ping(&mut self, sender: &Record, number: u64) {
        let leading = if self.is_fully_tracked(sender) {
            Vec::new()
        } else {
            self.sample_for_domain(&sender.domain)
        };
        self.send(sender.address, Body::Ack(number), &leading);
    }

    /// Ends the answered probe, or forwards the answer to the host that requested it.
    pub(crate) fn handle_ack(&mut self, number: u64) {
        self.probes.retain(|it| it.number != number);
        let Some(index) = self
            .relayed_probes
            .iter()
            .position(|it| it.number == number)
        else {
            return;
        };
        let relayed = self.relayed_probes.swap_remove(index);
        self.send(relayed.requester, Body::Ack(relayed.requester_number), &[]);
    }

    /// Pings a host on behalf of another one.
    pub(crate) fn handle_relay(
        &mut self,
        requester: &Record,
        number: u64,
        target: SocketAddr,
        now: Instant,
    ) {
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES {
            return;
        }
        self.last_probe_number += 1;
        self.relayed_probes.push(RelayedProbe {
            number: self.last_probe_number,
            requester_number: number,
            requester: requester.address,
            deadline: now + self.settings.probe_period,
        });
        self.send(target, Body::Ping(self.last_probe_number), &[]);
    }
}
