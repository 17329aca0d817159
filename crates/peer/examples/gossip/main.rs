//! Measures the resource usage of gossip and calls on loopback sockets, with many hosts in one
//! process: `cargo run --release -p peer --example gossip -- --hosts 4,16,64,256`.

mod calls;
mod fleet;
mod report;
mod stewards;
mod tracker;
mod usage;

use std::{process::ExitCode, thread, time::Duration};

use argh::FromArgs;

use crate::{
    fleet::{Fleet, Shape},
    report::{Row, Timings},
};

/// Measures traffic, CPU time, memory and propagation times of hosts.
#[derive(FromArgs)]
struct Args {
    /// fleet sizes, separated by commas (default 4,16,64)
    #[argh(option, default = "String::from(\"4,16,64\")")]
    hosts: String,
    /// number of failure domains (default 3 for up to 64 hosts, and one per 52 hosts above)
    #[argh(option)]
    domains: Option<usize>,
    /// number of entries that each host publishes, one per engine that it is the steward of (default
    /// 21)
    #[argh(option, default = "21")]
    entries: usize,
    /// size of an entry's value in bytes (default 240)
    #[argh(option, default = "240")]
    entry_bytes: usize,
    /// changed entries per second and host in the second window (default 0.1)
    #[argh(option, default = "0.1")]
    changes: f64,
    /// maximum fleet size at which all hosts track each other fully; in larger fleets only the hosts
    /// of the same failure domain do (default 64)
    #[argh(option, default = "64")]
    full_detail: usize,
    /// duration in seconds of each of the two windows (default 20)
    #[argh(option, default = "20")]
    window: u64,
    /// number of times that a host failure, a join, an entry and a revision are timed (default 3)
    #[argh(option, default = "3")]
    rounds: usize,
    /// number of permit requests to time between two hosts, 0 for none (default 20000)
    #[argh(option, default = "20000")]
    calls: usize,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let sizes: Result<Vec<usize>, _> = args.hosts.split(',').map(str::parse).collect();
    let Ok(sizes) = sizes else {
        eprintln!("--hosts takes whole numbers separated by commas");
        return ExitCode::from(2);
    };
    let mut rows = Vec::new();
    for hosts in sizes {
        rows.push(measure(&args, hosts));
    }
    report::print(&rows);
    if args.calls > 0 {
        calls::measure(args.calls);
        stewards::measure();
    }
    ExitCode::SUCCESS
}

/// Measures a fleet of the given size.
fn measure(args: &Args, hosts: usize) -> Row {
    let default_domains = if hosts <= 64 { 3 } else { hosts.div_ceil(52) };
    let shape = Shape {
        hosts,
        domains: args.domains.unwrap_or(default_domains).min(hosts),
        entries_per_host: args.entries,
        entry_bytes: args.entry_bytes,
        max_full_detail_hosts: args.full_detail,
    };
    let window = Duration::from_secs(args.window);
    let before = usage::resident_bytes();
    let mut fleet = Fleet::start(shape);
    let sync_time = fleet.wait_until_synced();
    let memory_bytes = usage::resident_bytes().saturating_sub(before);
    // After their start, hosts compare versions more often, which would distort the windows.
    thread::sleep(member::Settings::default().startup_sync_duration);
    let idle = fleet.measure_window(window, 0.0);
    let busy = fleet.measure_window(window, args.changes);
    let rounds = 0..args.rounds;
    let timings = rounds.map(|_| measure_timings(&mut fleet)).collect();
    let row = Row {
        shape,
        sync_time,
        memory_bytes,
        idle,
        busy,
        timings,
        false_down_reports: fleet.false_down_reports(),
    };
    report::print_row(&row);
    fleet.stop();
    row
}

fn measure_timings(fleet: &mut Fleet) -> Timings {
    Timings {
        entry: fleet.time_entry(),
        revision: fleet.time_revision(),
        failure: fleet.time_failure(),
        join: fleet.time_join(),
        initial_sync: fleet.time_initial_sync(),
    }
}
