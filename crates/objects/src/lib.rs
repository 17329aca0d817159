//! Clients of the platform: object API, host list and the configuration log kept there.

pub mod budget;
pub mod hosts;
pub mod http;
pub mod journal;
pub mod log;
pub mod object;
