//! How a host forms its beliefs on the others.

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
    /// A host that speaks from an address has replaced any other host that had it.
    pub(crate) fn displace(&mut self, sender: &Record, now: Instant) {
        let gone = |it: &Peer| {
            it.record.address == sender.address
                && it.record.holder.host != sender.holder.host
                && !it.is_down()
        };
        let ids: Vec<u64> = self
            .table
            .iter()
            .filter(|(_, it)| gone(it))
            .map(|it| it.0)
            .collect();
        for id in ids {
            self.judge(id, Standing::Down, now);
        }
    }

    /// Takes a belief in if it is newer than the one held.
    pub(crate) fn learn(&mut self, record: Record, now: Instant) {
        if record.holder.host == self.me.holder.host {
            self.hear_of_me(&record);
            return;
        }
        let id = random::id(&record.holder.host);
        let Some(peer) = self.table.get(id) else {
            self.meet(record, now);
            return;
        };
        if record.rank() <= peer.record.rank() {
            return;
        }
        self.replace(id, record, now);
    }

    /// Refutes what others believe of this host.
    fn hear_of_me(&mut self, record: &Record) {
        if record.holder.incarnation > self.me.holder.incarnation {
            self.supersede(&record.holder);
            return;
        }
        if record.rank() <= self.me.rank() {
            return;
        }
        self.me.refutation = record.refutation;
        self.assert();
    }

    /// Notes that a later process has this host's name. That is told once for each such process.
    fn supersede(&mut self, by: &Holder) {
        if self.superseded_by < Some(by.incarnation) {
            self.superseded_by = Some(by.incarnation);
            self.out.push(Output::Superseded(by.clone()));
        }
    }

    /// Takes in a host that was unknown.
    fn meet(&mut self, record: Record, now: Instant) {
        if record.standing == Standing::Down || !self.admit(&record) {
            return;
        }
        let confirm_at = self.confirm_at(&record, now);
        let id = self.table.insert(record, confirm_at);
        self.announce(id);
        self.report(id);
    }

    /// When the host of a belief is to be held dead.
    fn confirm_at(&self, record: &Record, now: Instant) -> Option<Instant> {
        match record.standing {
            Standing::Suspect => Some(now + self.settings.suspicion_timeout),
            Standing::Alive | Standing::Down => None,
        }
    }

    /// Holds a new belief on a known host.
    fn replace(&mut self, id: u64, record: Record, now: Instant) {
        let confirm_at = self.confirm_at(&record, now);
        let Some(peer) = self.table.get_mut(id) else {
            return;
        };
        let old = std::mem::replace(&mut peer.record, record);
        let other_life = old.holder.incarnation != peer.record.holder.incarnation;
        let died = peer.is_down();
        let condition = peer.record.condition();
        peer.confirm_at = confirm_at;
        peer.down_at = died.then_some(now);
        self.announce(id);
        if other_life || died {
            self.drop_entries(id, &old.holder);
        }
        if other_life || condition != old.condition() {
            self.report(id);
        }
    }

    fn drop_entries(&mut self, id: u64, owner: &Holder) {
        let Some(peer) = self.table.get_mut(id) else {
            return;
        };
        let store = std::mem::take(&mut peer.store);
        self.out.extend(store.keys().map(|key| Output::Entry {
            owner: owner.clone(),
            key: key.clone(),
            value: None,
        }));
    }

    /// Tells the outside of a member's state.
    fn report(&mut self, id: u64) {
        let Some(peer) = self.table.get(id) else {
            return;
        };
        let member = self.joined(&peer.record);
        self.out.push(Output::Changed(Change::into_state(member)));
    }

    /// Holds an own belief on a host.
    pub(crate) fn judge(&mut self, id: u64, standing: Standing, now: Instant) {
        let Some(peer) = self.table.get(id) else {
            return;
        };
        let record = Record {
            standing,
            ..peer.record.clone()
        };
        if record.rank() > peer.record.rank() {
            self.replace(id, record, now);
        }
    }

    /// Whether a host belongs to those that are known in full.
    pub(crate) fn is_near(&self, record: &Record) -> bool {
        self.settings.detail == Detail::Fleet || record.domain == self.me.domain
    }

    /// Whether there is a place for a host; a better contact takes the place of a worse one.
    fn admit(&mut self, record: &Record) -> bool {
        if self.is_near(record) {
            return true;
        }
        let affinity = |host: &Host| random::hash(&[self.me.holder.host.as_str(), host.as_str()]);
        let held: Vec<(u64, u64)> = self
            .table
            .in_domain(&record.domain)
            .map(|(id, it)| (affinity(&it.record.holder.host), id))
            .collect();
        if held.len() < self.settings.contacts_per_domain {
            return true;
        }
        let Some((worst, id)) = held.into_iter().min() else {
            return false;
        };
        if affinity(&record.holder.host) <= worst {
            return false;
        }
        self.forget(id);
        true
    }

    fn forget(&mut self, id: u64) {
        let Some(peer) = self.table.remove(id) else {
            return;
        };
        let owner = &peer.record.holder;
        self.out.extend(peer.store.keys().map(|key| Output::Entry {
            owner: owner.clone(),
            key: key.clone(),
            value: None,
        }));
        if !peer.is_down() {
            self.out
                .push(Output::Changed(Change::Forgotten(peer.record.member())));
        }
    }

    /// Gives everybody the time that this host itself was not running.
    pub(crate) fn excuse_pause(&mut self, now: Instant) {
        let last = self.due.tick.replace(now).unwrap_or(now);
        let pause = now.saturating_duration_since(last);
        if pause < self.settings.direct_probe_timeout {
            return;
        }
        for (_, peer) in self.table.iter_mut() {
            peer.confirm_at = peer.confirm_at.map(|it| it + pause);
        }
        for probe in &mut self.probes {
            probe.deadline += pause;
        }
    }

    /// Turns suspicions that nobody refuted into deaths.
    pub(crate) fn confirm(&mut self, now: Instant) {
        let over = |it: &Peer| it.confirm_at.is_some_and(|at| at <= now);
        let ids: Vec<u64> = self
            .table
            .iter()
            .filter(|(_, it)| over(it))
            .map(|it| it.0)
            .collect();
        for id in ids {
            self.judge(id, Standing::Down, now);
        }
    }

    pub(crate) fn forget_dead(&mut self, now: Instant) {
        let forget = self.settings.dead_retention;
        let over = |it: &Peer| {
            it.down_at
                .is_some_and(|at| now.saturating_duration_since(at) > forget)
        };
        let ids: Vec<u64> = self
            .table
            .iter()
            .filter(|(_, it)| over(it))
            .map(|it| it.0)
            .collect();
        for id in ids {
            self.forget(id);
        }
    }
}
