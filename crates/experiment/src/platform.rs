//! The decisions of `fleet` on a simulated clock, against a model of engines on a platform: batches, prompts
//! read in pieces between the tokens of others, places for adapters, and a weight store that slows down.
//!
//! What a host does between the decisions (waits, asks, words to other hosts) is done here as in `gateway`,
//! without its sockets. Beside it stands a naive placement, which is what the figures are compared with.

pub mod engine;
pub mod hosts;
pub mod metrics;
pub mod naive;
pub mod pattern;
pub mod shape;
pub mod world;

use metrics::Metrics;
use pattern::Pattern;
use shape::Shape;

/// How requests are placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The decisions of `fleet`.
    Fleet,
    /// The engine with the fewest requests of this host among those that hold the adapter, else a load on the
    /// engine with the fewest; each host for itself, and whatever waits is sent.
    Naive,
}

/// Plays a load pattern on a shape; the same seed gives the same figures.
pub fn run(shape: &Shape, pattern: Pattern, policy: Policy, seed: u64) -> Metrics {
    let trace = pattern.trace(shape, seed);
    match policy {
        Policy::Fleet => world::run(shape, pattern, &trace, hosts::Hosts::new(shape, seed)),
        Policy::Naive => world::run(shape, pattern, &trace, naive::Naive::new(shape)),
    }
}
