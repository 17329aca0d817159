//! The time of a process, which goes on while the host is suspended.

use std::time::Duration;

use fleet::Time;
use rustix::time::{ClockId, clock_gettime};

/// Time since the start of the host, suspension included. The steady clock of the standard library
/// stands still in a suspension, and the time of day jumps.
pub fn now() -> Time {
    let it = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(it.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(it.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
