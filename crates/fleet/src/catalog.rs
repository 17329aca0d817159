//! The routes and services that the operator has declared, as one validated revision.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use crate::account::{Access, Accounts};

/// One revision of the operator's configuration.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Number of the revision; a host adopts only higher ones.
    pub revision: u64,
    /// Routes by the host name of the request, those with the longest path prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, Arc<Service>>,
    /// Limits on requests from callers.
    pub limits: Limits,
    /// Client accounts; `None` if the operator has declared none, so that requests need no key.
    pub accounts: Option<Accounts>,
    /// Names of the routes that are left out, since they have no target.
    routes_without_target: Vec<String>,
    /// Services with routes whose streams may be resumed.
    resumable_services: BTreeSet<Arc<str>>,
    /// Shortest latency target of the routes of a service, by priority.
    shortest_targets: HashMap<Arc<str>, BTreeMap<u8, Duration>>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a request's head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request's head.
    pub header_timeout: Duration,
    /// Maximum time that a keep-alive connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits that apply before the first revision is known.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Retry semantics of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
    /// The response is a stream of events that another engine may resume.
    Resumable,
    /// The response is a stream of events that may begin at most once.
    Stream,
}

impl RequestKind {
    /// Returns whether the request may be sent again after it may have run.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::Stream)
    }
}

/// Maps a host name and a path prefix to services.
#[derive(Clone, Debug)]
pub struct Route {
    /// The operator's name for the route.
    pub name: String,
    /// Host name of the request.
    pub host: String,
    /// Prefix of the request's path.
    pub prefix: String,
    /// Retry semantics of the requests.
    pub kind: RequestKind,
    /// Maximum time until the last byte of the response.
    pub timeout: Duration,
    /// Latency target of the response; for a stream, of its first event.
    pub latency_target: Duration,
    /// Target for the longest gap between two events of a stream.
    pub max_gap: Duration,
    /// Urgency among the routes of a service, by which admission ranks them; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of engines that one request may be sent to.
    pub attempts: usize,
    /// Who may use the route, if there are client accounts.
    pub access: Access,
    /// Services and their weights; never empty.
    pub targets: Vec<Target>,
}

/// A service of a route, with its weight.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the requests, relative to the sum of all weights.
    pub weight: u32,
}

impl Route {
    /// Returns the service for a request. `random` selects a target in proportion to the weights.
    pub fn service(&self, random: u64) -> &Arc<str> {
        let sum: u64 = self.targets.iter().map(|it| u64::from(it.weight)).sum();
        let mut rest = random % sum.max(1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if rest < weight {
                return &target.service;
            }
            rest -= weight;
        }
        &self.targets[0].service
    }
}

/// A service, which is backed by upstreams: engines, or instances of a plain service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Connections that one upstream accepts from all hosts together.
    pub connections: usize,
    /// Capacity of each of its engines; `None` for a plain service.
    pub engine: Option<Capacity>,
}

/// Capacity of each engine of a service.
#[derive(Clone, Debug, Default)]
pub struct Capacity {
    /// Concurrent requests.
    pub slots: usize,
    /// Size of the KV cache in tokens.
    pub kv_tokens: u64,
    /// Adapters that an engine can hold at the same time.
    pub adapter_slots: usize,
    /// Memory for base models and adapters together, in MB.
    pub weights_mb: f64,
    /// Allowed loads of base models per second, over all engines.
    pub loads_per_s: f64,
    /// The base models that the engines can load.
    pub models: Vec<Model>,
}

/// A base model.
#[derive(Clone, Debug)]
pub struct Model {
    /// Its name.
    pub name: Arc<str>,
    /// Size of the weights in MB.
    pub weights_mb: f64,
    /// Size of one adapter in MB.
    pub adapter_mb: f64,
    /// Time to load the weights from the weight store.
    pub load_time: Duration,
}

impl Capacity {
    /// Returns the base model of this name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|it| &*it.name == name)
    }
}

impl Catalog {
    /// Creates a revision from these routes and services. Routes without a target are left out.
    pub fn new(revision: u64, routes: Vec<Route>, services: Vec<Service>, limits: Limits) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        let mut shortest_targets: HashMap<Arc<str>, BTreeMap<u8, Duration>> = HashMap::new();
        let mut resumable_services = BTreeSet::new();
        let mut routes_without_target = Vec::new();
        for route in routes {
            if route.targets.is_empty() {
                routes_without_target.push(route.name);
                continue;
            }
            if route.kind == RequestKind::Resumable {
                resumable_services.extend(route.targets.iter().map(|it| it.service.clone()));
            }
            for target in &route.targets {
                let targets = shortest_targets.entry(target.service.clone()).or_default();
                let shortest = targets.entry(route.priority).or_insert(Duration::MAX);
                *shortest = (*shortest).min(route.latency_target);
            }
            let list = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            list.push(Arc::new(route));
        }
        for list in hosts.values_mut() {
            list.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        let by_name = |it: Service| (it.name.clone(), Arc::new(it));
        Self {
            revision,
            hosts,
            services: services.into_iter().map(by_name).collect(),
            limits,
            accounts: None,
            routes_without_target,
            resumable_services,
            shortest_targets,
        }
    }

    /// Adds the client accounts.
    #[must_use]
    pub fn with_accounts(self, accounts: Accounts) -> Self {
        Self {
            accounts: Some(accounts),
            ..self
        }
    }

    /// Returns all routes with a target; those of the same host and prefix in the order of their declaration.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }

    /// Returns the names of the routes that are left out, since they have no target.
    pub fn routes_without_target(&self) -> &[String] {
        &self.routes_without_target
    }

    /// Returns the services with routes whose streams may be resumed.
    pub fn resumable_services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.resumable_services.iter()
    }

    /// Returns the shortest latency target among the routes of a service that are more urgent than a request.
    pub fn more_urgent_target(&self, priority: u8, service: &str) -> Option<Duration> {
        let targets = self.shortest_targets.get(service)?;
        let more_urgent = targets.range(..priority);
        more_urgent.map(|it| *it.1).min()
    }

    /// Returns the route with the longest prefix of `path` among those of `host`. A port in `host` is
    /// ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let list = self.hosts.get(&name)?;
        list.iter().find(|it| path.starts_with(&it.prefix))
    }
}
