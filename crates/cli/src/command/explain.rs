//! `comfreywing explain REQUEST-ID`.

mod logs;

use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{
    args::{Arguments, Explain},
    entry::{self, Answer},
    report::{Code, Report},
    table,
};

/// What one host did for a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Account {
    request: String,
    host: String,
    steps: Vec<Step>,
}

/// One decision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Step {
    at_ms: u64,
    what: String,
}

/// Shows what was decided for a request, from every entry host that knows it.
pub fn run(arguments: &Arguments, options: &Explain) -> Result<Report, Report> {
    if !options.logs.is_empty() {
        return logs::run(options);
    }
    let path = format!("/v1/explain/{}", escape(options.request.as_str()));
    let mut accounts: Vec<Account> = Vec::new();
    let mut failed = Vec::new();
    for address in arguments.entries()? {
        match entry::get(address, &path) {
            Answer::Found(account) => accounts.push(account),
            Answer::Absent => {}
            Answer::Failed(reason) => failed.push(format!("{address}: {reason}")),
        }
    }
    if accounts.is_empty() {
        return Err(not_found(options, &failed));
    }
    let human: Vec<String> = accounts.iter().map(show).collect();
    let json = json!({ "accounts": accounts, "unreachable": failed });
    Ok(Report::ok(human.join("\n\n"), json))
}

fn not_found(options: &Explain, failed: &[String]) -> Report {
    let request = &options.request;
    let json = json!({ "request": request.as_str(), "unreachable": failed });
    if failed.is_empty() {
        let human = format!("no entry host that was asked knows request {request}");
        return Report::new(Code::Failed, human, json);
    }
    let human = format!(
        "request {request} is not known to the entry hosts that answered; these did not:\n  {}",
        failed.join("\n  ")
    );
    Report::new(Code::Unreachable, human, json)
}

fn show(account: &Account) -> String {
    let rows: Vec<[String; 2]> = account
        .steps
        .iter()
        .map(|it| [it.at_ms.to_string(), it.what.clone()])
        .collect();
    let table = table::render(["MS", "WHAT"], &rows);
    format!(
        "request {} on host {}\n{table}",
        account.request, account.host
    )
}

/// The id as one segment of a path; it has only visible ASCII characters.
fn escape(id: &str) -> String {
    let plain = |it: u8| it.is_ascii_alphanumeric() || b"-._~".contains(&it);
    let escaped = |it: u8| {
        if plain(it) {
            char::from(it).to_string()
        } else {
            format!("%{it:02X}")
        }
    };
    id.bytes().map(escaped).collect()
}
