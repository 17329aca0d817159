//! Decisions of one host about the inference engines that it shares with other hosts: on which engine a
//! request is placed, which adapters are loaded and evicted, which requests may be retried, and when another
//! host's engines may be taken over.
//!
//! Each engine has a steward: the one host that may send it orders, which load or unload adapters and base
//! models. Engines load them from the weight store. The platform, on which hosts and engines run, has another
//! store, called just "the store" here. It keeps the operator's configuration, the list of engines and what
//! they hold, the announced versions of adapters, and the leases and claims of hosts. The list of engines lags
//! behind, so hosts also send each other what they observe.
//!
//! This crate has no I/O, threads or clock. The time is an argument: a [`Time`] since an arbitrary origin.

pub mod account;
pub mod admission;
pub mod assignment;
pub mod availability;
pub mod backoff;
pub mod budget;
pub mod capacity;
pub mod catalog;
pub mod check;
pub mod circuit;
mod decay;
pub mod engine;
pub mod era;
pub mod identity;
pub mod in_flight;
pub mod isolation;
pub mod lease;
pub mod listing;
pub mod load_time;
pub mod loader;
pub mod origin;
pub mod placement;
pub mod prefix;
pub mod quarantine;
pub mod queue;
pub mod rate_limit;
pub mod reader;
pub mod reading;
pub mod rendezvous;
pub mod request_limit;
pub mod room;
pub mod stall;
pub mod store_call;
pub mod table;

/// Time since an arbitrary origin of the process. It must advance while the host is suspended.
pub type Time = std::time::Duration;
