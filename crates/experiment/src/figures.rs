//! What an experiment measures.

use std::collections::BTreeMap;

use kernel::fault::Kind;

use crate::agenda::{Micros, SECOND};

/// The measurements of one run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Requests counted.
    pub requests: u64,
    /// Load stall and arrival time of each admitted request.
    pub stalls: Vec<(Micros, Micros)>,
    /// Time to the first token of each admitted request.
    pub first_tokens: Vec<Micros>,
    /// Refusals by kind.
    pub refusals: BTreeMap<Kind, u64>,
    /// How long refused requests had waited.
    pub refusal_waits: Vec<Micros>,
    /// Answers that ended within their deadline.
    pub in_time: u64,
    /// Admitted requests without a whole answer within their deadline.
    pub misses: u64,
    /// Attempts that an engine refused and that were placed anew.
    pub retries: u64,
    /// Answers by an adapter that the request did not name.
    pub wrong: u64,
    /// Loads that reached the store.
    pub loads: u64,
    /// Adapters evicted.
    pub evictions: u64,
    /// Loads that the store refused because they went over its rate.
    pub over_rate: u64,
    /// The most loads that began within one second.
    pub peak_rate: u64,
    /// The most loads in flight.
    pub peak_in_flight: u64,
    /// Time of engines with a request running.
    pub busy: Micros,
    /// The sum of the running times of all requests.
    pub work: Micros,
    /// The sum of the running times of the requests that were answered in time.
    pub useful: Micros,
    /// Places in the batches of all engines.
    pub places: u32,
    /// Batch size.
    pub batch: u32,
    /// Length of the part that is counted.
    pub length: Micros,
}

impl Figures {
    /// Notes a refusal.
    pub fn refuse(&mut self, kind: Kind, waited: Micros) {
        *self.refusals.entry(kind).or_default() += 1;
        self.refusal_waits.push(waited);
    }

    /// Adds the measurements of another run of the same scenario.
    pub fn merge(&mut self, other: Self) {
        self.requests += other.requests;
        self.stalls.extend(other.stalls);
        self.first_tokens.extend(other.first_tokens);
        self.refusal_waits.extend(other.refusal_waits);
        for (kind, count) in other.refusals {
            *self.refusals.entry(kind).or_default() += count;
        }
        self.in_time += other.in_time;
        self.misses += other.misses;
        self.retries += other.retries;
        self.wrong += other.wrong;
        self.loads += other.loads;
        self.evictions += other.evictions;
        self.over_rate += other.over_rate;
        self.peak_rate = self.peak_rate.max(other.peak_rate);
        self.peak_in_flight = self.peak_in_flight.max(other.peak_in_flight);
        self.busy += other.busy;
        self.work += other.work;
        self.useful += other.useful;
        self.places = other.places;
        self.batch = other.batch;
        self.length += other.length;
    }

    /// The load stalls in order.
    pub fn sorted_stalls(&self) -> Vec<Micros> {
        let mut stalls: Vec<_> = self.stalls.iter().map(|(stall, _)| *stall).collect();
        stalls.sort_unstable();
        stalls
    }

    /// The times to first token in order.
    pub fn sorted_first_tokens(&self) -> Vec<Micros> {
        let mut times = self.first_tokens.clone();
        times.sort_unstable();
        times
    }

    /// All time that requests waited for their adapters, refused ones included.
    pub fn total_stall(&self) -> Micros {
        let admitted: Micros = self.stalls.iter().map(|(stall, _)| stall).sum();
        admitted + self.refusal_waits.iter().sum::<Micros>()
    }

    /// The share of admitted requests that waited for their adapter, in thousandths.
    pub fn stalled_permille(&self) -> u64 {
        let stalled = self.stalls.iter().filter(|(stall, _)| *stall > 0).count();
        permille(stalled as u64, self.stalls.len() as u64)
    }

    /// How full the batches of engines with work were, in thousandths.
    pub fn batch_permille(&self) -> u64 {
        permille(self.work, self.busy * u64::from(self.batch))
    }

    /// The share of all places of the fleet that ran requests answered in time, in thousandths.
    pub fn useful_permille(&self) -> u64 {
        permille(self.useful, self.length * u64::from(self.places))
    }

    /// Refusals of every kind.
    pub fn refused(&self) -> u64 {
        self.refusals.values().sum()
    }

    /// Answers within their deadline in a thousand seconds.
    pub fn goodput(&self) -> u64 {
        self.in_time * 1000 * SECOND / self.length.max(1)
    }
}

/// A quotient in thousandths.
pub fn permille(part: u64, whole: u64) -> u64 {
    let whole = u128::from(whole.max(1));
    u64::try_from(u128::from(part) * 1000 / whole).unwrap_or(u64::MAX)
}

/// The value below which a share of the sorted values lies, in thousandths.
pub fn quantile(sorted: &[Micros], permille: usize) -> Micros {
    if sorted.is_empty() {
        return 0;
    }
    let index = (sorted.len() * permille)
        .div_ceil(1000)
        .clamp(1, sorted.len());
    sorted[index - 1]
}
