//! Published entries of one owner, with a version for each change.

use std::{collections::BTreeMap, ops::Bound};

use kernel::permit::Holder;

use crate::message::{Delta, Entry};

/// Maximum length of an entry's key in bytes.
pub const MAX_KEY_BYTES: usize = 96;

/// Maximum length of an entry's value in bytes.
pub const MAX_VALUE_BYTES: usize = 704;

/// Encoded size of an entry without its key and value.
const ENTRY_OVERHEAD_BYTES: usize = 40;

/// Encoded size of a delta without its entries and the name of its owner.
const DELTA_OVERHEAD_BYTES: usize = 56;

/// A value, or `None` after a removal, and the version of the change.
#[derive(Clone, Debug, Eq, PartialEq)]
struct VersionedValue {
    version: u64,
    value: Option<Vec<u8>>,
}

/// The entries of one owner, complete up to a version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Store {
    version: u64,
    by_key: BTreeMap<String, VersionedValue>,
    /// Each key by the version of its last change.
    by_version: BTreeMap<u64, String>,
}

impl Store {
    /// The version up to which all changes are known.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Sets an entry of the own host, or removes it if the value is `None`.
    pub fn publish(&mut self, key: String, value: Option<Vec<u8>>) -> Effect {
        let current = self.by_key.get(&key).and_then(|it| it.value.as_ref());
        if current == value.as_ref() {
            return Effect::Unchanged;
        }
        self.version += 1;
        let version = self.version;
        self.insert(key, version, value);
        Effect::Changed
    }

    fn insert(&mut self, key: String, version: u64, value: Option<Vec<u8>>) {
        let versioned = VersionedValue { version, value };
        if let Some(old) = self.by_key.insert(key.clone(), versioned) {
            self.by_version.remove(&old.version);
        }
        self.by_version.insert(version, key);
    }

    /// Returns the entries newer than `after` that fit into `available_bytes`, and subtracts their
    /// size. Returns `None` if no entry is newer or none fits.
    pub fn delta(&self, owner: &Holder, after: u64, available_bytes: &mut usize) -> Option<Delta> {
        let overhead = DELTA_OVERHEAD_BYTES + owner.host.as_str().len();
        let mut remaining_bytes = available_bytes.checked_sub(overhead)?;
        let mut entries = Vec::new();
        let mut upto = self.version;
        for (version, key) in self
            .by_version
            .range((Bound::Excluded(after), Bound::Unbounded))
        {
            let value = self.by_key[key].value.clone();
            let bytes = ENTRY_OVERHEAD_BYTES + key.len() + value.as_ref().map_or(0, Vec::len);
            if bytes > remaining_bytes {
                upto = version - 1;
                break;
            }
            remaining_bytes -= bytes;
            entries.push(Entry {
                key: key.clone(),
                version: *version,
                value,
            });
        }
        if upto <= after {
            return None;
        }
        *available_bytes = remaining_bytes;
        Some(Delta {
            owner: owner.clone(),
            after,
            upto,
            entries,
        })
    }

    /// Applies a delta and returns the entries that were new. A delta that leaves a gap in the
    /// versions or contains nothing new is ignored.
    pub fn apply(&mut self, delta: Delta) -> Vec<Entry> {
        let is_applicable = delta.after <= self.version && self.version < delta.upto;
        if !is_applicable {
            return Vec::new();
        }
        let previous_version = self.version;
        let is_new = |it: &Entry| it.version > previous_version && it.version <= delta.upto;
        let entries: Vec<Entry> = delta.entries.into_iter().filter(is_new).collect();
        for entry in &entries {
            self.insert(entry.key.clone(), entry.version, entry.value.clone());
        }
        self.version = delta.upto;
        entries
    }

    /// The keys of all entries that are not removed.
    pub fn keys(&self) -> impl Iterator<Item = &String> {
        let present = self.by_key.iter().filter(|(_, it)| it.value.is_some());
        present.map(|(key, _)| key)
    }
}

/// The effect of publishing an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The entry already had this value.
    Unchanged,
    /// The entry has a new version.
    Changed,
}
