//! Logs and metrics.

pub mod log;
pub mod metrics;
