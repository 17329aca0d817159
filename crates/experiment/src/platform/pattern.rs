//! Load patterns, and the requests that they make.

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::shape::{
    ANSWER_TOKENS, MOST_ANSWER, MOST_TOKENS, OWN_TOKENS, SHARED_TOKENS, SKEW, Shape,
};
use crate::event_queue::{MILLISECOND, Micros, SECOND};

/// How long requests come.
pub const LENGTH: Micros = 30 * SECOND;

/// When the trouble begins, and ends.
pub const TROUBLE: (Micros, Micros) = (10 * SECOND, 14 * SECOND);

/// Times as many requests in a burst.
const BURST: f64 = 1.7;

/// Places by which popularity moves in a shift.
const SHIFT: usize = 300;

/// Part of the engines that are lost in a crash.
const LOST: f64 = 0.35;

/// Requests that come together, in the mean, and the time between them.
const CLUMP: f64 = 2.0;
const WITHIN: Micros = 20 * MILLISECOND;

/// A load pattern.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pattern {
    /// Nothing happens; engines begin without adapters.
    Calm,
    /// A third of the engines is lost and comes back empty.
    Crash,
    /// The popular adapters are others from one moment on.
    Shift,
    /// More requests come for some seconds.
    Burst,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it comes.
    pub at: Micros,
    /// The host that gets it.
    pub host: usize,
    /// Its adapter.
    pub adapter: usize,
    /// Which shared part its prompt begins with.
    pub shared: u64,
    /// Tokens of its prompt.
    pub tokens: u32,
    /// Tokens of its answer.
    pub answer: u32,
}

impl Pattern {
    /// All of them.
    pub const ALL: [Self; 4] = [Self::Calm, Self::Crash, Self::Shift, Self::Burst];

    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::Crash => "crash",
            Self::Shift => "shift",
            Self::Burst => "burst",
        }
    }

    /// Engines that are lost.
    pub fn lost(self, shape: &Shape) -> usize {
        match self {
            Self::Crash => whole(count(shape.engines) * LOST),
            Self::Calm | Self::Shift | Self::Burst => 0,
        }
    }

    /// The requests of a seed.
    pub fn trace(self, shape: &Shape, seed: u64) -> Vec<Arrival> {
        let mut random = StdRng::seed_from_u64(seed);
        let mut sum = 0.0;
        let sums: Vec<f64> = (0..shape.adapters)
            .map(|rank| {
                sum += count(rank + 1).powf(-SKEW);
                sum
            })
            .collect();
        let mut arrivals = Vec::new();
        let mut at = 0;
        while at < LENGTH {
            let troubled = (TROUBLE.0..TROUBLE.1).contains(&at);
            let more = if self == Self::Burst && troubled {
                BURST
            } else {
                1.0
            };
            at += exponential(&mut random, 1e6 * CLUMP / (shape.rate * more));
            let host = random.random_range(0..shape.hosts);
            let clump =
                1 + whole(count_micros(exponential(&mut random, 1e6 * (CLUMP - 1.0))) / 1e6);
            for _ in 0..clump {
                let point = random.random_range(0.0..sum);
                let rank = sums.partition_point(|it| *it <= point);
                let moved = if self == Self::Shift && at > TROUBLE.0 {
                    SHIFT
                } else {
                    0
                };
                let own = exponential(&mut random, OWN_TOKENS * 1e3);
                let own = (count_micros(own) / 1e3).min(MOST_TOKENS);
                let answer = exponential(&mut random, ANSWER_TOKENS * 1e3);
                let answer = (count_micros(answer) / 1e3).clamp(4.0, MOST_ANSWER);
                arrivals.push(Arrival {
                    at: at + random.random_range(0..WITHIN),
                    host,
                    adapter: (rank + moved) % shape.adapters,
                    shared: random.random_range(0..3),
                    tokens: SHARED_TOKENS + tokens(own),
                    answer: tokens(answer),
                });
            }
        }
        arrivals.sort_by_key(|it| it.at);
        arrivals
    }
}

fn count(it: usize) -> f64 {
    f64::from(u32::try_from(it).unwrap_or(u32::MAX))
}

fn count_micros(it: Micros) -> f64 {
    f64::from(u32::try_from(it).unwrap_or(u32::MAX))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the figures are small and positive"
)]
fn whole(it: f64) -> usize {
    it as usize
}

fn tokens(it: f64) -> u32 {
    u32::try_from(whole(it)).unwrap_or(u32::MAX)
}

/// An exponentially distributed figure, rounded down.
fn exponential(random: &mut StdRng, mean: f64) -> Micros {
    let unit: f64 = random.random_range(f64::EPSILON..1.0);
    u64::try_from(whole(-unit.ln() * mean)).unwrap_or(0)
}
