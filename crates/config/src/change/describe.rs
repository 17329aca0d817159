//! Describes changes for operators, with the old and the new values.

use std::fmt;

use kernel::name::Service as ServiceName;

use super::Change;
use crate::{
    document::Document,
    service::{Kind, Model, Service, Store, Tenant, Versions, fencing_as_str},
    unit::format_duration,
};

/// The name and the value of a field of a declaration.
type Field = (&'static str, String);

/// Describes a change in one line. If `before`, the document that the change applies to, has the
/// declaration already, only the fields that differ are listed.
pub fn describe(change: &Change, before: &Document) -> String {
    let (fields, old) = match change {
        Change::SetStore { store } => (store_fields(*store), Some(store_fields(before.store()))),
        Change::SetModel { name, model } => {
            (model_fields(model), before.model(name).map(model_fields))
        }
        Change::SetTenant { name, tenant } => {
            let old = before.tenants.get(name).copied();
            (tenant_fields(*tenant), old.map(tenant_fields))
        }
        Change::SetService { name, service } => (
            service_fields(service),
            before.service(name).map(service_fields),
        ),
        Change::SetAdapter {
            service,
            adapter,
            versions,
        } => {
            let entry = before.service_entry(service);
            let old = entry.and_then(|it| it.adapters.get(adapter));
            (versions_fields(versions), old.map(versions_fields))
        }
        Change::RemoveModel { .. }
        | Change::RemoveTenant { .. }
        | Change::RemoveService { .. }
        | Change::RemoveAdapter { .. } => return change.to_string(),
    };
    format!("{change}: {}", list_differences(&fields, old.as_deref()))
}

fn list_differences(fields: &[Field], old: Option<&[Field]>) -> String {
    let differences = fields.iter().filter_map(|(name, value)| {
        let old = old.and_then(|it| it.iter().find(|it| it.0 == *name));
        match old {
            None => Some(format!("{name} {value}")),
            Some((_, old)) if old == value => None,
            Some((_, old)) => Some(format!("{name} {old} -> {value}")),
        }
    });
    differences.collect::<Vec<_>>().join("; ")
}

fn store_fields(store: Store) -> Vec<Field> {
    vec![
        ("rate", format!("{}/s", store.rate_per_second)),
        ("full_speed", store.full_speed.to_string()),
        ("in_flight", store.in_flight.to_string()),
    ]
}

fn model_fields(model: &Model) -> Vec<Field> {
    vec![
        ("fencing", fencing_as_str(model.fencing).to_owned()),
        ("prefix_cache", model.prefix_cache.as_str().to_owned()),
    ]
}

fn tenant_fields(tenant: Tenant) -> Vec<Field> {
    let in_flight = tenant.in_flight.map(|it| it.to_string());
    vec![
        ("weight", tenant.weight.to_string()),
        (
            "in_flight",
            in_flight.unwrap_or_else(|| "unlimited".to_owned()),
        ),
    ]
}

fn service_fields(service: &Service) -> Vec<Field> {
    let mut fields = vec![("kind", service.kind.as_str().to_owned())];
    if let Kind::Model(model) = &service.kind {
        fields.push(("model", model.to_string()));
        fields.push(("weights.load_stall", service.weights.load_stall.to_string()));
        let batch_efficiency = service.weights.batch_efficiency.to_string();
        fields.push(("weights.batch_efficiency", batch_efficiency));
    }
    fields.push(("deadline", format_duration(service.deadline)));
    fields.push(("class", service.class.to_string()));
    fields.push(("retry.repeat", service.retry.repeat.as_str().to_owned()));
    fields.push(("retry.budget", service.retry.budget.to_string()));
    if service.kind == Kind::Plain {
        fields.push(("journal_outage", service.journal_outage.as_str().to_owned()));
    }
    let dependencies: Vec<&str> = service.depends_on.iter().map(ServiceName::as_str).collect();
    fields.push(("depends_on", format!("[{}]", dependencies.join(", "))));
    fields
}

fn versions_fields(versions: &Versions) -> Vec<Field> {
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
