//! Latencies and errors that callers measured, and their summary.

use std::{collections::BTreeMap, fmt, time::Duration};

/// Measurements of one request.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    /// Time from the scheduled start of the request to its first token.
    pub first_token: Duration,
    /// Times between consecutive tokens.
    pub token_gaps: Vec<Duration>,
    /// Time that the request waited for its adapter, as reported by the host.
    pub stall_ms: u64,
    /// Number of `[DONE]` events received: 1 if the answer was complete.
    pub complete: u32,
    /// The kind of the error. Empty if there was none.
    pub refusal: String,
    /// Time from the scheduled start of the request to its refusal.
    pub refused_after: Duration,
}

/// Summary of all samples.
pub struct Summary {
    first_token: Vec<Duration>,
    token_gaps: Vec<Duration>,
    stalls: Vec<Duration>,
    refused_after: Vec<Duration>,
    refusals: BTreeMap<String, usize>,
    complete: u32,
    total: usize,
}

impl Summary {
    /// Computes the summary of samples.
    pub fn new(samples: &[Sample]) -> Self {
        let served = || samples.iter().filter(|it| it.complete == 1);
        let mut refusals = BTreeMap::new();
        for sample in samples.iter().filter(|it| !it.refusal.is_empty()) {
            *refusals.entry(sample.refusal.clone()).or_default() += 1;
        }
        let refused = samples.iter().filter(|it| !it.refused_after.is_zero());
        Self {
            first_token: sorted(served().map(|it| it.first_token)),
            token_gaps: sorted(served().flat_map(|it| it.token_gaps.iter().copied())),
            stalls: sorted(served().map(|it| Duration::from_millis(it.stall_ms))),
            refused_after: sorted(refused.map(|it| it.refused_after)),
            refusals,
            complete: samples.iter().map(|it| it.complete).sum(),
            total: samples.len(),
        }
    }
}

fn sorted(times: impl Iterator<Item = Duration>) -> Vec<Duration> {
    let mut times: Vec<Duration> = times.collect();
    times.sort_unstable();
    times
}

/// Returns the `per_mille` / 1000 quantile of sorted times, in milliseconds.
fn quantile(times: &[Duration], per_mille: usize) -> f64 {
    let index = (times.len() * per_mille / 1000).min(times.len().saturating_sub(1));
    times.get(index).map_or(0.0, Duration::as_secs_f64) * 1000.0
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "whole answers: {} of {}", self.complete, self.total)?;
        writeln!(f, "refusals: {:?}", self.refusals)?;
        writeln!(f, "ms              p50      p95      p99      max")?;
        let rows = [
            ("first token", &self.first_token),
            ("load stall", &self.stalls),
            ("token gap", &self.token_gaps),
            ("refused after", &self.refused_after),
        ];
        for (name, times) in rows {
            write!(f, "{name:<13}")?;
            for per_mille in [500, 950, 990, 1000] {
                write!(f, " {:>8.1}", quantile(times, per_mille))?;
            }
            writeln!(f)?;
        }
        let stalled = self.stalls.iter().filter(|it| !it.is_zero()).count();
        let total: f64 = self.stalls.iter().map(Duration::as_secs_f64).sum();
        writeln!(f, "stalled: {stalled}; load stall in all: {total:.1} s")
    }
}
