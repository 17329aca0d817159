//! Tests for the link stand-in, placed in front of the object API.

use objects::{
    http::Client,
    object::{Failure, Reason, Store},
};
use standin::{
    link::{Mode, Server},
    object,
};

const REASON: Reason = Reason::Config;

fn with_link(run: impl FnOnce(&object::Server, &Server, &Client)) {
    let store = object::Server::start();
    let link = Server::start(store.address()).unwrap();
    run(&store, &link, &Client::new(link.address()));
}

// An open link forwards calls, also after it was closed and opened again.
#[test]
fn a_closed_link_can_be_reopened() {
    with_link(|_, link, client| {
        client.create(REASON, "a", b"1").unwrap();
        link.set(Mode::Closed);
        assert!(client.get(REASON, "a").is_err());
        link.set(Mode::Open);
        assert_eq!(client.get(REASON, "a").unwrap().unwrap().value, b"1");
    });
}

// A frozen link forwards neither requests nor responses.
#[test]
fn a_frozen_link_forwards_nothing() {
    with_link(|store, link, client| {
        link.set(Mode::Frozen);
        let written = client.create(REASON, "a", b"1");
        assert!(
            matches!(written, Err(Failure::Unknown { .. })),
            "{written:?}"
        );
        assert_eq!(store.counts().writes, 0);
    });
}

// When only responses are lost, a write takes effect and its outcome is unknown to the caller.
#[test]
fn lost_answers_leave_the_outcome_unknown() {
    with_link(|store, link, client| {
        link.set(Mode::AnswersLost);
        let written = client.create(REASON, "a", b"1");
        assert!(
            matches!(written, Err(Failure::Unknown { .. })),
            "{written:?}"
        );
        assert_eq!(store.counts().writes, 1);
    });
}

// Closing a link fails the calls that are waiting for a response.
#[test]
fn closing_a_link_ends_waiting_calls() {
    with_link(|store, link, client| {
        std::thread::scope(|scope| {
            let wait = std::time::Duration::from_mins(1);
            let watch = scope.spawn(move || client.watch(REASON, "a", 0, wait));
            while store.counts().watches == 0 {
                std::thread::yield_now();
            }
            link.set(Mode::Closed);
            assert!(watch.join().unwrap().is_err());
        });
    });
}
