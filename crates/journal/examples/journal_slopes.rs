//! Prints what keyed calls cost a host, by their number and by how many share a write:
//! `cargo run --release -p journal --example journal_slopes`.

use std::time::{Duration, Instant};

use journal::{
    Outcome, Scope, Shard,
    record::{Attempt, Event, Moment},
    scope::Digest,
    segment::Number,
    shard::{Listing, Step, Verdict},
};
use kernel::permit::Holder;

/// Numbers of calls.
const SIZES: [usize; 3] = [10_000, 50_000, 200_000];

/// Calls that begin together.
const GROUPS: [usize; 3] = [1, 10, 100];

/// Bytes of an answer's body.
const BODY_BYTES: usize = 100;

/// Bytes of a page of memory.
const PAGE_BYTES: usize = 4096;

/// The sums over a run.
#[derive(Default)]
struct Cost {
    writes: usize,
    bytes: usize,
}

fn main() {
    println!("calls   group  writes_per_call  bytes_per_call  us_per_call  memory_per_key");
    for size in SIZES {
        for group in GROUPS {
            row(size, group);
        }
    }
}

fn row(size: usize, group: usize) {
    let before = resident();
    let host = "entry-1".parse().expect("a name");
    let mut shard = Shard::new(Holder {
        host,
        incarnation: 1,
    });
    let mut cost = Cost::default();
    let start = Instant::now();
    for first in (0..size).step_by(group) {
        let keys: Vec<Digest> = (first..first + group).map(digest).collect();
        calls(&mut shard, &keys, &mut cost);
    }
    let elapsed = start.elapsed();
    let memory = resident().saturating_sub(before);
    let per_call = |it: usize| {
        let sum = u32::try_from(it).map_or(f64::NAN, f64::from);
        sum / u32::try_from(size).map_or(f64::NAN, f64::from)
    };
    println!(
        "{size:6}  {group:5}  {:15.2}  {:14.0}  {:11.1}  {:14.0}",
        per_call(cost.writes),
        per_call(cost.bytes),
        elapsed.as_secs_f64() * 1e6 / u32::try_from(size).map_or(f64::NAN, f64::from),
        per_call(memory),
    );
    assert_eq!(shard.key_count(), size);
}

/// Begins calls together and ends them together.
fn calls(shard: &mut Shard, keys: &[Digest], cost: &mut Cost) {
    let now = Moment(0);
    let run_by = now.saturating_add(Duration::from_secs(5));
    let begin = |key: &Digest| (*key, shard.begin(*key, *key, run_by, now));
    let tickets: Vec<_> = keys.iter().map(begin).collect();
    drive(shard, now, cost);
    let mut starts: Vec<(Digest, Attempt)> = Vec::new();
    for (key, ticket) in tickets {
        if let Some(Verdict::First(start)) = shard.take_verdict(ticket) {
            starts.push((key, start));
        }
    }
    for (key, start) in starts {
        let outcome = Outcome::new(200, Vec::new(), &[b'x'; BODY_BYTES]);
        shard.end(key, &start, Event::Finished { outcome });
    }
    drive(shard, now, cost);
}

fn drive(shard: &mut Shard, now: Moment, cost: &mut Cost) {
    loop {
        match shard.next_step(now) {
            Step::Idle => return,
            Step::ReadFloor => shard.on_floor_read(Number(0)),
            Step::List { .. } => shard
                .on_listed(&[], Listing::Complete, now)
                .expect("nothing to read"),
            Step::Get { segment } => shard.on_segment_read(segment, None),
            Step::Write { bytes, .. } => {
                cost.writes += 1;
                cost.bytes += bytes.len();
                shard.on_written(now);
            }
        }
    }
}

fn digest(number: usize) -> Digest {
    let scope = Scope {
        service: "barrier".parse().expect("a name"),
        tenant: "mall".parse().expect("a name"),
        key: format!("k{number}").parse().expect("a key"),
    };
    scope.digest()
}

/// Resident memory of this process in bytes.
fn resident() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|it| it.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
