//! Simulates the placement decisions of `fleet` on a simulated clock, against a model of an
//! installation on a platform. The model has engines with batches, prompts that are processed in
//! chunks between the tokens of other requests, adapter slots, and a weight store that slows down
//! under load.
//!
//! The simulated hosts do between the decisions what `gateway` does (waiting, load requests,
//! messages to other hosts), but without its sockets. A naive placement serves as the baseline for
//! comparison.

pub mod engine;
pub mod hosts;
pub mod installation;
pub mod metrics;
pub mod naive;
pub mod pattern;
pub mod simulation;

use installation::Installation;
use metrics::Metrics;
use pattern::Pattern;

/// Placement policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The decisions of `fleet`.
    Fleet,
    /// Among the engines that hold the adapter, the one with the fewest requests of this host. If
    /// no engine holds it, a load is ordered on the engine with the fewest requests. Hosts do not
    /// communicate and do not pace prompts.
    Naive,
}

/// Simulates a traffic pattern on an installation. The same seed gives the same measurements.
pub fn run(installation: &Installation, pattern: Pattern, policy: Policy, seed: u64) -> Metrics {
    let trace = pattern.generate_trace(installation, seed);
    match policy {
        Policy::Fleet => simulation::run(
            installation,
            pattern,
            &trace,
            hosts::Hosts::new(installation, seed),
        ),
        Policy::Naive => simulation::run(
            installation,
            pattern,
            &trace,
            naive::Hosts::new(installation),
        ),
    }
}
