//! Helpers of the tests for whole fleets.

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

const CONFIG_FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/fleet.yaml");
pub const REFERENCE: &str = "signs/bay-summary@7";

/// Number of polls, 20 ms apart, after which [`wait_until`] fails. It allows far more time than any
/// host needs.
const MAX_POLLS: u32 = 3000;

/// Waits until a probe succeeds. The error of the probe describes the state that it observed.
pub fn wait_until(condition: &str, mut probe: impl FnMut() -> Result<(), String>) {
    let mut last_observed = String::new();
    for _ in 0..MAX_POLLS {
        match probe() {
            Ok(()) => return,
            Err(observed) => last_observed = observed,
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("timed out waiting for {condition}: {last_observed}");
}

pub fn check_success(answer: &Answer) -> Result<(), String> {
    match answer.status {
        200 => Ok(()),
        _ => Err(answer.text()),
    }
}

pub fn read_status(entry: &Entry) -> Value {
    let answer = Request::new("GET", "/v1/status").send(entry.address());
    answer.map(|it| it.json()).unwrap_or_default()
}

pub fn check_ready(entry: &Entry) -> Result<(), String> {
    let status = read_status(entry);
    let engines = status["engines"].as_array().map_or(0, Vec::len);
    if status["ready"] == true && status["revision"].as_u64() > Some(0) && engines > 0 {
        return Ok(());
    }
    Err(format!("{}: {status}", entry.name))
}

/// Returns a small fleet with one engine in each failure domain and an unlimited weight store.
pub fn small_shape() -> Shape {
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

/// Prevents fleets from running concurrently, since each has about twenty processes.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Starts a fleet, applies the example config document, and passes the fleet to a test.
pub fn with_fleet(shape: &Shape, run: impl FnOnce(&mut Fleet)) {
    let _guard = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let mut fleet = Fleet::start(shape).unwrap();
    let platform = fleet.platform().to_string();
    let applied = fleet
        .run_cli(&["apply", CONFIG_FILE, "--platform", &platform])
        .unwrap();
    assert!(applied.status.success(), "{applied:?}");
    for entry in fleet.entries() {
        wait_until("readiness", || check_ready(entry));
    }
    run(&mut fleet);
}

/// Creates a request for an adapter and version.
pub fn request(reference: &str, delivery: Delivery) -> Request {
    let body = json!({
        "model": reference,
        "messages": [{"role": "user", "content": "Which bays are free?"}],
        "max_tokens": 8,
        "stream": delivery == Delivery::Stream,
    });
    Request::post("/v1/chat/completions", &body)
}

/// Delivery of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    Stream,
    Whole,
}

pub fn send_request(entry: &Entry) -> Answer {
    let request = request(REFERENCE, Delivery::Whole);
    request.send(entry.address()).unwrap()
}

pub fn expect_answer(entry: &Entry) {
    let answer = send_request(entry);
    let text = expected_chunks(REFERENCE).concat();
    let content = &answer.json()["choices"][0]["message"]["content"];
    assert_eq!(*content, text, "{}: {}", entry.name, answer.text());
}

/// Returns the chunks of a complete answer.
pub fn expected_chunks(reference: &str) -> [String; 8] {
    [0, 1, 2, 3, 4, 5, 6, 7].map(|it| format!("{reference}#{it} "))
}

/// The chunks and the end of a stream.
#[derive(Debug, Eq, PartialEq)]
pub struct StreamResult {
    pub chunks: Vec<String>,
    pub end: End,
}

#[derive(Debug, Eq, PartialEq)]
pub enum End {
    Done,
    /// The stream ended with an error event of this kind.
    Failed(String),
    Aborted,
}

/// Reads a stream to its end.
pub fn read_stream(stream: Stream) -> StreamResult {
    let mut chunks = Vec::new();
    let mut end = End::Aborted;
    for event in stream {
        assert_eq!(end, End::Aborted, "{event:?} follows the end");
        let data = event.json();
        match data["choices"][0]["delta"]["content"].as_str() {
            Some(text) => chunks.push(text.to_owned()),
            None if event.is_done() => end = End::Done,
            None => end = End::Failed(data["error"]["kind"].to_string()),
        }
    }
    StreamResult { chunks, end }
}

/// Returns the expected result of a complete stream.
pub fn complete_stream(reference: &str) -> StreamResult {
    StreamResult {
        chunks: expected_chunks(reference).into(),
        end: End::Done,
    }
}

/// Sets a switch of every engine.
pub fn set_engines(fleet: &Fleet, switch: &engine::Switch) {
    for engine in fleet.engines() {
        engine.set(switch).unwrap();
    }
}

/// Reads the counters of all engines, in the order of the engines.
pub fn engine_counts(fleet: &Fleet) -> Vec<engine::Counts> {
    let counts = fleet.engines().iter().map(Upstream::counts);
    counts.map(Result::unwrap).collect()
}

/// Returns the number of requests that the engines have accepted.
pub fn count_accepted(fleet: &Fleet) -> usize {
    engine_counts(fleet).iter().map(|it| it.journal.len()).sum()
}

/// Creates a call that must run at most once, identified by its idempotency key.
pub fn keyed_request(key: &str) -> Request {
    let request = Request::post("/services/barrier/openings", &"lane 2");
    request.with("idempotency-key", key)
}

pub fn send_keyed(entry: &Entry, key: &str) -> Answer {
    keyed_request(key).send(entry.address()).unwrap()
}

pub fn count_runs(fleet: &Fleet, key: &str) -> u64 {
    let plains = fleet.plains().iter();
    let counts = plains.map(Upstream::counts::<plain::Counts>);
    counts.map(|it| it.unwrap().runs_of_key(key)).sum()
}

pub fn set_plains(fleet: &Fleet, switch: plain::Switch) {
    for plain in fleet.plains() {
        plain.set(&switch).unwrap();
    }
}

pub fn set_links(fleet: &Fleet, mode: link::Mode) {
    for entry in fleet.entries() {
        entry.link().unwrap().set(mode);
    }
}
