//! Applying changes to a text, and the checks that what they touch is still consistent.

use std::sync::Arc;

use kernel::name;

use super::{Change, Invalid};
use crate::{
    document::{Document, Entry},
    graph,
    service::{Kind, Service, Versions},
};

impl Document {
    /// Applies one change, or leaves the text as it was.
    pub fn apply(&mut self, change: &Change) -> Result<(), Invalid> {
        *self = self.with_changes(std::slice::from_ref(change))?;
        Ok(())
    }

    /// The text with all of `changes`. Only the result has to be consistent, not what lies between.
    pub fn with_changes(&self, changes: &[Change]) -> Result<Self, Invalid> {
        let mut text = self.clone();
        for change in changes {
            text.set(change)?;
        }
        for change in changes {
            text.verify(change)?;
        }
        Ok(text)
    }

    fn set(&mut self, change: &Change) -> Result<(), Invalid> {
        match change {
            Change::SetStore { store } => self.store = *store,
            Change::SetModel { name, model } => self.models.insert(name.clone(), model.clone()),
            Change::RemoveModel { name } => {
                let removed = self.models.remove(name);
                removed.ok_or_else(|| Invalid::Absent(format!("base model {name}")))?;
            }
            Change::SetTenant { name, tenant } => self.tenants.insert(name.clone(), *tenant),
            Change::RemoveTenant { name } => {
                let removed = self.tenants.remove(name);
                removed.ok_or_else(|| Invalid::Absent(format!("tenant {name}")))?;
            }
            Change::SetService { name, service } => self.set_service(name, service),
            Change::RemoveService { name } => {
                let removed = self.services.remove(name);
                removed.ok_or_else(|| absent_service(name))?;
            }
            Change::SetAdapter {
                service,
                adapter,
                versions,
            } => {
                let entry = self.entry_mut(service)?;
                entry.adapters.insert(adapter.clone(), versions.clone());
            }
            Change::RemoveAdapter { service, adapter } => {
                let removed = self.entry_mut(service)?.adapters.remove(adapter);
                let absent = || Invalid::Absent(format!("adapter {service}/{adapter}"));
                removed.ok_or_else(absent)?;
            }
        }
        Ok(())
    }

    fn set_service(&mut self, name: &name::Service, service: &Service) {
        let adapters = self.entry(name).map(|it| it.adapters.clone());
        let entry = Entry {
            service: Arc::new(service.clone()),
            adapters: adapters.unwrap_or_default(),
        };
        self.services.insert(name.clone(), entry);
    }

    fn entry_mut(&mut self, service: &name::Service) -> Result<&mut Entry, Invalid> {
        let entry = self.services.get_mut(service);
        entry.ok_or_else(|| absent_service(service))
    }

    fn verify(&self, change: &Change) -> Result<(), Invalid> {
        match change {
            Change::SetStore { .. }
            | Change::SetModel { .. }
            | Change::SetTenant { .. }
            | Change::RemoveTenant { .. }
            | Change::RemoveAdapter { .. } => Ok(()),
            Change::RemoveModel { name } => self.verify_model_unused(name),
            Change::RemoveService { name } => self.verify_service_unused(name),
            Change::SetService { name, .. } => self.verify_service(name),
            Change::SetAdapter {
                service,
                adapter,
                versions,
            } => self.verify_adapter(service, adapter, versions),
        }
    }

    fn verify_model_unused(&self, model: &name::Model) -> Result<(), Invalid> {
        if self.models.get(model).is_some() {
            return Ok(());
        }
        for (service, entry) in self.services.iter() {
            if entry.service.kind == Kind::Model(model.clone()) {
                return Err(Invalid::Model {
                    service: service.clone(),
                    model: model.clone(),
                });
            }
        }
        Ok(())
    }

    fn verify_service_unused(&self, dependency: &name::Service) -> Result<(), Invalid> {
        if self.entry(dependency).is_some() {
            return Ok(());
        }
        for (service, entry) in self.services.iter() {
            if entry.service.depends_on.contains(dependency) {
                return Err(Invalid::Dependency {
                    service: service.clone(),
                    dependency: dependency.clone(),
                });
            }
        }
        Ok(())
    }

    fn verify_service(&self, name: &name::Service) -> Result<(), Invalid> {
        let Some(entry) = self.entry(name) else {
            return Ok(());
        };
        match &entry.service.kind {
            Kind::Plain if !entry.adapters.is_empty() => return Err(Invalid::Plain(name.clone())),
            Kind::Model(model) if self.model(model).is_none() => {
                return Err(Invalid::Model {
                    service: name.clone(),
                    model: model.clone(),
                });
            }
            Kind::Plain | Kind::Model(_) => {}
        }
        for dependency in &entry.service.depends_on {
            if self.entry(dependency).is_none() {
                return Err(Invalid::Dependency {
                    service: name.clone(),
                    dependency: dependency.clone(),
                });
            }
        }
        let next = |it: &name::Service| self.service(it).map_or(&[][..], |it| &it.depends_on);
        match graph::cycles([name], next).first() {
            Some(cycle) => Err(Invalid::Cycle(graph::show(cycle))),
            None => Ok(()),
        }
    }

    fn verify_adapter(
        &self,
        service: &name::Service,
        adapter: &name::Adapter,
        versions: &Versions,
    ) -> Result<(), Invalid> {
        if versions.is_empty() {
            return Err(Invalid::Versions {
                service: service.clone(),
                adapter: adapter.clone(),
            });
        }
        match self.service(service).map(|it| &it.kind) {
            Some(Kind::Plain) => Err(Invalid::Plain(service.clone())),
            Some(Kind::Model(_)) | None => Ok(()),
        }
    }
}

fn absent_service(name: &name::Service) -> Invalid {
    Invalid::Absent(format!("service {name}"))
}
