//! Exponential decay of sums and counts.

use std::time::Duration;

use crate::Time;

/// Returns the factor by which what was recorded at `at` has lost weight.
pub(crate) fn factor(at: Time, half_life: Duration, now: Time) -> f64 {
    let age = now.saturating_sub(at).as_secs_f64();
    (-age / half_life.as_secs_f64()).exp2()
}
