//! Selection of a shard's next I/O operation.

use super::{
    Coverage, MAX_VIEW_AGE, Preload, Shard, Step, Ticket,
    call::{Call, Phase},
    floor::Floor,
    pending_write::{NumberState, PendingWrite, Queued},
};
use crate::{
    index::Index,
    record::{Attempt, Moment},
    segment::{Number, Segment},
};

impl Shard {
    /// Returns the next I/O operation.
    pub fn next_step(&mut self, now: Moment) -> Step {
        if self.is_stale(now) {
            self.reset();
        }
        self.examine_waiting(now);
        self.first_newer_ticket = Ticket(self.next_ticket);
        self.io_started_at = now;
        if let Some(write) = &self.pending_write {
            return match write.number_state {
                NumberState::Unknown => Step::List {
                    from: self.next_segment,
                },
                NumberState::Free => write.to_step(),
            };
        }
        let has_waiting = !self.queue.is_empty() || !self.calls.values().all(Call::is_done);
        if !has_waiting && self.preload == Preload::NotRequested {
            return Step::Idle;
        }
        let needs_refresh = self.calls.values().any(|it| it.phase == Phase::Refresh);
        match self.coverage {
            Coverage::Unknown => Step::ReadFloor,
            Coverage::Partial => Step::List {
                from: self.next_segment,
            },
            Coverage::Complete if needs_refresh => Step::List {
                from: self.next_segment,
            },
            Coverage::Complete => self.step_at_end(now),
        }
    }

    /// Returns the next I/O operation after the end of the shard was reached.
    fn step_at_end(&mut self, now: Moment) -> Step {
        if let Some(segment) = self.calls.values().find_map(Call::segment_to_fetch) {
            return Step::Get { segment };
        }
        if self.queue.is_empty() {
            return Step::Idle;
        }
        self.start_write(now)
    }

    /// Returns whether the view of the shard's end is too old for a write. Segments that other hosts
    /// have appended since may already be deleted, so that their numbers would be free again.
    fn is_stale(&self, now: Moment) -> bool {
        self.coverage == Coverage::Complete && now >= self.end_seen_at.saturating_add(MAX_VIEW_AGE)
    }

    /// Discards the view of the shard, so that it is read again.
    pub(super) fn reset(&mut self) {
        if let Some(write) = self.pending_write.take() {
            self.requeue(write);
        }
        self.index = Index::default();
        self.floor = Floor::default();
        self.coverage = Coverage::Unknown;
    }

    /// Returns the floor to record in the store, if it has advanced far enough.
    pub fn next_floor(&mut self, now: Moment) -> Option<Number> {
        self.floor.advance(now)
    }

    /// Handles the floor that is recorded in the store after an update.
    pub fn on_floor_recorded(&mut self, floor: Number) {
        self.floor.set_recorded(floor);
    }

    /// Starts to write the queued records that fit into one segment.
    fn start_write(&mut self, now: Moment) -> Step {
        let count = Segment::count_fitting(self.queue.iter().map(|it| &it.record));
        let queued: Vec<Queued> = self.queue.drain(..count).collect();
        let writer = self.next_attempt();
        let write = PendingWrite::new(self.next_segment, writer, now, queued);
        let step = write.to_step();
        self.pending_write = Some(write);
        step
    }

    pub(super) fn next_attempt(&mut self) -> Attempt {
        self.last_attempt += 1;
        Attempt {
            host: self.holder.host.to_string(),
            incarnation: self.holder.incarnation,
            number: self.last_attempt,
        }
    }
}
