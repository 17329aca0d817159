//! Which parts of prompts an engine is believed to keep.

use std::collections::{HashMap, VecDeque};

/// Parts that are remembered for an engine; an engine's token memory holds some hundred prompts.
const REMEMBERED: usize = 2048;

/// A part of a prompt, with its size.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Its id.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// The chain of parts of one prompt, each hashed with the adapter and all parts before it.
#[derive(Clone, Debug, Default)]
pub struct Chain(Vec<(u64, u32)>);

impl Chain {
    /// The chain of these parts for an adapter.
    pub fn new(adapter: &str, parts: &[Part]) -> Self {
        let mut key = crate::rendezvous::weight(adapter, "");
        let link = |part: &Part| {
            // The constant is the 64-bit golden ratio, usual for mixing.
            key = (key ^ part.id)
                .wrapping_mul(0x9E37_79B9_7F4A_7C15)
                .rotate_left(23);
            (key, part.tokens)
        };
        Self(parts.iter().map(link).collect())
    }

    /// Tokens of the whole prompt.
    pub fn tokens(&self) -> u32 {
        self.0.iter().map(|it| it.1).sum()
    }
}

/// The parts that an engine is believed to keep, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    known: HashMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    count: u64,
}

impl Cache {
    /// Notes that the engine has read this prompt.
    pub fn insert(&mut self, chain: &Chain) {
        for (key, _) in &chain.0 {
            self.count += 1;
            self.known.insert(*key, self.count);
            self.order.push_back((*key, self.count));
        }
        while self.order.len() > REMEMBERED {
            let Some((key, count)) = self.order.pop_front() else {
                break;
            };
            if self.known.get(&key) == Some(&count) {
                self.known.remove(&key);
            }
        }
    }

    /// Tokens of the prompt that the engine need not read again.
    pub fn cached_tokens(&self, chain: &Chain) -> u32 {
        let known = |it: &&(u64, u32)| self.known.contains_key(&it.0);
        chain.0.iter().take_while(known).map(|it| it.1).sum()
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
