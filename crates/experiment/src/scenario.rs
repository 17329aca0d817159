//! What happens to a fleet in an experiment.

use crate::{
    agenda::{Micros, SECOND},
    deployment::Deployment,
    trace::{self, Arrival, Recipe},
};

/// The time before measuring begins.
pub const WARM_UP: Micros = 1200 * SECOND;

/// When the event of a scenario happens.
pub const EVENT: Micros = 1500 * SECOND;

/// The length of a scenario.
pub const LENGTH: Micros = 2400 * SECOND;

/// How long the store is down in the outage scenario.
pub const OUTAGE: Micros = 300 * SECOND;

/// The load of ordinary scenarios as a share of capacity.
const USUAL_LOAD: f64 = 0.7;

/// What happens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// Nothing but requests.
    Steady,
    /// The popular adapters become unpopular and others popular.
    Shift,
    /// Every engine restarts at once.
    Restart,
    /// The store is down for a while.
    Outage,
    /// As many requests as the store can load for.
    Capacity,
    /// One and a half times that.
    Overload,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 6] = [
        Self::Steady,
        Self::Shift,
        Self::Restart,
        Self::Outage,
        Self::Capacity,
        Self::Overload,
    ];

    /// The word in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Shift => "shift",
            Self::Restart => "restart",
            Self::Outage => "outage",
            Self::Capacity => "capacity",
            Self::Overload => "overload",
        }
    }

    /// The load as a share of capacity.
    pub fn load(self) -> f64 {
        match self {
            Self::Capacity => 1.0,
            Self::Overload => 1.5,
            _ => USUAL_LOAD,
        }
    }

    /// The requests of one run.
    pub fn trace(self, deployment: &Deployment, skew: f64, seed: u64) -> Vec<Arrival> {
        let recipe = Recipe {
            seed,
            skew,
            rate: deployment.capacity(skew) * self.load(),
            length: LENGTH,
            shift: (self == Self::Shift).then_some(EVENT),
        };
        trace::generate(deployment, recipe)
    }
}
