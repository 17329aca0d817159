//! Random numbers from a seed, and hashes that are the same on every host.

use kernel::name::Host;

const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// A `SplitMix64` generator.
#[derive(Clone, Debug)]
pub struct Generator(u64);

impl Generator {
    /// A generator that gives the same numbers for the same seed.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// The next number.
    pub fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(GOLDEN);
        mix(self.0)
    }

    /// A number below `bound`; zero if `bound` is zero.
    pub fn below(&mut self, bound: usize) -> usize {
        if bound == 0 {
            return 0;
        }
        usize::try_from(self.draw() % bound as u64).unwrap_or(0)
    }

    /// Puts a slice into random order.
    pub fn shuffle<T>(&mut self, slice: &mut [T]) {
        for last in (1..slice.len()).rev() {
            slice.swap(last, self.below(last + 1));
        }
    }
}

fn mix(mut word: u64) -> u64 {
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// A hash of a few strings that every host and release computes alike.
pub fn hash(parts: &[&str]) -> u64 {
    let mut word = FNV_OFFSET;
    for part in parts {
        for byte in part.bytes().chain([0xff]) {
            word = (word ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }
    mix(word)
}

/// A hash of two hashes, in this order.
pub fn combine(first: u64, second: u64) -> u64 {
    mix(first.rotate_left(1) ^ second)
}

/// The short id of a host in digests.
pub fn id(host: &Host) -> u64 {
    hash(&[host.as_str()])
}
