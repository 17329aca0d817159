//! Objects of the store as they were read, with revisions, so that another host can ask what is new since
//! one of them.

use std::{cell::RefCell, collections::BTreeMap};

use serde::{Deserialize, Serialize};

use crate::dialect::{Kind, Object};

/// Names that are gone and are remembered at most, of one kind.
const MAX_REMOVED_NAMES: usize = 4096;

/// What a host knows of the store's lists.
#[derive(Debug, Default)]
pub struct ListCache(RefCell<BTreeMap<Kind, List>>);

#[derive(Debug, Default)]
struct List {
    objects: BTreeMap<String, Object>,
    /// Names that are gone, with the revision at which that was read.
    removed: BTreeMap<String, u64>,
    /// Names that were gone at this revision may be forgotten.
    forgotten_up_to: u64,
    /// The last change that is known.
    last: u64,
    /// Everything up to this revision is known.
    as_of: u64,
}

/// How far a host knows a list.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Watermark {
    /// Revision of the last change that is known; 0 if nothing is.
    pub last: u64,
    /// Everything up to this revision is known.
    pub as_of: u64,
}

/// What is new in a list since a revision.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Delta {
    /// Whether these are all objects there are, and not only the new ones.
    #[serde(rename = "whole")]
    pub full: bool,
    /// Names that are gone, with the revision at which that was read.
    #[serde(rename = "gone")]
    pub removed: Vec<(String, u64)>,
    /// New and changed objects.
    pub objects: Vec<Object>,
    /// How far it reaches.
    #[serde(rename = "reach")]
    pub watermark: Watermark,
    /// Whether the store was away a moment ago, so that entries that are gone may come back.
    pub outage: bool,
}

impl ListCache {
    /// Keeps an object.
    pub fn put(&self, kind: Kind, object: &Object) {
        let mut lists = self.0.borrow_mut();
        let list = lists.entry(kind).or_default();
        list.removed.remove(&object.name);
        list.last = list.last.max(object.rev);
        list.objects.insert(object.name.clone(), object.clone());
    }

    /// Notes that an object was gone at a revision.
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

    /// Notes that everything up to a revision is known.
    pub fn advance(&self, kind: Kind, as_of: u64) {
        let mut lists = self.0.borrow_mut();
        let list = lists.entry(kind).or_default();
        list.as_of = list.as_of.max(as_of);
        list.last = list.last.max(1);
    }

    /// How far a list is known.
    pub fn watermark(&self, kind: Kind) -> Watermark {
        let lists = self.0.borrow();
        lists
            .get(&kind)
            .map_or_else(Watermark::default, |it| Watermark {
                last: it.last,
                as_of: it.as_of,
            })
    }

    /// Names of a list.
    pub fn names(&self, kind: Kind) -> Vec<String> {
        let lists = self.0.borrow();
        let list = lists.get(&kind);
        list.map_or_else(Vec::new, |it| it.objects.keys().cloned().collect())
    }

    /// What is new since a revision.
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
