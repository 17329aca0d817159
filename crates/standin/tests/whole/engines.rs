//! Engines that break off, restart, leave, stand still or answer for another adapter.

use serde_json::json;
use standin::{
    control::Power,
    engine::{Pace, Settings, Switch},
    fleet::{Fleet, Shape},
    hosts,
};

use crate::support::{
    End, Form, REFERENCE, ask, check, engine_counts, expect_answer, read, request, set_engines,
    shape, success, taken, until, whole,
};

fn stream(fleet: &Fleet, entry: usize) -> crate::support::Streamed {
    let request = request(REFERENCE, Form::Stream);
    read(request.stream(fleet.entry(entry).address()).unwrap())
}

// A stream that breaks between engine and entry host is resumed where it broke; nothing runs twice
// and no chunk is lost or doubled.
#[test]
fn a_broken_stream_is_resumed() {
    check(&shape(), |fleet| {
        set_engines(fleet, &Switch::BreakStreams { after: 2, times: 1 });
        for entry in 0..fleet.entries().len() {
            assert_eq!(stream(fleet, entry), whole(REFERENCE));
        }
        assert_eq!(taken(fleet), fleet.entries().len());
    });
}

// An engine that restarts in the middle of a stream: the caller is told, never given another
// answer's chunks, and the next request is served.
#[test]
fn a_restarted_engine_ends_its_streams() {
    check(&shape(), |fleet| {
        set_engines(fleet, &Switch::Pace(Pace::Stepped));
        let request = request(REFERENCE, Form::Stream);
        // The head of the answer comes with the first chunk.
        set_engines(fleet, &Switch::Step(1));
        let mut streamed = request.stream(fleet.entry(0).address()).unwrap();
        assert_eq!(streamed.next().unwrap().id, "0");
        set_engines(fleet, &Switch::Restart);
        set_engines(fleet, &Switch::Pace(Pace::Timed));
        let rest = read(streamed);
        assert_eq!(rest.chunks, [""; 0]);
        assert!(matches!(rest.end, End::Failed(_)), "{rest:?}");
        until("an answer", || success(&ask(fleet.entry(0))));
        expect_answer(fleet.entry(0));
    });
}

// What an engine answers for another adapter never reaches a caller.
#[test]
fn another_adapters_answer_is_withheld() {
    check(&shape(), |fleet| {
        set_engines(fleet, &Switch::AnswerAs("signs/bay-summary@6+9".to_owned()));
        let answer = ask(fleet.entry(0));
        assert_eq!(
            answer.json()["error"]["kind"],
            "wrong-adapter",
            "{}",
            answer.text()
        );
        assert!(!answer.text().contains("#0"), "{}", answer.text());
        let streamed = stream(fleet, 1);
        assert_eq!(streamed.chunks, [""; 0]);
        assert_ne!(streamed.end, End::Done);
    });
}

// An engine that leaves gets nothing new once the host list says so, and the others serve.
#[test]
fn a_leaving_engine_gets_nothing_new() {
    check(&shape(), |fleet| {
        let engine = &fleet.engines()[0];
        let state = hosts::Switch::State(engine.name.clone(), hosts::State::Leaving);
        fleet.set_hosts(&state).unwrap();
        for entry in fleet.entries() {
            until("leaving", || {
                let status = crate::support::status(entry);
                let engines = status["engines"].as_array().cloned().unwrap_or_default();
                let live = json!({"name": engine.name, "state": "live"});
                let is_live = |it: &serde_json::Value| {
                    it["name"] == live["name"] && it["state"] == live["state"]
                };
                if engines.iter().any(is_live) {
                    return Err(status.to_string());
                }
                Ok(())
            });
        }
        engine.set(&Switch::Leaving(Power::On)).unwrap();
        for entry in fleet.entries() {
            expect_answer(entry);
        }
        let counts = &engine_counts(fleet)[0];
        assert_eq!((counts.while_leaving, counts.journal.len()), (0, 0));
    });
}

// An engine that stands still holds up the requests on it, not those that come after.
#[test]
fn a_stopped_engine_is_left_out() {
    check(&shape(), |fleet| {
        fleet.engines()[0].process().pause();
        for entry in fleet.entries() {
            until(&entry.name, || success(&ask(entry)));
            expect_answer(entry);
        }
    });
}

// With one slot and an engine that would end running requests, an adapter in use stays loaded
// until its request has ended; only then the other one is loaded in its place.
#[test]
fn an_adapter_in_use_is_not_evicted() {
    let one_slot = Shape {
        engines: 1,
        engine: Settings {
            slots: 1,
            ..Settings::default()
        },
        ..shape()
    };
    check(&one_slot, |fleet| {
        set_engines(fleet, &Switch::Unload(standin::engine::Unload::Obey));
        set_engines(fleet, &Switch::Pace(Pace::Stepped));
        std::thread::scope(|scope| {
            let first = scope.spawn(|| stream(fleet, 0));
            until("a running request", || match taken(fleet) {
                0 => Err("none".to_owned()),
                _ => Ok(()),
            });
            let other = "signs/bay-summary@6";
            let second = scope.spawn(|| {
                let request = request(other, Form::Stream).with("x-deadline-ms", "60000");
                read(request.stream(fleet.entry(1).address()).unwrap())
            });
            set_engines(fleet, &Switch::Step(8));
            assert_eq!(first.join().unwrap(), whole(REFERENCE));
            set_engines(fleet, &Switch::Step(8));
            assert_eq!(second.join().unwrap(), whole(other));
        });
        let counts = &engine_counts(fleet)[0];
        assert_eq!((counts.busy_unloads, counts.ended_by_unload), (0, 0));
        assert_eq!(counts.unloads, 1);
    });
}
