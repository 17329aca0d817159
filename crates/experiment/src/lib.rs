//! Simulations of the placement decisions on a simulated clock. The same seed gives the same
//! measurements.
//!
//! The code of `steward` runs unchanged against a small model of engines and of the weight store
//! ([`simulation`]). The code of `fleet` runs against a more detailed model of a platform
//! ([`platform`]).

pub mod cost;
pub mod deployment;
pub mod engine;
pub mod event_queue;
pub mod metrics;
pub mod naive;
pub mod oracle;
pub mod platform;
pub mod recovery;
pub mod report;
pub mod scenario;
pub mod simulation;
pub mod store;
pub mod trace;
