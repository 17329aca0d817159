//! The duties of an entry host. A duty is a plug-in that runs on its own thread; each has its own
//! file.

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
