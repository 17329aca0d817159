//! Generates sequences of requests from a seed.

use kernel::request::Class;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    deployment::{Deployment, zipf_weight},
    event_queue::{Micros, SECOND},
};

/// Number of tenants. Each adapter belongs to one.
pub const TENANT_COUNT: usize = 8;

/// Ranks by which popularity moves in a shift. This is more than the number of popular adapters,
/// so that none of the most popular adapters stays popular.
pub const SHIFT_RANKS: usize = 300;

/// A request that arrives at a host.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Arrival time.
    pub at: Micros,
    /// Index of the adapter.
    pub adapter: usize,
    /// Priority class.
    pub class: Class,
    /// Time from the arrival to the deadline.
    pub time_limit: Micros,
    /// Number of tokens of the answer.
    pub answer_tokens: u32,
    /// Hash of the prompt's prefix.
    pub prefix_hash: u64,
    /// Index of the host that the load balancer chose.
    pub host: usize,
}

/// Parameters of a trace.
#[derive(Clone, Copy, Debug)]
pub struct Parameters {
    /// Seed of all random choices.
    pub seed: u64,
    /// Zipf skew of the popularity of adapters.
    pub skew: f64,
    /// Mean request rate per second.
    pub requests_per_second: f64,
    /// Duration of the trace.
    pub duration: Micros,
    /// Time at which popularity shifts, if it shifts.
    pub shift_at: Option<Micros>,
}

/// Generates a trace.
pub fn generate(deployment: &Deployment, parameters: Parameters) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(parameters.seed);
    let cumulative_weights = cumulative_weights(deployment.adapters, parameters.skew);
    let mut arrivals = Vec::new();
    let mut at = sample_interval(&mut random, parameters.requests_per_second);
    while at < parameters.duration {
        let rank = sample_rank(&mut random, &cumulative_weights);
        let is_shifted = parameters.shift_at.is_some_and(|it| at >= it);
        let offset = if is_shifted { SHIFT_RANKS } else { 0 };
        let adapter = (rank + offset) % deployment.adapters;
        arrivals.push(sample_arrival(&mut random, deployment, at, adapter));
        at += sample_interval(&mut random, parameters.requests_per_second);
    }
    arrivals
}

/// Samples the properties of a request.
fn sample_arrival(
    random: &mut StdRng,
    deployment: &Deployment,
    at: Micros,
    adapter: usize,
) -> Arrival {
    let (class, time_limit) = match random.random_range(0..10) {
        0 => (Class::Background, 30 * SECOND),
        1..=6 => (Class::Standard, 10 * SECOND),
        _ => (Class::Interactive, 4 * SECOND),
    };
    Arrival {
        at,
        adapter,
        class,
        time_limit,
        answer_tokens: random.random_range(24..=96),
        prefix_hash: random.random_range(0..16),
        host: random.random_range(0..deployment.hosts),
    }
}

/// Returns the cumulative Zipf weights of all ranks.
fn cumulative_weights(adapters: usize, skew: f64) -> Vec<f64> {
    let mut sum = 0.0;
    let sums = (0..adapters).map(|rank| {
        sum += zipf_weight(rank, skew);
        sum
    });
    sums.collect()
}

/// Samples a rank.
fn sample_rank(random: &mut StdRng, cumulative_weights: &[f64]) -> usize {
    let total = cumulative_weights.last().copied().unwrap_or(1.0);
    let point = random.random_range(0.0..total);
    cumulative_weights
        .partition_point(|it| *it <= point)
        .min(cumulative_weights.len() - 1)
}

/// Samples an exponentially distributed time between two arrivals.
fn sample_interval(random: &mut StdRng, requests_per_second: f64) -> Micros {
    let unit: f64 = random.random_range(f64::EPSILON..1.0);
    let seconds = -unit.ln() / requests_per_second;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "gaps are positive and short"
    )]
    let micros = (seconds * 1e6) as Micros;
    micros.max(1)
}
