//! One host of a fleet that shares its engines: callers' requests are passed on as they came, to an
//! engine that holds the adapter, and answers are passed back unchanged.
//!
//! The decisions are those of the crate `fleet`. Here are the sockets, the clock and one event loop
//! for all of them: a host has a part of one core, and each wake-up of another thread costs more than
//! the step it would run. What speaks to the platform is a [`dialect::Dialect`] that registers itself.

pub mod call;
pub mod claims;
pub mod clock;
pub mod connection;
pub mod dialect;
pub mod exchange;
pub mod forward;
pub mod gateway;
pub mod gossip;
pub mod in_flight;
pub mod list_cache;
pub mod list_sync;
pub mod message;
pub mod metrics;
pub mod orders;
pub mod peers;
pub mod process;
pub mod relay;
pub mod reply;
pub mod server;
pub mod settings;
pub mod sse;
pub mod stall;
pub mod store;
pub mod trace;
pub mod watch;
