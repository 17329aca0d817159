//! Tests that run the binary on files, as operators do. Stand-in servers replace the platform and
//! the entry hosts.

mod check;
mod config;
mod deploy;
mod edit;
mod hosts;
mod run;
