//! What the tests of whole fleets share.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use serde_json::{Value, json};
use standin::{
    client::{Answer, Request, Stream},
    control::Toggle,
    engine,
    fleet::{Entry, Fleet, Shape, Upstream},
    link, plain, weights,
};

const TEXT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/fleet.yaml");
pub const REFERENCE: &str = "signs/bay-summary@7";

/// Polls of [`until`] before a test gives up; far more than any host needs.
const POLLS: u32 = 3000;

/// Waits until something holds; until then it tells what it sees instead.
pub fn until(what: &str, mut seen: impl FnMut() -> Result<(), String>) {
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

pub fn success(answer: &Answer) -> Result<(), String> {
    match answer.status {
        200 => Ok(()),
        _ => Err(answer.text()),
    }
}

pub fn status(entry: &Entry) -> Value {
    let answer = Request::new("GET", "/v1/status").send(entry.address());
    answer.map(|it| it.json()).unwrap_or_default()
}

pub fn ready(entry: &Entry) -> Result<(), String> {
    let status = status(entry);
    let engines = status["engines"].as_array().map_or(0, Vec::len);
    if status["ready"] == true && status["revision"].as_u64() > Some(0) && engines > 0 {
        return Ok(());
    }
    Err(format!("{}: {status}", entry.name))
}

/// A small fleet: an engine in each failure domain, and no limit at the weight store.
pub fn shape() -> Shape {
    Shape {
        engines: 3,
        plains: vec!["barrier".to_owned(), "registry".to_owned()],
        weights: weights::Settings {
            loads_per_second: 0.0,
            load_ms: 10,
            ..weights::Settings::default()
        },
        links: Toggle::On,
        ..Shape::default()
    }
}

/// Keeps fleets from running side by side, since each has some twenty processes.
static ONE_FLEET: Mutex<()> = Mutex::new(());

/// Starts a fleet with the example text in force and passes it to a test.
pub fn check(shape: &Shape, run: impl FnOnce(&mut Fleet)) {
    let _alone = ONE_FLEET.lock().unwrap_or_else(PoisonError::into_inner);
    let mut fleet = Fleet::start(shape).unwrap();
    let platform = fleet.platform().to_string();
    let applied = fleet
        .run_cli(&["apply", TEXT, "--platform", &platform])
        .unwrap();
    assert!(applied.status.success(), "{applied:?}");
    for entry in fleet.entries() {
        until("readiness", || ready(entry));
    }
    run(&mut fleet);
}

/// A request for an adapter and version, streamed or whole.
pub fn request(reference: &str, form: Form) -> Request {
    let body = json!({
        "model": reference,
        "messages": [{"role": "user", "content": "Which bays are free?"}],
        "max_tokens": 8,
        "stream": form == Form::Stream,
    });
    Request::post("/v1/chat/completions", &body)
}

/// How an answer is wanted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Form {
    Stream,
    Whole,
}

pub fn ask(entry: &Entry) -> Answer {
    let request = request(REFERENCE, Form::Whole);
    request.send(entry.address()).unwrap()
}

pub fn expect_answer(entry: &Entry) {
    let answer = ask(entry);
    let text = chunks(REFERENCE).concat();
    let content = &answer.json()["choices"][0]["message"]["content"];
    assert_eq!(*content, text, "{}: {}", entry.name, answer.text());
}

/// The chunks of a whole answer.
pub fn chunks(reference: &str) -> [String; 8] {
    [0, 1, 2, 3, 4, 5, 6, 7].map(|it| format!("{reference}#{it} "))
}

/// The chunks that a stream brought, and how it ended.
#[derive(Debug, Eq, PartialEq)]
pub struct Streamed {
    pub chunks: Vec<String>,
    pub end: End,
}

#[derive(Debug, Eq, PartialEq)]
pub enum End {
    Done,
    /// The kind of the error event.
    Failed(String),
    BrokenOff,
}

/// Reads a stream to its end.
pub fn read(stream: Stream) -> Streamed {
    let mut chunks = Vec::new();
    let mut end = End::BrokenOff;
    for event in stream {
        assert_eq!(end, End::BrokenOff, "{event:?} follows the end");
        let data = event.json();
        match data["choices"][0]["delta"]["content"].as_str() {
            Some(text) => chunks.push(text.to_owned()),
            None if event.is_done() => end = End::Done,
            None => end = End::Failed(data["error"]["kind"].to_string()),
        }
    }
    Streamed { chunks, end }
}

/// A stream that came whole.
pub fn whole(reference: &str) -> Streamed {
    Streamed {
        chunks: chunks(reference).into(),
        end: End::Done,
    }
}

/// Sets a switch of every engine.
pub fn set_engines(fleet: &Fleet, switch: &engine::Switch) {
    for engine in fleet.engines() {
        engine.set(switch).unwrap();
    }
}

/// What every engine was asked, in the order of the engines.
pub fn engine_counts(fleet: &Fleet) -> Vec<engine::Counts> {
    let counts = fleet.engines().iter().map(Upstream::counts);
    counts.map(Result::unwrap).collect()
}

/// How many requests engines have taken.
pub fn taken(fleet: &Fleet) -> usize {
    engine_counts(fleet).iter().map(|it| it.journal.len()).sum()
}

/// A call that may run only once.
pub fn opening(key: &str) -> Request {
    let request = Request::post("/services/barrier/openings", &"lane 2");
    request.with("idempotency-key", key)
}

pub fn open(entry: &Entry, key: &str) -> Answer {
    opening(key).send(entry.address()).unwrap()
}

pub fn runs(fleet: &Fleet, key: &str) -> u64 {
    let plains = fleet.plains().iter();
    let counts = plains.map(Upstream::counts::<plain::Counts>);
    counts.map(|it| it.unwrap().runs_of_key(key)).sum()
}

pub fn set_plains(fleet: &Fleet, switch: plain::Switch) {
    for plain in fleet.plains() {
        plain.set(&switch).unwrap();
    }
}

pub fn set_links(fleet: &Fleet, path: link::Mode) {
    for entry in fleet.entries() {
        entry.link().unwrap().set(path);
    }
}
