//! Installations on a platform: sizes, speeds and load.

use crate::event_queue::{MILLISECOND, Micros, SECOND};

/// An installation.
#[derive(Clone, Debug)]
pub struct Installation {
    /// Name in tables.
    pub name: &'static str,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of engines.
    pub engines: usize,
    /// Maximum number of requests in the batch of an engine.
    pub batch_slots: usize,
    /// Duration of a step of an empty batch without prompts.
    pub step_time: Micros,
    /// Time that each running request adds to a step.
    pub step_time_per_request: Micros,
    /// Prompt tokens that an engine processes per millisecond.
    pub prefill_tokens_per_ms: u64,
    /// Maximum number of prompt tokens that are processed in one step.
    pub max_prefill_tokens_per_step: u32,
    /// Answer tokens per event of the stream.
    pub tokens_per_event: u32,
    /// Adapter slots of each engine.
    pub adapter_slots: usize,
    /// In-flight loads up to which the weight store runs at full speed.
    pub max_full_speed_loads: usize,
    /// Number of adapters that can be requested.
    pub adapters: usize,
    /// Mean request rate per second.
    pub requests_per_second: f64,
    /// Maximum pause between events of a stream that is on time.
    pub max_event_gap: Micros,
    /// Speeds of the engines in percent, which take turns.
    pub speeds: &'static [u64],
    /// Percent of the time in which an engine is slower by [`NOISE_FACTOR`].
    pub noise_percent: u64,
}

/// Time for which an engine stays in the same state of noise.
pub const NOISE_PERIOD: Micros = 600 * MILLISECOND;

/// Percent of its usual time that an engine takes while it is slower by noise.
pub const NOISE_FACTOR: u64 = 250;

/// Duration of a load from the weight store at full speed.
pub const LOAD_TIME: Micros = 250 * MILLISECOND;

/// Duration of a load from the memory of the engine.
pub const RELOAD_TIME: Micros = 40 * MILLISECOND;

/// Adapters whose weights an engine keeps in its memory, beside those that it holds.
pub const COPIES_IN_MEMORY: usize = 87;

/// Maximum time to the first event of a request that is on time.
pub const FIRST_EVENT_TARGET: Micros = 800 * MILLISECOND;

/// Time for which a caller waits for the first event, including one retry after a refusal.
pub const CALLER_TIMEOUT: Micros = 8 * SECOND;

/// Zipf skew of the popularity of adapters.
pub const ZIPF_SKEW: f64 = 1.2;

/// Mean number of prompt tokens after the shared prefix.
pub const MEAN_OWN_PROMPT_TOKENS: f64 = 900.0;

/// Maximum number of prompt tokens after the shared prefix.
pub const MAX_OWN_PROMPT_TOKENS: f64 = 3790.0;

/// Number of tokens of a shared prefix.
pub const SHARED_PREFIX_TOKENS: u32 = 350;

/// Mean number of tokens of an answer.
pub const MEAN_ANSWER_TOKENS: f64 = 140.0;

/// Maximum number of tokens of an answer.
pub const MAX_ANSWER_TOKENS: f64 = 600.0;

impl Installation {
    /// The Dar installation at its present size.
    pub fn dar() -> Self {
        Self {
            name: "dar",
            hosts: 4,
            engines: 18,
            batch_slots: 64,
            step_time: 8_200,
            step_time_per_request: 18,
            prefill_tokens_per_ms: 26,
            max_prefill_tokens_per_step: 2048,
            tokens_per_event: 3,
            adapter_slots: 20,
            max_full_speed_loads: 16,
            adapters: 3000,
            requests_per_second: 144.0,
            max_event_gap: 250 * MILLISECOND,
            speeds: &[100],
            noise_percent: 0,
        }
    }

    /// The Dar installation after growth.
    pub fn dar_grown() -> Self {
        Self {
            name: "dar-grown",
            hosts: 30,
            engines: 60,
            batch_slots: 48,
            tokens_per_event: 4,
            adapter_slots: 19,
            max_full_speed_loads: 48,
            adapters: 10_000,
            requests_per_second: 444.0,
            max_event_gap: 300 * MILLISECOND,
            ..Self::dar()
        }
    }

    /// The Institute installation at its present size.
    pub fn institute() -> Self {
        Self {
            name: "institute",
            engines: 9,
            step_time: 6_800,
            prefill_tokens_per_ms: 22,
            tokens_per_event: 4,
            adapter_slots: 16,
            max_full_speed_loads: 8,
            requests_per_second: 67.0,
            max_event_gap: 300 * MILLISECOND,
            ..Self::dar()
        }
    }

    /// An installation with many small hosts and engines of three speeds, which are slow at times.
    pub fn uneven() -> Self {
        Self {
            name: "uneven",
            hosts: 60,
            batch_slots: 48,
            step_time: 9_470,
            step_time_per_request: 27,
            prefill_tokens_per_ms: 19,
            max_prefill_tokens_per_step: 4096,
            tokens_per_event: 3,
            adapter_slots: 14,
            max_full_speed_loads: 40,
            requests_per_second: 230.0,
            speeds: &[60, 100, 160],
            noise_percent: 15,
            ..Self::dar_grown()
        }
    }

    /// All installations.
    pub fn all() -> [Self; 4] {
        [
            Self::dar(),
            Self::institute(),
            Self::dar_grown(),
            Self::uneven(),
        ]
    }
}
