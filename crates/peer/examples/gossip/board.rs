//! What the hosts of a fleet were told, and when.

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

/// The key of the entries that are timed.
pub const TIMED_KEY: &str = "timed";

/// Something that every host should hear of once.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum News {
    Up(Holder),
    Down(Holder),
    Entry(Holder, Vec<u8>),
    Revision(u64),
}

#[derive(Default)]
struct Record {
    heard: HashMap<News, HashSet<Host>>,
    entries: HashMap<Host, usize>,
    downs: Vec<Holder>,
}

/// Shared by the handlers of all hosts.
#[derive(Default)]
pub struct Board {
    record: Mutex<Record>,
    changed: Condvar,
}

impl Board {
    fn hear(&self, host: &Host, news: News) {
        let mut record = self.record.lock().expect("board lock is poisoned");
        if let News::Down(holder) = &news {
            record.downs.push(holder.clone());
        }
        record.heard.entry(news).or_default().insert(host.clone());
        self.changed.notify_all();
    }

    fn count_entry(&self, host: &Host) {
        let mut record = self.record.lock().expect("board lock is poisoned");
        *record.entries.entry(host.clone()).or_default() += 1;
        self.changed.notify_all();
    }

    /// How many entries all hosts were told of.
    pub fn entries(&self) -> usize {
        let record = self.record.lock().expect("board lock is poisoned");
        record.entries.values().sum()
    }

    /// Every host that any host held dead, once for each that did.
    pub fn downs(&self) -> Vec<Holder> {
        let record = self.record.lock().expect("board lock is poisoned");
        record.downs.clone()
    }

    /// Waits until all of the hosts have heard something; none if they don't in time.
    pub fn wait(&self, news: &News, hosts: &HashSet<Host>, limit: Duration) -> Option<Duration> {
        self.wait_until(limit, |record| {
            let heard = record.heard.get(news);
            heard.is_some_and(|it| it.is_superset(hosts))
        })
    }

    /// Waits until a host was told of a number of entries; none if it isn't in time.
    pub fn wait_for_entries(&self, host: &Host, count: usize, limit: Duration) -> Option<Duration> {
        self.wait_until(limit, |record| {
            let told = record.entries.get(host);
            told.is_some_and(|it| *it >= count)
        })
    }

    fn wait_until(&self, limit: Duration, holds: impl Fn(&Record) -> bool) -> Option<Duration> {
        let start = Instant::now();
        let mut record = self.record.lock().expect("board lock is poisoned");
        while !holds(&record) {
            let left = limit.checked_sub(start.elapsed())?;
            let woken = self.changed.wait_timeout(record, left);
            record = woken.expect("board lock is poisoned").0;
        }
        Some(start.elapsed())
    }
}

/// The handler of one host.
pub struct Listener {
    pub host: Host,
    pub board: Arc<Board>,
}

impl Handler for Listener {
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
            Change::Up(_) => self.board.hear(&self.host, News::Up(holder)),
            Change::Down(_) => self.board.hear(&self.host, News::Down(holder)),
            Change::Suspect(_) | Change::Leaving(_) | Change::Forgotten(_) => {}
        }
    }

    fn on_entry_change(&self, owner: Holder, key: &str, value: Option<&[u8]>) {
        self.board.count_entry(&self.host);
        if let (TIMED_KEY, Some(value)) = (key, value) {
            let news = News::Entry(owner, value.to_vec());
            self.board.hear(&self.host, news);
        }
    }

    fn on_revision(&self, revision: u64, _: Holder) {
        self.board.hear(&self.host, News::Revision(revision));
    }
}
