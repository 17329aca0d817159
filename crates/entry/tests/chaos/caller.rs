//! Caller threads that send requests and record the outcomes.

use std::{
    net::SocketAddr,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use rand::{RngExt, rngs::StdRng};
use standin::client::{Answer, Request, State, Stream};

use crate::{
    fixture::{self, Delivery},
    history::{Call, End, Incarnation, Operation, Outcome, Streamed},
};

/// Deadline of a request, in milliseconds.
const DEADLINE_MS: &str = "2000";

/// The time after which a caller gives up.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);

/// A request to send.
#[derive(Clone, Debug)]
pub struct Plan {
    pub id: String,
    pub incarnation: Incarnation,
    pub step: usize,
    pub operation: Operation,
    pub address: SocketAddr,
}

/// Sends requests sequentially on a new thread.
pub fn spawn(plans: Vec<Plan>) -> JoinHandle<Vec<Call>> {
    thread::spawn(move || plans.into_iter().map(send).collect())
}

/// Chooses an operation. Few adapters and keys are used, so that requests collide.
pub fn choose(rng: &mut StdRng, references: &[String], step: usize) -> Operation {
    if rng.random_range(0..3) == 0 {
        // Reuses keys of earlier steps, possibly while their first call still runs.
        let earliest = step.saturating_sub(3);
        let key = format!(
            "key-{}-{}",
            rng.random_range(earliest..=step),
            rng.random_range(0..4)
        );
        return Operation::Keyed { key };
    }
    let rank = rng
        .random_range(0..references.len())
        .min(rng.random_range(0..references.len()));
    let delivery = match rng.random_range(0..2) {
        0 => Delivery::Whole,
        _ => Delivery::Streamed,
    };
    Operation::Model {
        reference: references[rank].clone(),
        delivery,
    }
}

/// Sends a request and reads the response.
pub fn send(plan: Plan) -> Call {
    let start = Instant::now();
    let outcome = match &plan.operation {
        Operation::Model {
            reference,
            delivery,
        } => send_model(&plan, reference, *delivery),
        Operation::Keyed { key } => send_whole(&keyed_request_in_time(&plan.id, key), plan.address),
    };
    let outcome = match start.elapsed() {
        it if it >= CALLER_TIMEOUT => mark_given_up(outcome),
        _ => outcome,
    };
    Call {
        id: plan.id,
        incarnation: plan.incarnation,
        step: plan.step,
        operation: plan.operation,
        outcome,
    }
}

/// Distinguishes a response that the caller itself aborted from a broken one.
fn mark_given_up(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Lost(_) => Outcome::GivenUp,
        Outcome::Streamed(Streamed {
            chunks,
            end: End::Broken,
        }) => Outcome::Streamed(Streamed {
            chunks,
            end: End::GivenUp,
        }),
        outcome => outcome,
    }
}

fn send_model(plan: &Plan, reference: &str, delivery: Delivery) -> Outcome {
    let request = fixture::chat_request_within(&plan.id, reference, delivery, DEADLINE_MS);
    match delivery {
        Delivery::Whole => send_whole(&request, plan.address),
        Delivery::Streamed => send_streamed(&with_caller_timeout(&request), plan.address),
    }
}

fn keyed_request_in_time(id: &str, key: &str) -> Request {
    let mut request = fixture::keyed_request(id, key);
    let headers = request.headers.iter_mut();
    for (_, value) in headers.filter(|it| it.0 == "x-deadline-ms") {
        DEADLINE_MS.clone_into(value);
    }
    request
}

fn with_caller_timeout(request: &Request) -> Request {
    Request {
        timeout: CALLER_TIMEOUT,
        ..request.clone()
    }
}

fn send_whole(request: &Request, address: SocketAddr) -> Outcome {
    match with_caller_timeout(request).send(address) {
        Ok(answer) if answer.status == 200 => Outcome::Whole(answer.text()),
        Ok(answer) => refused_outcome(&answer),
        Err(failure) => Outcome::Lost(failure.to_string()),
    }
}

fn refused_outcome(answer: &Answer) -> Outcome {
    let (kind, ran) = fixture::refusal(answer);
    if kind.is_empty() && !answer.header("x-upstream").is_empty() {
        return Outcome::PassedOn(format!("{} {}", answer.status, answer.text()));
    }
    Outcome::Refused { kind, ran }
}

fn send_streamed(request: &Request, address: SocketAddr) -> Outcome {
    let stream = match request.stream(address) {
        Ok(stream) => stream,
        Err(failure) => return Outcome::Lost(failure.to_string()),
    };
    if stream.status == 200 {
        return Outcome::Streamed(read_stream(stream));
    }
    refused_outcome(&Answer {
        status: stream.status,
        headers: stream.headers.clone(),
        body: stream.text().into_bytes(),
    })
}

fn read_stream(mut stream: Stream) -> Streamed {
    let mut chunks = Vec::new();
    let mut end = None;
    for event in stream.by_ref() {
        let body = event.json();
        if event.is_done() {
            end = Some(End::Done);
        } else if event.kind == "error" {
            end = Some(End::Error);
        } else {
            let text = body["choices"][0]["delta"]["content"].as_str();
            let model = body["model"].as_str().unwrap_or_default().to_owned();
            chunks.push((model, text.unwrap_or_default().to_owned()));
        }
    }
    let end = match (end, stream.state) {
        // A complete response also requires an orderly end of the connection.
        (Some(End::Done), State::Broken) => End::Broken,
        (Some(end), _) => end,
        (None, State::Ended) => End::Silent,
        (None, _) => End::Broken,
    };
    Streamed { chunks, end }
}
