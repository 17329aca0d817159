//! What a run measures.

use std::fmt::Write;

use crate::event_queue::{MILLISECOND, Micros};

/// The figures of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metrics {
    /// Requests that came.
    pub asked: usize,
    /// Served with the first event and all pauses on time.
    pub in_time: usize,
    /// Served with a late first event.
    pub late_first: usize,
    /// Served with a pause that was too long.
    pub late_gap: usize,
    /// Refused or given up.
    pub unserved: usize,
    /// Times to the first event.
    pub first: Vec<Micros>,
    /// Adapters that were ordered from the weight store.
    pub loads: usize,
    /// Adapters that were asked for.
    pub unique: usize,
    /// Arrivals at an engine that didn't hold the adapter.
    pub missed: usize,
}

impl Metrics {
    /// Share of the requests that were served in time.
    pub fn share(&self) -> f64 {
        part(self.in_time, self.asked)
    }

    /// A quantile in thousandths of the time to the first event.
    pub fn first_at(&self, permille: usize) -> Micros {
        let mut first = self.first.clone();
        first.sort_unstable();
        let at = first.len().saturating_sub(1) * permille / 1000;
        first.get(at).copied().unwrap_or(0)
    }

    /// The head of a table of figures.
    pub fn head() -> String {
        "| shape | pattern | policy | in time % | late first % | late pause % | unserved % | first p50 ms | p95 ms | \
         loads | for adapters | missed |\n| --- | --- | --- | --: | --: | --: | --: | --: | --: | --: | --: | --: |"
            .to_owned()
    }

    /// A row of it.
    pub fn row(&self, shape: &str, pattern: &str, policy: &str) -> String {
        let mut row = format!("| {shape} | {pattern} | {policy} |");
        for it in [self.in_time, self.late_first, self.late_gap, self.unserved] {
            let _ = write!(row, " {:.1} |", part(it, self.asked) * 100.0);
        }
        let _ = write!(
            row,
            " {} | {} | {} | {} | {} |",
            self.first_at(500) / MILLISECOND,
            self.first_at(950) / MILLISECOND,
            self.loads,
            self.unique,
            self.missed
        );
        row
    }
}

fn part(it: usize, of: usize) -> f64 {
    let number = |it: usize| f64::from(u32::try_from(it).unwrap_or(u32::MAX));
    number(it) / number(of).max(1.0)
}
