//! Checks the promises to callers against what callers and instances observed.

use std::collections::BTreeMap;

use crate::{
    caller::{Call, Kind},
    instance::{Instance, Records},
    load::Load,
};

/// Retries per window that the settings of the hosts allow regardless of the number of requests.
pub const RETRY_ALLOWANCE: u32 = 60;

/// Status codes that guarantee that the request did not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Maximum number of violations that are printed.
const MAX_PRINTED: usize = 20;

/// A broken promise.
struct Violation<'a> {
    name: &'static str,
    /// Statuses with which the request ran.
    runs: Vec<u16>,
    call: &'a Call,
}

/// Fails if a promise was broken. Keeps the logs of the hosts in this case.
pub fn assert_promises_kept(load: &Load) {
    println!("seed {}: {}", load.seed, summarize(load));
    assert!(load.calls.iter().any(|it| it.answer.status == 200));
    let violations = find_violations(load);
    let mut counts: BTreeMap<(&str, Kind), usize> = BTreeMap::new();
    for it in &violations {
        *counts.entry((it.name, it.call.kind)).or_default() += 1;
    }
    let printed: Vec<String> = violations
        .iter()
        .take(MAX_PRINTED)
        .map(|it| format!("{}: runs {:?}, {:?}", it.name, it.runs, it.call))
        .collect();
    assert!(
        violations.is_empty(),
        "seed {}: {} violations, {counts:?}, logs {}\n{}",
        load.seed,
        violations.len(),
        load.log_names(),
        printed.join("\n")
    );
    load.remove_logs();
}

fn find_violations(load: &Load) -> Vec<Violation<'_>> {
    let instances = load.instances.iter();
    let records: Vec<_> = instances.map(|it| (it, it.records())).collect();
    let mut violations = Vec::new();
    for call in &load.calls {
        let runs: Vec<(&Instance, u16)> = records
            .iter()
            .flat_map(|(instance, records)| runs(records, call).map(|it| (*instance, it)))
            .collect();
        let mut report = |name: &'static str| {
            let runs = runs.iter().map(|it| it.1).collect();
            violations.push(Violation { name, runs, call });
        };
        let status = call.answer.status;
        if NOT_RUN.contains(&status) && !runs.is_empty() {
            report("reported as not run, but ran");
        }
        if call.kind != Kind::Read && runs.len() > 1 {
            report("ran more than once");
        }
        let is_own = |it: &(&Instance, u16)| is_response_of(it.0, it.1, call);
        let is_sealed = call.answer.header("response-seal").is_some();
        if ((200..300).contains(&status) || is_sealed) && !runs.iter().any(is_own) {
            report("the response does not match the instance and request");
        }
    }
    violations
}

/// Returns the statuses with which an instance has run a request.
fn runs<'a>(records: &'a Records, call: &Call) -> impl Iterator<Item = u16> + use<'a> {
    records.runs.get(&call.id).into_iter().flatten().copied()
}

/// Returns whether a caller received the response of an instance to its request, as the instance sent it.
fn is_response_of(instance: &Instance, status: u16, call: &Call) -> bool {
    let Call { id, answer, .. } = call;
    answer.status == status
        && answer.is_complete
        && answer.body == format!("body of {id}")
        && answer.header("request-id") == Some(id)
        && answer.header("response-seal") == Some(&format!("seal-{}-{id}", instance.id))
}

/// Summarizes the outcomes of the calls and what the instances did.
fn summarize(load: &Load) -> String {
    let mut counts: BTreeMap<(Kind, u16), usize> = BTreeMap::new();
    for it in &load.calls {
        *counts.entry((it.kind, it.answer.status)).or_default() += 1;
    }
    let mut parts: Vec<String> = counts
        .iter()
        .map(|((kind, status), count)| format!("{kind:?} {status} {count}"))
        .collect();
    for it in &load.instances {
        let records = it.records();
        parts.push(format!(
            "{}: {} requests ran, {} refusals, {} copies, {} connections closed",
            it.id,
            records.runs.len(),
            records.refusals,
            records.copies,
            records.closed
        ));
    }
    parts.join(", ")
}
