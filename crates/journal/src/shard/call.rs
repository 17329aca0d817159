//! Calls that wait for their verdicts, and the rules for these verdicts.

use super::{Preload, Queued, Shard, Ticket, Verdict};
use crate::{
    index::{Entry, State},
    record::{Event, Moment, Record},
    scope::Digest,
    segment::Number,
};

/// A submitted call.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) key: Digest,
    pub(super) fingerprint: Digest,
    pub(super) run_by: Moment,
    pub(super) phase: Phase,
    /// The age of the host's view of the shard relative to the call.
    pub(super) view: View,
}

/// The age of the host's view of the shard relative to a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum View {
    /// The end of the shard was last read before the call was submitted.
    Stale,
    /// The end of the shard was read after the call was submitted.
    Current,
}

/// The event that a call waits for.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Phase {
    /// The call waits to be examined or for another call with the same key.
    Unexamined,
    /// The call waits for its start record to be written.
    Queued,
    /// The call waits for the end of the shard to be read.
    Refresh,
    /// The call waits for its outcome to be read from a segment.
    Fetch(Number),
    /// The call has a verdict.
    Done(Verdict),
}

impl Call {
    pub(super) fn new(key: Digest, fingerprint: Digest, run_by: Moment) -> Self {
        Self {
            key,
            fingerprint,
            run_by,
            phase: Phase::Unexamined,
            view: View::Stale,
        }
    }

    pub(super) fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done(_))
    }

    pub(super) fn segment_to_fetch(&self) -> Option<Number> {
        match self.phase {
            Phase::Fetch(segment) => Some(segment),
            _ => None,
        }
    }

    /// Refuses the call because its deadline passed before its start was recorded.
    pub(super) fn expire(&mut self) {
        let reason = "the deadline passed before the call was recorded".to_owned();
        self.phase = Phase::Done(Verdict::Unavailable(reason));
    }

    /// Sets the verdict after a failure to reach the platform's store.
    pub(super) fn fail(&mut self, reason: &str) {
        let verdict = match self.phase {
            Phase::Unexamined | Phase::Queued => Verdict::Unavailable(reason.to_owned()),
            // The key is in use, so an earlier call may have taken effect.
            Phase::Refresh | Phase::Fetch(_) => Verdict::OutcomeUnknown,
            Phase::Done(_) => return,
        };
        self.phase = Phase::Done(verdict);
    }
}

impl Shard {
    /// Marks the view of all calls that were submitted before the current I/O operation as current.
    /// That operation reached the end of the shard.
    pub(super) fn mark_view_current(&mut self) {
        self.end_seen_at = self.io_started_at;
        self.preload = Preload::NotRequested;
        for (_, call) in self.calls.range_mut(..self.first_newer_ticket) {
            call.view = View::Current;
        }
    }

    /// Examines the waiting calls in the order of their submission.
    pub(super) fn examine_waiting(&mut self, now: Moment) {
        self.index.remove_expired(now);
        self.withdraw_known(now);
        let is_waiting = |call: &Call| matches!(call.phase, Phase::Unexamined | Phase::Refresh);
        let all = self.calls.iter().filter(|(_, call)| is_waiting(call));
        let tickets: Vec<Ticket> = all.map(|(ticket, _)| *ticket).collect();
        for ticket in tickets {
            self.examine(ticket, now);
        }
    }

    /// Removes the start records of keys that are in use by now from the queue.
    fn withdraw_known(&mut self, now: Moment) {
        let index = &self.index;
        let is_known = |it: &Queued| it.ticket.is_some() && index.get(it.record.key, now).is_some();
        let (withdrawn, kept): (Vec<Queued>, Vec<Queued>) =
            self.queue.drain(..).partition(is_known);
        self.queue = kept.into();
        for queued in withdrawn {
            self.pending_starts.remove(&queued.record.key);
            if let Some(call) = queued.ticket.and_then(|it| self.calls.get_mut(&it)) {
                call.phase = Phase::Unexamined;
            }
        }
    }

    /// Updates the phase of a call and queues its start record if the key is free.
    pub(super) fn examine(&mut self, ticket: Ticket, now: Moment) {
        let Some(call) = self.calls.get(&ticket) else {
            return;
        };
        let phase = self.phase_of(call, now);
        if phase == Phase::Queued && now >= call.run_by {
            self.calls.entry(ticket).and_modify(Call::expire);
            return;
        }
        if phase == Phase::Queued {
            self.enqueue_start(ticket, now);
        }
        self.set_phase(ticket, phase);
    }

    /// Returns the phase of a call according to the state of its key.
    fn phase_of(&self, call: &Call, now: Moment) -> Phase {
        let Some(entry) = self.index.get(call.key, now) else {
            if self.pending_starts.contains_key(&call.key) {
                return Phase::Unexamined;
            }
            return Phase::Queued;
        };
        if entry.fingerprint != call.fingerprint {
            return Phase::Done(Verdict::KeyReused);
        }
        match entry.state {
            State::Finished(segment) => Phase::Fetch(segment),
            State::Void => Phase::Unexamined,
            State::Started if self.is_own(entry) => self.phase_of_own(call, entry.attempt.number),
            State::Started if call.view == View::Stale => Phase::Refresh,
            State::Started if now < entry.run_by => Phase::Done(Verdict::Running),
            State::Started | State::Lost => Phase::Done(Verdict::OutcomeUnknown),
        }
    }

    /// Returns whether this incarnation of the host holds the key.
    fn is_own(&self, entry: &Entry) -> bool {
        let own = self
            .index
            .find_incarnation(self.holder.host.as_str(), self.holder.incarnation);
        own == Some(entry.attempt.incarnation)
    }

    /// Returns the phase of a call whose key is held by an attempt of this incarnation.
    fn phase_of_own(&self, call: &Call, number: u64) -> Phase {
        if self.running.contains(&number) {
            return Phase::Done(Verdict::Running);
        }
        match self.pending_ends.get(&call.key) {
            Some(Event::Finished { outcome }) => Phase::Done(Verdict::Repeat(outcome.clone())),
            // The key is free after the end is written.
            Some(Event::Void) => Phase::Unexamined,
            Some(Event::Lost | Event::Started { .. }) | None => {
                Phase::Done(Verdict::OutcomeUnknown)
            }
        }
    }

    fn enqueue_start(&mut self, ticket: Ticket, now: Moment) {
        let attempt = self.next_attempt();
        let Some(call) = self.calls.get(&ticket) else {
            return;
        };
        let event = Event::Started {
            fingerprint: call.fingerprint,
            at: now,
            run_by: call.run_by,
        };
        let key = call.key;
        let record = Record {
            key,
            attempt,
            event,
        };
        self.pending_starts.insert(key, ticket);
        self.queue.push_back(Queued {
            record,
            ticket: Some(ticket),
        });
    }

    fn set_phase(&mut self, ticket: Ticket, phase: Phase) {
        if let Some(call) = self.calls.get_mut(&ticket) {
            call.phase = phase;
        }
    }
}
