//! Computation of a shard's floor, the lowest segment number that is still needed.

use std::{collections::VecDeque, time::Duration};

use crate::{record::Moment, segment::Number};

/// The minimum distance between the recorded floor and a new one.
pub const MIN_FLOOR_ADVANCE_SEGMENTS: u64 = 16;

/// The time for which a segment is retained after its last record expires. It covers the clock
/// skew between hosts.
const CLOCK_SKEW_MARGIN: Duration = Duration::from_hours(1);

/// The recorded floor and the expiration times of the segments.
#[derive(Clone, Debug, Default)]
pub(super) struct Floor {
    /// The floor that is recorded in the store.
    recorded: Number,
    /// The first segment that is still needed.
    first: Number,
    /// The times until which the segments from `first` on are needed.
    needed_until: VecDeque<Moment>,
}

impl Floor {
    /// Adds the next segment.
    pub(super) fn add_segment(&mut self, number: Number, needed_until: Moment) {
        if self.needed_until.is_empty() {
            self.first = number;
        }
        self.needed_until.push_back(needed_until);
    }

    /// Sets the floor that is recorded in the store.
    pub(super) fn set_recorded(&mut self, floor: Number) {
        self.recorded = self.recorded.max(floor);
    }

    /// Skips expired segments and returns the new floor if it exceeds the recorded one by at least
    /// [`MIN_FLOOR_ADVANCE_SEGMENTS`].
    pub(super) fn advance(&mut self, now: Moment) -> Option<Number> {
        while self
            .needed_until
            .front()
            .is_some_and(|it| it.saturating_add(CLOCK_SKEW_MARGIN) <= now)
        {
            self.needed_until.pop_front();
            self.first = self.first.next();
        }
        let is_due = self.first.0 >= self.recorded.0 + MIN_FLOOR_ADVANCE_SEGMENTS;
        is_due.then_some(self.first)
    }
}
