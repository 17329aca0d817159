//! What an installation on a platform consists of.

use crate::event_queue::{MILLISECOND, Micros, SECOND};

/// An installation.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Its name.
    pub name: &'static str,
    /// Hosts of ours.
    pub hosts: usize,
    /// Engines.
    pub engines: usize,
    /// Requests that an engine runs at once.
    pub slots: usize,
    /// Time of a step without prompts.
    pub step: Micros,
    /// What each running request adds to a step.
    pub slot: Micros,
    /// Prompt tokens that are read in a millisecond.
    pub read_per_ms: u64,
    /// Prompt tokens that a step reads at most.
    pub chunk: u32,
    /// Tokens of an event.
    pub stride: u32,
    /// Adapters that an engine holds at most.
    pub places: usize,
    /// Adapters that come from the weight store at full speed.
    pub at_once: usize,
    /// Adapters that are asked for.
    pub adapters: usize,
    /// Requests a second.
    pub rate: f64,
    /// Longest pause between events of a stream that is on time.
    pub gap: Micros,
}

/// Time that an adapter takes from the weight store at full speed.
pub const FETCH: Micros = 250 * MILLISECOND;

/// Time for the first event.
pub const TARGET: Micros = 800 * MILLISECOND;

/// Time for which a caller waits for the first event and, after a refusal, comes back once.
pub const PATIENCE: Micros = 8 * SECOND;

/// Skew of the popularity of adapters (Zipf).
pub const SKEW: f64 = 1.2;

/// Mean of the prompt's own tokens.
pub const OWN_TOKENS: f64 = 900.0;

/// Most of the prompt's own tokens.
pub const MOST_TOKENS: f64 = 3790.0;

/// Tokens that prompts share.
pub const SHARED_TOKENS: u32 = 350;

/// Mean of the tokens of an answer.
pub const ANSWER_TOKENS: f64 = 140.0;

/// Most tokens of an answer.
pub const MOST_ANSWER: f64 = 600.0;

impl Shape {
    /// The users' Dar installation today.
    pub fn dar() -> Self {
        Self {
            name: "dar",
            hosts: 4,
            engines: 18,
            slots: 64,
            step: 8_200,
            slot: 18,
            read_per_ms: 26,
            chunk: 2048,
            stride: 3,
            places: 20,
            at_once: 16,
            adapters: 3000,
            rate: 144.0,
            gap: 250 * MILLISECOND,
        }
    }

    /// The same, grown.
    pub fn dar_grown() -> Self {
        Self {
            name: "dar-grown",
            hosts: 30,
            engines: 60,
            slots: 48,
            stride: 4,
            places: 19,
            at_once: 48,
            adapters: 10_000,
            rate: 444.0,
            gap: 300 * MILLISECOND,
            ..Self::dar()
        }
    }

    /// The users' installation at the Institute today.
    pub fn institute() -> Self {
        Self {
            name: "institute",
            engines: 9,
            step: 6_800,
            read_per_ms: 22,
            stride: 4,
            places: 16,
            at_once: 8,
            rate: 67.0,
            gap: 300 * MILLISECOND,
            ..Self::dar()
        }
    }

    /// All of them.
    pub fn all() -> [Self; 3] {
        [Self::dar(), Self::institute(), Self::dar_grown()]
    }
}
