//! A call that waits for its verdict.

use super::{Queued, Reading, Shard, Ticket, Verdict};
use crate::{
    index::{Entry, State},
    record::{Event, Moment, Record},
    scope::Digest,
    segment::Number,
};

/// A call that was handed in.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) key: Digest,
    pub(super) fingerprint: Digest,
    pub(super) run_by: Moment,
    pub(super) phase: Phase,
    /// Whether the end of the shard was seen after the call came.
    pub(super) view: View,
}

/// How recent the knowledge is that a call is judged by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum View {
    /// From before the call came.
    Old,
    /// From after it came.
    Current,
}

/// What a call waits for.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Phase {
    /// To be examined, or for another call with its key.
    Fresh,
    /// For its start to be written.
    Queued,
    /// For the end of the shard to be read.
    Refresh,
    /// For an outcome to be read from a segment.
    Fetch(Number),
    /// For nothing.
    Done(Verdict),
}

impl Call {
    pub(super) fn new(key: Digest, fingerprint: Digest, run_by: Moment) -> Self {
        Self {
            key,
            fingerprint,
            run_by,
            phase: Phase::Fresh,
            view: View::Old,
        }
    }

    pub(super) fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done(_))
    }

    pub(super) fn fetches(&self) -> Option<Number> {
        match self.phase {
            Phase::Fetch(segment) => Some(segment),
            _ => None,
        }
    }

    /// Its time is over, and it was not made.
    pub(super) fn expire(&mut self) {
        let reason = "the deadline passed before the call was recorded".to_owned();
        self.phase = Phase::Done(Verdict::Unavailable(reason));
    }

    /// The verdict when the platform can't be reached.
    pub(super) fn fail(&mut self, reason: &str) {
        let verdict = match self.phase {
            Phase::Fresh | Phase::Queued => Verdict::Unavailable(reason.to_owned()),
            // The key is known to have been begun.
            Phase::Refresh | Phase::Fetch(_) => Verdict::OutcomeUnknown,
            Phase::Done(_) => return,
        };
        self.phase = Phase::Done(verdict);
    }
}

impl Shard {
    /// Notes that the end of the shard was seen by the I/O that just ended.
    pub(super) fn refreshed(&mut self) {
        self.seen_at = self.issued_at;
        self.reading = Reading::OnDemand;
        for (_, call) in self.calls.range_mut(..self.issued) {
            call.view = View::Current;
        }
    }

    /// Examines what waits, in the order in which it came.
    pub(super) fn settle(&mut self, now: Moment) {
        self.index.forget(now);
        self.withdraw_known(now);
        let waiting = |call: &Call| matches!(call.phase, Phase::Fresh | Phase::Refresh);
        let all = self.calls.iter().filter(|(_, call)| waiting(call));
        let tickets: Vec<Ticket> = all.map(|(ticket, _)| *ticket).collect();
        for ticket in tickets {
            self.examine(ticket, now);
        }
    }

    /// Takes starts out of the queue whose keys are known by now.
    fn withdraw_known(&mut self, now: Moment) {
        let index = &self.index;
        let known = |it: &Queued| it.ticket.is_some() && index.get(it.record.key, now).is_some();
        let (withdrawn, kept): (Vec<Queued>, Vec<Queued>) = self.queue.drain(..).partition(known);
        self.queue = kept.into();
        for queued in withdrawn {
            self.starting.remove(&queued.record.key);
            if let Some(call) = queued.ticket.and_then(|it| self.calls.get_mut(&it)) {
                call.phase = Phase::Fresh;
            }
        }
    }

    /// Finds out what a call has to wait for.
    pub(super) fn examine(&mut self, ticket: Ticket, now: Moment) {
        let Some(call) = self.calls.get(&ticket) else {
            return;
        };
        let phase = self.judge(call, now);
        if phase == Phase::Queued && now >= call.run_by {
            self.calls.entry(ticket).and_modify(Call::expire);
            return;
        }
        if phase == Phase::Queued {
            self.enqueue(ticket, now);
        }
        self.set(ticket, phase);
    }

    /// What a call has to wait for, by what is known of its key.
    fn judge(&self, call: &Call, now: Moment) -> Phase {
        let Some(entry) = self.index.get(call.key, now) else {
            if self.starting.contains_key(&call.key) {
                return Phase::Fresh;
            }
            return Phase::Queued;
        };
        if entry.fingerprint != call.fingerprint {
            return Phase::Done(Verdict::KeyReused);
        }
        match entry.state {
            State::Finished(segment) => Phase::Fetch(segment),
            State::Void => Phase::Fresh,
            State::Started if self.is_own(entry) => self.judge_own(call, entry.attempt.number),
            State::Started if call.view == View::Old => Phase::Refresh,
            State::Started if now < entry.run_by => Phase::Done(Verdict::Running),
            State::Started | State::Lost => Phase::Done(Verdict::OutcomeUnknown),
        }
    }

    fn is_own(&self, entry: &Entry) -> bool {
        let own = self.index.find(self.me.host.as_str(), self.me.incarnation);
        own == Some(entry.attempt.life)
    }

    fn judge_own(&self, call: &Call, number: u64) -> Phase {
        if self.running.contains(&number) {
            return Phase::Done(Verdict::Running);
        }
        match self.endings.get(&call.key) {
            Some(Event::Finished { outcome }) => Phase::Done(Verdict::Repeat(outcome.clone())),
            // The key is free once that is written.
            Some(Event::Void) => Phase::Fresh,
            Some(Event::Lost | Event::Started { .. }) | None => {
                Phase::Done(Verdict::OutcomeUnknown)
            }
        }
    }

    fn enqueue(&mut self, ticket: Ticket, now: Moment) {
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
        self.starting.insert(key, ticket);
        self.queue.push_back(Queued {
            record,
            ticket: Some(ticket),
        });
    }

    fn set(&mut self, ticket: Ticket, phase: Phase) {
        if let Some(call) = self.calls.get_mut(&ticket) {
            call.phase = phase;
        }
    }
}
