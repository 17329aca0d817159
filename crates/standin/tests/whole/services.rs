//! Plain services whose calls break off at each place.

use standin::{
    client::{Answer, Request},
    control::Toggle,
    fleet::Entry,
    plain::{Counts, Cut, Switch},
};

use crate::support::{check, open, runs, set_plains, shape};

fn told(answer: &Answer) -> String {
    let error = answer.json()["error"].clone();
    let ran = error["ran"].as_str().unwrap_or_default().to_owned();
    format!("{} {ran}", answer.status)
}

fn look_up(entry: &Entry) -> Answer {
    let request = Request::new("GET", "/services/registry/counts");
    request.send(entry.address()).unwrap()
}

// A call that may not be repeated and broke off after it was sent is unknown, also when it did not
// run; it is never sent again, neither by the host nor for a repeat at another host.
#[test]
fn a_broken_call_is_not_repeated() {
    let cuts = [
        (Cut::BeforeRun, 0),
        (Cut::BeforeAnswer, 1),
        (Cut::DuringAnswer, 1),
    ];
    check(&shape(), |fleet| {
        for (at, expected) in cuts {
            let key = format!("{at:?}");
            set_plains(fleet, Switch::Cut { at, times: 1 });
            let first = open(fleet.entry(0), &key);
            assert_eq!(told(&first), "502 unknown", "{key}: {}", first.text());
            set_plains(fleet, Switch::Cut { at, times: 0 });
            for entry in fleet.entries() {
                let again = open(entry, &key);
                assert!(
                    told(&again).ends_with(" unknown"),
                    "{key}: {}",
                    again.text()
                );
            }
            assert_eq!(runs(fleet, &key), expected, "{key}");
        }
    });
}

// A refusal by every instance is told as not run and isn't recorded as a run: the key is free.
#[test]
fn a_refused_call_may_be_sent_again() {
    check(&shape(), |fleet| {
        set_plains(fleet, Switch::Leaving(Toggle::On));
        let refused = open(fleet.entry(0), "k1");
        assert_eq!(told(&refused), "503 not-run", "{}", refused.text());
        set_plains(fleet, Switch::Leaving(Toggle::Off));
        let first = open(fleet.entry(1), "k1");
        assert_eq!(first.status, 200, "{}", first.text());
        assert_eq!(open(fleet.entry(2), "k1").body, first.body);
        assert_eq!(runs(fleet, "k1"), 1);
    });
}

// A lookup may be repeated: a call that broke off at one instance is hidden from its caller.
#[test]
fn a_broken_lookup_is_repeated() {
    check(&shape(), |fleet| {
        let at = Cut::BeforeAnswer;
        let registry = fleet.plains().iter().find(|it| it.name == "registry-a1");
        registry
            .unwrap()
            .set(&Switch::Cut { at, times: 1 })
            .unwrap();
        for entry in fleet.entries() {
            let answer = look_up(entry);
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
        let counts: Counts = registry.unwrap().counts().unwrap();
        assert!(
            counts.total_runs() > 0,
            "the broken instance was not called"
        );
    });
}
