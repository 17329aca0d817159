//! Sends requests to model services, with whole and with streamed answers, and checks the answers.

use std::time::Instant;

use serde_json::{Value, json};
use standin::{
    client::{self, Answer, Request, State},
    engine::{Counts, End, JournalEntry},
    fleet::{self, Fleet, Upstream},
};

use super::outcome::Outcome;

/// Adapters and versions that are requested through each entry host.
const REFERENCES: [&str; 3] = [
    "signs/bay-summary@6",
    "signs/bay-summary@7",
    "cards/formula-card@12",
];

/// Number of tokens of each answer.
const ANSWER_TOKENS: u32 = 8;

/// Sends all requests through one entry host.
pub fn send_all(entry: &fleet::Entry) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    for (index, reference) in REFERENCES.iter().enumerate() {
        let id = format!("demo-{}-{index}", entry.name);
        outcomes.push(send_whole(entry, format!("{id}-whole"), reference));
        outcomes.push(send_stream(entry, format!("{id}-stream"), reference));
    }
    outcomes
}

fn chat_request(id: &str, reference: &str, stream: bool) -> Request {
    let body = json!({
        "model": reference,
        "messages": [{"role": "user", "content": "Which bays are free?"}],
        "max_tokens": ANSWER_TOKENS,
        "stream": stream,
    });
    let request = Request::post("/v1/chat/completions", &body).with("x-request-id", id);
    request
        .with("x-tenant", "car-parks")
        .with("x-deadline-ms", "10000")
}

fn send_whole(entry: &fleet::Entry, id: String, reference: &str) -> Outcome {
    let start = Instant::now();
    let answer = chat_request(&id, reference, false).send(entry.address());
    let mut outcome = Outcome::new(id, &entry.name, reference);
    match answer {
        Ok(answer) => {
            outcome.first_token = Some(start.elapsed());
            check_whole(&mut outcome, &answer);
        }
        Err(failure) => outcome.errors.push(failure.to_string()),
    }
    outcome
}

fn check_whole(outcome: &mut Outcome, answer: &Answer) {
    outcome.expect(
        answer.status == 200,
        format!("{}: {}", answer.status, answer.text()),
    );
    check_head(outcome, |name| answer.header(name).to_owned());
    let body = answer.json();
    check_model(outcome, &body);
    let expected: String = (0..ANSWER_TOKENS)
        .map(|it| expected_text(&outcome.target, it))
        .collect();
    let content = &body["choices"][0]["message"]["content"];
    outcome.expect(*content == expected, format!("the text is {content}"));
}

fn send_stream(entry: &fleet::Entry, id: String, reference: &str) -> Outcome {
    let start = Instant::now();
    let stream = chat_request(&id, reference, true).stream(entry.address());
    let mut outcome = Outcome::new(id, &entry.name, reference);
    let mut stream = match stream {
        Ok(stream) => stream,
        Err(failure) => {
            outcome.errors.push(failure.to_string());
            return outcome;
        }
    };
    let status = stream.status;
    if status != 200 {
        outcome.errors.push(format!("{status}: {}", stream.text()));
        return outcome;
    }
    let headers = stream.headers.clone();
    check_head(&mut outcome, |name| {
        headers.get(name).cloned().unwrap_or_default()
    });
    let mut chunks = 0;
    let mut done_count = 0;
    for event in stream.by_ref() {
        outcome.first_token.get_or_insert_with(|| event.at - start);
        outcome.expect(done_count == 0, "an event follows [DONE]");
        if event.is_done() {
            done_count += 1;
            continue;
        }
        check_chunk(&mut outcome, &event, chunks);
        chunks += 1;
    }
    outcome.expect(
        chunks == ANSWER_TOKENS,
        format!("{chunks} chunks in place of {ANSWER_TOKENS}"),
    );
    outcome.expect(done_count == 1, "no [DONE]");
    outcome.expect(stream.state == State::Ended, "the answer broke off");
    outcome
}

fn check_chunk(outcome: &mut Outcome, event: &client::Event, chunk: u32) {
    outcome.expect(
        event.kind.is_empty(),
        format!("event {}: {}", event.kind, event.data),
    );
    let body = event.json();
    check_model(outcome, &body);
    let expected = expected_text(&outcome.target, chunk);
    let content = &body["choices"][0]["delta"]["content"];
    outcome.expect(*content == expected, format!("chunk {chunk} is {content}"));
}

fn check_head(outcome: &mut Outcome, header: impl Fn(&str) -> String) {
    outcome.load_stall_ms = header("x-load-stall-ms");
    let [id, adapter, entry] = ["x-request-id", "x-adapter", "x-served-by"].map(header);
    outcome.expect(id == outcome.request, format!("the request id is {id:?}"));
    outcome.expect(
        adapter == outcome.target,
        format!("the adapter is {adapter:?}"),
    );
    outcome.expect(entry == outcome.entry, format!("served by {entry:?}"));
}

/// Checks the adapter, which may be followed by its load epoch, and records the id of the run.
fn check_model(outcome: &mut Outcome, body: &Value) {
    let model = body["model"].as_str().unwrap_or_default();
    let reference = model.split('+').next();
    outcome.expect(
        reference == Some(&outcome.target),
        format!("the model is {model:?}"),
    );
    let run = body["id"].as_str().unwrap_or_default();
    run.clone_into(&mut outcome.run);
}

fn expected_text(reference: &str, chunk: u32) -> String {
    format!("{reference}#{chunk} ")
}

/// Checks the journals of the engines: each request ran exactly once, to its end, on the requested
/// adapter, and nothing else ran.
pub fn check_runs(fleet: &Fleet, outcomes: &mut Vec<Outcome>) -> Result<(), client::Failure> {
    let mut runs = Vec::new();
    for engine in fleet.engines() {
        let journal = engine.counts::<Counts>()?.journal;
        runs.extend(journal.into_iter().map(|entry| (engine, entry)));
    }
    for outcome in outcomes.iter_mut() {
        let (matching, others) = runs.into_iter().partition(|it| it.1.request == outcome.run);
        runs = others;
        check_run(outcome, &matching);
    }
    for (engine, entry) in runs {
        let mut outcome = Outcome::new(entry.request, "-", &entry.loaded);
        outcome.domain.clone_from(&engine.domain);
        let error = format!("{} ran a request that got no answer", engine.name);
        outcome.errors.push(error);
        outcomes.push(outcome);
    }
    Ok(())
}

fn check_run(outcome: &mut Outcome, runs: &[(&Upstream, JournalEntry)]) {
    let count = runs.len();
    outcome.expect(count == 1, format!("it ran {count} times"));
    for (engine, entry) in runs {
        outcome.domain.clone_from(&engine.domain);
        let reference = entry.loaded.split('+').next();
        outcome.expect(
            reference == Some(&outcome.target),
            format!("{} ran {}", engine.name, entry.loaded),
        );
        outcome.expect(
            entry.ended == Some(End::Finished),
            format!("{} ended it as {:?}", engine.name, entry.ended),
        );
    }
}
