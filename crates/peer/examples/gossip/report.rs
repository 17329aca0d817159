//! The figures, their slopes and what follows for the target size.

use std::time::Duration;

use member::Detail;
use peer::counter::Totals;

use crate::{cost::float, fleet::Shape};

const KILOBYTE: f64 = 1000.0;
const MEGABYTE: f64 = 1_000_000.0;

/// How many hosts know each other in full at the target size: 520 in 10 domains.
const TARGET_NEAR: f64 = 52.0;

/// Time between two rounds of probes, in which reaction times are given too.
const PERIOD: Duration = Duration::from_millis(500);

/// The cost of a window of time for one host.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// Bytes a second, in and out together.
    pub bytes: f64,
    /// Bytes a second of the host that has most.
    pub most_bytes: f64,
    /// Datagrams a second, in and out together.
    pub datagrams: f64,
    /// Share of a core.
    pub core: f64,
    /// Changed entries a second in the whole fleet.
    pub changes: f64,
    /// Datagrams that could not be sent, in all.
    pub unsent: u64,
}

fn bytes(totals: &Totals) -> u64 {
    let datagrams = totals.datagram_bytes_in + totals.datagram_bytes_out;
    datagrams + totals.stream_bytes_in + totals.stream_bytes_out
}

impl Window {
    pub fn new(
        span: Duration,
        processor: Duration,
        before: &[Totals],
        after: &[Totals],
        made: u32,
    ) -> Self {
        let seconds = span.as_secs_f64();
        let hosts = float(after.len());
        let pairs = || before.iter().zip(after);
        let share = |of: fn(&Totals) -> u64| -> Vec<f64> {
            let differences = pairs().map(|(before, after)| of(after) - of(before));
            differences.map(|it| float(it) / seconds).collect()
        };
        let bytes = share(bytes);
        let datagrams = share(|it| it.datagrams_in + it.datagrams_out);
        Self {
            bytes: bytes.iter().sum::<f64>() / hosts,
            most_bytes: bytes.iter().copied().fold(0.0, f64::max),
            datagrams: datagrams.iter().sum::<f64>() / hosts,
            core: processor.as_secs_f64() / seconds / hosts,
            changes: f64::from(made) / seconds,
            unsent: after.iter().map(|it| it.datagrams_unsent).sum(),
        }
    }
}

/// How long news took to reach all; none if it did not.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    pub entry: Option<Duration>,
    pub revision: Option<Duration>,
    pub death: Option<Duration>,
    pub join: Option<Duration>,
    /// From the time that the host that joined is known until it has all entries.
    pub catch_up: Option<Duration>,
}

/// The figures of one size.
#[derive(Clone, Debug)]
pub struct Row {
    pub shape: Shape,
    pub settled: Duration,
    pub memory: u64,
    pub idle: Window,
    pub busy: Window,
    pub speeds: Vec<Speed>,
    pub false_deaths: usize,
}

fn span(times: impl Iterator<Item = Option<Duration>>) -> String {
    let times: Vec<Option<Duration>> = times.collect();
    let lost = times.iter().filter(|it| it.is_none()).count();
    let times: Vec<Duration> = times.into_iter().flatten().collect();
    let Some(most) = times.iter().max() else {
        return format!("none of {lost}");
    };
    let mean = times.iter().sum::<Duration>() / u32::try_from(times.len()).unwrap_or(1);
    let periods = most.as_secs_f64() / PERIOD.as_secs_f64();
    let mut text = format!(
        "mean {:.2} s, most {:.2} s ({periods:.1} periods)",
        mean.as_secs_f64(),
        most.as_secs_f64(),
    );
    if lost > 0 {
        text = format!("{text}, {lost} not seen by all");
    }
    text
}

fn print_window(name: &str, window: &Window) {
    println!(
        "  {name}: {:.2} KB/s ({:.2} at the busiest), {:.1} datagrams/s, {:.3}% of a core, \
         {:.1} changes/s in the fleet, {} datagrams unsent",
        window.bytes / KILOBYTE,
        window.most_bytes / KILOBYTE,
        window.datagrams,
        window.core * 100.0,
        window.changes,
        window.unsent,
    );
}

/// Prints the figures of one size.
pub fn print_row(row: &Row) {
    let Shape {
        hosts,
        domains,
        entries,
        entry_bytes,
        ..
    } = row.shape;
    println!("{hosts} hosts in {domains} domains, {entries} entries of {entry_bytes} bytes each");
    println!("  settled after {:.1} s", row.settled.as_secs_f64());
    println!(
        "  memory: {:.2} MB a host",
        float(row.memory) / float(hosts) / MEGABYTE
    );
    print_window("idle", &row.idle);
    print_window("busy", &row.busy);
    println!(
        "  entry known to all near: {}",
        span(row.speeds.iter().map(|it| it.entry))
    );
    println!(
        "  revision known to all: {}",
        span(row.speeds.iter().map(|it| it.revision))
    );
    println!(
        "  death known to all near: {}",
        span(row.speeds.iter().map(|it| it.death))
    );
    println!(
        "  join known to all near: {}",
        span(row.speeds.iter().map(|it| it.join))
    );
    println!(
        "  newcomer has all entries: {}",
        span(row.speeds.iter().map(|it| it.catch_up))
    );
    println!("  false deaths: {}", row.false_deaths);
}

/// The line through points by least squares, as its slope and its value at zero.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = float(points.len());
    let mean_x = points.iter().map(|it| it.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|it| it.1).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|it| (it.0 - mean_x).powi(2)).sum();
    let together = points.iter().map(|it| (it.0 - mean_x) * (it.1 - mean_y));
    let slope = together.sum::<f64>() / spread.max(f64::MIN_POSITIVE);
    (slope, mean_y - slope * mean_x)
}

/// How many hosts know each other in full.
fn near(shape: Shape) -> f64 {
    match shape.detail() {
        Detail::Fleet => float(shape.hosts),
        Detail::Domain => float(shape.hosts) / float(shape.domains),
    }
}

fn print_fit(name: &str, rows: &[Row], figure: impl Fn(&Row) -> f64) {
    let points = rows.iter().map(|it| (near(it.shape), figure(it)));
    let points: Vec<(f64, f64)> = points.collect();
    let (slope, start) = fit(&points);
    println!(
        "  {name}: {start:.4} + {slope:.6} a near host; {:.3} at {TARGET_NEAR} near hosts",
        start + slope * TARGET_NEAR,
    );
}

/// Prints the slopes over all sizes, and of the cost of one change.
pub fn print(rows: &[Row]) {
    println!("slopes, for one host:");
    for row in rows {
        let changes = row.busy.changes * near(row.shape) / float(row.shape.hosts);
        if changes > 0.0 {
            let bytes = (row.busy.bytes - row.idle.bytes) / changes;
            println!(
                "  {} hosts: {bytes:.1} bytes a change near the host",
                row.shape.hosts
            );
        }
    }
    if rows.len() < 2 {
        return;
    }
    print_fit("idle KB/s", rows, |it| it.idle.bytes / KILOBYTE);
    print_fit("busy KB/s", rows, |it| it.busy.bytes / KILOBYTE);
    print_fit("datagrams/s", rows, |it| it.idle.datagrams);
    print_fit("idle % of a core", rows, |it| it.idle.core * 100.0);
    print_fit("busy % of a core", rows, |it| it.busy.core * 100.0);
    print_fit("MB", rows, |it| {
        float(it.memory) / float(it.shape.hosts) / MEGABYTE
    });
}
