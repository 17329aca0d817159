//! Measurements of a run.

use std::fmt::Write;

use crate::event_queue::{MILLISECOND, Micros};

/// The measurements of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metrics {
    /// Number of requests.
    pub requests: usize,
    /// Requests served with the first event and all pauses on time.
    pub in_time: usize,
    /// Requests served with a late first event.
    pub late_first_events: usize,
    /// Requests served with a first event on time and a pause that was too long.
    pub late_pauses: usize,
    /// Requests that were refused, also because their caller had given up.
    pub unserved: usize,
    /// Time to the first event of each request that had one.
    pub first_event_times: Vec<Micros>,
    /// Loads that were ordered from the weight store.
    pub loads: usize,
    /// Loads that an engine served from its memory.
    pub reloads: usize,
    /// Number of different adapters that were requested.
    pub unique_adapters: usize,
    /// Requests that arrived at an engine that did not hold the adapter.
    pub adapter_misses: usize,
}

impl Metrics {
    /// Share of the requests that were served on time.
    pub fn in_time_share(&self) -> f64 {
        fraction(self.in_time, self.requests)
    }

    /// Returns a quantile of the time to the first event, given in thousandths.
    pub fn first_event_quantile(&self, permille: usize) -> Micros {
        let mut times = self.first_event_times.clone();
        times.sort_unstable();
        let index = times.len().saturating_sub(1) * permille / 1000;
        times.get(index).copied().unwrap_or(0)
    }

    /// Returns the header of a table of measurements.
    pub fn table_header() -> String {
        "| shape | pattern | policy | in time % | late first % | late pause % | unserved % | first p50 ms | p95 ms | \
         loads | from memory | for adapters | missed |\n| --- | --- | --- | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: |"
            .to_owned()
    }

    /// Formats a row of the table.
    pub fn format_row(&self, installation: &str, pattern: &str, policy: &str) -> String {
        let mut row = format!("| {installation} | {pattern} | {policy} |");
        for it in [
            self.in_time,
            self.late_first_events,
            self.late_pauses,
            self.unserved,
        ] {
            let _ = write!(row, " {:.1} |", fraction(it, self.requests) * 100.0);
        }
        let _ = write!(
            row,
            " {} | {} | {} | {} | {} | {} |",
            self.first_event_quantile(500) / MILLISECOND,
            self.first_event_quantile(950) / MILLISECOND,
            self.loads,
            self.reloads,
            self.unique_adapters,
            self.adapter_misses
        );
        row
    }
}

fn fraction(count: usize, total: usize) -> f64 {
    let to_f64 = |it: usize| f64::from(u32::try_from(it).unwrap_or(u32::MAX));
    to_f64(count) / to_f64(total).max(1.0)
}
