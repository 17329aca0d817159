//! Tables of what was measured.

use std::fmt::Write as _;

use crate::{
    agenda::{Micros, SECOND},
    figures::{Figures, permille, quantile},
    recovery::{Course, WINDOW},
};

/// Windows after an event that are printed.
const SHOWN_WINDOWS: usize = 12;

/// What stands above the tables.
pub const PREAMBLE: &str = "\
# Placement experiments

Printed by `cargo run --release -p experiment --example experiment`; `docs/MEASUREMENTS.md` explains
the columns and the rows.
";

/// The heading of a table of figures.
pub const HEADING: &str = "\
| policy | requests | stall p50 ms | p95 | p99 | max | stalled % | total stall s | first token p95 ms \
| batch % | useful % | in time % | refused | misses | retries | loads | evictions | over rate | peak loads/s | peak in flight |
| --- | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: |
";

/// One row of a table.
pub fn row(policy: &str, figures: &Figures) -> String {
    let stalls = figures.sorted_stalls();
    let first = figures.sorted_first_tokens();
    let mut row = format!("| {policy} | {} ", figures.requests);
    for permille in [500, 950, 990, 1000] {
        let _ = write!(row, "| {} ", millis(quantile(&stalls, permille)));
    }
    let _ = write!(row, "| {} ", percent(figures.stalled_permille()));
    let _ = write!(row, "| {} ", figures.total_stall() / 1_000_000);
    let _ = write!(row, "| {} ", millis(quantile(&first, 950)));
    let _ = write!(row, "| {} ", percent(figures.batch_permille()));
    let _ = write!(row, "| {} ", percent(figures.useful_permille()));
    let in_time = permille(figures.in_time, figures.requests);
    let _ = write!(row, "| {} | {} ", percent(in_time), figures.refused());
    let counts = [
        figures.misses,
        figures.retries,
        figures.loads,
        figures.evictions,
        figures.over_rate,
        figures.peak_rate,
        figures.peak_in_flight,
    ];
    for count in counts {
        let _ = write!(row, "| {count} ");
    }
    row.push_str("|\n");
    row
}

/// The refusals of a run by kind.
pub fn refusals(figures: &Figures) -> String {
    if figures.refusals.is_empty() {
        return "none".to_owned();
    }
    let kinds = figures.refusals.iter();
    let words: Vec<_> = kinds
        .map(|(kind, count)| format!("{kind} {count}"))
        .collect();
    words.join(", ")
}

/// The course of the share of stalled requests after an event.
pub fn course(course: &Course) -> String {
    let mut text = format!(
        "stalled before the event: {} %; after it, in windows of {} s:",
        percent(course.steady),
        WINDOW / SECOND
    );
    for window in course.windows.iter().take(SHOWN_WINDOWS) {
        let _ = write!(text, " {}", percent(*window));
    }
    let _ = match course.recovered_after() {
        Some(time) => writeln!(text, "; within 10 % of steady after {} s", time / SECOND),
        None => writeln!(text, "; not within 10 % of steady"),
    };
    text
}

fn millis(micros: Micros) -> u64 {
    micros.div_ceil(1_000)
}

fn percent(permille: u64) -> String {
    format!("{}.{}", permille / 10, permille % 10)
}
