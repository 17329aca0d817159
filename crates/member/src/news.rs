//! How beliefs spread: at once to a few members, and on top of later messages.

use std::{collections::BTreeMap, net::SocketAddr};

use kernel::name::{Domain, MAX_NAME_BYTES};

use crate::{
    event::Output,
    message::{Body, Message},
    record::{Intent, Record, Standing},
    state::State,
};

/// Most bytes that a record takes in a message besides its names.
const RECORD_BYTES: usize = 108;

/// Most bytes that a record takes in a message.
pub(crate) const LARGEST_RECORD_BYTES: usize = RECORD_BYTES + packed(2 * MAX_NAME_BYTES);

/// Bytes that a digest line takes in a message.
pub(crate) const LINE_BYTES: usize = 32;

/// How many hosts of the own domain a host of another one is told of with each answer.
const SAMPLE: usize = 2;

/// How often each belief is passed on, as a multiple of the binary logarithm of the member count.
const REPEATS: u32 = 3;

/// Beliefs that still have to be passed on.
#[derive(Clone, Debug, Default)]
pub(crate) struct News {
    /// How often the belief on a host is still to be sent.
    left: BTreeMap<u64, u32>,
    /// Whether something has not been sent to anybody yet.
    fresh: Freshness,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Freshness {
    #[default]
    Sent,
    Unsent,
}

/// Bytes that text takes in a message: one more for each eight.
const fn packed(bytes: usize) -> usize {
    bytes + bytes.div_ceil(8)
}

fn size(record: &Record) -> usize {
    let names = record.holder.host.as_str().len() + record.domain.as_str().len();
    RECORD_BYTES + packed(names)
}

impl State {
    /// Has the belief on a host passed on.
    pub(crate) fn announce(&mut self, id: u64) {
        let is_far = self
            .table
            .get(id)
            .is_some_and(|it| !self.is_near(&it.record));
        if is_far {
            return;
        }
        let members = self.table.iter().count() + 2;
        self.news.left.insert(id, REPEATS * members.ilog2());
        self.news.fresh = Freshness::Unsent;
    }

    /// Sends fresh news to a few members at once.
    pub(crate) fn flush(&mut self) {
        if self.news.fresh == Freshness::Sent {
            return;
        }
        self.news.fresh = Freshness::Sent;
        let targets = self.pick(self.settings.fanout, |_| true);
        for id in targets {
            self.send_to(id, Body::News);
        }
    }

    /// Up to `count` random near members that are not dead.
    pub(crate) fn pick(&mut self, count: usize, suits: impl Fn(u64) -> bool) -> Vec<u64> {
        let near = self
            .table
            .iter()
            .filter(|(_, it)| !it.is_down() && self.is_near(&it.record));
        let mut ids: Vec<u64> = near.map(|it| it.0).filter(|it| suits(*it)).collect();
        self.random.shuffle(&mut ids);
        ids.truncate(count);
        ids
    }

    /// Sends a message to a known host.
    pub(crate) fn send_to(&mut self, id: u64, body: Body) {
        let Some(peer) = self.table.get(id) else {
            return;
        };
        let doubted = !peer.is_alive();
        let address = peer.record.address;
        let first = if doubted { vec![id] } else { Vec::new() };
        self.send(address, body, &first);
    }

    /// Sends a message that carries the beliefs on some hosts before any other news.
    pub(crate) fn send(&mut self, to: SocketAddr, body: Body, first: &[u64]) {
        let lines = match &body {
            Body::Sync(lines) => lines.len(),
            _ => 0,
        };
        let room = self.settings.target_message_bytes;
        let room = room.saturating_sub(LINE_BYTES * lines);
        self.send_within(to, body, first, room);
    }

    /// Sends a message, with news as far as there is room.
    pub(crate) fn send_within(&mut self, to: SocketAddr, body: Body, first: &[u64], room: usize) {
        let mut records: Vec<Record> = first.iter().filter_map(|it| self.belief(*it)).collect();
        let spent: usize = records.iter().map(size).sum();
        let room = room.saturating_sub(spent);
        self.add_news(first, &mut records, room);
        let message = Message {
            sender: self.me.clone(),
            revision: self.revision,
            records,
            body,
        };
        self.out.push(Output::Send { to, message });
    }

    fn add_news(&mut self, present: &[u64], records: &mut Vec<Record>, mut room: usize) {
        let mut order: Vec<(u32, u64)> = self.news.left.iter().map(|it| (*it.1, *it.0)).collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        for (left, id) in order {
            let Some(record) = self.belief(id) else {
                self.news.left.remove(&id);
                continue;
            };
            if size(&record) > room {
                return;
            }
            if present.contains(&id) {
                continue;
            }
            room -= size(&record);
            records.push(record);
            self.spend(id, left);
        }
    }

    fn spend(&mut self, id: u64, left: u32) {
        if left <= 1 {
            self.news.left.remove(&id);
        } else {
            self.news.left.insert(id, left - 1);
        }
    }

    /// What this host believes of a host, itself included.
    pub(crate) fn belief(&self, id: u64) -> Option<Record> {
        if id == self.my_id() {
            return Some(self.me.clone());
        }
        self.table.get(id).map(|it| it.record.clone())
    }

    /// Tells a newcomer of all hosts.
    pub(crate) fn introduce(&mut self, sender: &Record) {
        let alive = self.table.iter().filter(|(_, it)| !it.is_down());
        let mut ids: Vec<u64> = alive.map(|it| it.0).collect();
        self.random.shuffle(&mut ids);
        let page = (self.settings.target_message_bytes / LARGEST_RECORD_BYTES).max(1);
        for chunk in ids.chunks(page) {
            self.send(sender.address, Body::News, chunk);
        }
        if ids.is_empty() {
            self.send(sender.address, Body::News, &[]);
        }
    }

    /// What a host of another domain is told: a few hosts of the own domain, so that it can renew
    /// its contacts; those known of its domain, so that parts of it that don't know each other
    /// meet; and one of the others, so that no domain stays unknown.
    pub(crate) fn sample(&mut self, domain: &Domain) -> Vec<u64> {
        let usable = |it: &Record| it.standing == Standing::Alive && it.intent == Intent::Staying;
        let mut own = Vec::new();
        let mut theirs = Vec::new();
        let mut others = Vec::new();
        for (id, peer) in self.table.iter().filter(|(_, it)| usable(&it.record)) {
            match &peer.record.domain {
                it if it == domain => theirs.push(id),
                it if *it == self.me.domain => own.push(id),
                _ => others.push(id),
            }
        }
        self.random.shuffle(&mut own);
        own.truncate(SAMPLE);
        let other = others.get(self.random.below(others.len())).copied();
        own.into_iter().chain(theirs).chain(other).collect()
    }
}
