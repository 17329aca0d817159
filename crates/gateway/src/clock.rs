//! Monotonic clock that advances while the host is suspended.

use std::time::Duration;

use fleet::Time;
use rustix::time::{ClockId, clock_gettime};

/// Time since the boot of the machine, including suspension. The standard library's monotonic clock
/// stops during a suspension, and the wall clock jumps.
pub fn now() -> Time {
    let it = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(it.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(it.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
