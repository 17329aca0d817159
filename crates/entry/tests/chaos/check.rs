//! Checks a history against what the upstream stand-ins ran.

use std::collections::{BTreeMap, BTreeSet};

use standin::{engine, plain};

use crate::{
    fixture::{TOKENS, content},
    history::{Call, End, Exit, History, Operation, Outcome, Streamed},
    world::World,
};

/// The requests that the upstreams ran.
struct UpstreamCounts {
    engines: Vec<engine::Counts>,
    plains: Vec<plain::Counts>,
}

impl UpstreamCounts {
    /// Returns whether any part of a request ran.
    fn ran(&self, id: &str) -> bool {
        let mut engines = self.engines.iter().flat_map(|it| it.entries_for(id));
        engines.any(|it| it.chunks > 0) || self.plains.iter().any(|it| it.runs_of_request(id) > 0)
    }

    fn ran_key(&self, key: &str) -> u64 {
        self.plains.iter().map(|it| it.runs_of_key(key)).sum()
    }
}

/// Returns a description of each violated guarantee.
pub fn find_violations(world: &World) -> Vec<String> {
    let history = &world.history;
    let counts = UpstreamCounts {
        engines: world.fixture.engine_counts(),
        plains: world.fixture.plain_counts("barrier"),
    };
    let checks = [
        check_adapter(history),
        check_evictions(&counts),
        check_completeness(history),
        check_not_run(history, &counts),
        check_once(history, &counts),
        check_leaving(history),
        check_shutdowns(history, &counts),
        check_revisions(world),
    ];
    print_outcomes(history);
    checks.concat()
}

fn print_outcomes(history: &History) {
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    for call in &history.calls {
        let operation = match call.operation {
            Operation::Keyed { .. } => "keyed",
            Operation::Model { .. } => "model",
        };
        let outcome = match &call.outcome {
            Outcome::Whole(_) => "whole".to_owned(),
            Outcome::Streamed(it) => format!("stream {:?}", it.end),
            Outcome::PassedOn(_) => "passed on".to_owned(),
            Outcome::Refused { kind, ran } => format!("{kind} {ran}"),
            Outcome::Lost(_) => "lost".to_owned(),
            Outcome::GivenUp => "given up".to_owned(),
        };
        *outcomes
            .entry(format!("{operation}: {outcome}"))
            .or_default() += 1;
    }
    println!("outcomes: {outcomes:#?}");
    println!("leaves: {:?}", history.leaves);
}

fn describe(guarantee: &str, call: &Call) -> String {
    format!("{guarantee}: {call:?}")
}

/// 1. Every chunk comes from the requested adapter and version.
fn check_adapter(history: &History) -> Vec<String> {
    let calls = history.calls.iter();
    let violating = calls.filter(|call| match (&call.operation, &call.outcome) {
        (Operation::Model { reference, .. }, Outcome::Whole(body)) => !is_whole(body, reference),
        (Operation::Model { reference, .. }, Outcome::Streamed(it)) => !is_in_order(it, reference),
        _ => false,
    });
    violating
        .map(|it| describe("the response came from another adapter", it))
        .collect()
}

fn is_whole(body: &str, reference: &str) -> bool {
    let body: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    body["model"] == reference && body["choices"][0]["message"]["content"] == content(reference)
}

fn is_in_order(stream: &Streamed, reference: &str) -> bool {
    let mut chunks = stream.chunks.iter().enumerate();
    chunks.all(|(index, (model, text))| {
        model == reference && *text == format!("{reference}#{index} ")
    })
}

/// 2. No engine unloaded an adapter in use.
fn check_evictions(counts: &UpstreamCounts) -> Vec<String> {
    let engines = counts.engines.iter().enumerate();
    let engines = engines.filter(|(_, it)| it.ended_by_unload > 0);
    engines
        .map(|(index, it)| format!("evicted in use: engine {index}: {}", it.ended_by_unload))
        .collect()
}

/// 3. A response that looks complete is complete.
fn check_completeness(history: &History) -> Vec<String> {
    let expected_chunks = usize::try_from(TOKENS).unwrap_or_default();
    let calls = history.calls.iter();
    let violating = calls.filter(|call| match &call.outcome {
        Outcome::Streamed(it) => match it.end {
            End::Done => it.chunks.len() != expected_chunks,
            End::Silent => true,
            End::Error | End::Broken | End::GivenUp => false,
        },
        Outcome::Refused { kind, ran } => kind.is_empty() || ran.is_empty(),
        _ => false,
    });
    violating
        .map(|it| describe("an incomplete response looked complete", it))
        .collect()
}

/// 4. A request reported as `not-run` did not run.
fn check_not_run(history: &History, counts: &UpstreamCounts) -> Vec<String> {
    let calls = history.calls.iter();
    let refused = calls.filter(|call| match &call.outcome {
        Outcome::Refused { ran, .. } => ran == "not-run",
        _ => false,
    });
    let violating = refused.filter(|it| counts.ran(&it.id));
    violating
        .map(|it| describe("reported as not run, but ran", it))
        .collect()
}

/// 5. A key runs at most once, and all complete responses to it are equal.
fn check_once(history: &History, counts: &UpstreamCounts) -> Vec<String> {
    let mut by_key: BTreeMap<&str, Vec<&Call>> = BTreeMap::new();
    for call in &history.calls {
        if let Operation::Keyed { key } = &call.operation {
            by_key.entry(key).or_default().push(call);
        }
    }
    let violating = by_key.into_iter().filter_map(|(key, calls)| {
        let violation = find_key_violation(&calls, counts.ran_key(key))?;
        Some(format!("{key}: {violation}: {calls:#?}"))
    });
    violating.collect()
}

fn find_key_violation(calls: &[&Call], ran: u64) -> Option<String> {
    let outcomes = || calls.iter().map(|it| &it.outcome);
    let bodies = outcomes().filter_map(|it| match it {
        Outcome::Whole(body) | Outcome::PassedOn(body) => Some(body),
        _ => None,
    });
    let is_whole = outcomes().any(|it| matches!(it, Outcome::Whole(_)));
    let bodies: BTreeSet<&String> = bodies.collect();
    let kinds = outcomes().filter_map(|it| match it {
        Outcome::Refused { kind, ran } if ran != "not-run" => Some(kind.as_str()),
        _ => None,
    });
    let started = kinds.filter(|it| !["key-running", "key-unknown"].contains(it));
    let started = started.count();
    match (ran, bodies.len()) {
        (2.., _) => Some(format!("ran {ran} times")),
        (_, 2..) => Some("different answers".to_owned()),
        (0, _) if is_whole => Some("answered without a run".to_owned()),
        _ if started > 1 => Some("started more than once".to_owned()),
        _ => None,
    }
}

/// 6. A leaving engine receives no new requests or loads.
fn check_leaving(history: &History) -> Vec<String> {
    let violating = history.leaves.iter().filter(|it| it.arrivals > 0);
    violating
        .map(|it| format!("a leaving engine received a request or load: {it:?}"))
        .collect()
}

/// 7. After SIGTERM a process exits with code 0 and aborts no request.
fn check_shutdowns(history: &History, counts: &UpstreamCounts) -> Vec<String> {
    let terminated = history.exits.iter().filter(|it| it.1 != Exit::Killed);
    let mut violations = Vec::new();
    for (incarnation, exit) in terminated {
        if *exit != Exit::Terminated(Some(0)) {
            violations.push(format!("a shutdown failed: {incarnation:?} {exit:?}"));
        }
        let calls = history
            .calls
            .iter()
            .filter(|it| it.incarnation == *incarnation);
        let violating = calls.filter(|call| match &call.outcome {
            Outcome::Streamed(it) => it.end == End::Broken,
            Outcome::Lost(_) => counts.ran(&call.id),
            _ => false,
        });
        violations.extend(violating.map(|it| describe("a shutdown aborted the request", it)));
    }
    violations
}

/// 8. Revisions never decrease, and accepted edits are active at the end.
fn check_revisions(world: &World) -> Vec<String> {
    let mut violations = Vec::new();
    let mut last = BTreeMap::new();
    for observed in &world.history.revisions {
        let before = last.insert(observed.incarnation, observed.revision);
        if before.is_some_and(|it| it > observed.revision) {
            violations.push(format!("a revision decreased: {before:?} {observed:?}"));
        }
    }
    for call in &world.history.calls {
        if let Operation::Model { reference, .. } = &call.operation
            && reference.starts_with("signs/edited@")
            && !matches!(call.outcome, Outcome::Whole(_))
            && !call.is_retryable()
        {
            violations.push(describe("an accepted edit is not active", call));
        }
    }
    violations
}
