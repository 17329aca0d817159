//! Tests of the HTTP client of the object API against the stand-in server.

use std::time::Duration;

use objects::{
    http::Client,
    object::{Continuation, Failure, Kind, Reason, Store},
};
use standin::{
    control::Outage,
    object::{Server, Switch},
};

const REASON: Reason = Reason::Config;

fn check(run: impl FnOnce(&Server, &Client)) {
    let server = Server::start();
    let client = Client::new(server.address());
    run(&server, &client);
}

fn conflict(key: &str) -> Failure {
    Failure::Conflict {
        key: key.to_owned(),
    }
}

// Versions round-trip, and a write whose condition does not hold is a conflict.
#[test]
fn writes_are_conditional() {
    check(|_, client| {
        assert_eq!(client.get(REASON, "steward/e 1%?#"), Ok(None));
        let first = client.create(REASON, "steward/e 1%?#", b"one").unwrap();
        let again = client.create(REASON, "steward/e 1%?#", b"two");
        assert_eq!(again, Err(conflict("steward/e 1%?#")));
        let second = client
            .update(REASON, "steward/e 1%?#", first, b"two")
            .unwrap();
        assert!(second > first);
        let stale = client.update(REASON, "steward/e 1%?#", first, b"three");
        assert_eq!(stale, Err(conflict("steward/e 1%?#")));
        let object = client.get(REASON, "steward/e 1%?#").unwrap().unwrap();
        assert_eq!((object.version, &object.value[..]), (second, &b"two"[..]));
        let stale = client.delete(REASON, "steward/e 1%?#", first);
        assert_eq!(stale, Err(conflict("steward/e 1%?#")));
        assert_eq!(client.delete(REASON, "steward/e 1%?#", second), Ok(()));
        let repeated = client.delete(REASON, "steward/e 1%?#", second);
        assert_eq!(repeated, Err(conflict("steward/e 1%?#")));
    });
}

// Consecutive pages contain each object below the prefix once, with its value.
#[test]
fn lists_are_paginated() {
    check(|_, client| {
        for key in ["a/1", "b/1", "b/2", "b/3", "c/1"] {
            client.create(REASON, key, key.as_bytes()).unwrap();
        }
        let first = client.list(REASON, "b/", "", 2).unwrap();
        let keys: Vec<_> = first.items.iter().map(|it| &it.key[..]).collect();
        assert_eq!((keys, first.more), (vec!["b/1", "b/2"], Continuation::More));
        let last = client.list(REASON, "b/", "b/2", 2).unwrap();
        assert_eq!((last.items.len(), last.more), (1, Continuation::End));
        assert_eq!(last.items[0].value, b"b/3");
        assert_eq!(last.revision, 5);
    });
}

// A watch reports the changes since a revision, returns no changes when its wait ends, and fails if
// the server has dropped changes.
#[test]
fn watches_report_changes_and_gaps() {
    check(|server, client| {
        let version = client.create(REASON, "a/1", b"").unwrap();
        client.create(REASON, "b/1", b"").unwrap();
        client.delete(REASON, "a/1", version).unwrap();
        let changes = client
            .watch(REASON, "a/", 0, Duration::from_secs(5))
            .unwrap();
        let kinds: Vec<_> = changes
            .events
            .iter()
            .map(|it| (it.kind, it.version))
            .collect();
        assert_eq!(kinds, [(Kind::Put, 1), (Kind::Delete, 3)]);
        let none = client.watch(REASON, "a/", changes.revision, Duration::from_millis(1));
        assert_eq!(none.unwrap().events, []);
        server.set(Switch::History(1));
        let gap = client.watch(REASON, "a/", 1, Duration::from_secs(5));
        assert_eq!(gap, Err(Failure::Gap { since: 1 }));
    });
}

// A change ends a watch that is already waiting.
#[test]
fn a_change_ends_a_watch() {
    check(|server, client| {
        std::thread::scope(|scope| {
            let watch = scope.spawn(|| client.watch(REASON, "a/", 0, Duration::from_mins(1)));
            while server.counts().watches == 0 {
                std::thread::yield_now();
            }
            client.create(REASON, "a/1", b"").unwrap();
            assert_eq!(watch.join().unwrap().unwrap().events.len(), 1);
        });
    });
}

// A write whose response is lost takes effect and has an unknown outcome; the next write succeeds.
#[test]
fn a_write_without_response_has_an_unknown_outcome() {
    check(|server, client| {
        server.set(Switch::LoseAnswers(1));
        let lost = client.create(REASON, "a", b"1");
        assert!(matches!(lost, Err(Failure::Unknown { .. })), "{lost:?}");
        assert_eq!(client.get(REASON, "a").unwrap().unwrap().value, b"1");
        client.create(REASON, "b", b"1").unwrap();
    });
}

// A call that is refused or cannot connect fails as one without effect.
#[test]
fn refusals_have_no_effect() {
    check(|server, client| {
        server.set(Switch::Outage(Outage::Refuse));
        let refused = client.create(REASON, "a", b"1");
        assert!(
            matches!(refused, Err(Failure::Unavailable { .. })),
            "{refused:?}"
        );
        server.set(Switch::Outage(Outage::None));
        assert_eq!(client.get(REASON, "a"), Ok(None));
    });
    let address = Server::start().address();
    let unconnected = Client::new(address).create(REASON, "a", b"1");
    assert!(
        matches!(unconnected, Err(Failure::Unavailable { .. })),
        "{unconnected:?}"
    );
}

// A value of the maximum size is accepted; a larger one is not sent.
#[test]
fn values_have_a_maximum_size() {
    check(|server, client| {
        let value = vec![b'x'; objects::object::MAX_VALUE_BYTES + 1];
        client.create(REASON, "a", &value[1..]).unwrap();
        let key = "b".to_owned();
        let bytes = value.len();
        let large = client.create(REASON, "b", &value);
        assert_eq!(large, Err(Failure::TooLarge { key, bytes }));
        assert_eq!(server.counts().writes, 1);
    });
}

#[test]
fn calls_are_counted_by_reason() {
    check(|_, client| {
        client.get(Reason::Steward, "a").unwrap();
        client.create(Reason::Journal, "a", b"").unwrap();
        client.get(Reason::Steward, "a").unwrap();
        let counts: Vec<_> = client.call_counts().into_iter().collect();
        assert_eq!(counts, [(Reason::Steward, 2), (Reason::Journal, 1)]);
    });
}
