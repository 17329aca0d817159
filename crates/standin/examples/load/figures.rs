//! What callers saw, summed up.

use std::{collections::BTreeMap, fmt, time::Duration};

/// What one caller saw.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    /// Time from when the request was due to its first token.
    pub first: Duration,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// Time that the request waited for its adapter, as the host reports it.
    pub stall_ms: u64,
    /// 1 if the answer was whole.
    pub whole: u32,
    /// The error kind; empty if there was none.
    pub refusal: String,
    /// Time until a refusal.
    pub refused_after: Duration,
}

/// The sum of all samples.
pub struct Figures {
    first: Vec<Duration>,
    gaps: Vec<Duration>,
    stalls: Vec<Duration>,
    refused_after: Vec<Duration>,
    refusals: BTreeMap<String, usize>,
    whole: u32,
    total: usize,
}

impl Figures {
    /// Sums samples up.
    pub fn new(samples: &[Sample]) -> Self {
        let served = || samples.iter().filter(|it| it.whole == 1);
        let mut refusals = BTreeMap::new();
        for sample in samples.iter().filter(|it| !it.refusal.is_empty()) {
            *refusals.entry(sample.refusal.clone()).or_default() += 1;
        }
        let refused = samples.iter().filter(|it| !it.refused_after.is_zero());
        Self {
            first: sorted(served().map(|it| it.first)),
            gaps: sorted(served().flat_map(|it| it.gaps.iter().copied())),
            stalls: sorted(served().map(|it| Duration::from_millis(it.stall_ms))),
            refused_after: sorted(refused.map(|it| it.refused_after)),
            refusals,
            whole: samples.iter().map(|it| it.whole).sum(),
            total: samples.len(),
        }
    }
}

fn sorted(times: impl Iterator<Item = Duration>) -> Vec<Duration> {
    let mut times: Vec<Duration> = times.collect();
    times.sort_unstable();
    times
}

/// The value below which `part` of 1000 of the times lie.
fn quantile(times: &[Duration], part: usize) -> f64 {
    let index = (times.len() * part / 1000).min(times.len().saturating_sub(1));
    times.get(index).map_or(0.0, Duration::as_secs_f64) * 1000.0
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "whole answers: {} of {}", self.whole, self.total)?;
        writeln!(f, "refusals: {:?}", self.refusals)?;
        writeln!(f, "ms              p50      p95      p99      max")?;
        let rows = [
            ("first token", &self.first),
            ("load stall", &self.stalls),
            ("token gap", &self.gaps),
            ("refused after", &self.refused_after),
        ];
        for (name, times) in rows {
            write!(f, "{name:<13}")?;
            for part in [500, 950, 990, 1000] {
                write!(f, " {:>8.1}", quantile(times, part))?;
            }
            writeln!(f)?;
        }
        let stalled = self.stalls.iter().filter(|it| !it.is_zero()).count();
        let total: f64 = self.stalls.iter().map(Duration::as_secs_f64).sum();
        writeln!(f, "stalled: {stalled}; load stall in all: {total:.1} s")
    }
}
