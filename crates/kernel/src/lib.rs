//! Types and interfaces shared by all other crates. This crate does no I/O and starts no threads.

pub mod arena;
pub mod clock;
pub mod fault;
pub mod name;
pub mod permit;
pub mod reference;
pub mod registry;
pub mod request;
pub mod service;
