//! Tests of the configuration log and the journal on an in-memory store with injected faults.

mod fake;
mod journal;
mod log;
mod race;
