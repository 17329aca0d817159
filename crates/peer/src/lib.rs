//! The sockets between entry hosts: gossip datagrams and remote calls.
//!
//! A [`Service`] runs both on one thread of its own, because `capnp-rpc` needs an executor that
//! stays on one thread. All other threads speak to it through a [`Handle`].

mod auth;
mod client;
mod connection;
pub mod counter;
mod delivery;
mod gossip;
mod guest;
mod handle;
mod handler;
mod link;
mod release;
mod server;
mod service;
mod settings;
mod shared;
mod slot;

pub use handle::Handle;
pub use handler::{Handler, HostList};
pub use service::{Failure, Service};
pub use settings::{Limits, Settings};
