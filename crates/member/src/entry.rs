//! The published entries of one owner.

use std::{collections::BTreeMap, ops::Bound};

use kernel::permit::Holder;

use crate::message::{Delta, Entry};

/// Longest key of an entry in bytes.
pub const MAX_KEY_BYTES: usize = 96;

/// Longest value of an entry in bytes.
pub const MAX_VALUE_BYTES: usize = 704;

/// Bytes that an entry takes in a message besides its key and value.
const ENTRY_BYTES: usize = 40;

/// Bytes that a delta takes in a message besides its entries and the name of its owner.
const DELTA_BYTES: usize = 56;

#[derive(Clone, Debug, Eq, PartialEq)]
struct Cell {
    version: u64,
    value: Option<Vec<u8>>,
}

/// The entries of one owner and the version up to which they are known.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Store {
    version: u64,
    cells: BTreeMap<String, Cell>,
    by_version: BTreeMap<u64, String>,
}

impl Store {
    /// The version up to which all entries are known.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Sets or removes an entry of the own host.
    pub fn publish(&mut self, key: String, value: Option<Vec<u8>>) -> Effect {
        let current = self.cells.get(&key).and_then(|it| it.value.as_ref());
        if current == value.as_ref() {
            return Effect::Same;
        }
        self.version += 1;
        let version = self.version;
        self.put(key, version, value);
        Effect::Changed
    }

    fn put(&mut self, key: String, version: u64, value: Option<Vec<u8>>) {
        let cell = Cell { version, value };
        if let Some(old) = self.cells.insert(key.clone(), cell) {
            self.by_version.remove(&old.version);
        }
        self.by_version.insert(version, key);
    }

    /// The entries newer than `after`, as far as they fit into `room` bytes.
    pub fn delta(&self, owner: &Holder, after: u64, room: &mut usize) -> Option<Delta> {
        let header = DELTA_BYTES + owner.host.as_str().len();
        let mut left = room.checked_sub(header)?;
        let mut entries = Vec::new();
        let mut upto = self.version;
        for (version, key) in self
            .by_version
            .range((Bound::Excluded(after), Bound::Unbounded))
        {
            let value = self.cells[key].value.clone();
            let bytes = ENTRY_BYTES + key.len() + value.as_ref().map_or(0, Vec::len);
            if bytes > left {
                upto = version - 1;
                break;
            }
            left -= bytes;
            entries.push(Entry {
                key: key.clone(),
                version: *version,
                value,
            });
        }
        if upto <= after {
            return None;
        }
        *room = left;
        Some(Delta {
            owner: owner.clone(),
            after,
            upto,
            entries,
        })
    }

    /// Takes entries in; gives those that are new.
    pub fn apply(&mut self, delta: Delta) -> Vec<Entry> {
        let continues = delta.after <= self.version && self.version < delta.upto;
        if !continues {
            return Vec::new();
        }
        let known = self.version;
        let fresh = |it: &Entry| it.version > known && it.version <= delta.upto;
        let entries: Vec<Entry> = delta.entries.into_iter().filter(fresh).collect();
        for entry in &entries {
            self.put(entry.key.clone(), entry.version, entry.value.clone());
        }
        self.version = delta.upto;
        entries
    }

    /// The keys that have a value.
    pub fn keys(&self) -> impl Iterator<Item = &String> {
        let live = self.cells.iter().filter(|(_, it)| it.value.is_some());
        live.map(|(key, _)| key)
    }
}

/// What publishing did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The entry had this value already.
    Same,
    /// The entry has a new version.
    Changed,
}
