//! The state machine of membership.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use kernel::{
    name::{Domain, Host},
    permit::Holder,
    service,
};

use crate::{
    Me, Message,
    entry::{Effect, Store},
    message::Body,
    news::News,
    probe::{Passing, Probe},
    random::{self, Generator},
    record::{Change, Condition, Intent, Member, Record, Standing},
    settings::{Detail, Settings},
    sync::Fresh,
    table::{Peer, Table},
};

/// Something that happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// A message of a member arrived.
    Datagram {
        /// Where it came from.
        from: SocketAddr,
        /// What it says.
        message: Message,
    },
    /// Time has passed. Ticks should come several times in each period.
    Tick,
    /// Addresses at which to look for members.
    Seeds(Vec<SocketAddr>),
    /// The entry hosts on the platform's lagging host list.
    Listed(Vec<Listing>),
    /// Sets or removes an entry of the own host.
    Publish {
        /// Its key.
        key: String,
        /// Its value; none to remove it.
        value: Option<Vec<u8>>,
    },
    /// A configuration revision is known to exist.
    Revision(u64),
    /// The own host is shutting down.
    Leave,
}

/// An entry host on the platform's host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
    /// The host.
    pub host: Host,
    /// Its peer address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Whether the platform takes it away.
    pub state: service::State,
}

/// Something to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// Send a message.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        message: Message,
    },
    /// A member has changed.
    Changed(Change),
    /// An entry of another host has changed or vanished.
    Entry {
        /// The host that published it.
        owner: Holder,
        /// Its key.
        key: String,
        /// Its value; none if it vanished.
        value: Option<Vec<u8>>,
    },
    /// A configuration revision higher than any known before exists.
    Revision {
        /// The revision.
        revision: u64,
        /// A host that knows of it.
        holder: Holder,
    },
}

/// What one host believes of all others.
#[derive(Clone, Debug)]
pub struct State {
    pub(crate) me: Record,
    pub(crate) settings: Settings,
    pub(crate) random: Generator,
    pub(crate) table: Table,
    pub(crate) store: Store,
    pub(crate) revision: u64,
    pub(crate) news: News,
    pub(crate) probes: Vec<Probe>,
    pub(crate) passing: Vec<Passing>,
    pub(crate) number: u64,
    pub(crate) order: Vec<u64>,
    pub(crate) cursor: u64,
    pub(crate) fresh: Fresh,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) listed: BTreeMap<Host, Listing>,
    pub(crate) due: Due,
    pub(crate) out: Vec<Output>,
}

/// When each regular duty is next due; none before the first tick.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Due {
    pub tick: Option<Instant>,
    pub period: Option<Instant>,
    pub contact: Option<Instant>,
    pub sync: Option<Instant>,
    pub eager_sync: Option<Instant>,
    pub reconnect: Option<Instant>,
}

/// Whether a duty has to be done now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Turn {
    Now,
    Later,
}

/// Moves a due time on by one interval once it is reached.
pub(crate) fn turn(due: &mut Option<Instant>, interval: Duration, now: Instant) -> Turn {
    if due.is_some_and(|it| now < it) {
        return Turn::Later;
    }
    *due = Some(now + interval);
    Turn::Now
}

impl State {
    /// The state of a host that knows nobody yet.
    pub fn new(me: Me, settings: Settings, seed: u64) -> Self {
        let me = Record {
            holder: me.holder,
            refutation: 0,
            domain: me.domain,
            address: me.address,
            standing: Standing::Alive,
            intent: Intent::Staying,
        };
        Self {
            me,
            settings,
            random: Generator::new(seed),
            table: Table::default(),
            store: Store::default(),
            revision: 0,
            news: News::default(),
            probes: Vec::new(),
            passing: Vec::new(),
            number: 0,
            order: Vec::new(),
            cursor: 0,
            fresh: Fresh::default(),
            seeds: Vec::new(),
            listed: BTreeMap::new(),
            due: Due::default(),
            out: Vec::new(),
        }
    }

    /// Takes one event in and gives what has to be done.
    pub fn handle(&mut self, input: Input, now: Instant) -> Vec<Output> {
        match input {
            Input::Datagram { message, .. } => self.receive(message, now),
            Input::Tick => self.tick(now),
            Input::Seeds(seeds) => self.seeds = seeds,
            Input::Listed(listed) => self.list(listed),
            Input::Publish { key, value } => self.publish(key, value),
            Input::Revision(revision) => self.revision = self.revision.max(revision),
            Input::Leave => self.leave(),
        }
        std::mem::take(&mut self.out)
    }

    /// Every known host, the own one included. A host that the platform takes away is leaving.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        let others = self.table.iter().map(|(_, it)| &it.record);
        let records = std::iter::once(&self.me).chain(others);
        records.map(|it| self.joined(it))
    }

    /// The highest configuration revision that is known to exist.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// A record as a member, joined with the host list.
    fn joined(&self, record: &Record) -> Member {
        let mut member = record.member();
        let listed = self.listed.get(&record.holder.host);
        let goes = listed.is_some_and(|it| it.state == service::State::Leaving);
        if goes && member.state != Condition::Down {
            member.state = Condition::Leaving;
        }
        member
    }

    fn list(&mut self, listed: Vec<Listing>) {
        let before: Vec<Member> = self.members().collect();
        self.listed = listed.into_iter().map(|it| (it.host.clone(), it)).collect();
        let after: Vec<Member> = self.members().collect();
        let pairs = before.into_iter().zip(after);
        let differing = pairs.filter(|(old, new)| old.state != new.state);
        let changes = differing.map(|(_, new)| Output::Changed(Change::into_state(new)));
        self.out.extend(changes);
    }

    fn publish(&mut self, key: String, value: Option<Vec<u8>>) {
        if self.store.publish(key, value) == Effect::Changed {
            self.fresh.add(self.my_id());
        }
    }

    fn leave(&mut self) {
        self.me.intent = Intent::Leaving;
        self.assert();
        self.flush();
    }

    /// Makes the own record replace every other belief on this host.
    fn assert(&mut self) {
        self.me.refutation += 1;
        self.announce(self.my_id());
    }

    pub(crate) fn my_id(&self) -> u64 {
        random::id(&self.me.holder.host)
    }

    fn receive(&mut self, message: Message, now: Instant) {
        let Message {
            sender,
            revision,
            records,
            body,
        } = message;
        if sender.holder.host == self.me.holder.host {
            return;
        }
        let id = random::id(&sender.holder.host);
        let known = self.table.get(id).map(|it| it.record.rank());
        let is_past = known.is_some_and(|it| it.0 > sender.holder.incarnation);
        if is_past {
            self.send(sender.address, Body::News, &[id]);
            return;
        }
        self.raise(revision, &sender.holder);
        self.displace(&sender, now);
        let doubted = known.is_some_and(|it| it > sender.rank());
        let back = sender.clone();
        self.learn(sender, now);
        for record in records {
            self.learn(record, now);
        }
        if doubted {
            // The sender refutes what it is told here.
            self.send(back.address, Body::News, &[id]);
        }
        self.answer(&back, body, now);
    }

    fn answer(&mut self, sender: &Record, body: Body, now: Instant) {
        match body {
            Body::News => {}
            Body::Ping(number) => self.pinged(sender, number),
            Body::Ack(number) => self.acked(number),
            Body::Relay { number, target } => self.relay(sender, number, target, now),
            Body::Join => self.introduce(sender),
            Body::Sync(lines) => self.compare(sender, &lines),
            Body::Delta(update) => self.patch(sender, update),
        }
    }

    fn raise(&mut self, revision: u64, holder: &Holder) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        self.out.push(Output::Revision {
            revision,
            holder: holder.clone(),
        });
    }

    /// A host that speaks from an address has replaced any other host that had it.
    fn displace(&mut self, sender: &Record, now: Instant) {
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
            self.meet(record);
            return;
        };
        if record.rank() <= peer.record.rank() {
            return;
        }
        self.replace(id, record, now);
    }

    /// Refutes what others believe of this host.
    fn hear_of_me(&mut self, record: &Record) {
        let same_life = record.holder.incarnation == self.me.holder.incarnation;
        if !same_life || record.rank() <= self.me.rank() {
            return;
        }
        self.me.refutation = record.refutation;
        self.assert();
    }

    /// Takes in a host that was unknown.
    fn meet(&mut self, record: Record) {
        if record.standing == Standing::Down || !self.admit(&record) {
            return;
        }
        let id = self.table.insert(record);
        self.announce(id);
        self.report(id);
    }

    /// Holds a new belief on a known host.
    fn replace(&mut self, id: u64, record: Record, now: Instant) {
        let Some(peer) = self.table.get_mut(id) else {
            return;
        };
        let old = std::mem::replace(&mut peer.record, record);
        let other_life = old.holder.incarnation != peer.record.holder.incarnation;
        let died = peer.is_down();
        let condition = peer.record.condition();
        peer.confirm_at = match peer.record.standing {
            Standing::Suspect => Some(now + self.settings.suspicion),
            Standing::Alive | Standing::Down => None,
        };
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
        if held.len() < self.settings.contacts {
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

    fn tick(&mut self, now: Instant) {
        self.excuse_pause(now);
        self.confirm(now);
        self.probe(now);
        self.sync(now);
        self.reconnect(now);
        self.flush();
        self.forget_dead(now);
    }

    /// Gives everybody the time that this host itself was not running.
    fn excuse_pause(&mut self, now: Instant) {
        let last = self.due.tick.replace(now).unwrap_or(now);
        let pause = now.saturating_duration_since(last);
        if pause < self.settings.direct_timeout {
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
    fn confirm(&mut self, now: Instant) {
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

    fn forget_dead(&mut self, now: Instant) {
        let forget = self.settings.forget;
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
