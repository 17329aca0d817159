//! Upstream instances of services, as entry hosts see them.

use std::net::SocketAddr;

use crate::name::{Domain, Model, Service, Upstream};

/// The kind of service that an upstream provides.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Role {
    /// A model engine that serves this base model.
    Engine(Model),
    /// An instance of this plain service, which has no models.
    Plain(Service),
}

/// The lifecycle state of an upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum State {
    /// The upstream accepts new requests.
    Live,
    /// The upstream completes its running requests and gets no new ones.
    Leaving,
}

/// An upstream in the platform's host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// The name of the upstream.
    pub name: Upstream,
    /// The address where the upstream listens.
    pub address: SocketAddr,
    /// The failure domain of the upstream.
    pub domain: Domain,
    /// The service that the upstream provides.
    pub role: Role,
    /// The lifecycle state of the upstream.
    pub state: State,
}

/// Determines whether an engine rejects commands with an outdated fencing token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fencing {
    /// The engine rejects them.
    Checked,
    /// The engine executes them like any other command.
    Ignored,
}
