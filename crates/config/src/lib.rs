//! The operators' config document: parsing, validation, revisions and diffs. This crate does no
//! I/O.

pub mod change;
pub mod document;
pub mod fields;
mod graph;
pub mod node;
pub mod persistent;
pub mod problem;
mod read;
mod render;
pub mod revision;
mod serial;
pub mod service;
pub mod unit;

pub use document::Document;
pub use service::{Model, Service, Store, Target, Tenant};
