//! Experiments with the decision code on a simulated clock: the same seed gives the same figures.
//! The code of `steward` runs unchanged against a small model of engines and of the weight store.

pub mod agenda;
pub mod cost;
pub mod deployment;
pub mod figures;
pub mod fleet;
pub mod machine;
pub mod naive;
pub mod oracle;
pub mod platform;
pub mod recovery;
pub mod report;
pub mod scenario;
pub mod store;
pub mod trace;
