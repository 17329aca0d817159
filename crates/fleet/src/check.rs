//! Checks of a configuration before it is put in force: entries that can never match, limits that contradict each other,
//! and what differs from another configuration. No text shows a key.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
    time::Duration,
};

use crate::{
    account::{Access, Accounts, Quota, Unit},
    catalog::{Capacity, Catalog, Limits, RequestKind, Route, Service},
};

/// Fault of a valid configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum Finding {
    /// An account can't be used, since it has no key.
    AccountWithoutKey {
        /// Its name.
        account: Arc<str>,
    },
    /// The burst of a quota is smaller than one request that states no tokens.
    BurstBelowRequest {
        /// The account.
        account: Arc<str>,
        /// Tokens of the burst.
        burst: f64,
        /// Tokens of the request.
        request: f64,
    },
    /// A target for gaps in a stream is longer than the whole request may take.
    GapOverTimeout {
        /// The route.
        route: String,
        /// The target.
        target: Duration,
        /// The time that requests may take.
        timeout: Duration,
    },
    /// No request reaches a route, since another has the same host and prefix.
    HiddenRoute {
        /// The route.
        route: String,
        /// The route that requests reach.
        by: String,
    },
    /// A base model, with one adapter if the engines have places for adapters, needs more memory than an engine has.
    ModelTooLarge {
        /// The service of the engines.
        service: Arc<str>,
        /// The base model.
        model: Arc<str>,
        /// MB that it needs.
        needed_mb: f64,
        /// MB that an engine has.
        available_mb: f64,
    },
    /// No request reaches a route with a port, since hosts are compared without.
    PortInHost {
        /// The route.
        route: String,
        /// Its host.
        host: String,
    },
    /// Two accounts name the same key, which is therefore refused.
    SharedKey {
        /// The accounts.
        accounts: [Arc<str>; 2],
    },
    /// A latency target is longer than the request may take.
    TargetOverTimeout {
        /// The route.
        route: String,
        /// The target.
        target: Duration,
        /// The time that requests may take.
        timeout: Duration,
    },
    /// A route names a service that doesn't exist.
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: Arc<str>,
    },
    /// No request reaches a route, since no path begins like that.
    UnmatchedPrefix {
        /// The route.
        route: String,
        /// Its prefix.
        prefix: String,
    },
    /// No route leads to a service.
    UnusedService {
        /// The service.
        service: Arc<str>,
    },
    /// A route leads nowhere, and is left out.
    WithoutTarget {
        /// The route.
        route: String,
    },
    /// A target of a route has weight 0.
    ZeroWeight {
        /// The route.
        route: String,
        /// The service.
        service: Arc<str>,
    },
}

impl Finding {
    /// Name of the kind of finding, for programs.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::AccountWithoutKey { .. } => "account-without-key",
            Self::BurstBelowRequest { .. } => "burst-below-request",
            Self::GapOverTimeout { .. } => "gap-over-timeout",
            Self::HiddenRoute { .. } => "hidden-route",
            Self::ModelTooLarge { .. } => "model-too-large",
            Self::PortInHost { .. } => "port-in-host",
            Self::SharedKey { .. } => "shared-key",
            Self::TargetOverTimeout { .. } => "target-over-timeout",
            Self::UnknownService { .. } => "unknown-service",
            Self::UnmatchedPrefix { .. } => "unmatched-prefix",
            Self::UnusedService { .. } => "unused-service",
            Self::WithoutTarget { .. } => "without-target",
            Self::ZeroWeight { .. } => "zero-weight",
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AccountWithoutKey { account } => {
                write!(f, "account {account}: it has no key, so nobody can use it")
            }
            Self::BurstBelowRequest {
                account,
                burst,
                request,
            } => write!(
                f,
                "account {account}: the burst of {burst} tokens is less than a request that states none, {request}"
            ),
            Self::GapOverTimeout {
                route,
                target,
                timeout,
            } => write!(
                f,
                "route {route}: the gap target of {target:?} is over the timeout of {timeout:?}"
            ),
            Self::HiddenRoute { route, by } => write!(
                f,
                "route {route}: no request reaches it, since {by} has the same host and prefix"
            ),
            Self::ModelTooLarge {
                service,
                model,
                needed_mb,
                available_mb,
            } => write!(
                f,
                "service {service}: model {model} with one adapter needs {needed_mb} MB of {available_mb} MB"
            ),
            Self::PortInHost { route, host } => write!(
                f,
                "route {route}: no request reaches {host:?}, since hosts are compared without a port"
            ),
            Self::SharedKey {
                accounts: [one, other],
            } => write!(
                f,
                "account {one}: account {other} names one of its keys, which is refused"
            ),
            Self::TargetOverTimeout {
                route,
                target,
                timeout,
            } => write!(
                f,
                "route {route}: the latency target of {target:?} is over the timeout of {timeout:?}"
            ),
            Self::UnknownService { route, service } => {
                write!(f, "route {route}: there is no service {service}")
            }
            Self::UnmatchedPrefix { route, prefix } => {
                write!(f, "route {route}: no path begins with {prefix:?}")
            }
            Self::UnusedService { service } => {
                write!(f, "service {service}: no route leads to it")
            }
            Self::WithoutTarget { route } => write!(f, "route {route}: it names no service"),
            Self::ZeroWeight { route, service } => {
                write!(f, "route {route}: its service {service} has weight 0")
            }
        }
    }
}

/// Finds what can never match or contradicts itself.
pub fn check(catalog: &Catalog) -> Vec<Finding> {
    let left_out = catalog.routes_without_target().iter();
    let left_out = left_out.map(|it| Finding::WithoutTarget { route: it.clone() });
    let mut findings: Vec<Finding> = left_out.collect();
    let routes = sorted_routes(catalog);
    for (index, route) in routes.iter().enumerate() {
        // Among routes of the same host and prefix, the first one is used.
        let is_same =
            |it: &&&Route| it.host.eq_ignore_ascii_case(&route.host) && it.prefix == route.prefix;
        if let Some(first) = routes[..index].iter().find(is_same) {
            findings.push(Finding::HiddenRoute {
                route: route.name.clone(),
                by: first.name.clone(),
            });
        }
        check_route(catalog, route, &mut findings);
    }
    let targets = routes.iter().flat_map(|it| &it.targets);
    let used: BTreeSet<&Arc<str>> = targets.map(|it| &it.service).collect();
    let services: BTreeMap<_, _> = catalog.services.iter().collect();
    for (name, service) in services {
        if !used.contains(name) {
            findings.push(Finding::UnusedService {
                service: name.clone(),
            });
        }
        if let Some(it) = &service.engine {
            check_models(service, it, &mut findings);
        }
    }
    if let Some(it) = &catalog.accounts {
        check_accounts(it, &mut findings);
    }
    findings
}

/// Routes by host and prefix; those with the same ones as they are declared.
fn sorted_routes(catalog: &Catalog) -> Vec<&Route> {
    let mut routes: Vec<&Route> = catalog.routes().map(|it| &**it).collect();
    routes.sort_by_key(|it| (it.host.to_ascii_lowercase(), &it.prefix));
    routes
}

fn check_route(catalog: &Catalog, route: &Route, findings: &mut Vec<Finding>) {
    let name = || route.name.clone();
    if route.host.contains(':') {
        findings.push(Finding::PortInHost {
            route: name(),
            host: route.host.clone(),
        });
    }
    if !route.prefix.is_empty() && !route.prefix.starts_with('/') {
        findings.push(Finding::UnmatchedPrefix {
            route: name(),
            prefix: route.prefix.clone(),
        });
    }
    for target in &route.targets {
        let service = || target.service.clone();
        if !catalog.services.contains_key(&target.service) {
            findings.push(Finding::UnknownService {
                route: name(),
                service: service(),
            });
        }
        if target.weight == 0 {
            findings.push(Finding::ZeroWeight {
                route: name(),
                service: service(),
            });
        }
    }
    if route.latency_target > route.timeout {
        findings.push(Finding::TargetOverTimeout {
            route: name(),
            target: route.latency_target,
            timeout: route.timeout,
        });
    }
    if route.max_gap > route.timeout {
        findings.push(Finding::GapOverTimeout {
            route: name(),
            target: route.max_gap,
            timeout: route.timeout,
        });
    }
}

fn check_models(service: &Service, capacity: &Capacity, findings: &mut Vec<Finding>) {
    for model in &capacity.models {
        let adapter_mb = if capacity.adapter_slots > 0 {
            model.adapter_mb
        } else {
            0.0
        };
        let needed_mb = model.weights_mb + adapter_mb;
        if needed_mb > capacity.weights_mb {
            findings.push(Finding::ModelTooLarge {
                service: service.name.clone(),
                model: model.name.clone(),
                needed_mb,
                available_mb: capacity.weights_mb,
            });
        }
    }
}

fn check_accounts(accounts: &Accounts, findings: &mut Vec<Finding>) {
    for account in accounts.keyless() {
        findings.push(Finding::AccountWithoutKey {
            account: account.clone(),
        });
    }
    for pair in accounts.shared_keys() {
        findings.push(Finding::SharedKey {
            accounts: pair.clone(),
        });
    }
    let by_name: BTreeMap<_, _> = accounts.iter().map(|it| (&it.name, &it.quota)).collect();
    for (name, quota) in by_name {
        if let Some(Quota {
            unit: Unit::Tokens { unstated },
            burst,
            ..
        }) = quota
            && burst < unstated
        {
            findings.push(Finding::BurstBelowRequest {
                account: name.clone(),
                burst: *burst,
                request: *unstated,
            });
        }
    }
}

/// One difference between two configurations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Difference {
    /// The differing part, such as a route with its name.
    pub part: String,
    /// How it differs.
    pub change: String,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.part, self.change)
    }
}

/// Values of a part of a configuration by what they are.
type Fields = BTreeMap<String, String>;

/// Lists what differs between two configurations.
pub fn compare(before: &Catalog, after: &Catalog) -> Vec<Difference> {
    let mut all = Vec::new();
    let revision = |it: &Catalog| fields([("number", it.revision.to_string())]);
    let pair = [Some(revision(before)), Some(revision(after))];
    compare_part("revision", pair, &mut all);
    let limits = [before.limits, after.limits];
    compare_part("limits", limits.map(|it| Some(limit_fields(&it))), &mut all);
    compare_parts("route", [before, after].map(route_parts), &mut all);
    compare_parts("service", [before, after].map(service_parts), &mut all);
    compare_accounts([before, after], &mut all);
    all
}

fn fields<const COUNT: usize>(all: [(&str, String); COUNT]) -> Fields {
    let named = all
        .into_iter()
        .map(|(name, value)| (name.to_owned(), value));
    named.collect()
}

fn compare_parts(kind: &str, pair: [BTreeMap<String, Fields>; 2], all: &mut Vec<Difference>) {
    let [before, after] = pair;
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    for name in names {
        let pair = [before.get(name).cloned(), after.get(name).cloned()];
        compare_part(&format!("{kind} {name}"), pair, all);
    }
}

fn compare_part(part: &str, pair: [Option<Fields>; 2], all: &mut Vec<Difference>) {
    let mut add = |change: String| {
        let part = part.to_owned();
        all.push(Difference { part, change });
    };
    let [before, after] = match pair {
        [Some(before), Some(after)] => [before, after],
        [None, Some(_)] => return add("added".to_owned()),
        [Some(_), None] => return add("removed".to_owned()),
        [None, None] => return,
    };
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    for name in names {
        match (before.get(name), after.get(name)) {
            (Some(old), Some(new)) if old != new => add(format!("{name} {old} -> {new}")),
            (None, Some(new)) => add(format!("{name} {new} added")),
            (Some(old), None) => add(format!("{name} {old} removed")),
            _ => {}
        }
    }
}

fn limit_fields(limits: &Limits) -> Fields {
    fields([
        ("head", format!("{} bytes", limits.header_bytes)),
        ("body", format!("{} bytes", limits.body_bytes)),
        ("head timeout", format!("{:?}", limits.header_timeout)),
        ("idle timeout", format!("{:?}", limits.idle_timeout)),
    ])
}

/// Routes by name. Further ones of the same name have a number.
fn route_parts(catalog: &Catalog) -> BTreeMap<String, Fields> {
    let mut parts = BTreeMap::new();
    for route in sorted_routes(catalog) {
        let mut name = route.name.clone();
        let mut number = 1;
        while parts.contains_key(&name) {
            number += 1;
            name = format!("{} ({number})", route.name);
        }
        parts.insert(name, route_fields(route));
    }
    parts
}

fn route_fields(route: &Route) -> Fields {
    let kind = match route.kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::AtMostOnce => "at most once",
        RequestKind::Resumable => "resumable stream",
        RequestKind::Stream => "stream",
    };
    let access = match route.access {
        Access::Accounts => "accounts",
        Access::Public => "everybody",
    };
    let targets = route.targets.iter();
    let targets: Vec<String> = targets
        .map(|it| format!("{}={}", it.service, it.weight))
        .collect();
    fields([
        ("host", route.host.clone()),
        ("prefix", route.prefix.clone()),
        ("kind", kind.to_owned()),
        ("timeout", format!("{:?}", route.timeout)),
        ("latency target", format!("{:?}", route.latency_target)),
        ("gap target", format!("{:?}", route.max_gap)),
        ("priority", route.priority.to_string()),
        ("attempts", route.attempts.to_string()),
        ("access", access.to_owned()),
        ("services", targets.join(",")),
    ])
}

fn service_parts(catalog: &Catalog) -> BTreeMap<String, Fields> {
    let services = catalog.services.values();
    services
        .map(|it| (it.name.to_string(), service_fields(it)))
        .collect()
}

fn service_fields(service: &Service) -> Fields {
    let mut all = fields([("connections", service.connections.to_string())]);
    let Some(capacity) = &service.engine else {
        return all;
    };
    all.extend(fields([
        ("slots", capacity.slots.to_string()),
        ("KV cache", format!("{} tokens", capacity.kv_tokens)),
        ("adapter slots", capacity.adapter_slots.to_string()),
        ("memory", format!("{} MB", capacity.weights_mb)),
        ("loads", format!("{}/s", capacity.loads_per_s)),
    ]));
    for model in &capacity.models {
        let text = format!(
            "({} MB, adapters of {} MB, loaded in {:?})",
            model.weights_mb, model.adapter_mb, model.load_time
        );
        all.insert(format!("model {}", model.name), text);
    }
    all
}

fn compare_accounts(pair: [&Catalog; 2], all: &mut Vec<Difference>) {
    let [before, after] = pair.map(|it| it.accounts.as_ref());
    let change = match (before, after) {
        (None, Some(_)) => "requests need a key now, except on public routes",
        (Some(_), None) => "requests need no key any more",
        _ => "",
    };
    if !change.is_empty() {
        all.push(Difference {
            part: "accounts".to_owned(),
            change: change.to_owned(),
        });
    }
    let parts = |it: Option<&Accounts>| it.map(account_parts).unwrap_or_default();
    compare_parts("account", [parts(before), parts(after)], all);
    let (Some(before), Some(after)) = (before, after) else {
        return;
    };
    let names: BTreeSet<_> = after.iter().map(|it| it.name.clone()).collect();
    for name in names.iter().filter(|it| before.by_name(it).is_some()) {
        let [old, new] = [before, after].map(|it| it.keys_of(name));
        for (count, verb) in [
            (new.difference(&old).count(), "added"),
            (old.difference(&new).count(), "removed"),
        ] {
            if count > 0 {
                all.push(Difference {
                    part: format!("account {name}"),
                    change: format!("keys {verb}: {count}"),
                });
            }
        }
    }
}

fn account_parts(accounts: &Accounts) -> BTreeMap<String, Fields> {
    let priority = |it: Option<u8>| it.map_or("that of the route".to_owned(), |it| it.to_string());
    let all = accounts.iter();
    all.map(|it| {
        let fields = fields([
            ("priority", priority(it.priority)),
            ("quota", format_quota(it.quota.as_ref())),
        ]);
        (it.name.to_string(), fields)
    })
    .collect()
}

fn format_quota(quota: Option<&Quota>) -> String {
    let Some(quota) = quota else {
        return "none".to_owned();
    };
    let Quota { unit, rate, burst } = quota;
    match unit {
        Unit::Requests => format!("{rate} requests/s, burst {burst}"),
        Unit::Tokens { unstated } => {
            format!("{rate} tokens/s, burst {burst}, {unstated} if not stated")
        }
    }
}
