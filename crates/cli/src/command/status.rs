//! `comfreywing status`.

use std::collections::{BTreeMap, BTreeSet};

use objects::object::{Reason, Store};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{
    args::Arguments,
    entry::{self, Response},
    report::{Code, Report},
    table,
};

/// The state of a host that has failed or left.
const DOWN: &str = "down";

/// The status of one entry host, including its view of the other hosts and of the engines.
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

/// An entry host as the queried host sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Member {
    host: String,
    domain: String,
    state: String,
}

/// An engine as the queried host sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Engine {
    name: String,
    domain: String,
    #[serde(default)]
    steward: Option<String>,
    /// The fencing token of the stewardship.
    #[serde(default)]
    fence: u64,
    state: String,
    #[serde(default)]
    loaded: Vec<Adapter>,
}

/// An adapter that is loaded on an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Adapter {
    name: String,
    /// Number of running requests, or `None` if the queried host isn't the steward of the engine.
    running: Option<u64>,
}

/// The combined status of a failure domain.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
struct Domain {
    /// Current revisions of the hosts that answered, or the revision that the domain last reported
    /// to the platform if none answered.
    revisions: BTreeSet<u64>,
    /// All hosts that answered or that another host sees.
    hosts: BTreeSet<String>,
    /// Number of hosts that answered.
    #[serde(skip)]
    answered: usize,
    /// Hosts that answered and are ready.
    ready: BTreeSet<String>,
    /// Number of upstreams in the platform's host list, or number of known engines if the host list
    /// isn't available.
    upstreams: usize,
    /// The engines by name. If hosts disagree, the view with the highest fencing token counts.
    engines: BTreeMap<String, Engine>,
}

impl Domain {
    /// Returns the number of loaded adapters.
    fn adapter_count(&self) -> usize {
        self.engines.values().map(|it| it.loaded.len()).sum()
    }
}

/// Shows the state of each failure domain according to the entry hosts that answer.
pub fn run(arguments: &Arguments) -> Result<Report, Report> {
    let mut hosts: Vec<Host> = Vec::new();
    let mut failures = Vec::new();
    for address in arguments.entry_addresses()? {
        match entry::get(address, "/v1/status") {
            Response::Found(host) => hosts.push(host),
            Response::NotFound => failures.push(format!("{address}: not an entry host")),
            Response::Failed(reason) => failures.push(format!("{address}: {reason}")),
        }
    }
    let mut domains = group_by_domain(&hosts);
    match arguments.host_list().map(|it| it.list()) {
        Some(Ok(listed)) => count_upstreams(&mut domains, &listed),
        Some(Err(error)) => failures.push(format!("host list: {error}")),
        None => {}
    }
    if let Some(store) = arguments.object_store() {
        read_reported_revisions(&store, &mut domains);
    }
    let code = match (hosts.is_empty(), failures.is_empty()) {
        (true, _) => Code::Unreachable,
        (false, false) => Code::Failed,
        (false, true) => Code::Ok,
    };
    let human = format_status(&domains, &failures);
    let json = json!({ "domains": domains, "hosts": hosts, "unreachable": failures });
    Ok(Report::new(code, human, json))
}

/// Combines the status of the hosts into one status per failure domain.
fn group_by_domain(hosts: &[Host]) -> BTreeMap<String, Domain> {
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
            insert_newest(&mut domain.engines, engine);
            domain.upstreams = domain.engines.len();
        }
    }
    domains
}

/// Sets the number of upstreams of each domain from the platform's host list.
fn count_upstreams(domains: &mut BTreeMap<String, Domain>, listed: &[objects::hosts::Host]) {
    for domain in domains.values_mut() {
        domain.upstreams = 0;
    }
    for instance in objects::hosts::collect_instances(listed) {
        let domain = domains.entry(instance.domain.to_string()).or_default();
        domain.upstreams += 1;
    }
}

/// The status object that a failure domain stores on the platform.
#[derive(Deserialize)]
struct StatusObject {
    revision: u64,
}

/// Adds the revision that a domain last reported to the platform, for domains of which no host
/// answered.
fn read_reported_revisions(store: &dyn Store, domains: &mut BTreeMap<String, Domain>) {
    for (name, domain) in domains {
        if !domain.revisions.is_empty() {
            continue;
        }
        let object = store.get(Reason::Status, &format!("status/{name}"));
        let bytes = object.ok().flatten().map(|it| it.value);
        let reported = bytes.and_then(|it| serde_json::from_slice::<StatusObject>(&it).ok());
        domain.revisions.extend(reported.map(|it| it.revision));
    }
}

/// Inserts an engine unless the known entry has the same or a higher fencing token.
fn insert_newest(engines: &mut BTreeMap<String, Engine>, engine: &Engine) {
    let known = engines.get(&engine.name);
    if known.is_none_or(|it| it.fence < engine.fence) {
        engines.insert(engine.name.clone(), engine.clone());
    }
}

/// Formats the status for people.
fn format_status(domains: &BTreeMap<String, Domain>, failures: &[String]) -> String {
    let mut sections = Vec::new();
    if !domains.is_empty() {
        sections.push(format_domain_table(domains));
        sections.push(format_engine_table(domains));
    }
    if !failures.is_empty() {
        sections.push(format!("errors:\n  {}", failures.join("\n  ")));
    }
    sections.join("\n\n")
}

fn format_domain_table(domains: &BTreeMap<String, Domain>) -> String {
    let rows: Vec<[String; 6]> = domains
        .iter()
        .map(|(name, domain)| {
            [
                name.clone(),
                format_revisions(domain),
                domain.hosts.len().to_string(),
                format_ready(domain),
                domain.upstreams.to_string(),
                domain.adapter_count().to_string(),
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

/// Formats the number of ready hosts, or a question mark if no host answered.
fn format_ready(domain: &Domain) -> String {
    if domain.answered == 0 {
        return "?".to_owned();
    }
    domain.ready.len().to_string()
}

/// Formats the revisions of a domain, separated by commas if hosts differ, or a question mark if
/// none is known.
fn format_revisions(domain: &Domain) -> String {
    if domain.revisions.is_empty() {
        return "?".to_owned();
    }
    let numbers: Vec<String> = domain.revisions.iter().map(ToString::to_string).collect();
    numbers.join(",")
}

fn format_engine_table(domains: &BTreeMap<String, Domain>) -> String {
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
