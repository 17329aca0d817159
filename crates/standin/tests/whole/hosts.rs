//! Hosts that are cut off, killed, stopped and shut down.

use std::time::Duration;

use standin::{
    engine::{FencingPolicy, Pace, Settings, Switch, UnloadPolicy},
    fleet::{Entry, Shape, process::WaitOutcome},
    link, plain,
};

use crate::support::{
    Form, REFERENCE, ask, check, engine_counts, expect_answer, open, opening, read, ready, request,
    runs, set_engines, set_links, set_plains, shape, status, success, taken, until, whole,
};

// Cut off from the platform, every host answers model requests as before; a keyed call is refused
// and has not run, and runs once when the platform is back.
#[test]
fn model_requests_outlive_the_platform() {
    check(&shape(), |fleet| {
        for entry in fleet.entries() {
            expect_answer(entry);
        }
        set_links(fleet, link::Mode::Closed);
        for entry in fleet.entries() {
            expect_answer(entry);
        }
        let refused = open(fleet.entry(0), "k1");
        assert_eq!(
            refused.json()["error"]["ran"],
            "not-run",
            "{}",
            refused.text()
        );
        assert_eq!(runs(fleet, "k1"), 0);
        set_links(fleet, link::Mode::Open);
        until("a keyed call", || success(&open(fleet.entry(0), "k1")));
        assert_eq!(open(fleet.entry(1), "k1").status, 200);
        assert_eq!(runs(fleet, "k1"), 1);
    });
}

// After one host was killed, all others answer; it answers again after its restart.
#[test]
fn a_killed_host_is_replaced() {
    check(&shape(), |fleet| {
        fleet.entry(0).process().kill();
        for entry in &fleet.entries()[1..] {
            until(&entry.name, || success(&ask(entry)));
            expect_answer(entry);
        }
        fleet.restart(0).unwrap();
        until("readiness", || ready(fleet.entry(0)));
        until("an answer", || success(&ask(fleet.entry(0))));
        expect_answer(fleet.entry(0));
    });
}

// Told to shut down, every host ends by itself and well.
#[test]
fn hosts_shut_down_well() {
    check(&shape(), |fleet| {
        for (name, ended) in fleet.shut_down(Duration::from_mins(1)) {
            let well = matches!(ended, WaitOutcome::Exited(status) if status.success());
            assert!(well, "{name}: {ended:?}");
        }
    });
}

// A host that shuts down ends the stream that it serves, whole, and only then itself.
#[test]
fn a_shutdown_cuts_no_stream() {
    check(&shape(), |fleet| {
        set_engines(fleet, &Switch::Pace(Pace::Stepped));
        let entry = fleet.entry(0);
        std::thread::scope(|scope| {
            let streamed = scope.spawn(|| {
                let request = request(REFERENCE, Form::Stream);
                read(request.stream(entry.address()).unwrap())
            });
            until("a running stream", || match taken(fleet) {
                0 => Err("none".to_owned()),
                _ => Ok(()),
            });
            entry.process().terminate();
            until("leaving", || match ready(entry) {
                Ok(()) => Err("ready".to_owned()),
                Err(_) => Ok(()),
            });
            set_engines(fleet, &Switch::Step(8));
            assert_eq!(streamed.join().unwrap(), whole(REFERENCE));
        });
        let ended = entry.process().wait(Duration::from_mins(1));
        assert!(
            matches!(ended, WaitOutcome::Exited(it) if it.success()),
            "{ended:?}"
        );
    });
}

// A host that stands still keeps no other from answering, and answers again when it goes on.
#[test]
fn a_stopped_host_goes_on() {
    check(&shape(), |fleet| {
        fleet.entry(0).process().pause();
        for entry in &fleet.entries()[1..] {
            until(&entry.name, || success(&ask(entry)));
            expect_answer(entry);
        }
        fleet.entry(0).process().resume();
        until("an answer", || success(&ask(fleet.entry(0))));
        expect_answer(fleet.entry(0));
    });
}

// A host is killed while a keyed call runs. Nobody can know its outcome, so it is never made again.
#[test]
fn a_keyed_call_outlives_its_host() {
    check(&shape(), |fleet| {
        set_plains(fleet, plain::Switch::DelayMs(500));
        let entry = fleet.entry(0);
        std::thread::scope(|scope| {
            scope.spawn(|| {
                // The host is killed, so that no answer comes.
                let _ = opening("k1").send(entry.address());
            });
            until("a call", || {
                let calls = fleet.plains().iter();
                let calls = calls.map(|it| it.counts::<plain::Counts>().unwrap().calls);
                match calls.sum() {
                    0_u64 => Err("none".to_owned()),
                    _ => Ok(()),
                }
            });
            entry.process().kill();
        });
        for entry in &fleet.entries()[1..] {
            let repeated = open(entry, "k1");
            assert_ne!(
                repeated.json()["error"]["ran"],
                "not-run",
                "{}",
                repeated.text()
            );
        }
        until("the end of the run", || match runs(fleet, "k1") {
            0 => Err("it runs".to_owned()),
            _ => Ok(()),
        });
        assert_eq!(runs(fleet, "k1"), 1);
    });
}

// A steward is stopped and another host takes its engine over, an engine that obeys every order.
// When the first goes on, it ends nothing that runs there, whether it has learned of its loss by
// then or not.
#[test]
fn a_stopped_steward_ends_nothing() {
    let obedient = Shape {
        engines: 1,
        engine: Settings {
            slots: 1,
            fencing: FencingPolicy::Ignored,
            ..Settings::default()
        },
        ..shape()
    };
    check(&obedient, |fleet| {
        set_engines(fleet, &Switch::Unload(UnloadPolicy::Obey));
        let steward = |entry: &Entry| status(entry)["engines"][0]["steward"].clone();
        let name = steward(fleet.entry(0));
        let (old, others): (Vec<&Entry>, Vec<&Entry>) =
            fleet.entries().iter().partition(|it| name == it.name);
        until("an answer", || success(&ask(old[0])));
        old[0].process().pause();
        until("a new steward", || match steward(others[0]) {
            it if it == name || it.is_null() => Err(it.to_string()),
            _ => Ok(()),
        });
        until("an answer of the new steward", || success(&ask(others[0])));
        set_engines(fleet, &Switch::Pace(Pace::Stepped));
        let before = taken(fleet);
        std::thread::scope(|scope| {
            let streamed = scope.spawn(|| {
                let request = request(REFERENCE, Form::Stream).with("x-deadline-ms", "60000");
                read(request.stream(others[0].address()).unwrap())
            });
            until("a running stream", || match taken(fleet) {
                it if it == before => Err("none".to_owned()),
                _ => Ok(()),
            });
            old[0].process().resume();
            // The old steward wants the slot for another adapter.
            let other = request("signs/bay-summary@6", Form::Whole).with("x-deadline-ms", "1000");
            other.send(old[0].address()).unwrap();
            set_engines(fleet, &Switch::Step(8));
            assert_eq!(streamed.join().unwrap(), whole(REFERENCE));
        });
        assert_eq!(engine_counts(fleet)[0].ended_by_unload, 0);
        set_engines(fleet, &Switch::Pace(Pace::Timed));
        until("an answer", || success(&ask(old[0])));
    });
}
