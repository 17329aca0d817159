//! Logs and metrics of an entry host.

pub mod log;
pub mod metrics;
