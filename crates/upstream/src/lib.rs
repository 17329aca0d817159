//! Clients of engines and plain services.
//!
//! Every call is sent once, on a connection of its own, and never again by this crate, save that
//! a broken stream is resumed under the id of its request. A fault says `not-run` only if no byte
//! of the request was handed to the operating system, or if the upstream itself refused it with
//! one of the codes that it gives before anything runs.

pub mod assembly;
mod call;
mod cancellation;
mod chunk;
pub mod engine;
pub mod plain;
pub mod sse;
mod transport;

pub use cancellation::Cancellation;
