//! Communication between entry hosts: gossip datagrams over UDP and remote calls over TCP.
//!
//! A [`Service`] runs both on one dedicated thread, because the types of `capnp-rpc` can't be moved
//! between threads. All other threads use it through a [`Handle`].

mod auth;
mod client;
mod connection;
pub mod counter;
mod delivery;
mod gossip;
mod handle;
mod handler;
mod link;
mod registry;
mod release;
mod reply;
mod server;
mod service;
mod settings;
mod shared;

pub use handle::Handle;
pub use handler::{Handler, HostList};
pub use service::{Failure, Service};
pub use settings::{Limits, Settings};
