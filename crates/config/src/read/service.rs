//! Reads the declaration of a service.

use std::{collections::BTreeMap, sync::Arc};

use kernel::{name, request::Class};

use super::{keyword, uses::Uses};
use crate::{
    document::ServiceEntry,
    fields::{self, Fields},
    node::{Entry as Field, Node, Value},
    persistent::Map,
    problem::{Position, Sink},
    service::{
        DEFAULT_DEADLINE, DEFAULT_RETRY_BUDGET, Kind, ObjectiveWeights, Repeat, Retry, Service,
        Versions,
    },
    unit,
};

const RETRY_FIELDS: [&str; 2] = ["repeat", "budget"];
const WEIGHTS_FIELDS: [&str; 2] = ["load_stall", "batch_efficiency"];
const SERVICE_FIELDS: [&str; 9] = [
    "kind",
    "model",
    "deadline",
    "class",
    "retry",
    "weights",
    "journal_outage",
    "depends_on",
    "adapters",
];

/// The fields that only a model service can have.
const MODEL_SERVICE_FIELDS: [&str; 3] = ["model", "weights", "adapters"];

/// The fields that only a plain service can have.
const PLAIN_SERVICE_FIELDS: [&str; 1] = ["journal_outage"];

/// Reads a service. Returns `None` if its kind or its base model is missing or invalid.
pub(super) fn read_service(sink: &mut Sink, entry: &Field) -> Option<(ServiceEntry, Uses)> {
    let subject = format!("service {:?}", entry.key);
    let fields = Fields::read(sink, &subject, &entry.value, &SERVICE_FIELDS);
    let kind = match fields.required(sink, "kind", keyword::parse_service_kind) {
        Some(keyword::ServiceKind::Plain) => Some(read_plain_kind(sink, &fields)),
        Some(keyword::ServiceKind::Model) => read_model_kind(sink, &fields),
        None => None,
    };
    let retry = read_retry(sink, &fields);
    let deadline = fields.optional(sink, "deadline", unit::parse_duration);
    let class = fields.optional(sink, "class", fields::from_str::<Class>);
    let weights = read_weights(sink, &fields);
    let journal_outage = fields.optional(sink, "journal_outage", keyword::parse_outage_policy);
    let depends_on = read_dependencies(sink, &fields);
    let adapters = read_adapters(sink, &fields, &entry.key);
    // Returns early only after all fields were read, so that all problems are reported at once.
    let kind = kind?;
    let service = Service {
        retry: retry.with_defaults(&kind),
        kind,
        deadline: deadline.unwrap_or(DEFAULT_DEADLINE),
        class: class.unwrap_or_default(),
        weights,
        journal_outage: journal_outage.unwrap_or_default(),
        depends_on: depends_on.keys().cloned().collect(),
    };
    let uses = Uses {
        model: fields.value("model").map(|it| it.position),
        depends_on,
    };
    let service = Arc::new(service);
    Some((ServiceEntry { service, adapters }, uses))
}

fn read_plain_kind(sink: &mut Sink, fields: &Fields) -> Kind {
    reject_fields(sink, fields, &MODEL_SERVICE_FIELDS, "a plain service");
    Kind::Plain
}

fn read_model_kind(sink: &mut Sink, fields: &Fields) -> Option<Kind> {
    reject_fields(sink, fields, &PLAIN_SERVICE_FIELDS, "a model service");
    let model = fields.required(sink, "model", fields::from_str::<name::Model>);
    model.map(Kind::Model)
}

fn reject_fields(sink: &mut Sink, fields: &Fields, names: &[&str], kind: &str) {
    for entry in names.iter().filter_map(|it| fields.entry(it)) {
        let subject = fields.subject();
        let message = format!("{subject} is {kind}: it has no field {:?}", entry.key);
        sink.report(entry.position, message);
    }
}

/// The retry rules that are present in the file.
#[derive(Clone, Copy, Default)]
struct PartialRetry {
    repeat: Option<Repeat>,
    budget: Option<f64>,
}

impl PartialRetry {
    /// Fills in the defaults, which depend on the kind of the service.
    fn with_defaults(self, kind: &Kind) -> Retry {
        let default = match kind {
            Kind::Model(_) => Repeat::Allowed,
            Kind::Plain => Repeat::Never,
        };
        Retry {
            repeat: self.repeat.unwrap_or(default),
            budget: self.budget.unwrap_or(DEFAULT_RETRY_BUDGET),
        }
    }
}

fn read_retry(sink: &mut Sink, service: &Fields) -> PartialRetry {
    let Some(node) = service.value("retry") else {
        return PartialRetry::default();
    };
    let subject = format!("retry of {}", service.subject());
    let fields = Fields::read(sink, &subject, node, &RETRY_FIELDS);
    PartialRetry {
        repeat: fields.optional(sink, "repeat", keyword::parse_repeat),
        budget: fields.optional(sink, "budget", unit::parse_ratio),
    }
}

fn read_weights(sink: &mut Sink, service: &Fields) -> ObjectiveWeights {
    let Some(node) = service.value("weights") else {
        return ObjectiveWeights::default();
    };
    let subject = format!("weights of {}", service.subject());
    let fields = Fields::read(sink, &subject, node, &WEIGHTS_FIELDS);
    let default = ObjectiveWeights::default();
    let load_stall = fields.optional(sink, "load_stall", unit::parse_weight);
    let batch_efficiency = fields.optional(sink, "batch_efficiency", unit::parse_weight);
    ObjectiveWeights {
        load_stall: load_stall.unwrap_or(default.load_stall),
        batch_efficiency: batch_efficiency.unwrap_or(default.batch_efficiency),
    }
}

fn read_dependencies(sink: &mut Sink, service: &Fields) -> BTreeMap<name::Service, Position> {
    let mut dependencies = BTreeMap::new();
    let Some(node) = service.value("depends_on") else {
        return dependencies;
    };
    let subject = format!("depends_on of {}", service.subject());
    for item in fields::list_items(sink, &subject, node) {
        let name = fields::parse_scalar(sink, &subject, item, fields::from_str::<name::Service>);
        let Some(name) = name else {
            continue;
        };
        if let Some(first) = dependencies.get(&name) {
            let message = format!(
                "{subject} lists {:?} twice, first at {first}",
                name.as_str()
            );
            sink.report(item.position, message);
            continue;
        }
        dependencies.insert(name, item.position);
    }
    dependencies
}

fn read_adapters(sink: &mut Sink, service: &Fields, name: &str) -> Map<name::Adapter, Versions> {
    let mut adapters = Map::default();
    let Some(node) = service.value("adapters") else {
        return adapters;
    };
    let subject = format!("adapters of {}", service.subject());
    let entries = fields::map_entries(sink, &subject, node);
    let kind = format!("service {name:?}: adapter");
    for (adapter, entry) in fields::parse_names::<name::Adapter>(sink, &kind, entries) {
        let subject = format!("{name}/{adapter}");
        adapters.insert(adapter, read_versions(sink, &subject, &entry.value));
    }
    adapters
}

fn read_versions(sink: &mut Sink, adapter: &str, node: &Node) -> Versions {
    let mut versions = Versions::new();
    let subject = format!("versions of adapter {adapter}");
    let items = match &node.value {
        Value::Scalar(_) => std::slice::from_ref(node),
        _ => fields::list_items(sink, &subject, node),
    };
    if items.is_empty() && matches!(node.value, Value::List(_) | Value::Null) {
        sink.report(node.position, format!("adapter {adapter} has no version"));
    }
    for item in items {
        let version = fields::parse_scalar(sink, &subject, item, keyword::parse_version);
        let Some(version) = version else {
            continue;
        };
        if !versions.insert(version) {
            sink.report(item.position, format!("{subject} list {version} twice"));
        }
    }
    versions
}
