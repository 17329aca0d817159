//! CPU time and memory of this process, from `/proc/self`.

use std::{fs, time::Duration};

/// Unit of the CPU times in `/proc/self/stat`. Linux uses 1/100 s on all platforms it supports.
const CPU_TICK: Duration = Duration::from_millis(10);

/// Size of a memory page in bytes.
const PAGE_BYTES: u64 = 4096;

/// Index of the user CPU time in `/proc/self/stat`, counted from the field after the closing
/// parenthesis of the command name.
const USER_TIME_FIELD: usize = 11;

/// Index of the system CPU time, counted in the same way as [`USER_TIME_FIELD`].
const SYSTEM_TIME_FIELD: usize = 12;

/// Returns the CPU time used so far.
pub fn cpu_time() -> Duration {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| -> u32 {
        let field = fields.get(index).and_then(|it| it.parse().ok());
        field.unwrap_or_default()
    };
    CPU_TICK * (ticks(USER_TIME_FIELD) + ticks(SYSTEM_TIME_FIELD))
}

/// Returns the size of the resident memory in bytes.
pub fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let resident = statm.split_whitespace().nth(1);
    let pages: u64 = resident.and_then(|it| it.parse().ok()).unwrap_or_default();
    pages * PAGE_BYTES
}

/// Converts a count to a floating-point number.
#[expect(clippy::cast_precision_loss, reason = "Counts stay far below 2^52.")]
pub fn to_f64(count: impl TryInto<u64>) -> f64 {
    count.try_into().unwrap_or(u64::MAX) as f64
}
