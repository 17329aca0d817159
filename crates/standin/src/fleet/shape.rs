//! What a fleet consists of.

use std::net::SocketAddr;

use crate::{control::Toggle, engine, hosts, weights};

/// How many of what stand where.
#[derive(Clone, Debug)]
pub struct Shape {
    /// The failure domains; hosts are dealt out to them in turn.
    pub domains: Vec<String>,
    /// Entry hosts.
    pub entry_hosts: usize,
    /// Engines.
    pub engines: usize,
    /// What an engine is; the weight store's address is filled in.
    pub engine: engine::Settings,
    /// Plain services, each with an instance in every failure domain.
    pub plains: Vec<String>,
    /// The limits of the weight store.
    pub weights: weights::Settings,
    /// Whether each entry host has a path to the platform that can be cut.
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

/// A host and where it stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Place {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// What it is.
    pub role: hosts::Role,
    /// What it serves; empty for an entry host.
    pub serves: String,
}

impl Place {
    /// Its entry in the host list.
    pub fn host(&self, address: SocketAddr) -> hosts::Host {
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
    /// The entry hosts.
    pub fn entry_places(&self) -> Vec<Place> {
        self.deal(self.entry_hosts, "entry", hosts::Role::Entry, "")
    }

    /// The engines.
    pub fn engine_places(&self) -> Vec<Place> {
        let model = &self.engine.model;
        self.deal(self.engines, "engine", hosts::Role::Engine, model)
    }

    /// The instances of plain services.
    pub fn plain_places(&self) -> Vec<Place> {
        let each = self.domains.len();
        let services = self.plains.iter();
        services
            .flat_map(|it| self.deal(each, it, hosts::Role::Plain, it))
            .collect()
    }

    /// Names hosts after their failure domain: the first of `dar-a` is `entry-a1`.
    fn deal(&self, count: usize, word: &str, role: hosts::Role, serves: &str) -> Vec<Place> {
        let domains = self.domains.iter().cycle().take(count).enumerate();
        let places = domains.map(|(index, domain)| {
            let letter = domain.rsplit('-').next().unwrap_or(domain);
            let number = index / self.domains.len() + 1;
            Place {
                name: format!("{word}-{letter}{number}"),
                domain: domain.clone(),
                role,
                serves: serves.to_owned(),
            }
        });
        places.collect()
    }
}
