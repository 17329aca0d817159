//! Checks a history against what the stand-ins ran.

use std::collections::{BTreeMap, BTreeSet};

use standin::{engine, plain};

use crate::{
    fixture::{TOKENS, content},
    history::{Ask, Call, Death, End, History, Outcome, Streamed},
    world::World,
};

/// What the upstreams ran.
struct Journals {
    engines: Vec<engine::Counts>,
    plains: Vec<plain::Counts>,
}

impl Journals {
    /// Whether anything ran of a request.
    fn has(&self, id: &str) -> bool {
        let mut engines = self.engines.iter().flat_map(|it| it.request(id));
        engines.any(|it| it.chunks > 0) || self.plains.iter().any(|it| it.ran_request(id) > 0)
    }

    fn ran_key(&self, key: &str) -> u64 {
        self.plains.iter().map(|it| it.ran_key(key)).sum()
    }
}

/// Each promise that was broken, in words.
pub fn faults(world: &World) -> Vec<String> {
    let history = &world.history;
    let journals = Journals {
        engines: world.it.engine_counts(),
        plains: world.it.plain_counts("barrier"),
    };
    let checks = [
        named(history),
        evicted(&journals),
        whole(history),
        not_run(history, &journals),
        once(history, &journals),
        left(history),
        shut_down(history, &journals),
        reverted(world),
    ];
    print_outcomes(history);
    checks.concat()
}

fn print_outcomes(history: &History) {
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    for call in &history.calls {
        let asked = match call.ask {
            Ask::Keyed { .. } => "keyed",
            Ask::Model { .. } => "model",
        };
        let outcome = match &call.outcome {
            Outcome::Whole(_) => "whole".to_owned(),
            Outcome::Streamed(it) => format!("stream {:?}", it.end),
            Outcome::Passed(_) => "passed on".to_owned(),
            Outcome::Refused { kind, ran } => format!("{kind} {ran}"),
            Outcome::Lost(_) => "lost".to_owned(),
            Outcome::GivenUp => "given up".to_owned(),
        };
        *outcomes.entry(format!("{asked}: {outcome}")).or_default() += 1;
    }
    println!("outcomes: {outcomes:#?}");
    println!("departures: {:?}", history.departures);
}

fn fault(promise: &str, call: &Call) -> String {
    format!("{promise}: {call:?}")
}

/// 1. Every chunk is the named adapter's and version's.
fn named(history: &History) -> Vec<String> {
    let calls = history.calls.iter();
    let wrong = calls.filter(|call| match (&call.ask, &call.outcome) {
        (Ask::Model { reference, .. }, Outcome::Whole(body)) => !is_whole(body, reference),
        (Ask::Model { reference, .. }, Outcome::Streamed(it)) => !is_in_order(it, reference),
        _ => false,
    });
    wrong
        .map(|it| fault("another adapter's answer", it))
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
fn evicted(journals: &Journals) -> Vec<String> {
    let ended = journals.engines.iter().enumerate();
    let ended = ended.filter(|(_, it)| it.ended_by_unload > 0);
    ended
        .map(|(index, it)| {
            format!(
                "evicted while running: engine {index}: {}",
                it.ended_by_unload
            )
        })
        .collect()
}

/// 3. What looks whole is whole.
fn whole(history: &History) -> Vec<String> {
    let all = usize::try_from(TOKENS).unwrap_or_default();
    let calls = history.calls.iter();
    let cut = calls.filter(|call| match &call.outcome {
        Outcome::Streamed(it) => match it.end {
            End::Done => it.chunks.len() != all,
            End::Silent => true,
            End::Error | End::Broken | End::GivenUp => false,
        },
        Outcome::Refused { kind, ran } => kind.is_empty() || ran.is_empty(),
        _ => false,
    });
    cut.map(|it| fault("a cut answer passed off as whole", it))
        .collect()
}

/// 4. What is said not to have run has not run.
fn not_run(history: &History, journals: &Journals) -> Vec<String> {
    let calls = history.calls.iter();
    let refused = calls.filter(|call| match &call.outcome {
        Outcome::Refused { ran, .. } => ran == "not-run",
        _ => false,
    });
    let wrong = refused.filter(|it| journals.has(&it.id));
    wrong.map(|it| fault("it ran", it)).collect()
}

/// 5. A key runs at most once, and each whole answer to it is the same.
fn once(history: &History, journals: &Journals) -> Vec<String> {
    let mut by_key: BTreeMap<&str, Vec<&Call>> = BTreeMap::new();
    for call in &history.calls {
        if let Ask::Keyed { key } = &call.ask {
            by_key.entry(key).or_default().push(call);
        }
    }
    let wrong = by_key.into_iter().filter_map(|(key, calls)| {
        let fault = once_fault(&calls, journals.ran_key(key))?;
        Some(format!("{key}: {fault}: {calls:#?}"))
    });
    wrong.collect()
}

fn once_fault(calls: &[&Call], ran: u64) -> Option<String> {
    let outcomes = || calls.iter().map(|it| &it.outcome);
    let bodies = outcomes().filter_map(|it| match it {
        Outcome::Whole(body) | Outcome::Passed(body) => Some(body),
        _ => None,
    });
    let is_whole = outcomes().any(|it| matches!(it, Outcome::Whole(_)));
    let bodies: BTreeSet<&String> = bodies.collect();
    let kinds = outcomes().filter_map(|it| match it {
        Outcome::Refused { kind, ran } if ran != "not-run" => Some(kind.as_str()),
        _ => None,
    });
    let begun = kinds.filter(|it| !["key-running", "key-unknown"].contains(it));
    let begun = begun.count();
    match (ran, bodies.len()) {
        (2.., _) => Some(format!("ran {ran} times")),
        (_, 2..) => Some("different answers".to_owned()),
        (0, _) if is_whole => Some("an answer without a run".to_owned()),
        _ if begun > 1 => Some("it was begun more than once".to_owned()),
        _ => None,
    }
}

/// 6. A leaving engine gets nothing new.
fn left(history: &History) -> Vec<String> {
    let late = history.departures.iter().filter(|it| it.arrivals > 0);
    late.map(|it| format!("a leaving engine got something new: {it:?}"))
        .collect()
}

/// 7. SIGTERM ends with 0 and cuts nothing.
fn shut_down(history: &History, journals: &Journals) -> Vec<String> {
    let terminated = history.deaths.iter().filter(|it| it.1 != Death::Killed);
    let mut faults = Vec::new();
    for (life, death) in terminated {
        if *death != Death::Terminated(Some(0)) {
            faults.push(format!("a shutdown failed: {life:?} {death:?}"));
        }
        let calls = history.calls.iter().filter(|it| it.life == *life);
        let cut = calls.filter(|call| match &call.outcome {
            Outcome::Streamed(it) => it.end == End::Broken,
            Outcome::Lost(_) => journals.has(&call.id),
            _ => false,
        });
        faults.extend(cut.map(|it| fault("a shutdown cut it", it)));
    }
    faults
}

/// 8. Revisions never go down, and what was accepted is in force at the end.
fn reverted(world: &World) -> Vec<String> {
    let mut faults = Vec::new();
    let mut last = BTreeMap::new();
    for seen in &world.history.revisions {
        let before = last.insert(seen.life, seen.revision);
        if before.is_some_and(|it| it > seen.revision) {
            faults.push(format!("a revision went down: {before:?} {seen:?}"));
        }
    }
    for call in &world.history.calls {
        if let Ask::Model { reference, .. } = &call.ask
            && reference.starts_with("signs/edited@")
            && !matches!(call.outcome, Outcome::Whole(_))
            && !call.is_to_be_repeated()
        {
            faults.push(fault("an accepted edit is not in force", call));
        }
    }
    faults
}
