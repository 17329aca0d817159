//! An in-memory index of a shard's keys.

use std::collections::{BTreeMap, HashMap, VecDeque};

use kernel::arena::{Arena, Key};

use crate::{
    record::{Attempt, Event, Moment, RETENTION, Record},
    scope::Digest,
    segment::Number,
};

/// An incarnation of a host's process. Many keys refer to the same one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Incarnation {
    host: String,
    number: u64,
}

/// A compact form of [`Attempt`], which refers to a shared [`Incarnation`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct AttemptKey {
    /// The incarnation of the host's process.
    pub(crate) incarnation: Key<Incarnation>,
    /// The number of the attempt in the incarnation.
    pub(crate) number: u64,
}

/// The state of a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Entry {
    /// The attempt that holds the key.
    pub(crate) attempt: AttemptKey,
    /// A digest of the request. It has to be equal whenever the key is used again.
    pub(crate) fingerprint: Digest,
    /// The time by which the call has ended.
    pub(crate) run_by: Moment,
    /// The time at which the key expires.
    pub(crate) expires_at: Moment,
    /// The state of the call.
    pub(crate) state: State,
}

/// The state of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum State {
    /// The call may be running.
    Started,
    /// The call was answered. The segment contains the answer.
    Finished(Number),
    /// The outcome of the call is unknown.
    Lost,
    /// The call was not sent, and the key is free.
    Void,
}

/// The keys of a shard and their states.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    incarnations: Arena<Incarnation>,
    /// The incarnations by host and incarnation number.
    by_host: HashMap<String, BTreeMap<u64, Key<Incarnation>>>,
    entries: HashMap<Digest, Entry>,
    /// Expiration times and keys in the order in which the calls started, so that expired keys are
    /// found without a search.
    expirations: VecDeque<(Moment, Digest)>,
}

impl Index {
    /// Applies a record of a segment and returns the time until which the record is needed.
    ///
    /// All hosts apply the same records in the same order, and the result depends only on the
    /// records, so that all hosts agree on the state of a key.
    pub(crate) fn apply(&mut self, segment: Number, record: &Record) -> Moment {
        match &record.event {
            Event::Started {
                fingerprint,
                at,
                run_by,
            } => self.apply_start(record, *fingerprint, *at, *run_by),
            Event::Finished { .. } => self.apply_end(record, State::Finished(segment)),
            Event::Lost => self.apply_end(record, State::Lost),
            Event::Void => self.apply_end(record, State::Void),
        }
        let entry = self.entries.get(&record.key);
        entry.map_or(Moment(0), |it| it.expires_at)
    }

    fn apply_start(&mut self, record: &Record, fingerprint: Digest, at: Moment, run_by: Moment) {
        let entry = self.entries.get(&record.key);
        if entry.is_some_and(|it| it.state != State::Void && at < it.expires_at) {
            return;
        }
        let expires_at = run_by.max(at).saturating_add(RETENTION);
        let entry = Entry {
            attempt: self.attempt_key(&record.attempt),
            fingerprint,
            run_by,
            expires_at,
            state: State::Started,
        };
        self.entries.insert(record.key, entry);
        self.expirations.push_back((expires_at, record.key));
    }

    fn apply_end(&mut self, record: &Record, state: State) {
        let attempt = self.attempt_key(&record.attempt);
        let entry = self.entries.get_mut(&record.key);
        if let Some(entry) = entry.filter(|it| it.attempt == attempt) {
            entry.state = state;
        }
    }

    fn attempt_key(&mut self, attempt: &Attempt) -> AttemptKey {
        let incarnation = self.find_incarnation(&attempt.host, attempt.incarnation);
        AttemptKey {
            incarnation: incarnation.unwrap_or_else(|| self.add_incarnation(attempt)),
            number: attempt.number,
        }
    }

    fn add_incarnation(&mut self, attempt: &Attempt) -> Key<Incarnation> {
        let incarnation = self.incarnations.insert(Incarnation {
            host: attempt.host.clone(),
            number: attempt.incarnation,
        });
        let by_number = self.by_host.entry(attempt.host.clone()).or_default();
        by_number.insert(attempt.incarnation, incarnation);
        incarnation
    }

    /// Returns the arena key of a host's incarnation if any of its records were applied.
    pub(crate) fn find_incarnation(
        &self,
        host: &str,
        incarnation: u64,
    ) -> Option<Key<Incarnation>> {
        self.by_host.get(host)?.get(&incarnation).copied()
    }

    /// Returns the entry of a key, or `None` if the key is free.
    pub(crate) fn get(&self, key: Digest, now: Moment) -> Option<&Entry> {
        let entry = self.entries.get(&key)?;
        let is_free = entry.state == State::Void || now >= entry.expires_at;
        (!is_free).then_some(entry)
    }

    /// Returns whether the attempt holds the key.
    pub(crate) fn is_held_by(&self, key: Digest, attempt: &Attempt) -> bool {
        let entry = self.entries.get(&key);
        let incarnation = self.find_incarnation(&attempt.host, attempt.incarnation);
        entry.is_some_and(|it| {
            Some(it.attempt.incarnation) == incarnation && it.attempt.number == attempt.number
        })
    }

    /// Removes expired keys.
    pub(crate) fn remove_expired(&mut self, now: Moment) {
        while let Some((expires_at, key)) = self.expirations.front().copied() {
            if expires_at > now {
                return;
            }
            self.expirations.pop_front();
            // A newer call with the same key may have extended the expiration time.
            if self
                .entries
                .get(&key)
                .is_some_and(|it| it.expires_at <= now)
            {
                self.entries.remove(&key);
            }
        }
    }

    /// Returns the number of keys.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }
}
