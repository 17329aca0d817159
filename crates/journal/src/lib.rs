//! A replicated journal of calls with idempotency keys, which ensures that each call runs at most
//! once. This crate does no I/O.
//!
//! Keys are distributed over shards. A shard is a sequence of numbered segments in the platform's
//! object store. Each segment is an object that is created only if absent and holds the records of
//! many calls. A host appends a segment only after it has read all earlier segments, so the
//! store's conditional create decides which host was first to start the call of a key.
//!
//! The floor of a shard is the lowest segment number that is still needed. Hosts record it in the
//! store and delete older segments.

mod index;
pub mod record;
pub mod scope;
pub mod segment;
pub mod shard;

pub use record::Outcome;
pub use scope::Scope;
pub use shard::Shard;
