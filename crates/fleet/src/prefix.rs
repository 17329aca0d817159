//! Estimated prefix cache of an engine.

use std::collections::{HashMap, VecDeque};

/// Maximum number of prompt parts in the estimated cache of an engine, whose KV cache holds some hundred
/// prompts.
const MAX_PARTS: usize = 2048;

/// A part of a prompt, such as a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Identifies the content.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// The hash chain of a prompt: the hash and the tokens of each part. Each hash covers the adapter and all parts
/// before it.
#[derive(Clone, Debug, Default)]
pub struct Chain(Vec<(u64, u32)>);

impl Chain {
    /// Creates the chain of these parts for an adapter.
    pub fn new(adapter: &str, parts: &[Part]) -> Self {
        let mut key = crate::rendezvous::weight(adapter, "");
        let link = |part: &Part| {
            // The 64-bit golden ratio, a common constant for mixing hashes.
            key = (key ^ part.id)
                .wrapping_mul(0x9E37_79B9_7F4A_7C15)
                .rotate_left(23);
            (key, part.tokens)
        };
        Self(parts.iter().map(link).collect())
    }

    /// Returns the number of tokens of the whole prompt.
    pub fn tokens(&self) -> u32 {
        self.0.iter().map(|it| it.1).sum()
    }
}

/// Estimated prefix cache of an engine, with the oldest parts evicted first.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    /// Sequence number of the last insertion of each part.
    parts: HashMap<u64, u64>,
    /// All insertions with their sequence numbers, oldest first.
    insertions: VecDeque<(u64, u64)>,
    insertion_count: u64,
}

impl Cache {
    /// Records that the engine has prefilled a prompt.
    pub fn insert(&mut self, chain: &Chain) {
        for (key, _) in &chain.0 {
            self.insertion_count += 1;
            self.parts.insert(*key, self.insertion_count);
            self.insertions.push_back((*key, self.insertion_count));
        }
        while self.insertions.len() > MAX_PARTS {
            let Some((key, number)) = self.insertions.pop_front() else {
                break;
            };
            if self.parts.get(&key) == Some(&number) {
                self.parts.remove(&key);
            }
        }
    }

    /// Returns the tokens of the prompt that the engine doesn't need to prefill again.
    pub fn cached_tokens(&self, chain: &Chain) -> u32 {
        let is_cached = |it: &&(u64, u32)| self.parts.contains_key(&it.0);
        chain.0.iter().take_while(is_cached).map(|it| it.1).sum()
    }

    /// Removes all parts.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
