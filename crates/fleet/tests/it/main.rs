//! Tests of the decisions, without sockets or clocks.

mod budgets;
mod fixture;
mod leases;
mod loads;
mod placements;
mod readers;
mod stalls;
mod tables;
