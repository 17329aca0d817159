//! Policies for comparison that know the requests or the popularity of adapters in advance, with the
//! same adapter slots and store limits.
//!
//! The model has one cache of all slots, one queue at the store, and one load for all requests that
//! wait for an adapter. It loads on demand only, and has no batches, pins or latencies. The results
//! are for comparison and are not proven bounds: a policy that loads ahead of demand could do
//! better.

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::{
    deployment::Deployment,
    engine::PREFILL_TIME,
    event_queue::{MILLISECOND, Micros, SECOND},
    metrics::Metrics,
    scenario::{EVENT_AT, OUTAGE_DURATION, Scenario, WARM_UP},
    trace::{Arrival, SHIFT_RANKS},
};

/// Duration of the first decoding step.
const FIRST_STEP_TIME: Micros = 15 * MILLISECOND;

/// Time per token of an answer.
const TIME_PER_TOKEN: Micros = 16 * MILLISECOND;

/// Knowledge of a policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Knowledge {
    /// The policy knows every request, and evicts the adapter whose next request is farthest away.
    Future,
    /// The policy knows the present popularity of each adapter, and evicts the least popular one.
    /// Where requests are independent of each other, no policy without knowledge of the future does
    /// better.
    Popularity,
}

/// A cache of all adapter slots of a fleet.
struct Cache<'a> {
    knowledge: Knowledge,
    adapter_count: usize,
    /// Number of ranks by which popularity has shifted.
    popularity_shift: usize,
    trace: &'a [Arrival],
    /// Times of the remaining requests of each adapter.
    future_uses: HashMap<usize, VecDeque<Micros>>,
    /// Loaded adapters and their eviction keys.
    loaded: HashMap<usize, Micros>,
    /// Eviction keys and adapters. The last one is evicted first.
    eviction_order: BTreeSet<(Micros, usize)>,
    /// Maximum number of loaded adapters.
    slots: usize,
}

impl<'a> Cache<'a> {
    fn new(trace: &'a [Arrival], knowledge: Knowledge, deployment: &Deployment) -> Self {
        let mut future_uses: HashMap<usize, VecDeque<Micros>> = HashMap::new();
        for arrival in trace {
            future_uses
                .entry(arrival.adapter)
                .or_default()
                .push_back(arrival.at);
        }
        Self {
            knowledge,
            adapter_count: deployment.adapters,
            popularity_shift: 0,
            trace,
            future_uses,
            loaded: HashMap::new(),
            eviction_order: BTreeSet::new(),
            slots: deployment.total_slots(),
        }
    }

    /// Returns the eviction key of an adapter: the time of its next request, or its popularity rank.
    /// The adapter with the greatest key is evicted first.
    fn eviction_key(&mut self, adapter: usize, now: Micros) -> Micros {
        match self.knowledge {
            Knowledge::Future => self.next_use(adapter, now),
            Knowledge::Popularity => {
                let rank =
                    (adapter + self.adapter_count - self.popularity_shift) % self.adapter_count;
                rank as Micros
            }
        }
    }

    /// Shifts the popularity of all adapters and updates the eviction keys.
    fn shift_popularity(&mut self, now: Micros) {
        self.popularity_shift = SHIFT_RANKS;
        let loaded: Vec<_> = self.loaded.keys().copied().collect();
        for adapter in loaded {
            self.update_key(adapter, now);
        }
    }

    /// Returns the time of the next request of an adapter.
    fn next_use(&mut self, adapter: usize, after: Micros) -> Micros {
        let Some(future_uses) = self.future_uses.get_mut(&adapter) else {
            return Micros::MAX;
        };
        while future_uses.front().is_some_and(|it| *it <= after) {
            future_uses.pop_front();
        }
        future_uses.front().copied().unwrap_or(Micros::MAX)
    }

    /// Updates the eviction key of an adapter, and adds the adapter if it is not loaded.
    fn update_key(&mut self, adapter: usize, now: Micros) {
        let key = self.eviction_key(adapter, now);
        if let Some(old_key) = self.loaded.insert(adapter, key) {
            self.eviction_order.remove(&(old_key, adapter));
        }
        self.eviction_order.insert((key, adapter));
    }

    /// Adds an adapter and returns the adapter that was evicted for it, if any.
    fn insert(&mut self, adapter: usize, now: Micros) -> Option<usize> {
        self.update_key(adapter, now);
        if self.loaded.len() <= self.slots {
            return None;
        }
        let mut candidates = self
            .eviction_order
            .iter()
            .rev()
            .filter(|(_, it)| *it != adapter);
        let victim = candidates.next().copied()?;
        self.eviction_order.remove(&victim);
        self.loaded.remove(&victim.1);
        Some(victim.1)
    }

    fn clear(&mut self) {
        self.loaded.clear();
        self.eviction_order.clear();
    }
}

/// Runs a scenario and returns its measurements.
pub fn run(
    deployment: &Deployment,
    knowledge: Knowledge,
    scenario: Scenario,
    trace: &[Arrival],
) -> Metrics {
    let mut cache = Cache::new(trace, knowledge, deployment);
    let mut shift_pending = scenario == Scenario::Shift;
    let mut metrics = Metrics {
        batch_size: deployment.batch_size,
        batch_capacity: deployment.batch_capacity(),
        ..Metrics::default()
    };
    let mut load_ends: HashMap<usize, Micros> = HashMap::new();
    let mut limiter = RateLimiter::new(deployment);
    let mut restart_handled = scenario != Scenario::Restart;
    for arrival in cache.trace {
        if !restart_handled && arrival.at >= EVENT_AT {
            restart_handled = true;
            cache.clear();
            load_ends.clear();
        }
        if shift_pending && arrival.at >= EVENT_AT {
            shift_pending = false;
            cache.shift_popularity(arrival.at);
        }
        let ready_at = load_adapter(
            &mut cache,
            &mut load_ends,
            &mut limiter,
            scenario,
            arrival,
            &mut metrics,
        );
        if arrival.at < WARM_UP {
            continue;
        }
        metrics.requests += 1;
        let Some(ready_at) = ready_at else {
            metrics.record_refusal(kernel::fault::Kind::LoadTooLate, 0);
            continue;
        };
        let stall = ready_at - arrival.at;
        metrics.stalls.push((stall, arrival.at));
        metrics
            .first_token_times
            .push(stall + PREFILL_TIME + FIRST_STEP_TIME);
        metrics.in_time += 1;
    }
    metrics
}

/// Loads the adapter of an arrival if necessary. Returns when the adapter is loaded, or `None` if
/// that is too late for the deadline.
fn load_adapter(
    cache: &mut Cache<'_>,
    load_ends: &mut HashMap<usize, Micros>,
    limiter: &mut RateLimiter,
    scenario: Scenario,
    arrival: &Arrival,
    metrics: &mut Metrics,
) -> Option<Micros> {
    if cache.loaded.contains_key(&arrival.adapter) {
        cache.update_key(arrival.adapter, arrival.at);
        let load_end = load_ends.get(&arrival.adapter).copied().unwrap_or(0);
        return Some(load_end.max(arrival.at));
    }
    let ready_at = limiter.next_start(arrival.at, scenario) + limiter.load_time;
    let service_time = TIME_PER_TOKEN * Micros::from(arrival.answer_tokens);
    if ready_at + service_time > arrival.at + arrival.time_limit {
        return None;
    }
    limiter.take_token(arrival.at, scenario);
    metrics.loads += 1;
    load_ends.insert(arrival.adapter, ready_at);
    if cache.insert(arrival.adapter, arrival.at).is_some() {
        metrics.evictions += 1;
    }
    Some(ready_at)
}

/// The rate limit of the store: a token bucket, stored as the time at which the bucket is full
/// again.
struct RateLimiter {
    /// Time in which one token is refilled.
    token_interval: Micros,
    burst: Micros,
    /// Time at which the bucket is full.
    full_at: Micros,
    load_time: Micros,
}

impl RateLimiter {
    fn new(deployment: &Deployment) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "rates are positive and small"
        )]
        let token_interval = (SECOND as f64 / deployment.loads_per_second).ceil() as Micros;
        Self {
            token_interval,
            burst: u64::from(deployment.load_burst.max(1)),
            full_at: 0,
            load_time: deployment.load_time,
        }
    }

    /// Returns when the next load can start.
    fn next_start(&self, now: Micros, scenario: Scenario) -> Micros {
        let burst_time = self.token_interval * (self.burst - 1);
        let start = self.full_at.saturating_sub(burst_time).max(now);
        let is_down = (EVENT_AT..EVENT_AT + OUTAGE_DURATION).contains(&start);
        if scenario == Scenario::Outage && is_down {
            return EVENT_AT + OUTAGE_DURATION;
        }
        start
    }

    /// Takes the token of the next load.
    fn take_token(&mut self, now: Micros, scenario: Scenario) {
        let start = self.next_start(now, scenario);
        self.full_at = self.full_at.max(start) + self.token_interval;
    }
}
