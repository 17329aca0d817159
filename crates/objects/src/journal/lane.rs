//! One shard of the journal, and the I/O for it.

mod floor;

use std::{
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use journal::{
    Shard,
    record::{Attempt, Event, Moment},
    scope::Digest,
    segment::Number,
    shard::{Listing, Step, Verdict},
};

use super::{Durability, Host};
use crate::object::{Continuation, Failure, Page, Reason};

/// Segments read by one list call.
const PAGE_SEGMENTS: usize = 64;

/// The longest time that a thread sleeps before it looks at the clock again.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// Who carries out the shard's I/O.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Driver {
    /// Nobody.
    None,
    /// One thread, outside the lock.
    Busy,
}

struct Inner {
    shard: Shard,
    driver: Driver,
    /// How many I/O failed, so that those who wait see that one did.
    failures: u64,
}

/// One shard. Threads that wait for it take turns in driving it.
pub(super) struct Lane {
    number: u16,
    host: Arc<Host>,
    inner: Mutex<Inner>,
    changed: Condvar,
}

/// The result of an I/O that the store carried out.
enum Answer {
    Found(Number),
    Listed(Page),
    Got(Number, Option<Vec<u8>>),
    Written,
    Taken,
    Lost,
    Failed(Failure),
}

/// How driving a shard ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Outcome {
    /// It has nothing left to do.
    Done,
    /// An I/O failed.
    Failed,
}

/// Whether a turn brought the shard on.
enum Turn {
    /// Something happened.
    Done,
    /// There was nothing to do.
    Idle,
}

impl Lane {
    pub(super) fn new(number: u16, host: Arc<Host>) -> Self {
        let inner = Inner {
            shard: Shard::new(host.me.clone()),
            driver: Driver::None,
            failures: 0,
        };
        Self {
            number,
            host,
            inner: Mutex::new(inner),
            changed: Condvar::new(),
        }
    }

    pub(super) fn begin(
        &self,
        key: Digest,
        fingerprint: Digest,
        run_by: Moment,
        deadline: Instant,
    ) -> Verdict {
        let mut inner = self.lock();
        let ticket = inner.shard.begin(key, fingerprint, run_by, self.now());
        loop {
            if let Some(verdict) = inner.shard.take_verdict(ticket) {
                return verdict;
            }
            if self.host.clock.now() >= deadline {
                inner.shard.abandon(ticket);
                self.changed.notify_all();
                return Verdict::Unavailable(
                    "the deadline passed before an answer came".to_owned(),
                );
            }
            inner = self.drive_or_wait(inner, deadline);
        }
    }

    pub(super) fn end(
        &self,
        key: Digest,
        start: &Attempt,
        event: Event,
        deadline: Instant,
    ) -> Durability {
        let mut inner = self.lock();
        let failures = inner.failures;
        inner.shard.end(key, start, event);
        self.changed.notify_all();
        while inner.shard.has_pending_end(key) {
            if inner.failures != failures || self.host.clock.now() >= deadline {
                return Durability::Pending;
            }
            inner = self.drive_or_wait(inner, deadline);
        }
        Durability::Recorded
    }

    pub(super) fn flush(&self) -> Durability {
        match self.drive_while(self.lock(), Shard::has_pending_writes) {
            Outcome::Done => Durability::Recorded,
            Outcome::Failed => Durability::Pending,
        }
    }

    pub(super) fn warm(&self) -> Outcome {
        let mut inner = self.lock();
        inner.shard.request_preload();
        self.drive_while(inner, Shard::needs_preload)
    }

    /// Carries out I/O while the shard wants it, until one fails.
    fn drive_while<'a>(
        &'a self,
        mut inner: MutexGuard<'a, Inner>,
        wants: fn(&Shard) -> bool,
    ) -> Outcome {
        let failures = inner.failures;
        while wants(&inner.shard) {
            if inner.failures != failures {
                return Outcome::Failed;
            }
            inner = self.drive_or_wait(inner, self.host.clock.now() + MAX_SLEEP);
        }
        Outcome::Done
    }

    pub(super) fn keys(&self) -> usize {
        self.lock().shard.key_count()
    }

    fn drive_or_wait<'a>(
        &'a self,
        mut inner: MutexGuard<'a, Inner>,
        deadline: Instant,
    ) -> MutexGuard<'a, Inner> {
        if inner.driver == Driver::None {
            let (driven, turn) = self.drive(inner);
            inner = driven;
            if matches!(turn, Turn::Done) {
                return inner;
            }
        }
        let left = deadline.saturating_duration_since(self.host.clock.now());
        let waited = self.changed.wait_timeout(inner, left.min(MAX_SLEEP));
        waited.expect("journal lock is poisoned").0
    }

    /// Carries out one I/O, with the lock released meanwhile.
    fn drive<'a>(&'a self, mut inner: MutexGuard<'a, Inner>) -> (MutexGuard<'a, Inner>, Turn) {
        let step = inner.shard.next_step(self.now());
        if step == Step::Idle {
            return (inner, Turn::Idle);
        }
        inner.driver = Driver::Busy;
        drop(inner);
        let answer = self.perform(step);
        let mut inner = self.lock();
        inner.driver = Driver::None;
        self.apply(&mut inner, answer);
        self.changed.notify_all();
        (inner, Turn::Done)
    }

    fn perform(&self, step: Step) -> Answer {
        let result = match step {
            Step::Idle => return Answer::Taken,
            Step::ReadFloor => self.read_floor().map(|it| Answer::Found(it.segment)),
            Step::List { from } => self.list(from).map(Answer::Listed),
            Step::Get { segment } => {
                let object = self.host.store.get(Reason::Journal, &self.key(segment));
                object.map(|it| Answer::Got(segment, it.map(|it| it.value)))
            }
            Step::Write { segment, bytes } => return self.write(segment, &bytes),
        };
        result.unwrap_or_else(Answer::Failed)
    }

    fn write(&self, segment: Number, bytes: &[u8]) -> Answer {
        match self
            .host
            .store
            .create(Reason::Journal, &self.key(segment), bytes)
        {
            Ok(_) => Answer::Written,
            Err(Failure::Conflict { .. }) => Answer::Taken,
            Err(Failure::Unknown { reason }) => {
                log::info!(target: "journal", "The answer to a write of shard {} was lost: {reason}.", self.number);
                Answer::Lost
            }
            Err(failure) => Answer::Failed(failure),
        }
    }

    fn list(&self, from: Number) -> Result<Page, Failure> {
        let prefix = self.prefix();
        let after = match from.0.checked_sub(1) {
            Some(before) => self.key(Number(before)),
            None => prefix.clone(),
        };
        self.host
            .store
            .list(Reason::Journal, &prefix, &after, PAGE_SEGMENTS)
    }

    fn apply(&self, inner: &mut Inner, answer: Answer) {
        let now = self.now();
        match answer {
            Answer::Found(floor) => inner.shard.on_floor_read(floor),
            Answer::Listed(page) => self.apply_list(inner, page, now),
            Answer::Got(segment, bytes) => inner.shard.on_segment_read(segment, bytes.as_deref()),
            Answer::Written => inner.shard.on_written(now),
            Answer::Taken => inner.shard.on_number_taken(),
            Answer::Lost => inner.shard.on_write_lost(),
            Answer::Failed(failure) => {
                log::warn!(target: "journal", "Shard {} can't be reached: {failure}.", self.number);
                inner.failures += 1;
                inner.shard.on_failed(&failure.to_string());
            }
        }
    }

    fn apply_list(&self, inner: &mut Inner, page: Page, now: Moment) {
        let rest = match page.more {
            Continuation::End => Listing::Complete,
            Continuation::More => Listing::Partial,
        };
        let items = page.items.into_iter();
        let items: Vec<_> = items
            .filter_map(|it| Some((number(&it.key)?, it.value)))
            .collect();
        if let Err(error) = inner.shard.on_listed(&items, rest, now) {
            log::error!(target: "journal", "Shard {}: {error}.", self.number);
            inner.failures += 1;
        }
    }

    fn prefix(&self) -> String {
        format!("journal/{:04}/", self.number)
    }

    fn key(&self, segment: Number) -> String {
        format!("{}{:020}", self.prefix(), segment.0)
    }

    fn now(&self) -> Moment {
        Moment::from(self.host.clock.wall_time())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("journal lock is poisoned")
    }
}

/// The number of a segment from its key.
fn number(key: &str) -> Option<Number> {
    let (_, digits) = key.rsplit_once('/')?;
    digits.parse().ok().map(Number)
}
