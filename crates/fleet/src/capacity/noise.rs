//! Variation of the time that one engine takes for like work, for all engines of a service together.
//!
//! Expected load: engines that are slower by two to three at times, for a half second or so; engines that aren't, among
//! errors of the samples that are as large (prompts that the host didn't know of, the step during which a prompt arrived, a
//! line that fits none of the engines well); hosts one in twenty of whose samples take seconds because of their own path.
//!
//! The difference between successive requests of one idle engine contains nothing that both have in common. Its upper
//! quantile shows moments of noise that are frequent enough to be worth caution, and nothing of rarer ones however long.

/// Shortest expected time of reading in ms of a request that is compared. In shorter ones the step during which the prompt
/// arrived matters as much.
pub(super) const MIN_READING_MS: f64 = 40.0;

/// Number of the latest differences that are kept, and from which on they say something.
const MAX_DIFFERENCES: usize = 128;
const MIN_DIFFERENCES: usize = 12;

/// Quantile of the differences, in percent. Noise in 15 of 100 cases shows in a quarter of the differences, an outlier
/// in 20 in a tenth.
const PERCENTILE: usize = 85;

/// The same quantile of the difference of two values of a normal distribution, in its standard deviations.
const NORMAL_QUANTILE: f64 = 2.036;

/// Deviation up to which the differences can't be told from the errors of the samples.
const ERROR_DEVIATION: f64 = 0.15;

/// The latest differences between the logarithms of times of successive requests of one engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Noise {
    differences: [f64; MAX_DIFFERENCES],
    /// Number of differences ever recorded.
    count: usize,
    deviation: f64,
}

impl Default for Noise {
    fn default() -> Self {
        Self {
            differences: [0.0; MAX_DIFFERENCES],
            count: 0,
            deviation: 0.0,
        }
    }
}

impl Noise {
    /// Records the difference between two successive requests.
    pub(super) fn record(&mut self, difference: f64) {
        self.differences[self.count % MAX_DIFFERENCES] = difference.abs();
        self.count += 1;
        let len = self.count.min(MAX_DIFFERENCES);
        if len < MIN_DIFFERENCES {
            return;
        }
        let mut sorted = self.differences;
        let sorted = &mut sorted[..len];
        sorted.sort_unstable_by(f64::total_cmp);
        let deviation = sorted[len * PERCENTILE / 100] / NORMAL_QUANTILE;
        self.deviation = if deviation > ERROR_DEVIATION {
            deviation
        } else {
            0.0
        };
    }

    /// Standard deviation of the logarithm of the time that the engine takes; 0 until enough is known.
    pub(super) fn deviation(&self) -> f64 {
        self.deviation
    }
}
