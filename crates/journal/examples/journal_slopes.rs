//! Measures the cost of calls with idempotency keys for a host, for several numbers of calls and
//! group sizes: `cargo run --release -p journal --example journal_slopes`.

use std::time::{Duration, Instant};

use journal::{
    Outcome, Scope, Shard,
    record::{Attempt, Event, Moment},
    scope::Digest,
    segment::Number,
    shard::{Listing, Step, Verdict},
};
use kernel::permit::Holder;

/// The numbers of calls.
const CALL_COUNTS: [usize; 3] = [10_000, 50_000, 200_000];

/// The numbers of calls that start together and can share a write.
const GROUP_SIZES: [usize; 3] = [1, 10, 100];

/// The size of an answer's body.
const BODY_BYTES: usize = 100;

/// The size of a memory page.
const PAGE_BYTES: usize = 4096;

/// The total cost of all calls.
#[derive(Default)]
struct Cost {
    writes: usize,
    bytes: usize,
}

fn main() {
    println!("calls   group  writes_per_call  bytes_per_call  us_per_call  memory_per_key");
    for call_count in CALL_COUNTS {
        for group_size in GROUP_SIZES {
            print_row(call_count, group_size);
        }
    }
}

/// Runs `call_count` calls in groups of `group_size` and prints the cost.
fn print_row(call_count: usize, group_size: usize) {
    let before = resident_bytes();
    let host = "entry-1".parse().expect("the name is valid");
    let mut shard = Shard::new(Holder {
        host,
        incarnation: 1,
    });
    let mut cost = Cost::default();
    let start = Instant::now();
    for first in (0..call_count).step_by(group_size) {
        let keys: Vec<Digest> = (first..first + group_size).map(digest).collect();
        run_calls(&mut shard, &keys, &mut cost);
    }
    let elapsed = start.elapsed();
    let memory = resident_bytes().saturating_sub(before);
    let per_call = |it: usize| {
        let total = u32::try_from(it).map_or(f64::NAN, f64::from);
        total / u32::try_from(call_count).map_or(f64::NAN, f64::from)
    };
    println!(
        "{call_count:6}  {group_size:5}  {:15.2}  {:14.0}  {:11.1}  {:14.0}",
        per_call(cost.writes),
        per_call(cost.bytes),
        elapsed.as_secs_f64() * 1e6 / u32::try_from(call_count).map_or(f64::NAN, f64::from),
        per_call(memory),
    );
    assert_eq!(shard.key_count(), call_count);
}

/// Starts all calls and then ends all of them.
fn run_calls(shard: &mut Shard, keys: &[Digest], cost: &mut Cost) {
    let now = Moment(0);
    let run_by = now.saturating_add(Duration::from_secs(5));
    let begin = |key: &Digest| (*key, shard.begin(*key, *key, run_by, now));
    let tickets: Vec<_> = keys.iter().map(begin).collect();
    run_io(shard, now, cost);
    let mut attempts: Vec<(Digest, Attempt)> = Vec::new();
    for (key, ticket) in tickets {
        if let Some(Verdict::First(attempt)) = shard.take_verdict(ticket) {
            attempts.push((key, attempt));
        }
    }
    for (key, attempt) in attempts {
        let outcome = Outcome::new(200, Vec::new(), &[b'x'; BODY_BYTES]);
        shard.end(key, &attempt, Event::Finished { outcome });
    }
    run_io(shard, now, cost);
}

/// Performs I/O operations until there are none left. The shard is empty, and all writes succeed.
fn run_io(shard: &mut Shard, now: Moment, cost: &mut Cost) {
    loop {
        match shard.next_step(now) {
            Step::Idle => return,
            Step::ReadFloor => shard.on_floor_read(Number(0)),
            Step::List { .. } => shard
                .on_listed(&[], Listing::Complete, now)
                .expect("the shard is empty"),
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
        service: "barrier".parse().expect("the name is valid"),
        tenant: "mall".parse().expect("the name is valid"),
        key: format!("k{number}").parse().expect("the key is valid"),
    };
    scope.digest()
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|it| it.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
