//! The journal of calls with idempotency keys, stored in the platform's objects. The threads of the
//! callers do the I/O before a call: of the threads that wait for one shard, one at a time carries
//! out the operation, and its write contains the records of the others. The ends of calls are
//! written by a thread of their own, since the answers of these calls are ready.

mod driver;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use derive_more::Display;
use journal::{
    Outcome, Scope,
    record::{Attempt, Event, Moment},
    scope::{Digest, SHARDS},
    shard::Verdict,
};
use kernel::{clock::Clock, permit::Holder};

use self::driver::Driver;
use crate::object::Store;

/// Time after the deadline of a call during which other hosts still consider the call running.
/// After that time its outcome is unknown. The time covers the clock difference between hosts.
const RUN_GRACE: Duration = Duration::from_secs(5);

/// Maximum time for which a caller waits until the end of its call is recorded.
const MAX_END_WAIT: Duration = Duration::from_secs(1);

/// Time before the deadline of a call at which its answer is sent, whether or not the end is
/// recorded.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);

/// A recorded call, which the holder of this value may make once. The holder must pass the value
/// to [`Journal::finish`], [`Journal::release`] or [`Journal::finish_unknown`].
#[derive(Debug)]
#[must_use = "a call that isn't ended counts as running"]
pub struct StartedCall {
    key: Digest,
    attempt: Attempt,
    deadline: Instant,
}

/// The decision on a call with an idempotency key.
#[derive(Debug)]
pub enum Decision {
    /// The call is the first with its key. The caller may make it, and no other host does.
    First(StartedCall),
    /// The call was made before with this outcome.
    Repeat(Outcome),
    /// The call is running, on this or another host.
    Running,
    /// The call was started before and its outcome is unknown. It must not be made again.
    OutcomeUnknown,
    /// The key was used for a different call.
    KeyReused,
    /// The call can't be recorded, and is not started.
    Unavailable(Outage),
}

/// A failure of the journal, because of which a call can't be recorded.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("the journal can't be written: {reason}")]
pub struct Outage {
    /// Description of the cause.
    pub reason: String,
}

/// The durability of the end of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Durability {
    /// The end is stored in the platform, where every host reads it.
    Recorded,
    /// Only this host has the end, in memory; later calls or [`Journal::flush`] write it. If the
    /// host terminates before that, repeats of the call get [`Decision::OutcomeUnknown`].
    Pending,
}

/// The journal on one host, shared by threads.
pub struct Journal {
    context: Arc<Context>,
    drivers: Vec<Arc<Driver>>,
}

/// The state that the drivers of all shards share.
struct Context {
    holder: Holder,
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
}

impl Journal {
    /// Creates a journal that reads each shard when the first call needs it.
    pub fn new(store: Arc<dyn Store>, holder: Holder, clock: Arc<dyn Clock>) -> Self {
        let context = Arc::new(Context {
            holder,
            store,
            clock,
        });
        let driver = |shard| Arc::new(Driver::new(shard, Arc::clone(&context)));
        let drivers = (0..SHARDS).map(driver).collect();
        Self { context, drivers }
    }

    /// Records the start of a call, unless its key is in use. `fingerprint` is a digest of
    /// everything that must be equal when the key is used again. Blocks until the platform has
    /// responded, at most until about `deadline`.
    pub fn begin(&self, scope: &Scope, fingerprint: &[u8; 32], deadline: Instant) -> Decision {
        let key = scope.digest();
        let remaining = deadline.saturating_duration_since(self.context.clock.now());
        let now = Moment::from(self.context.clock.wall_time());
        let run_by = now.saturating_add(remaining + RUN_GRACE);
        let driver = self.driver(key);
        match driver.begin(key, Digest::from_sha256(fingerprint), run_by, deadline) {
            Verdict::First(attempt) => Decision::First(StartedCall {
                key,
                attempt,
                deadline,
            }),
            Verdict::Repeat(outcome) => Decision::Repeat(outcome),
            Verdict::Running => Decision::Running,
            Verdict::OutcomeUnknown => Decision::OutcomeUnknown,
            Verdict::KeyReused => Decision::KeyReused,
            Verdict::Unavailable(reason) => Decision::Unavailable(Outage { reason }),
        }
    }

    /// Records the outcome of a call. A body larger than [`journal::record::MAX_BODY_BYTES`] is
    /// not stored; repeats get [`journal::record::Body::Omitted`] instead.
    pub fn finish(
        &self,
        call: StartedCall,
        status: u16,
        headers: Vec<(String, String)>,
        body: &[u8],
    ) -> Durability {
        let outcome = Outcome::new(status, headers, body);
        self.end(call, Event::Finished { outcome })
    }

    /// Records that a call was not sent, so that its key can be used again.
    pub fn release(&self, call: StartedCall) -> Durability {
        self.end(call, Event::Void)
    }

    /// Records that a call was sent and that its outcome is unknown.
    pub fn finish_unknown(&self, call: StartedCall) -> Durability {
        self.end(call, Event::Lost)
    }

    /// Writes the pending ends of calls. Ends that the platform does not accept stay pending.
    pub fn flush(&self) -> Durability {
        let results = self.drivers.iter().map(|it| it.flush());
        let pending = results.filter(|it| *it == Durability::Pending).count();
        if pending == 0 {
            Durability::Recorded
        } else {
            Durability::Pending
        }
    }

    /// Reads the shards before calls need them. Returns the number of shards that could not be
    /// read, which are read when a call needs them.
    pub fn preload(&self) -> usize {
        let results = self.drivers.iter().map(|it| it.preload());
        results
            .filter(|it| *it == driver::DriveResult::Failed)
            .count()
    }

    /// Deletes records after their retention time. One host of a fleet suffices, and several hosts
    /// can safely do it at once. Returns the number of shards that were not processed completely
    /// because the platform failed or another host updated the floor first.
    pub fn delete_expired(&self) -> usize {
        let results = self.drivers.iter().map(|it| it.delete_expired());
        results.filter(Result::is_err).count()
    }

    /// Returns the number of keys that this host has in memory.
    pub fn key_count(&self) -> usize {
        self.drivers.iter().map(|it| it.key_count()).sum()
    }

    fn end(&self, call: StartedCall, event: Event) -> Durability {
        let StartedCall {
            key,
            attempt,
            deadline,
        } = call;
        let wait_until = self.context.clock.now() + MAX_END_WAIT;
        let send_at = deadline.checked_sub(ANSWER_MARGIN).unwrap_or(deadline);
        let driver = self.driver(key);
        driver.end(key, &attempt, event, wait_until.min(send_at))
    }

    fn driver(&self, key: Digest) -> &Arc<Driver> {
        &self.drivers[usize::from(key.shard())]
    }
}

impl Drop for Journal {
    fn drop(&mut self) {
        for driver in &self.drivers {
            driver.join();
        }
    }
}
