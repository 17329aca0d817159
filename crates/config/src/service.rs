//! The declarations in a config document: services, base models, tenants and the limits of the
//! weight store.

use std::{collections::BTreeSet, time::Duration};

use kernel::{
    name,
    reference::{Reference, Version},
    request::Class,
    service::Fencing,
};
use serde::{Deserialize, Serialize};

use crate::serial;

/// The default deadline of a service.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// The default retry budget of a service, in retries per first attempt.
pub const DEFAULT_RETRY_BUDGET: f64 = 0.1;

/// The declaration of a service, without its adapters.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// The kind of the service, with the base model of a model service.
    pub kind: Kind,
    /// The deadline of a request that does not set one.
    #[serde(with = "serial::duration")]
    pub deadline: Duration,
    /// The class of a request that does not set one.
    #[serde(with = "serial::class")]
    pub class: Class,
    /// The rules for retries.
    pub retry: Retry,
    /// The weights of the placement objectives.
    pub weights: ObjectiveWeights,
    /// The handling of calls with an idempotency key while their records can't be written.
    pub journal_outage: OutagePolicy,
    /// The services that this service depends on.
    #[serde(with = "serial::services")]
    pub depends_on: Vec<name::Service>,
}

/// The kind of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model service, with its base model. Only a model service has adapters.
    Model(#[serde(with = "serial::model")] name::Model),
    /// A plain service. Its calls are passed through.
    Plain,
}

impl Kind {
    /// Returns the keyword in the document: `model` or `plain`.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Model(_) => "model",
            Self::Plain => "plain",
        }
    }
}

/// The rules for retries after a failure.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Retry {
    /// Determines whether a failed call that may have run is sent again.
    pub repeat: Repeat,
    /// The number of retries per first attempt, from 0 to 1.
    pub budget: f64,
}

/// Determines whether a failed call that may have run is sent again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// The call may be sent again because calls are idempotent.
    Allowed,
    /// The call is not sent again, so that it runs at most once.
    Never,
}

impl Repeat {
    /// Returns the keyword in the document: `allowed` or `never`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Allowed => "allowed",
            Self::Never => "never",
        }
    }
}

/// The weights of the objectives for placing requests and loading adapters.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct ObjectiveWeights {
    /// The weight of the time that requests wait for their adapter to load.
    pub load_stall: f64,
    /// The weight of how fully engines are utilized.
    pub batch_efficiency: f64,
}

impl Default for ObjectiveWeights {
    fn default() -> Self {
        Self {
            load_stall: 0.5,
            batch_efficiency: 0.5,
        }
    }
}

/// The handling of a plain service's calls with an idempotency key while their records can't be
/// written.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutagePolicy {
    /// Calls fail with an error that says that they did not run.
    #[default]
    Refuse,
    /// Calls run without a record, so that a repeated call may run again.
    ServeAtRisk,
}

impl OutagePolicy {
    /// Returns the keyword in the document: `refuse` or `serve-at-risk`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Refuse => "refuse",
            Self::ServeAtRisk => "serve-at-risk",
        }
    }
}

/// The declaration of a base model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Model {
    /// Determines whether the engines reject orders with an outdated fencing token.
    #[serde(with = "serial::fencing")]
    pub fencing: Fencing,
    /// The prefix cache setting of the engines.
    pub prefix_cache: PrefixCache,
}

impl Default for Model {
    fn default() -> Self {
        Self {
            fencing: Fencing::Ignored,
            prefix_cache: PrefixCache::Off,
        }
    }
}

/// The prefix cache setting of engines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PrefixCache {
    /// Engines cache prompt prefixes.
    On,
    /// Engines do not cache prompt prefixes.
    #[default]
    Off,
}

impl PrefixCache {
    /// Returns the keyword in the document: `on` or `off`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::On => "on",
            Self::Off => "off",
        }
    }
}

/// The limits of the weight store for loads of all engines together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Store {
    /// The maximum number of loads that start per second.
    pub rate_per_second: f64,
    /// The maximum number of concurrent loads that each run at full speed. After a pause, as many
    /// loads may start at once.
    pub full_speed: u32,
    /// The maximum number of loads in flight. Above it, all loads slow down.
    pub in_flight: u32,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            rate_per_second: 1.0,
            full_speed: 1,
            in_flight: 1,
        }
    }
}

/// The capacity share and the limits of a tenant.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Tenant {
    /// The share of the capacity, relative to other tenants.
    pub weight: f64,
    /// The maximum number of concurrent requests of the tenant on each entry host; `None` means no
    /// limit.
    pub in_flight: Option<u32>,
}

impl Default for Tenant {
    fn default() -> Self {
        Self {
            weight: 1.0,
            in_flight: None,
        }
    }
}

/// The result of resolving a reference: the base model and the settings that apply.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The reference.
    pub reference: Reference,
    /// The base model that the adapter belongs to.
    pub model: name::Model,
    /// Determines whether the model's engines check fencing tokens.
    pub fencing: Fencing,
    /// The deadline of a request that does not set one.
    pub deadline: Duration,
    /// The class of a request that does not set one.
    pub class: Class,
    /// The rules for retries.
    pub retry: Retry,
    /// The weights of the placement objectives.
    pub weights: ObjectiveWeights,
}

/// The published versions of an adapter.
pub type Versions = BTreeSet<Version>;

/// Parses `checked` or `ignored`.
pub(crate) fn parse_fencing(keyword: &str) -> Option<Fencing> {
    match keyword {
        "checked" => Some(Fencing::Checked),
        "ignored" => Some(Fencing::Ignored),
        _ => None,
    }
}

/// Returns the keyword in the document: `checked` or `ignored`.
pub(crate) fn fencing_as_str(fencing: Fencing) -> &'static str {
    match fencing {
        Fencing::Checked => "checked",
        Fencing::Ignored => "ignored",
    }
}
