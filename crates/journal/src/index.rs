//! What a host knows of the keys of a shard.

use std::collections::{BTreeMap, HashMap, VecDeque};

use kernel::arena::{Arena, Key};

use crate::{
    record::{Attempt, Event, Moment, RETENTION, Record},
    scope::Digest,
    segment::Number,
};

/// One life of a host's process; many keys have the same.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Life {
    host: String,
    incarnation: u64,
}

/// An attempt to begin a call, in few bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct AttemptKey {
    /// The host's process.
    pub(crate) life: Key<Life>,
    /// The number of the attempt in it.
    pub(crate) number: u64,
}

/// What is known of a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Entry {
    /// The attempt that has the key.
    pub(crate) attempt: AttemptKey,
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
    lives: Arena<Life>,
    by_host: HashMap<String, BTreeMap<u64, Key<Life>>>,
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
        let until = run_by.max(at).saturating_add(RETENTION);
        let entry = Entry {
            attempt: self.attempt(&record.attempt),
            fingerprint,
            run_by,
            until,
            state: State::Started,
        };
        self.entries.insert(record.key, entry);
        self.begun.push_back((until, record.key));
    }

    fn end(&mut self, record: &Record, state: State) {
        let attempt = self.attempt(&record.attempt);
        let known = self.entries.get_mut(&record.key);
        if let Some(entry) = known.filter(|it| it.attempt == attempt) {
            entry.state = state;
        }
    }

    fn attempt(&mut self, start: &Attempt) -> AttemptKey {
        let life = self.find(&start.host, start.incarnation);
        AttemptKey {
            life: life.unwrap_or_else(|| self.add(start)),
            number: start.number,
        }
    }

    fn add(&mut self, start: &Attempt) -> Key<Life> {
        let life = self.lives.insert(Life {
            host: start.host.clone(),
            incarnation: start.incarnation,
        });
        let lives = self.by_host.entry(start.host.clone()).or_default();
        lives.insert(start.incarnation, life);
        life
    }

    /// The key of a host's process, if it has recorded anything.
    pub(crate) fn find(&self, host: &str, incarnation: u64) -> Option<Key<Life>> {
        self.by_host.get(host)?.get(&incarnation).copied()
    }

    /// What is known of a key; nothing if the key is free.
    pub(crate) fn get(&self, key: Digest, now: Moment) -> Option<&Entry> {
        let entry = self.entries.get(&key)?;
        let free = entry.state == State::Void || now >= entry.until;
        (!free).then_some(entry)
    }

    /// Whether an attempt has the key.
    pub(crate) fn holds(&self, key: Digest, start: &Attempt) -> bool {
        let entry = self.entries.get(&key);
        let life = self.find(&start.host, start.incarnation);
        entry.is_some_and(|it| Some(it.attempt.life) == life && it.attempt.number == start.number)
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
