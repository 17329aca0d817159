//! The settings of a steward.

use std::time::Duration;

use crate::popularity::Aging;

/// The weights of the two optimization goals, which can conflict.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objective {
    /// Weight of a short time that requests wait for their adapter.
    pub load_stall: f64,
    /// Weight of a high occupancy of the engines in use.
    pub batch_efficiency: f64,
}

impl Default for Objective {
    fn default() -> Self {
        Self {
            load_stall: 1.0,
            batch_efficiency: 0.0,
        }
    }
}

/// The settings of a [`State`](crate::State).
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The weights of the two goals.
    pub objective: Objective,
    /// Permit numbers begin after this one. A later incarnation of the host needs a higher value,
    /// so that a late release of a permit of an earlier incarnation doesn't end another permit.
    pub last_permit_number: u64,
    /// A permit is void if its request has not been sent within this time.
    pub start_timeout: Duration,
    /// How long a pin outlasts the deadline of its request.
    pub pin_margin: Duration,
    /// The longest deadline that any request may have.
    pub max_deadline: Duration,
    /// The assumed load time until a load has been measured.
    pub initial_load_time: Duration,
    /// A load order without a result counts as failed after this time, if the engine doesn't report
    /// the adapter.
    pub load_timeout: Duration,
    /// The pause after the first failed load of an adapter. It doubles with each further failure.
    pub initial_load_backoff: Duration,
    /// The longest pause after failed loads of an adapter.
    pub max_load_backoff: Duration,
    /// The assumed time per token until a permit has been released.
    pub initial_token_time: Duration,
    /// The assumed number of requests that an engine can run at once, until it reports its
    /// capacity.
    pub initial_capacity: u32,
    /// Upper bound on the number of waiting requests.
    pub max_waiting: usize,
    /// The time in which the weight of a request in the popularity of its adapter halves.
    pub popularity_half_life: Duration,
    /// A new adapter counts as idle for this long before its first request.
    pub prior_idle: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            objective: Objective::default(),
            last_permit_number: 0,
            start_timeout: Duration::from_secs(1),
            pin_margin: Duration::from_secs(2),
            max_deadline: Duration::from_mins(1),
            initial_load_time: Duration::from_millis(250),
            load_timeout: Duration::from_secs(10),
            initial_load_backoff: Duration::from_millis(250),
            max_load_backoff: Duration::from_secs(8),
            initial_token_time: Duration::from_millis(20),
            initial_capacity: 16,
            max_waiting: 1024,
            popularity_half_life: Duration::from_mins(5),
            prior_idle: Duration::from_mins(5),
        }
    }
}

impl Settings {
    /// Returns how popularity ages.
    pub(crate) fn aging(&self) -> Aging {
        Aging {
            half_life: self.popularity_half_life,
            prior_idle: self.prior_idle,
        }
    }
}
