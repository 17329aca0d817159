//! Maintenance of the view of other hosts: merges received records, expires suspicions and removes
//! hosts.

use std::time::Instant;

use kernel::{name::Host, permit::Holder};

use crate::{
    event::Output,
    random,
    record::{Change, Record, Standing},
    settings::Detail,
    state::State,
    table::Peer,
};

impl State {
    /// Marks other hosts with the sender's address as down, since the sender has replaced them.
    pub(crate) fn mark_displaced_down(&mut self, sender: &Record, now: Instant) {
        let is_displaced = |it: &Peer| {
            it.record.address == sender.address
                && it.record.holder.host != sender.holder.host
                && !it.is_down()
        };
        let ids: Vec<u64> = self
            .table
            .iter()
            .filter(|(_, it)| is_displaced(it))
            .map(|it| it.0)
            .collect();
        for id in ids {
            self.set_standing(id, Standing::Down, now);
        }
    }

    /// Merges a received record if it takes precedence over the current one.
    pub(crate) fn merge_record(&mut self, record: Record, now: Instant) {
        if record.holder.host == self.own_record.holder.host {
            self.merge_own_record(&record);
            return;
        }
        let id = random::host_id(&record.holder.host);
        let Some(peer) = self.table.get(id) else {
            self.add_host(record, now);
            return;
        };
        if record.precedence() <= peer.record.precedence() {
            return;
        }
        self.replace_record(id, record, now);
    }

    /// Refutes a received record of this host if it takes precedence over the own one, or reports
    /// that a later incarnation has superseded this process.
    fn merge_own_record(&mut self, record: &Record) {
        if record.holder.incarnation > self.own_record.holder.incarnation {
            self.report_superseded(&record.holder);
            return;
        }
        if record.precedence() <= self.own_record.precedence() {
            return;
        }
        self.own_record.refutation = record.refutation;
        self.reassert();
    }

    /// Reports that a later process uses this host's name. Each later incarnation is reported at
    /// most once.
    fn report_superseded(&mut self, by: &Holder) {
        if self.superseding_incarnation < Some(by.incarnation) {
            self.superseding_incarnation = Some(by.incarnation);
            self.outputs.push(Output::Superseded(by.clone()));
        }
    }

    /// Adds an unknown host unless it is down or there is no room for another contact.
    fn add_host(&mut self, record: Record, now: Instant) {
        if record.standing == Standing::Down || !self.make_room_for(&record) {
            return;
        }
        let suspicion_deadline = self.suspicion_deadline(&record, now);
        let id = self.table.insert(record, suspicion_deadline);
        self.enqueue_broadcast(id);
        self.emit_state_change(id);
    }

    /// The time at which the host of a suspect record is declared down.
    fn suspicion_deadline(&self, record: &Record, now: Instant) -> Option<Instant> {
        match record.standing {
            Standing::Suspect => Some(now + self.settings.suspicion_timeout),
            Standing::Alive | Standing::Down => None,
        }
    }

    /// Replaces the record of a known host and reports the consequences.
    fn replace_record(&mut self, id: u64, record: Record, now: Instant) {
        let suspicion_deadline = self.suspicion_deadline(&record, now);
        let Some(peer) = self.table.get_mut(id) else {
            return;
        };
        let old = std::mem::replace(&mut peer.record, record);
        let is_new_incarnation = old.holder.incarnation != peer.record.holder.incarnation;
        let is_down = peer.is_down();
        let condition = peer.record.condition();
        peer.suspicion_deadline = suspicion_deadline;
        peer.down_since = is_down.then_some(now);
        self.enqueue_broadcast(id);
        if is_new_incarnation || is_down {
            self.remove_entries(id, &old.holder);
        }
        if is_new_incarnation || condition != old.condition() {
            self.emit_state_change(id);
        }
    }

    /// Removes all entries of a host and reports each removal.
    fn remove_entries(&mut self, id: u64, owner: &Holder) {
        let Some(peer) = self.table.get_mut(id) else {
            return;
        };
        let store = std::mem::take(&mut peer.entries);
        self.outputs.extend(store.keys().map(|key| Output::Entry {
            owner: owner.clone(),
            key: key.clone(),
            value: None,
        }));
    }

    /// Reports a member's current state.
    fn emit_state_change(&mut self, id: u64) {
        let Some(peer) = self.table.get(id) else {
            return;
        };
        let member = self.resolve_member(&peer.record);
        self.outputs
            .push(Output::Changed(Change::from_member(member)));
    }

    /// Sets the standing of a host by this host's own observation. A lower standing is ignored.
    pub(crate) fn set_standing(&mut self, id: u64, standing: Standing, now: Instant) {
        let Some(peer) = self.table.get(id) else {
            return;
        };
        let record = Record {
            standing,
            ..peer.record.clone()
        };
        if record.precedence() > peer.record.precedence() {
            self.replace_record(id, record, now);
        }
    }

    /// Returns whether the host of a record is tracked fully, rather than as a contact.
    pub(crate) fn is_fully_tracked(&self, record: &Record) -> bool {
        self.settings.detail == Detail::Fleet || record.domain == self.own_record.domain
    }

    /// Returns whether the host of a record can be added. If its domain already has enough
    /// contacts, the contact with the lowest affinity is removed for one with a higher affinity.
    fn make_room_for(&mut self, record: &Record) -> bool {
        if self.is_fully_tracked(record) {
            return true;
        }
        let affinity =
            |host: &Host| random::hash(&[self.own_record.holder.host.as_str(), host.as_str()]);
        let contacts: Vec<(u64, u64)> = self
            .table
            .in_domain(&record.domain)
            .map(|(id, it)| (affinity(&it.record.holder.host), id))
            .collect();
        if contacts.len() < self.settings.contacts_per_domain {
            return true;
        }
        let Some((lowest, id)) = contacts.into_iter().min() else {
            return false;
        };
        if affinity(&record.holder.host) <= lowest {
            return false;
        }
        self.remove_host(id);
        true
    }

    /// Removes a host with its entries and reports the removals.
    fn remove_host(&mut self, id: u64) {
        let Some(peer) = self.table.remove(id) else {
            return;
        };
        let owner = &peer.record.holder;
        self.outputs
            .extend(peer.entries.keys().map(|key| Output::Entry {
                owner: owner.clone(),
                key: key.clone(),
                value: None,
            }));
        if !peer.is_down() {
            self.outputs
                .push(Output::Changed(Change::Forgotten(peer.record.to_member())));
        }
    }

    /// Extends the deadlines of suspicions and probes if this host itself was paused, since the
    /// answers may still be in its socket buffer.
    pub(crate) fn extend_deadlines_after_pause(&mut self, now: Instant) {
        let last = self.timers.last_tick.replace(now).unwrap_or(now);
        let pause = now.saturating_duration_since(last);
        if pause < self.settings.direct_probe_timeout {
            return;
        }
        for (_, peer) in self.table.iter_mut() {
            peer.suspicion_deadline = peer.suspicion_deadline.map(|it| it + pause);
        }
        for probe in &mut self.probes {
            probe.deadline += pause;
        }
    }

    /// Declares suspected hosts down whose time to refute has passed.
    pub(crate) fn expire_suspicions(&mut self, now: Instant) {
        let is_expired = |it: &Peer| it.suspicion_deadline.is_some_and(|at| at <= now);
        let ids: Vec<u64> = self
            .table
            .iter()
            .filter(|(_, it)| is_expired(it))
            .map(|it| it.0)
            .collect();
        for id in ids {
            self.set_standing(id, Standing::Down, now);
        }
    }

    /// Removes hosts that have been down for longer than the retention time.
    pub(crate) fn remove_expired_down_hosts(&mut self, now: Instant) {
        let retention = self.settings.down_retention;
        let is_expired = |it: &Peer| {
            it.down_since
                .is_some_and(|at| now.saturating_duration_since(at) > retention)
        };
        let ids: Vec<u64> = self
            .table
            .iter()
            .filter(|(_, it)| is_expired(it))
            .map(|it| it.0)
            .collect();
        for id in ids {
            self.remove_host(id);
        }
    }
}
