//! A leaving upstream receives no new requests, and its running requests finish.

use std::thread;

use standin::{
    control::Toggle,
    engine::{Pace, Switch},
    hosts, plain,
};

use crate::fixture::{
    Delivery, Fixture, TOKENS, chat_request, check_stream, check_whole, keyed_request, shape,
    wait_until,
};

const REFERENCE: &str = "signs/bay-summary@7";

/// Covers: both ways in which an engine announces that it leaves, with a request in progress.
#[test]
fn leaving_engine_ends_its_work_and_gets_nothing_new() {
    for by_list in [false, true] {
        let it = Fixture::start(&shape());
        it.set_engines(&Switch::Pace(Pace::Stepped));
        let address = it.entry(0).address();
        let reader = thread::spawn(move || {
            let stream = chat_request("stays", REFERENCE, Delivery::Streamed).stream(address);
            check_stream(stream.unwrap(), REFERENCE);
        });
        wait_until("the request runs", || !it.runs("stays").is_empty());
        let counts = it.engine_counts();
        let index = counts
            .iter()
            .position(|it| !it.entries_for("stays").is_empty());
        let engine = &it.fleet.engines()[index.unwrap()];
        if by_list {
            let state = hosts::Switch::State(engine.name.clone(), hosts::State::Leaving);
            it.fleet.set_hosts(&state).unwrap();
            wait_until("every host knows that the engine is leaving", || {
                (0..4).all(|entry| {
                    let status = crate::fixture::fetch_status(it.entry(entry)).unwrap();
                    let engines = status["engines"].as_array().unwrap();
                    let found = engines.iter().find(|it| it["name"] == engine.name);
                    found.is_some_and(|it| it["state"] == "leaving")
                })
            });
        } else {
            engine.set(&Switch::Leaving(Toggle::On)).unwrap();
        }
        for other in it.fleet.engines() {
            other.set(&Switch::Pace(Pace::Timed)).unwrap();
        }
        engine.set(&Switch::Pace(Pace::Stepped)).unwrap();
        // The engine itself may refuse the first of these requests, which informs the steward.
        let warm = chat_request("warm", REFERENCE, Delivery::Whole).send(it.entry(1).address());
        check_whole(&warm.unwrap(), REFERENCE);
        let refused = it.engine_counts()[index.unwrap()].while_leaving;
        for entry in 0..4 {
            let id = format!("new-{entry}");
            let answer =
                chat_request(&id, REFERENCE, Delivery::Whole).send(it.entry(entry).address());
            check_whole(&answer.unwrap(), REFERENCE);
        }
        let counts = it.engine_counts();
        let counts = &counts[index.unwrap()];
        assert_eq!(counts.journal.len(), 1, "{:?}", counts.journal);
        assert_eq!(counts.while_leaving, refused);
        engine.set(&Switch::Step(TOKENS)).unwrap();
        reader.join().unwrap();
    }
}

/// Covers: a host sends no further calls to a plain instance that reported that it leaves.
#[test]
fn leaving_instance_is_remembered() {
    let it = Fixture::start(&shape());
    let plains: Vec<_> = it.plains("barrier").collect();
    let entry = it.entry(0);
    let own = plains.iter().find(|it| it.domain == entry.domain).unwrap();
    own.set(&plain::Switch::Leaving(Toggle::On)).unwrap();
    for number in 0..3 {
        let key = format!("leaving-{number}");
        let answer = keyed_request(&key, &key).send(entry.address()).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(it.ran_key("barrier", &key), 1);
    }
    let counts: plain::Counts = own.counts().unwrap();
    assert_eq!((counts.while_leaving, counts.total_runs()), (1, 0));
}
