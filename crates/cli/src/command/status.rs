//! `comfreywing status`.

use std::collections::{BTreeMap, BTreeSet};

use objects::object::{Reason, Store};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{
    args::Arguments,
    entry::{self, Answer},
    report::{Code, Report},
    table,
};

/// The state of a host that is gone.
const DOWN: &str = "down";

/// What one entry host says of itself and of what it sees.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Host {
    #[serde(rename = "host")]
    name: String,
    domain: String,
    incarnation: u64,
    revision: u64,
    ready: bool,
    #[serde(default)]
    members: Vec<Member>,
    #[serde(default)]
    engines: Vec<Engine>,
}

/// An entry host as another one sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Member {
    host: String,
    domain: String,
    state: String,
}

/// An engine as its steward or another host sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Engine {
    name: String,
    domain: String,
    #[serde(default)]
    steward: Option<String>,
    #[serde(default)]
    fence: u64,
    state: String,
    #[serde(default)]
    loaded: Vec<Loaded>,
}

/// An adapter on an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Loaded {
    name: String,
    /// Requests that run on it; only its steward knows.
    running: Option<u64>,
}

/// What is known of a failure domain.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
struct Domain {
    /// Revisions in force on the hosts that answered.
    revisions: BTreeSet<u64>,
    /// Every host that answered or that another one sees.
    hosts: BTreeSet<String>,
    /// How many hosts answered.
    #[serde(skip)]
    answered: usize,
    /// Hosts that answered and are ready.
    ready: BTreeSet<String>,
    /// Upstreams by the platform's host list, or engines that hosts know if it was not asked.
    upstreams: usize,
    /// Engines by name, as their highest fencing number shows them.
    engines: BTreeMap<String, Engine>,
}

impl Domain {
    fn adapters(&self) -> usize {
        self.engines.values().map(|it| it.loaded.len()).sum()
    }
}

/// Shows the state of each failure domain, from the entry hosts that answer.
pub fn run(arguments: &Arguments) -> Result<Report, Report> {
    let mut hosts: Vec<Host> = Vec::new();
    let mut failed = Vec::new();
    for address in arguments.entries()? {
        match entry::get(address, "/v1/status") {
            Answer::Found(host) => hosts.push(host),
            Answer::Absent => failed.push(format!("{address}: it is no entry host")),
            Answer::Failed(reason) => failed.push(format!("{address}: {reason}")),
        }
    }
    let mut domains = by_domain(&hosts);
    match arguments.hosts().map(|it| it.list()) {
        Some(Ok(listed)) => count_listed(&mut domains, &listed),
        Some(Err(error)) => failed.push(format!("host list: {error}")),
        None => {}
    }
    if let Some(store) = arguments.store() {
        read_revisions(&store, &mut domains);
    }
    let code = match (hosts.is_empty(), failed.is_empty()) {
        (true, _) => Code::Unreachable,
        (false, false) => Code::Failed,
        (false, true) => Code::Ok,
    };
    let human = show(&domains, &failed);
    let json = json!({ "domains": domains, "hosts": hosts, "unreachable": failed });
    Ok(Report::new(code, human, json))
}

fn by_domain(hosts: &[Host]) -> BTreeMap<String, Domain> {
    let mut domains: BTreeMap<String, Domain> = BTreeMap::new();
    for host in hosts {
        let domain = domains.entry(host.domain.clone()).or_default();
        domain.answered += 1;
        domain.revisions.insert(host.revision);
        domain.hosts.insert(host.name.clone());
        if host.ready {
            domain.ready.insert(host.name.clone());
        }
        for member in host.members.iter().filter(|it| it.state != DOWN) {
            let domain = domains.entry(member.domain.clone()).or_default();
            domain.hosts.insert(member.host.clone());
        }
        for engine in &host.engines {
            let domain = domains.entry(engine.domain.clone()).or_default();
            keep_newest(&mut domain.engines, engine);
            domain.upstreams = domain.engines.len();
        }
    }
    domains
}

/// Counts the upstreams of each domain as the platform's host list has them.
fn count_listed(domains: &mut BTreeMap<String, Domain>, listed: &[objects::hosts::Host]) {
    for domain in domains.values_mut() {
        domain.upstreams = 0;
    }
    for instance in objects::hosts::collect_instances(listed) {
        let domain = domains.entry(instance.domain.to_string()).or_default();
        domain.upstreams += 1;
    }
}

/// What a failure domain has reported to the platform.
#[derive(Deserialize)]
struct Reported {
    revision: u64,
}

/// Fills in the revision of domains of which no host was asked, as they last reported it.
fn read_revisions(store: &dyn Store, domains: &mut BTreeMap<String, Domain>) {
    for (name, domain) in domains {
        if !domain.revisions.is_empty() {
            continue;
        }
        let object = store.get(Reason::Status, &format!("status/{name}"));
        let bytes = object.ok().flatten().map(|it| it.value);
        let reported = bytes.and_then(|it| serde_json::from_slice::<Reported>(&it).ok());
        domain.revisions.extend(reported.map(|it| it.revision));
    }
}

fn keep_newest(engines: &mut BTreeMap<String, Engine>, engine: &Engine) {
    let known = engines.get(&engine.name);
    if known.is_none_or(|it| it.fence < engine.fence) {
        engines.insert(engine.name.clone(), engine.clone());
    }
}

fn show(domains: &BTreeMap<String, Domain>, failed: &[String]) -> String {
    let mut parts = Vec::new();
    if !domains.is_empty() {
        parts.push(domain_table(domains));
        parts.push(engine_table(domains));
    }
    if !failed.is_empty() {
        parts.push(format!("no answer:\n  {}", failed.join("\n  ")));
    }
    parts.join("\n\n")
}

fn domain_table(domains: &BTreeMap<String, Domain>) -> String {
    let rows: Vec<[String; 6]> = domains
        .iter()
        .map(|(name, domain)| {
            [
                name.clone(),
                revisions(domain),
                domain.hosts.len().to_string(),
                ready(domain),
                domain.upstreams.to_string(),
                domain.adapters().to_string(),
            ]
        })
        .collect();
    let header = [
        "DOMAIN",
        "REVISION",
        "HOSTS",
        "READY",
        "UPSTREAMS",
        "ADAPTERS",
    ];
    table::render(header, &rows)
}

/// The ready hosts, or a question mark if no host answered.
fn ready(domain: &Domain) -> String {
    if domain.answered == 0 {
        return "?".to_owned();
    }
    domain.ready.len().to_string()
}

/// The revision in force, all of them if hosts differ, or a question mark if no host answered.
fn revisions(domain: &Domain) -> String {
    if domain.revisions.is_empty() {
        return "?".to_owned();
    }
    let numbers: Vec<String> = domain.revisions.iter().map(ToString::to_string).collect();
    numbers.join(",")
}

fn engine_table(domains: &BTreeMap<String, Domain>) -> String {
    let engines = domains.values().flat_map(|it| it.engines.values());
    let rows: Vec<[String; 6]> = engines
        .map(|engine| {
            let loaded: Vec<&str> = engine.loaded.iter().map(|it| it.name.as_str()).collect();
            [
                engine.name.clone(),
                engine.domain.clone(),
                engine.state.clone(),
                engine.steward.clone().unwrap_or_else(|| "-".to_owned()),
                engine.fence.to_string(),
                loaded.join(" "),
            ]
        })
        .collect();
    let header = ["ENGINE", "DOMAIN", "STATE", "STEWARD", "FENCE", "LOADED"];
    table::render(header, &rows)
}
