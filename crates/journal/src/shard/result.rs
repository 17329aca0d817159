//! What the results of I/O mean for a shard and its calls.

use super::{Listing, MAX_VIEW_AGE, Shard, Tail, Verdict, call::Phase, flight::Answer};
use crate::{
    record::{Event, Moment, RETENTION},
    segment::{Number, ReadError, Segment},
};

impl Shard {
    /// Where the segments begin that are still needed.
    pub fn on_floor_read(&mut self, floor: Number) {
        self.floor.record(floor);
        self.next = floor;
        self.tail = Tail::Unread;
    }

    /// The segments that a list returned, in order. Behind one that can't be read nothing is
    /// certain, so that calls which wait are not made.
    pub fn on_listed(
        &mut self,
        items: &[(Number, Vec<u8>)],
        rest: Listing,
        now: Moment,
    ) -> Result<(), ReadError> {
        for (number, bytes) in items {
            if let Err(unreadable) = self.take_in(*number, bytes, now) {
                self.on_failed(&unreadable.to_string());
                self.tail = Tail::Unknown;
                return Err(unreadable);
            }
        }
        if rest == Listing::Complete {
            self.tail = Tail::Seen;
            self.refreshed();
            if let Some(flight) = &mut self.flight {
                flight.answer = Answer::Absent;
            }
        }
        self.settle(now);
        Ok(())
    }

    fn take_in(&mut self, number: Number, bytes: &[u8], now: Moment) -> Result<(), ReadError> {
        if number != self.next {
            return Err(ReadError::Missing {
                expected: self.next,
                found: number,
            });
        }
        let segment = Segment::from_bytes(number, bytes)?;
        let flight = self.flight.take();
        self.learn(number, &segment);
        match flight {
            Some(flight) if flight.writer == segment.writer => self.land(flight, now),
            Some(flight) => self.requeue(flight),
            None => {}
        }
        Ok(())
    }

    fn learn(&mut self, number: Number, segment: &Segment) {
        // Hosts whose view lacks this segment may still rely on its place being taken.
        let mut needed = segment.at.saturating_add(RETENTION);
        for record in &segment.records {
            needed = needed.max(self.index.take_in(number, record));
        }
        self.floor.push(number, needed);
        self.next = number.next();
    }

    /// The segment that was to be written is there.
    pub fn on_written(&mut self, now: Moment) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        if now >= self.issued_at.saturating_add(MAX_VIEW_AGE) {
            self.requeue(flight);
            self.on_failed("the host was paused during a write");
            self.reset();
            return;
        }
        self.learn(flight.segment, &flight.content());
        self.land(flight, now);
        self.refreshed();
        self.settle(now);
    }

    /// Another segment has the number of the one that was to be written; it may also be the own
    /// one, written by an attempt whose answer was lost.
    pub fn on_number_taken(&mut self) {
        if let Some(flight) = &mut self.flight {
            flight.answer = Answer::Unseen;
        }
    }

    /// The answer to a write was lost: it may have taken effect, or may still do so.
    pub fn on_write_lost(&mut self) {
        if let Some(flight) = &mut self.flight {
            flight.answer = Answer::Unseen;
            flight.doubtful = true;
        }
    }

    /// An I/O had no effect. Calls that wait for it get their verdicts at once.
    pub fn on_failed(&mut self, reason: &str) {
        // A segment that may have been written keeps its place until that is settled.
        let certain = self.flight.take_if(|it| !it.doubtful);
        if let Some(flight) = certain {
            self.requeue(flight);
        }
        if let Some(flight) = &mut self.flight {
            flight.answer = Answer::Unseen;
        }
        self.queue.retain(|it| it.ticket.is_none());
        let flying = self.flight.as_ref();
        self.starting
            .retain(|_, ticket| flying.is_some_and(|it| it.carries(*ticket)));
        for call in self.calls.values_mut() {
            call.fail(reason);
        }
    }

    /// A segment that was read again for an outcome in it.
    pub fn on_segment_read(&mut self, number: Number, bytes: Option<&[u8]>) {
        let segment = bytes.and_then(|it| Segment::from_bytes(number, it).ok());
        let records = segment.map(|it| it.records).unwrap_or_default();
        for call in self.calls.values_mut() {
            if call.phase != Phase::Fetch(number) {
                continue;
            }
            let found = records.iter().rev().find_map(|it| match &it.event {
                Event::Finished { outcome } if it.key == call.key => Some(outcome.clone()),
                _ => None,
            });
            let verdict = found.map_or(Verdict::OutcomeUnknown, Verdict::Repeat);
            call.phase = Phase::Done(verdict);
        }
    }
}
