//! A graceful shutdown cuts no request in progress.

use std::{thread, time::Duration};

use standin::{
    client::Stream,
    engine::{Pace, Switch},
    fleet::process::Ended,
};

use crate::fixture::{
    Delivery, Fixture, TOKENS, chat, check_stream, shape, wait_ready, wait_until,
};

const REFERENCE: &str = "signs/bay-summary@7";

/// Longest time for a process to end; it only ends a hang.
const END: Duration = Duration::from_mins(1);

/// Covers: SIGTERM on all hosts in turn, each with long streams through it; zero are cut, and each
/// process exits with 0 after it has joined its threads.
#[test]
fn hosts_shut_down_in_turn_without_a_cut() {
    let mut it = Fixture::start(&shape());
    for index in 0..it.fleet.entries().len() {
        it.set_engines(&Switch::Pace(Pace::Stepped));
        let readers: Vec<_> = (0..4)
            .map(|number| {
                let address = it.entry(index).address();
                let id = format!("drain-{index}-{number}");
                thread::spawn(move || {
                    let stream = chat(&id, REFERENCE, Delivery::Streamed).stream(address);
                    check_stream(stream.unwrap(), REFERENCE);
                })
            })
            .collect();
        wait_until("all requests run", || {
            (0..4).all(|number| !it.runs(&format!("drain-{index}-{number}")).is_empty())
        });
        it.entry(index).process().terminate();
        // Not before the host has closed its listener does it wait for nothing but these streams.
        wait_until("the host takes no more connections", || {
            std::net::TcpStream::connect(it.entry(index).address()).is_err()
        });
        for _ in 0..TOKENS {
            it.set_engines(&Switch::Step(4));
        }
        it.set_engines(&Switch::Pace(Pace::Timed));
        for reader in readers {
            reader.join().unwrap();
        }
        let ended = it.entry(index).process().wait(END);
        assert!(
            matches!(ended, Ended::With(status) if status.success()),
            "{ended:?}: {}",
            it.entry(index).process().log()
        );
        it.fleet.restart(index).unwrap();
        wait_ready(it.entry(index));
    }
}

/// Covers: a second signal ends the shutdown at once, and the exit code tells that it cut a
/// request.
#[test]
fn second_signal_cuts_and_says_so() {
    let it = Fixture::start(&shape());
    it.set_engines(&Switch::Pace(Pace::Stepped));
    let address = it.entry(0).address();
    let reader = thread::spawn(move || {
        let stream = chat("cut", REFERENCE, Delivery::Streamed).stream(address);
        stream.map(Stream::text)
    });
    wait_until("the request runs", || !it.runs("cut").is_empty());
    let process = it.entry(0).process();
    process.terminate();
    wait_until("the shutdown waits", || {
        process.log().contains("Shutting down")
    });
    // The first signal is consumed before the drain; the second has to come after its start.
    wait_until("the process has ended", || {
        process.terminate();
        matches!(process.wait(Duration::from_millis(200)), Ended::With(_))
    });
    let ended = process.wait(END);
    assert!(
        matches!(ended, Ended::With(status) if status.code() == Some(1)),
        "{ended:?}"
    );
    assert!(
        process.log().contains("cut 1 running requests"),
        "{}",
        process.log()
    );
    let text = reader.join().unwrap().unwrap_or_default();
    assert!(!text.contains("[DONE]"));
}
