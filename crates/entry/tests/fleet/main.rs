//! Guarantees that must hold under failures, tested with real processes.
//!
//! Every wait has a timeout so that a hang ends the test, but no check depends on timing.

mod answer;
mod configuration;
mod eviction;
mod fixture;
mod leaving;
mod not_run;
mod once;
mod outage;
mod shutdown;
mod version;
