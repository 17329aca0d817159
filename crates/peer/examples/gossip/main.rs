//! Measures the control cost of gossip and calls on loopback sockets, with many hosts in one
//! process: `cargo run --release -p peer --example gossip -- --hosts 4,16,64,256`.

mod board;
mod calls;
mod cost;
mod fleet;
mod report;
mod stewards;

use std::{process::ExitCode, thread, time::Duration};

use argh::FromArgs;

use crate::{
    fleet::{Fleet, Shape},
    report::{Row, Speed},
};

/// Measures bytes, messages, processor time, memory and reaction times of hosts.
#[derive(FromArgs)]
struct Args {
    /// fleet sizes, separated by commas (default 4,16,64)
    #[argh(option, default = "String::from(\"4,16,64\")")]
    hosts: String,
    /// failure domains; by default 3 up to 64 hosts, and one for each 52 hosts above
    #[argh(option)]
    domains: Option<usize>,
    /// entries that each host publishes, one for each engine it is steward of (default 21)
    #[argh(option, default = "21")]
    entries: usize,
    /// size of an entry's value in bytes (default 240)
    #[argh(option, default = "240")]
    entry_bytes: usize,
    /// changed entries a second of each host in the second window (default 0.1)
    #[argh(option, default = "0.1")]
    changes: f64,
    /// up to this many hosts all know each other in full, beyond it those of a domain do
    /// (default 64)
    #[argh(option, default = "64")]
    full_detail: usize,
    /// seconds of each of the two windows (default 20)
    #[argh(option, default = "20")]
    window: u64,
    /// how often a death, a join, an entry and a revision are timed (default 3)
    #[argh(option, default = "3")]
    rounds: usize,
    /// calls to time between two hosts; 0 for none (default 20000)
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

fn measure(args: &Args, hosts: usize) -> Row {
    let by_size = if hosts <= 64 { 3 } else { hosts.div_ceil(52) };
    let shape = Shape {
        hosts,
        domains: args.domains.unwrap_or(by_size).min(hosts),
        entries: args.entries,
        entry_bytes: args.entry_bytes,
        full_detail: args.full_detail,
    };
    let window = Duration::from_secs(args.window);
    let before = cost::memory();
    let mut fleet = Fleet::start(shape);
    let settled = fleet.settle();
    let memory = cost::memory().saturating_sub(before);
    // Hosts compare versions more often after their start, which no window should see.
    thread::sleep(member::Settings::default().startup_sync_duration);
    let idle = fleet.observe(window, 0.0);
    let busy = fleet.observe(window, args.changes);
    let rounds = 0..args.rounds;
    let speeds = rounds.map(|_| speed(&mut fleet)).collect();
    let row = Row {
        shape,
        settled,
        memory,
        idle,
        busy,
        speeds,
        false_deaths: fleet.false_deaths(),
    };
    report::print_row(&row);
    fleet.stop();
    row
}

fn speed(fleet: &mut Fleet) -> Speed {
    Speed {
        entry: fleet.time_entry(),
        revision: fleet.time_revision(),
        death: fleet.time_death(),
        join: fleet.time_join(),
        catch_up: fleet.time_catch_up(),
    }
}
