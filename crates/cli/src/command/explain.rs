//! `comfreywing explain REQUEST-ID`.

mod logs;

use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{
    args::{Arguments, Explain},
    entry::{self, Response},
    report::{Code, Report},
    table,
};

/// The trace of a request on one host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Trace {
    request: String,
    host: String,
    steps: Vec<Step>,
}

/// A decision that the host made for the request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Step {
    /// Milliseconds since the request arrived.
    at_ms: u64,
    /// The decision and its reason.
    what: String,
}

/// Shows the traces of a request from all entry hosts that have one.
pub fn run(arguments: &Arguments, options: &Explain) -> Result<Report, Report> {
    if !options.logs.is_empty() {
        return logs::run(options);
    }
    let path = format!("/v1/explain/{}", percent_encode(options.request.as_str()));
    let mut traces: Vec<Trace> = Vec::new();
    let mut failures = Vec::new();
    for address in arguments.entry_addresses()? {
        match entry::get(address, &path) {
            Response::Found(trace) => traces.push(trace),
            Response::NotFound => {}
            Response::Failed(reason) => failures.push(format!("{address}: {reason}")),
        }
    }
    if traces.is_empty() {
        return Err(report_not_found(options, &failures));
    }
    let human: Vec<String> = traces.iter().map(format_trace).collect();
    let json = json!({ "accounts": traces, "unreachable": failures });
    Ok(Report::ok(human.join("\n\n"), json))
}

/// Reports that no entry host has a trace of the request.
fn report_not_found(options: &Explain, failures: &[String]) -> Report {
    let request = &options.request;
    let json = json!({ "request": request.as_str(), "unreachable": failures });
    if failures.is_empty() {
        let human = format!("none of the queried entry hosts has a trace of request {request}");
        return Report::new(Code::Failed, human, json);
    }
    let human = format!(
        "no entry host that answered has a trace of request {request}; these did not answer:\n  {}",
        failures.join("\n  ")
    );
    Report::new(Code::Unreachable, human, json)
}

/// Formats a trace as a table for people.
fn format_trace(trace: &Trace) -> String {
    let rows: Vec<[String; 2]> = trace
        .steps
        .iter()
        .map(|it| [it.at_ms.to_string(), it.what.clone()])
        .collect();
    let table = table::render(["MS", "WHAT"], &rows);
    format!("request {} on host {}\n{table}", trace.request, trace.host)
}

/// Percent-encodes a request id as one path segment. An id has only visible ASCII characters.
fn percent_encode(id: &str) -> String {
    let is_unreserved = |it: u8| it.is_ascii_alphanumeric() || b"-._~".contains(&it);
    let encode = |it: u8| {
        if is_unreserved(it) {
            char::from(it).to_string()
        } else {
            format!("%{it:02X}")
        }
    };
    id.bytes().map(encode).collect()
}
