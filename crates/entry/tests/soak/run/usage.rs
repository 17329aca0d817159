//! Memory and processor time of the hosts.

use std::fs;

use super::Run;

/// Clock ticks of a second in `/proc/PID/stat`.
const TICKS_PER_SECOND: u64 = 100;

/// Fields of `/proc/PID/stat` after the name of the program.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;
const START_TICKS: usize = 19;

impl Run {
    /// Prints the largest peak memory of a host, and the processor time of all hosts since their last starts.
    pub(super) fn print_usage(&self) {
        let peaks = (self.hosts.iter()).filter_map(|it| peak_memory(it.id()));
        let peak = peaks.max().unwrap_or(0);
        let times = (self.hosts.iter()).filter_map(|it| processor_time(it.id()));
        let (used, age) = times.fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
        println!(
            "seed {}: hosts use up to {} kB of memory, and {} ms of processor time a second on average",
            self.seed,
            peak >> 10,
            used * 1000 / age.max(1)
        );
    }
}

/// Returns the largest resident memory of a process so far in bytes, if the process exists.
pub(super) fn peak_memory(process_id: &str) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
    let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"))?;
    let kilobytes: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kilobytes << 10)
}

/// Returns the processor time of a process and the time since its start in ticks, if the process exists.
fn processor_time(process_id: &str) -> Option<(u64, u64)> {
    let stat = fs::read_to_string(format!("/proc/{process_id}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
    let ticks = |it: usize| -> Option<u64> { fields.get(it)?.parse().ok() };
    let uptime = fs::read_to_string("/proc/uptime").ok()?;
    let (seconds, rest) = uptime.split_once('.')?;
    let hundredths: u64 = rest.split(' ').next()?.parse().ok()?;
    let now = seconds.parse::<u64>().ok()? * TICKS_PER_SECOND + hundredths;
    Some((
        ticks(USER_TICKS)? + ticks(SYSTEM_TICKS)?,
        now.saturating_sub(ticks(START_TICKS)?),
    ))
}
