//! What the thread of the sockets shares with all others.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use member::{Input, Listing, Member};
use tokio::sync::Notify;

use crate::{counter::Counters, release::Queues};

/// Changes that gossip has not taken in yet. A later one of a kind replaces an earlier one, so
/// that their number stays bounded.
#[derive(Debug, Default)]
struct Pending {
    published: BTreeMap<String, Option<Vec<u8>>>,
    listed: Option<Vec<Listing>>,
    revision: Option<u64>,
    leave: Option<Input>,
}

/// State behind every [`Handle`](crate::Handle).
#[derive(Debug)]
pub(crate) struct Shared {
    pending: Mutex<Pending>,
    members: Mutex<Arc<[Member]>>,
    pub changed: Notify,
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

    fn change(&self, change: impl FnOnce(&mut Pending)) {
        change(&mut self.pending.lock().expect("gossip lock is poisoned"));
        self.changed.notify_one();
    }

    pub fn publish(&self, key: String, value: Option<Vec<u8>>) {
        self.change(|it| {
            it.published.insert(key, value);
        });
    }

    pub fn list(&self, listed: Vec<Listing>) {
        self.change(|it| it.listed = Some(listed));
    }

    pub fn revise(&self, revision: u64) {
        self.change(|it| it.revision = it.revision.max(Some(revision)));
    }

    pub fn leave(&self) {
        self.change(|it| it.leave = Some(Input::Leave));
    }

    /// The changes since the last call.
    pub fn take(&self) -> Vec<Input> {
        let pending = std::mem::take(&mut *self.pending.lock().expect("gossip lock is poisoned"));
        let published = pending.published.into_iter();
        let mut inputs: Vec<Input> = published
            .map(|(key, value)| Input::Publish { key, value })
            .collect();
        inputs.extend(pending.listed.map(Input::Listed));
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
