//! Changes to a config document: diffs between documents, and applying a diff to a document.

mod apply;
mod describe;

pub use describe::describe;

use derive_more::{Display, Error};
use kernel::name;
use serde::{Deserialize, Serialize};

use crate::{
    document::Document,
    persistent::Map,
    revision::DecodeError,
    serial,
    service::{Model, Service, Store, Tenant, Versions},
};

/// A change to one declaration. A change holds the complete new declaration, so that it can be
/// described without the document.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
pub enum Change {
    /// Sets the limits of the weight store.
    SetStore {
        /// The new limits.
        store: Store,
    },
    /// Adds or replaces the declaration of a base model.
    SetModel {
        /// The name of the base model.
        #[serde(with = "serial::model")]
        name: name::Model,
        /// The new declaration.
        model: Model,
    },
    /// Removes a base model. No service may use it.
    RemoveModel {
        /// The name of the base model.
        #[serde(with = "serial::model")]
        name: name::Model,
    },
    /// Adds or replaces the declaration of a tenant.
    SetTenant {
        /// The name of the tenant.
        #[serde(with = "serial::tenant")]
        name: name::Tenant,
        /// The new declaration.
        tenant: Tenant,
    },
    /// Removes the declaration of a tenant, which then has the default limits.
    RemoveTenant {
        /// The name of the tenant.
        #[serde(with = "serial::tenant")]
        name: name::Tenant,
    },
    /// Adds or replaces the declaration of a service and keeps its adapters.
    SetService {
        /// The name of the service.
        #[serde(with = "serial::service")]
        name: name::Service,
        /// The new declaration.
        service: Service,
    },
    /// Removes a service and its adapters. No other service may depend on it.
    RemoveService {
        /// The name of the service.
        #[serde(with = "serial::service")]
        name: name::Service,
    },
    /// Sets the published versions of an adapter.
    SetAdapter {
        /// The service that the adapter belongs to.
        #[serde(with = "serial::service")]
        service: name::Service,
        /// The adapter.
        #[serde(with = "serial::adapter")]
        adapter: name::Adapter,
        /// All published versions; at least one.
        versions: Versions,
    },
    /// Removes an adapter and all its versions.
    RemoveAdapter {
        /// The service that the adapter belongs to.
        #[serde(with = "serial::service")]
        service: name::Service,
        /// The adapter.
        #[serde(with = "serial::adapter")]
        adapter: name::Adapter,
    },
}

/// The reason why a change cannot be applied to a document.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum Invalid {
    /// The declaration to remove or change does not exist.
    #[display("{_0} is not declared")]
    NotDeclared(#[error(not(source))] String),
    /// A service uses a base model that is not declared.
    #[display("service {service} uses base model {model}, which is not declared")]
    UndeclaredModel {
        /// The service.
        service: name::Service,
        /// The base model that is not declared.
        model: name::Model,
    },
    /// A service depends on a service that is not declared.
    #[display("service {service} depends on {dependency}, which is not declared")]
    UndeclaredDependency {
        /// The service.
        service: name::Service,
        /// The service that is not declared.
        dependency: name::Service,
    },
    /// Services depend on each other in a cycle.
    #[display("dependency cycle: {_0}")]
    Cycle(#[error(not(source))] String),
    /// A plain service would have adapters, which only a model service can have.
    #[display("service {_0} is plain: it has no adapters")]
    AdaptersOnPlainService(#[error(not(source))] name::Service),
    /// An adapter would have no published version.
    #[display("adapter {service}/{adapter} has no version")]
    NoVersions {
        /// The service.
        service: name::Service,
        /// The adapter.
        adapter: name::Adapter,
    },
}

/// Returns the changes that turn `old` into `new`. Shards that the two documents share are skipped.
pub fn diff(old: &Document, new: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    if old.store != new.store {
        changes.push(Change::SetStore { store: new.store });
    }
    diff_models(old, new, &mut changes);
    diff_tenants(old, new, &mut changes);
    diff_services(old, new, &mut changes);
    changes
}

fn diff_models(old: &Document, new: &Document, changes: &mut Vec<Change>) {
    for name in old.models.changed_keys(&new.models) {
        let name = name.clone();
        changes.push(match new.models.get(&name).cloned() {
            Some(model) => Change::SetModel { name, model },
            None => Change::RemoveModel { name },
        });
    }
}

fn diff_tenants(old: &Document, new: &Document, changes: &mut Vec<Change>) {
    for name in old.tenants.changed_keys(&new.tenants) {
        let name = name.clone();
        changes.push(match new.tenants.get(&name).copied() {
            Some(tenant) => Change::SetTenant { name, tenant },
            None => Change::RemoveTenant { name },
        });
    }
}

fn diff_services(old: &Document, new: &Document, changes: &mut Vec<Change>) {
    for name in old.services.changed_keys(&new.services) {
        let Some(entry) = new.service_entry(name) else {
            let name = name.clone();
            changes.push(Change::RemoveService { name });
            continue;
        };
        let old_entry = old.service_entry(name);
        if old_entry.is_none_or(|it| it.service != entry.service) {
            changes.push(Change::SetService {
                name: name.clone(),
                service: Service::clone(&entry.service),
            });
        }
        let no_adapters = Map::default();
        let old_adapters = old_entry.map_or(&no_adapters, |it| &it.adapters);
        diff_adapters(name, old_adapters, &entry.adapters, changes);
    }
}

fn diff_adapters(
    service: &name::Service,
    old: &Map<name::Adapter, Versions>,
    new: &Map<name::Adapter, Versions>,
    changes: &mut Vec<Change>,
) {
    for adapter in old.changed_keys(new) {
        let service = service.clone();
        let adapter = adapter.clone();
        changes.push(match new.get(&adapter).cloned() {
            Some(versions) => Change::SetAdapter {
                service,
                adapter,
                versions,
            },
            None => Change::RemoveAdapter { service, adapter },
        });
    }
}

/// Encodes changes as JSON arrays of at most `max_bytes` each, in order. A single change that is
/// larger gets an array of its own.
pub fn json_chunks(changes: &[Change], max_bytes: usize) -> Vec<Vec<u8>> {
    let mut chunks = Vec::new();
    let mut chunk = b"[".to_vec();
    for change in changes {
        let json = serde_json::to_vec(change).expect("every map key in a change is a string");
        let separator_and_end_bytes = 2;
        if chunk.len() > 1 && chunk.len() + json.len() + separator_and_end_bytes > max_bytes {
            chunk.push(b']');
            chunks.push(std::mem::replace(&mut chunk, b"[".to_vec()));
        }
        if chunk.len() > 1 {
            chunk.push(b',');
        }
        chunk.extend(json);
    }
    chunk.push(b']');
    chunks.push(chunk);
    chunks
}

/// Decodes one of the JSON arrays that [`json_chunks`] returns.
pub fn from_json(bytes: &[u8]) -> Result<Vec<Change>, DecodeError> {
    serde_json::from_slice(bytes).map_err(|source| DecodeError {
        expected: "list of changes",
        source,
    })
}
