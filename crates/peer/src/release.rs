//! Queues of releases that are not acknowledged yet.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Mutex,
};

use kernel::name::Host;
use tokio::sync::Notify;
use wire::call::Release;

/// Maximum number of releases that are sent to a host at once.
const MAX_BATCH: usize = 64;

/// The queues of all hosts. Each queue is ordered by age, oldest first.
#[derive(Debug)]
pub(crate) struct Queues {
    by_host: Mutex<BTreeMap<Host, VecDeque<Release>>>,
    max_per_host: usize,
    /// Wakes the delivery task. Notified when a release is added and when a host goes down.
    pub added: Notify,
}

/// Result of [`Queues::add`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Added {
    /// The release was added.
    Queued,
    /// The release was added, and the oldest one was dropped because the queue was full.
    Displaced,
}

impl Queues {
    /// Creates queues that hold at most `max_per_host` releases each.
    pub fn new(max_per_host: usize) -> Self {
        Self {
            by_host: Mutex::default(),
            max_per_host,
            added: Notify::new(),
        }
    }

    /// Adds a release and wakes the delivery task. Drops the host's oldest release if its queue is
    /// full.
    pub fn add(&self, host: Host, release: Release) -> Added {
        let mut queues = self.by_host.lock().expect("release lock is poisoned");
        let queue = queues.entry(host).or_default();
        queue.push_back(release);
        let added = if queue.len() > self.max_per_host {
            queue.pop_front();
            Added::Displaced
        } else {
            Added::Queued
        };
        self.added.notify_one();
        added
    }

    /// Returns the hosts with queued releases.
    pub fn hosts(&self) -> Vec<Host> {
        let queues = self.by_host.lock().expect("release lock is poisoned");
        queues.keys().cloned().collect()
    }

    /// Returns the oldest releases of a host, which stay queued until [`Queues::acknowledge`].
    pub fn batch(&self, host: &Host) -> Vec<Release> {
        let queues = self.by_host.lock().expect("release lock is poisoned");
        let queue = queues.get(host).into_iter().flatten();
        queue.take(MAX_BATCH).cloned().collect()
    }

    /// Removes the releases of a batch after the host has acknowledged them.
    pub fn acknowledge(&self, host: &Host, releases: &[Release]) {
        let mut queues = self.by_host.lock().expect("release lock is poisoned");
        let Some(queue) = queues.get_mut(host) else {
            return;
        };
        // Releases behind the first `MAX_BATCH` can't be part of the batch.
        let batch_end = MAX_BATCH.min(queue.len());
        let mut rest = queue.split_off(batch_end);
        queue.retain(|it| !releases.contains(it));
        queue.append(&mut rest);
        if queue.is_empty() {
            queues.remove(host);
        }
    }

    /// Drops all releases of a host and returns their number.
    pub fn clear(&self, host: &Host) -> usize {
        let mut queues = self.by_host.lock().expect("release lock is poisoned");
        queues.remove(host).map_or(0, |it| it.len())
    }
}

#[cfg(test)]
mod tests;
