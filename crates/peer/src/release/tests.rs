//! Tests of the release queues.

use kernel::{
    name::Host,
    permit::{Number, Outcome},
};
use wire::call::Release;

use super::{Added, MAX_BATCH, Queues};

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

/// A batch stays queued until it is acknowledged; releases behind it, and those added after it was
/// read, stay queued in order.
#[test]
fn releases_stay_queued_until_acknowledged() {
    let queues = Queues::new(1000);
    for number in 0..100 {
        assert_eq!(queues.add(host(), release(number)), Added::Queued);
    }
    let batch = queues.batch(&host());
    assert_eq!(batch, queues.batch(&host()));
    assert_eq!(batch.len(), MAX_BATCH);
    queues.add(host(), release(100));
    queues.acknowledge(&host(), &batch);
    let rest = queues.batch(&host());
    assert_eq!(numbers(&rest), (64..=100).collect::<Vec<u64>>());
    queues.acknowledge(&host(), &rest);
    assert_eq!(queues.hosts(), Vec::<Host>::new());
}

/// A full queue drops its oldest release. Acknowledging a batch that still contains the dropped
/// release removes no release that is not in the batch.
#[test]
fn a_full_queue_drops_its_oldest_release() {
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
