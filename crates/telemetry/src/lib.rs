//! Logging and metrics of the host processes.

pub mod exposition;
pub mod log;
pub mod metrics;
