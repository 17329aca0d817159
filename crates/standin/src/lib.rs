//! Stand-ins for the systems outside comfreywing, for tests and the demo.
//!
//! Each stand-in answers the interface in `docs/PROTOCOLS.md`, has switches for the failures of
//! the system that it stands for, and counts what it was asked. Async code is confined to this
//! crate.

pub mod bucket;
pub mod client;
pub mod command;
pub mod control;
pub mod engine;
pub mod fleet;
pub mod hosts;
pub mod http;
pub mod link;
pub mod object;
pub mod plain;
pub mod platform;
pub mod weights;
