//! Tests of the state shared between threads.

use kernel::permit::{Number, Outcome};
use wire::call::Release;

use super::Shared;
use crate::release::Queues;

/// Whoever queues a release, also for a permit that came too late to be used, one that is displaced is counted.
#[test]
fn displaced_releases_are_counted() {
    let shared = Shared::new(Queues::new(2));
    for number in 0..5 {
        let release = Release {
            engine: "engine-1".parse().unwrap(),
            fence: 1,
            number: Number(number),
            outcome: Outcome::Unused,
        };
        shared.queue_release("a".parse().unwrap(), release);
    }
    assert_eq!(shared.counters.totals().releases_dropped, 3);
}
