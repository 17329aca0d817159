//! When a caller is told that a request was not run, it was not run.

use standin::plain::{Cut, Switch};

use crate::fixture::{Fixture, keyed, refusal, shape};

/// Covers: connections closed before, during and after the run of a call that may not be repeated.
#[test]
fn cut_calls_are_never_called_not_run() {
    let it = Fixture::start(&shape());
    for (number, at) in [Cut::BeforeRun, Cut::BeforeAnswer, Cut::DuringAnswer]
        .into_iter()
        .enumerate()
    {
        for plain in it.plains("barrier") {
            plain.set(&Switch::Cut { at, times: 1 }).unwrap();
        }
        let key = format!("cut-{number}");
        let answer = keyed(&key, &key).send(it.entry(0).address()).unwrap();
        let (kind, ran) = refusal(&answer);
        assert_eq!((kind.as_str(), ran.as_str()), ("upstream-lost", "unknown"));
        assert!(it.ran_key("barrier", &key) <= 1);
        // The repeat may not run it again, wherever it goes.
        let answer = keyed(&key, &key).send(it.entry(2).address()).unwrap();
        assert_eq!(refusal(&answer).0, "key-unknown");
        assert!(it.ran_key("barrier", &key) <= 1);
        for plain in it.plains("barrier") {
            plain.set(&Switch::Cut { at, times: 0 }).unwrap();
        }
    }
}

/// Covers: instances that are gone; the call was not run and its key is free again.
#[test]
fn refused_connections_have_not_run() {
    let it = Fixture::start(&shape());
    for plain in it.plains("barrier") {
        plain.process().kill();
    }
    let answer = keyed("gone", "gone").send(it.entry(0).address()).unwrap();
    assert_eq!(refusal(&answer).1, "not-run");
    let answer = keyed("gone", "gone").send(it.entry(1).address()).unwrap();
    assert_eq!(refusal(&answer).1, "not-run");
}
