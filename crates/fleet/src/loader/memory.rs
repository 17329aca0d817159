//! Adapters that an engine still has in its memory after it has unloaded them.
//!
//! Expected load: some adapters are evicted each second, and many of them are requested again within a minute. The engine
//! that held such an adapter loads it several times as fast as any other, without the weight store, so all hosts remember
//! the last unloads of each engine.

use std::collections::{HashSet, VecDeque};

use crate::listing::Name;

/// Number of recently unloaded adapters per engine that are expected to be still in its memory.
const MAX_RECENTLY_UNLOADED: usize = 110;

/// Recently unloaded adapters of one engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentlyUnloaded {
    names: HashSet<Name>,
    /// The same, oldest first.
    order: VecDeque<Name>,
}

impl RecentlyUnloaded {
    /// Adds an adapter as the newest.
    pub(crate) fn insert(&mut self, name: &Name) {
        if !self.names.insert(name.clone()) {
            self.order.retain(|it| it != name);
        }
        self.order.push_back(name.clone());
        if self.order.len() > MAX_RECENTLY_UNLOADED
            && let Some(oldest) = self.order.pop_front()
        {
            self.names.remove(&oldest);
        }
    }

    /// Returns whether an adapter is among them.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Forgets all: the engine has started again.
    pub(crate) fn clear(&mut self) {
        self.names.clear();
        self.order.clear();
    }
}
