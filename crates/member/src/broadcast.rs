//! Broadcast of membership records: immediately to a few members, then piggybacked on other
//! messages.

use std::{collections::BTreeMap, net::SocketAddr};

use kernel::name::{Domain, MAX_NAME_BYTES};

use crate::{
    event::Output,
    message::{Body, Message},
    record::{Intent, Record, Standing},
    state::State,
};

/// Maximum encoded size of a record without its names.
const MAX_RECORD_OVERHEAD_BYTES: usize = 108;

/// Maximum encoded size of a record.
pub(crate) const MAX_RECORD_BYTES: usize =
    MAX_RECORD_OVERHEAD_BYTES + packed_len(2 * MAX_NAME_BYTES);

/// Encoded size of a digest line.
pub(crate) const DIGEST_LINE_BYTES: usize = 32;

/// Number of hosts of the own domain whose records are sent with each answer to a host of another
/// domain.
const SAMPLED_LOCAL_HOSTS: usize = 2;

/// Number of times that each record is sent, per unit of the binary logarithm of the member count.
const SENDS_PER_LOG2_MEMBERS: u32 = 3;

/// Membership records that are still to be broadcast.
#[derive(Clone, Debug, Default)]
pub(crate) struct Broadcasts {
    /// Remaining sends for each host's record, by host id.
    sends_left: BTreeMap<u64, u32>,
    /// Pending if a record was queued since the last immediate broadcast.
    flush: Flush,
}

/// State of the immediate broadcast of newly queued records.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Flush {
    #[default]
    Done,
    Pending,
}

/// Maximum packed size of text: packing adds one byte for every eight.
const fn packed_len(bytes: usize) -> usize {
    bytes + bytes.div_ceil(8)
}

fn encoded_len(record: &Record) -> usize {
    let names = record.holder.host.as_str().len() + record.domain.as_str().len();
    MAX_RECORD_OVERHEAD_BYTES + packed_len(names)
}

impl State {
    /// Queues the record of a host for broadcast. Records of contacts are not broadcast.
    pub(crate) fn enqueue_broadcast(&mut self, id: u64) {
        let is_contact = self
            .table
            .get(id)
            .is_some_and(|it| !self.is_fully_tracked(&it.record));
        if is_contact {
            return;
        }
        // Adding 2 keeps the logarithm at one or more.
        let members = self.table.iter().count() + 2;
        self.broadcasts
            .sends_left
            .insert(id, SENDS_PER_LOG2_MEMBERS * members.ilog2());
        self.broadcasts.flush = Flush::Pending;
    }

    /// Sends newly queued records to a few members immediately.
    pub(crate) fn flush_broadcasts(&mut self) {
        if self.broadcasts.flush == Flush::Done {
            return;
        }
        self.broadcasts.flush = Flush::Done;
        let targets = self.pick_members(self.settings.fanout, |_| true);
        for id in targets {
            self.send_to(id, Body::News);
        }
    }

    /// Picks up to `count` random members that are tracked fully and not down.
    pub(crate) fn pick_members(
        &mut self,
        count: usize,
        is_candidate: impl Fn(u64) -> bool,
    ) -> Vec<u64> {
        let tracked = self
            .table
            .iter()
            .filter(|(_, it)| !it.is_down() && self.is_fully_tracked(&it.record));
        let mut ids: Vec<u64> = tracked
            .map(|it| it.0)
            .filter(|it| is_candidate(*it))
            .collect();
        self.random.shuffle(&mut ids);
        ids.truncate(count);
        ids
    }

    /// Sends a message to a known host. A host that is not considered alive also receives its own
    /// record, so that it can refute it.
    pub(crate) fn send_to(&mut self, id: u64, body: Body) {
        let Some(peer) = self.table.get(id) else {
            return;
        };
        let needs_refutation = !peer.is_alive();
        let address = peer.record.address;
        let leading = if needs_refutation {
            vec![id]
        } else {
            Vec::new()
        };
        self.send(address, body, &leading);
    }

    /// Sends a message with the records of the `leading` hosts, followed by broadcasts.
    pub(crate) fn send(&mut self, to: SocketAddr, body: Body, leading: &[u64]) {
        let lines = match &body {
            Body::Sync(lines) => lines.len(),
            _ => 0,
        };
        let available_bytes = self.settings.target_message_bytes;
        let available_bytes = available_bytes.saturating_sub(DIGEST_LINE_BYTES * lines);
        self.send_with_budget(to, body, leading, available_bytes);
    }

    /// Sends a message with the records of the `leading` hosts, followed by as many broadcasts as
    /// fit into `available_bytes`.
    pub(crate) fn send_with_budget(
        &mut self,
        to: SocketAddr,
        body: Body,
        leading: &[u64],
        available_bytes: usize,
    ) {
        let mut records: Vec<Record> = leading.iter().filter_map(|it| self.record(*it)).collect();
        let used_bytes: usize = records.iter().map(encoded_len).sum();
        let available_bytes = available_bytes.saturating_sub(used_bytes);
        self.add_broadcasts(leading, &mut records, available_bytes);
        let message = Message {
            sender: self.own_record.clone(),
            revision: self.revision,
            records,
            body,
        };
        self.outputs.push(Output::Send { to, message });
    }

    /// Adds queued records that fit, those with the most remaining sends first.
    fn add_broadcasts(
        &mut self,
        included: &[u64],
        records: &mut Vec<Record>,
        mut available_bytes: usize,
    ) {
        let mut order: Vec<(u32, u64)> = self
            .broadcasts
            .sends_left
            .iter()
            .map(|it| (*it.1, *it.0))
            .collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        for (sends_left, id) in order {
            let Some(record) = self.record(id) else {
                self.broadcasts.sends_left.remove(&id);
                continue;
            };
            if encoded_len(&record) > available_bytes {
                return;
            }
            if included.contains(&id) {
                continue;
            }
            available_bytes -= encoded_len(&record);
            records.push(record);
            self.count_broadcast(id, sends_left);
        }
    }

    fn count_broadcast(&mut self, id: u64, sends_left: u32) {
        if sends_left <= 1 {
            self.broadcasts.sends_left.remove(&id);
        } else {
            self.broadcasts.sends_left.insert(id, sends_left - 1);
        }
    }

    /// The current record of a host, which may be the own one.
    pub(crate) fn record(&self, id: u64) -> Option<Record> {
        if id == self.own_id() {
            return Some(self.own_record.clone());
        }
        self.table.get(id).map(|it| it.record.clone())
    }

    /// Answers a join with the records of all hosts that are not down.
    pub(crate) fn handle_join(&mut self, sender: &Record) {
        let not_down = self.table.iter().filter(|(_, it)| !it.is_down());
        let mut ids: Vec<u64> = not_down.map(|it| it.0).collect();
        self.random.shuffle(&mut ids);
        let records_per_message = (self.settings.target_message_bytes / MAX_RECORD_BYTES).max(1);
        for chunk in ids.chunks(records_per_message) {
            self.send(sender.address, Body::News, chunk);
        }
        if ids.is_empty() {
            // The answer also carries the record of this host, so the sender learns of it.
            self.send(sender.address, Body::News, &[]);
        }
    }

    /// Selects the hosts whose records are sent to a host of another domain: a few hosts of the own
    /// domain, so that it can renew its contacts; the known hosts of its domain, so that parts of
    /// that domain that don't know each other find each other; and one host of a third domain, so
    /// that no domain stays unknown.
    pub(crate) fn sample_for_domain(&mut self, domain: &Domain) -> Vec<u64> {
        let is_usable =
            |it: &Record| it.standing == Standing::Alive && it.intent == Intent::Staying;
        let mut own = Vec::new();
        let mut theirs = Vec::new();
        let mut others = Vec::new();
        for (id, peer) in self.table.iter().filter(|(_, it)| is_usable(&it.record)) {
            match &peer.record.domain {
                it if it == domain => theirs.push(id),
                it if *it == self.own_record.domain => own.push(id),
                _ => others.push(id),
            }
        }
        self.random.shuffle(&mut own);
        own.truncate(SAMPLED_LOCAL_HOSTS);
        let other = others.get(self.random.below(others.len())).copied();
        own.into_iter().chain(theirs).chain(other).collect()
    }
}
