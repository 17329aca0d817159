//! Scenarios: the load of a fleet and the events that happen to it.

use crate::{
    deployment::Deployment,
    event_queue::{Micros, SECOND},
    trace::{self, Arrival, Parameters},
};

/// Time before the measurements begin. Requests that arrive earlier are not measured.
pub const WARM_UP: Micros = 1200 * SECOND;

/// Time at which the event of a scenario happens.
pub const EVENT_AT: Micros = 1500 * SECOND;

/// Duration of a scenario.
pub const DURATION: Micros = 2400 * SECOND;

/// Time for which the store is down in the outage scenario.
pub const OUTAGE_DURATION: Micros = 300 * SECOND;

/// Request rate of most scenarios as a share of the fleet's capacity.
const DEFAULT_LOAD_FACTOR: f64 = 0.7;

/// A scenario.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// No event.
    Steady,
    /// The most popular adapters become unpopular and others take their place.
    Shift,
    /// All engines restart at once.
    Restart,
    /// The weight store is down for a while.
    Outage,
    /// No event, with a request rate equal to the fleet's capacity.
    Capacity,
    /// No event, with a request rate of 1.5 times the fleet's capacity.
    Overload,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 6] = [
        Self::Steady,
        Self::Shift,
        Self::Restart,
        Self::Outage,
        Self::Capacity,
        Self::Overload,
    ];

    /// Name in reports.
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

    /// Request rate as a share of the fleet's capacity.
    pub fn load_factor(self) -> f64 {
        match self {
            Self::Capacity => 1.0,
            Self::Overload => 1.5,
            _ => DEFAULT_LOAD_FACTOR,
        }
    }

    /// Generates the requests of one run.
    pub fn generate_trace(self, deployment: &Deployment, skew: f64, seed: u64) -> Vec<Arrival> {
        let parameters = Parameters {
            seed,
            skew,
            requests_per_second: deployment.capacity_per_second(skew) * self.load_factor(),
            duration: DURATION,
            shift_at: (self == Self::Shift).then_some(EVENT_AT),
        };
        trace::generate(deployment, parameters)
    }
}
