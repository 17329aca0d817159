//! The real entry hosts on the stand-ins, through cuts, kills and shutdown.

use std::time::Duration;

use serde_json::{Value, json};
use standin::{
    client::{Answer, Request},
    control::Power,
    fleet::{Entry, Fleet, Shape, Upstream, process::Ended},
    link, plain, weights,
};

const TEXT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/fleet.yaml");
const REFERENCE: &str = "signs/bay-summary@7";

/// Polls of [`until`] before a test gives up; far more than any host needs.
const POLLS: u32 = 3000;

/// Waits until something holds; until then it tells what it sees instead.
fn until(what: &str, mut seen: impl FnMut() -> Result<(), String>) {
    let mut last = String::new();
    for _ in 0..POLLS {
        match seen() {
            Ok(()) => return,
            Err(seen) => last = seen,
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("{what} did not come about: {last}");
}

fn success(answer: &Answer) -> Result<(), String> {
    match answer.status {
        200 => Ok(()),
        _ => Err(answer.text()),
    }
}

fn status(entry: &Entry) -> Value {
    let answer = Request::new("GET", "/v1/status").send(entry.address());
    answer.map(|it| it.json()).unwrap_or_default()
}

fn ready(entry: &Entry) -> Result<(), String> {
    let status = status(entry);
    let engines = status["engines"].as_array().map_or(0, Vec::len);
    if status["ready"] == true && status["revision"].as_u64() > Some(0) && engines > 0 {
        return Ok(());
    }
    Err(format!("{}: {status}", entry.name))
}

fn check(run: impl FnOnce(&mut Fleet)) {
    let shape = Shape {
        engines: 3,
        plains: vec!["barrier".to_owned(), "registry".to_owned()],
        weights: weights::Settings {
            loads_per_second: 0.0,
            load_ms: 10,
            ..weights::Settings::default()
        },
        links: Power::On,
        ..Shape::default()
    };
    let mut fleet = Fleet::start(&shape).unwrap();
    let platform = fleet.platform().to_string();
    let applied = fleet
        .cli(&["apply", TEXT, "--platform", &platform])
        .unwrap();
    assert!(applied.status.success(), "{applied:?}");
    for entry in fleet.entries() {
        until("readiness", || ready(entry));
    }
    run(&mut fleet);
}

fn ask(entry: &Entry) -> Answer {
    let body = json!({
        "model": REFERENCE,
        "messages": [{"role": "user", "content": "Which bays are free?"}],
        "max_tokens": 8,
    });
    let request = Request::post("/v1/chat/completions", &body);
    request.send(entry.address()).unwrap()
}

fn expect_answer(entry: &Entry) {
    let answer = ask(entry);
    let text = [0, 1, 2, 3, 4, 5, 6, 7].map(|it| format!("{REFERENCE}#{it} "));
    let content = &answer.json()["choices"][0]["message"]["content"];
    assert_eq!(*content, text.concat(), "{}: {}", entry.name, answer.text());
}

fn open(entry: &Entry, key: &str) -> Answer {
    let request = Request::post("/services/barrier/openings", &"lane 2");
    let request = request.with("idempotency-key", key);
    request.send(entry.address()).unwrap()
}

fn runs(fleet: &Fleet, key: &str) -> u64 {
    let plains = fleet.plains().iter();
    let counts = plains.map(Upstream::counts::<plain::Counts>);
    counts.map(|it| it.unwrap().ran_key(key)).sum()
}

fn set_links(fleet: &Fleet, path: link::Path) {
    for entry in fleet.entries() {
        entry.link().unwrap().set(path);
    }
}

// Cut off from the platform, every host answers model requests as before; a keyed call is refused
// and has not run, and runs once when the platform is back.
#[test]
fn model_requests_outlive_the_platform() {
    check(|fleet| {
        for entry in fleet.entries() {
            expect_answer(entry);
        }
        set_links(fleet, link::Path::Closed);
        for entry in fleet.entries() {
            expect_answer(entry);
        }
        let refused = open(fleet.entry(0), "k1");
        assert_eq!(
            refused.json()["error"]["ran"],
            "not-run",
            "{}",
            refused.text()
        );
        assert_eq!(runs(fleet, "k1"), 0);
        set_links(fleet, link::Path::Open);
        until("a keyed call", || success(&open(fleet.entry(0), "k1")));
        assert_eq!(open(fleet.entry(1), "k1").status, 200);
        assert_eq!(runs(fleet, "k1"), 1);
    });
}

// After one host was killed, all others answer; it answers again after its restart.
#[test]
fn a_killed_host_is_replaced() {
    check(|fleet| {
        fleet.entry(0).process().kill();
        for entry in &fleet.entries()[1..] {
            until(&entry.name, || success(&ask(entry)));
            expect_answer(entry);
        }
        fleet.restart(0).unwrap();
        until("readiness", || ready(fleet.entry(0)));
        until("an answer", || success(&ask(fleet.entry(0))));
        expect_answer(fleet.entry(0));
    });
}

// Told to shut down, every host ends by itself and well.
#[test]
fn hosts_shut_down_well() {
    check(|fleet| {
        for (name, ended) in fleet.shut_down(Duration::from_mins(1)) {
            let well = matches!(ended, Ended::With(status) if status.success());
            assert!(well, "{name}: {ended:?}");
        }
    });
}
