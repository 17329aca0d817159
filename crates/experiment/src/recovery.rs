//! Recovery of the share of stalled requests after the event of a scenario.

use crate::{
    event_queue::{Micros, SECOND},
    metrics::{Metrics, permille},
    scenario::{DURATION, EVENT_AT, WARM_UP},
};

/// Length of a window.
pub const WINDOW: Micros = 30 * SECOND;

/// Maximum share in a recovered window relative to the share before the event, in thousandths.
const TOLERANCE_PERMILLE: u64 = 1_100;

/// Share of stalled requests before and after the event.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// Share before the event, in thousandths of the admitted requests.
    pub steady_permille: u64,
    /// Share in each window after the event, in thousandths of the admitted requests.
    pub window_permilles: Vec<u64>,
}

impl Recovery {
    /// Computes the shares of a run, or of several runs whose measurements were merged.
    pub fn new(metrics: &Metrics) -> Self {
        let starts = (EVENT_AT..DURATION).step_by(usize::try_from(WINDOW).unwrap_or(usize::MAX));
        Self {
            steady_permille: stalled_permille(metrics, WARM_UP, EVENT_AT),
            window_permilles: starts
                .map(|it| stalled_permille(metrics, it, it + WINDOW))
                .collect(),
        }
    }

    /// Returns the time from the event to the end of the first window within the tolerance.
    pub fn recovered_after(&self) -> Option<Micros> {
        let limit = self.steady_permille * TOLERANCE_PERMILLE / 1_000;
        let first = self.window_permilles.iter().position(|it| *it <= limit)?;
        Some((first as u64 + 1) * WINDOW)
    }
}

/// Returns the share of stalled requests among those that arrived in an interval, in thousandths.
fn stalled_permille(metrics: &Metrics, from: Micros, to: Micros) -> u64 {
    let stalls = metrics.stalls.iter();
    let in_interval = stalls.filter(|(_, at)| (from..to).contains(at));
    let (mut total, mut stalled) = (0, 0);
    for (stall, _) in in_interval {
        total += 1;
        stalled += u64::from(*stall > 0);
    }
    permille(stalled, total)
}
