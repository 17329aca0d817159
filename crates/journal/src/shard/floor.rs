//! The first segment of a shard that is still needed.

use std::{collections::VecDeque, time::Duration};

use crate::{record::Moment, segment::Number};

/// Segments that have to be over before a new floor is recorded.
pub const FLOOR_SEGMENTS: u64 = 16;

/// How much longer than its records a segment is kept, for the difference of hosts' clocks.
const MARGIN: Duration = Duration::from_hours(1);

/// What is known of the ages of segments.
#[derive(Clone, Debug, Default)]
pub(super) struct Floor {
    recorded: Number,
    first: Number,
    /// Segments from `first` on with the time until which they are needed.
    needed: VecDeque<Moment>,
}

impl Floor {
    /// Takes note of the next segment.
    pub(super) fn push(&mut self, number: Number, until: Moment) {
        if self.needed.is_empty() {
            self.first = number;
        }
        self.needed.push_back(until);
    }

    /// Takes note of a floor that the platform has.
    pub(super) fn record(&mut self, floor: Number) {
        self.recorded = self.recorded.max(floor);
    }

    /// The first segment that is still needed, if it is well above the one that is recorded.
    pub(super) fn advanced(&mut self, now: Moment) -> Option<Number> {
        while self
            .needed
            .front()
            .is_some_and(|it| it.saturating_add(MARGIN) <= now)
        {
            self.needed.pop_front();
            self.first = self.first.next();
        }
        let far = self.first.0 >= self.recorded.0 + FLOOR_SEGMENTS;
        far.then_some(self.first)
    }
}
