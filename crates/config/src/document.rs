//! The text in force or proposed, as a value that is cheap to copy and to change in part.

use std::sync::Arc;

use kernel::{
    fault::{Fault, Kind as Failure},
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

/// Everything that the operators declare.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    pub(crate) store: Store,
    pub(crate) models: Map<name::Model, Model>,
    pub(crate) tenants: Map<name::Tenant, Tenant>,
    pub(crate) services: Map<name::Service, Entry>,
}

/// A service with its adapters.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Entry {
    pub(crate) service: Arc<Service>,
    pub(crate) adapters: Map<name::Adapter, Versions>,
}

/// A file that an operator has edited.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    /// The revision that the file says it was made from.
    pub base: Option<Number>,
    /// The text.
    pub document: Document,
}

/// Reads a file's bytes; `file` is its name in problems.
pub fn parse(file: &str, bytes: &[u8]) -> Result<Document, List> {
    parse_edit(file, bytes).map(|it| it.document)
}

/// Reads a file's bytes together with the revision that it was made from.
pub fn parse_edit(file: &str, bytes: &[u8]) -> Result<Edit, List> {
    let root = node::parse(file, bytes)?;
    read::edit(file, &root)
}

impl Document {
    /// What a reference leads to.
    pub fn resolve(&self, reference: &Reference) -> Result<Target, Fault> {
        let service = &reference.service;
        let entry = self.entry(service).ok_or_else(|| {
            let detail = format!("there is no service {:?}", service.as_str());
            Fault::new(Failure::UnknownService, detail)
        })?;
        let Kind::Model(model) = &entry.service.kind else {
            let detail = format!(
                "service {:?} is plain: it has no adapters",
                service.as_str()
            );
            return Err(Fault::new(Failure::UnknownAdapter, detail));
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

    /// A service.
    pub fn service(&self, name: &name::Service) -> Option<&Service> {
        self.entry(name).map(|it| &*it.service)
    }

    /// Every service, in the order of names.
    pub fn services(&self) -> impl Iterator<Item = (&name::Service, &Service)> {
        let all = self.services.sorted().into_iter();
        all.map(|(name, entry)| (name, &*entry.service))
    }

    /// The adapters of a service with their versions, in the order of names.
    pub fn adapters(
        &self,
        service: &name::Service,
    ) -> impl Iterator<Item = (&name::Adapter, &Versions)> {
        let all = self.entry(service).map(|it| it.adapters.sorted());
        all.unwrap_or_default().into_iter()
    }

    /// How many adapters there are in all services.
    pub fn adapter_count(&self) -> usize {
        self.services.iter().map(|(_, it)| it.adapters.len()).sum()
    }

    /// A base model.
    pub fn model(&self, name: &name::Model) -> Option<&Model> {
        self.models.get(name)
    }

    /// The limits of the weight store.
    pub fn store(&self) -> Store {
        self.store
    }

    /// The share and limits of a tenant; a tenant that is not declared has the defaults.
    pub fn tenant(&self, name: &name::Tenant) -> Tenant {
        self.tenants.get(name).copied().unwrap_or_default()
    }

    /// The text in its one canonical form.
    pub fn to_yaml(&self) -> String {
        render::yaml(self)
    }

    /// How many entries (adapters, services, models, tenants) are stored apart from `other`: what
    /// it cost to make one from the other.
    pub fn copied(&self, other: &Self) -> usize {
        let adapters = |(name, entry): (&name::Service, &Entry)| {
            let before = other.entry(name);
            before.map_or(entry.adapters.len(), |it| {
                entry.adapters.copied(&it.adapters)
            })
        };
        self.services.iter().map(adapters).sum::<usize>()
            + self.services.copied(&other.services)
            + self.models.copied(&other.models)
            + self.tenants.copied(&other.tenants)
    }

    pub(crate) fn entry(&self, name: &name::Service) -> Option<&Entry> {
        self.services.get(name)
    }
}

impl Entry {
    fn check_published(&self, reference: &Reference) -> Result<(), Fault> {
        let Some(versions) = self.adapters.get(&reference.adapter) else {
            let detail = format!(
                "service {:?} has no adapter {:?}",
                reference.service.as_str(),
                reference.adapter.as_str()
            );
            return Err(Fault::new(Failure::UnknownAdapter, detail));
        };
        if versions.contains(&reference.version) {
            return Ok(());
        }
        let published: Vec<String> = versions.iter().map(ToString::to_string).collect();
        let detail = format!(
            "{reference} is not published: the versions are {}",
            published.join(", ")
        );
        Err(Fault::new(Failure::UnknownVersion, detail))
    }
}
