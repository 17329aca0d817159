//! Estimated state of one engine or of one instance of a plain service.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::{
    Time,
    backoff::Backoff,
    capacity::{Load, Speed},
    circuit::Circuit,
    decay,
    identity::Identity,
    listing::{Held, Listing, Name, State},
    loader::{Arrival, memory::RecentlyUnloaded},
    origin::BuildId,
    prefix::Cache,
    reading::Reading,
    rendezvous,
    request_limit::{Limit, Rate},
    room::Room,
};

/// Time for which an observed load or unload takes precedence over the platform's list, which lags behind
/// by a heartbeat of the engine and a watch call.
const OBSERVATION_TTL: Duration = Duration::from_millis(4500);

/// Time after which work that another host has reported no longer counts.
const REMOTE_WORK_TTL: Duration = Duration::from_millis(1500);

/// Half-life of the use count of an adapter, by which adapters to evict are chosen. Demand moves to other
/// adapters within seconds, and loading an adapter again costs a third of a second.
const USES_HALF_LIFE: Duration = Duration::from_secs(8);

/// Maximum number of superseded incarnations of an engine that are remembered.
const MAX_SUPERSEDED: usize = 16;

/// Maximum number of prompts with pending prefill that are tracked per engine.
const MAX_PENDING_PROMPTS: usize = 256;

/// Time for which sent prompts are kept for [`Engine::tokens_sent_within`]. It is longer than any pause
/// that a stream may have.
const RECENT_PROMPTS_TTL: Duration = Duration::from_millis(600);

/// Time after the last prompt from which an engine is known to read none.
const IDLE_TIME: Duration = Duration::from_millis(500);

/// Pause after the first request that arrived before the load of its adapter was done. It doubles with each
/// further one up to [`MAX_RETRY_PAUSE`], since each of them spends a retry.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(30);

/// Maximum pause after a request that arrived before the load of its adapter was done.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(240);

/// Refused requests up to which a load that should be done is still expected.
const MAX_REFUSALS: u32 = 6;

/// Work that one host has sent to one engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Workload {
    /// Number of requests that are sent and not ended.
    pub running: u32,
    /// Prompt tokens of the requests that have no first event yet.
    pub prefill_tokens: u32,
}

/// Estimated state of one adapter or base model on an engine.
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    /// The version that the engine holds.
    pub version: u64,
    /// When the load was recorded; zero if only the platform's list names the adapter.
    pub loaded_at: Time,
    /// Running requests of this host.
    pub running: u32,
    /// Running requests of other hosts, with the time of their last report.
    pub remote_running: HashMap<Arc<str>, (Time, u32)>,
    /// Set while the load is only estimated to be done. The duration of a load isn't known exactly, so a
    /// single request is sent first.
    trial: Option<Trial>,
    /// Decayed number of uses at `last_used`.
    uses: f64,
    last_used: Time,
}

/// State of the single request that confirms a load.
#[derive(Clone, Copy, Debug, Default)]
struct Trial {
    /// Refused requests so far.
    refusals: u32,
    /// When the last of them was sent.
    last_refused: Time,
    /// When the next request may be sent.
    next_attempt: Time,
}

impl Trial {
    /// Returns what the refused requests show about a load that was expected to end at `due`.
    fn arrival(&self, due: Time) -> Arrival {
        Arrival {
            misses: self.refusals,
            missing_after: self.last_refused.saturating_sub(due),
            found_after: None,
        }
    }
}

impl Estimate {
    /// Returns whether a request may be sent: any request after the load is confirmed, a single one before.
    pub fn accepts_request(&self, now: Time) -> bool {
        self.trial
            .is_none_or(|it| self.running == 0 && it.next_attempt <= now)
    }

    /// Returns whether no request has been answered since a load that should be done.
    pub fn is_unconfirmed(&self) -> bool {
        self.trial.is_some()
    }

    /// Records that a request, sent at `sent`, was served. Returns what that shows about the load if it was unconfirmed.
    pub fn confirm(&mut self, sent: Time) -> Option<Arrival> {
        let trial = self.trial.take()?;
        Some(Arrival {
            found_after: Some(sent.saturating_sub(self.loaded_at)),
            ..trial.arrival(self.loaded_at)
        })
    }

    /// Records a refused request, sent at `sent`. Returns whether the adapter is still expected to be loaded.
    fn record_refusal(&mut self, sent: Time, now: Time) -> bool {
        let Some(trial) = &mut self.trial else {
            return false;
        };
        let pause = MIN_RETRY_PAUSE * (1 << trial.refusals.min(8));
        trial.refusals += 1;
        trial.last_refused = sent;
        trial.next_attempt = now + pause.min(MAX_RETRY_PAUSE);
        trial.refusals <= MAX_REFUSALS
    }

    /// Counts requests that began.
    pub fn record_uses(&mut self, now: Time, count: u32) {
        self.uses = self.uses(now) + f64::from(count);
        self.last_used = now;
    }

    /// Returns the decayed number of uses.
    pub fn uses(&self, now: Time) -> f64 {
        self.uses * decay::factor(self.last_used, USES_HALF_LIFE, now)
    }

    /// Returns the time of the last use or of the load.
    pub fn last_used(&self) -> Time {
        self.last_used.max(self.loaded_at)
    }

    /// Returns the running requests of all hosts.
    pub fn total_running(&self, now: Time) -> u32 {
        let fresh = |it: &&(Time, u32)| it.0 + REMOTE_WORK_TTL > now;
        let others: u32 = self
            .remote_running
            .values()
            .filter(fresh)
            .map(|it| it.1)
            .sum();
        self.running + others
    }
}

/// Meaning of a request that an engine refused because it doesn't hold the adapter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Miss {
    /// The adapter was unloaded, or never loaded.
    Unexpected,
    /// The load of the adapter may still be in progress.
    Early,
    /// The load of the adapter may still be in progress, but it is no longer expected to end.
    Last(Arrival),
}

/// An engine or an instance of a plain service.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Latest entry of the platform's list.
    pub listing: Listing,
    /// When this host first read an entry of the current incarnation.
    pub listed_since: Time,
    /// Earlier incarnations, the oldest first.
    superseded: VecDeque<u64>,
    /// Certainty that the engine is the listed incarnation.
    pub(crate) identity: Identity,
    /// Base models and adapters that the engine is estimated to hold.
    pub held: HashMap<Name, Estimate>,
    /// Adapters that were recently found missing or withdrawn for an order, with the time of the removal.
    recently_removed: HashMap<Name, Time>,
    /// Adapters that the engine probably still has in its memory.
    pub(crate) recently_unloaded: RecentlyUnloaded,
    /// Work of this host.
    pub local_work: Workload,
    /// Work of other hosts, with the time of their last report.
    remote_work: HashMap<Arc<str>, (Time, Workload)>,
    /// Circuit breaker, fed by the responses of the engine.
    pub circuit: Circuit,
    /// Back-off that the engine has asked this host for.
    pub backoff: Backoff,
    /// Limit of the requests that the engine takes from all hosts.
    pub limit: Limit,
    /// Room for requests, if the engine crashes when it refuses too many.
    pub room: Room,
    /// True once this incarnation is known to accept no more work, whatever its entry says later.
    leaving: bool,
    /// When the engine is expected to finish the prefill of all prompts that are known to be sent.
    prefill_end: Time,
    /// Prompts that the engine is reading, and has read of late.
    pub reading: Reading,
    /// Send time and tokens of the prompts whose prefill isn't known to be done.
    pending_prompts: VecDeque<(Time, u32)>,
    /// Send time and tokens of recently sent prompts, whether their prefill is done or not.
    recent_prompts: VecDeque<(Time, u32)>,
    /// Prompt prefixes that the engine is estimated to have cached.
    pub prefix_cache: Cache,
    /// How fast the engine reads prompts.
    pub speed: Speed,
    /// When the engine is removed because its entry has vanished; `None` while it is listed.
    pub expires_at: Option<Time>,
    /// When any host is known to have received the last successful response or event.
    pub last_success_at: Time,
    /// When this host received the last successful response or event.
    pub own_success_at: Time,
}

impl Engine {
    /// Creates an engine from its entry in the platform's list.
    pub fn new(listing: Listing, now: Time) -> Self {
        let mut engine = Self {
            listing: Listing {
                held: Vec::new(),
                ..listing.clone()
            },
            listed_since: now,
            superseded: VecDeque::new(),
            identity: Identity::default(),
            held: HashMap::new(),
            recently_removed: HashMap::new(),
            recently_unloaded: RecentlyUnloaded::default(),
            local_work: Workload::default(),
            remote_work: HashMap::new(),
            circuit: Circuit::default(),
            backoff: Backoff::default(),
            limit: Limit::default(),
            room: Room::default(),
            leaving: false,
            prefill_end: Time::ZERO,
            reading: Reading::default(),
            pending_prompts: VecDeque::new(),
            recent_prompts: VecDeque::new(),
            prefix_cache: Cache::default(),
            speed: Speed::default(),
            expires_at: None,
            last_success_at: Time::ZERO,
            own_success_at: Time::ZERO,
        };
        engine.update(listing, now);
        engine
    }

    /// Adopts the current entry of the platform's list. A new incarnation holds nothing of the previous one.
    /// An entry of a superseded incarnation comes from an older copy of the store and is ignored.
    pub fn update(&mut self, listing: Listing, now: Time) {
        if self.is_superseded(listing.incarnation) {
            return;
        }
        if listing.incarnation != self.listing.incarnation {
            self.supersede(self.listing.incarnation);
            self.listed_since = now;
            self.identity = self.identity.replaced(listing.incarnation, now);
            self.leaving = false;
            self.backoff = Backoff::default();
            self.room.record_restart(now);
            self.held.clear();
            self.recently_removed.clear();
            self.recently_unloaded.clear();
            self.prefix_cache.clear();
            self.circuit = Circuit::default();
            self.speed = self.speed.restarted();
            self.reading = Reading::default();
        }
        self.expires_at = None;
        self.recently_removed
            .retain(|_, at| *at + OBSERVATION_TTL > now);
        for Held { name, version } in &listing.held {
            if self.recently_removed.contains_key(name) {
                continue;
            }
            let estimate = self.held.entry(name.clone()).or_default();
            if estimate.loaded_at.is_zero() || estimate.loaded_at + OBSERVATION_TTL < now {
                estimate.version = *version;
                estimate.loaded_at = Time::ZERO;
                estimate.trial = None;
            }
        }
        let listed = |name: &Name| listing.held.iter().any(|it| it.name == *name);
        self.held.retain(|name, estimate| {
            listed(name)
                || (!estimate.loaded_at.is_zero() && estimate.loaded_at + OBSERVATION_TTL > now)
        });
        self.leaving |= listing.state != State::Ready;
        self.listing = listing;
    }

    /// Returns whether another incarnation was listed after this one. Starts are stated by the engine's clock, which may
    /// be set back, so only the order of the entries tells which one is later.
    pub fn is_superseded(&self, incarnation: u64) -> bool {
        self.superseded.contains(&incarnation)
    }

    /// Records that an incarnation is no longer the current one.
    fn supersede(&mut self, incarnation: u64) {
        self.superseded.push_back(incarnation);
        if self.superseded.len() > MAX_SUPERSEDED {
            self.superseded.pop_front();
        }
    }

    /// Takes over the last incarnation of an engine that was removed, and those before.
    pub(crate) fn restore_superseded(&mut self, superseded: VecDeque<u64>, last: u64) {
        self.superseded = superseded;
        if last != self.listing.incarnation {
            self.supersede(last);
        }
    }

    /// Returns the earlier incarnations.
    pub(crate) fn into_superseded(self) -> VecDeque<u64> {
        self.superseded
    }

    /// Records that the engine should hold an adapter or a base model from now on.
    pub fn record_load(&mut self, name: &Name, version: u64, now: Time) {
        self.recently_removed.remove(name);
        let estimate = self.held.entry(name.clone()).or_default();
        estimate.version = version;
        estimate.loaded_at = now;
        estimate.trial = Some(Trial::default());
    }

    /// Records that the engine refused a request, sent at `sent`, because it doesn't hold the adapter.
    pub fn record_miss(&mut self, name: &str, sent: Time, now: Time) -> Miss {
        let Some(estimate) = self.held.get_mut(name) else {
            return Miss::Unexpected;
        };
        let is_expected = estimate.record_refusal(sent, now);
        let arrival = estimate.trial.map(|it| it.arrival(estimate.loaded_at));
        if !is_expected {
            self.remove_held(name, now);
        }
        match arrival {
            Some(_) if is_expected => Miss::Early,
            Some(it) => Miss::Last(it),
            None => Miss::Unexpected,
        }
    }

    /// Records that the engine doesn't hold an adapter, or is about to unload it.
    pub fn remove_held(&mut self, name: &str, now: Time) {
        if let Some((name, _)) = self.held.remove_entry(name) {
            self.recently_removed.insert(name, now);
        }
    }

    /// Records that a host orders the unload of an adapter, or of the version that the engine holds. The engine then has it
    /// in its memory.
    pub fn record_unload(&mut self, name: &Name, now: Time) {
        self.remove_held(name, now);
        self.recently_unloaded.insert(name);
    }

    /// Records the work that another host reports for this engine.
    pub fn record_remote_work(&mut self, host: &Arc<str>, work: Workload, now: Time) {
        self.remote_work.insert(host.clone(), (now, work));
    }

    /// Time until which this host may send the engine no request, because of a back-off or of the turns of all hosts.
    pub fn closed_until(&self, now: Time) -> Option<Time> {
        (self.backoff.closed_until(now)).max(self.taken_until(now))
    }

    /// Time until which this host gets no turn, if requests need one now.
    pub fn taken_until(&self, now: Time) -> Option<Time> {
        self.limit.taken_until(now).filter(|_| self.needs_turn(now))
    }

    /// Returns whether requests are sent to the engine in turn only.
    pub fn needs_turn(&self, now: Time) -> bool {
        self.limit.rate().is_some() || self.lacks_room(now)
    }

    /// Returns whether the engine may have no room for one more request.
    pub fn lacks_room(&self, now: Time) -> bool {
        !self.room.has_room(self.local_work.running, now)
    }

    /// Rate of the turns of all hosts, if there are any.
    pub fn turn_rate(&self, now: Time) -> Option<Rate> {
        match (self.limit.rate(), self.room.turn_rate(now)) {
            (Some(limit), Some(full)) => Some(limit.min(full)),
            (limit, full) => limit.or(full),
        }
    }

    /// Records a request that another host has sent since its last report.
    pub fn record_remote_start(&mut self, host: &Arc<str>, now: Time) {
        let (at, work) = self.remote_work.entry(host.clone()).or_default();
        if *at + REMOTE_WORK_TTL <= now {
            *work = Workload::default();
        }
        *at = now;
        work.running += 1;
    }

    /// Records that this host has received a successful response or an event.
    pub fn record_success(&mut self, now: Time) {
        self.circuit.record_success();
        self.own_success_at = now;
        self.last_success_at = now;
    }

    /// Records another host's report that it has received a successful response or an event at `at`.
    pub fn record_remote_success(&mut self, at: Time) {
        self.last_success_at = self.last_success_at.max(at);
    }

    /// Forgets the work that another host has reported.
    pub fn clear_remote_work(&mut self, host: &str) {
        self.remote_work.remove(host);
    }

    /// Returns the work of all hosts.
    pub fn total_work(&self, now: Time) -> Workload {
        let fresh = |it: &&(Time, Workload)| it.0 + REMOTE_WORK_TTL > now;
        let others = self.remote_work.values().filter(fresh);
        others.fold(self.local_work, |sum, (_, it)| Workload {
            running: sum.running + it.running,
            prefill_tokens: sum.prefill_tokens + it.prefill_tokens,
        })
    }

    /// Records that a host has sent a prompt of which the engine has to prefill `tokens`.
    pub fn record_prompt(&mut self, tokens: u32, now: Time) {
        self.recent_prompts.push_back((now, tokens));
        while self
            .recent_prompts
            .front()
            .is_some_and(|it| it.0 + RECENT_PROMPTS_TTL < now)
        {
            self.recent_prompts.pop_front();
        }
        self.pending_prompts.push_back((now, tokens));
        if self.pending_prompts.len() > MAX_PENDING_PROMPTS {
            self.pending_prompts.pop_front();
        }
        self.prefill_end = self.prefill_end.max(now) + self.prefill_time(f64::from(tokens), now);
    }

    /// Records a prompt of a host, `None` for this one, that the engine reads at once. One that waits for a slot says nothing
    /// about the reading.
    pub fn record_sent(&mut self, host: Option<&Arc<str>>, tokens: u32, now: Time) {
        if self.has_free_slot(now) {
            self.reading.record_sent(host, tokens, now);
        }
    }

    /// Returns the prompt tokens that were sent to the engine within the last `window`.
    pub fn tokens_sent_within(&self, window: Duration, now: Time) -> f64 {
        let recent = self.recent_prompts.iter().rev();
        recent
            .take_while(|it| it.0 + window > now)
            .map(|it| f64::from(it.1))
            .sum()
    }

    /// Records that the prefill of the prompt sent at `sent`, and of all earlier ones, is done.
    pub fn record_prefilled(&mut self, sent: Time, now: Time) {
        while self.pending_prompts.front().is_some_and(|it| it.0 <= sent) {
            self.pending_prompts.pop_front();
        }
        let left: f64 = self.pending_prompts.iter().map(|it| f64::from(it.1)).sum();
        self.prefill_end = self.prefill_end.min(now + self.prefill_time(left, now));
    }

    /// Returns whether the engine is reading prompts, as far as this host knows.
    pub fn load(&self, now: Time) -> Load {
        let is_reading =
            self.pending_prefill_tokens(now) > 0.0 || self.tokens_sent_within(IDLE_TIME, now) > 0.0;
        if is_reading { Load::Busy } else { Load::Idle }
    }

    /// Returns the load of the engine until the first event of a prompt, as far as this host knows, from that when the prompt
    /// was sent. Prompts that came after it share its steps.
    pub fn load_since(&self, sent: Time, load: Load) -> Load {
        let mut since = self.recent_prompts.iter().filter(|it| it.0 >= sent);
        let is_alone = since.next().is_some_and(|it| it.0 == sent) && since.next().is_none();
        if is_alone { load } else { Load::Busy }
    }

    /// Returns whether one more request gets a slot at once.
    pub fn has_free_slot(&self, now: Time) -> bool {
        let slots = u32::try_from(self.listing.slots).unwrap_or(u32::MAX);
        self.total_work(now).running < slots
    }

    /// Returns the rank of the engine among those on which an adapter may be loaded; the highest is the best. A faster
    /// engine gets more of the adapters.
    pub fn load_rank(&self, name: &str, now: Time) -> f64 {
        rendezvous::score(name, &self.listing.id, self.speed.share(now))
    }

    /// Prompt tokens that the engine reads in a millisecond at present: the learned speed, less if prompts of the last moment
    /// took longer than that.
    pub fn present_tokens_per_ms(&self, now: Time) -> f64 {
        self.speed.tokens_per_ms(now) / self.strain(now)
    }

    /// Time that the engine took for the prompts of the last moment over the time at its learned speed, at least 1.
    pub fn strain(&self, now: Time) -> f64 {
        let base_ms = self.speed.line().base_ms * self.speed.slowness(now);
        self.reading
            .strain(self.speed.tokens_per_ms(now), base_ms, now)
    }

    /// Returns the expected duration of a prefill.
    fn prefill_time(&self, tokens: f64, now: Time) -> Duration {
        Duration::from_secs_f64(tokens / self.speed.tokens_per_ms(now) / 1000.0)
    }

    /// Returns the prompt tokens that the engine still has to prefill.
    pub fn pending_prefill_tokens(&self, now: Time) -> f64 {
        let left = self.prefill_end.saturating_sub(now).as_secs_f64();
        left * 1000.0 * self.speed.tokens_per_ms(now)
    }

    /// Records that an incarnation of the engine accepts no more work. Only a new incarnation undoes this.
    /// Returns whether it was not known before.
    pub fn mark_leaving(&mut self, incarnation: u64) -> bool {
        let is_news = self.listing.incarnation == incarnation && !self.leaving;
        self.leaving |= is_news;
        is_news
    }

    /// Records another host's report that the entry of an incarnation has vanished. A later entry undoes
    /// this, since entries of live engines also lapse.
    pub fn mark_vanished(&mut self, incarnation: u64) {
        if self.listing.incarnation == incarnation && self.accepts_work() {
            self.listing.state = State::Leaving(None);
        }
    }

    /// Returns whether this incarnation is known to accept no more work for good.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns whether the engine is certain to be of a build, which streams need; `None` stands for work that any build
    /// may do.
    pub fn is_of_build(&self, build: Option<BuildId>) -> bool {
        build.is_none_or(|it| it == BuildId::of(&self.listing) && self.identity.is_certain())
    }

    /// Returns the certainty that the engine is the listed incarnation.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Returns whether the engine accepts new work.
    pub fn accepts_work(&self) -> bool {
        self.listing.state == State::Ready && !self.leaving
    }
}
