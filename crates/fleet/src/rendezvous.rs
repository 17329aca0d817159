//! Rendezvous hashing. All hosts that know the same candidates choose the same one, and adding or removing
//! a candidate moves only the keys of that candidate.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns the weight of a candidate for a key. `DefaultHasher::new` gives the same hashes in every process
/// of one build.
pub fn weight(key: &str, candidate: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    candidate.hash(&mut hasher);
    hasher.finish()
}

/// Returns the candidate with the highest weight.
pub fn choose<'a>(key: &str, candidates: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    candidates.max_by_key(|it| (weight(key, it), *it))
}

/// Returns a short form of an id for datagrams. Among some ten thousand ids, two may have the same short
/// form. Messages that use it are therefore only hints and never decide which orders an engine gets.
pub fn short_id(id: &str) -> u32 {
    u32::try_from(weight(id, "") >> 32).unwrap_or(0)
}
