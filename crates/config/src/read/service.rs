//! Reading one service.

use std::{collections::BTreeMap, sync::Arc};

use kernel::{name, request::Class};

use super::{link::Links, word};
use crate::{
    document::Entry,
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

/// Fields that only a model service has.
const MODEL_SERVICE_FIELDS: [&str; 3] = ["model", "weights", "adapters"];

/// Fields that only a plain service has.
const PLAIN_SERVICE_FIELDS: [&str; 1] = ["journal_outage"];

/// Reads a service; nothing if its kind or its base model can't be told.
pub(super) fn read(sink: &mut Sink, entry: &Field) -> Option<(Entry, Links)> {
    let owner = format!("service {:?}", entry.key);
    let fields = Fields::read(sink, &owner, &entry.value, &SERVICE_FIELDS);
    let kind = match fields.required(sink, "kind", word::kind) {
        Some(word::Kind::Plain) => Some(plain(sink, &fields)),
        Some(word::Kind::Model) => modelled(sink, &fields),
        None => None,
    };
    let retry = retry(sink, &fields);
    let deadline = fields.optional(sink, "deadline", unit::duration);
    let class = fields.optional(sink, "class", fields::word::<Class>);
    let weights = weights(sink, &fields);
    let journal_outage = fields.optional(sink, "journal_outage", word::outage);
    let depends_on = dependencies(sink, &fields);
    let adapters = adapters(sink, &fields, &entry.key);
    // Every field has been read by now, so that all problems are reported at once.
    let kind = kind?;
    let service = Service {
        retry: retry.of(&kind),
        kind,
        deadline: deadline.unwrap_or(DEFAULT_DEADLINE),
        class: class.unwrap_or_default(),
        weights,
        journal_outage: journal_outage.unwrap_or_default(),
        depends_on: depends_on.keys().cloned().collect(),
    };
    let links = Links {
        model: fields.value("model").map(|it| it.position),
        depends_on,
    };
    let service = Arc::new(service);
    Some((Entry { service, adapters }, links))
}

fn plain(sink: &mut Sink, fields: &Fields) -> Kind {
    refuse_fields(sink, fields, &MODEL_SERVICE_FIELDS, "a plain service");
    Kind::Plain
}

fn modelled(sink: &mut Sink, fields: &Fields) -> Option<Kind> {
    refuse_fields(sink, fields, &PLAIN_SERVICE_FIELDS, "a model service");
    let model = fields.required(sink, "model", fields::word::<name::Model>);
    model.map(Kind::Model)
}

fn refuse_fields(sink: &mut Sink, fields: &Fields, names: &[&str], kind: &str) {
    for entry in names.iter().filter_map(|it| fields.entry(it)) {
        let owner = fields.owner();
        let message = format!("{owner} is {kind}: it has no field {:?}", entry.key);
        sink.report(entry.position, message);
    }
}

/// What is written under `retry`.
#[derive(Clone, Copy, Default)]
struct Written {
    repeat: Option<Repeat>,
    budget: Option<f64>,
}

impl Written {
    fn of(self, kind: &Kind) -> Retry {
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

fn retry(sink: &mut Sink, service: &Fields) -> Written {
    let Some(node) = service.value("retry") else {
        return Written::default();
    };
    let owner = format!("retry of {}", service.owner());
    let fields = Fields::read(sink, &owner, node, &RETRY_FIELDS);
    Written {
        repeat: fields.optional(sink, "repeat", word::repeat),
        budget: fields.optional(sink, "budget", unit::ratio),
    }
}

fn weights(sink: &mut Sink, service: &Fields) -> ObjectiveWeights {
    let Some(node) = service.value("weights") else {
        return ObjectiveWeights::default();
    };
    let owner = format!("weights of {}", service.owner());
    let fields = Fields::read(sink, &owner, node, &WEIGHTS_FIELDS);
    let default = ObjectiveWeights::default();
    let load_stall = fields.optional(sink, "load_stall", unit::weight);
    let batch_efficiency = fields.optional(sink, "batch_efficiency", unit::weight);
    ObjectiveWeights {
        load_stall: load_stall.unwrap_or(default.load_stall),
        batch_efficiency: batch_efficiency.unwrap_or(default.batch_efficiency),
    }
}

fn dependencies(sink: &mut Sink, service: &Fields) -> BTreeMap<name::Service, Position> {
    let mut found = BTreeMap::new();
    let Some(node) = service.value("depends_on") else {
        return found;
    };
    let thing = format!("depends_on of {}", service.owner());
    for item in fields::list(sink, &thing, node) {
        let name = fields::scalar(sink, &thing, item, fields::word::<name::Service>);
        let Some(name) = name else {
            continue;
        };
        if let Some(first) = found.get(&name) {
            let message = format!("{thing} lists {:?} twice, first at {first}", name.as_str());
            sink.report(item.position, message);
            continue;
        }
        found.insert(name, item.position);
    }
    found
}

fn adapters(sink: &mut Sink, service: &Fields, name: &str) -> Map<name::Adapter, Versions> {
    let mut found = Map::default();
    let Some(node) = service.value("adapters") else {
        return found;
    };
    let thing = format!("adapters of {}", service.owner());
    let entries = fields::map(sink, &thing, node);
    let kind = format!("service {name:?}: adapter");
    for (adapter, entry) in fields::named::<name::Adapter>(sink, &kind, entries) {
        let thing = format!("{name}/{adapter}");
        found.insert(adapter, versions(sink, &thing, &entry.value));
    }
    found
}

fn versions(sink: &mut Sink, adapter: &str, node: &Node) -> Versions {
    let mut found = Versions::new();
    let thing = format!("versions of adapter {adapter}");
    let items = match &node.value {
        Value::Scalar(_) => std::slice::from_ref(node),
        _ => fields::list(sink, &thing, node),
    };
    if items.is_empty() && matches!(node.value, Value::List(_) | Value::Null) {
        sink.report(node.position, format!("adapter {adapter} has no version"));
    }
    for item in items {
        let version = fields::scalar(sink, &thing, item, word::version);
        let Some(version) = version else {
            continue;
        };
        if !found.insert(version) {
            sink.report(item.position, format!("{thing} list {version} twice"));
        }
    }
    found
}
