//! A segment on its way to the platform, and what becomes of its records.

use super::{Shard, Step, Ticket, Verdict, call::Phase};
use crate::{
    record::{Attempt, Event, Moment, Record},
    segment::{Number, Segment},
};

/// A record that is to be written, with the call that waits for it.
#[derive(Clone, Debug)]
pub(super) struct Queued {
    pub(super) record: Record,
    pub(super) ticket: Option<Ticket>,
}

/// A segment that is being written.
#[derive(Clone, Debug)]
pub(super) struct Flight {
    pub(super) segment: Number,
    pub(super) writer: Attempt,
    pub(super) at: Moment,
    pub(super) queued: Vec<Queued>,
    pub(super) answer: Answer,
    /// Whether an attempt may have taken effect or may still do so.
    pub(super) doubtful: bool,
}

/// What is known of the place of a segment after an attempt to write it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Answer {
    /// It has to be read.
    Unseen,
    /// It was empty; the segment is to be written, with the same content.
    Absent,
}

impl Flight {
    pub(super) fn new(segment: Number, writer: Attempt, at: Moment, queued: Vec<Queued>) -> Self {
        Self {
            segment,
            writer,
            at,
            queued,
            answer: Answer::Absent,
            doubtful: false,
        }
    }

    /// The write; every attempt has the same content.
    pub(super) fn write(&self) -> Step {
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

    pub(super) fn carries(&self, ticket: Ticket) -> bool {
        self.queued.iter().any(|it| it.ticket == Some(ticket))
    }
}

impl Shard {
    /// The records of a flight are in the shard.
    pub(super) fn land(&mut self, flight: Flight, now: Moment) {
        for queued in flight.queued {
            match queued.ticket {
                Some(ticket) => self.land_start(ticket, &queued.record, now),
                None => self.land_ending(&queued.record),
            }
        }
    }

    fn land_start(&mut self, ticket: Ticket, record: &Record, now: Moment) {
        self.starting.remove(&record.key);
        let waiting = self.calls.get_mut(&ticket).filter(|it| !it.is_done());
        let Some(call) = waiting else {
            // The caller was told that the call is not made.
            self.end(record.key, &record.attempt, Event::Void);
            return;
        };
        if !self.index.holds(record.key, &record.attempt) {
            call.phase = Phase::Fresh;
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

    fn land_ending(&mut self, record: &Record) {
        if self.endings.get(&record.key) == Some(&record.event) {
            self.endings.remove(&record.key);
        }
    }

    /// The records of a flight are not in the shard and never will be under its number.
    pub(super) fn requeue(&mut self, flight: Flight) {
        for queued in flight.queued.into_iter().rev() {
            let Some(ticket) = queued.ticket else {
                self.queue.push_front(queued);
                continue;
            };
            // Starts are examined again: the key may be known by now.
            self.starting.remove(&queued.record.key);
            let waiting = self.calls.get_mut(&ticket).filter(|it| !it.is_done());
            if let Some(call) = waiting {
                call.phase = Phase::Fresh;
            }
        }
    }
}
