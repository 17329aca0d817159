//! Engines that break off, restart, leave, stand still or answer for another adapter.

use std::time::Duration;

use serde_json::json;
use standin::{
    client::Request,
    control::Toggle,
    engine::{Pace, Settings, Switch},
    fleet::{Fleet, Shape},
    hosts,
};

use crate::support::{
    End, Form, REFERENCE, ask, check, engine_counts, expect_answer, read, request, set_engines,
    shape, status, success, taken, until, whole,
};

/// Time that a faulty steward gets to evict an adapter in use.
const TIME_TO_EVICT: Duration = Duration::from_secs(1);

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

// The engine that has the adapter leaves: it gets nothing new once the host list says so, and the
// others serve.
#[test]
fn a_leaving_engine_gets_nothing_new() {
    check(&shape(), |fleet| {
        fleet.entries().iter().for_each(expect_answer);
        let counts = engine_counts(fleet);
        let (index, before) = counts
            .iter()
            .enumerate()
            .max_by_key(|it| it.1.journal.len())
            .unwrap();
        let engine = &fleet.engines()[index];
        leave(fleet, &engine.name);
        engine.set(&Switch::Leaving(Toggle::On)).unwrap();
        fleet.entries().iter().for_each(expect_answer);
        let after = &engine_counts(fleet)[index];
        assert_eq!(after.journal.len(), before.journal.len());
        assert_eq!(after.while_leaving, 0);
    });
}

/// Marks an engine as leaving in the host list and waits until no host knows it as live.
fn leave(fleet: &Fleet, engine: &str) {
    let state = hosts::Switch::State(engine.to_owned(), hosts::State::Leaving);
    fleet.set_hosts(&state).unwrap();
    for entry in fleet.entries() {
        until("leaving", || {
            let status = status(entry);
            let mut engines = status["engines"].as_array().into_iter().flatten();
            if engines.any(|it| it["name"] == engine && it["state"] == "live") {
                return Err(status.to_string());
            }
            Ok(())
        });
    }
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
        set_engines(fleet, &Switch::Unload(standin::engine::UnloadPolicy::Obey));
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
            // A steward that evicts what is in use does so now; a right one passes at any pace.
            std::thread::sleep(TIME_TO_EVICT);
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

// A request that doesn't say how many tokens it wants is served by a fleet that has served none.
#[test]
fn a_request_without_max_tokens_is_served() {
    check(&shape(), |fleet| {
        let body = json!({
            "model": REFERENCE,
            "messages": [{"role": "user", "content": "Which bays are free?"}],
        });
        let request = Request::post("/v1/chat/completions", &body);
        let answer = request.send(fleet.entry(0).address()).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    });
}
