//! How a measure returns to its steady state after an event.

use crate::{
    agenda::{Micros, SECOND},
    figures::{Figures, permille},
    scenario::{EVENT, LENGTH, WARM_UP},
};

/// The length of a window.
pub const WINDOW: Micros = 30 * SECOND;

/// How far above the steady state a window may lie, in thousandths.
const TOLERANCE: u64 = 1_100;

/// The course of the share of stalled requests.
#[derive(Clone, Debug)]
pub struct Course {
    /// Before the event, in thousandths of the admitted requests.
    pub steady: u64,
    /// In each window after the event, in thousandths.
    pub windows: Vec<u64>,
}

impl Course {
    /// The course of a run, or of several that were added up.
    pub fn new(figures: &Figures) -> Self {
        let starts = (EVENT..LENGTH).step_by(usize::try_from(WINDOW).unwrap_or(usize::MAX));
        Self {
            steady: stalled(figures, WARM_UP, EVENT),
            windows: starts.map(|it| stalled(figures, it, it + WINDOW)).collect(),
        }
    }

    /// The time from the event to the end of the first window within tolerance.
    pub fn recovered_after(&self) -> Option<Micros> {
        let limit = self.steady * TOLERANCE / 1_000;
        let first = self.windows.iter().position(|it| *it <= limit)?;
        Some((first as u64 + 1) * WINDOW)
    }
}

fn stalled(figures: &Figures, from: Micros, to: Micros) -> u64 {
    let stalls = figures.stalls.iter();
    let inside = stalls.filter(|(_, at)| (from..to).contains(at));
    let (mut all, mut waited) = (0, 0);
    for (stall, _) in inside {
        all += 1;
        waited += u64::from(*stall > 0);
    }
    permille(waited, all)
}
