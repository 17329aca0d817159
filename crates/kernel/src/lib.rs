//! Types and interfaces that every other crate builds on. No I/O here, and no threads.

pub mod arena;
pub mod clock;
pub mod fault;
pub mod name;
pub mod permit;
pub mod reference;
pub mod registry;
pub mod request;
pub mod service;
