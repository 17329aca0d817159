//! What hosts tell each other in datagrams.

use std::time::Duration;

use fleet::{listing::Name, rendezvous::short_id};
use serde::{Deserialize, Serialize};

use crate::feed::Word;

/// Adapters that one word names at most, so that it fits a datagram.
pub const NAMED: usize = 24;

/// Engines whose load one word tells at most, so that it fits a datagram.
pub const LOADED: usize = 100;
/// An engine's id in a datagram.
pub type Short = u32;

/// First byte of each datagram. It changes with the messages, so that hosts of two builds, side by side
/// during a roll-out, don't misread each other: what must hold between them is in the store.
const FORMAT: u8 = 2;

/// The datagram of a message.
pub fn write(message: &Message) -> Vec<u8> {
    postcard::to_extend(message, vec![FORMAT]).expect("memory takes any message")
}

/// Reads a datagram; `None` if it is of another build, or no message.
pub fn read(datagram: &[u8]) -> Option<Message> {
    let (format, rest) = datagram.split_first()?;
    if *format != FORMAT {
        return None;
    }
    postcard::from_bytes(rest).ok()
}

/// A message between hosts.
#[derive(Debug, Deserialize, Serialize)]
pub enum Message {
    /// The regular word.
    Hello(Hello),
    /// An ask for a load, to the host that orders the engine.
    Want(Want),
    /// Adapters that come to engines or left them.
    News(Vec<News>),
    /// A prompt was sent to an engine, which has to read so many tokens of it.
    Sent(Short, u32),
    /// Engines that take no more work.
    Leaving(Vec<Life>),
    /// How far the host knows the store's lists.
    Lists(Word),
    /// The load that the host puts on engines.
    Loads(Loads),
}

/// One life of an engine.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Life {
    /// The engine.
    pub engine: Short,
    /// When it started, as the list says it.
    pub born: u64,
}

/// The regular word of a host.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct Hello {
    /// Its name.
    pub host: String,
    /// Its failure domain.
    pub domain: String,
    /// Whether it is about to end.
    pub leaving: bool,
    /// Loads that it has ordered and that aren't done.
    pub transit: u32,
    /// The engines that it may order now.
    pub claims: Vec<Short>,
    /// How far it knows the store's lists.
    pub lists: Word,
    /// What it runs at engines that the receiver orders.
    pub runs: Vec<Run>,
}

/// The load that a host puts on engines.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct Loads {
    /// The host's name.
    pub host: String,
    /// By engine: requests that run, and prompt tokens to be read.
    pub loads: Vec<(Short, u32, u32)>,
}

/// Requests of a host that run with an adapter, told to the engine's steward only.
#[derive(Debug, Deserialize, Serialize)]
pub struct Run {
    /// The engine.
    pub engine: Short,
    /// The adapter.
    pub name: String,
    /// Requests that run.
    pub running: u32,
    /// Requests that began since the last word.
    pub began: u32,
}

/// An ask for a load.
#[derive(Debug, Deserialize, Serialize)]
pub struct Want {
    /// The service.
    pub service: String,
    /// The adapter.
    pub name: String,
    /// For one more copy: the decayed uses that it would take.
    pub spread: Option<f64>,
    /// Requests that wait for it.
    pub waiting: u32,
}

/// An adapter that comes to an engine or left it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct News {
    /// The engine.
    pub engine: Short,
    /// The adapter.
    pub name: String,
    /// The version, and in how many ms it should be there; `None` if it left.
    pub comes: Option<(u64, u32)>,
}

/// Word that one life of an engine takes no more work.
pub fn life(id: &str, born: u64) -> Life {
    Life {
        engine: short_id(id),
        born,
    }
}

/// News that an engine will hold a version of an adapter after some time, or doesn't hold it any more.
pub fn news(id: &str, name: &Name, comes: Option<(u64, Duration)>) -> News {
    let millis = |it: Duration| u32::try_from(it.as_millis()).unwrap_or(u32::MAX);
    News {
        engine: short_id(id),
        name: name.to_string(),
        comes: comes.map(|(version, due)| (version, millis(due))),
    }
}
