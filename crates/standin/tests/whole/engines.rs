//! Faults of engines: closed connections, restarts, leaving, pauses, and answers from the wrong
//! adapter.

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
    Delivery, End, REFERENCE, check_success, complete_stream, count_accepted, engine_counts,
    expect_answer, read_status, read_stream, request, send_request, set_engines, small_shape,
    wait_until, with_fleet,
};

/// Time in which a faulty steward would evict an adapter in use.
const EVICTION_WINDOW: Duration = Duration::from_secs(1);

fn send_stream(fleet: &Fleet, entry: usize) -> crate::support::StreamResult {
    let request = request(REFERENCE, Delivery::Stream);
    read_stream(request.stream(fleet.entry(entry).address()).unwrap())
}

// When the connection between engine and entry host closes during a stream, the entry host resumes
// the stream: no request runs twice and no chunk is lost or repeated.
#[test]
fn a_broken_stream_is_resumed() {
    with_fleet(&small_shape(), |fleet| {
        set_engines(fleet, &Switch::BreakStreams { after: 2, times: 1 });
        for entry in 0..fleet.entries().len() {
            assert_eq!(send_stream(fleet, entry), complete_stream(REFERENCE));
        }
        assert_eq!(count_accepted(fleet), fleet.entries().len());
    });
}

// When an engine restarts during a stream, the caller gets an error event and no chunks of another
// answer, and later requests are served.
#[test]
fn a_restarted_engine_ends_its_streams() {
    with_fleet(&small_shape(), |fleet| {
        set_engines(fleet, &Switch::Pace(Pace::Stepped));
        let request = request(REFERENCE, Delivery::Stream);
        // The entry host sends the head of the answer with the first chunk.
        set_engines(fleet, &Switch::Step(1));
        let mut stream = request.stream(fleet.entry(0).address()).unwrap();
        assert_eq!(stream.next().unwrap().id, "0");
        set_engines(fleet, &Switch::Restart);
        set_engines(fleet, &Switch::Pace(Pace::Timed));
        let rest = read_stream(stream);
        assert_eq!(rest.chunks, [""; 0]);
        assert!(matches!(rest.end, End::Failed(_)), "{rest:?}");
        wait_until("an answer", || check_success(&send_request(fleet.entry(0))));
        expect_answer(fleet.entry(0));
    });
}

// An answer from another adapter than the requested one never reaches the caller.
#[test]
fn another_adapters_answer_is_withheld() {
    with_fleet(&small_shape(), |fleet| {
        set_engines(fleet, &Switch::AnswerAs("signs/bay-summary@6+9".to_owned()));
        let answer = send_request(fleet.entry(0));
        assert_eq!(
            answer.json()["error"]["kind"],
            "wrong-adapter",
            "{}",
            answer.text()
        );
        assert!(!answer.text().contains("#0"), "{}", answer.text());
        let result = send_stream(fleet, 1);
        assert_eq!(result.chunks, [""; 0]);
        assert_ne!(result.end, End::Done);
    });
}

// Once the host list shows an engine as leaving, that engine gets no new requests, and the other
// engines serve its adapter.
#[test]
fn a_leaving_engine_gets_nothing_new() {
    with_fleet(&small_shape(), |fleet| {
        fleet.entries().iter().for_each(expect_answer);
        let counts = engine_counts(fleet);
        let (index, before) = counts
            .iter()
            .enumerate()
            .max_by_key(|it| it.1.journal.len())
            .unwrap();
        let engine = &fleet.engines()[index];
        mark_leaving(fleet, &engine.name);
        engine.set(&Switch::Leaving(Toggle::On)).unwrap();
        fleet.entries().iter().for_each(expect_answer);
        let after = &engine_counts(fleet)[index];
        assert_eq!(after.journal.len(), before.journal.len());
        assert_eq!(after.while_leaving, 0);
    });
}

/// Marks an engine as leaving in the host list and waits until no entry host treats it as live.
fn mark_leaving(fleet: &Fleet, engine: &str) {
    let state = hosts::Switch::State(engine.to_owned(), hosts::State::Leaving);
    fleet.set_hosts(&state).unwrap();
    for entry in fleet.entries() {
        wait_until("leaving", || {
            let status = read_status(entry);
            let mut engines = status["engines"].as_array().into_iter().flatten();
            if engines.any(|it| it["name"] == engine && it["state"] == "live") {
                return Err(status.to_string());
            }
            Ok(())
        });
    }
}

// A paused engine delays the requests that it runs but not later ones.
#[test]
fn a_paused_engine_blocks_no_later_requests() {
    with_fleet(&small_shape(), |fleet| {
        fleet.engines()[0].process().pause();
        for entry in fleet.entries() {
            wait_until(&entry.name, || check_success(&send_request(entry)));
            expect_answer(entry);
        }
    });
}

// With a single slot and an engine that carries out unloads of adapters in use, an adapter stays
// loaded until its request has ended. Only then is another adapter loaded into the slot.
#[test]
fn an_adapter_in_use_is_not_evicted() {
    let one_slot = Shape {
        engines: 1,
        engine: Settings {
            slots: 1,
            ..Settings::default()
        },
        ..small_shape()
    };
    with_fleet(&one_slot, |fleet| {
        set_engines(fleet, &Switch::Unload(standin::engine::UnloadPolicy::Obey));
        set_engines(fleet, &Switch::Pace(Pace::Stepped));
        std::thread::scope(|scope| {
            let first = scope.spawn(|| send_stream(fleet, 0));
            wait_until("a running request", || match count_accepted(fleet) {
                0 => Err("none".to_owned()),
                _ => Ok(()),
            });
            let other = "signs/bay-summary@6";
            let second = scope.spawn(|| {
                let request = request(other, Delivery::Stream).with("x-deadline-ms", "60000");
                read_stream(request.stream(fleet.entry(1).address()).unwrap())
            });
            // A faulty steward evicts the adapter in this time; a correct one passes at any speed.
            std::thread::sleep(EVICTION_WINDOW);
            set_engines(fleet, &Switch::Step(8));
            assert_eq!(first.join().unwrap(), complete_stream(REFERENCE));
            set_engines(fleet, &Switch::Step(8));
            assert_eq!(second.join().unwrap(), complete_stream(other));
        });
        let counts = &engine_counts(fleet)[0];
        assert_eq!((counts.busy_unloads, counts.ended_by_unload), (0, 0));
        assert_eq!(counts.unloads, 1);
    });
}

// A request without a token limit is served even by a fleet that has not served any request yet.
#[test]
fn a_request_without_max_tokens_is_served() {
    with_fleet(&small_shape(), |fleet| {
        let body = json!({
            "model": REFERENCE,
            "messages": [{"role": "user", "content": "Which bays are free?"}],
        });
        let request = Request::post("/v1/chat/completions", &body);
        let answer = request.send(fleet.entry(0).address()).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    });
}
