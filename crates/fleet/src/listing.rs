//! Entries of the platform's list of engines and instances of plain services.

use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Full name of an adapter, `MODEL/NAME`, or of a base model, `MODEL`.
pub type Name = Arc<str>;

/// Version of the software of an engine. Builds have no order.
pub type Build = Arc<str>;

/// Entry of one engine or instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
    /// Its id, which a later incarnation may have again.
    pub id: Arc<str>,
    /// Start of this incarnation in ms of the engine's clock. It is only compared for equality, since the clock may be
    /// set back.
    pub incarnation: u64,
    /// The service that the engine belongs to.
    pub service: Arc<str>,
    /// Version of its software.
    pub build: Build,
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Maximum concurrent requests.
    pub slots: usize,
    /// Shows whether it accepts new work.
    pub state: State,
    /// Base models and adapters that it holds.
    pub held: Vec<Held>,
}

/// State of an engine or instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It accepts new work.
    Ready,
    /// It accepts no new work and terminates. The remaining time is known for engines that leave at short
    /// notice.
    Leaving(Option<Duration>),
}

/// A base model or an adapter that an engine holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Held {
    /// Its full name.
    pub name: Name,
    /// Its version.
    pub version: u64,
}

/// Returns the base model of a full name.
pub fn base_model(name: &str) -> &str {
    name.split('/').next().unwrap_or(name)
}

/// Returns whether a full name is the name of an adapter.
pub fn is_adapter(name: &str) -> bool {
    name.contains('/')
}
