//! What a host knows of the keys of a shard.

use std::collections::{HashMap, VecDeque};

use crate::{
    record::{Event, KEEP, Moment, Record, Start},
    scope::Digest,
    segment::Number,
};

/// What is known of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Entry {
    /// The attempt that has the key.
    pub(crate) start: Start,
    /// What must be the same when the key is used again.
    pub(crate) fingerprint: Digest,
    /// The call has ended by then.
    pub(crate) run_by: Moment,
    /// The key is forgotten then.
    pub(crate) until: Moment,
    /// How far the call is.
    pub(crate) state: State,
}

/// How far a call is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum State {
    /// It may be running.
    Started,
    /// It was answered; the segment has the answer.
    Finished(Number),
    /// Its outcome is unknown.
    Lost,
    /// It was not sent; the key is free.
    Void,
}

/// Keys with what is known of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    entries: HashMap<Digest, Entry>,
    /// Keys in the order in which they began, so that old ones are found without a search.
    begun: VecDeque<(Moment, Digest)>,
}

impl Index {
    /// Takes in a record of a segment. Hosts take in the same records in the same order, and the
    /// rules use only what the records say, so that all hosts agree. Returns when the record is no
    /// longer needed.
    pub(crate) fn take_in(&mut self, segment: Number, record: &Record) -> Moment {
        match &record.event {
            Event::Started {
                fingerprint,
                at,
                run_by,
            } => self.begin(record, *fingerprint, *at, *run_by),
            Event::Finished { .. } => self.end(record, State::Finished(segment)),
            Event::Lost => self.end(record, State::Lost),
            Event::Void => self.end(record, State::Void),
        }
        let entry = self.entries.get(&record.key);
        entry.map_or(Moment(0), |it| it.until)
    }

    fn begin(&mut self, record: &Record, fingerprint: Digest, at: Moment, run_by: Moment) {
        let known = self.entries.get(&record.key);
        if known.is_some_and(|it| it.state != State::Void && at < it.until) {
            return;
        }
        let until = run_by.max(at).after(KEEP);
        let entry = Entry {
            start: record.start.clone(),
            fingerprint,
            run_by,
            until,
            state: State::Started,
        };
        self.entries.insert(record.key, entry);
        self.begun.push_back((until, record.key));
    }

    fn end(&mut self, record: &Record, state: State) {
        let known = self.entries.get_mut(&record.key);
        if let Some(entry) = known.filter(|it| it.start == record.start) {
            entry.state = state;
        }
    }

    /// What is known of a key; nothing if the key is free.
    pub(crate) fn get(&self, key: Digest, now: Moment) -> Option<&Entry> {
        let entry = self.entries.get(&key)?;
        let free = entry.state == State::Void || now >= entry.until;
        (!free).then_some(entry)
    }

    /// Whether an attempt has the key.
    pub(crate) fn holds(&self, key: Digest, start: &Start) -> bool {
        self.entries.get(&key).is_some_and(|it| it.start == *start)
    }

    /// Drops keys whose time is over.
    pub(crate) fn forget(&mut self, now: Moment) {
        while let Some((until, key)) = self.begun.front().copied() {
            if until > now {
                return;
            }
            self.begun.pop_front();
            // The key may have begun again since.
            if self.entries.get(&key).is_some_and(|it| it.until <= now) {
                self.entries.remove(&key);
            }
        }
    }

    /// How many keys are known.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }
}
