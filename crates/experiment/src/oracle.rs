//! What the same slots and store limits allow to somebody who knows more: one cache of all slots,
//! one queue at the store, one load for all waiting requests of an adapter. It loads on demand only
//! and has no batches, pins or latencies. This is a comparison, not a proof: loading ahead of
//! demand could do better.

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::{
    agenda::{MILLI, Micros, SECOND},
    deployment::Deployment,
    figures::Figures,
    machine::PREFILL,
    scenario::{EVENT, OUTAGE, Scenario, WARM_UP},
    trace::{Arrival, SHIFT_PLACES},
};

/// The time of the first decoding step.
const FIRST_STEP: Micros = 15 * MILLI;

/// What the last token takes after the first, for each token.
const TOKEN: Micros = 16 * MILLI;

/// What is known beforehand.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Knowledge {
    /// Every request: the adapter whose next request is farthest away is evicted.
    Future,
    /// How popular each adapter is at present: the least popular one is evicted. Where requests
    /// are independent of each other, no policy that does not see the future does better.
    Popularity,
}

struct Cache<'a> {
    knowledge: Knowledge,
    adapters: usize,
    shifted: usize,
    trace: &'a [Arrival],
    uses: HashMap<usize, VecDeque<Micros>>,
    loaded: HashMap<usize, Micros>,
    order: BTreeSet<(Micros, usize)>,
    slots: usize,
}

impl<'a> Cache<'a> {
    fn new(trace: &'a [Arrival], knowledge: Knowledge, deployment: &Deployment) -> Self {
        let mut uses: HashMap<usize, VecDeque<Micros>> = HashMap::new();
        for arrival in trace {
            uses.entry(arrival.adapter)
                .or_default()
                .push_back(arrival.at);
        }
        Self {
            knowledge,
            adapters: deployment.adapters,
            shifted: 0,
            trace,
            uses,
            loaded: HashMap::new(),
            order: BTreeSet::new(),
            slots: deployment.total_slots(),
        }
    }

    /// The place in the order of eviction; the greatest goes first.
    fn rank(&mut self, adapter: usize, now: Micros) -> Micros {
        match self.knowledge {
            Knowledge::Future => self.next_use(adapter, now),
            Knowledge::Popularity => {
                let rank = (adapter + self.adapters - self.shifted) % self.adapters;
                rank as Micros
            }
        }
    }

    /// Popularity shifts: every adapter gets its new place.
    fn shift(&mut self, now: Micros) {
        self.shifted = SHIFT_PLACES;
        let loaded: Vec<_> = self.loaded.keys().copied().collect();
        for adapter in loaded {
            self.touch(adapter, now);
        }
    }

    fn next_use(&mut self, adapter: usize, after: Micros) -> Micros {
        let Some(uses) = self.uses.get_mut(&adapter) else {
            return Micros::MAX;
        };
        while uses.front().is_some_and(|it| *it <= after) {
            uses.pop_front();
        }
        uses.front().copied().unwrap_or(Micros::MAX)
    }

    /// Moves an adapter to its place by next use.
    fn touch(&mut self, adapter: usize, now: Micros) {
        let next = self.rank(adapter, now);
        if let Some(old) = self.loaded.insert(adapter, next) {
            self.order.remove(&(old, adapter));
        }
        self.order.insert((next, adapter));
    }

    fn load(&mut self, adapter: usize, now: Micros) -> Option<usize> {
        self.touch(adapter, now);
        if self.loaded.len() <= self.slots {
            return None;
        }
        let mut farthest = self.order.iter().rev().filter(|(_, it)| *it != adapter);
        let victim = farthest.next().copied()?;
        self.order.remove(&victim);
        self.loaded.remove(&victim.1);
        Some(victim.1)
    }

    fn clear(&mut self) {
        self.loaded.clear();
        self.order.clear();
    }
}

/// Runs a scenario and measures it.
pub fn run(
    deployment: &Deployment,
    knowledge: Knowledge,
    scenario: Scenario,
    trace: &[Arrival],
) -> Figures {
    let mut cache = Cache::new(trace, knowledge, deployment);
    let mut shifts = scenario == Scenario::Shift;
    let mut figures = Figures {
        batch: deployment.batch,
        places: deployment.places(),
        ..Figures::default()
    };
    let mut arriving: HashMap<usize, Micros> = HashMap::new();
    let mut pace = Pace::new(deployment);
    let mut restarted = scenario != Scenario::Restart;
    for arrival in cache.trace {
        if !restarted && arrival.at >= EVENT {
            restarted = true;
            cache.clear();
            arriving.clear();
        }
        if shifts && arrival.at >= EVENT {
            shifts = false;
            cache.shift(arrival.at);
        }
        let ready = ready_at(
            &mut cache,
            &mut arriving,
            &mut pace,
            scenario,
            arrival,
            &mut figures,
        );
        if arrival.at < WARM_UP {
            continue;
        }
        figures.requests += 1;
        let Some(ready) = ready else {
            figures.refuse(kernel::fault::Kind::LoadTooLate, 0);
            continue;
        };
        let stall = ready - arrival.at;
        figures.stalls.push((stall, arrival.at));
        figures.first_tokens.push(stall + PREFILL + FIRST_STEP);
        figures.in_time += 1;
    }
    figures
}

/// When an arrival's adapter is there; none if that is too late for its deadline.
fn ready_at(
    cache: &mut Cache<'_>,
    arriving: &mut HashMap<usize, Micros>,
    pace: &mut Pace,
    scenario: Scenario,
    arrival: &Arrival,
    figures: &mut Figures,
) -> Option<Micros> {
    if cache.loaded.contains_key(&arrival.adapter) {
        cache.touch(arrival.adapter, arrival.at);
        let there = arriving.get(&arrival.adapter).copied().unwrap_or(0);
        return Some(there.max(arrival.at));
    }
    let ready = pace.peek(arrival.at, scenario) + pace.load_time;
    let service = TOKEN * Micros::from(arrival.tokens);
    if ready + service > arrival.at + arrival.patience {
        return None;
    }
    pace.take(arrival.at, scenario);
    figures.loads += 1;
    arriving.insert(arrival.adapter, ready);
    if cache.load(arrival.adapter, arrival.at).is_some() {
        figures.evictions += 1;
    }
    Some(ready)
}

/// The times at which the store lets loads begin: a token bucket, kept as the time of the load
/// that would fill it.
struct Pace {
    gap: Micros,
    burst: Micros,
    full_at: Micros,
    load_time: Micros,
}

impl Pace {
    fn new(deployment: &Deployment) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "rates are positive and small"
        )]
        let gap = (SECOND as f64 / deployment.rate).ceil() as Micros;
        Self {
            gap,
            burst: u64::from(deployment.full_speed.max(1)),
            full_at: 0,
            load_time: deployment.load_time,
        }
    }

    /// When the next load may begin.
    fn peek(&self, now: Micros, scenario: Scenario) -> Micros {
        let slack = self.gap * (self.burst - 1);
        let start = self.full_at.saturating_sub(slack).max(now);
        let is_down = (EVENT..EVENT + OUTAGE).contains(&start);
        if scenario == Scenario::Outage && is_down {
            return EVENT + OUTAGE;
        }
        start
    }

    fn take(&mut self, now: Micros, scenario: Scenario) {
        let start = self.peek(now, scenario);
        self.full_at = self.full_at.max(start) + self.gap;
    }
}
