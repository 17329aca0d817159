//! An adapter that serves a request is never evicted while the request runs, not even on an engine
//! that would obey the order.

use std::thread;

use standin::{
    engine::{Orders, Pace, Switch, Unload},
    fleet::Shape,
};

use crate::fixture::{Delivery, Fixture, TOKENS, chat, chat_within, check_stream, shape, wait};

const REFERENCE: &str = "signs/bay-summary@7";

/// One engine with two slots, so that every other adapter needs the slot of a running one.
fn small(fencing: Orders) -> Shape {
    let mut shape = shape();
    shape.engines = 1;
    shape.engine.slots = 2;
    shape.engine.fencing = fencing;
    shape
}

fn ask(it: &Fixture, entry: usize, number: usize) {
    let reference = format!("signs/car-park-{number:02}@1");
    let request = chat_within(&reference, &reference, Delivery::Whole, "1500");
    // These get a slot or not, and can't end before their deadline on an engine that stands still;
    // what matters is what they do not evict.
    let _ = request.send(it.entry(entry).address());
}

fn check_frozen_steward(fencing: Orders) {
    let it = Fixture::start(&small(fencing));
    let engine = &it.fleet.engines()[0];
    engine.set(&Switch::Pace(Pace::Stepped)).unwrap();
    engine.set(&Switch::Unload(Unload::Obey)).unwrap();
    let old = it.index_of(&it.steward(0, &engine.name).unwrap());
    let other = (old + 1) % it.fleet.entries().len();
    let request = chat("pinned", REFERENCE, Delivery::Streamed);
    let reader = {
        let address = it.entry(other).address();
        thread::spawn(move || {
            request
                .stream(address)
                .map(|it| check_stream(it, REFERENCE))
        })
    };
    wait("the request runs", || !it.runs("pinned").is_empty());
    engine.set(&Switch::Step(2)).unwrap();

    it.entry(old).process().pause();
    wait("another host is steward", || {
        let steward = it.steward(other, &engine.name);
        steward.is_some_and(|it_is| it_is != it.entry(old).name)
    });
    for number in 1..4 {
        ask(&it, other, number);
    }
    // The old steward still believes that the engine is its own.
    it.entry(old).process().resume();
    for number in 4..8 {
        ask(&it, old, number);
        ask(&it, other, number);
    }
    engine.set(&Switch::Pace(Pace::Timed)).unwrap();
    engine.set(&Switch::Step(TOKENS)).unwrap();
    reader.join().unwrap().unwrap();
    let counts = it.engine_counts();
    assert_eq!(counts[0].ended_by_unload, 0);
}

/// Covers: two hosts that both believe to be steward, on an engine that checks fencing numbers.
#[test]
fn frozen_steward_on_an_engine_that_checks() {
    check_frozen_steward(Orders::Checked);
}

/// Covers: the same on an engine that obeys every order.
#[test]
fn frozen_steward_on_an_engine_that_obeys() {
    check_frozen_steward(Orders::Ignored);
}

/// Covers: the steward is killed with a permit outstanding, and its place is taken.
#[test]
fn killed_steward_leaves_the_running_request_alone() {
    let it = Fixture::start(&small(Orders::Ignored));
    let engine = &it.fleet.engines()[0];
    engine.set(&Switch::Pace(Pace::Stepped)).unwrap();
    engine.set(&Switch::Unload(Unload::Obey)).unwrap();
    let old = it.index_of(&it.steward(0, &engine.name).unwrap());
    let other = (old + 1) % it.fleet.entries().len();
    let request = chat("orphan", REFERENCE, Delivery::Streamed);
    let reader = {
        let address = it.entry(other).address();
        thread::spawn(move || {
            request
                .stream(address)
                .map(|it| check_stream(it, REFERENCE))
        })
    };
    wait("the request runs", || !it.runs("orphan").is_empty());
    it.entry(old).process().kill();
    wait("another host is steward", || {
        let steward = it.steward(other, &engine.name);
        steward.is_some_and(|it_is| it_is != it.entry(old).name)
    });
    for number in 1..6 {
        ask(&it, other, number);
    }
    engine.set(&Switch::Pace(Pace::Timed)).unwrap();
    engine.set(&Switch::Step(TOKENS)).unwrap();
    reader.join().unwrap().unwrap();
    assert_eq!(it.engine_counts()[0].ended_by_unload, 0);
}
