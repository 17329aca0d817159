//! What the text declares: services, base models, tenants and the weight store's limits.

use std::{collections::BTreeSet, time::Duration};

use kernel::{
    name,
    reference::{Reference, Version},
    request::Class,
    service::Fencing,
};
use serde::{Deserialize, Serialize};

use crate::serial;

/// The deadline of a request that brings none, unless the service declares another.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Share of a service's requests that may be retried, unless it declares another.
pub const DEFAULT_RETRY_BUDGET: f64 = 0.1;

/// A service, without its adapters.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// What it is.
    pub kind: Kind,
    /// The deadline of a request that brings none.
    #[serde(with = "serial::duration")]
    pub deadline: Duration,
    /// The class of a request that brings none.
    #[serde(with = "serial::class")]
    pub class: Class,
    /// What may be sent again.
    pub retry: Retry,
    /// How much each objective weighs.
    pub weights: ObjectiveWeights,
    /// What happens to keyed calls when their records can't be written.
    pub journal_outage: OutagePolicy,
    /// The services that this one needs.
    #[serde(with = "serial::services")]
    pub depends_on: Vec<name::Service>,
}

/// What a service is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model service with a base model and adapters.
    Model(#[serde(with = "serial::model")] name::Model),
    /// A plain service; its calls are passed through.
    Plain,
}

impl Kind {
    /// The word in the text: `model` or `plain`.
    pub fn word(&self) -> &'static str {
        match self {
            Self::Model(_) => "model",
            Self::Plain => "plain",
        }
    }
}

/// What may be sent again after a failure.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Retry {
    /// Whether a call that may have run can be sent again.
    pub repeat: Repeat,
    /// Retries per first attempt, from 0 to 1.
    pub budget: f64,
}

/// Whether a call that may have run can be sent again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// The calls are idempotent.
    Allowed,
    /// A call is sent at most once.
    Never,
}

impl Repeat {
    /// The word in the text: `allowed` or `never`.
    pub fn word(self) -> &'static str {
        match self {
            Self::Allowed => "allowed",
            Self::Never => "never",
        }
    }
}

/// How much each objective weighs in placing and loading.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct ObjectiveWeights {
    /// Weight of the time that requests wait for their adapter.
    pub load_stall: f64,
    /// Weight of how fully engines are used.
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

/// What happens to keyed calls of a plain service when their records can't be written.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutagePolicy {
    /// They are refused as not run.
    #[default]
    Refuse,
    /// They are made without a record, so that a repeat may run again.
    ServeAtRisk,
}

impl OutagePolicy {
    /// The word in the text: `refuse` or `serve-at-risk`.
    pub fn word(self) -> &'static str {
        match self {
            Self::Refuse => "refuse",
            Self::ServeAtRisk => "serve-at-risk",
        }
    }
}

/// A base model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Model {
    /// Whether its engines refuse orders that carry an old fencing number.
    #[serde(with = "serial::fencing")]
    pub fencing: Fencing,
    /// Whether its engines cache prompt prefixes.
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

/// Whether engines cache prompt prefixes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PrefixCache {
    /// They do.
    On,
    /// They do not.
    #[default]
    Off,
}

impl PrefixCache {
    /// The word in the text: `on` or `off`.
    pub fn word(self) -> &'static str {
        match self {
            Self::On => "on",
            Self::Off => "off",
        }
    }
}

/// The limits of the weight store, for all engines together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Store {
    /// Loads that may begin each second.
    pub rate_per_second: f64,
    /// Loads that run at full speed at once.
    pub full_speed: u32,
    /// Loads in flight past which all of them slow down.
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

/// The share and the limits of a tenant.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Tenant {
    /// Its share of the capacity, relative to the others.
    pub weight: f64,
    /// The most requests that each entry host runs for it at once.
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

/// What a reference leads to.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The reference.
    pub reference: Reference,
    /// The base model that the adapter belongs to.
    pub model: name::Model,
    /// Whether the model's engines check fencing numbers.
    pub fencing: Fencing,
    /// The deadline of a request that brings none.
    pub deadline: Duration,
    /// The class of a request that brings none.
    pub class: Class,
    /// What may be sent again.
    pub retry: Retry,
    /// How much each objective weighs.
    pub weights: ObjectiveWeights,
}

/// The published versions of an adapter.
pub type Versions = BTreeSet<Version>;

/// Reads `checked` or `ignored`.
pub(crate) fn fencing(word: &str) -> Option<Fencing> {
    match word {
        "checked" => Some(Fencing::Checked),
        "ignored" => Some(Fencing::Ignored),
        _ => None,
    }
}

/// The word for a fencing kind.
pub(crate) fn fencing_word(fencing: Fencing) -> &'static str {
    match fencing {
        Fencing::Checked => "checked",
        Fencing::Ignored => "ignored",
    }
}
