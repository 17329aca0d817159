//! Cache of store objects with their revisions. Another host can request the changes since a
//! revision.

use std::{cell::RefCell, collections::BTreeMap};

use fleet::era::{Era, Position};

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
    /// Era of the store in which the list was read.
    era: Era,
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
    /// Number of the store's era in which the revisions were assigned.
    #[serde(default)]
    pub era: u64,
    /// Revision of the last known change; 0 if the list is unknown.
    pub last: u64,
    /// Every change up to this revision is known.
    pub as_of: u64,
}

impl Watermark {
    /// Position of the last known change.
    pub fn last(self) -> Position {
        Position {
            era: Era(self.era),
            rev: self.last,
        }
    }

    /// Position up to which every change is known.
    pub fn as_of(self) -> Position {
        Position {
            era: Era(self.era),
            rev: self.as_of,
        }
    }
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
    /// Time in ms since the store returned, if `outage` is set. Earlier builds of this program don't state it.
    #[serde(default)]
    pub returned_ms: Option<u64>,
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

    /// Starts a list anew in a later era, whose revisions are unrelated to the earlier ones. The objects stay
    /// until the whole list is applied.
    pub fn begin_era(&self, kind: Kind, era: Era) {
        let mut lists = self.0.borrow_mut();
        let list = lists.entry(kind).or_default();
        if list.era < era {
            *list = List {
                era,
                objects: std::mem::take(&mut list.objects),
                ..List::default()
            };
        }
    }

    /// Object with this name, as last stored.
    pub fn get(&self, kind: Kind, name: &str) -> Option<Object> {
        self.0.borrow().get(&kind)?.objects.get(name).cloned()
    }

    /// Records that every change up to a revision is known.
    pub fn advance(&self, kind: Kind, as_of: u64) {
        let mut lists = self.0.borrow_mut();
        let list = lists.entry(kind).or_default();
        list.as_of = list.as_of.max(as_of);
        // 0 would mean that the list is unknown.
        list.last = list.last.max(1);
    }

    /// Records that this list has all changes that the list of another host has. A change may have left no object, so the
    /// objects don't tell the last one.
    pub fn catch_up(&self, kind: Kind, watermark: Watermark) {
        self.advance(kind, watermark.as_of);
        let mut lists = self.0.borrow_mut();
        let list = lists.entry(kind).or_default();
        list.last = list.last.max(watermark.last);
    }

    /// Watermark of a list.
    pub fn watermark(&self, kind: Kind) -> Watermark {
        let lists = self.0.borrow();
        lists
            .get(&kind)
            .map_or_else(Watermark::default, List::watermark)
    }

    /// Names of the objects in a list.
    pub fn names(&self, kind: Kind) -> Vec<String> {
        let lists = self.0.borrow();
        let list = lists.get(&kind);
        list.map_or_else(Vec::new, |it| it.objects.keys().cloned().collect())
    }

    /// Changes since a position, or the whole list if that position is too old or in another era.
    pub fn delta_since(&self, kind: Kind, since: Position) -> Delta {
        let lists = self.0.borrow();
        let Some(list) = lists.get(&kind) else {
            return Delta::default();
        };
        let full = since.rev == 0 || since.era != list.era || since.rev < list.forgotten_up_to;
        let since = if full { 0 } else { since.rev };
        let objects = list.objects.values().filter(|it| full || it.rev > since);
        let removed = list.removed.iter().filter(|it| !full && *it.1 > since);
        Delta {
            full,
            removed: removed.map(|(name, at)| (name.clone(), *at)).collect(),
            objects: objects.cloned().collect(),
            watermark: list.watermark(),
            outage: false,
            returned_ms: None,
        }
    }
}

impl List {
    fn watermark(&self) -> Watermark {
        Watermark {
            era: self.era.0,
            last: self.last,
            as_of: self.as_of,
        }
    }
}
