//! State shared by the network thread and all other threads.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use kernel::name::Host;
use member::{Input, Listing, Member};
use tokio::sync::Notify;
use wire::call::Release;

use crate::{
    counter::Counters,
    release::{Added, Queues},
};

/// Changes that the gossip task has not applied yet. A later change of the same kind or entry
/// replaces an earlier one, so that their number stays bounded.
#[derive(Debug, Default)]
struct Pending {
    entries: BTreeMap<String, Option<Vec<u8>>>,
    listings: Option<Vec<Listing>>,
    revision: Option<u64>,
    leave: Option<Input>,
}

/// State shared by the network thread and every [`Handle`](crate::Handle).
#[derive(Debug)]
pub(crate) struct Shared {
    pending: Mutex<Pending>,
    members: Mutex<Arc<[Member]>>,
    /// Notified when there are pending changes.
    pub changed: Notify,
    /// Notified when the service has to stop.
    pub stop: Notify,
    pub releases: Queues,
    pub counters: Counters,
}

impl Shared {
    pub fn new(releases: Queues) -> Self {
        Self {
            pending: Mutex::default(),
            members: Mutex::new(Arc::default()),
            changed: Notify::new(),
            stop: Notify::new(),
            releases,
            counters: Counters::default(),
        }
    }

    /// Updates the pending changes and wakes the gossip task.
    fn update(&self, update: impl FnOnce(&mut Pending)) {
        update(&mut self.pending.lock().expect("gossip lock is poisoned"));
        self.changed.notify_one();
    }

    /// Queues the release of a permit. Counts the oldest release of the host as dropped if it is displaced.
    pub fn queue_release(&self, host: Host, release: Release) {
        let name = host.clone();
        if self.releases.add(host, release) == Added::Displaced {
            self.counters.releases_dropped.add(1);
            log::warn!(target: "peer", "Too many releases wait for host {name}; the oldest was dropped.");
        }
    }

    pub fn publish(&self, key: String, value: Option<Vec<u8>>) {
        self.update(|it| {
            it.entries.insert(key, value);
        });
    }

    pub fn set_listed_hosts(&self, listings: Vec<Listing>) {
        self.update(|it| it.listings = Some(listings));
    }

    pub fn announce_revision(&self, revision: u64) {
        self.update(|it| it.revision = it.revision.max(Some(revision)));
    }

    pub fn leave(&self) {
        self.update(|it| it.leave = Some(Input::Leave));
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&self) -> Vec<Input> {
        let pending = std::mem::take(&mut *self.pending.lock().expect("gossip lock is poisoned"));
        let entries = pending.entries.into_iter();
        let mut inputs: Vec<Input> = entries
            .map(|(key, value)| Input::Publish { key, value })
            .collect();
        inputs.extend(pending.listings.map(Input::Listed));
        inputs.extend(pending.revision.map(Input::Revision));
        inputs.extend(pending.leave);
        inputs
    }

    pub fn members(&self) -> Arc<[Member]> {
        Arc::clone(&self.members.lock().expect("members lock is poisoned"))
    }

    pub fn set_members(&self, members: Arc<[Member]>) {
        *self.members.lock().expect("members lock is poisoned") = members;
    }
}

#[cfg(test)]
mod tests;
