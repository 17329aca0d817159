//! One host of a fleet of hosts that share their engines. A host forwards callers' requests
//! unchanged to an engine that holds the adapter, and forwards the responses unchanged.
//!
//! The crate `fleet` makes the decisions. This crate has the sockets, the clock and a single event
//! loop for all of them: a host has a fraction of one core, and waking another thread costs more
//! than the step that the thread would run. The platform is reached through a [`dialect::Dialect`],
//! which registers itself.

pub(crate) mod account;
pub mod assignments;
pub mod attribution;
pub mod call;
pub mod caller;
pub mod claims;
pub mod clock;
pub mod connection;
pub mod content;
pub mod dialect;
pub mod exchange;
pub mod forward;
pub mod gateway;
pub mod gossip;
pub mod handover;
pub mod in_flight;
pub mod isolation;
pub mod list_cache;
pub mod list_sync;
pub mod memory;
pub mod message;
pub mod metrics;
pub mod orders;
pub mod peers;
pub mod process;
mod queues;
pub mod relay;
pub mod reply;
pub mod server;
pub mod settings;
pub mod sse;
pub mod stall;
pub mod store;
pub mod takeover;
pub mod trace;
pub mod watch;
