//! Cache of store objects with their revisions. Another host can request the changes since a
//! revision.

use std::{cell::RefCell, collections::BTreeMap};

use serde::{Deserialize, Serialize};

use crate::dialect::{Kind, Object};

/// Maximum number of removed names that are remembered for each kind.
const MAX_REMOVED_NAMES: usize = 4096;

/// Cached lists of the store, by kind.
#[derive(Debug, Default)]
pub struct ListCache(RefCell<BTreeMap<Kind, List>>);

/// Cached list of one kind.
#[derive(Debug, Default)]
struct List {
    objects: BTreeMap<String, Object>,
    /// Removed names, with the revision at which the removal was read.
    removed: BTreeMap<String, u64>,
    /// Names removed at or before this revision may have been forgotten.
    forgotten_up_to: u64,
    /// Revision of the last known change.
    last: u64,
    /// Every change up to this revision is known.
    as_of: u64,
}

/// Revisions up to which a host knows a list.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Watermark {
    /// Revision of the last known change; 0 if the list is unknown.
    pub last: u64,
    /// Every change up to this revision is known.
    pub as_of: u64,
}

/// Changes of a list since a revision.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Delta {
    /// True if `objects` is the whole list, false if it holds only the changes.
    #[serde(rename = "whole")]
    pub full: bool,
    /// Removed names, with the revision at which the removal was read.
    #[serde(rename = "gone")]
    pub removed: Vec<(String, u64)>,
    /// New and changed objects.
    pub objects: Vec<Object>,
    /// Watermark of the sender's list.
    #[serde(rename = "reach")]
    pub watermark: Watermark,
    /// True if the store was unavailable a moment ago, so removed entries may be written again.
    pub outage: bool,
}

impl ListCache {
    /// Stores an object.
    pub fn put(&self, kind: Kind, object: &Object) {
        let mut lists = self.0.borrow_mut();
        let list = lists.entry(kind).or_default();
        list.removed.remove(&object.name);
        list.last = list.last.max(object.rev);
        list.objects.insert(object.name.clone(), object.clone());
    }

    /// Records the removal of an object at a revision.
    pub fn remove(&self, kind: Kind, name: &str, at: u64) {
        let mut lists = self.0.borrow_mut();
        let list = lists.entry(kind).or_default();
        if list.objects.remove(name).is_none() {
            return;
        }
        list.last = list.last.max(at);
        list.removed.insert(name.to_owned(), at);
        while list.removed.len() > MAX_REMOVED_NAMES {
            let oldest = list.removed.iter().min_by_key(|it| *it.1);
            let Some((name, at)) = oldest.map(|it| (it.0.clone(), *it.1)) else {
                return;
            };
            list.removed.remove(&name);
            list.forgotten_up_to = list.forgotten_up_to.max(at);
        }
    }

    /// Records that every change up to a revision is known.
    pub fn advance(&self, kind: Kind, as_of: u64) {
        let mut lists = self.0.borrow_mut();
        let list = lists.entry(kind).or_default();
        list.as_of = list.as_of.max(as_of);
        // 0 would mean that the list is unknown.
        list.last = list.last.max(1);
    }

    /// Watermark of a list.
    pub fn watermark(&self, kind: Kind) -> Watermark {
        let lists = self.0.borrow();
        lists
            .get(&kind)
            .map_or_else(Watermark::default, |it| Watermark {
                last: it.last,
                as_of: it.as_of,
            })
    }

    /// Names of the objects in a list.
    pub fn names(&self, kind: Kind) -> Vec<String> {
        let lists = self.0.borrow();
        let list = lists.get(&kind);
        list.map_or_else(Vec::new, |it| it.objects.keys().cloned().collect())
    }

    /// Changes since a revision, or the whole list if that revision is too old.
    pub fn delta_since(&self, kind: Kind, since: u64) -> Delta {
        let lists = self.0.borrow();
        let Some(list) = lists.get(&kind) else {
            return Delta::default();
        };
        let full = since == 0 || since < list.forgotten_up_to;
        let since = if full { 0 } else { since };
        let objects = list.objects.values().filter(|it| it.rev > since);
        let removed = list.removed.iter().filter(|it| !full && *it.1 > since);
        Delta {
            full,
            removed: removed.map(|(name, at)| (name.clone(), *at)).collect(),
            objects: objects.cloned().collect(),
            watermark: Watermark {
                last: list.last,
                as_of: list.as_of,
            },
            outage: false,
        }
    }
}
