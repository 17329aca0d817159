//! Divides the weight store's limits among stewards.
//!
//! One entry host runs the [`Pool`], which lends to stewards. A loan is the right to begin one
//! load. A steward that loses contact with the pool falls back to a guaranteed minimum, which the
//! pool has reserved by then. The counts of loans in messages are running totals, so lost or
//! repeated messages do no harm.

mod pool;

use std::time::Duration;

pub use pool::Pool;

/// The pool expects a steward to use only loans for this long after the steward's last message.
/// Afterwards, the pool reserves the steward's guaranteed minimum again.
pub const LEASE_DURATION: Duration = Duration::from_secs(8);

/// How often a steward sends its demand to the pool if nothing changes.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// A steward that receives no message of the pool for this time stops sending its demand.
pub const POOL_TIMEOUT: Duration = Duration::from_secs(4);

/// A steward falls back to its guaranteed minimum this long after its last message to or from the
/// pool. This exceeds the lease by more than the delay of a message and the clock drift between two
/// hosts.
pub const FALLBACK_DELAY: Duration = Duration::from_secs(10);

/// The limits of a weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Number of loads that may begin per second.
    pub rate_per_second: f64,
    /// Number of loads that may begin at once after a pause.
    pub burst: u32,
    /// Number of loads that may be in flight.
    pub max_in_flight: u32,
}

/// The limit on the loads that a steward begins.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// The minimum that is guaranteed to the steward.
    #[default]
    Guaranteed,
    /// The loans that the steward receives from the pool.
    Pooled,
}

/// A message of a steward to the pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Demand {
    /// The current limit on the steward's loads.
    pub mode: Mode,
    /// The fencing token of the pool that the totals refer to.
    pub fence: u64,
    /// Number of loads that wait to begin.
    pub requested: u32,
    /// Total number of loans received.
    pub received: u64,
    /// Total number of loads that began on a loan and have ended.
    pub ended: u64,
    /// Total number of loans returned unused.
    pub returned: u64,
}

/// A message of the pool to a steward, with the total of the loans to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Loan {
    /// The fencing token of the pool. A steward ignores a lower one than it has seen.
    pub fence: u64,
    /// Total number of loads lent to this steward.
    pub total: u64,
    /// Number of loads that wait at all stewards together.
    pub queued: u32,
    /// Number of loads that the pool lends per second.
    pub rate_per_second: f64,
}

/// Longest wait for tokens that is computed. It keeps sums of times in range at any rate above zero.
const MAX_WAIT: Duration = Duration::from_hours(1);

/// Returns how long it takes at a rate per second until this number of tokens has been added, at most
/// [`MAX_WAIT`].
pub(crate) fn wait_for_tokens(tokens: f64, rate_per_second: f64) -> Duration {
    let wait = Duration::try_from_secs_f64(tokens / rate_per_second);
    wait.map_or(MAX_WAIT, |it| it.min(MAX_WAIT))
}
