//! Seeded trace of request arrivals.

use std::time::Duration;

/// One request of the trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time of arrival, from the start of the trace.
    pub at: Duration,
    /// Index of the requested adapter.
    pub adapter: usize,
}

/// Arrivals of a Poisson process whose adapters follow a Zipf distribution.
pub struct Trace {
    rng_state: u64,
    cumulative_weights: Vec<f64>,
    per_second: f64,
    time_s: f64,
}

impl Trace {
    /// Creates a trace of requests for `adapters` adapters. `skew` is the Zipf exponent.
    #[expect(clippy::cast_precision_loss, reason = "there are few adapters")]
    pub fn new(seed: u64, adapters: usize, skew: f64, per_second: f64) -> Self {
        let mut sum = 0.0;
        let weights = (1..=adapters).map(|rank| (rank as f64).powf(-skew));
        let cumulative_weights = weights
            .map(|it| {
                sum += it;
                sum
            })
            .collect();
        Self {
            rng_state: seed,
            cumulative_weights,
            per_second,
            time_s: 0.0,
        }
    }

    /// Returns a random number in `0..1` by splitmix64 (Steele, Lea and Flood, 2014).
    #[expect(clippy::cast_precision_loss, reason = "53 bits fit")]
    fn uniform(&mut self) -> f64 {
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut it = self.rng_state;
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
        self.time_s += gap;
        let threshold = self.uniform() * self.cumulative_weights.last()?;
        let adapter = self
            .cumulative_weights
            .partition_point(|it| *it < threshold);
        Some(Arrival {
            at: Duration::from_secs_f64(self.time_s),
            adapter: adapter.min(self.cumulative_weights.len() - 1),
        })
    }
}
