//! HTTP clients of upstreams: inference engines and plain services, which are HTTP services without
//! adapters.
//!
//! Every call is sent once, on its own connection, and is never retried by this crate; a broken
//! stream is resumed under the id of its request. A fault reports `not-run` only if no byte of the
//! request was passed to the operating system, or if the upstream rejected the request with a code
//! that it uses only before anything runs.

pub mod assembly;
mod call;
mod cancellation;
mod chunk;
pub mod engine;
pub mod plain;
pub mod sse;
mod transport;

pub use cancellation::Cancellation;
