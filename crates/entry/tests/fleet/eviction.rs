//! An adapter that serves a request is never evicted while the request runs, not even on an engine
//! that would obey the order.

use std::thread::{self, JoinHandle};

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

/// A request that runs on an engine that stands still, through a host that is not its steward.
struct Pinned {
    fixture: Fixture,
    steward: usize,
    other: usize,
    reader: JoinHandle<()>,
}

impl Pinned {
    fn start(fencing: Orders) -> Self {
        let fixture = Fixture::start(&small(fencing));
        let engine = &fixture.fleet.engines()[0];
        engine.set(&Switch::Pace(Pace::Stepped)).unwrap();
        engine.set(&Switch::Unload(Unload::Obey)).unwrap();
        let steward = fixture.index_of(&fixture.steward(0, &engine.name).unwrap());
        let other = (steward + 1) % fixture.fleet.entries().len();
        let request = chat("pinned", REFERENCE, Delivery::Streamed);
        let address = fixture.entry(other).address();
        let reader = thread::spawn(move || {
            check_stream(request.stream(address).unwrap(), REFERENCE);
        });
        wait("the request runs", || !fixture.runs("pinned").is_empty());
        Self {
            fixture,
            steward,
            other,
            reader,
        }
    }

    fn wait_taken(&self) {
        let it = &self.fixture;
        let engine = &it.fleet.engines()[0];
        let old = &it.entry(self.steward).name;
        wait("another host is steward", || {
            let steward = it.steward(self.other, &engine.name);
            steward.is_some_and(|it| it != *old)
        });
    }

    /// Lets the request end, and checks that nothing has cut it.
    fn finish(self) {
        let engine = &self.fixture.fleet.engines()[0];
        engine.set(&Switch::Pace(Pace::Timed)).unwrap();
        engine.set(&Switch::Step(TOKENS)).unwrap();
        self.reader.join().unwrap();
        assert_eq!(self.fixture.engine_counts()[0].ended_by_unload, 0);
    }
}

fn check_frozen_steward(fencing: Orders) {
    let pinned = Pinned::start(fencing);
    let (it, old, other) = (&pinned.fixture, pinned.steward, pinned.other);
    it.set_engines(&Switch::Step(2));
    it.entry(old).process().pause();
    pinned.wait_taken();
    for number in 1..4 {
        ask(it, other, number);
    }
    // The old steward still believes that the engine is its own.
    it.entry(old).process().resume();
    for number in 4..8 {
        ask(it, old, number);
        ask(it, other, number);
    }
    pinned.finish();
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
    let pinned = Pinned::start(Orders::Ignored);
    pinned.fixture.entry(pinned.steward).process().kill();
    pinned.wait_taken();
    for number in 1..6 {
        ask(&pinned.fixture, pinned.other, number);
    }
    pinned.finish();
}
