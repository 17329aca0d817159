//! The real entry hosts on the stand-ins, through faults of every part.

mod engines;
mod hosts;
mod services;
mod support;
