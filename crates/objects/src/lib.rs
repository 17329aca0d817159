//! Clients of the platform: the object API, the host list, and the configuration log and the
//! journal of keyed calls that are stored as objects.

pub mod budget;
pub mod hosts;
pub mod http;
pub mod journal;
pub mod log;
pub mod object;
