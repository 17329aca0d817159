//! From a YAML tree to the text, with every problem reported.

mod link;
mod service;
mod word;

use kernel::name;

use self::link::Links;
use crate::{
    document::{Document, Edit},
    fields::{self, Fields},
    node::{Entry as Field, Node, Value},
    persistent::Map,
    problem::{List, Sink},
    service::{Model, Store, Tenant},
    unit,
};

const TEXT_FIELDS: [&str; 5] = ["revision", "store", "models", "tenants", "services"];
const STORE_FIELDS: [&str; 3] = ["rate", "full_speed", "in_flight"];
const MODEL_FIELDS: [&str; 2] = ["fencing", "prefix_cache"];
const TENANT_FIELDS: [&str; 2] = ["weight", "in_flight"];
/// Reads the whole text.
pub(crate) fn edit(file: &str, root: &Node) -> Result<Edit, List> {
    let mut sink = Sink::new(file);
    if root.value == Value::Null {
        return Err(sink.fail(root.position, "the file is empty"));
    }
    let fields = Fields::read(&mut sink, "the text", root, &TEXT_FIELDS);
    let base = fields.optional(&mut sink, "revision", word::revision);
    let document = Document {
        store: store(&mut sink, &fields),
        models: models(&mut sink, &fields),
        tenants: tenants(&mut sink, &fields),
        services: Map::default(),
    };
    let document = services(&mut sink, &fields, document);
    sink.finish(Edit { base, document })
}

fn store(sink: &mut Sink, text: &Fields) -> Store {
    let Some(node) = text.value("store") else {
        return Store::default();
    };
    let fields = Fields::read(sink, "the weight store", node, &STORE_FIELDS);
    let rate = fields.required(sink, "rate", unit::rate);
    let full_speed = fields.required(sink, "full_speed", unit::count);
    let in_flight = fields.required(sink, "in_flight", unit::count);
    if let (Some(full_speed), Some(in_flight)) = (full_speed, in_flight)
        && full_speed > in_flight
    {
        let message =
            format!("full_speed of the weight store is {full_speed}, above in_flight {in_flight}");
        sink.report(node.position, message);
    }
    let default = Store::default();
    Store {
        rate_per_second: rate.unwrap_or(default.rate_per_second),
        full_speed: full_speed.unwrap_or(default.full_speed),
        in_flight: in_flight.unwrap_or(default.in_flight),
    }
}

fn models(sink: &mut Sink, text: &Fields) -> Map<name::Model, Model> {
    let mut models = Map::default();
    let Some(node) = text.value("models") else {
        return models;
    };
    let entries = fields::map(sink, "models", node);
    for (name, entry) in fields::named::<name::Model>(sink, "base model", entries) {
        models.insert(name, model(sink, entry));
    }
    models
}

fn model(sink: &mut Sink, entry: &Field) -> Model {
    let owner = format!("base model {:?}", entry.key);
    let fields = Fields::read(sink, &owner, &entry.value, &MODEL_FIELDS);
    let default = Model::default();
    let fencing = fields.optional(sink, "fencing", word::fencing);
    let cache = fields.optional(sink, "prefix_cache", word::cache);
    Model {
        fencing: fencing.unwrap_or(default.fencing),
        prefix_cache: cache.unwrap_or(default.prefix_cache),
    }
}

fn tenants(sink: &mut Sink, text: &Fields) -> Map<name::Tenant, Tenant> {
    let mut tenants = Map::default();
    let Some(node) = text.value("tenants") else {
        return tenants;
    };
    let entries = fields::map(sink, "tenants", node);
    for (name, entry) in fields::named::<name::Tenant>(sink, "tenant", entries) {
        tenants.insert(name, tenant(sink, entry));
    }
    tenants
}

fn tenant(sink: &mut Sink, entry: &Field) -> Tenant {
    let owner = format!("tenant {:?}", entry.key);
    let fields = Fields::read(sink, &owner, &entry.value, &TENANT_FIELDS);
    let weight = fields.optional(sink, "weight", unit::weight);
    if weight == Some(0.0) {
        sink.report(
            entry.value.position,
            format!("weight of {owner} must be above 0"),
        );
    }
    Tenant {
        weight: weight.unwrap_or(Tenant::default().weight),
        in_flight: fields.optional(sink, "in_flight", unit::count),
    }
}

fn services(sink: &mut Sink, text: &Fields, mut result: Document) -> Document {
    let Some(node) = text.value("services") else {
        return result;
    };
    let entries = fields::map(sink, "services", node);
    let mut links = Vec::new();
    for (name, entry) in fields::named::<name::Service>(sink, "service", entries) {
        if let Some((declared, links_of)) = service::read(sink, entry) {
            result.services.insert(name.clone(), declared);
            links.push((name, links_of));
        } else {
            // A service that could not be read is still declared for those that need it.
            links.push((name, Links::default()));
        }
    }
    link::check(sink, &result, &links);
    result
}
