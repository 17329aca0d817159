//! A segment that is being written, and the completion of its records.

use super::{Shard, Step, Ticket, Verdict, call::Phase};
use crate::{
    record::{Attempt, Event, Moment, Record},
    segment::{Number, Segment},
};

/// A record that is queued for writing.
#[derive(Clone, Debug)]
pub(super) struct Queued {
    pub(super) record: Record,
    /// The call that waits for the record, if it is a start record.
    pub(super) ticket: Option<Ticket>,
}

/// A segment that is being written.
#[derive(Clone, Debug)]
pub(super) struct PendingWrite {
    pub(super) segment: Number,
    pub(super) writer: Attempt,
    pub(super) at: Moment,
    pub(super) queued: Vec<Queued>,
    pub(super) number_state: NumberState,
    /// True if an earlier attempt to write the segment may have succeeded or may still succeed.
    pub(super) may_have_effect: bool,
}

/// The state of the number of a segment that is being written, as far as this host knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum NumberState {
    /// The shard has to be read to find out whether the number is in use.
    Unknown,
    /// The number was free when the shard was last read. The segment is written, with the same
    /// content in each attempt.
    Free,
}

impl PendingWrite {
    pub(super) fn new(segment: Number, writer: Attempt, at: Moment, queued: Vec<Queued>) -> Self {
        Self {
            segment,
            writer,
            at,
            queued,
            number_state: NumberState::Free,
            may_have_effect: false,
        }
    }

    /// Returns the I/O operation for the write. All attempts have the same content.
    pub(super) fn to_step(&self) -> Step {
        Step::Write {
            segment: self.segment,
            bytes: self.content().to_bytes(),
        }
    }

    pub(super) fn content(&self) -> Segment {
        Segment {
            writer: self.writer.clone(),
            at: self.at,
            records: self.queued.iter().map(|it| it.record.clone()).collect(),
        }
    }

    pub(super) fn contains(&self, ticket: Ticket) -> bool {
        self.queued.iter().any(|it| it.ticket == Some(ticket))
    }
}

impl Shard {
    /// Completes the calls whose records are now in the shard.
    pub(super) fn complete_write(&mut self, write: PendingWrite, now: Moment) {
        for queued in write.queued {
            match queued.ticket {
                Some(ticket) => self.complete_start(ticket, &queued.record, now),
                None => self.complete_end(&queued.record),
            }
        }
    }

    fn complete_start(&mut self, ticket: Ticket, record: &Record, now: Moment) {
        self.pending_starts.remove(&record.key);
        let waiting = self.calls.get_mut(&ticket).filter(|it| !it.is_done());
        let Some(call) = waiting else {
            // The caller has been told that the call is not made.
            self.end(record.key, &record.attempt, Event::Void);
            return;
        };
        if !self.index.is_held_by(record.key, &record.attempt) {
            call.phase = Phase::Unexamined;
            return;
        }
        if now >= call.run_by {
            call.expire();
            self.end(record.key, &record.attempt, Event::Void);
            return;
        }
        self.running.insert(record.attempt.number);
        call.phase = Phase::Done(Verdict::First(record.attempt.clone()));
    }

    fn complete_end(&mut self, record: &Record) {
        if self.pending_ends.get(&record.key) == Some(&record.event) {
            self.pending_ends.remove(&record.key);
        }
    }

    /// Returns the records of a write to the queue. They are not in the shard, and the write can't
    /// add them any more.
    pub(super) fn requeue(&mut self, write: PendingWrite) {
        for queued in write.queued.into_iter().rev() {
            let Some(ticket) = queued.ticket else {
                self.queue.push_front(queued);
                continue;
            };
            // Calls that wait for a start record are examined again because their keys may be in
            // use by now.
            self.pending_starts.remove(&queued.record.key);
            let waiting = self.calls.get_mut(&ticket).filter(|it| !it.is_done());
            if let Some(call) = waiting {
                call.phase = Phase::Unexamined;
            }
        }
    }
}
