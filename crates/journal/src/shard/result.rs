//! Handling of the results of I/O operations.

use super::{
    Coverage, Listing, MAX_VIEW_AGE, Shard, Verdict, call::Phase, pending_write::NumberState,
};
use crate::{
    record::{Event, Moment, RETENTION},
    segment::{Number, ReadError, Segment},
};

impl Shard {
    /// Handles the recorded floor of the shard after it was read.
    pub fn on_floor_read(&mut self, floor: Number) {
        self.floor.set_recorded(floor);
        self.next_segment = floor;
        self.coverage = Coverage::Partial;
    }

    /// Handles a list of segments in the order of their numbers.
    ///
    /// After a segment that can't be read, the state of all keys is uncertain, so the waiting calls
    /// are not made.
    pub fn on_listed(
        &mut self,
        items: &[(Number, Vec<u8>)],
        listing: Listing,
        now: Moment,
    ) -> Result<(), ReadError> {
        for (number, bytes) in items {
            if let Err(error) = self.apply_bytes(*number, bytes, now) {
                self.on_failed(&error.to_string());
                self.coverage = Coverage::Unknown;
                return Err(error);
            }
        }
        if listing == Listing::Complete {
            self.coverage = Coverage::Complete;
            self.mark_view_current();
            if let Some(write) = &mut self.pending_write {
                write.number_state = NumberState::Free;
            }
        }
        self.examine_waiting(now);
        Ok(())
    }

    fn apply_bytes(&mut self, number: Number, bytes: &[u8], now: Moment) -> Result<(), ReadError> {
        if number != self.next_segment {
            return Err(ReadError::Missing {
                expected: self.next_segment,
                found: number,
            });
        }
        let segment = Segment::from_bytes(number, bytes)?;
        let write = self.pending_write.take();
        self.apply_segment(number, &segment);
        match write {
            Some(write) if write.writer == segment.writer => self.complete_write(write, now),
            Some(write) => self.requeue(write),
            None => {}
        }
        Ok(())
    }

    fn apply_segment(&mut self, number: Number, segment: &Segment) {
        // Hosts that have not read this segment may still try to create an object with its number,
        // so the object has to exist for some time even if its records have expired.
        let mut needed_until = segment.at.saturating_add(RETENTION);
        for record in &segment.records {
            needed_until = needed_until.max(self.index.apply(number, record));
        }
        self.floor.add_segment(number, needed_until);
        self.next_segment = number.next();
    }

    /// Handles the success of a write.
    pub fn on_written(&mut self, now: Moment) {
        let Some(write) = self.pending_write.take() else {
            return;
        };
        if now >= self.io_started_at.saturating_add(MAX_VIEW_AGE) {
            self.requeue(write);
            self.on_failed("the host was paused during a write");
            self.reset();
            return;
        }
        self.apply_segment(write.segment, &write.content());
        self.complete_write(write, now);
        self.mark_view_current();
        self.examine_waiting(now);
    }

    /// Handles the failure of a write because the segment number is in use. The existing segment may
    /// also be this host's own, if the answer to an earlier attempt was lost.
    pub fn on_number_taken(&mut self) {
        if let Some(write) = &mut self.pending_write {
            write.number_state = NumberState::Unknown;
        }
    }

    /// Handles the loss of the answer to a write, which may have succeeded or may still succeed.
    pub fn on_write_lost(&mut self) {
        if let Some(write) = &mut self.pending_write {
            write.number_state = NumberState::Unknown;
            write.may_have_effect = true;
        }
    }

    /// Handles the failure of an I/O operation that had no effect. All waiting calls get a verdict.
    pub fn on_failed(&mut self, reason: &str) {
        // A write that may have succeeded stays pending until the shard has been read.
        let without_effect = self.pending_write.take_if(|it| !it.may_have_effect);
        if let Some(write) = without_effect {
            self.requeue(write);
        }
        if let Some(write) = &mut self.pending_write {
            write.number_state = NumberState::Unknown;
        }
        self.queue.retain(|it| it.ticket.is_none());
        let uncertain = self.pending_write.as_ref();
        self.pending_starts
            .retain(|_, ticket| uncertain.is_some_and(|it| it.contains(*ticket)));
        for call in self.calls.values_mut() {
            call.fail(reason);
        }
    }

    /// Handles a segment that was read again to get outcomes from it.
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
