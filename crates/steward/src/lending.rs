//! The division of the weight store's limits among stewards.
//!
//! One entry host keeps the [`Pool`] and lends the right to begin single loads. A steward that
//! loses the pool falls back to its floor, which the pool has set aside by then. All counts in
//! messages are totals, so that a lost or repeated message does no harm.

mod pool;

use std::time::Duration;

pub use pool::Pool;

/// How long the pool counts on a steward that it does not hear.
pub const LEASE_DURATION: Duration = Duration::from_secs(8);

/// How often a steward tells the pool that it is there.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// A steward that does not hear the pool stops asking it after this time.
pub const POOL_TIMEOUT: Duration = Duration::from_secs(4);

/// A steward uses its floor this long after it has stopped asking the pool. It exceeds the lease
/// by more than a message is under way and the clocks of two hosts drift apart.
pub const FALLBACK_DELAY: Duration = Duration::from_secs(10);

/// The limits of a weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Loads that may begin in a second.
    pub rate_per_second: f64,
    /// Loads that may begin at once after a pause.
    pub burst: u32,
    /// Loads that may be in flight.
    pub max_in_flight: u32,
}

/// Where a steward gets its loads from.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// From its own floor.
    #[default]
    Guaranteed,
    /// From the pool.
    Pooled,
}

/// What a steward tells the pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Demand {
    /// Where it gets its loads from at present.
    pub mode: Mode,
    /// The fencing number of the pool that its totals belong to.
    pub fence: u64,
    /// Loads that wait to begin.
    pub requested: u32,
    /// Loans that have reached it in all.
    pub received: u64,
    /// Loads that it began on a loan and that have ended, in all.
    pub ended: u64,
    /// Loans that it has given back unused, in all.
    pub returned: u64,
}

/// What the pool tells a steward.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Loan {
    /// The fencing number of the pool; a steward ignores a lower one than it has seen.
    pub fence: u64,
    /// Loads lent to this steward in all.
    pub total: u64,
    /// Loads that wait at all stewards.
    pub queued: u32,
    /// Loads that the pool lends in a second.
    pub rate_per_second: f64,
}
