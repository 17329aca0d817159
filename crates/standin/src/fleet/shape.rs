//! Composition of a fleet.

use std::net::SocketAddr;

use crate::{control::Toggle, engine, hosts, weights};

/// Number, kind and settings of the processes of a fleet.
#[derive(Clone, Debug)]
pub struct Shape {
    /// The failure domains. Hosts are assigned to them round-robin.
    pub domains: Vec<String>,
    /// The number of entry hosts.
    pub entry_hosts: usize,
    /// The number of engines.
    pub engines: usize,
    /// The settings of all engines. The fleet sets the address of the weight store itself.
    pub engine: engine::Settings,
    /// The plain services, each with one instance in every failure domain.
    pub plains: Vec<String>,
    /// The limits of the weight store.
    pub weights: weights::Settings,
    /// Inserts a link between each entry host and the platform. Links can simulate network
    /// failures.
    pub links: Toggle,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            domains: ["dar-a", "dar-b", "dar-c"].map(str::to_owned).into(),
            entry_hosts: 4,
            engines: 6,
            engine: engine::Settings::default(),
            plains: ["barrier", "registry"].map(str::to_owned).into(),
            weights: weights::Settings::default(),
            links: Toggle::Off,
        }
    }
}

/// Name, failure domain and role of a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostSpec {
    /// The name of the host.
    pub name: String,
    /// The failure domain of the host.
    pub domain: String,
    /// The role of the host.
    pub role: hosts::Role,
    /// The base model of an engine or the service of a plain instance. Empty for an entry host.
    pub serves: String,
}

impl HostSpec {
    /// Returns the host as an entry of the host list.
    pub fn to_listed(&self, address: SocketAddr) -> hosts::Host {
        hosts::Host {
            name: self.name.clone(),
            address,
            domain: self.domain.clone(),
            role: self.role,
            serves: self.serves.clone(),
            state: hosts::State::Live,
        }
    }
}

impl Shape {
    /// Returns the entry hosts.
    pub fn entry_specs(&self) -> Vec<HostSpec> {
        self.spread_over_domains(self.entry_hosts, "entry", hosts::Role::Entry, "")
    }

    /// Returns the engines.
    pub fn engine_specs(&self) -> Vec<HostSpec> {
        let model = &self.engine.model;
        self.spread_over_domains(self.engines, "engine", hosts::Role::Engine, model)
    }

    /// Returns the instances of plain services.
    pub fn plain_specs(&self) -> Vec<HostSpec> {
        let count = self.domains.len();
        let services = self.plains.iter();
        services
            .flat_map(|it| self.spread_over_domains(count, it, hosts::Role::Plain, it))
            .collect()
    }

    /// Assigns hosts to the failure domains round-robin and names them after their domain: the
    /// first entry host of `dar-a` is `entry-a1`.
    fn spread_over_domains(
        &self,
        count: usize,
        prefix: &str,
        role: hosts::Role,
        serves: &str,
    ) -> Vec<HostSpec> {
        let domains = self.domains.iter().cycle().take(count).enumerate();
        let specs = domains.map(|(index, domain)| {
            let letter = domain.rsplit('-').next().unwrap_or(domain);
            let number = index / self.domains.len() + 1;
            HostSpec {
                name: format!("{prefix}-{letter}{number}"),
                domain: domain.clone(),
                role,
                serves: serves.to_owned(),
            }
        });
        specs.collect()
    }
}
