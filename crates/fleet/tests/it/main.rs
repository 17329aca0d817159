//! Tests of the decisions, without sockets or clocks.

mod accounts;
mod admissions;
mod assignments;
mod backoffs;
mod budgets;
mod capacities;
mod copies;
mod crashes;
mod eras;
mod fixture;
mod identities;
mod leases;
mod ledgers;
mod load_times;
mod loads;
mod memories;
mod origins;
mod placements;
mod quarantines;
mod queues;
mod readers;
mod readings;
mod request_limits;
mod rooms;
mod stalls;
mod tables;
