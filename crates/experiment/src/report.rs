//! Formats measurements as Markdown tables.

use std::fmt::Write as _;

use crate::{
    event_queue::{Micros, SECOND},
    metrics::{Metrics, permille, quantile},
    recovery::{Recovery, WINDOW},
};

/// Maximum number of windows after an event that are printed.
const MAX_PRINTED_WINDOWS: usize = 12;

/// Text above the tables.
pub const PREAMBLE: &str = "\
# Placement experiments

Printed by `cargo run --release -p experiment --example experiment`; `docs/MEASUREMENTS.md` explains
the columns and the rows.
";

/// Header of a table of measurements.
pub const TABLE_HEADER: &str = "\
| policy | requests | stall p50 ms | p95 | p99 | max | stalled % | total stall s | first token p95 ms \
| batch % | useful % | in time % | refused | misses | retries | loads | evictions | over rate | peak loads/s | peak in flight |
| --- | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: |
";

/// Formats one row of a table.
pub fn format_row(policy: &str, metrics: &Metrics) -> String {
    let stalls = metrics.sorted_stalls();
    let first_token_times = metrics.sorted_first_token_times();
    let mut row = format!("| {policy} | {} ", metrics.requests);
    for permille in [500, 950, 990, 1000] {
        let _ = write!(row, "| {} ", to_millis(quantile(&stalls, permille)));
    }
    let _ = write!(row, "| {} ", format_percent(metrics.stalled_permille()));
    let _ = write!(row, "| {} ", metrics.total_stall() / 1_000_000);
    let _ = write!(row, "| {} ", to_millis(quantile(&first_token_times, 950)));
    let _ = write!(row, "| {} ", format_percent(metrics.batch_permille()));
    let _ = write!(row, "| {} ", format_percent(metrics.useful_permille()));
    let in_time = permille(metrics.in_time, metrics.requests);
    let _ = write!(
        row,
        "| {} | {} ",
        format_percent(in_time),
        metrics.total_refusals()
    );
    let counts = [
        metrics.deadline_misses,
        metrics.retries,
        metrics.loads,
        metrics.evictions,
        metrics.rate_limited_loads,
        metrics.peak_load_rate,
        metrics.peak_in_flight,
    ];
    for count in counts {
        let _ = write!(row, "| {count} ");
    }
    row.push_str("|\n");
    row
}

/// Formats the number of refusals by kind.
pub fn format_refusals(metrics: &Metrics) -> String {
    if metrics.refusals.is_empty() {
        return "none".to_owned();
    }
    let kinds = metrics.refusals.iter();
    let counts: Vec<_> = kinds
        .map(|(kind, count)| format!("{kind} {count}"))
        .collect();
    counts.join(", ")
}

/// Formats the share of stalled requests before and after an event.
pub fn format_recovery(recovery: &Recovery) -> String {
    let mut text = format!(
        "stalled before the event: {} %; after it, in windows of {} s:",
        format_percent(recovery.steady_permille),
        WINDOW / SECOND
    );
    for window in recovery.window_permilles.iter().take(MAX_PRINTED_WINDOWS) {
        let _ = write!(text, " {}", format_percent(*window));
    }
    let _ = match recovery.recovered_after() {
        Some(time) => writeln!(text, "; within 10 % of steady after {} s", time / SECOND),
        None => writeln!(text, "; not within 10 % of steady"),
    };
    text
}

fn to_millis(micros: Micros) -> u64 {
    micros.div_ceil(1_000)
}

fn format_percent(permille: u64) -> String {
    format!("{}.{}", permille / 10, permille % 10)
}
