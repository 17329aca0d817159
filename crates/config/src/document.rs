//! The config document. A document is cheap to clone, and a small change copies a small part.

use std::sync::Arc;

use kernel::{
    fault::{Fault, Kind as FaultKind},
    name,
    reference::Reference,
};

use crate::{
    node,
    persistent::Map,
    problem::List,
    read, render,
    revision::Number,
    service::{Kind, Model, Service, Store, Target, Tenant, Versions},
};

/// Everything that the operators configure.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    pub(crate) store: Store,
    pub(crate) models: Map<name::Model, Model>,
    pub(crate) tenants: Map<name::Tenant, Tenant>,
    pub(crate) services: Map<name::Service, ServiceEntry>,
}

/// A declared service and its adapters.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServiceEntry {
    pub(crate) service: Arc<Service>,
    pub(crate) adapters: Map<name::Adapter, Versions>,
}

/// A config file that an operator edited.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    /// The revision that the file is based on, if the file has the field `revision`.
    pub base: Option<Number>,
    /// The document in the file.
    pub document: Document,
}

/// Parses and validates a config file. `file` is the file name in problems.
pub fn parse(file: &str, bytes: &[u8]) -> Result<Document, List> {
    parse_edit(file, bytes).map(|it| it.document)
}

/// Parses and validates a config file, including the revision that it is based on.
pub fn parse_edit(file: &str, bytes: &[u8]) -> Result<Edit, List> {
    let root = node::parse(file, bytes)?;
    read::read_edit(file, &root)
}

impl Document {
    /// Resolves a reference to a published adapter version.
    pub fn resolve(&self, reference: &Reference) -> Result<Target, Fault> {
        let service = &reference.service;
        let entry = self.service_entry(service).ok_or_else(|| {
            let detail = format!("there is no service {:?}", service.as_str());
            Fault::new(FaultKind::UnknownService, detail)
        })?;
        let Kind::Model(model) = &entry.service.kind else {
            let detail = format!(
                "service {:?} is plain: it has no adapters",
                service.as_str()
            );
            return Err(Fault::new(FaultKind::UnknownAdapter, detail));
        };
        entry.check_published(reference)?;
        Ok(Target {
            reference: reference.clone(),
            model: model.clone(),
            fencing: self.model(model).cloned().unwrap_or_default().fencing,
            deadline: entry.service.deadline,
            class: entry.service.class,
            retry: entry.service.retry,
            weights: entry.service.weights,
        })
    }

    /// Returns the declaration of a service.
    pub fn service(&self, name: &name::Service) -> Option<&Service> {
        self.service_entry(name).map(|it| &*it.service)
    }

    /// Returns all services in name order.
    pub fn services(&self) -> impl Iterator<Item = (&name::Service, &Service)> {
        let entries = self.services.sorted().into_iter();
        entries.map(|(name, entry)| (name, &*entry.service))
    }

    /// Returns the adapters of a service and their versions in name order.
    pub fn adapters(
        &self,
        service: &name::Service,
    ) -> impl Iterator<Item = (&name::Adapter, &Versions)> {
        let adapters = self.service_entry(service).map(|it| it.adapters.sorted());
        adapters.unwrap_or_default().into_iter()
    }

    /// Returns the number of adapters of all services.
    pub fn adapter_count(&self) -> usize {
        self.services.iter().map(|(_, it)| it.adapters.len()).sum()
    }

    /// Returns the declaration of a base model.
    pub fn model(&self, name: &name::Model) -> Option<&Model> {
        self.models.get(name)
    }

    /// Returns the limits of the weight store.
    pub fn store(&self) -> Store {
        self.store
    }

    /// Returns the capacity share and the limits of a tenant. A tenant that is not declared has the
    /// defaults.
    pub fn tenant(&self, name: &name::Tenant) -> Tenant {
        self.tenants.get(name).copied().unwrap_or_default()
    }

    /// Renders the document in canonical form.
    pub fn to_yaml(&self) -> String {
        render::to_yaml(self)
    }

    /// Returns the number of entries (adapters, services, models, tenants) that are not stored in
    /// shards shared with `other`. If one document was made from the other, this is the number of
    /// entries that were copied.
    pub fn unshared_entry_count(&self, other: &Self) -> usize {
        let unshared_adapters = |(name, entry): (&name::Service, &ServiceEntry)| {
            let other_entry = other.service_entry(name);
            other_entry.map_or(entry.adapters.len(), |it| {
                entry.adapters.unshared_len(&it.adapters)
            })
        };
        self.services.iter().map(unshared_adapters).sum::<usize>()
            + self.services.unshared_len(&other.services)
            + self.models.unshared_len(&other.models)
            + self.tenants.unshared_len(&other.tenants)
    }

    pub(crate) fn service_entry(&self, name: &name::Service) -> Option<&ServiceEntry> {
        self.services.get(name)
    }
}

impl ServiceEntry {
    /// Returns an error unless the reference names a published version.
    fn check_published(&self, reference: &Reference) -> Result<(), Fault> {
        let Some(versions) = self.adapters.get(&reference.adapter) else {
            let detail = format!(
                "service {:?} has no adapter {:?}",
                reference.service.as_str(),
                reference.adapter.as_str()
            );
            return Err(Fault::new(FaultKind::UnknownAdapter, detail));
        };
        if versions.contains(&reference.version) {
            return Ok(());
        }
        let published: Vec<String> = versions.iter().map(ToString::to_string).collect();
        let detail = format!(
            "{reference} is not published: the versions are {}",
            published.join(", ")
        );
        Err(Fault::new(FaultKind::UnknownVersion, detail))
    }
}
