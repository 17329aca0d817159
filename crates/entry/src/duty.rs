//! The duties of an entry host. Each is a plug-in with a thread, in a file of its own.

mod claims;
mod configuration;
mod hosts;
mod incarnations;
mod joining;
mod journal;
mod learning;
mod lending;
pub mod orders;
mod reports;
mod share;
mod status;
mod steward;
mod telemetry;
