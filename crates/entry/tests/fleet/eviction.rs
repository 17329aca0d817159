//! An adapter is never evicted while a request uses it, not even on an engine that would obey the
//! order.

use std::thread::{self, JoinHandle};

use standin::{
    engine::{FencingPolicy, Pace, Switch, UnloadPolicy},
    fleet::Shape,
};

use crate::fixture::{
    Delivery, Fixture, TOKENS, chat_request, chat_request_within, check_stream, shape, wait_until,
};

const REFERENCE: &str = "signs/bay-summary@7";

/// One engine with two slots, so that other adapters need the slot of the running one.
fn two_slot_shape(fencing: FencingPolicy) -> Shape {
    let mut shape = shape();
    shape.engines = 1;
    shape.engine.slots = 2;
    shape.engine.fencing = fencing;
    shape
}

fn request_other_adapter(it: &Fixture, entry: usize, number: usize) {
    let reference = format!("signs/car-park-{number:02}@1");
    let request = chat_request_within(&reference, &reference, Delivery::Whole, "1500");
    // The response does not matter: on a halted engine the request cannot finish before its
    // deadline. The test checks that it does not evict the running adapter.
    let _ = request.send(it.entry(entry).address());
}

/// A request on a halted engine, sent through a host that is not the engine's steward.
struct RunningRequest {
    fixture: Fixture,
    steward: usize,
    other: usize,
    reader: JoinHandle<()>,
}

impl RunningRequest {
    fn start(fencing: FencingPolicy) -> Self {
        let fixture = Fixture::start(&two_slot_shape(fencing));
        let engine = &fixture.fleet.engines()[0];
        engine.set(&Switch::Pace(Pace::Stepped)).unwrap();
        engine.set(&Switch::Unload(UnloadPolicy::Obey)).unwrap();
        let steward = fixture.index_of(&fixture.steward(0, &engine.name).unwrap());
        let other = (steward + 1) % fixture.fleet.entries().len();
        let request = chat_request("pinned", REFERENCE, Delivery::Streamed);
        let address = fixture.entry(other).address();
        let reader = thread::spawn(move || {
            check_stream(request.stream(address).unwrap(), REFERENCE);
        });
        wait_until("the request runs", || !fixture.runs("pinned").is_empty());
        Self {
            fixture,
            steward,
            other,
            reader,
        }
    }

    fn wait_for_takeover(&self) {
        let it = &self.fixture;
        let engine = &it.fleet.engines()[0];
        let old = &it.entry(self.steward).name;
        wait_until("another host is steward", || {
            let steward = it.steward(self.other, &engine.name);
            steward.is_some_and(|it| it != *old)
        });
    }

    /// Lets the request finish and checks that no eviction aborted it.
    fn finish(self) {
        let engine = &self.fixture.fleet.engines()[0];
        engine.set(&Switch::Pace(Pace::Timed)).unwrap();
        engine.set(&Switch::Step(TOKENS)).unwrap();
        self.reader.join().unwrap();
        assert_eq!(self.fixture.engine_counts()[0].ended_by_unload, 0);
    }
}

fn check_paused_steward(fencing: FencingPolicy) {
    let running = RunningRequest::start(fencing);
    let (it, old, other) = (&running.fixture, running.steward, running.other);
    it.set_engines(&Switch::Step(2));
    it.entry(old).process().pause();
    running.wait_for_takeover();
    for number in 1..4 {
        request_other_adapter(it, other, number);
    }
    // The previous steward still considers itself the steward.
    it.entry(old).process().resume();
    for number in 4..8 {
        request_other_adapter(it, old, number);
        request_other_adapter(it, other, number);
    }
    running.finish();
}

/// Covers: two hosts that both consider themselves steward, on an engine that checks fencing
/// tokens.
#[test]
fn paused_steward_on_an_engine_that_checks_fences() {
    check_paused_steward(FencingPolicy::Checked);
}

/// Covers: the same on an engine that obeys every order.
#[test]
fn paused_steward_on_an_engine_that_obeys_every_order() {
    check_paused_steward(FencingPolicy::Ignored);
}

/// Covers: the steward is killed while a permit is in use, and another host claims the engine.
#[test]
fn killed_steward_leaves_the_running_request_alone() {
    let running = RunningRequest::start(FencingPolicy::Ignored);
    running.fixture.entry(running.steward).process().kill();
    running.wait_for_takeover();
    for number in 1..6 {
        request_other_adapter(&running.fixture, running.other, number);
    }
    running.finish();
}
