//! A seeded trace of arrivals.

use std::time::Duration;

/// One request of the trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it arrives, from the start.
    pub at: Duration,
    /// The adapter that it names.
    pub adapter: usize,
}

/// Arrivals of a Poisson process, with adapters drawn by Zipf's law.
pub struct Trace {
    state: u64,
    cumulated: Vec<f64>,
    per_second: f64,
    at: f64,
}

impl Trace {
    /// A trace of requests for `adapters` adapters.
    #[expect(clippy::cast_precision_loss, reason = "there are few adapters")]
    pub fn new(seed: u64, adapters: usize, skew: f64, per_second: f64) -> Self {
        let mut sum = 0.0;
        let weights = (1..=adapters).map(|rank| (rank as f64).powf(-skew));
        let cumulated = weights
            .map(|it| {
                sum += it;
                sum
            })
            .collect();
        Self {
            state: seed,
            cumulated,
            per_second,
            at: 0.0,
        }
    }

    /// Splitmix64 (Steele, Lea and Flood, 2014), as a number from 0 to 1.
    #[expect(clippy::cast_precision_loss, reason = "53 bits fit")]
    fn uniform(&mut self) -> f64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut it = self.state;
        it = (it ^ (it >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        it = (it ^ (it >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        it ^= it >> 31;
        (it >> 11) as f64 / (1_u64 << 53) as f64
    }
}

impl Iterator for Trace {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let gap = -(1.0 - self.uniform()).ln() / self.per_second;
        self.at += gap;
        let point = self.uniform() * self.cumulated.last()?;
        let adapter = self.cumulated.partition_point(|it| *it < point);
        Some(Arrival {
            at: Duration::from_secs_f64(self.at),
            adapter: adapter.min(self.cumulated.len() - 1),
        })
    }
}
