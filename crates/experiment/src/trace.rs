//! Seeded sequences of requests.

use kernel::request::Class;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    agenda::{Micros, SECOND},
    deployment::{Deployment, weight},
};

/// Tenants; each adapter belongs to one.
pub const TENANTS: usize = 8;

/// How many places popularity moves at a shift: none of the most popular adapters stays popular.
pub const SHIFT_PLACES: usize = 300;

/// One request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it comes.
    pub at: Micros,
    /// Its adapter.
    pub adapter: usize,
    /// Its priority class.
    pub class: Class,
    /// The time from arrival to deadline.
    pub patience: Micros,
    /// Tokens of the answer.
    pub tokens: u32,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// The entry host that the balancer chose.
    pub host: usize,
}

/// What a trace is made from.
#[derive(Clone, Copy, Debug)]
pub struct Recipe {
    /// Seed of all random choices.
    pub seed: u64,
    /// Zipf skew of popularity.
    pub skew: f64,
    /// Requests a second.
    pub rate: f64,
    /// Length.
    pub length: Micros,
    /// When popularity shifts, if it does.
    pub shift: Option<Micros>,
}

/// Makes a trace.
pub fn generate(deployment: &Deployment, recipe: Recipe) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(recipe.seed);
    let sums = cumulative(deployment.adapters, recipe.skew);
    let mut arrivals = Vec::new();
    let mut at = gap(&mut random, recipe.rate);
    while at < recipe.length {
        let rank = pick(&mut random, &sums);
        let shifted = recipe.shift.is_some_and(|it| at >= it);
        let offset = if shifted { SHIFT_PLACES } else { 0 };
        let adapter = (rank + offset) % deployment.adapters;
        arrivals.push(arrival(&mut random, deployment, at, adapter));
        at += gap(&mut random, recipe.rate);
    }
    arrivals
}

fn arrival(random: &mut StdRng, deployment: &Deployment, at: Micros, adapter: usize) -> Arrival {
    let (class, patience) = match random.random_range(0..10) {
        0 => (Class::Background, 30 * SECOND),
        1..=6 => (Class::Standard, 10 * SECOND),
        _ => (Class::Interactive, 4 * SECOND),
    };
    Arrival {
        at,
        adapter,
        class,
        patience,
        tokens: random.random_range(24..=96),
        prefix: random.random_range(0..16),
        host: random.random_range(0..deployment.hosts),
    }
}

fn cumulative(adapters: usize, skew: f64) -> Vec<f64> {
    let mut sum = 0.0;
    let sums = (0..adapters).map(|rank| {
        sum += weight(rank, skew);
        sum
    });
    sums.collect()
}

fn pick(random: &mut StdRng, sums: &[f64]) -> usize {
    let all = sums.last().copied().unwrap_or(1.0);
    let point = random.random_range(0.0..all);
    sums.partition_point(|it| *it <= point).min(sums.len() - 1)
}

/// An exponentially distributed gap.
fn gap(random: &mut StdRng, rate: f64) -> Micros {
    let unit: f64 = random.random_range(f64::EPSILON..1.0);
    let seconds = -unit.ln() / rate;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "gaps are positive and short"
    )]
    let micros = (seconds * 1e6) as Micros;
    micros.max(1)
}
