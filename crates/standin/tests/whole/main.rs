//! Tests for whole fleets: real entry hosts on the stand-ins, with faults of each component.

mod engines;
mod hosts;
mod services;
mod support;
