//! What hosts tell each other in datagrams.

use std::time::Duration;

use fleet::{listing::Name, rendezvous::short_id};
use serde::{Deserialize, Serialize};

use crate::list_sync::ListState;

/// Adapters that one word names at most, so that it fits a datagram.
pub const MAX_ADAPTERS_PER_MESSAGE: usize = 24;

/// Engines whose load one word tells at most, so that it fits a datagram.
pub const MAX_LOADS_PER_MESSAGE: usize = 100;
/// An engine's id in a datagram.
pub type ShortId = u32;

/// First byte of each datagram. It changes with the messages, so that hosts of two builds, side by side
/// during a roll-out, don't misread each other: what must hold between them is in the store.
const FORMAT_VERSION: u8 = 2;

/// The datagram of a message.
pub fn encode(message: &Message) -> Vec<u8> {
    postcard::to_extend(message, vec![FORMAT_VERSION]).expect("memory takes any message")
}

/// Reads a datagram; `None` if it is of another build, or no message.
pub fn decode(datagram: &[u8]) -> Option<Message> {
    let (format, rest) = datagram.split_first()?;
    if *format != FORMAT_VERSION {
        return None;
    }
    postcard::from_bytes(rest).ok()
}

/// A message between hosts.
#[derive(Debug, Deserialize, Serialize)]
pub enum Message {
    /// The regular word.
    #[serde(rename = "Hello")]
    Heartbeat(Heartbeat),
    /// An ask for a load, to the host that orders the engine.
    #[serde(rename = "Want")]
    LoadRequest(LoadRequest),
    /// Adapters that come to engines or left them.
    #[serde(rename = "News")]
    AdapterUpdates(Vec<AdapterUpdate>),
    /// A prompt was sent to an engine, which has to read so many tokens of it.
    Sent(ShortId, u32),
    /// Engines that take no more work.
    Leaving(Vec<EngineIncarnation>),
    /// How far the host knows the store's lists.
    Lists(ListState),
    /// The load that the host puts on engines.
    Loads(Loads),
}

/// One life of an engine.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct EngineIncarnation {
    /// The engine.
    pub engine: ShortId,
    /// When it started, as the list says it.
    #[serde(rename = "born")]
    pub incarnation: u64,
}

/// The regular word of a host.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct Heartbeat {
    /// Its name.
    pub host: String,
    /// Its failure domain.
    pub domain: String,
    /// Whether it is about to end.
    pub leaving: bool,
    /// Loads that it has ordered and that aren't done.
    #[serde(rename = "transit")]
    pub in_flight_loads: u32,
    /// The engines that it may order now.
    pub claims: Vec<ShortId>,
    /// How far it knows the store's lists.
    pub lists: ListState,
    /// What it runs at engines that the receiver orders.
    #[serde(rename = "runs")]
    pub adapter_usage: Vec<AdapterUsage>,
}

/// The load that a host puts on engines.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct Loads {
    /// The host's name.
    pub host: String,
    /// By engine: requests that run, and prompt tokens to be read.
    pub loads: Vec<(ShortId, u32, u32)>,
}

/// Requests of a host that run with an adapter, told to the engine's steward only.
#[derive(Debug, Deserialize, Serialize)]
pub struct AdapterUsage {
    /// The engine.
    pub engine: ShortId,
    /// The adapter.
    pub name: String,
    /// Requests that run.
    pub running: u32,
    /// Requests that began since the last word.
    #[serde(rename = "began")]
    pub started: u32,
}

/// An ask for a load.
#[derive(Debug, Deserialize, Serialize)]
pub struct LoadRequest {
    /// The service.
    pub service: String,
    /// The adapter.
    pub name: String,
    /// For one more copy: the decayed uses that it would take.
    #[serde(rename = "spread")]
    pub replica_uses: Option<f64>,
    /// Requests that wait for it.
    pub waiting: u32,
}

/// An adapter that comes to an engine or left it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AdapterUpdate {
    /// The engine.
    pub engine: ShortId,
    /// The adapter.
    pub name: String,
    /// The version, and in how many ms it should be there; `None` if it left.
    #[serde(rename = "comes")]
    pub arrival: Option<(u64, u32)>,
}

/// Word that one life of an engine takes no more work.
pub fn make_incarnation(id: &str, incarnation: u64) -> EngineIncarnation {
    EngineIncarnation {
        engine: short_id(id),
        incarnation,
    }
}

/// News that an engine will hold a version of an adapter after some time, or doesn't hold it any more.
pub fn make_adapter_update(
    id: &str,
    name: &Name,
    arrival: Option<(u64, Duration)>,
) -> AdapterUpdate {
    let millis = |it: Duration| u32::try_from(it.as_millis()).unwrap_or(u32::MAX);
    AdapterUpdate {
        engine: short_id(id),
        name: name.to_string(),
        arrival: arrival.map(|(version, due)| (version, millis(due))),
    }
}
