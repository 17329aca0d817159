//! The decisions of the steward of an engine: placement, loads, eviction, admission. No I/O here.

mod adapter;
mod budget;
pub mod circuit;
mod congestion;
mod drift;
mod engine;
pub mod event;
pub mod lending;
mod permits;
mod popularity;
pub mod retry;
pub mod route;
pub mod settings;
pub mod state;
mod waiters;

pub use event::{Action, Event, Order, OrderResult, Predecessor, Ticket};
pub use settings::{Objective, Settings};
pub use state::State;
