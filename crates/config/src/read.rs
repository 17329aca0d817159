//! Converts a YAML tree to a config document and reports all problems.

mod keyword;
mod service;
mod uses;

use kernel::name;

use self::uses::Uses;
use crate::{
    document::{Document, Edit},
    fields::{self, Fields},
    node::{Entry as Field, Node, Value},
    persistent::Map,
    problem::{List, Sink},
    service::{Model, Store, Tenant},
    unit,
};

const DOCUMENT_FIELDS: [&str; 5] = ["revision", "store", "models", "tenants", "services"];
const STORE_FIELDS: [&str; 3] = ["rate", "full_speed", "in_flight"];
const MODEL_FIELDS: [&str; 2] = ["fencing", "prefix_cache"];
const TENANT_FIELDS: [&str; 2] = ["weight", "in_flight"];

/// Reads a whole config file.
pub(crate) fn read_edit(file: &str, root: &Node) -> Result<Edit, List> {
    let mut sink = Sink::new(file);
    if root.value == Value::Null {
        return Err(sink.fail(root.position, "the file is empty"));
    }
    let fields = Fields::read(&mut sink, "the document", root, &DOCUMENT_FIELDS);
    let base = fields.optional(&mut sink, "revision", keyword::parse_revision);
    let document = Document {
        store: read_store(&mut sink, &fields),
        models: read_models(&mut sink, &fields),
        tenants: read_tenants(&mut sink, &fields),
        services: Map::default(),
    };
    let document = read_services(&mut sink, &fields, document);
    sink.finish(Edit { base, document })
}

fn read_store(sink: &mut Sink, document: &Fields) -> Store {
    let Some(node) = document.value("store") else {
        return Store::default();
    };
    let fields = Fields::read(sink, "the weight store", node, &STORE_FIELDS);
    let rate = fields.required(sink, "rate", unit::parse_rate);
    let full_speed = fields.required(sink, "full_speed", unit::parse_count);
    let in_flight = fields.required(sink, "in_flight", unit::parse_count);
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

fn read_models(sink: &mut Sink, document: &Fields) -> Map<name::Model, Model> {
    let mut models = Map::default();
    let Some(node) = document.value("models") else {
        return models;
    };
    let entries = fields::map_entries(sink, "models", node);
    for (name, entry) in fields::parse_names::<name::Model>(sink, "base model", entries) {
        models.insert(name, read_model(sink, entry));
    }
    models
}

fn read_model(sink: &mut Sink, entry: &Field) -> Model {
    let subject = format!("base model {:?}", entry.key);
    let fields = Fields::read(sink, &subject, &entry.value, &MODEL_FIELDS);
    let default = Model::default();
    let fencing = fields.optional(sink, "fencing", keyword::parse_fencing);
    let prefix_cache = fields.optional(sink, "prefix_cache", keyword::parse_prefix_cache);
    Model {
        fencing: fencing.unwrap_or(default.fencing),
        prefix_cache: prefix_cache.unwrap_or(default.prefix_cache),
    }
}

fn read_tenants(sink: &mut Sink, document: &Fields) -> Map<name::Tenant, Tenant> {
    let mut tenants = Map::default();
    let Some(node) = document.value("tenants") else {
        return tenants;
    };
    let entries = fields::map_entries(sink, "tenants", node);
    for (name, entry) in fields::parse_names::<name::Tenant>(sink, "tenant", entries) {
        tenants.insert(name, read_tenant(sink, entry));
    }
    tenants
}

fn read_tenant(sink: &mut Sink, entry: &Field) -> Tenant {
    let subject = format!("tenant {:?}", entry.key);
    let fields = Fields::read(sink, &subject, &entry.value, &TENANT_FIELDS);
    let weight = fields.optional(sink, "weight", unit::parse_weight);
    if weight == Some(0.0) {
        sink.report(
            entry.value.position,
            format!("weight of {subject} must be above 0"),
        );
    }
    Tenant {
        weight: weight.unwrap_or(Tenant::default().weight),
        in_flight: fields.optional(sink, "in_flight", unit::parse_count),
    }
}

fn read_services(sink: &mut Sink, fields: &Fields, mut document: Document) -> Document {
    let Some(node) = fields.value("services") else {
        return document;
    };
    let entries = fields::map_entries(sink, "services", node);
    let mut uses = Vec::new();
    for (name, entry) in fields::parse_names::<name::Service>(sink, "service", entries) {
        if let Some((service, uses_of_service)) = service::read_service(sink, entry) {
            document.services.insert(name.clone(), service);
            uses.push((name, uses_of_service));
        } else {
            // An invalid service still counts as declared, so that the services that depend on it
            // are not reported too.
            uses.push((name, Uses::default()));
        }
    }
    uses::check(sink, &document, &uses);
    document
}
