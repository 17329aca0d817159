//! What must always hold, proved on real processes under failure.
//!
//! Waiting has a limit so that a hang ends, but no verdict rests on time.

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
