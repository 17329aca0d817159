//! The decisions, without sockets and clocks.

mod budgets;
mod fixture;
mod leases;
mod loads;
mod places;
mod readers;
mod stalls;
mod tables;
