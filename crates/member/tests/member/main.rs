//! States that exchange messages through a seeded network.

mod deaths;
mod entries;
mod faults;
mod network;
mod scale;
mod stewards;
