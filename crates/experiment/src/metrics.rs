//! Measurements of a simulated run and the values derived from them.

use std::collections::BTreeMap;

use kernel::fault::Kind;

use crate::event_queue::{Micros, SECOND};

/// The measurements of one run.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Requests that arrived after the warm-up. Only these are measured.
    pub requests: u64,
    /// Load stall and arrival time of each admitted request.
    pub stalls: Vec<(Micros, Micros)>,
    /// Time to the first token of each admitted request.
    pub first_token_times: Vec<Micros>,
    /// Refusals by kind.
    pub refusals: BTreeMap<Kind, u64>,
    /// Time for which each refused request had waited.
    pub refusal_waits: Vec<Micros>,
    /// Answers that were completed within their deadline.
    pub in_time: u64,
    /// Admitted requests whose answer was not completed within their deadline.
    pub deadline_misses: u64,
    /// Attempts that an engine refused, after which the request was placed again.
    pub retries: u64,
    /// Answers by an adapter other than the requested one.
    pub wrong_adapter_answers: u64,
    /// Loads that the store accepted, including those of the warm-up.
    pub loads: u64,
    /// Adapters that were evicted, including those of the warm-up.
    pub evictions: u64,
    /// Loads that the store refused because they exceeded its rate limit, including those of the
    /// warm-up.
    pub rate_limited_loads: u64,
    /// Maximum number of loads that started within one second.
    pub peak_load_rate: u64,
    /// Maximum number of loads in flight at once.
    pub peak_in_flight: u64,
    /// Sum over all engines of the time after the warm-up with at least one running request.
    pub busy_time: Micros,
    /// Sum of the running times of all requests after the warm-up.
    pub running_time: Micros,
    /// Sum of the running times of the requests that were answered within their deadline.
    pub useful_time: Micros,
    /// Maximum number of requests that all engines run at once.
    pub batch_capacity: u32,
    /// Maximum number of requests in the batch of one engine.
    pub batch_size: u32,
    /// Duration of the measured part of the run.
    pub duration: Micros,
}

impl Metrics {
    /// Records a refusal and the time for which the request had waited.
    pub fn record_refusal(&mut self, kind: Kind, waited: Micros) {
        *self.refusals.entry(kind).or_default() += 1;
        self.refusal_waits.push(waited);
    }

    /// Adds the measurements of another run of the same scenario.
    pub fn merge(&mut self, other: Self) {
        self.requests += other.requests;
        self.stalls.extend(other.stalls);
        self.first_token_times.extend(other.first_token_times);
        self.refusal_waits.extend(other.refusal_waits);
        for (kind, count) in other.refusals {
            *self.refusals.entry(kind).or_default() += count;
        }
        self.in_time += other.in_time;
        self.deadline_misses += other.deadline_misses;
        self.retries += other.retries;
        self.wrong_adapter_answers += other.wrong_adapter_answers;
        self.loads += other.loads;
        self.evictions += other.evictions;
        self.rate_limited_loads += other.rate_limited_loads;
        self.peak_load_rate = self.peak_load_rate.max(other.peak_load_rate);
        self.peak_in_flight = self.peak_in_flight.max(other.peak_in_flight);
        self.busy_time += other.busy_time;
        self.running_time += other.running_time;
        self.useful_time += other.useful_time;
        self.batch_capacity = other.batch_capacity;
        self.batch_size = other.batch_size;
        self.duration += other.duration;
    }

    /// Load stalls in ascending order.
    pub fn sorted_stalls(&self) -> Vec<Micros> {
        let mut stalls: Vec<_> = self.stalls.iter().map(|(stall, _)| *stall).collect();
        stalls.sort_unstable();
        stalls
    }

    /// Times to the first token in ascending order.
    pub fn sorted_first_token_times(&self) -> Vec<Micros> {
        let mut times = self.first_token_times.clone();
        times.sort_unstable();
        times
    }

    /// Total time for which requests waited for their adapters, including refused requests.
    pub fn total_stall(&self) -> Micros {
        let admitted: Micros = self.stalls.iter().map(|(stall, _)| stall).sum();
        admitted + self.refusal_waits.iter().sum::<Micros>()
    }

    /// Share of the admitted requests that waited for their adapter, in thousandths.
    pub fn stalled_permille(&self) -> u64 {
        let stalled = self.stalls.iter().filter(|(stall, _)| *stall > 0).count();
        permille(stalled as u64, self.stalls.len() as u64)
    }

    /// Mean fill level of the batches of engines that run at least one request, in thousandths.
    pub fn batch_permille(&self) -> u64 {
        permille(
            self.running_time,
            self.busy_time * u64::from(self.batch_size),
        )
    }

    /// Share of the batch capacity of all engines that was used by requests answered within their
    /// deadline, in thousandths.
    pub fn useful_permille(&self) -> u64 {
        permille(
            self.useful_time,
            self.duration * u64::from(self.batch_capacity),
        )
    }

    /// Number of refusals of all kinds.
    pub fn total_refusals(&self) -> u64 {
        self.refusals.values().sum()
    }

    /// Answers within their deadline per 1000 seconds.
    pub fn goodput(&self) -> u64 {
        self.in_time * 1000 * SECOND / self.duration.max(1)
    }
}

/// Returns `part / whole` in thousandths.
pub fn permille(part: u64, whole: u64) -> u64 {
    let whole = u128::from(whole.max(1));
    u64::try_from(u128::from(part) * 1000 / whole).unwrap_or(u64::MAX)
}

/// Returns the nearest-rank quantile of sorted values, or 0 if there are none. `permille` is the
/// quantile in thousandths.
pub fn quantile(sorted: &[Micros], permille: usize) -> Micros {
    if sorted.is_empty() {
        return 0;
    }
    let index = (sorted.len() * permille)
        .div_ceil(1000)
        .clamp(1, sorted.len());
    sorted[index - 1]
}
