//! The path that can be cut, in front of the object stand-in.

use objects::{
    http::Client,
    object::{Failure, Reason, Store},
};
use standin::{
    link::{Mode, Server},
    object,
};

const R: Reason = Reason::Config;

fn check(run: impl FnOnce(&object::Server, &Server, &Client)) {
    let store = object::Server::start();
    let link = Server::start(store.address()).unwrap();
    run(&store, &link, &Client::new(link.address()));
}

// An open path passes calls on, and again after it was cut.
#[test]
fn opens_again() {
    check(|_, link, client| {
        client.create(R, "a", b"1").unwrap();
        link.set(Mode::Closed);
        assert!(client.get(R, "a").is_err());
        link.set(Mode::Open);
        assert_eq!(client.get(R, "a").unwrap().unwrap().value, b"1");
    });
}

// Over a frozen path nothing arrives and nothing is answered.
#[test]
fn freezes() {
    check(|store, link, client| {
        link.set(Mode::Frozen);
        let written = client.create(R, "a", b"1");
        assert!(
            matches!(written, Err(Failure::Unknown { .. })),
            "{written:?}"
        );
        assert_eq!(store.counts().writes, 0);
    });
}

// When only answers are lost, a write arrives and its outcome is unknown to the caller.
#[test]
fn loses_answers() {
    check(|store, link, client| {
        link.set(Mode::AnswersLost);
        let written = client.create(R, "a", b"1");
        assert!(
            matches!(written, Err(Failure::Unknown { .. })),
            "{written:?}"
        );
        assert_eq!(store.counts().writes, 1);
    });
}

// A cut ends calls that are waiting.
#[test]
fn ends_waiting_calls() {
    check(|store, link, client| {
        std::thread::scope(|scope| {
            let wait = std::time::Duration::from_mins(1);
            let watch = scope.spawn(move || client.watch(R, "a", 0, wait));
            while store.counts().watches == 0 {
                std::thread::yield_now();
            }
            link.set(Mode::Closed);
            assert!(watch.join().unwrap().is_err());
        });
    });
}
