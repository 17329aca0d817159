//! Seeded random numbers, and hashes that are equal on all hosts.

use kernel::name::Host;

/// Increment of the `SplitMix64` state.
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// A `SplitMix64` generator.
#[derive(Clone, Debug)]
pub struct Generator(u64);

impl Generator {
    /// Creates a generator. Equal seeds give equal sequences.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Draws the next number.
    pub fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(GOLDEN_GAMMA);
        mix(self.0)
    }

    /// Draws a number below `bound`, or returns zero if `bound` is zero.
    pub fn below(&mut self, bound: usize) -> usize {
        if bound == 0 {
            return 0;
        }
        usize::try_from(self.draw() % bound as u64).unwrap_or(0)
    }

    /// Shuffles a slice.
    pub fn shuffle<T>(&mut self, slice: &mut [T]) {
        for last in (1..slice.len()).rev() {
            slice.swap(last, self.below(last + 1));
        }
    }
}

/// The output mix of `SplitMix64`.
fn mix(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Hashes a sequence of strings. The result must be the same on every host and in every release.
pub fn hash(parts: &[&str]) -> u64 {
    let mut state = FNV_OFFSET_BASIS;
    for part in parts {
        for byte in part.bytes().chain([0xff]) {
            state = (state ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }
    mix(state)
}

/// Combines two hashes. The order matters.
pub fn combine(first: u64, second: u64) -> u64 {
    mix(first.rotate_left(1) ^ second)
}

/// The id of a host in digests: a hash of its name.
pub fn host_id(host: &Host) -> u64 {
    hash(&[host.as_str()])
}
