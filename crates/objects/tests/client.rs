//! The clients against the stand-ins.

use std::time::Duration;

use objects::{
    http::Client,
    object::{Continuation, Failure, Kind, Reason, Store},
};
use standin::{
    control::Outage,
    object::{Server, Switch},
};

const R: Reason = Reason::Config;

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

// Versions are carried both ways, and each condition that doesn't hold is a conflict.
#[test]
fn writes_are_conditional() {
    check(|_, client| {
        assert_eq!(client.get(R, "steward/e 1%?#"), Ok(None));
        let first = client.create(R, "steward/e 1%?#", b"one").unwrap();
        let again = client.create(R, "steward/e 1%?#", b"two");
        assert_eq!(again, Err(conflict("steward/e 1%?#")));
        let second = client.update(R, "steward/e 1%?#", first, b"two").unwrap();
        assert!(second > first);
        let stale = client.update(R, "steward/e 1%?#", first, b"three");
        assert_eq!(stale, Err(conflict("steward/e 1%?#")));
        let object = client.get(R, "steward/e 1%?#").unwrap().unwrap();
        assert_eq!((object.version, &object.value[..]), (second, &b"two"[..]));
        let stale = client.delete(R, "steward/e 1%?#", first);
        assert_eq!(stale, Err(conflict("steward/e 1%?#")));
        assert_eq!(client.delete(R, "steward/e 1%?#", second), Ok(()));
        let gone = client.delete(R, "steward/e 1%?#", second);
        assert_eq!(gone, Err(conflict("steward/e 1%?#")));
    });
}

// Pages follow one another without a gap or a repeat, with values, and stay below the prefix.
#[test]
fn lists_go_on_page_by_page() {
    check(|_, client| {
        for key in ["a/1", "b/1", "b/2", "b/3", "c/1"] {
            client.create(R, key, key.as_bytes()).unwrap();
        }
        let first = client.list(R, "b/", "", 2).unwrap();
        let keys: Vec<_> = first.items.iter().map(|it| &it.key[..]).collect();
        assert_eq!((keys, first.more), (vec!["b/1", "b/2"], Continuation::More));
        let last = client.list(R, "b/", "b/2", 2).unwrap();
        assert_eq!((last.items.len(), last.more), (1, Continuation::End));
        assert_eq!(last.items[0].value, b"b/3");
        assert_eq!(last.revision, 5);
    });
}

// A watch shows what happened since a revision, ends empty after its wait, and tells of a gap.
#[test]
fn watches_show_changes_and_gaps() {
    check(|server, client| {
        let version = client.create(R, "a/1", b"").unwrap();
        client.create(R, "b/1", b"").unwrap();
        client.delete(R, "a/1", version).unwrap();
        let seen = client.watch(R, "a/", 0, Duration::from_secs(5)).unwrap();
        let kinds: Vec<_> = seen.events.iter().map(|it| (it.kind, it.version)).collect();
        assert_eq!(kinds, [(Kind::Put, 1), (Kind::Delete, 3)]);
        let none = client.watch(R, "a/", seen.revision, Duration::from_millis(1));
        assert_eq!(none.unwrap().events, []);
        server.set(Switch::History(1));
        let gap = client.watch(R, "a/", 1, Duration::from_secs(5));
        assert_eq!(gap, Err(Failure::Gap { since: 1 }));
    });
}

// A change wakes a watch that is already waiting.
#[test]
fn a_change_wakes_a_watch() {
    check(|server, client| {
        std::thread::scope(|scope| {
            let watch = scope.spawn(|| client.watch(R, "a/", 0, Duration::from_mins(1)));
            while server.counts().watches == 0 {
                std::thread::yield_now();
            }
            client.create(R, "a/1", b"").unwrap();
            assert_eq!(watch.join().unwrap().unwrap().events.len(), 1);
        });
    });
}

// A write whose answer is lost is unknown, and it did take effect; the next one is answered.
#[test]
fn a_lost_answer_is_unknown() {
    check(|server, client| {
        server.set(Switch::LoseAnswers(1));
        let lost = client.create(R, "a", b"1");
        assert!(matches!(lost, Err(Failure::Unknown { .. })), "{lost:?}");
        assert_eq!(client.get(R, "a").unwrap().unwrap().value, b"1");
        client.create(R, "b", b"1").unwrap();
    });
}

// A refused, throttled or unconnected call had no effect and says so.
#[test]
fn refusals_have_no_effect() {
    check(|server, client| {
        server.set(Switch::Outage(Outage::Refuse));
        let refused = client.create(R, "a", b"1");
        assert!(
            matches!(refused, Err(Failure::Unavailable { .. })),
            "{refused:?}"
        );
        server.set(Switch::Outage(Outage::None));
        assert_eq!(client.get(R, "a"), Ok(None));
    });
    let address = Server::start().address();
    let gone = Client::new(address).create(R, "a", b"1");
    assert!(matches!(gone, Err(Failure::Unavailable { .. })), "{gone:?}");
}

// A value at the limit passes; one above it isn't sent at all.
#[test]
fn values_have_a_limit() {
    check(|server, client| {
        let value = vec![b'x'; objects::object::MAX_VALUE_BYTES + 1];
        client.create(R, "a", &value[1..]).unwrap();
        let key = "b".to_owned();
        let bytes = value.len();
        let large = client.create(R, "b", &value);
        assert_eq!(large, Err(Failure::TooLarge { key, bytes }));
        assert_eq!(server.counts().writes, 1);
    });
}

// Calls are counted by what they are made for.
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
