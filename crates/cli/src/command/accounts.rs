//! `comfreywing accounts`.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use serde::Serialize;
use serde_json::json;

use crate::{
    args::Accounts,
    entry::{self, Response},
    report::{Code, Report},
    table,
};

/// Prefix of the metrics of accounts.
const PREFIX: &str = "comfreywing_gateway_account_";

/// Shown for what no host states.
const UNKNOWN: &str = "-";

/// A sample of a metric.
#[derive(Clone, Debug, PartialEq)]
struct Sample<'a> {
    /// Name without [`PREFIX`].
    name: &'a str,
    labels: BTreeMap<&'a str, String>,
    value: f64,
}

/// Limit and use of an account over the hosts that answered.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
struct Account {
    /// Units of the quota, `tokens` or `requests`. More than one while hosts have different configurations.
    units: BTreeSet<String>,
    /// Units a second. The least, if hosts differ.
    rate: Option<f64>,
    /// Units that may be used at once. The least, if hosts differ.
    burst: Option<f64>,
    /// Units that may be used now, as the host sees it that knows of most use.
    level: Option<f64>,
    /// Units that the hosts have admitted since they started.
    admitted: f64,
    /// Units that the hosts have refused since they started.
    refused: f64,
    /// Number of hosts that have seen its requests.
    hosts: usize,
}

/// Reads the metrics of hosts and shows the accounts.
pub fn run(options: &Accounts) -> Result<Report, Report> {
    if options.metrics.is_empty() {
        return Err(Report::bad_input("no host is given: use --metrics"));
    }
    let mut texts = Vec::new();
    let mut failures = Vec::new();
    let addresses: BTreeSet<SocketAddr> = options.metrics.iter().copied().collect();
    for address in addresses {
        match entry::get_text(address, "/metrics") {
            Response::Found(it) => texts.push(it),
            Response::NotFound => failures.push(format!("{address}: no metrics")),
            Response::Failed(reason) => failures.push(format!("{address}: {reason}")),
        }
    }
    let mut accounts = BTreeMap::new();
    for text in &texts {
        add_host(&mut accounts, text);
    }
    let code = match (texts.is_empty(), failures.is_empty()) {
        (true, _) => Code::Unreachable,
        (false, false) => Code::Failed,
        (false, true) => Code::Ok,
    };
    let human = format(&accounts, texts.len(), &failures);
    let json = json!({ "accounts": accounts, "hosts": texts.len(), "unreachable": failures });
    Ok(Report::new(code, human, json))
}

/// Adds the metrics of a host.
fn add_host(accounts: &mut BTreeMap<String, Account>, text: &str) {
    let mut seen = BTreeSet::new();
    for mut sample in text.lines().filter_map(parse) {
        let Some(name) = sample.labels.remove("account") else {
            continue;
        };
        let account = accounts.entry(name.clone()).or_default();
        account.add(&sample);
        if seen.insert(name) {
            account.hosts += 1;
        }
    }
}

impl Account {
    fn add(&mut self, sample: &Sample<'_>) {
        // A quota is 0 in the unit that it doesn't count.
        if sample.labels.contains_key("unit") && sample.value <= 0.0 {
            return;
        }
        let Sample {
            name,
            labels,
            value,
        } = sample;
        let outcome = labels.get("outcome").map(String::as_str);
        match (*name, outcome) {
            ("units_total", Some("admitted")) => self.admitted += value,
            ("units_total", Some("refused")) => self.refused += value,
            ("level", _) => keep_least(&mut self.level, *value),
            ("rate", _) => keep_least(&mut self.rate, *value),
            ("burst", _) => keep_least(&mut self.burst, *value),
            _ => {}
        }
        self.units.extend(labels.get("unit").cloned());
    }
}

fn keep_least(known: &mut Option<f64>, value: f64) {
    *known = Some(known.map_or(value, |it| it.min(value)));
}

/// Parses a line of the Prometheus text format, if it has a metric of accounts.
fn parse(line: &str) -> Option<Sample<'_>> {
    let (name, rest) = line.strip_prefix(PREFIX)?.split_once('{')?;
    let mut labels = BTreeMap::new();
    let mut rest = rest;
    loop {
        rest = rest.trim_start_matches(',');
        if let Some(value) = rest.strip_prefix('}') {
            // A time may follow the value.
            let value = value.split_whitespace().next()?.parse().ok()?;
            return Some(Sample {
                name,
                labels,
                value,
            });
        }
        let (label, quoted) = rest.split_once("=\"")?;
        let (text, left) = unquote(quoted)?;
        labels.insert(label, text);
        rest = left;
    }
}

/// Reads the value of a label up to its closing quote. Returns what follows, too.
fn unquote(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((at, char)) = chars.next() {
        match char {
            '"' => return Some((value, &text[at + 1..])),
            '\\' => value.push(match chars.next()?.1 {
                'n' => '\n',
                it => it,
            }),
            it => value.push(it),
        }
    }
    None
}

/// Formats the accounts for people.
fn format(accounts: &BTreeMap<String, Account>, hosts: usize, failures: &[String]) -> String {
    let mut sections = Vec::new();
    if !accounts.is_empty() {
        sections.push(format_table(accounts, hosts));
    } else if hosts > 0 {
        sections.push("no account with a quota was in use".to_owned());
    }
    if !failures.is_empty() {
        sections.push(format!("errors:\n  {}", failures.join("\n  ")));
    }
    sections.join("\n\n")
}

fn format_table(accounts: &BTreeMap<String, Account>, hosts: usize) -> String {
    let header = [
        "ACCOUNT", "UNIT", "RATE/S", "BURST", "LEVEL", "ADMITTED", "REFUSED", "HOSTS",
    ];
    let rows: Vec<_> = accounts
        .iter()
        .map(|(name, it)| format_row(name, it, hosts))
        .collect();
    table::render(header, &rows)
}

fn format_row(name: &str, account: &Account, hosts: usize) -> [String; 8] {
    let number = |it: Option<f64>| it.map_or(UNKNOWN.to_owned(), |it| format!("{it:.0}"));
    let units: Vec<&str> = account.units.iter().map(String::as_str).collect();
    let unit = if units.is_empty() {
        UNKNOWN.to_owned()
    } else {
        units.join("+")
    };
    [
        name.escape_debug().to_string(),
        unit,
        number(account.rate),
        number(account.burst),
        number(account.level),
        number(Some(account.admitted)),
        number(Some(account.refused)),
        format!("{}/{hosts}", account.hosts),
    ]
}
