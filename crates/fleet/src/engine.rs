//! What this host believes of one engine or instance of a plain service.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::{
    Time,
    circuit::Circuit,
    listing::{Held, Listing, Name, State},
    prefix::Cache,
};

/// Time for which news of a load or an unload goes before the list, which lags behind by a heartbeat
/// and a watch.
const NEWS_HOLDS: Duration = Duration::from_millis(4500);

/// Time after which another host's word on its own load is dropped.
const OTHERS_HOLD: Duration = Duration::from_millis(1500);

/// Half-life of the count of uses of an adapter, by which victims are chosen. Demand moves within
/// seconds, and an adapter that is fetched again costs a third of a second.
const USES_HALVE: Duration = Duration::from_secs(8);

/// Prompt tokens that an engine is expected to read in a millisecond while it also generates; its own
/// slowness corrects it.
pub const PREFILL_TOKENS_PER_MS: f64 = 22.0;

/// Prompts that are remembered as sent to an engine.
const SENDS: usize = 256;

/// Time for which sent prompts are remembered, read or not: longer than any pause that a stream may have.
const RECENT: Duration = Duration::from_millis(600);

/// Pause after a request that came before the adapter.
const TRY_AGAIN: Duration = Duration::from_millis(30);

/// Requests that may come before the adapter until it isn't expected any more.
const TRIALS: u32 = 8;

/// Weight of the newest first event in the slowness of an engine.
const NEWEST: f64 = 0.1;

/// Work of one host at one engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Workload {
    /// Requests sent and not ended.
    pub running: u32,
    /// Prompt tokens of requests whose first event isn't there.
    pub prefill_tokens: u32,
}

/// What is known of one adapter or base model at an engine.
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    /// Its version.
    pub version: u64,
    /// When a load by order was learned of; zero if only the list says it.
    pub loaded_at: Time,
    /// Requests of this host that run with it.
    pub running: u32,
    /// Requests of other hosts that run with it, as they said last.
    pub remote_running: HashMap<Arc<str>, (Time, u32)>,
    /// Whether a load is only believed to be done: the time that it takes isn't known exactly, so one
    /// request tries it first.
    trial: Option<Trial>,
    uses: f64,
    used: Time,
}

/// The trial of a load that should be done.
#[derive(Clone, Copy, Debug, Default)]
struct Trial {
    /// Refusals so far.
    refused: u32,
    /// When the next request may try.
    next: Time,
}

impl Estimate {
    /// Whether a request may go to it: any, or the one that tries a load which should be done.
    pub fn accepts_request(&self, now: Time) -> bool {
        self.trial
            .is_none_or(|it| self.running == 0 && it.next <= now)
    }

    /// Whether no request has been answered since a load that should be done.
    pub fn is_unconfirmed(&self) -> bool {
        self.trial.is_some()
    }

    /// Notes that a request was taken. Returns whether the load was on trial.
    pub fn confirm(&mut self) -> bool {
        self.trial.take().is_some()
    }

    /// Notes that a request was refused since the adapter isn't there; false if it isn't coming.
    fn refuse(&mut self, now: Time) -> bool {
        let Some(trial) = &mut self.trial else {
            return false;
        };
        trial.refused += 1;
        trial.next = now + TRY_AGAIN;
        trial.refused <= TRIALS
    }

    /// Counts requests that began.
    pub fn record_uses(&mut self, now: Time, count: u32) {
        self.uses = self.uses(now) + f64::from(count);
        self.used = now;
    }

    /// Decayed count of uses.
    pub fn uses(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.used).as_secs_f64();
        self.uses * (-age / USES_HALVE.as_secs_f64()).exp2()
    }

    /// When it was used last.
    pub fn last_used(&self) -> Time {
        self.used.max(self.loaded_at)
    }

    /// Requests that run with it, of all hosts.
    pub fn total_running(&self, now: Time) -> u32 {
        let fresh = |it: &&(Time, u32)| it.0 + OTHERS_HOLD > now;
        let others: u32 = self
            .remote_running
            .values()
            .filter(fresh)
            .map(|it| it.1)
            .sum();
        self.running + others
    }
}

/// An engine or an instance of a plain service.
#[derive(Clone, Debug)]
pub struct Engine {
    /// What the list said last.
    pub listing: Listing,
    /// The base models and adapters that it is believed to hold.
    pub held: HashMap<Name, Estimate>,
    dropped: HashMap<Name, Time>,
    /// Work of this host.
    pub local_work: Workload,
    others: HashMap<Arc<str>, (Time, Workload)>,
    /// What its answers show.
    pub circuit: Circuit,
    /// When it will have read all prompts that hosts have sent it, as far as they told.
    read_by: Time,
    /// Prompts that were sent to it, with when, as far as it isn't known that they are read.
    sends: VecDeque<(Time, u32)>,
    /// Prompts that were sent to it a moment ago, read or not.
    recent: VecDeque<(Time, u32)>,
    /// Parts of prompts that it is believed to keep.
    pub prefix_cache: Cache,
    /// Time to the first event against the expected time, smoothed.
    pub slowness: f64,
    /// When its entry vanished, if it may only have lapsed.
    pub expires_at: Option<Time>,
    /// When the last good answer came.
    pub last_success_at: Time,
}

impl Engine {
    /// An engine as the list describes it.
    pub fn new(listing: Listing, now: Time) -> Self {
        let mut engine = Self {
            listing: Listing {
                held: Vec::new(),
                ..listing.clone()
            },
            held: HashMap::new(),
            dropped: HashMap::new(),
            local_work: Workload::default(),
            others: HashMap::new(),
            circuit: Circuit::default(),
            read_by: Time::ZERO,
            sends: VecDeque::new(),
            recent: VecDeque::new(),
            prefix_cache: Cache::default(),
            slowness: 1.0,
            expires_at: None,
            last_success_at: Time::ZERO,
        };
        engine.update(listing, now);
        engine
    }

    /// Takes over what the list says now. A later life under the same id holds nothing of before.
    pub fn update(&mut self, listing: Listing, now: Time) {
        if listing.incarnation != self.listing.incarnation {
            self.held.clear();
            self.dropped.clear();
            self.prefix_cache.clear();
            self.circuit = Circuit::default();
            self.slowness = 1.0;
        }
        self.expires_at = None;
        self.dropped.retain(|_, at| *at + NEWS_HOLDS > now);
        for Held { name, version } in &listing.held {
            if self.dropped.contains_key(name) {
                continue;
            }
            let belief = self.held.entry(name.clone()).or_default();
            if belief.loaded_at.is_zero() || belief.loaded_at + NEWS_HOLDS < now {
                belief.version = *version;
                belief.loaded_at = Time::ZERO;
                belief.trial = None;
            }
        }
        let listed = |name: &Name| listing.held.iter().any(|it| it.name == *name);
        self.held.retain(|name, belief| {
            listed(name) || (!belief.loaded_at.is_zero() && belief.loaded_at + NEWS_HOLDS > now)
        });
        self.listing = listing;
    }

    /// Notes that it holds an adapter or a base model now.
    pub fn record_load(&mut self, name: &Name, version: u64, now: Time) {
        self.dropped.remove(name);
        let belief = self.held.entry(name.clone()).or_default();
        belief.version = version;
        belief.loaded_at = now;
        belief.trial = Some(Trial::default());
    }

    /// Notes that it refused a request since it doesn't hold the adapter. Returns whether the adapter
    /// was expected just now.
    pub fn record_miss(&mut self, name: &str, now: Time) -> bool {
        let Some(belief) = self.held.get_mut(name) else {
            return false;
        };
        let expected = belief.is_unconfirmed();
        if !belief.refuse(now) {
            self.remove_held(name, now);
        }
        expected
    }

    /// Notes that it doesn't hold it, or not for long.
    pub fn remove_held(&mut self, name: &str, now: Time) {
        if let Some((name, _)) = self.held.remove_entry(name) {
            self.dropped.insert(name, now);
        }
    }

    /// Notes the load that another host puts on it.
    pub fn record_remote_work(&mut self, host: &Arc<str>, load: Workload, now: Time) {
        self.others.insert(host.clone(), (now, load));
    }

    /// The load of all hosts.
    pub fn total_work(&self, now: Time) -> Workload {
        let fresh = |it: &&(Time, Workload)| it.0 + OTHERS_HOLD > now;
        let others = self.others.values().filter(fresh);
        others.fold(self.local_work, |sum, (_, it)| Workload {
            running: sum.running + it.running,
            prefill_tokens: sum.prefill_tokens + it.prefill_tokens,
        })
    }

    /// Notes that a host has sent it a prompt of which it has to read so many tokens.
    pub fn record_prompt(&mut self, tokens: u32, now: Time) {
        self.recent.push_back((now, tokens));
        while self.recent.front().is_some_and(|it| it.0 + RECENT < now) {
            self.recent.pop_front();
        }
        self.sends.push_back((now, tokens));
        if self.sends.len() > SENDS {
            self.sends.pop_front();
        }
        self.read_by = self.read_by.max(now) + self.reading(f64::from(tokens));
    }

    /// Prompt tokens that were sent to it within this time.
    pub fn tokens_sent_within(&self, window: Duration, now: Time) -> f64 {
        let recent = self.recent.iter().rev();
        recent
            .take_while(|it| it.0 + window > now)
            .map(|it| f64::from(it.1))
            .sum()
    }

    /// Notes that it has read a prompt that was sent at `sent`, and with it those before.
    fn has_read(&mut self, sent: Time, now: Time) {
        while self.sends.front().is_some_and(|it| it.0 <= sent) {
            self.sends.pop_front();
        }
        let left: f64 = self.sends.iter().map(|it| f64::from(it.1)).sum();
        self.read_by = self.read_by.min(now + self.reading(left));
    }

    fn reading(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens / PREFILL_TOKENS_PER_MS / 1000.0 * self.slowness)
    }

    /// Prompt tokens that it has yet to read.
    pub fn pending_prefill_tokens(&self, now: Time) -> f64 {
        let left = self.read_by.saturating_sub(now).as_secs_f64();
        left * 1000.0 * PREFILL_TOKENS_PER_MS / self.slowness
    }

    /// Notes that the first event came for a request that was sent at `sent`, against what was expected.
    pub fn record_first_event(&mut self, sent: Time, expected: Duration, now: Time) {
        self.has_read(sent, now);
        let took = now.saturating_sub(sent);
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.02);
        self.slowness = (self.slowness * (1.0 - NEWEST) + ratio * NEWEST).clamp(0.8, 20.0);
    }

    /// Notes another host's word that this life of it takes no more work.
    pub fn mark_leaving(&mut self, born: u64) {
        if self.listing.incarnation == born && self.accepts_work() {
            self.listing.state = State::Leaving(None);
        }
    }

    /// Whether new work may go to it.
    pub fn accepts_work(&self) -> bool {
        self.listing.state == State::Ready
    }
}
