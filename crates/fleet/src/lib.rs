//! Decisions of one host about the engines that it shares with other hosts: where a request is placed, which
//! adapters are loaded and evicted, which requests may be retried, and when another host's engines may be
//! taken over.
//!
//! This crate has no I/O, threads or clock. The time is an argument: a [`Time`] since an arbitrary origin.

pub mod budget;
pub mod catalog;
pub mod circuit;
pub mod engine;
pub mod in_flight;
pub mod lease;
pub mod listing;
pub mod loader;
pub mod placement;
pub mod prefix;
pub mod rate_limit;
pub mod reader;
pub mod rendezvous;
pub mod stall;
pub mod store_call;
pub mod table;

/// Time since an arbitrary origin of the process. It must advance while the host is suspended.
pub type Time = std::time::Duration;
