//! The driver of one shard, which carries out the shard's I/O on the threads of callers.

mod floor;

use std::{
    io,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use journal::{
    Shard,
    record::{Attempt, Event, Moment},
    scope::Digest,
    segment::Number,
    shard::{Listing, Step, Verdict},
};

use super::{Context, Durability};
use crate::object::{Continuation, Failure, Page, Reason};

/// Maximum number of segments that one list call returns.
const MAX_PAGE_SEGMENTS: usize = 64;

/// Maximum time for which a waiting thread sleeps before it checks its deadline again.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// The state of the I/O of a shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Io {
    /// No operation is in progress.
    Idle,
    /// One thread carries out an operation, without the lock.
    InProgress,
}

/// The state that the lock protects.
struct Inner {
    shard: Shard,
    io: Io,
    /// The number of failed I/O operations. Waiting threads compare it to see that one failed.
    failure_count: u64,
    writer: Writer,
}

/// The thread that writes the ends of calls.
enum Writer {
    /// It has ended, or there has been none.
    Ended(Option<JoinHandle<()>>),
    Running(JoinHandle<()>),
}

/// One shard with the I/O for it. Of the threads that wait for the shard, one at a time carries
/// out an I/O operation.
pub(super) struct Driver {
    shard_number: u16,
    context: Arc<Context>,
    inner: Mutex<Inner>,
    changed: Condvar,
}

/// The result of an I/O operation.
enum IoResult {
    FloorRead(Number),
    Listed(Page),
    /// The number and the content of a segment, if it exists.
    SegmentRead(Number, Option<Vec<u8>>),
    Written,
    /// A segment with the number of the write exists.
    NumberTaken,
    /// The outcome of the write is unknown, because no usable response was received.
    ResponseLost,
    /// The operation had no effect.
    Failed(Failure),
}

/// The result of carrying out I/O operations while a condition holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum DriveResult {
    /// The condition no longer holds.
    Completed,
    /// An operation failed.
    Failed,
}

/// The result of [`Driver::drive_once`].
enum Progress {
    /// An operation was carried out.
    Made,
    /// There was no operation to carry out.
    None,
}

impl Driver {
    pub(super) fn new(shard_number: u16, context: Arc<Context>) -> Self {
        let inner = Inner {
            shard: Shard::new(context.holder.clone()),
            io: Io::Idle,
            failure_count: 0,
            writer: Writer::Ended(None),
        };
        Self {
            shard_number,
            context,
            inner: Mutex::new(inner),
            changed: Condvar::new(),
        }
    }

    /// Submits a call and waits for the verdict on it, at most until about `deadline`.
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
            if self.context.clock.now() >= deadline {
                inner.shard.abandon(ticket);
                self.changed.notify_all();
                return Verdict::Unavailable(
                    "the deadline passed before an answer came".to_owned(),
                );
            }
            inner = self.drive_or_wait(inner, deadline);
        }
    }

    /// Queues the end of a call and waits until it is written, an I/O operation fails or `deadline`
    /// passes. The caller's thread does no I/O, which could take longer than that.
    pub(super) fn end(
        self: &Arc<Self>,
        key: Digest,
        attempt: &Attempt,
        event: Event,
        deadline: Instant,
    ) -> Durability {
        let mut inner = self.lock();
        let failure_count = inner.failure_count;
        inner.shard.end(key, attempt, event);
        self.changed.notify_all();
        while inner.shard.has_pending_end(key) {
            if inner.failure_count != failure_count {
                return Durability::Pending;
            }
            if let Err(error) = self.start_writer(&mut inner) {
                // The next flush writes the end.
                log::warn!(target: "journal", "The writer of shard {} can't be started: {error}.", self.shard_number);
                return Durability::Pending;
            }
            if self.context.clock.now() >= deadline {
                return Durability::Pending;
            }
            inner = self.wait(inner, deadline);
        }
        Durability::Recorded
    }

    /// Starts the thread that writes all queued records, unless it is running.
    fn start_writer(self: &Arc<Self>, inner: &mut Inner) -> io::Result<()> {
        let Writer::Ended(last) = &mut inner.writer else {
            return Ok(());
        };
        if let Some(thread) = last.take() {
            // It has released the lock for the last time.
            self.join_writer(thread);
        }
        let driver = Arc::clone(self);
        let thread = thread::Builder::new()
            .name(format!("journal-{}", self.shard_number))
            .spawn(move || driver.run_writer())?;
        inner.writer = Writer::Running(thread);
        Ok(())
    }

    /// Writes queued records until there are none left or an operation fails.
    fn run_writer(&self) {
        let mut inner = self.lock();
        let failure_count = inner.failure_count;
        while inner.shard.has_pending_writes() && inner.failure_count == failure_count {
            inner = self.drive_or_wait(inner, self.context.clock.now() + MAX_SLEEP);
        }
        let running = std::mem::replace(&mut inner.writer, Writer::Ended(None));
        if let Writer::Running(thread) = running {
            inner.writer = Writer::Ended(Some(thread));
        }
        // An end that was queued after the failure of an operation starts the next writer.
        self.changed.notify_all();
    }

    /// Waits for the end of the thread that writes the ends of calls.
    pub(super) fn join(&self) {
        let writer = std::mem::replace(&mut self.lock().writer, Writer::Ended(None));
        if let Writer::Running(thread) | Writer::Ended(Some(thread)) = writer {
            self.join_writer(thread);
        }
    }

    fn join_writer(&self, thread: JoinHandle<()>) {
        if thread.join().is_err() {
            log::error!(target: "journal", "The writer of shard {} panicked.", self.shard_number);
        }
    }

    /// Writes all queued records. Stops when an operation fails.
    pub(super) fn flush(&self) -> Durability {
        match self.drive_while(self.lock(), Shard::has_pending_writes) {
            DriveResult::Completed => Durability::Recorded,
            DriveResult::Failed => Durability::Pending,
        }
    }

    /// Reads the shard before a call needs it. Stops when an operation fails.
    pub(super) fn preload(&self) -> DriveResult {
        let mut inner = self.lock();
        inner.shard.request_preload();
        self.drive_while(inner, Shard::needs_preload)
    }

    /// Carries out I/O operations while `condition` holds. Stops when one fails.
    fn drive_while<'a>(
        &'a self,
        mut inner: MutexGuard<'a, Inner>,
        condition: fn(&Shard) -> bool,
    ) -> DriveResult {
        let failure_count = inner.failure_count;
        while condition(&inner.shard) {
            if inner.failure_count != failure_count {
                return DriveResult::Failed;
            }
            inner = self.drive_or_wait(inner, self.context.clock.now() + MAX_SLEEP);
        }
        DriveResult::Completed
    }

    pub(super) fn key_count(&self) -> usize {
        self.lock().shard.key_count()
    }

    /// Carries out the next I/O operation. If there is none, or if another thread is carrying one
    /// out, waits for a change of the shard instead.
    fn drive_or_wait<'a>(
        &'a self,
        mut inner: MutexGuard<'a, Inner>,
        deadline: Instant,
    ) -> MutexGuard<'a, Inner> {
        if inner.io == Io::Idle {
            let (relocked, progress) = self.drive_once(inner);
            inner = relocked;
            if matches!(progress, Progress::Made) {
                return inner;
            }
        }
        self.wait(inner, deadline)
    }

    /// Waits for a change of the shard.
    fn wait<'a>(
        &'a self,
        inner: MutexGuard<'a, Inner>,
        deadline: Instant,
    ) -> MutexGuard<'a, Inner> {
        let remaining = deadline.saturating_duration_since(self.context.clock.now());
        let waited = self.changed.wait_timeout(inner, remaining.min(MAX_SLEEP));
        waited.expect("journal lock is poisoned").0
    }

    /// Carries out the next I/O operation, during which the lock is released.
    fn drive_once<'a>(
        &'a self,
        mut inner: MutexGuard<'a, Inner>,
    ) -> (MutexGuard<'a, Inner>, Progress) {
        let step = inner.shard.next_step(self.now());
        if step == Step::Idle {
            return (inner, Progress::None);
        }
        inner.io = Io::InProgress;
        drop(inner);
        let result = self.perform(step);
        let mut inner = self.lock();
        inner.io = Io::Idle;
        self.apply_result(&mut inner, result);
        self.changed.notify_all();
        (inner, Progress::Made)
    }

    fn perform(&self, step: Step) -> IoResult {
        let result = match step {
            // `drive_once` does not perform this step.
            Step::Idle => return IoResult::NumberTaken,
            Step::ReadFloor => self.read_floor().map(|it| IoResult::FloorRead(it.segment)),
            Step::List { from } => self.list_segments(from).map(IoResult::Listed),
            Step::Get { segment } => {
                let object = self
                    .context
                    .store
                    .get(Reason::Journal, &self.segment_key(segment));
                object.map(|it| IoResult::SegmentRead(segment, it.map(|it| it.value)))
            }
            Step::Write { segment, bytes } => return self.write_segment(segment, &bytes),
        };
        result.unwrap_or_else(IoResult::Failed)
    }

    fn write_segment(&self, segment: Number, bytes: &[u8]) -> IoResult {
        match self
            .context
            .store
            .create(Reason::Journal, &self.segment_key(segment), bytes)
        {
            Ok(_) => IoResult::Written,
            Err(Failure::Conflict { .. }) => IoResult::NumberTaken,
            Err(Failure::Unknown { reason }) => {
                log::info!(target: "journal", "The outcome of a write to shard {} is unknown: {reason}.", self.shard_number);
                IoResult::ResponseLost
            }
            Err(failure) => IoResult::Failed(failure),
        }
    }

    fn list_segments(&self, from: Number) -> Result<Page, Failure> {
        let prefix = self.segment_prefix();
        let after = match from.0.checked_sub(1) {
            Some(previous) => self.segment_key(Number(previous)),
            None => prefix.clone(),
        };
        self.context
            .store
            .list(Reason::Journal, &prefix, &after, MAX_PAGE_SEGMENTS)
    }

    fn apply_result(&self, inner: &mut Inner, result: IoResult) {
        let now = self.now();
        match result {
            IoResult::FloorRead(floor) => inner.shard.on_floor_read(floor),
            IoResult::Listed(page) => self.apply_list(inner, page, now),
            IoResult::SegmentRead(segment, bytes) => {
                inner.shard.on_segment_read(segment, bytes.as_deref());
            }
            IoResult::Written => inner.shard.on_written(now),
            IoResult::NumberTaken => inner.shard.on_number_taken(),
            IoResult::ResponseLost => inner.shard.on_write_lost(),
            IoResult::Failed(failure) => {
                log::warn!(target: "journal", "Shard {} can't be reached: {failure}.", self.shard_number);
                inner.failure_count += 1;
                inner.shard.on_failed(&failure.to_string());
            }
        }
    }

    fn apply_list(&self, inner: &mut Inner, page: Page, now: Moment) {
        let listing = match page.more {
            Continuation::End => Listing::Complete,
            Continuation::More => Listing::Partial,
        };
        let items = page.items.into_iter();
        let items: Vec<_> = items
            .filter_map(|it| Some((segment_number(&it.key)?, it.value)))
            .collect();
        if let Err(error) = inner.shard.on_listed(&items, listing, now) {
            log::error!(target: "journal", "Shard {}: {error}.", self.shard_number);
            inner.failure_count += 1;
        }
    }

    fn segment_prefix(&self) -> String {
        format!("journal/{:04}/", self.shard_number)
    }

    fn segment_key(&self, segment: Number) -> String {
        format!("{}{:020}", self.segment_prefix(), segment.0)
    }

    fn now(&self) -> Moment {
        Moment::from(self.context.clock.wall_time())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("journal lock is poisoned")
    }
}

/// Returns the number of a segment from its key.
fn segment_number(key: &str) -> Option<Number> {
    let (_, digits) = key.rsplit_once('/')?;
    digits.parse().ok().map(Number)
}
