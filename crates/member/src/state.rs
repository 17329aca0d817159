//! The state machine of membership.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use kernel::{name::Host, permit::Holder, service};

use crate::{
    Identity, Input, Listing, Message, Output,
    entry::{Effect, Store},
    message::Body,
    news::News,
    probe::{Passing, Probe},
    random::{self, Generator},
    record::{Change, Condition, Intent, Member, Record, Standing},
    settings::Settings,
    sync::Fresh,
    table::Table,
};

/// What one host believes of all others.
#[derive(Clone, Debug)]
pub struct State {
    pub(crate) me: Record,
    pub(crate) settings: Settings,
    pub(crate) random: Generator,
    pub(crate) table: Table,
    pub(crate) store: Store,
    pub(crate) revision: u64,
    pub(crate) superseded_by: Option<u64>,
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
    pub start: Option<Instant>,
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
    pub fn new(me: Identity, settings: Settings, seed: u64) -> Self {
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
            superseded_by: None,
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
    pub(crate) fn joined(&self, record: &Record) -> Member {
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
    pub(crate) fn assert(&mut self) {
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
            self.learn(sender, now);
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
        let doubted = known.is_some_and(|it| it > sender.rank());
        if !doubted {
            self.displace(&sender, now);
        }
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

    fn tick(&mut self, now: Instant) {
        self.excuse_pause(now);
        self.confirm(now);
        self.probe(now);
        self.sync(now);
        self.reconnect(now);
        self.flush();
        self.forget_dead(now);
    }
}
