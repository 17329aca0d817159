//! The routes and services that the operator declared, as one checked revision.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// One revision of the operator's configuration.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Number of the revision; only a higher one is adopted.
    pub revision: u64,
    /// All routes, those of one host longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, Arc<Service>>,
    /// What a caller may send.
    pub limits: Limits,
}

/// What a caller may send, and how long it may be idle.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Size of a request's head in bytes.
    pub header_bytes: usize,
    /// Size of a request's body in bytes.
    pub body_bytes: usize,
    /// Longest time for a request's head.
    pub header_timeout: Duration,
    /// Longest time that a kept connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// What holds before the first revision is known.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// May run once at most.
    AtMostOnce,
    /// A stream of events that may be resumed at another engine.
    Resumable,
    /// A stream of events that may begin once at most.
    Stream,
}

impl RequestKind {
    /// Whether the request may be sent again after it may have run.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::Stream)
    }
}

/// A way from a host name and a path to services.
#[derive(Clone, Debug)]
pub struct Route {
    /// The operator's name for it.
    pub name: String,
    /// The host name that callers ask for.
    pub host: String,
    /// What the path begins with.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time until the last byte of the answer.
    pub timeout: Duration,
    /// Time within which the answer is in time (streams: the first event).
    pub latency_target: Duration,
    /// Longest pause between two events of a stream that is still in time.
    pub max_gap: Duration,
    /// Rank among requests of an engine; 0 goes first.
    pub priority: u8,
    /// Most engines that one request may be sent to.
    pub attempts: usize,
    /// Services and their weights; never empty.
    pub targets: Vec<Target>,
}

/// One of the services of a route.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Its share of the requests, against the sum of all.
    pub weight: u32,
}

impl Route {
    /// The service for a request, by the weights of the targets; `draw` decides.
    pub fn service(&self, draw: u64) -> &Arc<str> {
        let sum: u64 = self.targets.iter().map(|it| u64::from(it.weight)).sum();
        let mut rest = draw % sum.max(1);
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

/// A service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Connections that one upstream accepts from all hosts.
    pub connections: usize,
    /// What its engines can hold; `None` for a plain service.
    pub engine: Option<Capacity>,
}

/// What each engine of a service can hold.
#[derive(Clone, Debug, Default)]
pub struct Capacity {
    /// Requests at a time.
    pub slots: usize,
    /// Memory for prompts and answers, in tokens.
    pub kv_tokens: u64,
    /// Adapters at a time.
    pub adapter_slots: usize,
    /// Memory for weights and adapters together, in MB.
    pub weights_mb: f64,
    /// Loads of base models a second, over all engines.
    pub loads_per_s: f64,
    /// The base models.
    pub models: Vec<Model>,
}

/// A base model.
#[derive(Clone, Debug)]
pub struct Model {
    /// Its name.
    pub name: Arc<str>,
    /// Size of its weights in MB.
    pub weights_mb: f64,
    /// Size of one adapter in MB.
    pub adapter_mb: f64,
    /// Time that its weights take to load from the store.
    pub load_time: Duration,
}

impl Capacity {
    /// The base model of that name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|it| &*it.name == name)
    }
}

impl Catalog {
    /// A revision of these routes and services. Routes without a target are left out.
    pub fn new(revision: u64, routes: Vec<Route>, services: Vec<Service>, limits: Limits) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            if route.targets.is_empty() {
                continue;
            }
            let list = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            list.push(Arc::new(route));
        }
        for list in hosts.values_mut() {
            list.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        let named = |it: Service| (it.name.clone(), Arc::new(it));
        Self {
            revision,
            hosts,
            services: services.into_iter().map(named).collect(),
            limits,
        }
    }

    /// The route with the longest prefix of `path` among those of `host`. A port after the host name
    /// is passed over.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let list = self.hosts.get(&name)?;
        list.iter().find(|it| path.starts_with(&it.prefix))
    }
}
