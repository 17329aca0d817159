//! A fleet with an active configuration, and helpers for requests.

use std::{
    path::Path,
    sync::{Condvar, Mutex},
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use standin::{
    client::{Answer, Request, State, Stream},
    engine,
    fleet::{Entry, Fleet, Shape, Upstream},
};

/// Maximum number of concurrent fleets; each has about fifteen processes.
const MAX_PARALLEL_FLEETS: usize = 3;

/// The time after which waiting counts as a hang.
const HANG_TIMEOUT: Duration = Duration::from_secs(90);

/// The interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of tokens of each response.
pub const TOKENS: u32 = 6;

/// The configuration that is applied.
const CONFIG_FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/fleet.yaml");

static FREE_SLOTS: Mutex<usize> = Mutex::new(MAX_PARALLEL_FLEETS);
static SLOT_FREED: Condvar = Condvar::new();

/// Permission to run a fleet; released when dropped.
struct FleetSlot;

impl FleetSlot {
    fn acquire() -> Self {
        let free = FREE_SLOTS
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let free = SLOT_FREED.wait_while(free, |it| *it == 0);
        *free.unwrap_or_else(std::sync::PoisonError::into_inner) -= 1;
        Self
    }
}

impl Drop for FleetSlot {
    fn drop(&mut self) {
        *FREE_SLOTS
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner) += 1;
        SLOT_FREED.notify_one();
    }
}

/// A fleet with the example configuration active.
pub struct Fixture {
    pub fleet: Fleet,
    _slot: FleetSlot,
}

/// Three engines, one per failure domain, and the plain services.
pub fn shape() -> Shape {
    Shape {
        engines: 3,
        plains: vec!["barrier".to_owned(), "registry".to_owned()],
        ..Shape::default()
    }
}

impl Fixture {
    pub fn start(shape: &Shape) -> Self {
        let slot = FleetSlot::acquire();
        let fleet = Fleet::start(shape).unwrap();
        let it = Self { fleet, _slot: slot };
        it.apply(Path::new(CONFIG_FILE));
        it.wait_ready();
        it
    }

    /// Applies a configuration file. Returns the exit code and output.
    pub fn try_apply(&self, file: &Path) -> (Option<i32>, String) {
        let platform = self.fleet.platform().to_string();
        let file = file.display().to_string();
        let output = self
            .fleet
            .run_cli(&["apply", &file, "--platform", &platform]);
        let output = output.unwrap();
        let text = [output.stdout, output.stderr].concat();
        (
            output.status.code(),
            String::from_utf8_lossy(&text).into_owned(),
        )
    }

    pub fn apply(&self, file: &Path) {
        let (code, text) = self.try_apply(file);
        assert_eq!(code, Some(0), "{text}");
    }

    pub fn wait_ready(&self) {
        for entry in self.fleet.entries() {
            wait_ready(entry);
        }
    }

    pub fn entry(&self, index: usize) -> &Entry {
        self.fleet.entry(index)
    }

    /// Returns the runs of a request on all engines.
    pub fn runs(&self, request: &str) -> Vec<engine::JournalEntry> {
        let counts = self.engine_counts();
        let found = counts.iter().flat_map(|it| it.entries_for(request));
        found.cloned().collect()
    }

    pub fn engine_counts(&self) -> Vec<engine::Counts> {
        let engines = self.fleet.engines().iter();
        engines.map(|it| it.counts().unwrap()).collect()
    }

    pub fn set_engines(&self, switch: &engine::Switch) {
        for engine in self.fleet.engines() {
            engine.set(switch).unwrap();
        }
    }

    /// Returns how often the plain service `name` ran calls with a key.
    pub fn ran_key(&self, name: &str, key: &str) -> u64 {
        self.plain_counts(name)
            .iter()
            .map(|it| it.runs_of_key(key))
            .sum()
    }

    pub fn plain_counts(&self, name: &str) -> Vec<standin::plain::Counts> {
        self.plains(name).map(|it| it.counts().unwrap()).collect()
    }

    pub fn plains<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Upstream> {
        let plains = self.fleet.plains().iter();
        plains.filter(move |it| it.name.starts_with(name))
    }

    /// Returns the steward of an engine as reported by an entry host.
    pub fn steward(&self, entry: usize, engine: &str) -> Option<String> {
        let status = fetch_status(self.entry(entry))?;
        let engines = status["engines"].as_array()?;
        let found = engines.iter().find(|it| it["name"] == engine)?;
        found["steward"].as_str().map(str::to_owned)
    }

    pub fn index_of(&self, entry: &str) -> usize {
        let mut entries = self.fleet.entries().iter();
        entries.position(|it| it.name == entry).unwrap()
    }
}

pub fn fetch_status(entry: &Entry) -> Option<Value> {
    let answer = Request::new("GET", "/v1/status").send(entry.address());
    answer.ok().map(|it| it.json())
}

pub fn wait_ready(entry: &Entry) {
    wait_until(
        &format!("{} is ready with a configuration", entry.name),
        || {
            fetch_status(entry)
                .is_some_and(|it| it["ready"] == true && it["revision"].as_u64() > Some(0))
        },
    );
}

/// Waits until a condition holds.
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < HANG_TIMEOUT,
            "timed out waiting until {description}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// The requested form of a response.
#[derive(Clone, Copy, Debug)]
pub enum Delivery {
    Whole,
    Streamed,
}

pub fn chat_request(id: &str, reference: &str, delivery: Delivery) -> Request {
    chat_request_within(id, reference, delivery, "60000")
}

/// Creates a chat request with a deadline in milliseconds.
pub fn chat_request_within(
    id: &str,
    reference: &str,
    delivery: Delivery,
    deadline_ms: &str,
) -> Request {
    let body = json!({
        "model": reference,
        "messages": [{"role": "user", "content": "Which bays are free?"}],
        "max_tokens": TOKENS,
        "stream": matches!(delivery, Delivery::Streamed),
    });
    let mut request = Request::post("/v1/chat/completions", &body)
        .with("x-request-id", id)
        .with("x-deadline-ms", deadline_ms);
    request.timeout = HANG_TIMEOUT;
    request
}

pub fn keyed_request(id: &str, key: &str) -> Request {
    let mut request = Request::post("/services/barrier/open", &json!({"gate": 3}))
        .with("x-request-id", id)
        .with("x-deadline-ms", "20000")
        .with("idempotency-key", key);
    request.timeout = HANG_TIMEOUT;
    request
}

/// Returns the text that an engine generates for a reference.
pub fn content(reference: &str) -> String {
    let chunks: Vec<String> = (0..TOKENS).map(|it| format!("{reference}#{it} ")).collect();
    chunks.concat()
}

/// Checks that a response is complete and comes from the requested adapter.
pub fn check_whole(answer: &Answer, reference: &str) {
    assert_eq!(answer.status, 200, "{}", answer.text());
    let body = answer.json();
    assert_eq!(body["model"], reference);
    assert_eq!(body["choices"][0]["message"]["content"], content(reference));
}

/// Reads a stream to its end and checks that it is complete and comes from the requested adapter.
pub fn check_stream(mut stream: Stream, reference: &str) {
    let mut text = String::new();
    let mut done = 0;
    for event in stream.by_ref() {
        assert_eq!(event.kind, "", "{}", event.data);
        if event.is_done() {
            done += 1;
            continue;
        }
        let body = event.json();
        assert_eq!(body["model"], reference);
        text.push_str(body["choices"][0]["delta"]["content"].as_str().unwrap());
    }
    assert_eq!(stream.state, State::Ended, "the response is incomplete");
    assert_eq!((done, text), (1, content(reference)));
}

/// Returns the `kind` and `ran` fields of a refusal.
pub fn refusal(answer: &Answer) -> (String, String) {
    let body = answer.json();
    let field = |name: &str| body["error"][name].as_str().unwrap_or_default().to_owned();
    (field("kind"), field("ran"))
}
