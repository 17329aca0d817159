//! Changes in words, with what they replace.

use std::fmt;

use kernel::name::Service as Name;

use super::Change;
use crate::{
    document::Document,
    service::{Kind, Model, Service, Store, Tenant, Versions, fencing_word},
    unit::format_duration,
};

/// A field of a declaration and its value.
type Field = (&'static str, String);

/// A change in one line. With the text before it only the fields that differ are named.
pub fn describe(change: &Change, before: &Document) -> String {
    let (fields, old) = match change {
        Change::SetStore { store } => (of_store(*store), Some(of_store(before.store()))),
        Change::SetModel { name, model } => (of_model(model), before.model(name).map(of_model)),
        Change::SetTenant { name, tenant } => {
            let old = before.tenants.get(name).copied();
            (of_tenant(*tenant), old.map(of_tenant))
        }
        Change::SetService { name, service } => {
            (of_service(service), before.service(name).map(of_service))
        }
        Change::SetAdapter {
            service,
            adapter,
            versions,
        } => {
            let entry = before.entry(service);
            let old = entry.and_then(|it| it.adapters.get(adapter));
            (of_versions(versions), old.map(of_versions))
        }
        Change::RemoveModel { .. }
        | Change::RemoveTenant { .. }
        | Change::RemoveService { .. }
        | Change::RemoveAdapter { .. } => return change.to_string(),
    };
    format!("{change}: {}", compare(&fields, old.as_deref()))
}

fn compare(fields: &[Field], old: Option<&[Field]>) -> String {
    let shown = fields.iter().filter_map(|(name, value)| {
        let old = old.and_then(|it| it.iter().find(|it| it.0 == *name));
        match old {
            None => Some(format!("{name} {value}")),
            Some((_, old)) if old == value => None,
            Some((_, old)) => Some(format!("{name} {old} -> {value}")),
        }
    });
    shown.collect::<Vec<_>>().join("; ")
}

fn of_store(store: Store) -> Vec<Field> {
    vec![
        ("rate", format!("{}/s", store.rate_per_second)),
        ("full_speed", store.full_speed.to_string()),
        ("in_flight", store.in_flight.to_string()),
    ]
}

fn of_model(model: &Model) -> Vec<Field> {
    vec![
        ("fencing", fencing_word(model.fencing).to_owned()),
        ("prefix_cache", model.prefix_cache.word().to_owned()),
    ]
}

fn of_tenant(tenant: Tenant) -> Vec<Field> {
    let in_flight = tenant.in_flight.map(|it| it.to_string());
    vec![
        ("weight", tenant.weight.to_string()),
        (
            "in_flight",
            in_flight.unwrap_or_else(|| "unlimited".to_owned()),
        ),
    ]
}

fn of_service(service: &Service) -> Vec<Field> {
    let mut fields = vec![("kind", service.kind.word().to_owned())];
    if let Kind::Model(model) = &service.kind {
        fields.push(("model", model.to_string()));
        fields.push(("weights.load_stall", service.weights.load_stall.to_string()));
        let batch_efficiency = service.weights.batch_efficiency.to_string();
        fields.push(("weights.batch_efficiency", batch_efficiency));
    }
    fields.push(("deadline", format_duration(service.deadline)));
    fields.push(("class", service.class.to_string()));
    fields.push(("retry.repeat", service.retry.repeat.word().to_owned()));
    fields.push(("retry.budget", service.retry.budget.to_string()));
    if service.kind == Kind::Plain {
        fields.push(("journal_outage", service.journal_outage.word().to_owned()));
    }
    let needs: Vec<&str> = service.depends_on.iter().map(Name::as_str).collect();
    fields.push(("depends_on", format!("[{}]", needs.join(", "))));
    fields
}

fn of_versions(versions: &Versions) -> Vec<Field> {
    let versions: Vec<String> = versions.iter().map(ToString::to_string).collect();
    vec![("versions", versions.join(", "))]
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SetStore { .. } => write!(f, "set store"),
            Self::SetModel { name, .. } => write!(f, "set model {name}"),
            Self::RemoveModel { name } => write!(f, "remove model {name}"),
            Self::SetTenant { name, .. } => write!(f, "set tenant {name}"),
            Self::RemoveTenant { name } => write!(f, "remove tenant {name}"),
            Self::SetService { name, .. } => write!(f, "set service {name}"),
            Self::RemoveService { name } => write!(f, "remove service {name}"),
            Self::SetAdapter {
                service, adapter, ..
            } => write!(f, "set adapter {service}/{adapter}"),
            Self::RemoveAdapter { service, adapter } => {
                write!(f, "remove adapter {service}/{adapter}")
            }
        }
    }
}
