//! Records of keyed calls, so that a call that may not be repeated runs at most once. No I/O here.
//!
//! Keys are spread over shards. A shard is a sequence of segments, each an object that is created
//! only if absent and holds records of many calls. A host appends to a shard only once it knows
//! every segment before, so the platform's conditional create decides who was first with a key.

mod index;
pub mod record;
pub mod scope;
pub mod segment;
pub mod shard;

pub use record::Outcome;
pub use scope::Scope;
pub use shard::Shard;
