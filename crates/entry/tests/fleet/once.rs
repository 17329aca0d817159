//! A call that may not be repeated runs at most once.

use std::thread;

use standin::{control::Outage, object, plain::Switch};

use crate::fixture::{Fixture, keyed_request, refusal, shape, wait_ready, wait_until};

/// Covers: concurrent and later repeats through all hosts, with lost responses of the platform
/// throughout.
#[test]
fn repeats_get_the_first_outcome() {
    let it = Fixture::start(&shape());
    for round in 0..4 {
        it.fleet
            .set_objects(&object::Switch::LoseAnswers(2))
            .unwrap();
        let key = format!("once-{round}");
        let callers: Vec<_> = it
            .fleet
            .entries()
            .iter()
            .map(|entry| {
                let request = keyed_request(&key, &key);
                let address = entry.address();
                thread::spawn(move || request.send(address).unwrap())
            })
            .collect();
        let answers: Vec<_> = callers.into_iter().map(|it| it.join().unwrap()).collect();
        assert_eq!(it.ran_key("barrier", &key), 1);
        let whole = answers.iter().filter(|it| it.status == 200).count();
        assert!(whole >= 1);
        for answer in answers.iter().filter(|it| it.status != 200) {
            assert_eq!(refusal(answer).0, "key-running", "{}", answer.text());
        }
        let first = answers.iter().find(|it| it.status == 200).unwrap();
        for entry in it.fleet.entries() {
            let later = keyed_request(&key, &key).send(entry.address()).unwrap();
            assert_eq!((later.status, &later.body), (200, &first.body));
        }
        assert_eq!(it.ran_key("barrier", &key), 1);
    }
}

/// Covers: during a platform outage a keyed call is refused immediately and does not run.
#[test]
fn platform_outage_refuses_keyed_calls() {
    let it = Fixture::start(&shape());
    for outage in [Outage::Refuse, Outage::Break] {
        it.fleet
            .set_objects(&object::Switch::Outage(outage))
            .unwrap();
        let answer = keyed_request("out", "out")
            .send(it.entry(0).address())
            .unwrap();
        assert_eq!(refusal(&answer), ("journal-down".into(), "not-run".into()));
        assert_eq!(it.ran_key("barrier", "out"), 0);
    }
    it.fleet
        .set_objects(&object::Switch::Outage(Outage::None))
        .unwrap();
    let answer = keyed_request("out", "out")
        .send(it.entry(1).address())
        .unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(it.ran_key("barrier", "out"), 1);
}

/// Covers: the host is killed after recording the call and before answering.
#[test]
fn killed_host_leaves_the_outcome_unknown() {
    let mut it = Fixture::start(&shape());
    for plain in it.plains("barrier") {
        plain.set(&Switch::DelayMs(1500)).unwrap();
    }
    let request = keyed_request("killed", "killed");
    let address = it.entry(0).address();
    let caller = thread::spawn(move || request.send(address).is_ok());
    wait_until("the call has arrived", || {
        it.plain_counts("barrier")
            .iter()
            .map(|it| it.calls)
            .sum::<u64>()
            == 1
    });
    it.entry(0).process().kill();
    assert!(!caller.join().unwrap());
    for _ in 0..2 {
        let answer = keyed_request("killed", "killed")
            .send(it.entry(1).address())
            .unwrap();
        let (kind, ran) = refusal(&answer);
        assert!(
            ["key-running", "key-unknown"].contains(&kind.as_str()),
            "{kind}"
        );
        assert_eq!(ran, "unknown");
        it.fleet.restart(0).unwrap();
        wait_ready(it.entry(0));
    }
    let answer = keyed_request("killed", "killed")
        .send(it.entry(0).address())
        .unwrap();
    assert_ne!(answer.status, 200);
    assert!(it.ran_key("barrier", "killed") <= 1);
}
