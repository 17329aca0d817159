//! What one host decides about engines that it shares with others: where a request goes, which
//! adapters are loaded and evicted, what may be repeated, and when another host's engines may be
//! taken over.
//!
//! Nothing here has I/O, threads or a clock: the time is an argument, as a [`Time`] since some origin
//! of the process that counts suspension too.

pub mod budget;
pub mod catalog;
pub mod circuit;
pub mod engine;
pub mod in_flight;
pub mod lease;
pub mod listing;
pub mod loader;
pub mod placement;
pub mod prefix;
pub mod rate_limit;
pub mod reader;
pub mod rendezvous;
pub mod stall;
pub mod store_call;
pub mod table;

/// Time since an origin of the process. It must go on while the host is suspended.
pub type Time = std::time::Duration;
