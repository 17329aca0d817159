//! A persistent map: clones share their shards, so that a clone is cheap and a change copies
//! only one shard.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

/// The number of shards in a map.
const SHARD_COUNT: usize = 256;

type Shard<K, V> = Arc<BTreeMap<K, V>>;

/// A map that is split into shards by the hash of the key. Clones share the shards that were not
/// changed since.
#[derive(Clone, Debug)]
pub struct Map<K, V> {
    /// Either empty or of length [`SHARD_COUNT`]. The shards are allocated on the first change, so
    /// that an empty map takes little memory.
    shards: Arc<Vec<Shard<K, V>>>,
    /// The empty shard that stands for each shard before the allocation.
    empty: Shard<K, V>,
    len: usize,
}

impl<K, V> Default for Map<K, V> {
    fn default() -> Self {
        Self {
            shards: Arc::new(Vec::new()),
            empty: Arc::new(BTreeMap::new()),
            len: 0,
        }
    }
}

impl<K: Clone + Hash + Ord, V: Clone + PartialEq> Map<K, V> {
    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the map has no entries.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.shard(shard_index(key)).get(key)
    }

    /// Returns a mutable reference to the value of a key. Copies the shard of the key if it is
    /// shared with a clone.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.get(key)?;
        self.shard_mut(key).get_mut(key)
    }

    /// Sets the value of a key.
    pub fn insert(&mut self, key: K, value: V) {
        let old = self.shard_mut(&key).insert(key, value);
        if old.is_none() {
            self.len += 1;
        }
    }

    /// Removes a key and returns its value.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        self.get(key)?;
        let removed = self.shard_mut(key).remove(key);
        self.len -= 1;
        removed
    }

    /// Returns every entry in an arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.shards.iter().flat_map(|it| it.iter())
    }

    /// Returns every entry in key order.
    pub fn sorted(&self) -> Vec<(&K, &V)> {
        let mut entries: Vec<_> = self.iter().collect();
        entries.sort_by_key(|(key, _)| *key);
        entries
    }

    /// Returns the keys whose values differ between the maps or that only one map has, in key
    /// order. Shared shards are skipped.
    pub fn changed_keys<'a>(&'a self, other: &'a Self) -> Vec<&'a K> {
        let mut keys = Vec::new();
        for (left, right) in self.unshared_shards(other) {
            let changed = left
                .iter()
                .filter(|(key, value)| right.get(key) != Some(value));
            keys.extend(changed.map(|(key, _)| key));
            keys.extend(right.keys().filter(|key| !left.contains_key(key)));
        }
        keys.sort();
        keys
    }

    /// Returns the number of entries in shards that are not shared with `other`.
    pub fn unshared_len(&self, other: &Self) -> usize {
        self.unshared_shards(other)
            .map(|(left, _)| left.len())
            .sum()
    }

    /// Returns the pairs of shards at the same index that are not shared, without pairs that are
    /// both empty.
    fn unshared_shards<'a>(
        &'a self,
        other: &'a Self,
    ) -> impl Iterator<Item = (&'a Shard<K, V>, &'a Shard<K, V>)> {
        let pairs = (0..SHARD_COUNT).map(|it| (self.shard(it), other.shard(it)));
        let both_empty =
            |left: &Shard<K, V>, right: &Shard<K, V>| left.is_empty() && right.is_empty();
        pairs.filter(move |(left, right)| !Arc::ptr_eq(left, right) && !both_empty(left, right))
    }

    fn shard(&self, index: usize) -> &Shard<K, V> {
        self.shards.get(index).unwrap_or(&self.empty)
    }

    fn shard_mut(&mut self, key: &K) -> &mut BTreeMap<K, V> {
        let shards = Arc::make_mut(&mut self.shards);
        shards.resize(SHARD_COUNT, Arc::clone(&self.empty));
        Arc::make_mut(&mut shards[shard_index(key)])
    }
}

impl<K: Clone + Hash + Ord, V: Clone + PartialEq> PartialEq for Map<K, V> {
    fn eq(&self, other: &Self) -> bool {
        self.len == other.len
            && self
                .unshared_shards(other)
                .all(|(left, right)| left == right)
    }
}

fn shard_index<K: Hash>(key: &K) -> usize {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    usize::try_from(hasher.finish() % SHARD_COUNT as u64).expect("a shard index fits in usize")
}
