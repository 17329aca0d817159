//! Load on gateway hosts whose instances of a plain service send responses twice, or close the connections that the
//! hosts keep. The hosts are real processes, and the promises to callers are checked from what callers and instances
//! observed. See `docs/SOAK.md` for usage.

mod caller;
mod check;
#[allow(dead_code, reason = "the rest is used by the soak test")]
#[path = "../soak/host.rs"]
mod host;
mod instance;
mod load;
mod logs;
/// The stand-in of the platform's store, shared with the tests of `platform`.
#[allow(dead_code, reason = "the rest is used by the tests of `platform`")]
#[path = "../../../../platform/tests/it"]
mod platform_tests {
    pub mod world;
}

use std::time::Duration;

use instance::Connections;
use load::Load;
use platform_tests::world;

/// The seed that runs in every build.
const SEED: u64 = 26;

/// Duration of the load in every build.
const LOAD_TIME: Duration = Duration::from_secs(8);

fn variable(name: &str) -> Option<u64> {
    let text = std::env::var(name).ok()?;
    Some(text.parse().expect("the variable is a number"))
}

/// Runs a load. The tests run at the same time, and the seed of a run names the files of its hosts.
fn run(seed_offset: u64, connections: Connections) -> Load {
    let seed = variable("LATE_COPIES_SEED").unwrap_or(SEED) + seed_offset;
    let time = variable("LATE_COPIES_SECONDS").map_or(LOAD_TIME, Duration::from_secs);
    Load::run(seed, time, connections)
}

/// Instances sent refusals again where the next response was expected, and requests that ran were answered as not
/// run.
#[test]
fn late_copies_of_responses_refuse_no_request_that_runs() {
    let load = run(0, Connections::SendCopies);
    let copies: usize = load.instances.iter().map(|it| it.records().copies).sum();
    assert!(copies > 0);
    check::assert_promises_kept(&load);
}

/// A request counts as not sent only if no byte of it was written.
#[test]
fn requests_on_closing_connections_that_count_as_not_sent_reach_no_instance() {
    let load = run(1, Connections::Close);
    let excess = logs::find_excess_arrivals(&load);
    assert!(excess.is_empty(), "{}", excess.join("\n"));
    check::assert_promises_kept(&load);
}
