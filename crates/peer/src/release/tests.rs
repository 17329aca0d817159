//! Queues of releases.

use kernel::{
    name::Host,
    permit::{Number, Outcome},
};
use wire::call::Release;

use super::{Added, BATCH, Queues};

fn host() -> Host {
    "a".parse().unwrap()
}

fn release(number: u64) -> Release {
    Release {
        engine: "engine-1".parse().unwrap(),
        fence: 1,
        number: Number(number),
        outcome: Outcome::Completed,
    }
}

fn numbers(batch: &[Release]) -> Vec<u64> {
    batch.iter().map(|it| it.number.0).collect()
}

/// A release stays until it is acknowledged, and those that came meanwhile stay after it.
#[test]
fn releases_wait_for_their_acknowledgement() {
    let queues = Queues::new(1000);
    for number in 0..100 {
        assert_eq!(queues.add(host(), release(number)), Added::Queued);
    }
    let batch = queues.batch(&host());
    assert_eq!(batch, queues.batch(&host()));
    assert_eq!(batch.len(), BATCH);
    queues.add(host(), release(100));
    queues.acknowledge(&host(), &batch);
    let rest = queues.batch(&host());
    assert_eq!(numbers(&rest), (64..=100).collect::<Vec<u64>>());
    queues.acknowledge(&host(), &rest);
    assert_eq!(queues.hosts(), Vec::<Host>::new());
}

/// A queue is bounded: the oldest release makes room, and no other is lost with it when the batch
/// that held it is acknowledged.
#[test]
fn the_oldest_makes_room() {
    let queues = Queues::new(3);
    for number in 0..3 {
        queues.add(host(), release(number));
    }
    let batch = queues.batch(&host());
    assert_eq!(queues.add(host(), release(3)), Added::Displaced);
    queues.acknowledge(&host(), &batch);
    assert_eq!(numbers(&queues.batch(&host())), [3]);
    assert_eq!(queues.clear(&host()), 1);
}
