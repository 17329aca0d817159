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

/// Returns the score of a candidate for a key, if candidates are to get keys in proportion to their `share`. The highest
/// score wins. A change of one share moves keys from or to that candidate only.
pub fn score(key: &str, candidate: &str, share: f64) -> f64 {
    // 32 bits are exact as `f64`. The half keeps the logarithm finite and below 0.
    let uniform = (f64::from(upper_half(weight(key, candidate))) + 0.5) / f64::from(u32::MAX);
    -share / uniform.min(1.0 - f64::EPSILON).ln()
}

/// The upper 32 bits of a hash.
fn upper_half(hash: u64) -> u32 {
    u32::try_from(hash >> 32).unwrap_or(u32::MAX)
}

/// Returns the candidate with the highest weight.
pub fn choose<'a>(key: &str, candidates: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    candidates.max_by_key(|it| (weight(key, it), *it))
}

/// Returns a short form of an id for datagrams. Among some ten thousand ids, two may have the same short
/// form. Messages that use it are therefore only hints and never decide which orders an engine gets.
pub fn short_id(id: &str) -> u32 {
    upper_half(weight(id, ""))
}
