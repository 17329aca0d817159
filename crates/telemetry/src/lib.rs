//! Logs and metrics of an entry host.

pub mod exposition;
pub mod log;
pub mod metrics;
