//! All engines and instances of plain services that this host knows, and the newest versions of adapters.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::{
    Time,
    capacity::{Average, Load, Samples, Speed},
    engine::{Engine, Workload},
    identity::{Announcement, Identity},
    listing::{Listing, Name, is_adapter},
    origin::{BuildId, MAX_LIST_GAP, STREAM_TTL},
    reading::End,
    rendezvous::short_id,
};

/// Key of an engine in a [`Table`]. A new incarnation with the same id keeps the key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key(u32);

/// Time for which an engine whose entry has vanished is still used if it has answered recently. The entry
/// may have lapsed during an outage of the store. But if the engine is leaving, it must get no more work once
/// its drain time is over.
pub const REMOVAL_GRACE: Duration = Duration::from_millis(900);

/// Replaces [`REMOVAL_GRACE`] after an outage of the store. Live engines restore their entries about two
/// seconds after an outage.
pub const REMOVAL_GRACE_AFTER_OUTAGE: Duration = Duration::from_millis(2300);

/// Time after the return of the store in which hosts read the entries that live engines have written again.
const MAX_ENTRY_RETURN_TIME: Duration = Duration::from_millis(3200);

/// Maximum age of a successful response that shows that an engine is alive.
const LIVENESS_TTL: Duration = Duration::from_millis(1500);

/// Time after the announcement of a version from which no request may begin on older versions. The
/// platform's limit is 5 s, of which up to 1 s passes before the announcement is read.
const OLDER_VERSION_TTL: Duration = Duration::from_millis(2500);

/// Time after the end of [`OLDER_VERSION_TTL`] in which a request that was sent before may still begin.
const RECALL_DELAY: Duration = Duration::from_secs(1);

/// Maximum number of versions of an adapter that are remembered at a time.
const MAX_ANNOUNCED_VERSIONS: usize = 16;

/// Decayed uses from which an adapter of a draining engine is loaded elsewhere before a request misses it.
const MIN_COPY_USES: f64 = 2.0;

/// Maximum number of adapters of a draining engine that are loaded elsewhere in advance. Requests that wait for other
/// adapters come first.
const MAX_COPIES: usize = 4;

/// Run time of a request that is assumed until runs have been measured.
const INITIAL_RUN_TIME: Duration = Duration::from_millis(1900);

/// Weight of the newest run in the average run time of a service.
const NEWEST_RUN_WEIGHT: f64 = 0.02;

/// Maximum number of removed engines that are remembered.
const MAX_DEPARTED: usize = 16_384;

/// Condition of the store when an entry vanished from the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Removal {
    /// The store has answered throughout.
    StoreAvailable,
    /// There was an outage of the store, in which entries of live engines lapse. They are written again after its return.
    AfterOutage {
        /// When the store returned.
        returned_at: Time,
    },
}

/// Engines by key and by id, and the announced versions of adapters.
#[derive(Clone, Debug, Default)]
pub struct Table {
    engines: BTreeMap<Key, Engine>,
    ids: HashMap<Arc<str>, Key>,
    short_ids: HashMap<u32, Key>,
    next_key: u32,
    /// The last incarnations of removed engines.
    departed: HashMap<Arc<str>, Departed>,
    /// Ids of the removed engines, oldest first.
    departed_order: VecDeque<Arc<str>>,
    versions: HashMap<Name, Announced>,
    /// Engines with work of each other host, as last reported by it.
    reported_engines: HashMap<Arc<str>, Vec<Key>>,
    /// Adapters with running requests of each other host, as last reported by it.
    reported_adapters: HashMap<Arc<str>, Vec<(Key, Name)>>,
    /// Builds of the engines of each service.
    builds: HashMap<Arc<str>, HashMap<BuildId, Presence>>,
    /// Average run time of a request in seconds, by service.
    run_times: HashMap<Arc<str>, f64>,
    /// Average speed of the engines of each service.
    averages: HashMap<Arc<str>, Average>,
    /// Hosts that announce the ends of their prompts.
    announcing_hosts: HashSet<Arc<str>>,
    /// Engines that may have started again since their entries were written.
    uncertain: BTreeSet<Key>,
    /// Since when the list of engines has been complete without a gap.
    complete_since: Option<Time>,
    /// When the list of engines was last complete.
    complete_at: Time,
}

/// Service of an engine, with its build.
#[derive(Clone, Debug, Eq, PartialEq)]
struct ServiceBuild {
    service: Arc<str>,
    build: BuildId,
}

impl ServiceBuild {
    fn of(listing: &Listing) -> Self {
        Self {
            service: listing.service.clone(),
            build: BuildId::of(listing),
        }
    }
}

/// Engines of one build.
#[derive(Clone, Copy, Debug, Default)]
struct Presence {
    /// Number of known engines.
    engines: usize,
    /// When an engine was last added or removed.
    changed_at: Time,
}

/// A removed engine.
#[derive(Clone, Debug)]
struct Departed {
    incarnation: u64,
    /// Incarnations before that one, the oldest first.
    superseded: VecDeque<u64>,
    /// True if it was known to accept no more work, so that it can't come back.
    leaving: bool,
}

/// Relation of an entry, of which it is unknown when it was written, to what this host knows of the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// The engine is unknown, or the entry is of its current incarnation.
    Current,
    /// Another incarnation was listed later, or the engine was removed. The entry comes from an older copy of the store.
    Outdated,
    /// The entry is of another incarnation than the one that this host knows or has seen leave. It may be a later one, or
    /// an earlier one that this host has not seen.
    Uncertain,
}

/// Announced versions of an adapter. Each makes the versions below it stale after [`OLDER_VERSION_TTL`], whichever are
/// announced meanwhile.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct Announced {
    /// The last versions in ascending order, with the times at which this host received them.
    versions: VecDeque<(u64, Time)>,
}

impl Announced {
    fn newest(&self) -> Option<u64> {
        self.versions.back().map(|it| it.0)
    }

    /// Adds the newest version. Beyond [`MAX_ANNOUNCED_VERSIONS`], it takes the place of the last one, whose time it gets.
    fn push(&mut self, version: u64, now: Time) {
        let is_stale = |it: &(u64, Time)| it.1 + OLDER_VERSION_TTL <= now;
        while self.versions.get(1).is_some_and(is_stale) {
            self.versions.pop_front();
        }
        let is_full = self.versions.len() >= MAX_ANNOUNCED_VERSIONS;
        match self.versions.back_mut() {
            Some(last) if is_full => last.0 = version,
            _ => self.versions.push_back((version, now)),
        }
    }

    /// Returns when a version becomes stale; `None` if no newer one is announced.
    fn expiry(&self, version: u64) -> Option<Time> {
        let newer = self.versions.iter().find(|it| it.0 > version)?;
        Some(newer.1 + OLDER_VERSION_TTL)
    }
}

impl Table {
    /// Adds an engine or updates it with its current entry in the platform's list.
    pub fn upsert(&mut self, listing: Listing, now: Time) -> Key {
        if let Some(key) = self.find(&listing.id) {
            if let Some(engine) = self.engines.get_mut(&key) {
                let previous = ServiceBuild::of(&engine.listing);
                engine.update(listing, now);
                if engine.identity.is_certain() {
                    self.uncertain.remove(&key);
                }
                let current = ServiceBuild::of(&engine.listing);
                if previous != current {
                    self.count_build(&previous, now, |it| it.saturating_sub(1));
                    self.count_build(&current, now, |it| it + 1);
                }
            }
            return key;
        }
        let key = Key(self.next_key);
        self.next_key += 1;
        self.ids.insert(listing.id.clone(), key);
        self.short_ids.insert(short_id(&listing.id), key);
        self.count_build(&ServiceBuild::of(&listing), now, |it| it + 1);
        let departed = self.departed.get(&listing.id);
        let average = self.averages.get(&listing.service);
        let speed = Speed::of_service(&average.copied().unwrap_or_default());
        let mut engine = Engine::new(listing, now);
        engine.speed = speed;
        if let Some(it) = departed {
            engine.restore_superseded(it.superseded.clone(), it.incarnation);
            if it.leaving {
                engine.mark_leaving(it.incarnation);
            }
        }
        self.engines.insert(key, engine);
        key
    }

    /// Returns whether an entry states no start, unlike the earlier ones of its engine, so that another writer has left it.
    pub fn lacks_start(&self, listing: &Listing) -> bool {
        let engine = self.find(&listing.id).and_then(|it| self.get(it));
        let known = engine.map(|it| it.listing.incarnation);
        let departed = self.departed.get(&listing.id).map(|it| it.incarnation);
        listing.incarnation == 0 && known.or(departed).is_some_and(|it| it != 0)
    }

    /// Returns the relation of an entry to what is known of its engine. The entry may come from an older copy of the
    /// store.
    pub fn standing(&self, listing: &Listing) -> Standing {
        let incarnation = listing.incarnation;
        let engine = self.find(&listing.id).and_then(|it| self.get(it));
        let (current, is_outdated) = match (engine, self.departed.get(&listing.id)) {
            (Some(it), _) => (it.listing.incarnation, it.is_superseded(incarnation)),
            (None, Some(it)) => {
                let is_outdated =
                    it.incarnation == incarnation || it.superseded.contains(&incarnation);
                (it.incarnation, is_outdated)
            }
            (None, None) => return Standing::Current,
        };
        match (is_outdated, current == incarnation) {
            (true, _) => Standing::Outdated,
            (false, true) => Standing::Current,
            (false, false) => Standing::Uncertain,
        }
    }

    /// Remembers a removed engine.
    fn record_departure(&mut self, id: &Arc<str>, departed: Departed) {
        if self.departed.insert(id.clone(), departed).is_some() {
            return;
        }
        self.departed_order.push_back(id.clone());
        if self.departed_order.len() > MAX_DEPARTED
            && let Some(oldest) = self.departed_order.pop_front()
        {
            self.departed.remove(&oldest);
        }
    }

    /// Records that the entry of an engine has vanished. [`Table::remove_expired`] removes the engine, after
    /// a grace period if it may still be alive. That period ends at `latest`.
    pub fn schedule_removal(&mut self, id: &str, removal: Removal, latest: Time, now: Time) {
        let Some(key) = self.ids.get(id) else { return };
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        let grace = match removal {
            Removal::AfterOutage { returned_at } => {
                let read_until = returned_at + MAX_ENTRY_RETURN_TIME;
                REMOVAL_GRACE_AFTER_OUTAGE.min(read_until.min(latest).saturating_sub(now))
            }
            Removal::StoreAvailable
                if engine.last_success_at + LIVENESS_TTL > now && engine.accepts_work() =>
            {
                REMOVAL_GRACE.min(latest.saturating_sub(now))
            }
            Removal::StoreAvailable => Duration::ZERO,
        };
        engine.expires_at.get_or_insert(now + grace);
    }

    /// Returns the time of the next removal, if one is scheduled.
    pub fn next_expiry(&self) -> Option<Time> {
        self.engines.values().filter_map(|it| it.expires_at).min()
    }

    /// Removes the engines whose grace period is over, and returns their last entries.
    pub fn remove_expired(&mut self, now: Time) -> Vec<Listing> {
        let expired = |it: &Engine| it.expires_at.is_some_and(|at| at <= now);
        let removed: Vec<Listing> = (self.engines.values())
            .filter(|it| expired(it))
            .map(|it| it.listing.clone())
            .collect();
        for listing in &removed {
            let build = ServiceBuild::of(listing);
            self.count_build(&build, now, |it| it.saturating_sub(1));
            if let Some(key) = self.ids.remove(&listing.id) {
                self.uncertain.remove(&key);
                if let Some(engine) = self.engines.remove(&key) {
                    let departed = Departed {
                        incarnation: listing.incarnation,
                        leaving: engine.is_leaving(),
                        superseded: engine.into_superseded(),
                    };
                    self.record_departure(&listing.id, departed);
                }
                self.short_ids.retain(|_, it| *it != key);
            }
        }
        removed
    }

    /// Changes the number of engines of a build.
    fn count_build(&mut self, counted: &ServiceBuild, now: Time, change: fn(usize) -> usize) {
        let builds = self.builds.entry(counted.service.clone()).or_default();
        let presence = builds.entry(counted.build).or_default();
        presence.engines = change(presence.engines);
        presence.changed_at = now;
        builds.retain(|_, it| it.engines > 0 || it.changed_at + STREAM_TTL > now);
    }

    /// Records that a connection to an engine broke at `at`, so that the engine may have ended.
    pub fn record_break(&mut self, key: Key, at: Time, announcement: Announcement) {
        self.change_identity(key, |it| it.record_break(at, announcement));
    }

    /// Returns whether the other hosts have to be told that an engine may have ended, and records that they are.
    pub fn take_announcement(&mut self, key: Key) -> bool {
        let engine = self.engines.get_mut(&key);
        engine.is_some_and(|it| it.identity.take_announcement())
    }

    /// Records the start that an engine states in the answer to a query that was sent at `asked_at`.
    pub fn record_start(&mut self, key: Key, incarnation: u64, asked_at: Time) {
        let listed = self.get(key).map(|it| it.listing.incarnation);
        self.change_identity(key, |it| {
            if listed == Some(incarnation) {
                it.record_listed_start(asked_at);
            } else {
                it.record_other_start(incarnation, asked_at);
            }
        });
    }

    /// Records that an engine has answered on a connection that was opened at `connected_at`.
    pub fn record_data(&mut self, key: Key, connected_at: Time, now: Time) {
        if self.uncertain.contains(&key) {
            self.change_identity(key, |it| it.record_data(connected_at, now));
        }
    }

    /// Records that the list of engines is complete as of `at`.
    pub fn observe_complete_list(&mut self, at: Time) {
        if self.complete_at + MAX_LIST_GAP < at {
            self.complete_since = None;
        }
        let since = *self.complete_since.get_or_insert(at);
        self.complete_at = self.complete_at.max(at);
        for key in self.uncertain.clone() {
            self.change_identity(key, |it| it.record_list(since, at));
        }
    }

    /// Records that entries of live engines may be missing from the list.
    pub fn interrupt_list(&mut self) {
        self.complete_since = None;
    }

    fn change_identity(&mut self, key: Key, change: impl FnOnce(&mut Identity)) {
        let Some(engine) = self.engines.get_mut(&key) else {
            return;
        };
        change(&mut engine.identity);
        if engine.identity.is_certain() {
            self.uncertain.remove(&key);
        } else {
            self.uncertain.insert(key);
        }
    }

    /// Returns the engines that may have started again since their entries were written.
    pub fn uncertain_engines(&self) -> impl Iterator<Item = (Key, &Engine)> {
        (self.uncertain.iter()).filter_map(|it| Some((*it, self.get(*it)?)))
    }

    /// Returns the builds that the engines of a service have, or had within the last `window`.
    pub fn builds_within(
        &self,
        service: &str,
        window: Duration,
        now: Time,
    ) -> impl Iterator<Item = BuildId> {
        let builds = self.builds.get(service).into_iter().flatten();
        builds
            .filter(move |(_, it)| it.engines > 0 || it.changed_at + window > now)
            .map(|(build, _)| *build)
    }

    /// Returns the build of the known engines of a service, if all are of one.
    pub fn only_build(&self, service: &str) -> Option<BuildId> {
        let mut builds = self.builds_within(service, Duration::ZERO, Time::MAX);
        let first = builds.next();
        first.filter(|_| builds.next().is_none())
    }

    /// Returns the services that have, or had, engines.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.builds.keys()
    }

    /// Returns the engine with this key, if it still exists.
    pub fn get(&self, key: Key) -> Option<&Engine> {
        self.engines.get(&key)
    }

    /// Returns the engine with this key, if it still exists.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Engine> {
        self.engines.get_mut(&key)
    }

    /// Begins a complete report of another host's work. What the host reported before no longer counts: a
    /// request of a host with little work at each of many engines ends before the next one begins there.
    pub fn begin_work_report(&mut self, host: &str) {
        for key in self.reported_engines.remove(host).unwrap_or_default() {
            if let Some(engine) = self.engines.get_mut(&key) {
                engine.clear_remote_work(host);
            }
        }
    }

    /// Records the work that another host reports for one engine.
    pub fn record_remote_work(&mut self, host: &Arc<str>, key: Key, work: Workload, now: Time) {
        if let Some(engine) = self.engines.get_mut(&key) {
            engine.record_remote_work(host, work, now);
            let reported = self.reported_engines.entry(host.clone()).or_default();
            reported.push(key);
        }
    }

    /// Records a prompt that another host has sent to an engine. It counts only if the host is known to announce the ends
    /// of its prompts too; earlier builds don't.
    pub fn record_remote_prompt(&mut self, host: &Arc<str>, key: Key, tokens: u32, now: Time) {
        if !self.announcing_hosts.contains(host) {
            return;
        }
        if let Some(engine) = self.engines.get_mut(&key) {
            engine.record_sent(Some(host), tokens, now);
        }
    }

    /// Records the end of a prompt that another host has sent to an engine.
    pub fn record_remote_prompt_end(
        &mut self,
        host: &Arc<str>,
        key: Key,
        tokens: u32,
        end: End,
        now: Time,
    ) {
        self.announcing_hosts.insert(host.clone());
        if let Some(engine) = self.engines.get_mut(&key) {
            engine.reading.record_end(Some(host), tokens, end, now);
        }
    }

    /// Records a request that another host has sent since its last report.
    pub fn record_remote_start(&mut self, host: &Arc<str>, key: Key, now: Time) {
        if let Some(engine) = self.engines.get_mut(&key) {
            engine.record_remote_start(host, now);
            let reported = self.reported_engines.entry(host.clone()).or_default();
            reported.push(key);
        }
    }

    /// Begins a complete report of another host's running requests by adapter.
    pub fn begin_usage_report(&mut self, host: &str) {
        for (key, name) in self.reported_adapters.remove(host).unwrap_or_default() {
            let engine = self.engines.get_mut(&key);
            if let Some(estimate) = engine.and_then(|it| it.held.get_mut(&name)) {
                estimate.remote_running.remove(host);
            }
        }
    }

    /// Records the running requests that another host reports for an adapter on one engine, and the requests
    /// that it has started since its last report.
    pub fn record_remote_usage(
        &mut self,
        host: &Arc<str>,
        key: Key,
        name: &Name,
        running: u32,
        started: u32,
        now: Time,
    ) {
        let engine = self.engines.get_mut(&key);
        if let Some(estimate) = engine.and_then(|it| it.held.get_mut(name)) {
            (estimate.remote_running).insert(host.clone(), (now, running));
            estimate.record_uses(now, started);
            let reported = self.reported_adapters.entry(host.clone()).or_default();
            reported.push((key, name.clone()));
        }
    }

    /// Records how long a request has run on an engine of a service.
    pub fn record_run(&mut self, service: &Arc<str>, time: Duration) {
        let average =
            (self.run_times.entry(service.clone())).or_insert(INITIAL_RUN_TIME.as_secs_f64());
        *average += (time.as_secs_f64() - *average) * NEWEST_RUN_WEIGHT;
    }

    /// Records samples of the speed of an engine. Returns whether it has changed.
    pub fn record_speed(&mut self, key: Key, samples: Samples, load: Load, now: Time) -> bool {
        let Some(engine) = self.engines.get_mut(&key) else {
            return false;
        };
        let service = engine.listing.service.clone();
        let average = self.averages.entry(service.clone()).or_default();
        let has_changed = engine.speed.record(samples, load, average, now);
        if average.is_update_due(now) {
            let engines = self.engines.values_mut();
            for it in engines.filter(|it| it.listing.service == service) {
                it.speed.follow(average);
            }
        }
        has_changed
    }

    /// Returns the average run time of a request.
    pub fn run_time(&self, service: &str) -> Duration {
        let average = self.run_times.get(service);
        average.map_or(INITIAL_RUN_TIME, |it| Duration::from_secs_f64(it.max(0.0)))
    }

    /// Returns the expected time until an engine has a free slot for all requests that wait there.
    pub fn queue_wait(&self, key: Key, now: Time) -> Duration {
        self.queue_wait_beyond(key, 0, now)
    }

    /// Returns the expected time until an engine has a free slot for one more request.
    pub fn queue_wait_for_one_more(&self, key: Key, now: Time) -> Duration {
        self.queue_wait_beyond(key, 1, now)
    }

    /// Returns the expected time until an engine has a free slot for all of its requests and `more`.
    fn queue_wait_beyond(&self, key: Key, more: u32, now: Time) -> Duration {
        let Some(engine) = self.engines.get(&key) else {
            return Duration::ZERO;
        };
        let slots = u32::try_from(engine.listing.slots.max(1)).unwrap_or(u32::MAX);
        let waiting = (engine.total_work(now).running + more).saturating_sub(slots);
        self.run_time(&engine.listing.service) * waiting / slots
    }

    /// Returns the adapters in use on an engine that no other engine of its service can serve, the most used first.
    /// They are to be loaded elsewhere when the engine drains.
    pub fn adapters_to_copy(&self, key: Key, now: Time) -> Vec<Name> {
        let Some(engine) = self.engines.get(&key) else {
            return Vec::new();
        };
        let service = &engine.listing.service;
        let is_elsewhere = |name: &Name| {
            self.engines.iter().any(|(other, it)| {
                *other != key
                    && it.listing.service == *service
                    && it.accepts_work()
                    && it.held.contains_key(name)
            })
        };
        let mut used: Vec<(f64, &Name)> = (engine.held.iter())
            .filter(|it| is_adapter(it.0))
            .map(|(name, it)| (it.uses(now), name))
            .filter(|it| it.0 >= MIN_COPY_USES && !is_elsewhere(it.1))
            .collect();
        used.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
        used.into_iter()
            .take(MAX_COPIES)
            .map(|it| it.1.clone())
            .collect()
    }

    /// Returns the number of engines of a service that accept work and hold an adapter or a base model.
    pub fn count_holders(&self, service: &str, name: &Name) -> usize {
        let holds = |it: &&Engine| {
            *it.listing.service == *service && it.accepts_work() && it.held.contains_key(name)
        };
        self.engines.values().filter(holds).count()
    }

    /// Returns the key of an id.
    pub fn find(&self, id: &str) -> Option<Key> {
        self.ids.get(id).copied()
    }

    /// Returns the key of an id's short form.
    pub fn find_by_short_id(&self, short_id: u32) -> Option<Key> {
        self.short_ids.get(&short_id).copied()
    }

    /// Returns the engine of an id's short form.
    pub fn get_by_short_id(&mut self, short_id: u32) -> Option<&mut Engine> {
        let key = self.find_by_short_id(short_id)?;
        self.engines.get_mut(&key)
    }

    /// Returns all engines.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Engine)> {
        self.engines.iter().map(|(key, it)| (*key, it))
    }

    /// Returns all engines, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (Key, &mut Engine)> {
        self.engines.iter_mut().map(|(key, it)| (*key, it))
    }

    /// Returns all known ids.
    pub fn ids(&self) -> Vec<Arc<str>> {
        self.ids.keys().cloned().collect()
    }

    /// Records an announced version. Returns whether it is newer than the known one; an older one is ignored.
    pub fn announce(&mut self, name: Name, version: u64, now: Time) -> bool {
        let announced = self.versions.entry(name).or_default();
        let is_newer = announced.newest().is_none_or(|it| it < version);
        if is_newer {
            announced.push(version, now);
        }
        is_newer
    }

    /// Returns the newest announced version.
    pub fn newest_version(&self, name: &str) -> Option<u64> {
        self.versions.get(name)?.newest()
    }

    /// Compares a version of an adapter with the newest announced one.
    pub fn freshness(&self, name: &str, version: u64, now: Time) -> Freshness {
        let announced = self.versions.get(name);
        match announced.and_then(|it| it.expiry(version)) {
            Some(it) if it <= now => Freshness::Stale,
            Some(_) => Freshness::Older,
            None => Freshness::Newest,
        }
    }

    /// Compares a version as [`Self::freshness`] does, for a request that is expected to wait for `wait` at the
    /// engine before it begins. The wait counts twice, since it is an estimate. An older version is stale for a request
    /// that has to wait for a slot, since an engine that turns slow may keep it waiting for any time. `slot` is asked for an
    /// older version only.
    pub fn freshness_after(
        &self,
        name: &str,
        version: u64,
        now: Time,
        wait: Duration,
        slot: impl FnOnce() -> Slot,
    ) -> Freshness {
        match self.freshness(name, version, now + wait * 2) {
            Freshness::Older if slot() == Slot::Taken => Freshness::Stale,
            it => it,
        }
    }

    /// Returns when a request that waits at an engine for a version of an adapter is to be taken back, because a newer
    /// version is announced; `None` if none is. No request is sent for a stale version, so one that is still waiting is
    /// late.
    pub fn recall_time(&self, name: &str, version: u64) -> Option<Time> {
        let announced = self.versions.get(name)?;
        announced.expiry(version).map(|it| it + RECALL_DELAY)
    }

    /// Returns whether an engine has a slot for one more request.
    pub fn slot(&self, key: Key, now: Time) -> Slot {
        Slot::of_wait(self.queue_wait_for_one_more(key, now))
    }

    /// Returns whether an engine has a slot for a request that is among those counted there.
    pub fn slot_of_counted(&self, key: Key, now: Time) -> Slot {
        Slot::of_wait(self.queue_wait(key, now))
    }
}

/// Slot of an engine for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Slot {
    /// The request gets one at once.
    Free,
    /// The request has to wait for one.
    Taken,
}

impl Slot {
    fn of_wait(wait: Duration) -> Self {
        if wait.is_zero() {
            Self::Free
        } else {
            Self::Taken
        }
    }
}

/// Relation of a copy of an adapter to the newest version.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Freshness {
    /// The copy is the newest known version.
    Newest,
    /// There is a newer version, which may not be loaded yet. The copy may still be used.
    Older,
    /// The copy must not be used any more.
    Stale,
}
