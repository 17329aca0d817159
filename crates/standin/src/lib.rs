//! Stand-ins for the external systems that comfreywing talks to, for tests and the demo.
//!
//! Each stand-in implements the interface described in `docs/PROTOCOLS.md`, injects the failures
//! of the system it replaces on request, and counts the calls it receives. Async code is confined
//! to this crate.

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
pub mod port;
pub mod weights;
