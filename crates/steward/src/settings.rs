//! What operators can set for the decisions of a steward.

use std::time::Duration;

use crate::popularity::Aging;

/// How much each of the two measures weighs when they pull in opposite directions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objective {
    /// Weight of the time that requests wait for their adapter.
    pub load_stall: f64,
    /// Weight of how fully the engines in use are used.
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
    /// The weights of the two measures.
    pub objective: Objective,
    /// The numbers of permits begin after this one. It has to be higher in a later life of the
    /// host, so that a late release of an earlier life's permit ends no other permit.
    pub last_permit_number: u64,
    /// A permit is void if its request has not been sent within this time.
    pub start_timeout: Duration,
    /// How long a pin outlasts the deadline of its request.
    pub pin_margin: Duration,
    /// The longest deadline that any request may have.
    pub max_deadline: Duration,
    /// How long a load takes until loads have been seen.
    pub initial_load_time: Duration,
    /// A load order without a result settles as lost after this time.
    pub load_timeout: Duration,
    /// How long an adapter whose load failed is left alone at first.
    pub initial_load_backoff: Duration,
    /// The longest time that an adapter whose loads fail is left alone.
    pub max_load_backoff: Duration,
    /// How long one token takes until permits have been released.
    pub initial_token_time: Duration,
    /// Requests that run together on an engine until it reports its capacity.
    pub initial_capacity: u32,
    /// The most requests that may wait.
    pub max_waiting: usize,
    /// The time in which the weight of an ask in the popularity of its adapter halves.
    pub popularity_half_life: Duration,
    /// How long a new adapter is taken to have been idle before its first ask.
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
    /// How popularity ages.
    pub(crate) fn aging(&self) -> Aging {
        Aging {
            half_life: self.popularity_half_life,
            prior: self.prior_idle,
        }
    }
}
