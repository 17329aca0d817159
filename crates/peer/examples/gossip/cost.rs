//! What the process has used, from the files of the operating system on it.

use std::{fs, time::Duration};

/// Length of a tick of processor time; the kernel reports in hundredths of a second on all
/// platforms that Linux supports.
const TICK: Duration = Duration::from_millis(10);

const PAGE_BYTES: u64 = 4096;

/// Fields of `/proc/self/stat` after the command's name, counted from its closing parenthesis.
const USER_FIELD: usize = 11;
const SYSTEM_FIELD: usize = 12;

/// The processor time used so far.
pub fn processor() -> Duration {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| -> u32 {
        let field = fields.get(index).and_then(|it| it.parse().ok());
        field.unwrap_or_default()
    };
    TICK * (ticks(USER_FIELD) + ticks(SYSTEM_FIELD))
}

/// The resident memory in bytes.
pub fn memory() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let resident = statm.split_whitespace().nth(1);
    let pages: u64 = resident.and_then(|it| it.parse().ok()).unwrap_or_default();
    pages * PAGE_BYTES
}

/// A count as a number with a fraction.
#[expect(clippy::cast_precision_loss, reason = "Counts stay far below 2^52.")]
pub fn float(count: impl TryInto<u64>) -> f64 {
    count.try_into().unwrap_or(u64::MAX) as f64
}
