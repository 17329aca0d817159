//! A map whose copies share what they have in common, so that a copy is cheap and one change
//! copies a small part.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

/// Number of shards of a map.
const SHARDS: usize = 256;

type Shard<K, V> = Arc<BTreeMap<K, V>>;

/// A map of shards; copies share their equal shards.
#[derive(Clone, Debug)]
pub struct Map<K, V> {
    /// No shards at all before the first entry, so that a small map is small.
    shards: Arc<Vec<Shard<K, V>>>,
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
    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The value of a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.shard(index(key)).get(key)
    }

    /// The value of a key, to be changed.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.get(key)?;
        self.shard_mut(key).get_mut(key)
    }

    /// Sets the value of a key.
    pub fn insert(&mut self, key: K, value: V) {
        let before = self.shard_mut(&key).insert(key, value);
        if before.is_none() {
            self.len += 1;
        }
    }

    /// Removes a key.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        self.get(key)?;
        let removed = self.shard_mut(key).remove(key);
        self.len -= 1;
        removed
    }

    /// Every entry, in no order that means anything.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.shards.iter().flat_map(|it| it.iter())
    }

    /// Every entry, in the order of keys.
    pub fn sorted(&self) -> Vec<(&K, &V)> {
        let mut all: Vec<_> = self.iter().collect();
        all.sort_by_key(|(key, _)| *key);
        all
    }

    /// The keys whose values differ in `other`, in the order of keys. Shared shards cost nothing.
    pub fn differing<'a>(&'a self, other: &'a Self) -> Vec<&'a K> {
        let mut keys = Vec::new();
        for (one, two) in self.unshared(other) {
            let changed = one
                .iter()
                .filter(|(key, value)| two.get(key) != Some(value));
            keys.extend(changed.map(|(key, _)| key));
            keys.extend(two.keys().filter(|key| !one.contains_key(key)));
        }
        keys.sort();
        keys
    }

    /// How many entries lie in shards that are not shared with `other`.
    pub fn copied(&self, other: &Self) -> usize {
        self.unshared(other).map(|(one, _)| one.len()).sum()
    }

    fn unshared<'a>(
        &'a self,
        other: &'a Self,
    ) -> impl Iterator<Item = (&'a Shard<K, V>, &'a Shard<K, V>)> {
        let all = (0..SHARDS).map(|it| (self.shard(it), other.shard(it)));
        let both_empty = |one: &Shard<K, V>, two: &Shard<K, V>| one.is_empty() && two.is_empty();
        all.filter(move |(one, two)| !Arc::ptr_eq(one, two) && !both_empty(one, two))
    }

    fn shard(&self, index: usize) -> &Shard<K, V> {
        self.shards.get(index).unwrap_or(&self.empty)
    }

    fn shard_mut(&mut self, key: &K) -> &mut BTreeMap<K, V> {
        let shards = Arc::make_mut(&mut self.shards);
        shards.resize(SHARDS, Arc::clone(&self.empty));
        Arc::make_mut(&mut shards[index(key)])
    }
}

impl<K: Clone + Hash + Ord, V: Clone + PartialEq> PartialEq for Map<K, V> {
    fn eq(&self, other: &Self) -> bool {
        self.len == other.len && self.unshared(other).all(|(one, two)| one == two)
    }
}

fn index<K: Hash>(key: &K) -> usize {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    usize::try_from(hasher.finish() % SHARDS as u64).expect("a shard index is small")
}
