//! Learns how long an engine takes to load an adapter when nothing slows the load down.
//!
//! Expected workload: a few loads a second over all hosts, each followed by a request as soon as it should be
//! done. An engine refuses a request that comes too early, which costs a retry; a request that comes later
//! than necessary waits for nothing.

use std::time::Duration;

use crate::Time;

/// Expected duration of a load from the weight store before any was observed.
const INITIAL_FETCH_MS: f64 = 262.0;

/// Expected duration of a load from the engine's memory before any was observed.
const INITIAL_RELOAD_MS: f64 = 45.0;

/// Bounds of the expected duration.
const MIN_MS: f64 = 5.0;
const MAX_MS: f64 = 5000.0;

/// Margin above the longest time after which an adapter was found missing, for the variation of orders and requests
/// on their way.
const MARGIN_MS: f64 = 4.0;

/// Time for which an adapter that was found missing keeps the expected duration above that time. Afterwards
/// shorter durations are tried again.
const MISS_TTL: Duration = Duration::from_mins(1);

/// Part of the expected duration, and minimum in ms, within which a request tells whether the duration fits. It is
/// also the largest step by which a single load changes the expected duration upwards.
const NEAR: f64 = 0.05;
const MIN_NEAR_MS: f64 = 8.0;

/// Part of the expected duration by which a load in time reduces it.
const PROBE_STEP: f64 = 0.0005;

/// Consecutive loads in time after which the reduction is one step larger, and the largest number of steps.
const LOADS_PER_STEP: u32 = 64;
const MAX_STEPS: u32 = 4;

/// Weight with which the expected duration moves to that of a shorter one that was in time.
const SHORTER_WEIGHT: f64 = 0.125;

/// Weight of the newest load in the share of loads that take far longer than expected.
const FAR_WEIGHT: f64 = 0.125;

/// Share of such loads from which they are the rule. Below it, something else has delayed them.
const FAR_SHARE: f64 = 0.5;

/// Observed loads up to which the estimates of other hosts are adopted.
const MIN_SAMPLES: u32 = 16;

/// Source from which an engine loads an adapter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The engine's own memory: it held the adapter recently.
    Memory,
    /// The weight store.
    Store,
}

/// Duration of one load, as far as requests have shown it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Observation {
    /// Longest time since the order after which the adapter was still missing; `None` if the first request found it.
    pub missing_at: Option<Duration>,
    /// Time since the order after which a request found the adapter.
    pub found_at: Duration,
}

/// Expected duration of a load that nothing slows down.
#[derive(Clone, Debug)]
pub struct LoadTime {
    expected_ms: f64,
    /// Longest time in ms after which an adapter was missing, and when that was observed.
    longest_miss: Option<(f64, Time)>,
    /// Loads in time since the last one that was not.
    in_time: u32,
    /// Decayed share of loads that took far longer than expected.
    far_share: f64,
    samples: u32,
}

impl LoadTime {
    /// Creates the initial estimate.
    pub fn new(source: Source) -> Self {
        Self {
            expected_ms: match source {
                Source::Memory => INITIAL_RELOAD_MS,
                Source::Store => INITIAL_FETCH_MS,
            },
            longest_miss: None,
            in_time: 0,
            far_share: 0.0,
            samples: 0,
        }
    }

    /// Returns the expected duration.
    pub fn expected(&self) -> Duration {
        Duration::from_secs_f64(self.expected_ms / 1000.0)
    }

    /// Returns the number of observed loads.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Adjusts the estimate by a load of any host.
    pub fn observe(&mut self, observation: &Observation, now: Time) {
        self.samples = self.samples.saturating_add(1);
        let found_ms = to_ms(observation.found_at);
        match observation.missing_at.map(to_ms) {
            Some(missing_ms) => self.observe_late(missing_ms, found_ms, now),
            None => self.observe_in_time(found_ms, now),
        }
        self.expected_ms = self.expected_ms.clamp(MIN_MS, MAX_MS);
    }

    /// Moves the estimate towards that of another host if this one has observed few loads itself.
    pub fn blend(&mut self, remote: Duration, remote_samples: u32) {
        let remote_ms = to_ms(remote);
        if self.samples < MIN_SAMPLES && remote_samples >= MIN_SAMPLES && remote_ms >= MIN_MS {
            self.expected_ms = f64::midpoint(self.expected_ms, remote_ms.min(MAX_MS));
        }
    }

    fn observe_late(&mut self, missing_ms: f64, found_ms: f64, now: Time) {
        let is_far = missing_ms > self.expected_ms + self.near_ms();
        let sample = if is_far { 1.0 } else { 0.0 };
        self.far_share += (sample - self.far_share) * FAR_WEIGHT;
        if is_far && self.far_share < FAR_SHARE {
            return;
        }
        let gap_ms = (found_ms - missing_ms).max(0.0);
        let target_ms = missing_ms + (gap_ms / 2.0).min(self.near_ms());
        self.expected_ms = self.expected_ms.max(target_ms);
        let known = self.longest_miss(now).unwrap_or(0.0);
        if missing_ms >= known {
            self.longest_miss = Some((missing_ms, now));
        }
        self.in_time = 0;
    }

    fn observe_in_time(&mut self, found_ms: f64, now: Time) {
        // A request that came later than necessary shows nothing.
        if found_ms > self.expected_ms + self.near_ms() {
            return;
        }
        self.far_share -= self.far_share * FAR_WEIGHT;
        self.in_time = self.in_time.saturating_add(1);
        let steps = (1 + self.in_time / LOADS_PER_STEP).min(MAX_STEPS);
        let excess_ms = (self.expected_ms - found_ms).max(0.0);
        let shorter_ms =
            self.expected_ms * (1.0 - PROBE_STEP * f64::from(steps)) - excess_ms * SHORTER_WEIGHT;
        let lowest_ms = self.longest_miss(now).map_or(0.0, |it| it + MARGIN_MS);
        self.expected_ms = shorter_ms.max(lowest_ms.min(self.expected_ms));
    }

    fn longest_miss(&self, now: Time) -> Option<f64> {
        let recent = self.longest_miss.filter(|it| it.1 + MISS_TTL > now);
        recent.map(|it| it.0)
    }

    fn near_ms(&self) -> f64 {
        (self.expected_ms * NEAR).max(MIN_NEAR_MS)
    }
}

fn to_ms(it: Duration) -> f64 {
    it.as_secs_f64() * 1000.0
}
