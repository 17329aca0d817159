//! How hosts find and repair differences between what they know.

use std::{collections::BTreeSet, net::SocketAddr, time::Instant};

use crate::{
    message::{Body, Delta, Line},
    news::{LARGEST_RECORD_BYTES, LINE_BYTES},
    random,
    record::Record,
    state::{Output, State, Turn, turn},
    table,
};

/// Most records in one answer to a digest.
const DELTA_RECORDS: usize = 3;

/// In one of this many turns a seed is tried although members are known.
const SEED_TURNS: usize = 8;

impl State {
    /// Compares versions with a random member when that is due.
    pub(crate) fn sync(&mut self, now: Instant) {
        if turn(&mut self.due.sync, self.settings.sync_interval, now) == Turn::Later {
            return;
        }
        for id in self.pick(1, |_| true) {
            let lines = self.digest();
            self.send_to(id, Body::Sync(lines));
        }
    }

    /// Lines on the own host, on those that changed last, and on some of the others in turn.
    fn digest(&mut self) -> Vec<Line> {
        let most = self.settings.digest_lines;
        let near = self
            .table
            .iter()
            .filter(|(_, it)| !it.is_down() && self.is_near(&it.record));
        let mut recent: Vec<(u64, u64)> = near.clone().map(|(id, it)| (it.touched, id)).collect();
        recent.sort_unstable_by(|a, b| b.cmp(a));
        let mut ids: Vec<u64> = recent.into_iter().map(|it| it.1).take(most / 2).collect();
        let chosen: BTreeSet<u64> = ids.iter().copied().collect();
        let cursor = self.cursor;
        let later = near.clone().filter(|(id, _)| *id > cursor);
        let earlier = near.filter(|(id, _)| *id <= cursor);
        let rest = later
            .chain(earlier)
            .map(|it| it.0)
            .filter(|it| !chosen.contains(it));
        let rest: Vec<u64> = rest.take(most - most / 2).collect();
        self.cursor = rest.last().copied().unwrap_or(0);
        ids.extend(rest);
        let own = table::line(&self.me, &self.store);
        let others = ids
            .iter()
            .filter_map(|it| self.table.get(*it))
            .map(table::Peer::line);
        std::iter::once(own).chain(others).collect()
    }

    /// Answers a digest with what its sender lacks and with what this host lacks.
    pub(crate) fn compare(&mut self, sender: &Record, lines: &[Line]) {
        let wanted = lines.iter().filter_map(|it| self.lack(it)).collect();
        self.supply(sender.address, lines, wanted);
    }

    /// Takes entries in and sends what is wanted in turn.
    pub(crate) fn patch(&mut self, sender: &Record, deltas: Vec<Delta>, wanted: &[Line]) {
        for delta in deltas {
            self.apply(delta);
        }
        if !wanted.is_empty() {
            self.supply(sender.address, wanted, Vec::new());
        }
    }

    fn apply(&mut self, delta: Delta) {
        let id = random::id(&delta.owner.host);
        let Some(peer) = self.table.get_mut(id) else {
            return;
        };
        if peer.record.holder != delta.owner || peer.is_down() {
            return;
        }
        let owner = delta.owner.clone();
        let fresh = peer.store.apply(delta);
        if fresh.is_empty() {
            return;
        }
        self.table.touch(id);
        self.out.extend(fresh.into_iter().map(|it| Output::Entry {
            owner: owner.clone(),
            key: it.key,
            value: it.value,
        }));
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
    fn supply(&mut self, to: SocketAddr, lines: &[Line], mut wanted: Vec<Line>) {
        let outdated = lines.iter().filter(|it| self.is_outdated(it));
        let mut records: Vec<u64> = outdated.map(|it| it.id).collect();
        let mut lines = lines.to_vec();
        for _ in 0..self.settings.sync_burst {
            let rest = records.split_off(records.len().min(DELTA_RECORDS));
            let taken = LINE_BYTES * wanted.len() + LARGEST_RECORD_BYTES * records.len();
            let mut room = self.settings.message_bytes.saturating_sub(taken);
            let deltas = self.deltas(&mut lines, &mut room);
            if deltas.is_empty() && wanted.is_empty() && records.is_empty() {
                return;
            }
            let wanted = std::mem::take(&mut wanted);
            let body = Body::Delta { deltas, wanted };
            room += LARGEST_RECORD_BYTES * records.len();
            self.send_within(to, body, &records, room);
            records = rest;
        }
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
        let alone = self.pick(1, |_| true).is_empty();
        let seed_turn = self.random.below(SEED_TURNS) == 0;
        if alone {
            self.join(usize::MAX);
        } else if seed_turn {
            self.join(1);
        }
        self.call_dead();
        self.call_listed();
    }

    fn join(&mut self, most: usize) {
        let mut seeds = self.seeds.clone();
        seeds.retain(|it| *it != self.me.address);
        self.random.shuffle(&mut seeds);
        for seed in seeds.into_iter().take(most) {
            self.send(seed, Body::Join, &[]);
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
