//! Small changes of the text, differences between texts, and their application.

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

/// One change. It names what it sets in full, so that a reader can show it without the text.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
pub enum Change {
    /// Sets the limits of the weight store.
    SetStore {
        /// The limits.
        store: Store,
    },
    /// Declares a base model, or declares it otherwise.
    SetModel {
        /// Its name.
        #[serde(with = "serial::model")]
        name: name::Model,
        /// What is declared.
        model: Model,
    },
    /// Removes a base model that no service uses.
    RemoveModel {
        /// Its name.
        #[serde(with = "serial::model")]
        name: name::Model,
    },
    /// Declares a tenant, or declares it otherwise.
    SetTenant {
        /// Its name.
        #[serde(with = "serial::tenant")]
        name: name::Tenant,
        /// What is declared.
        tenant: Tenant,
    },
    /// Removes a tenant's declaration.
    RemoveTenant {
        /// Its name.
        #[serde(with = "serial::tenant")]
        name: name::Tenant,
    },
    /// Declares a service, or declares it otherwise; its adapters stay.
    SetService {
        /// Its name.
        #[serde(with = "serial::service")]
        name: name::Service,
        /// What is declared.
        service: Service,
    },
    /// Removes a service that no other depends on, with its adapters.
    RemoveService {
        /// Its name.
        #[serde(with = "serial::service")]
        name: name::Service,
    },
    /// Sets the published versions of an adapter.
    SetAdapter {
        /// The service.
        #[serde(with = "serial::service")]
        service: name::Service,
        /// The adapter.
        #[serde(with = "serial::adapter")]
        adapter: name::Adapter,
        /// Its versions, at least one.
        versions: Versions,
    },
    /// Removes an adapter with all its versions.
    RemoveAdapter {
        /// The service.
        #[serde(with = "serial::service")]
        service: name::Service,
        /// The adapter.
        #[serde(with = "serial::adapter")]
        adapter: name::Adapter,
    },
}

/// Why a change does not fit a text.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum Invalid {
    /// What is to be removed or changed is not declared.
    #[display("{_0} is not declared")]
    Absent(#[error(not(source))] String),
    /// A service uses a base model that is not declared.
    #[display("service {service} uses base model {model}, which is not declared")]
    Model {
        /// The service.
        service: name::Service,
        /// The base model.
        model: name::Model,
    },
    /// A service depends on one that is not declared.
    #[display("service {service} depends on {dependency}, which is not declared")]
    Dependency {
        /// The service.
        service: name::Service,
        /// What it depends on.
        dependency: name::Service,
    },
    /// Services depend on each other in a circle.
    #[display("dependency cycle: {_0}")]
    Cycle(#[error(not(source))] String),
    /// A plain service would have adapters.
    #[display("service {_0} is plain: it has no adapters")]
    Plain(#[error(not(source))] name::Service),
    /// An adapter would have no version.
    #[display("adapter {service}/{adapter} has no version")]
    Versions {
        /// The service.
        service: name::Service,
        /// The adapter.
        adapter: name::Adapter,
    },
}

/// The changes that turn `old` into `new`. What the two share costs nothing.
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
    for name in old.models.differing(&new.models) {
        let name = name.clone();
        changes.push(match new.models.get(&name).cloned() {
            Some(model) => Change::SetModel { name, model },
            None => Change::RemoveModel { name },
        });
    }
}

fn diff_tenants(old: &Document, new: &Document, changes: &mut Vec<Change>) {
    for name in old.tenants.differing(&new.tenants) {
        let name = name.clone();
        changes.push(match new.tenants.get(&name).copied() {
            Some(tenant) => Change::SetTenant { name, tenant },
            None => Change::RemoveTenant { name },
        });
    }
}

fn diff_services(old: &Document, new: &Document, changes: &mut Vec<Change>) {
    for name in old.services.differing(&new.services) {
        let Some(entry) = new.entry(name) else {
            let name = name.clone();
            changes.push(Change::RemoveService { name });
            continue;
        };
        let before = old.entry(name);
        if before.is_none_or(|it| it.service != entry.service) {
            changes.push(Change::SetService {
                name: name.clone(),
                service: Service::clone(&entry.service),
            });
        }
        let none = Map::default();
        let adapters = before.map_or(&none, |it| &it.adapters);
        diff_adapters(name, adapters, &entry.adapters, changes);
    }
}

fn diff_adapters(
    service: &name::Service,
    old: &Map<name::Adapter, Versions>,
    new: &Map<name::Adapter, Versions>,
    changes: &mut Vec<Change>,
) {
    for adapter in old.differing(new) {
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

/// Changes as JSON lists of at most `max_bytes` each, in order; a change alone may be longer.
pub fn json_chunks(changes: &[Change], max_bytes: usize) -> Vec<Vec<u8>> {
    let mut chunks = Vec::new();
    let mut chunk = b"[".to_vec();
    for change in changes {
        let json = serde_json::to_vec(change).expect("a change has only strings as keys");
        let separator_and_end = 2;
        if chunk.len() > 1 && chunk.len() + json.len() + separator_and_end > max_bytes {
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

/// Changes from one of their JSON lists.
pub fn from_json(bytes: &[u8]) -> Result<Vec<Change>, DecodeError> {
    serde_json::from_slice(bytes).map_err(|source| DecodeError {
        expected: "list of changes",
        source,
    })
}
