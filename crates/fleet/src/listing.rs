//! What the platform's list says of one engine or instance of a plain service.

use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Full name of an adapter, `MODEL/NAME`, or of a base model, `MODEL`.
pub type Name = Arc<str>;

/// One entry of the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
    /// Its name, which a later life may bear again.
    pub id: Arc<str>,
    /// Start of this life, in ms of the time of day; it only tells lives apart.
    pub incarnation: u64,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Requests that it runs at a time.
    pub slots: usize,
    /// Whether it takes new work.
    pub state: State,
    /// The base models and adapters that it holds.
    pub held: Vec<Held>,
}

/// Whether an engine takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It does.
    Ready,
    /// It leaves; the time until it is gone is known for those that leave at short notice.
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

/// The base model of a full name.
pub fn base_model(name: &str) -> &str {
    name.split('/').next().unwrap_or(name)
}

/// Whether a full name is that of an adapter.
pub fn is_adapter(name: &str) -> bool {
    name.contains('/')
}
