//! Fleets whose sizes and limits are simulated.

use steward::Objective;

use crate::event_queue::{MILLISECOND, Micros};

/// Sizes and limits of one fleet.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name in reports.
    pub name: &'static str,
    /// Number of engines.
    pub engines: usize,
    /// Adapter slots of each engine.
    pub slots_per_engine: u32,
    /// Maximum number of requests that an engine runs in one batch.
    pub batch_size: u32,
    /// Number of adapters.
    pub adapters: usize,
    /// Number of entry hosts, which receive requests and act as stewards.
    pub hosts: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Loads per second that the weight store allows.
    pub loads_per_second: f64,
    /// Loads that the weight store allows to start at once: the burst of its rate limit.
    pub load_burst: u32,
    /// In-flight loads up to which the weight store runs at full speed. Beyond this number each
    /// load takes proportionally longer.
    pub in_flight_cap: u32,
    /// Duration of a load at full speed.
    pub load_time: Micros,
    /// Weights of load stalls and batch efficiency in placement decisions.
    pub objective: Objective,
}

impl Deployment {
    /// The Maegesho fleet, which serves occupancy signs of car parks. Load stalls weigh more than
    /// batch efficiency.
    pub fn maegesho() -> Self {
        Self {
            name: "maegesho",
            engines: 18,
            slots_per_engine: 8,
            batch_size: 16,
            adapters: 3_000,
            hosts: 4,
            domains: 3,
            loads_per_second: 4.5,
            load_burst: 2,
            in_flight_cap: 16,
            load_time: 250 * MILLISECOND,
            objective: Objective {
                load_stall: 1.0,
                batch_efficiency: 0.5,
            },
        }
    }

    /// The Institute fleet, which serves formula cards of salons. Batch efficiency weighs more than
    /// load stalls.
    pub fn institute() -> Self {
        Self {
            name: "institute",
            engines: 9,
            loads_per_second: 2.5,
            load_burst: 1,
            in_flight_cap: 8,
            objective: Objective {
                load_stall: 0.5,
                batch_efficiency: 1.0,
            },
            ..Self::maegesho()
        }
    }

    /// Maximum number of requests that all engines run at once.
    pub fn batch_capacity(&self) -> u32 {
        u32::try_from(self.engines).unwrap_or(u32::MAX) * self.batch_size
    }

    /// Number of adapter slots of all engines.
    pub fn total_slots(&self) -> usize {
        self.engines * self.slots_per_engine as usize
    }

    /// Request rate per second at which the best fixed set of loaded adapters misses exactly as
    /// often as the store allows loads.
    pub fn capacity_per_second(&self, skew: f64) -> f64 {
        let zipf_weight = |rank: usize| zipf_weight(rank, skew);
        let hit_weight: f64 = (0..self.total_slots()).map(zipf_weight).sum();
        let total_weight: f64 = (0..self.adapters).map(zipf_weight).sum();
        self.loads_per_second / (1.0 - hit_weight / total_weight)
    }
}

/// Returns the Zipf weight of the adapter of a popularity rank, counted from 0.
pub fn zipf_weight(rank: usize, skew: f64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "there are few adapters")]
    let rank = rank as f64 + 1.0;
    rank.powf(-skew)
}
