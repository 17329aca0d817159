//! Faults of entry hosts: lost platform connection, kills, pauses and shutdowns.

use std::time::Duration;

use standin::{
    engine::{FencingPolicy, Pace, Settings, Switch, UnloadPolicy},
    fleet::{Entry, Shape, process::WaitOutcome},
    link, plain,
};

use crate::support::{
    Delivery, REFERENCE, check_ready, check_success, complete_stream, count_accepted, count_runs,
    engine_counts, expect_answer, keyed_request, read_status, read_stream, request, send_keyed,
    send_request, set_engines, set_links, set_plains, small_shape, wait_until, with_fleet,
};

// Without a connection to the platform, all hosts serve model requests as before. A keyed call is
// refused without running, and runs once after the connection is restored.
#[test]
fn model_requests_survive_a_platform_outage() {
    with_fleet(&small_shape(), |fleet| {
        for entry in fleet.entries() {
            expect_answer(entry);
        }
        set_links(fleet, link::Mode::Closed);
        for entry in fleet.entries() {
            expect_answer(entry);
        }
        let refused = send_keyed(fleet.entry(0), "k1");
        assert_eq!(
            refused.json()["error"]["ran"],
            "not-run",
            "{}",
            refused.text()
        );
        assert_eq!(count_runs(fleet, "k1"), 0);
        set_links(fleet, link::Mode::Open);
        wait_until("a keyed call", || {
            check_success(&send_keyed(fleet.entry(0), "k1"))
        });
        assert_eq!(send_keyed(fleet.entry(1), "k1").status, 200);
        assert_eq!(count_runs(fleet, "k1"), 1);
    });
}

// After a host is killed, all others serve requests. The killed host serves again once it is
// restarted.
#[test]
fn other_hosts_serve_while_a_host_is_dead() {
    with_fleet(&small_shape(), |fleet| {
        fleet.entry(0).process().kill();
        for entry in &fleet.entries()[1..] {
            wait_until(&entry.name, || check_success(&send_request(entry)));
            expect_answer(entry);
        }
        fleet.restart(0).unwrap();
        wait_until("readiness", || check_ready(fleet.entry(0)));
        wait_until("an answer", || check_success(&send_request(fleet.entry(0))));
        expect_answer(fleet.entry(0));
    });
}

// On a request to shut down, all hosts exit by themselves with success.
#[test]
fn hosts_shut_down_with_success() {
    with_fleet(&small_shape(), |fleet| {
        for (name, ended) in fleet.shut_down(Duration::from_mins(1)) {
            let succeeded = matches!(ended, WaitOutcome::Exited(status) if status.success());
            assert!(succeeded, "{name}: {ended:?}");
        }
    });
}

// A host that shuts down completes its running stream before it exits.
#[test]
fn a_shutdown_completes_running_streams() {
    with_fleet(&small_shape(), |fleet| {
        set_engines(fleet, &Switch::Pace(Pace::Stepped));
        let entry = fleet.entry(0);
        std::thread::scope(|scope| {
            let result = scope.spawn(|| {
                let request = request(REFERENCE, Delivery::Stream);
                read_stream(request.stream(entry.address()).unwrap())
            });
            wait_until("a running stream", || match count_accepted(fleet) {
                0 => Err("none".to_owned()),
                _ => Ok(()),
            });
            entry.process().terminate();
            wait_until("leaving", || match check_ready(entry) {
                Ok(()) => Err("ready".to_owned()),
                Err(_) => Ok(()),
            });
            set_engines(fleet, &Switch::Step(8));
            assert_eq!(result.join().unwrap(), complete_stream(REFERENCE));
        });
        let ended = entry.process().wait(Duration::from_mins(1));
        assert!(
            matches!(ended, WaitOutcome::Exited(it) if it.success()),
            "{ended:?}"
        );
    });
}

// A paused host does not keep the others from serving, and serves again once it is resumed.
#[test]
fn a_paused_host_resumes() {
    with_fleet(&small_shape(), |fleet| {
        fleet.entry(0).process().pause();
        for entry in &fleet.entries()[1..] {
            wait_until(&entry.name, || check_success(&send_request(entry)));
            expect_answer(entry);
        }
        fleet.entry(0).process().resume();
        wait_until("an answer", || check_success(&send_request(fleet.entry(0))));
        expect_answer(fleet.entry(0));
    });
}

// When a host is killed while a keyed call runs, no other host can learn the outcome of that call.
// The call is never repeated.
#[test]
fn a_keyed_call_of_a_killed_host_is_not_repeated() {
    with_fleet(&small_shape(), |fleet| {
        set_plains(fleet, plain::Switch::DelayMs(500));
        let entry = fleet.entry(0);
        std::thread::scope(|scope| {
            scope.spawn(|| {
                // The host is killed, so there is no response.
                let _ = keyed_request("k1").send(entry.address());
            });
            wait_until("a call", || {
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
            let repeated = send_keyed(entry, "k1");
            assert_ne!(
                repeated.json()["error"]["ran"],
                "not-run",
                "{}",
                repeated.text()
            );
        }
        wait_until("the end of the run", || match count_runs(fleet, "k1") {
            0 => Err("it runs".to_owned()),
            _ => Ok(()),
        });
        assert_eq!(count_runs(fleet, "k1"), 1);
    });
}

// A steward is paused and another host takes over its engine, which ignores fencing tokens and
// carries out unloads of adapters in use. When the first steward resumes, it ends no request on the
// engine, whether or not it has noticed the loss of its stewardship by then.
#[test]
fn a_paused_steward_ends_no_requests() {
    let unfenced = Shape {
        engines: 1,
        engine: Settings {
            slots: 1,
            fencing: FencingPolicy::Ignored,
            ..Settings::default()
        },
        ..small_shape()
    };
    with_fleet(&unfenced, |fleet| {
        set_engines(fleet, &Switch::Unload(UnloadPolicy::Obey));
        let steward_of = |entry: &Entry| read_status(entry)["engines"][0]["steward"].clone();
        let name = steward_of(fleet.entry(0));
        let (previous, others): (Vec<&Entry>, Vec<&Entry>) =
            fleet.entries().iter().partition(|it| name == it.name);
        wait_until("an answer", || check_success(&send_request(previous[0])));
        previous[0].process().pause();
        wait_until("a new steward", || match steward_of(others[0]) {
            it if it == name || it.is_null() => Err(it.to_string()),
            _ => Ok(()),
        });
        wait_until("an answer of the new steward", || {
            check_success(&send_request(others[0]))
        });
        set_engines(fleet, &Switch::Pace(Pace::Stepped));
        let before = count_accepted(fleet);
        std::thread::scope(|scope| {
            let result = scope.spawn(|| {
                let request = request(REFERENCE, Delivery::Stream).with("x-deadline-ms", "60000");
                read_stream(request.stream(others[0].address()).unwrap())
            });
            wait_until("a running stream", || match count_accepted(fleet) {
                it if it == before => Err("none".to_owned()),
                _ => Ok(()),
            });
            previous[0].process().resume();
            // This request makes the previous steward need the slot for another adapter.
            let other =
                request("signs/bay-summary@6", Delivery::Whole).with("x-deadline-ms", "1000");
            other.send(previous[0].address()).unwrap();
            set_engines(fleet, &Switch::Step(8));
            assert_eq!(result.join().unwrap(), complete_stream(REFERENCE));
        });
        assert_eq!(engine_counts(fleet)[0].ended_by_unload, 0);
        set_engines(fleet, &Switch::Pace(Pace::Timed));
        wait_until("an answer", || check_success(&send_request(previous[0])));
    });
}
