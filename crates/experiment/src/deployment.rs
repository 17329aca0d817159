//! The fleets that are simulated.

use steward::Objective;

use crate::agenda::{MILLI, Micros};

/// Sizes and limits of one fleet.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its name in reports.
    pub name: &'static str,
    /// Model engines.
    pub engines: usize,
    /// Adapter slots of each engine.
    pub slots: u32,
    /// Requests that an engine runs together.
    pub batch: u32,
    /// Adapters.
    pub adapters: usize,
    /// Entry hosts.
    pub hosts: usize,
    /// Failure domains.
    pub domains: usize,
    /// Loads that the weight store allows in a second.
    pub rate: f64,
    /// Loads that it lets begin at once.
    pub full_speed: u32,
    /// Loads in flight past which each takes proportionally longer.
    pub in_flight: u32,
    /// How long a load takes.
    pub load_time: Micros,
    /// The weights of the two measures.
    pub objective: Objective,
}

impl Deployment {
    /// Occupancy signs of car parks: load stalls weigh more.
    pub fn maegesho() -> Self {
        Self {
            name: "maegesho",
            engines: 18,
            slots: 8,
            batch: 16,
            adapters: 3_000,
            hosts: 4,
            domains: 3,
            rate: 4.5,
            full_speed: 2,
            in_flight: 16,
            load_time: 250 * MILLI,
            objective: Objective {
                load_stall: 1.0,
                batch_efficiency: 0.5,
            },
        }
    }

    /// Formula cards of salons: batch efficiency weighs more.
    pub fn institute() -> Self {
        Self {
            name: "institute",
            engines: 9,
            rate: 2.5,
            full_speed: 1,
            in_flight: 8,
            objective: Objective {
                load_stall: 0.5,
                batch_efficiency: 1.0,
            },
            ..Self::maegesho()
        }
    }

    /// Places in the batches of all engines.
    pub fn places(&self) -> u32 {
        u32::try_from(self.engines).unwrap_or(u32::MAX) * self.batch
    }

    /// Adapter slots of all engines.
    pub fn total_slots(&self) -> usize {
        self.engines * self.slots as usize
    }

    /// Requests a second at which the best fixed set of loaded adapters leaves as many misses as
    /// the store allows loads.
    pub fn capacity(&self, skew: f64) -> f64 {
        let weight = |rank: usize| weight(rank, skew);
        let hit: f64 = (0..self.total_slots()).map(weight).sum();
        let all: f64 = (0..self.adapters).map(weight).sum();
        self.rate / (1.0 - hit / all)
    }
}

/// The Zipf weight of the adapter with a rank that counts from 0.
pub fn weight(rank: usize, skew: f64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "there are few adapters")]
    let rank = rank as f64 + 1.0;
    rank.powf(-skew)
}
