//! The decision logic of stewards and of the entry hosts that use them, without I/O. The steward of
//! an engine is the entry host that grants permits to run requests on it and orders its loads and
//! unloads. Engines load adapters from the weight store, which limits the loads of all engines
//! together.

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
