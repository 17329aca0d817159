//! Tests of gossip membership over a simulated network with seeded faults.

mod deaths;
mod entries;
mod faults;
mod network;
mod scale;
mod stewards;
