//! Anti-entropy: hosts compare versions and exchange missing records and entries.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{
    broadcast::{DIGEST_LINE_BYTES, MAX_RECORD_BYTES},
    event::Output,
    message::{Body, Delta, Line, Update},
    random,
    record::Record,
    state::{Due, State, advance_if_due},
    table,
};

/// Maximum number of outdated records sent in one update.
const MAX_RECORDS_PER_UPDATE: usize = 3;

/// Maximum number of hosts that an update lists as remaining. The same message must have room for
/// an entry, since the receiver asks for more only if the update contained something new.
const MAX_REMAINING_LINES: usize = 8;

/// Mean number of reconnect rounds per probe of an unknown seed while members are known.
const RECONNECTS_PER_SEED_PROBE: usize = 32;

/// Number of digests in which a change is included eagerly. Later digests include it only in turn.
const SYNCS_PER_CHANGE: u32 = 3;

/// Hosts with entries that other members may not have yet, by id, with the number of digests in
/// which each is still to be included.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentChanges(BTreeMap<u64, u32>);

/// The effect of a received update on the stored entries.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Progress {
    Unchanged,
    Advanced,
}

impl RecentChanges {
    pub fn add(&mut self, id: u64) {
        self.0.insert(id, SYNCS_PER_CHANGE);
    }

    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Takes up to `limit` hosts, those with the most remaining digests first.
    fn take(&mut self, limit: usize) -> Vec<u64> {
        let mut order: Vec<(u32, u64)> = self
            .0
            .iter()
            .map(|(id, syncs_left)| (*syncs_left, *id))
            .collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        order.truncate(limit);
        for (syncs_left, id) in &order {
            match syncs_left {
                0 | 1 => self.0.remove(id),
                _ => self.0.insert(*id, syncs_left - 1),
            };
        }
        order.into_iter().map(|it| it.1).collect()
    }
}

impl State {
    /// Sends a digest to a random member when one is due: regularly, and at the shorter eager
    /// interval while there are changes that other members may not have.
    pub(crate) fn sync(&mut self, now: Instant) {
        let interval = self.sync_interval(now);
        let regular = advance_if_due(&mut self.timers.next_sync, interval, now);
        if regular == Due::Later && self.recent_changes.is_empty() {
            return;
        }
        let interval = self.settings.eager_sync_interval;
        let eager = advance_if_due(&mut self.timers.next_eager_sync, interval, now);
        let mut ids = match (regular, eager) {
            (Due::Later, Due::Later) => return,
            (Due::Later, Due::Now) => Vec::new(),
            (Due::Now, _) => self.next_digest_ids(),
        };
        let Some(target) = self.pick_members(1, |_| true).pop() else {
            return;
        };
        let free_lines = self.settings.max_digest_lines.saturating_sub(ids.len());
        ids.extend(self.recent_changes.take(free_lines));
        ids.sort_unstable();
        ids.dedup();
        let lines = ids
            .into_iter()
            .filter_map(|it| self.digest_line(it))
            .collect();
        self.send_to(target, Body::Sync(lines));
    }

    /// The time between two regular digests. It is shorter for a host that has just started, since
    /// that lacks most entries.
    fn sync_interval(&mut self, now: Instant) -> Duration {
        let started_at = *self.timers.started_at.get_or_insert(now);
        if now.saturating_duration_since(started_at) < self.settings.startup_sync_duration {
            self.settings.eager_sync_interval
        } else {
            self.settings.sync_interval
        }
    }

    /// The own host and the next of the other hosts in turn. They fill most of a digest and leave
    /// the rest to recent changes.
    fn next_digest_ids(&mut self) -> Vec<u64> {
        let cursor = self.sync_cursor;
        let tracked = self
            .table
            .iter()
            .filter(|(_, it)| !it.is_down() && self.is_fully_tracked(&it.record))
            .map(|it| it.0);
        let later = tracked.clone().filter(|id| *id > cursor);
        let earlier = tracked.filter(|id| *id <= cursor);
        let limit = self.settings.max_digest_lines * 3 / 4;
        let mut ids: Vec<u64> = later.chain(earlier).take(limit).collect();
        self.sync_cursor = ids.last().copied().unwrap_or(0);
        ids.push(self.own_id());
        ids
    }

    /// The digest line of a host, which may be the own one.
    fn digest_line(&self, id: u64) -> Option<Line> {
        if id == self.own_id() {
            return Some(table::digest_line(&self.own_record, &self.own_entries));
        }
        self.table.get(id).map(table::Peer::digest_line)
    }

    /// Answers a digest: sends what the sender lacks and requests what this host lacks. Hosts that
    /// don't track each other fully exchange no entries.
    pub(crate) fn handle_sync(&mut self, sender: &Record, lines: &[Line]) {
        if !self.is_fully_tracked(sender) {
            return;
        }
        let requested = self.missing_lines(lines);
        self.send_missing(sender.address, lines, requested);
    }

    /// Applies an update, sends what it requests, and requests what remains. Remaining entries are
    /// requested only if the update contained something new, so that every exchange terminates.
    pub(crate) fn handle_delta(&mut self, sender: &Record, update: Update) {
        if !self.is_fully_tracked(sender) {
            return;
        }
        let mut progress = Progress::Unchanged;
        for delta in update.deltas {
            progress = progress.max(self.apply(delta));
        }
        let requested = match progress {
            Progress::Unchanged => Vec::new(),
            Progress::Advanced => self.missing_lines(&update.remaining),
        };
        self.send_missing(sender.address, &update.requested, requested);
    }

    /// The own digest lines of the hosts that the given lines know better.
    fn missing_lines(&self, lines: &[Line]) -> Vec<Line> {
        lines
            .iter()
            .filter_map(|it| self.missing_line(it))
            .collect()
    }

    fn apply(&mut self, delta: Delta) -> Progress {
        let id = random::host_id(&delta.owner.host);
        let Some(peer) = self.table.get_mut(id) else {
            return Progress::Unchanged;
        };
        if peer.record.holder != delta.owner || peer.is_down() {
            return Progress::Unchanged;
        }
        let owner = delta.owner.clone();
        let before = peer.entries.version();
        let new_entries = peer.entries.apply(delta);
        if peer.entries.version() == before {
            return Progress::Unchanged;
        }
        self.recent_changes.add(id);
        self.outputs
            .extend(new_entries.into_iter().map(|it| Output::Entry {
                owner: owner.clone(),
                key: it.key,
                value: it.value,
            }));
        Progress::Advanced
    }

    /// The own digest line of a host if the given line is ahead of it. For an unknown host, the
    /// line starts at zero.
    fn missing_line(&self, line: &Line) -> Option<Line> {
        if line.id == self.own_id() {
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
        let own = peer.digest_line();
        let progress = |it: &Line| (it.incarnation, it.refutation, it.version);
        (progress(line) > progress(&own) && !peer.is_down()).then_some(own)
    }

    /// Sends the records and entries that the given lines lack, along with the requested lines, in
    /// a bounded number of messages.
    fn send_missing(&mut self, to: SocketAddr, lines: &[Line], mut requested: Vec<Line>) {
        let outdated = lines.iter().filter(|it| self.is_outdated(it));
        let mut records: Vec<u64> = outdated.map(|it| it.id).collect();
        let mut lines = lines.to_vec();
        for messages_left in (0..self.settings.max_sync_responses).rev() {
            let later_records = records.split_off(records.len().min(MAX_RECORDS_PER_UPDATE));
            let reserved_lines = if messages_left == 0 {
                lines.len().min(MAX_REMAINING_LINES)
            } else {
                0
            };
            let reserved_bytes = DIGEST_LINE_BYTES * (requested.len() + reserved_lines);
            let reserved_bytes = reserved_bytes + MAX_RECORD_BYTES * records.len();
            let mut available_bytes = self
                .settings
                .target_message_bytes
                .saturating_sub(reserved_bytes);
            let deltas = self.collect_deltas(&mut lines, &mut available_bytes);
            if deltas.is_empty() && requested.is_empty() && records.is_empty() {
                return;
            }
            let remaining = if messages_left == 0 {
                self.remaining_lines(&lines)
            } else {
                Vec::new()
            };
            let body = Body::Delta(Update {
                deltas,
                requested: std::mem::take(&mut requested),
                remaining,
            });
            available_bytes += MAX_RECORD_BYTES * records.len();
            self.send_with_budget(to, body, &records, available_bytes);
            records = later_records;
        }
    }

    /// The own digest lines of the hosts for which the given lines still lack entries.
    fn remaining_lines(&self, lines: &[Line]) -> Vec<Line> {
        let with_own_line = |it: &Line| Some((*it, self.digest_line(it.id)?));
        let pairs = lines.iter().filter_map(with_own_line);
        let behind = pairs.filter(|(theirs, own)| {
            (theirs.incarnation, theirs.version) < (own.incarnation, own.version)
        });
        behind.map(|it| it.1).take(MAX_REMAINING_LINES).collect()
    }

    /// Returns whether the own record of a host takes precedence over the given line.
    fn is_outdated(&self, line: &Line) -> bool {
        let Some(record) = self.record(line.id) else {
            return false;
        };
        let own = record.precedence();
        own > (
            line.incarnation,
            line.refutation,
            crate::record::Standing::Alive,
        )
    }

    /// Collects entries that the lines lack, and advances the lines by these entries.
    fn collect_deltas(&self, lines: &mut [Line], available_bytes: &mut usize) -> Vec<Delta> {
        let mut deltas = Vec::new();
        for line in lines {
            let Some(delta) = self.delta_for(line, available_bytes) else {
                continue;
            };
            line.incarnation = delta.owner.incarnation;
            line.version = delta.upto;
            deltas.push(delta);
        }
        deltas
    }

    /// The entries that one line lacks, as far as they fit.
    fn delta_for(&self, line: &Line, available_bytes: &mut usize) -> Option<Delta> {
        let (record, store) = if line.id == self.own_id() {
            (&self.own_record, &self.own_entries)
        } else {
            let peer = self.table.get(line.id)?;
            (&peer.record, &peer.entries)
        };
        let is_same_incarnation = record.holder.incarnation == line.incarnation;
        let after = match record.holder.incarnation {
            it if it < line.incarnation => return None,
            _ if is_same_incarnation => line.version,
            _ => 0,
        };
        store.delta(&record.holder, after, available_bytes)
    }

    /// Contacts seeds, down hosts and unknown listed hosts when that is due.
    pub(crate) fn reconnect(&mut self, now: Instant) {
        let interval = self.settings.reconnect_interval;
        if advance_if_due(&mut self.timers.next_reconnect, interval, now) == Due::Later {
            return;
        }
        if self.pick_members(1, |_| true).is_empty() {
            self.join_seeds();
        } else {
            self.probe_unknown_seed();
        }
        self.notify_down_host();
        self.join_listed_host();
    }

    /// Sends a join to all seeds.
    fn join_seeds(&mut self) {
        for seed in self.seeds.clone() {
            if seed != self.own_record.address {
                self.send(seed, Body::Join, &[]);
            }
        }
    }

    /// Occasionally pings a random seed if it is not a known member, so that partitions that have
    /// removed each other merge again. A ping rather than a join keeps the load on the seeds low,
    /// since all hosts may have the same seeds.
    fn probe_unknown_seed(&mut self) {
        if self.seeds.is_empty() || self.random.below(RECONNECTS_PER_SEED_PROBE) > 0 {
            return;
        }
        let seed = self.seeds[self.random.below(self.seeds.len())];
        let is_known = |it: &table::Peer| it.record.address == seed && !it.is_down();
        if seed != self.own_record.address && !self.table.iter().any(|(_, it)| is_known(it)) {
            self.last_probe_number += 1;
            self.send(seed, Body::Ping(self.last_probe_number), &[]);
        }
    }

    /// Sends a random down host its record, which the host refutes if it is alive.
    fn notify_down_host(&mut self) {
        let down: Vec<u64> = self
            .table
            .iter()
            .filter(|(_, it)| it.is_down())
            .map(|it| it.0)
            .collect();
        if down.is_empty() {
            return;
        }
        let id = down[self.random.below(down.len())];
        self.send_to(id, Body::News);
    }

    /// Sends a join to a random host of the platform's list that is unknown and would be tracked
    /// fully.
    fn join_listed_host(&mut self) {
        let is_unknown = |id: u64| id != self.own_id() && self.table.get(id).is_none();
        let mut missing: Vec<SocketAddr> = self
            .host_list
            .values()
            .filter(|it| {
                self.settings.detail == crate::Detail::Fleet || it.domain == self.own_record.domain
            })
            .filter(|it| is_unknown(random::host_id(&it.host)))
            .map(|it| it.address)
            .collect();
        self.random.shuffle(&mut missing);
        if let Some(address) = missing.first() {
            self.send(*address, Body::Join, &[]);
        }
    }
}
