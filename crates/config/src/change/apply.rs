//! Applies changes to a document and checks the consistency of the declarations that they affect.

use std::sync::Arc;

use kernel::name;

use super::{Change, Invalid};
use crate::{
    document::{Document, ServiceEntry},
    graph,
    service::{Kind, Service, Versions},
};

impl Document {
    /// Applies one change. On an error the document stays unchanged.
    pub fn apply(&mut self, change: &Change) -> Result<(), Invalid> {
        *self = self.with_changes(std::slice::from_ref(change))?;
        Ok(())
    }

    /// Returns a copy of the document with all of `changes` applied. Only the final document has to
    /// be consistent; the intermediate ones need not be.
    pub fn with_changes(&self, changes: &[Change]) -> Result<Self, Invalid> {
        let mut document = self.clone();
        for change in changes {
            document.apply_unchecked(change)?;
        }
        for change in changes {
            document.verify(change)?;
        }
        Ok(document)
    }

    /// Applies a change without checking whether the document is still consistent.
    fn apply_unchecked(&mut self, change: &Change) -> Result<(), Invalid> {
        match change {
            Change::SetStore { store } => self.store = *store,
            Change::SetModel { name, model } => self.models.insert(name.clone(), model.clone()),
            Change::RemoveModel { name } => {
                let removed = self.models.remove(name);
                removed.ok_or_else(|| Invalid::NotDeclared(format!("base model {name}")))?;
            }
            Change::SetTenant { name, tenant } => self.tenants.insert(name.clone(), *tenant),
            Change::RemoveTenant { name } => {
                let removed = self.tenants.remove(name);
                removed.ok_or_else(|| Invalid::NotDeclared(format!("tenant {name}")))?;
            }
            Change::SetService { name, service } => self.set_service(name, service),
            Change::RemoveService { name } => {
                let removed = self.services.remove(name);
                removed.ok_or_else(|| undeclared_service(name))?;
            }
            Change::SetAdapter {
                service,
                adapter,
                versions,
            } => {
                let entry = self.service_entry_mut(service)?;
                entry.adapters.insert(adapter.clone(), versions.clone());
            }
            Change::RemoveAdapter { service, adapter } => {
                let removed = self.service_entry_mut(service)?.adapters.remove(adapter);
                let undeclared = || Invalid::NotDeclared(format!("adapter {service}/{adapter}"));
                removed.ok_or_else(undeclared)?;
            }
        }
        Ok(())
    }

    fn set_service(&mut self, name: &name::Service, service: &Service) {
        let adapters = self.service_entry(name).map(|it| it.adapters.clone());
        let entry = ServiceEntry {
            service: Arc::new(service.clone()),
            adapters: adapters.unwrap_or_default(),
        };
        self.services.insert(name.clone(), entry);
    }

    fn service_entry_mut(&mut self, service: &name::Service) -> Result<&mut ServiceEntry, Invalid> {
        let entry = self.services.get_mut(service);
        entry.ok_or_else(|| undeclared_service(service))
    }

    /// Checks that the declarations that a change affects are consistent.
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
                return Err(Invalid::UndeclaredModel {
                    service: service.clone(),
                    model: model.clone(),
                });
            }
        }
        Ok(())
    }

    fn verify_service_unused(&self, dependency: &name::Service) -> Result<(), Invalid> {
        if self.service_entry(dependency).is_some() {
            return Ok(());
        }
        for (service, entry) in self.services.iter() {
            if entry.service.depends_on.contains(dependency) {
                return Err(Invalid::UndeclaredDependency {
                    service: service.clone(),
                    dependency: dependency.clone(),
                });
            }
        }
        Ok(())
    }

    fn verify_service(&self, name: &name::Service) -> Result<(), Invalid> {
        let Some(entry) = self.service_entry(name) else {
            return Ok(());
        };
        match &entry.service.kind {
            Kind::Plain if !entry.adapters.is_empty() => {
                return Err(Invalid::AdaptersOnPlainService(name.clone()));
            }
            Kind::Model(model) if self.model(model).is_none() => {
                return Err(Invalid::UndeclaredModel {
                    service: name.clone(),
                    model: model.clone(),
                });
            }
            Kind::Plain | Kind::Model(_) => {}
        }
        for dependency in &entry.service.depends_on {
            if self.service_entry(dependency).is_none() {
                return Err(Invalid::UndeclaredDependency {
                    service: name.clone(),
                    dependency: dependency.clone(),
                });
            }
        }
        let dependencies =
            |it: &name::Service| self.service(it).map_or(&[][..], |it| &it.depends_on);
        match graph::find_cycles([name], dependencies).first() {
            Some(cycle) => Err(Invalid::Cycle(graph::format_cycle(cycle))),
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
            return Err(Invalid::NoVersions {
                service: service.clone(),
                adapter: adapter.clone(),
            });
        }
        match self.service(service).map(|it| &it.kind) {
            Some(Kind::Plain) => Err(Invalid::AdaptersOnPlainService(service.clone())),
            Some(Kind::Model(_)) | None => Ok(()),
        }
    }
}

fn undeclared_service(name: &name::Service) -> Invalid {
    Invalid::NotDeclared(format!("service {name}"))
}
