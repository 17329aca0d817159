//! The journal of keyed calls over the platform's objects. Callers' threads do the I/O: of those
//! that wait for one shard, one drives it and the others share its writes.

mod lane;

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

use self::lane::Lane;
use crate::object::Store;

/// How much longer than its deadline a call may run before its outcome counts as unknown on other
/// hosts; it covers the difference of their clocks.
const RUN_GRACE: Duration = Duration::from_secs(5);

/// How long a caller waits until the end of its call is recorded.
const END_PATIENCE: Duration = Duration::from_secs(1);

/// Leave to make a call, once. It has to be given back to [`Journal::finish`],
/// [`Journal::release`] or [`Journal::finish_unknown`].
#[derive(Debug)]
#[must_use = "a call that isn't ended counts as running"]
pub struct StartedCall {
    key: Digest,
    start: Attempt,
}

/// What to do about a keyed call.
#[derive(Debug)]
pub enum Decision {
    /// Make it: nobody has, and nobody else will.
    First(StartedCall),
    /// It was made before; this is its answer.
    Repeat(Outcome),
    /// It is running, here or on another host.
    Running,
    /// It was begun before and nobody knows its outcome. It is not made again.
    OutcomeUnknown,
    /// The key was used for another call.
    KeyReused,
    /// It can't be recorded; this call is not made.
    Unavailable(Outage),
}

/// Why a call can't be recorded.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("the journal can't be written: {reason}")]
pub struct Outage {
    /// What was seen.
    pub reason: String,
}

/// Whether the end of a call is recorded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Durability {
    /// All hosts know it.
    Recorded,
    /// Only this host knows it yet; it is written by later calls or by [`Journal::flush`]. If the
    /// host goes before that, repeats get an unknown outcome.
    Pending,
}

/// The journal on one host. Any number of threads may use it.
pub struct Journal {
    host: Arc<Host>,
    lanes: Vec<Lane>,
}

/// What all shards have in common.
struct Host {
    me: Holder,
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
}

impl Journal {
    /// A journal that knows nothing yet; it reads a shard when the first call needs it.
    pub fn new(store: Arc<dyn Store>, me: Holder, clock: Arc<dyn Clock>) -> Self {
        let host = Arc::new(Host { me, store, clock });
        let lane = |shard| Lane::new(shard, Arc::clone(&host));
        let lanes = (0..SHARDS).map(lane).collect();
        Self { host, lanes }
    }

    /// Asks for leave to make a call. `fingerprint` is a digest of everything that must be the
    /// same when the key is used again. Blocks until the platform has answered, at most until
    /// about `deadline`.
    pub fn begin(&self, scope: &Scope, fingerprint: &[u8; 32], deadline: Instant) -> Decision {
        let key = scope.digest();
        let left = deadline.saturating_duration_since(self.host.clock.now());
        let now = Moment::from(self.host.clock.wall_time());
        let run_by = now.saturating_add(left + RUN_GRACE);
        let lane = self.lane(key);
        match lane.begin(key, Digest::from_sha256(fingerprint), run_by, deadline) {
            Verdict::First(start) => Decision::First(StartedCall { key, start }),
            Verdict::Repeat(outcome) => Decision::Repeat(outcome),
            Verdict::Running => Decision::Running,
            Verdict::OutcomeUnknown => Decision::OutcomeUnknown,
            Verdict::KeyReused => Decision::KeyReused,
            Verdict::Unavailable(reason) => Decision::Unavailable(Outage { reason }),
        }
    }

    /// Records the answer of a call. A body above [`journal::record::MAX_BODY_BYTES`] is left out,
    /// and repeats are told so by [`journal::record::Body::Omitted`].
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

    /// Records that a call was not sent: its key is free again.
    pub fn release(&self, call: StartedCall) -> Durability {
        self.end(call, Event::Void)
    }

    /// Records that a call was sent and that its outcome is unknown.
    pub fn finish_unknown(&self, call: StartedCall) -> Durability {
        self.end(call, Event::Lost)
    }

    /// Writes the ends of calls that are not recorded yet, as far as the platform takes them.
    pub fn flush(&self) -> Durability {
        let ends = self.lanes.iter().map(Lane::flush);
        let pending = ends.filter(|it| *it == Durability::Pending).count();
        if pending == 0 {
            Durability::Recorded
        } else {
            Durability::Pending
        }
    }

    /// Reads the shards before calls need them. Gives how many could not be read; they are read when
    /// a call needs them.
    pub fn preload(&self) -> usize {
        let outcomes = self.lanes.iter().map(Lane::warm);
        outcomes.filter(|it| *it == lane::Outcome::Failed).count()
    }

    /// Deletes records whose time is over. One host of a fleet is enough; more do no harm. Gives
    /// how many shards could not be tidied because the platform failed or another host was faster.
    pub fn delete_expired(&self) -> usize {
        let results = self.lanes.iter().map(Lane::tidy);
        results.filter(Result::is_err).count()
    }

    /// How many keys this host remembers.
    pub fn key_count(&self) -> usize {
        self.lanes.iter().map(Lane::keys).sum()
    }

    fn end(&self, call: StartedCall, event: Event) -> Durability {
        let deadline = self.host.clock.now() + END_PATIENCE;
        let StartedCall { key, start } = call;
        self.lane(key).end(key, &start, event, deadline)
    }

    fn lane(&self, key: Digest) -> &Lane {
        &self.lanes[usize::from(key.shard())]
    }
}
