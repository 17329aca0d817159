//! Releases that wait for their acknowledgement.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Mutex,
};

use kernel::name::Host;
use tokio::sync::Notify;
use wire::call::Release;

/// Most releases that are sent before their acknowledgements come.
const BATCH: usize = 64;

/// The releases of every host, oldest first.
#[derive(Debug)]
pub(crate) struct Queues {
    by_host: Mutex<BTreeMap<Host, VecDeque<Release>>>,
    most: usize,
    pub added: Notify,
}

/// What became of a release that was added.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Added {
    /// It waits.
    Queued,
    /// It waits, and the oldest one was dropped for it.
    Displaced,
}

impl Queues {
    /// Queues of at most `most` releases each.
    pub fn new(most: usize) -> Self {
        Self {
            by_host: Mutex::default(),
            most,
            added: Notify::new(),
        }
    }

    pub fn add(&self, host: Host, release: Release) -> Added {
        let mut queues = self.by_host.lock().expect("release lock is poisoned");
        let queue = queues.entry(host).or_default();
        queue.push_back(release);
        let added = if queue.len() > self.most {
            queue.pop_front();
            Added::Displaced
        } else {
            Added::Queued
        };
        self.added.notify_one();
        added
    }

    /// The hosts that releases wait for.
    pub fn hosts(&self) -> Vec<Host> {
        let queues = self.by_host.lock().expect("release lock is poisoned");
        queues.keys().cloned().collect()
    }

    /// The oldest releases of a host; they stay until [`Queues::acknowledge`].
    pub fn batch(&self, host: &Host) -> Vec<Release> {
        let queues = self.by_host.lock().expect("release lock is poisoned");
        let queue = queues.get(host).into_iter().flatten();
        queue.take(BATCH).cloned().collect()
    }

    /// Removes releases that arrived.
    pub fn acknowledge(&self, host: &Host, releases: &[Release]) {
        let mut queues = self.by_host.lock().expect("release lock is poisoned");
        let Some(queue) = queues.get_mut(host) else {
            return;
        };
        let reach = BATCH.min(queue.len());
        let mut rest = queue.split_off(reach);
        queue.retain(|it| !releases.contains(it));
        queue.append(&mut rest);
        if queue.is_empty() {
            queues.remove(host);
        }
    }

    /// Drops all releases of a host; gives their number.
    pub fn clear(&self, host: &Host) -> usize {
        let mut queues = self.by_host.lock().expect("release lock is poisoned");
        queues.remove(host).map_or(0, |it| it.len())
    }
}

#[cfg(test)]
mod tests;
