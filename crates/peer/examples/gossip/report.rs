//! Prints the measurements, and extrapolates them linearly to the target size.

use std::time::Duration;

use member::Detail;
use peer::counter::Totals;

use crate::{fleet::Shape, usage::to_f64};

const KILOBYTE: f64 = 1000.0;
const MEGABYTE: f64 = 1_000_000.0;

/// Number of hosts that a host tracks fully at the target size of 520 hosts in 10 domains.
const TARGET_TRACKED_HOSTS: f64 = 52.0;

/// Time between two probe rounds. Propagation times are also printed in this unit.
const PROBE_PERIOD: Duration = Duration::from_millis(500);

/// Resource usage of one host during a window of time.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// Bytes sent and received per second, averaged over the hosts.
    pub bytes_per_second: f64,
    /// Bytes sent and received per second by the busiest host.
    pub max_bytes_per_second: f64,
    /// Datagrams sent and received per second, averaged over the hosts.
    pub datagrams_per_second: f64,
    /// Share of a CPU core, averaged over the hosts.
    pub cpu_share: f64,
    /// Changed entries per second in the whole fleet.
    pub changes_per_second: f64,
    /// Total number of datagrams since the start that could not be sent, for the whole fleet.
    pub unsent: u64,
}

/// Returns all bytes sent and received.
fn total_bytes(totals: &Totals) -> u64 {
    let datagrams = totals.datagram_bytes_in + totals.datagram_bytes_out;
    datagrams + totals.stream_bytes_in + totals.stream_bytes_out
}

impl Window {
    pub fn new(
        elapsed: Duration,
        cpu_time: Duration,
        before: &[Totals],
        after: &[Totals],
        change_count: u32,
    ) -> Self {
        let seconds = elapsed.as_secs_f64();
        let hosts = to_f64(after.len());
        let pairs = || before.iter().zip(after);
        let per_second = |value: fn(&Totals) -> u64| -> Vec<f64> {
            let differences = pairs().map(|(before, after)| value(after) - value(before));
            differences.map(|it| to_f64(it) / seconds).collect()
        };
        let bytes = per_second(total_bytes);
        let datagrams = per_second(|it| it.datagrams_in + it.datagrams_out);
        Self {
            bytes_per_second: bytes.iter().sum::<f64>() / hosts,
            max_bytes_per_second: bytes.iter().copied().fold(0.0, f64::max),
            datagrams_per_second: datagrams.iter().sum::<f64>() / hosts,
            cpu_share: cpu_time.as_secs_f64() / seconds / hosts,
            changes_per_second: f64::from(change_count) / seconds,
            unsent: after.iter().map(|it| it.datagrams_unsent).sum(),
        }
    }
}

/// Times that updates took to reach all hosts concerned, or `None` if they did not in time.
#[derive(Clone, Copy, Debug)]
pub struct Timings {
    pub entry: Option<Duration>,
    pub revision: Option<Duration>,
    pub failure: Option<Duration>,
    pub join: Option<Duration>,
    /// The time from when all hosts report a new host as up until the new host has all entries.
    pub initial_sync: Option<Duration>,
}

/// The measurements of one fleet size.
#[derive(Clone, Debug)]
pub struct Row {
    pub shape: Shape,
    pub sync_time: Duration,
    pub memory_bytes: u64,
    pub idle: Window,
    pub busy: Window,
    pub timings: Vec<Timings>,
    pub false_down_reports: usize,
}

/// Describes the mean and the maximum of the times.
fn summarize(times: impl Iterator<Item = Option<Duration>>) -> String {
    let times: Vec<Option<Duration>> = times.collect();
    let missing = times.iter().filter(|it| it.is_none()).count();
    let times: Vec<Duration> = times.into_iter().flatten().collect();
    let Some(max) = times.iter().max() else {
        return format!("none of {missing} completed");
    };
    let mean = times.iter().sum::<Duration>() / u32::try_from(times.len()).unwrap_or(1);
    let periods = max.as_secs_f64() / PROBE_PERIOD.as_secs_f64();
    let mut text = format!(
        "mean {:.2} s, max {:.2} s ({periods:.1} probe periods)",
        mean.as_secs_f64(),
        max.as_secs_f64(),
    );
    if missing > 0 {
        text = format!("{text}, {missing} not completed in time");
    }
    text
}

fn print_window(name: &str, window: &Window) {
    println!(
        "  {name}: {:.2} KB/s ({:.2} at the busiest host), {:.1} datagrams/s, {:.3}% of a core, \
         {:.1} changes/s in the fleet, {} datagrams unsent",
        window.bytes_per_second / KILOBYTE,
        window.max_bytes_per_second / KILOBYTE,
        window.datagrams_per_second,
        window.cpu_share * 100.0,
        window.changes_per_second,
        window.unsent,
    );
}

/// Prints the measurements of one fleet size.
pub fn print_row(row: &Row) {
    let Shape {
        hosts,
        domains,
        entries_per_host,
        entry_bytes,
        ..
    } = row.shape;
    println!(
        "{hosts} hosts in {domains} domains, {entries_per_host} entries of {entry_bytes} bytes per host"
    );
    println!("  synchronized after {:.1} s", row.sync_time.as_secs_f64());
    println!(
        "  memory: {:.2} MB per host",
        to_f64(row.memory_bytes) / to_f64(hosts) / MEGABYTE
    );
    print_window("idle", &row.idle);
    print_window("busy", &row.busy);
    println!(
        "  entry received by all tracking hosts: {}",
        summarize(row.timings.iter().map(|it| it.entry))
    );
    println!(
        "  revision received by all hosts: {}",
        summarize(row.timings.iter().map(|it| it.revision))
    );
    println!(
        "  failure reported by all tracking hosts: {}",
        summarize(row.timings.iter().map(|it| it.failure))
    );
    println!(
        "  join reported by all tracking hosts: {}",
        summarize(row.timings.iter().map(|it| it.join))
    );
    println!(
        "  new host has all entries: {}",
        summarize(row.timings.iter().map(|it| it.initial_sync))
    );
    println!(
        "  running hosts reported as down: {}",
        row.false_down_reports
    );
}

/// Fits a line by least squares and returns its slope and intercept.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = to_f64(points.len());
    let mean_x = points.iter().map(|it| it.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|it| it.1).sum::<f64>() / count;
    let sum_squares_x: f64 = points.iter().map(|it| (it.0 - mean_x).powi(2)).sum();
    let products_xy = points.iter().map(|it| (it.0 - mean_x) * (it.1 - mean_y));
    let slope = products_xy.sum::<f64>() / sum_squares_x.max(f64::MIN_POSITIVE);
    (slope, mean_y - slope * mean_x)
}

/// Returns the number of hosts that a host tracks fully, including itself.
fn tracked_hosts(shape: Shape) -> f64 {
    match shape.detail() {
        Detail::Fleet => to_f64(shape.hosts),
        Detail::Domain => to_f64(shape.hosts) / to_f64(shape.domains),
    }
}

/// Fits a line to a measurement over the number of tracked hosts, and prints the line and its value
/// at the target size.
fn print_fit(name: &str, rows: &[Row], value: impl Fn(&Row) -> f64) {
    let points = rows.iter().map(|it| (tracked_hosts(it.shape), value(it)));
    let points: Vec<(f64, f64)> = points.collect();
    let (slope, intercept) = fit_line(&points);
    println!(
        "  {name}: {intercept:.4} + {slope:.6} per tracked host; {:.3} at {TARGET_TRACKED_HOSTS} tracked hosts",
        intercept + slope * TARGET_TRACKED_HOSTS,
    );
}

/// Prints the traffic that a changed entry causes, and the fitted lines over all fleet sizes.
pub fn print(rows: &[Row]) {
    println!("cost per host by fleet size:");
    for row in rows {
        let changes =
            row.busy.changes_per_second * tracked_hosts(row.shape) / to_f64(row.shape.hosts);
        if changes > 0.0 {
            let bytes = (row.busy.bytes_per_second - row.idle.bytes_per_second) / changes;
            println!(
                "  {} hosts: {bytes:.1} bytes per change at a tracked host",
                row.shape.hosts
            );
        }
    }
    if rows.len() < 2 {
        return;
    }
    print_fit("idle KB/s", rows, |it| it.idle.bytes_per_second / KILOBYTE);
    print_fit("busy KB/s", rows, |it| it.busy.bytes_per_second / KILOBYTE);
    print_fit("datagrams/s", rows, |it| it.idle.datagrams_per_second);
    print_fit("idle % of a core", rows, |it| it.idle.cpu_share * 100.0);
    print_fit("busy % of a core", rows, |it| it.busy.cpu_share * 100.0);
    print_fit("MB", rows, |it| {
        to_f64(it.memory_bytes) / to_f64(it.shape.hosts) / MEGABYTE
    });
}
