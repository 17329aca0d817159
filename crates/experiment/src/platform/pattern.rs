//! Traffic patterns and the requests that they generate.

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::installation::{
    Installation, MAX_ANSWER_TOKENS, MAX_OWN_PROMPT_TOKENS, MEAN_ANSWER_TOKENS,
    MEAN_OWN_PROMPT_TOKENS, SHARED_PREFIX_TOKENS, ZIPF_SKEW,
};
use crate::event_queue::{MILLISECOND, Micros, SECOND};

/// Time for which requests arrive.
pub const ARRIVAL_DURATION: Micros = 30 * SECOND;

/// Start and end of the disturbance of a pattern.
pub const DISTURBANCE: (Micros, Micros) = (10 * SECOND, 14 * SECOND);

/// Factor by which the request rate increases in a burst.
const BURST_FACTOR: f64 = 1.7;

/// Ranks by which popularity moves in a shift.
const SHIFT_RANKS: usize = 300;

/// Share of the engines that are lost in a crash.
const CRASHED_SHARE: f64 = 0.35;

/// Minimum number of tokens of an answer.
const MIN_ANSWER_TOKENS: f64 = 4.0;

/// Mean number of requests that arrive as a group at one host.
const MEAN_GROUP_SIZE: f64 = 2.0;
/// Time within which the requests of a group arrive.
const GROUP_WINDOW: Micros = 20 * MILLISECOND;

/// A traffic pattern.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pattern {
    /// No disturbance. As in all patterns, engines start without adapters.
    Calm,
    /// About a third of the engines crash and restart without adapters.
    Crash,
    /// The popular adapters change at the start of the disturbance, and stay changed.
    Shift,
    /// The request rate is higher during the disturbance.
    Burst,
}

/// A request that arrives at a host.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Arrival time.
    pub at: Micros,
    /// Index of the host that receives the request.
    pub host: usize,
    /// Index of the adapter.
    pub adapter: usize,
    /// Identity of the shared prefix of the prompt.
    pub shared_prefix: u64,
    /// Number of tokens of the prompt, including the shared prefix.
    pub prompt_tokens: u32,
    /// Number of tokens of the answer.
    pub answer_tokens: u32,
}

impl Pattern {
    /// All patterns.
    pub const ALL: [Self; 4] = [Self::Calm, Self::Crash, Self::Shift, Self::Burst];

    /// Name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::Crash => "crash",
            Self::Shift => "shift",
            Self::Burst => "burst",
        }
    }

    /// Number of engines that crash.
    pub fn crashed_engines(self, installation: &Installation) -> usize {
        match self {
            Self::Crash => to_usize(to_f64(installation.engines) * CRASHED_SHARE),
            Self::Calm | Self::Shift | Self::Burst => 0,
        }
    }

    /// Generates the requests of a seed.
    pub fn generate_trace(self, installation: &Installation, seed: u64) -> Vec<Arrival> {
        let mut random = StdRng::seed_from_u64(seed);
        let mut sum = 0.0;
        let cumulative_weights: Vec<f64> = (0..installation.adapters)
            .map(|rank| {
                sum += to_f64(rank + 1).powf(-ZIPF_SKEW);
                sum
            })
            .collect();
        let mut arrivals = Vec::new();
        let mut at = 0;
        while at < ARRIVAL_DURATION {
            let is_disturbed = (DISTURBANCE.0..DISTURBANCE.1).contains(&at);
            let rate_factor = if self == Self::Burst && is_disturbed {
                BURST_FACTOR
            } else {
                1.0
            };
            at += sample_exponential(
                &mut random,
                1e6 * MEAN_GROUP_SIZE / (installation.requests_per_second * rate_factor),
            );
            let host = random.random_range(0..installation.hosts);
            let group_size = 1 + to_usize(
                micros_to_f64(sample_exponential(
                    &mut random,
                    1e6 * (MEAN_GROUP_SIZE - 1.0),
                )) / 1e6,
            );
            for _ in 0..group_size {
                let point = random.random_range(0.0..sum);
                let rank = cumulative_weights.partition_point(|it| *it <= point);
                let offset = if self == Self::Shift && at > DISTURBANCE.0 {
                    SHIFT_RANKS
                } else {
                    0
                };
                let own_tokens = sample_exponential(&mut random, MEAN_OWN_PROMPT_TOKENS * 1e3);
                let own_tokens = (micros_to_f64(own_tokens) / 1e3).min(MAX_OWN_PROMPT_TOKENS);
                let answer_tokens = sample_exponential(&mut random, MEAN_ANSWER_TOKENS * 1e3);
                let answer_tokens = (micros_to_f64(answer_tokens) / 1e3)
                    .clamp(MIN_ANSWER_TOKENS, MAX_ANSWER_TOKENS);
                arrivals.push(Arrival {
                    at: at + random.random_range(0..GROUP_WINDOW),
                    host,
                    adapter: (rank + offset) % installation.adapters,
                    shared_prefix: random.random_range(0..3),
                    prompt_tokens: SHARED_PREFIX_TOKENS + to_tokens(own_tokens),
                    answer_tokens: to_tokens(answer_tokens),
                });
            }
        }
        arrivals.sort_by_key(|it| it.at);
        arrivals
    }
}

fn to_f64(it: usize) -> f64 {
    f64::from(u32::try_from(it).unwrap_or(u32::MAX))
}

fn micros_to_f64(it: Micros) -> f64 {
    f64::from(u32::try_from(it).unwrap_or(u32::MAX))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the figures are small and positive"
)]
fn to_usize(it: f64) -> usize {
    it as usize
}

fn to_tokens(it: f64) -> u32 {
    u32::try_from(to_usize(it)).unwrap_or(u32::MAX)
}

/// Samples an exponentially distributed number, rounded down. Callers that need a finer resolution
/// scale the mean up and divide the sample by the same factor.
fn sample_exponential(random: &mut StdRng, mean: f64) -> Micros {
    let unit: f64 = random.random_range(f64::EPSILON..1.0);
    u64::try_from(to_usize(-unit.ln() * mean)).unwrap_or(0)
}
