//! The journal's driver: threads, group commit and failures of the store.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use journal::Scope;
use kernel::{
    clock::{Clock, Manual, System},
    permit::Holder,
};
use objects::journal::{Decision, Durability, Journal};

use crate::fake::{Fake, Trouble};

const FINGERPRINT: [u8; 32] = [7; 32];

fn open(fake: &Arc<Fake>, host: &str) -> Journal {
    open_at(fake, host, Arc::new(System))
}

fn open_at(fake: &Arc<Fake>, host: &str, clock: Arc<dyn Clock>) -> Journal {
    let store = Arc::clone(fake);
    let host = host.parse().expect("a name");
    let me = Holder {
        host,
        incarnation: 1,
    };
    Journal::new(store, me, clock)
}

fn scope(key: &str) -> Scope {
    Scope {
        service: "barrier".parse().expect("a name"),
        tenant: "mall".parse().expect("a name"),
        key: key.parse().expect("a key"),
    }
}

fn begin(journal: &Journal, key: &str) -> Decision {
    let deadline = Instant::now() + Duration::from_mins(1);
    journal.begin(&scope(key), &FINGERPRINT, deadline)
}

/// Covers: begin, finish, and the repeat's answer on another host.
#[test]
fn repeat_elsewhere() {
    let fake = Arc::new(Fake::default());
    let (one, two) = (open(&fake, "e1"), open(&fake, "e2"));
    let Decision::First(first) = begin(&one, "k") else {
        panic!("nobody has begun");
    };
    assert!(matches!(begin(&two, "k"), Decision::Running));
    let headers = vec![("x-barrier".to_owned(), "north".to_owned())];
    assert_eq!(
        one.finish(first, 201, headers.clone(), b"open"),
        Durability::Recorded
    );
    for journal in [&one, &two] {
        let Decision::Repeat(outcome) = begin(journal, "k") else {
            panic!("the call was answered");
        };
        assert_eq!((outcome.status, outcome.headers), (201, headers.clone()));
    }
    let other = two.begin(
        &scope("k"),
        &[8; 32],
        Instant::now() + Duration::from_mins(1),
    );
    assert!(matches!(other, Decision::KeyReused));
}

/// Covers: an outage refuses at once; an end during an outage is written by a flush.
#[test]
fn outage() {
    let fake = Arc::new(Fake::default());
    let journal = open(&fake, "e1");
    fake.trouble(&[Trouble::Outage]);
    assert!(matches!(begin(&journal, "k"), Decision::Unavailable(_)));
    let Decision::First(first) = begin(&journal, "k") else {
        panic!("the outage is over");
    };
    fake.trouble(&[Trouble::Outage, Trouble::Outage]);
    assert_eq!(
        journal.finish(first, 200, Vec::new(), b""),
        Durability::Pending
    );
    assert_eq!(journal.flush(), Durability::Pending);
    assert_eq!(journal.flush(), Durability::Recorded);
    assert!(matches!(
        begin(&open(&fake, "e2"), "k"),
        Decision::Repeat(_)
    ));
}

/// Covers: a call that was not sent frees its key, and one with an unknown outcome does not.
#[test]
fn release_and_lose() {
    let fake = Arc::new(Fake::default());
    let (one, two) = (open(&fake, "e1"), open(&fake, "e2"));
    let Decision::First(first) = begin(&one, "k") else {
        panic!("nobody has begun");
    };
    assert_eq!(one.release(first), Durability::Recorded);
    let Decision::First(first) = begin(&two, "k") else {
        panic!("the key is free");
    };
    assert_eq!(two.finish_unknown(first), Durability::Recorded);
    assert!(matches!(begin(&one, "k"), Decision::OutcomeUnknown));
}

/// Covers: a caller whose deadline has passed is not made to wait, and its key stays free.
#[test]
fn deadline() {
    let fake = Arc::new(Fake::default());
    let journal = open(&fake, "e1");
    let begun = journal.begin(&scope("k"), &FINGERPRINT, Instant::now());
    assert!(matches!(begun, Decision::Unavailable(_)));
    assert!(matches!(begin(&journal, "k"), Decision::First(_)));
}

/// Covers: threads of two hosts race for the same keys; each call is made once, and the writes
/// are shared.
#[test]
fn threads_of_two_hosts() {
    const THREADS: usize = 8;
    const KEYS: usize = 50;
    let fake = Arc::new(Fake::default());
    let hosts = [open(&fake, "e1"), open(&fake, "e2")];
    let made: Vec<AtomicUsize> = (0..KEYS).map(|_| AtomicUsize::new(0)).collect();
    let run = |journal: &Journal| {
        for (number, made) in made.iter().enumerate() {
            if let Decision::First(first) = begin(journal, &format!("k{number}")) {
                made.fetch_add(1, Ordering::Relaxed);
                let _ = journal.finish(first, 200, Vec::new(), b"open");
            }
        }
    };
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            let journal = &hosts[thread % 2];
            scope.spawn(move || run(journal));
        }
    });
    assert!(made.iter().all(|it| it.load(Ordering::Relaxed) == 1));
    assert_eq!(hosts[0].flush(), Durability::Recorded);
    assert!(matches!(begin(&hosts[1], "k0"), Decision::Repeat(_)));
}

/// Covers: over days the segments that are over are deleted, a host that starts reads the rest
/// alone, and keys that are still remembered are.
#[test]
fn tidy() {
    let fake = Arc::new(Fake::default());
    let clock = Arc::new(Manual::new());
    let journal = open_at(&fake, "e1", Arc::clone(&clock) as Arc<dyn Clock>);
    let call = |journal: &Journal, key: &str| {
        let deadline = clock.now() + Duration::from_secs(5);
        journal.begin(&scope(key), &FINGERPRINT, deadline)
    };
    let shard = scope("k").digest().shard();
    let same_shard = |it: &String| scope(it).digest().shard() == shard;
    let keys: Vec<String> = (0..4000)
        .map(|it| format!("k{it}"))
        .filter(same_shard)
        .collect();
    for key in &keys {
        if let Decision::First(first) = call(&journal, key) {
            assert_eq!(
                journal.finish(first, 200, Vec::new(), b""),
                Durability::Recorded
            );
        }
        clock.advance(Duration::from_hours(1));
        assert_eq!(journal.delete_expired(), 0);
    }
    let segments = fake
        .keys()
        .iter()
        .filter(|it| it.starts_with("journal/"))
        .count();
    assert!(keys.len() > 50, "{} calls", keys.len());
    assert!(
        segments < 100,
        "{segments} segments are left of {}",
        2 * keys.len()
    );
    let other = open_at(&fake, "e2", Arc::clone(&clock) as Arc<dyn Clock>);
    let last = keys.last().expect("there are keys");
    assert!(matches!(call(&other, last), Decision::Repeat(_)));
    assert!(matches!(call(&other, &keys[0]), Decision::First(_)));
}

/// Covers: what a keyed call costs the platform once the shards were read: two writes; a repeat one read on a host that
/// knows the key, and a write, a list and a read on one that does not.
#[test]
fn calls_to_the_platform() {
    let fake = Arc::new(Fake::default());
    let (one, two) = (open(&fake, "e1"), open(&fake, "e2"));
    let take = || ["get", "list", "create"].map(|it| fake.take_calls(it));
    assert_eq!((one.preload(), two.preload()), (0, 0));
    take();
    let key = "k";
    let Decision::First(first) = begin(&one, key) else {
        panic!("nobody has begun");
    };
    assert_eq!(
        one.finish(first, 200, Vec::new(), b""),
        Durability::Recorded
    );
    assert_eq!(take(), [0, 0, 2]);
    assert!(matches!(begin(&one, key), Decision::Repeat(_)));
    assert_eq!(take(), [1, 0, 0]);
    assert!(matches!(begin(&two, key), Decision::Repeat(_)));
    assert_eq!(take(), [1, 1, 1]);
}

/// Covers: the journal over HTTP, with answers of the platform lost at every write.
#[test]
fn over_http() {
    let server = standin::object::Server::start();
    let open = |host: &str| {
        let store = Arc::new(objects::http::Client::new(server.address()));
        let host = host.parse().expect("a name");
        let me = Holder {
            host,
            incarnation: 1,
        };
        Journal::new(store, me, Arc::new(System))
    };
    let (one, two) = (open("e1"), open("e2"));
    server.set(standin::object::Switch::LoseAnswers(2));
    let Decision::First(first) = begin(&one, "k") else {
        panic!("nobody has begun");
    };
    assert!(matches!(begin(&two, "k"), Decision::Running));
    assert_eq!(
        one.finish(first, 200, Vec::new(), b"open"),
        Durability::Recorded
    );
    assert!(matches!(begin(&two, "k"), Decision::Repeat(_)));
    assert_eq!(server.counts().lost, 2);
}
