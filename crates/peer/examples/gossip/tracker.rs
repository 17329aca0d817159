//! Tracks which hosts of a fleet have received which updates.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use kernel::{
    name::{Host, Upstream},
    permit::{Holder, Number, Outcome, Request, Verdict},
};
use member::Change;
use peer::Handler;

/// The key of the entries whose distribution is timed.
pub const TIMED_KEY: &str = "timed";

/// An update that every host concerned should receive.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Update {
    Up(Holder),
    Down(Holder),
    Entry(Holder, Vec<u8>),
    Revision(u64),
}

#[derive(Default)]
struct Record {
    received: HashMap<Update, HashSet<Host>>,
    entry_counts: HashMap<Host, usize>,
    /// The hosts reported as down, once per reporting host.
    down: Vec<Holder>,
}

/// The updates received by all hosts. The handlers of the hosts share one tracker.
#[derive(Default)]
pub struct Tracker {
    record: Mutex<Record>,
    changed: Condvar,
}

impl Tracker {
    fn record_update(&self, host: &Host, update: Update) {
        let mut record = self.record.lock().expect("tracker lock is poisoned");
        if let Update::Down(holder) = &update {
            record.down.push(holder.clone());
        }
        record
            .received
            .entry(update)
            .or_default()
            .insert(host.clone());
        self.changed.notify_all();
    }

    fn count_entry(&self, host: &Host) {
        let mut record = self.record.lock().expect("tracker lock is poisoned");
        *record.entry_counts.entry(host.clone()).or_default() += 1;
        self.changed.notify_all();
    }

    /// Returns the number of entry changes that all hosts together have received.
    pub fn entry_count(&self) -> usize {
        let record = self.record.lock().expect("tracker lock is poisoned");
        record.entry_counts.values().sum()
    }

    /// Returns the hosts that were reported as down, once per reporting host.
    pub fn down_reports(&self) -> Vec<Holder> {
        let record = self.record.lock().expect("tracker lock is poisoned");
        record.down.clone()
    }

    /// Waits until all of the given hosts have received an update. Returns the time taken, or `None`
    /// after the limit.
    pub fn wait_for_update(
        &self,
        update: &Update,
        hosts: &HashSet<Host>,
        limit: Duration,
    ) -> Option<Duration> {
        self.wait_until(limit, |record| {
            let received = record.received.get(update);
            received.is_some_and(|it| it.is_superset(hosts))
        })
    }

    /// Waits until a host has received a number of entry changes. Returns the time taken, or `None`
    /// after the limit.
    pub fn wait_for_entries(&self, host: &Host, count: usize, limit: Duration) -> Option<Duration> {
        self.wait_until(limit, |record| {
            let received = record.entry_counts.get(host);
            received.is_some_and(|it| *it >= count)
        })
    }

    fn wait_until(&self, limit: Duration, holds: impl Fn(&Record) -> bool) -> Option<Duration> {
        let start = Instant::now();
        let mut record = self.record.lock().expect("tracker lock is poisoned");
        while !holds(&record) {
            let remaining = limit.checked_sub(start.elapsed())?;
            let woken = self.changed.wait_timeout(record, remaining);
            record = woken.expect("tracker lock is poisoned").0;
        }
        Some(start.elapsed())
    }
}

/// The handler of one host, which records the host's updates in the tracker.
pub struct Observer {
    pub host: Host,
    pub tracker: Arc<Tracker>,
}

impl Handler for Observer {
    fn place(&self, _: Request, reply: Box<dyn FnOnce(Verdict) + Send>) {
        reply(Verdict::Granted(crate::calls::permit()));
    }

    fn release(&self, _: Upstream, _: u64, _: Number, _: Outcome) {}

    fn revisions(&self, _: u64) -> Vec<Vec<u8>> {
        Vec::new()
    }

    fn explain(&self, _: &str) -> Option<String> {
        None
    }

    fn on_member_change(&self, change: Change) {
        let holder = change.member().holder.clone();
        match change {
            Change::Up(_) => self.tracker.record_update(&self.host, Update::Up(holder)),
            Change::Down(_) => self.tracker.record_update(&self.host, Update::Down(holder)),
            Change::Suspect(_) | Change::Leaving(_) | Change::Forgotten(_) => {}
        }
    }

    fn on_entry_change(&self, owner: Holder, key: &str, value: Option<&[u8]>) {
        self.tracker.count_entry(&self.host);
        if let (TIMED_KEY, Some(value)) = (key, value) {
            let update = Update::Entry(owner, value.to_vec());
            self.tracker.record_update(&self.host, update);
        }
    }

    fn on_revision(&self, revision: u64, _: Holder) {
        self.tracker
            .record_update(&self.host, Update::Revision(revision));
    }
}
