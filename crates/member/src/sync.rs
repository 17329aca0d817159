//! How hosts find and repair differences between what they know.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{
    event::Output,
    message::{Body, Delta, Line, Update},
    news::{LARGEST_RECORD_BYTES, LINE_BYTES},
    random,
    record::Record,
    state::{State, Turn, turn},
    table,
};

/// Most records in one answer to a digest.
const DELTA_RECORDS: usize = 3;

/// Most hosts that one answer names as remaining. The same message has to have room for an entry,
/// since only an answer that brings something new is followed by another one.
const REMAINING_LINES: usize = 8;

/// In one of this many turns a seed is tried although members are known.
const SEED_TURNS: usize = 32;

/// How often a change is compared with others before it is left to the regular turns.
const FRESH_REPEATS: u32 = 3;

/// Hosts of which something has changed that others may not have, and how often to compare it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fresh(BTreeMap<u64, u32>);

/// Whether entries that arrived were new.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Progress {
    None,
    Some,
}

impl Fresh {
    pub fn add(&mut self, id: u64) {
        self.0.insert(id, FRESH_REPEATS);
    }

    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Up to `most` hosts, those that were compared least often first.
    fn take(&mut self, most: usize) -> Vec<u64> {
        let mut order: Vec<(u32, u64)> = self.0.iter().map(|(id, left)| (*left, *id)).collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        order.truncate(most);
        for (left, id) in &order {
            match left {
                0 | 1 => self.0.remove(id),
                _ => self.0.insert(*id, left - 1),
            };
        }
        order.into_iter().map(|it| it.1).collect()
    }
}

impl State {
    /// Compares versions with a random member when that is due: regularly, and sooner while there
    /// are changes that the others may not have.
    pub(crate) fn sync(&mut self, now: Instant) {
        let interval = self.regular_interval(now);
        let regular = turn(&mut self.due.sync, interval, now);
        if regular == Turn::Later && self.fresh.is_empty() {
            return;
        }
        let interval = self.settings.eager_sync_interval;
        let eager = turn(&mut self.due.eager_sync, interval, now);
        let mut ids = match (regular, eager) {
            (Turn::Later, Turn::Later) => return,
            (Turn::Later, Turn::Now) => Vec::new(),
            (Turn::Now, _) => self.next_in_turn(),
        };
        let Some(target) = self.pick(1, |_| true).pop() else {
            return;
        };
        let room = self.settings.max_digest_lines.saturating_sub(ids.len());
        ids.extend(self.fresh.take(room));
        ids.sort_unstable();
        ids.dedup();
        let lines = ids.into_iter().filter_map(|it| self.line(it)).collect();
        self.send_to(target, Body::Sync(lines));
    }

    /// The time between two regular comparisons, which is shorter for a host that has just started
    /// and lacks most entries.
    fn regular_interval(&mut self, now: Instant) -> Duration {
        let start = *self.due.start.get_or_insert(now);
        if now.saturating_duration_since(start) < self.settings.startup_sync_duration {
            self.settings.eager_sync_interval
        } else {
            self.settings.sync_interval
        }
    }

    /// The own host and some of the others in turn, to fill most of a digest.
    fn next_in_turn(&mut self) -> Vec<u64> {
        let cursor = self.cursor;
        let near = self
            .table
            .iter()
            .filter(|(_, it)| !it.is_down() && self.is_near(&it.record))
            .map(|it| it.0);
        let later = near.clone().filter(|id| *id > cursor);
        let earlier = near.filter(|id| *id <= cursor);
        let most = self.settings.max_digest_lines * 3 / 4;
        let mut ids: Vec<u64> = later.chain(earlier).take(most).collect();
        self.cursor = ids.last().copied().unwrap_or(0);
        ids.push(self.my_id());
        ids
    }

    /// The digest line of a host, the own one included.
    fn line(&self, id: u64) -> Option<Line> {
        if id == self.my_id() {
            return Some(table::line(&self.me, &self.store));
        }
        self.table.get(id).map(table::Peer::line)
    }

    /// Answers a digest with what its sender lacks and with what this host lacks. Hosts of other
    /// domains that are not known in full exchange no entries.
    pub(crate) fn compare(&mut self, sender: &Record, lines: &[Line]) {
        if !self.is_near(sender) {
            return;
        }
        let requested = self.lacks(lines);
        self.supply(sender.address, lines, requested);
    }

    /// Takes entries in, sends what is wanted, and asks for what remains. Only an update that
    /// brought something new is followed by another one, so that every exchange ends.
    pub(crate) fn patch(&mut self, sender: &Record, update: Update) {
        if !self.is_near(sender) {
            return;
        }
        let mut progress = Progress::None;
        for delta in update.deltas {
            progress = progress.max(self.apply(delta));
        }
        let requested = match progress {
            Progress::None => Vec::new(),
            Progress::Some => self.lacks(&update.remaining),
        };
        self.supply(sender.address, &update.requested, requested);
    }

    fn lacks(&self, lines: &[Line]) -> Vec<Line> {
        lines.iter().filter_map(|it| self.lack(it)).collect()
    }

    fn apply(&mut self, delta: Delta) -> Progress {
        let id = random::id(&delta.owner.host);
        let Some(peer) = self.table.get_mut(id) else {
            return Progress::None;
        };
        if peer.record.holder != delta.owner || peer.is_down() {
            return Progress::None;
        }
        let owner = delta.owner.clone();
        let before = peer.store.version();
        let fresh = peer.store.apply(delta);
        if peer.store.version() == before {
            return Progress::None;
        }
        self.fresh.add(id);
        self.out.extend(fresh.into_iter().map(|it| Output::Entry {
            owner: owner.clone(),
            key: it.key,
            value: it.value,
        }));
        Progress::Some
    }

    /// What this host lacks of a host that another one knows better.
    fn lack(&self, line: &Line) -> Option<Line> {
        if line.id == self.my_id() {
            return None;
        }
        let Some(peer) = self.table.get(line.id) else {
            return Some(Line {
                incarnation: 0,
                refutation: 0,
                version: 0,
                ..*line
            });
        };
        let mine = peer.line();
        let behind = |it: &Line| (it.incarnation, it.refutation, it.version);
        (behind(line) > behind(&mine) && !peer.is_down()).then_some(mine)
    }

    /// Sends what the given lines lack, in a bounded number of messages.
    fn supply(&mut self, to: SocketAddr, lines: &[Line], mut requested: Vec<Line>) {
        let outdated = lines.iter().filter(|it| self.is_outdated(it));
        let mut records: Vec<u64> = outdated.map(|it| it.id).collect();
        let mut lines = lines.to_vec();
        for last in (0..self.settings.max_sync_responses).rev() {
            let rest = records.split_off(records.len().min(DELTA_RECORDS));
            let reserved = if last == 0 {
                lines.len().min(REMAINING_LINES)
            } else {
                0
            };
            let taken = LINE_BYTES * (requested.len() + reserved);
            let taken = taken + LARGEST_RECORD_BYTES * records.len();
            let mut room = self.settings.target_message_bytes.saturating_sub(taken);
            let deltas = self.deltas(&mut lines, &mut room);
            if deltas.is_empty() && requested.is_empty() && records.is_empty() {
                return;
            }
            let remaining = if last == 0 {
                self.remaining(&lines)
            } else {
                Vec::new()
            };
            let body = Body::Delta(Update {
                deltas,
                requested: std::mem::take(&mut requested),
                remaining,
            });
            room += LARGEST_RECORD_BYTES * records.len();
            self.send_within(to, body, &records, room);
            records = rest;
        }
    }

    /// The own lines of those hosts of which the given lines still lack entries.
    fn remaining(&self, lines: &[Line]) -> Vec<Line> {
        let own = |it: &Line| Some((*it, self.line(it.id)?));
        let pairs = lines.iter().filter_map(own);
        let behind = pairs.filter(|(theirs, own)| {
            (theirs.incarnation, theirs.version) < (own.incarnation, own.version)
        });
        behind.map(|it| it.1).take(REMAINING_LINES).collect()
    }

    fn is_outdated(&self, line: &Line) -> bool {
        let Some(belief) = self.belief(line.id) else {
            return false;
        };
        let mine = belief.rank();
        mine > (
            line.incarnation,
            line.refutation,
            crate::record::Standing::Alive,
        )
    }

    /// The entries that lines lack; moves the lines on to what they then have.
    fn deltas(&self, lines: &mut [Line], room: &mut usize) -> Vec<Delta> {
        let mut deltas = Vec::new();
        for line in lines {
            let Some(delta) = self.delta(line, room) else {
                continue;
            };
            line.incarnation = delta.owner.incarnation;
            line.version = delta.upto;
            deltas.push(delta);
        }
        deltas
    }

    fn delta(&self, line: &Line, room: &mut usize) -> Option<Delta> {
        let (record, store) = if line.id == self.my_id() {
            (&self.me, &self.store)
        } else {
            let peer = self.table.get(line.id)?;
            (&peer.record, &peer.store)
        };
        let same_life = record.holder.incarnation == line.incarnation;
        let after = match record.holder.incarnation {
            it if it < line.incarnation => return None,
            _ if same_life => line.version,
            _ => 0,
        };
        store.delta(&record.holder, after, room)
    }

    /// Tries to reach hosts that are not known to be alive.
    pub(crate) fn reconnect(&mut self, now: Instant) {
        let interval = self.settings.reconnect_interval;
        if turn(&mut self.due.reconnect, interval, now) == Turn::Later {
            return;
        }
        if self.pick(1, |_| true).is_empty() {
            self.join();
        } else {
            self.greet_seed();
        }
        self.call_dead();
        self.call_listed();
    }

    /// Asks all seeds for the hosts that they know.
    fn join(&mut self) {
        for seed in self.seeds.clone() {
            if seed != self.me.address {
                self.send(seed, Body::Join, &[]);
            }
        }
    }

    /// Now and then probes a seed that is not known, so that two parts of a fleet that have
    /// forgotten each other meet again. This is cheap, since all hosts may have the same seeds.
    fn greet_seed(&mut self) {
        if self.seeds.is_empty() || self.random.below(SEED_TURNS) > 0 {
            return;
        }
        let seed = self.seeds[self.random.below(self.seeds.len())];
        let known = |it: &table::Peer| it.record.address == seed && !it.is_down();
        if seed != self.me.address && !self.table.iter().any(|(_, it)| known(it)) {
            self.number += 1;
            self.send(seed, Body::Ping(self.number), &[]);
        }
    }

    /// Tells a host that is held dead so, which refutes if it is not.
    fn call_dead(&mut self) {
        let dead: Vec<u64> = self
            .table
            .iter()
            .filter(|(_, it)| it.is_down())
            .map(|it| it.0)
            .collect();
        if dead.is_empty() {
            return;
        }
        let id = dead[self.random.below(dead.len())];
        self.send_to(id, Body::News);
    }

    /// Greets a host of the platform's list that is not known.
    fn call_listed(&mut self) {
        let unknown = |id: u64| id != self.my_id() && self.table.get(id).is_none();
        let mut missing: Vec<SocketAddr> = self
            .listed
            .values()
            .filter(|it| {
                self.settings.detail == crate::Detail::Fleet || it.domain == self.me.domain
            })
            .filter(|it| unknown(random::id(&it.host)))
            .map(|it| it.address)
            .collect();
        self.random.shuffle(&mut missing);
        if let Some(address) = missing.first() {
            self.send(*address, Body::Join, &[]);
        }
    }
}
