//! What the next I/O of a shard is.

use super::{
    MAX_VIEW_AGE, Reading, Shard, Step, Tail, Ticket,
    call::{Call, Phase},
    flight::{Answer, Flight, Queued},
    floor::Floor,
};
use crate::{
    index::Index,
    record::{Attempt, Moment},
    segment::{Number, Segment},
};

impl Shard {
    /// The next I/O.
    pub fn next_step(&mut self, now: Moment) -> Step {
        if self.is_stale(now) {
            self.reset();
        }
        self.settle(now);
        self.issued = Ticket(self.tickets);
        self.issued_at = now;
        if let Some(flight) = &self.flight {
            return match flight.answer {
                Answer::Unseen => Step::List { from: self.next },
                Answer::Absent => flight.write(),
            };
        }
        let waits = !self.queue.is_empty() || !self.calls.values().all(Call::is_done);
        if !waits && self.reading == Reading::OnDemand {
            return Step::Idle;
        }
        let refresh = self.calls.values().any(|it| it.phase == Phase::Refresh);
        match self.tail {
            Tail::Unknown => Step::ReadFloor,
            Tail::Unread => Step::List { from: self.next },
            Tail::Seen if refresh => Step::List { from: self.next },
            Tail::Seen => self.step_at_tail(now),
        }
    }

    fn step_at_tail(&mut self, now: Moment) -> Step {
        if let Some(segment) = self.calls.values().find_map(Call::fetches) {
            return Step::Get { segment };
        }
        if self.queue.is_empty() {
            return Step::Idle;
        }
        self.launch(now)
    }

    /// Whether too much time has passed since the end of the shard was seen. Segments that came
    /// since may have been deleted again, and their numbers would be free.
    fn is_stale(&self, now: Moment) -> bool {
        self.tail == Tail::Seen && now >= self.seen_at.saturating_add(MAX_VIEW_AGE)
    }

    /// Forgets what is known of the shard, so that it is read again.
    pub(super) fn reset(&mut self) {
        if let Some(flight) = self.flight.take() {
            self.requeue(flight);
        }
        self.index = Index::default();
        self.floor = Floor::default();
        self.tail = Tail::Unknown;
    }

    /// The first segment that is still needed, if it is worth to be recorded in the platform.
    pub fn next_floor(&mut self, now: Moment) -> Option<Number> {
        self.floor.advanced(now)
    }

    /// A floor that is recorded in the platform.
    pub fn on_floor_recorded(&mut self, floor: Number) {
        self.floor.record(floor);
    }

    fn launch(&mut self, now: Moment) -> Step {
        let count = Segment::fitting(self.queue.iter().map(|it| &it.record));
        let queued: Vec<Queued> = self.queue.drain(..count).collect();
        let writer = self.next_attempt();
        let flight = Flight::new(self.next, writer, now, queued);
        let step = flight.write();
        self.flight = Some(flight);
        step
    }

    pub(super) fn next_attempt(&mut self) -> Attempt {
        self.numbers += 1;
        Attempt {
            host: self.me.host.to_string(),
            incarnation: self.me.incarnation,
            number: self.numbers,
        }
    }
}
