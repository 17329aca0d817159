//! Rendezvous hashing: all hosts that know the same candidates choose the same one, and a candidate
//! that comes or goes moves only its own share.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Weight of a candidate for a key. `DefaultHasher::new` is the same in every process of one build.
pub fn weight(key: &str, candidate: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    candidate.hash(&mut hasher);
    hasher.finish()
}

/// The candidate with the highest weight.
pub fn choose<'a>(key: &str, candidates: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    candidates.max_by_key(|it| (weight(key, it), *it))
}

/// A short key of an id, for datagrams. Two ids among some ten thousand may share one; what is told under
/// it is advice, and never decides what an engine is ordered.
pub fn short_id(id: &str) -> u32 {
    u32::try_from(weight(id, "") >> 32).unwrap_or(0)
}
