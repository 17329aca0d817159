//! A request reported as `not-run` did not run.

use std::thread;

use standin::{
    client::Request,
    control::Toggle,
    engine::{self, Pace},
    plain::{Cut, Switch},
};

use crate::fixture::{
    Delivery, Fixture, TOKENS, chat_request, keyed_request, refusal, shape, wait_until,
};

/// Covers: connections closed before, during and after the run of a call that may not be repeated.
#[test]
fn interrupted_calls_are_never_reported_as_not_run() {
    let it = Fixture::start(&shape());
    for (number, at) in [Cut::BeforeRun, Cut::BeforeAnswer, Cut::DuringAnswer]
        .into_iter()
        .enumerate()
    {
        for plain in it.plains("barrier") {
            plain.set(&Switch::Cut { at, times: 1 }).unwrap();
        }
        let key = format!("cut-{number}");
        let answer = keyed_request(&key, &key)
            .send(it.entry(0).address())
            .unwrap();
        let (kind, ran) = refusal(&answer);
        assert_eq!((kind.as_str(), ran.as_str()), ("upstream-lost", "unknown"));
        assert!(it.ran_key("barrier", &key) <= 1);
        // Repeating the call on another host must not run it again.
        let answer = keyed_request(&key, &key)
            .send(it.entry(2).address())
            .unwrap();
        assert_eq!(refusal(&answer).0, "key-unknown");
        assert!(it.ran_key("barrier", &key) <= 1);
        for plain in it.plains("barrier") {
            plain.set(&Switch::Cut { at, times: 0 }).unwrap();
        }
    }
}

/// Covers: terminated instances. The call does not run and its key can be used again.
#[test]
fn refused_connections_have_not_run() {
    let it = Fixture::start(&shape());
    for plain in it.plains("barrier") {
        plain.process().kill();
    }
    let answer = keyed_request("gone", "gone")
        .send(it.entry(0).address())
        .unwrap();
    assert_eq!(refusal(&answer).1, "not-run");
    let answer = keyed_request("gone", "gone")
        .send(it.entry(1).address())
        .unwrap();
    assert_eq!(refusal(&answer).1, "not-run");
}

/// Covers: an attempt that ran but whose response was withheld, without another engine for a retry.
#[test]
fn later_attempt_does_not_hide_an_earlier_one() {
    let mut shape = shape();
    shape.engines = 1;
    let it = Fixture::start(&shape);
    let other = "signs/bay-summary@6+1".to_owned();
    it.set_engines(&engine::Switch::AnswerAs(other));
    it.set_engines(&engine::Switch::Pace(Pace::Stepped));
    let request = chat_request("withheld", "signs/bay-summary@7", Delivery::Whole);
    let address = it.entry(0).address();
    let caller = thread::spawn(move || request.send(address).unwrap());
    wait_until("the request runs", || !it.runs("withheld").is_empty());
    it.set_engines(&engine::Switch::Leaving(Toggle::On));
    it.set_engines(&engine::Switch::Step(TOKENS));
    let answer = caller.join().unwrap();
    assert_eq!(it.runs("withheld").len(), 1);
    assert_eq!(refusal(&answer), ("wrong-adapter".into(), "ran".into()));
}

/// Covers: the same for a plain service whose calls may be repeated.
#[test]
fn refusals_do_not_hide_an_interrupted_call() {
    let it = Fixture::start(&shape());
    let entry = it.entry(0);
    for plain in it.plains("registry") {
        if plain.domain == entry.domain {
            let at = Cut::BeforeAnswer;
            plain.set(&Switch::Cut { at, times: 1 }).unwrap();
        } else {
            plain.process().kill();
        }
    }
    let request = Request::new("GET", "/services/registry/card").with("x-request-id", "cut");
    let answer = request.send(entry.address()).unwrap();
    let (kind, ran) = refusal(&answer);
    assert_eq!((kind.as_str(), ran.as_str()), ("upstream-lost", "unknown"));
}

/// Covers: an instance's own refusal is passed on, and names the instance. It tells nothing about the
/// run, whereas a refusal by the host names none.
#[test]
fn a_refusal_by_an_instance_is_told_from_one_by_the_host() {
    let it = Fixture::start(&shape());
    let address = it.entry(0).address();
    let request = Request::new("GET", "/services/registry/card");
    for plain in it.plains("registry") {
        plain.set(&Switch::Refuse(Toggle::On)).unwrap();
    }
    let answer = request.send(address).unwrap();
    assert_eq!(answer.status, 503);
    assert!(answer.header("x-upstream").starts_with("registry"));
    assert_eq!(refusal(&answer), (String::new(), String::new()));
    for plain in it.plains("registry") {
        plain.set(&Switch::Leaving(Toggle::On)).unwrap();
    }
    let answer = request.send(address).unwrap();
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("x-upstream"), "");
    assert_eq!(refusal(&answer).1, "not-run");
}
