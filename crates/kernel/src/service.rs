//! What the entry hosts need to know of upstreams.

use std::net::SocketAddr;

use crate::name::{Domain, Model, Service, Upstream};

/// What an upstream serves.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Role {
    /// A model engine with a base model.
    Engine(Model),
    /// An instance of a plain service.
    Plain(Service),
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum State {
    /// It takes new work.
    Live,
    /// It ends what it has and gets nothing new.
    Leaving,
}

/// An upstream of the platform's host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// Its name.
    pub name: Upstream,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub domain: Domain,
    /// What it serves.
    pub role: Role,
    /// Whether it takes new work.
    pub state: State,
}

/// Whether an engine refuses orders that carry an old fencing number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fencing {
    /// It refuses them.
    Checked,
    /// It obeys them.
    Ignored,
}
