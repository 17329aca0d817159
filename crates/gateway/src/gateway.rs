//! State shared by the tasks of one host. All of it belongs to one thread. No `RefCell` borrow is
//! held across an await point.

use std::{
    cell::{Cell, RefCell, RefMut},
    collections::{HashMap, VecDeque},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use fleet::{
    Time,
    account::{
        Account, Accounts,
        ledger::{AccountId, Ledger},
    },
    availability::{self, Availability},
    budget::Budget,
    capacity::{Load, Samples},
    catalog::Catalog,
    engine::Engine,
    era::{self, Era, Statement, Verdict},
    in_flight::InFlightLoads,
    isolation::Isolation,
    listing::Name,
    loader::{self, Loader, Wanted},
    origin::Origins,
    quarantine::Quarantine,
    request_limit::{self, StatementId},
    table::{Key, Removal, Table},
};
use tokio::sync::Notify;

use crate::{
    assignments::Assignments,
    claims::Claims,
    clock,
    connection::Pool,
    dialect::{Dialect, Kind, ResponseHead},
    gossip::{CrashWatch, IdentityChecks, JoinedHosts, OriginQueries, TurnQuestions},
    list_cache::ListCache,
    list_sync::{self, ListState},
    memory, message,
    metrics::Metrics,
    peers::Peers,
    queues::Queues,
    server::HeadTimeout,
    settings::Settings,
    watch::DeferredEntries,
};

/// Minimum time between two messages of this host that a copy of an adapter is wanted. A new copy is available after
/// about 300 ms.
const WANTED_COPY_INTERVAL: Duration = Duration::from_millis(300);

/// Time without such a message after which the count for an adapter restarts at zero.
const WANTED_COPY_TTL: Duration = Duration::from_secs(5);

/// Minimum time between two log lines about invalid headers of engines.
const INVALID_HEADER_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum number of requests that wait for the load of one adapter at this host.
pub const MAX_WAITERS: usize = 400;

/// State of one host.
pub struct Gateway {
    /// Settings from the file.
    pub settings: Settings,
    /// Name under which this host claims engines and sends orders ([`Settings::holder`]).
    pub holder: Arc<str>,
    /// Start of this process in ms since the Unix epoch. It distinguishes incarnations of a host.
    pub incarnation: u64,
    /// Start of this process on the host's clock.
    started_at: Time,
    /// Metrics of this host.
    pub metrics: Metrics,
    /// Header names, formats and calls of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Memory for the bodies of callers' requests.
    pub request_budget: memory::Budget,
    /// Memory for the bodies of responses of engines and other hosts.
    response_budget: memory::Budget,
    /// Memory for the bodies of responses of the store.
    store_budget: memory::Budget,
    /// Connection pool for engines.
    pub pool: Pool,
    /// Connections to the store.
    pub store_pool: Pool,
    /// Connections to other hosts, for requests that are passed on.
    pub host_pool: Pool,
    /// State of the path from this host to the engines.
    pub isolation: RefCell<Isolation>,
    /// Notified when this host is cut off from all engines.
    pub isolation_began: Notify,
    /// Notified when engines were probed, whatever the result.
    pub engines_probed: Notify,
    /// When an engine last answered this host.
    pub engine_contact: Cell<Option<Time>>,
    /// The operator's configuration; `None` until the first one is known.
    pub catalog: RefCell<Option<Rc<Catalog>>>,
    /// Timeout for the heads of callers' requests, by the current configuration.
    pub head_timeout: HeadTimeout,
    /// Use of the quotas of client accounts.
    pub ledger: RefCell<Ledger>,
    /// Requests that wait for room at engines.
    pub(crate) queues: Queues,
    /// Number of reports of that use that this host has sent.
    pub usage_reports: Cell<u64>,
    /// Samples of the speed of engines that the other hosts have not been sent.
    pub speed_samples: RefCell<HashMap<(Key, Load), Samples>>,
    /// When they were last sent.
    pub speeds_sent_at: Cell<Time>,
    /// Number of heartbeats that this host has sent.
    pub heartbeats_sent: Cell<u32>,
    /// Known engines with their estimated state.
    pub table: RefCell<Table>,
    /// True once a whole list of engines has been applied.
    pub engines_listed: Cell<bool>,
    /// Decides on loads and unloads at the engines of which this host is the steward.
    pub loader: RefCell<Loader>,
    /// Loads ordered by other hosts that are in flight or have just finished.
    pub in_flight_loads: RefCell<InFlightLoads>,
    /// Lease of this host and claims on engines.
    pub claims: RefCell<Claims>,
    /// Other hosts.
    pub peers: RefCell<Peers>,
    /// Builds that began streams.
    pub origins: RefCell<Origins>,
    /// Division of the streams of each service between its builds.
    pub assignments: Assignments,
    /// Queries to other hosts which build began a stream.
    pub origin_queries: OriginQueries,
    /// Hosts that have joined and that have not been sent their records.
    pub joined_hosts: JoinedHosts,
    /// Questions to other hosts for turns at engines that limit their requests.
    pub turn_questions: TurnQuestions,
    /// Prompt parts that crash engines.
    pub quarantine: RefCell<Quarantine>,
    /// Crashes of engines that are to be confirmed, or reported to other hosts.
    pub crash_watch: CrashWatch,
    /// Queries whether engines have started again.
    pub identity_checks: IdentityChecks,
    /// True once the process was asked to stop.
    pub stopping: Cell<bool>,
    /// Time at which requests in progress are answered because the process is about to terminate; `None` until it was
    /// asked to stop.
    pub stop_deadline: Cell<Option<Time>>,
    /// Notified when the process was asked to stop.
    pub stop_began: Notify,
    /// Time until which waits for engines go on after this host was suspended.
    pub caught_up_at: Cell<Time>,
    /// True once new requests are refused because the process is about to terminate.
    pub closing: Cell<bool>,
    /// Number of open caller connections.
    pub open_connections: Cell<usize>,
    /// Notified when the store is available again after an outage, or has begun a new era.
    pub store_recovered: Notify,
    /// Notified when a configuration was adopted.
    pub config_adopted: Notify,
    /// Wakes the task that maintains the lease and the claims.
    pub claims_wakeup: Notify,
    /// Wakes the task that decides on orders and sends them to engines.
    pub orders_wakeup: Notify,
    /// Notified when a list was read from the store. The heartbeat task then sends this host's list
    /// state.
    pub lists_read: Notify,
    /// Notified when the list state of another host was received.
    pub lists_received: Notify,
    /// Time of this host's last complete read of each list; `None` if a reader provides the list.
    last_read: [Cell<Option<Time>>; 3],
    /// Latest time at which each list was known to be complete.
    known_complete: [Cell<Time>; 3],
    /// Last response to other hosts for each list. It is reused because many hosts request the same
    /// delta.
    pub list_responses: RefCell<HashMap<Kind, list_sync::CachedResponse>>,
    /// Notified when the list of hosts was read from the store.
    pub hosts_listed: Notify,
    /// Availability of the store.
    store: RefCell<Availability>,
    /// Time of the last probe of the unavailable store.
    probed_at: Cell<Option<Time>>,
    /// Retry budgets by service.
    budgets: RefCell<HashMap<Arc<str>, Budget>>,
    /// Requests that wait for a load, by adapter.
    load_waits: RefCell<HashMap<Wanted, Rc<LoadWait>>>,
    /// When a copy of each adapter was wanted last, and how often so far.
    wanted_copies: RefCell<HashMap<Name, (Time, usize)>>,
    /// Store objects by kind, from which other hosts are served. They also serve hosts that start
    /// during a store outage.
    pub list_cache: ListCache,
    /// Adapter updates not yet sent to other hosts.
    pub adapter_updates: RefCell<VecDeque<crate::message::AdapterUpdate>>,
    /// Engines that accept no more work, not yet announced to other hosts.
    pub leaving_engines: RefCell<Vec<crate::message::EngineIncarnation>>,
    /// Engines whose limit has changed, not yet announced to other hosts.
    pub changed_limits: RefCell<Vec<Key>>,
    /// Engines that were found to be full, not yet announced to other hosts.
    pub full_engines: RefCell<Vec<Key>>,
    /// Engines whose entry has vanished, not yet announced to other hosts.
    pub vanished_engines: RefCell<Vec<crate::message::EngineIncarnation>>,
    /// Entries of engines that may come from an older copy of the store.
    pub deferred_entries: DeferredEntries,
    /// Era of the store.
    era: RefCell<era::Tracker>,
    /// True while the store's answers state no readable era.
    is_era_unknown: Cell<bool>,
    /// Time of the last log line about an invalid header of an engine.
    invalid_header_logged_at: Cell<Option<Time>>,
}

/// Requests that wait for the load of one adapter.
#[derive(Default)]
pub struct LoadWait {
    /// Notified when the adapter is loaded or the due time of its load becomes known.
    pub ready: Notify,
    /// Number of waiting requests.
    pub waiters: Cell<usize>,
    /// Number of load requests sent for the adapter.
    pub requests_sent: Cell<u32>,
    /// Time of the last load request.
    pub last_request: Cell<Option<Time>>,
}

/// Logs that the store is no longer available.
fn log_store_loss(change: availability::Change, why: &str) {
    match change {
        availability::Change::Lost => {
            log::warn!(event = "store-lost", why; "the store does not answer");
        }
        availability::Change::Suspected => {
            log::info!(event = "store-silent"; "a call to the store got no answer: trying a new connection");
        }
        _ => {}
    }
}

impl Gateway {
    /// Creates the state of a host that knows no configuration, engines or other hosts.
    pub fn new(settings: Settings, dialect: Arc<dyn Dialect>, incarnation: u64) -> Self {
        let budget = |kind| memory::Budget::new(kind, settings.body_memory(kind));
        let response_budget = budget(memory::Kind::Responses);
        let store_budget = budget(memory::Kind::Store);
        Self {
            holder: settings.holder().into(),
            request_budget: budget(memory::Kind::Requests),
            pool: Pool::new(response_budget.clone()),
            store_pool: Pool::new(store_budget.clone()),
            host_pool: Pool::new(response_budget.clone()).bound_to(settings.peers.ip()),
            response_budget,
            store_budget,
            quarantine: RefCell::new(Quarantine::new(settings.quarantine_term())),
            ledger: RefCell::new(Ledger::new(clock::now())),
            settings,
            incarnation,
            started_at: clock::now(),
            metrics: Metrics::new(),
            dialect,
            isolation: RefCell::default(),
            isolation_began: Notify::new(),
            engines_probed: Notify::new(),
            engine_contact: Cell::default(),
            catalog: RefCell::default(),
            head_timeout: HeadTimeout::default(),
            queues: Queues::default(),
            usage_reports: Cell::default(),
            heartbeats_sent: Cell::default(),
            speed_samples: RefCell::default(),
            speeds_sent_at: Cell::default(),
            table: RefCell::default(),
            engines_listed: Cell::default(),
            loader: RefCell::default(),
            in_flight_loads: RefCell::default(),
            claims: RefCell::default(),
            peers: RefCell::default(),
            origins: RefCell::default(),
            assignments: Assignments::default(),
            origin_queries: OriginQueries::default(),
            joined_hosts: JoinedHosts::default(),
            turn_questions: TurnQuestions::default(),
            crash_watch: CrashWatch::default(),
            identity_checks: IdentityChecks::default(),
            stopping: Cell::default(),
            stop_deadline: Cell::default(),
            stop_began: Notify::new(),
            caught_up_at: Cell::default(),
            closing: Cell::default(),
            open_connections: Cell::default(),
            store_recovered: Notify::new(),
            config_adopted: Notify::new(),
            claims_wakeup: Notify::new(),
            orders_wakeup: Notify::new(),
            lists_read: Notify::new(),
            lists_received: Notify::new(),
            last_read: Default::default(),
            known_complete: Default::default(),
            list_responses: RefCell::default(),
            hosts_listed: Notify::new(),
            store: RefCell::default(),
            probed_at: Cell::default(),
            budgets: RefCell::default(),
            load_waits: RefCell::default(),
            wanted_copies: RefCell::default(),
            list_cache: ListCache::default(),
            adapter_updates: RefCell::default(),
            leaving_engines: RefCell::default(),
            changed_limits: RefCell::default(),
            full_engines: RefCell::default(),
            vanished_engines: RefCell::default(),
            deferred_entries: DeferredEntries::default(),
            era: RefCell::default(),
            is_era_unknown: Cell::default(),
            invalid_header_logged_at: Cell::default(),
        }
    }

    /// Returns whether the balancer may send callers to this host.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && self.engines_listed.get() && self.catalog.borrow().is_some()
    }

    /// Returns the earlier of a time and the deadline of this host to stop.
    pub fn limit(&self, time: Time) -> Time {
        self.stop_deadline.get().map_or(time, |it| it.min(time))
    }

    /// Current configuration.
    pub fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Weight of a client account among those that compete for room.
    pub(crate) fn account_weight(&self, account: &Account) -> f64 {
        let catalog = self.catalog.borrow();
        let accounts = catalog.as_ref().and_then(|it| it.accounts.as_ref());
        accounts.map_or(1.0, |it| it.weight(account))
    }

    /// Adopts a configuration if it is newer than the current one.
    pub fn adopt_catalog(&self, catalog: Catalog) {
        let newer = self
            .catalog
            .borrow()
            .as_ref()
            .is_none_or(|it| it.revision < catalog.revision);
        if newer {
            let version = catalog.revision;
            log::info!(event = "config", version; "adopted configuration revision {version}");
            let shared = catalog.accounts.iter().flat_map(Accounts::shared_keys);
            for [first, second] in shared {
                log::warn!(event = "key-shared", account = &**first, other = &**second; "a key is refused, since the accounts {first} and {second} both name it");
            }
            self.head_timeout.set(&catalog.limits);
            *self.catalog.borrow_mut() = Some(Rc::new(catalog));
            self.config_adopted.notify_waiters();
        }
    }

    /// Records an answer of the store.
    pub fn record_store_answer(&self) {
        let change = self.store.borrow_mut().record_answer(clock::now());
        match change {
            availability::Change::Regained => {
                log::info!(event = "store-regained"; "the store is available again");
                self.store_recovered.notify_waiters();
            }
            availability::Change::Cleared => {
                log::info!(event = "store-connection-lost"; "a connection to the store failed, and a new one works");
                self.store_recovered.notify_waiters();
            }
            _ => {}
        }
    }

    /// Records an answer of the store that it can't serve this host.
    pub fn record_store_refusal(&self) {
        let change = self.store.borrow_mut().record_refusal(clock::now());
        log_store_loss(change, "refused");
    }

    /// Records that a call to the store that was sent at `sent_at` got no answer. Returns whether a call on a new connection
    /// has to show whether the store is available.
    pub fn record_store_failure(&self, sent_at: Time) -> bool {
        let change = self
            .store
            .borrow_mut()
            .record_failure(sent_at, clock::now());
        log_store_loss(change, "silent");
        change == availability::Change::Suspected
    }

    /// Records what the state of another host's lists says of the store.
    pub fn observe_store_of(&self, lists: &ListState) {
        let now = clock::now();
        let mut store = self.store.borrow_mut();
        if lists.store_unavailable {
            store.observe_loss(now);
        }
        let ages = lists.lists.iter().filter_map(|it| it.1);
        if let Some(age) = ages.min() {
            store.observe_answer(now.saturating_sub(Duration::from_millis(age.into())));
        }
    }

    /// Records the era that an answer of the store states.
    pub fn observe_era(&self, statement: Statement) -> Verdict {
        let start = self.settings.start();
        let verdict = (self.era.borrow_mut()).observe(statement, start, clock::now());
        let is_unknown = verdict == Verdict::Unknown;
        if is_unknown && !self.is_era_unknown.get() {
            log::warn!(event = "store-era-unknown"; "the store states no readable era: nothing is claimed by its answers");
        }
        self.is_era_unknown.set(is_unknown);
        if let Verdict::Advanced { from, to } = verdict {
            log::warn!(event = "store-rolled-back", from = from.0, to = to.0; "the store came back from an older copy: era {} follows {}", to.0, from.0);
            // Engines write their entries again, as after an outage.
            self.store.borrow_mut().record_new_era(clock::now());
            self.store_recovered.notify_waiters();
            self.claims_wakeup.notify_one();
        }
        verdict
    }

    /// Records for how long another host has known an era of the store.
    pub fn observe_era_age(&self, era: Era, age: Duration) {
        let current = self.era.borrow().current();
        (self.era.borrow_mut()).observe_age(era, age, clock::now());
        if current.is_some_and(|it| it < era) {
            // The next call to the store confirms the new era.
            self.claims_wakeup.notify_one();
        }
    }

    /// Current era of the store; 0 if it is unknown or the store states none.
    pub fn store_era(&self) -> Era {
        self.era.borrow().current().unwrap_or_default()
    }

    /// Time since the beginning of the store's era, as far as it is known.
    pub fn store_era_age(&self) -> Duration {
        self.era.borrow().age(clock::now())
    }

    /// Returns whether all leases of the store's earlier eras have ended.
    pub fn is_era_settled(&self) -> bool {
        self.era.borrow().is_settled(clock::now())
    }

    /// Applies what the headers of any answer of an engine say about the engine. Its request was sent at `sent_at`.
    pub fn observe_engine(&self, key: Key, head: &ResponseHead, sent_at: Time) {
        let now = clock::now();
        if let Some(header) = head.invalid_header {
            self.log_invalid_header(header, now);
        }
        let mut table = self.table.borrow_mut();
        let Some(engine) = table.get_mut(key) else {
            return;
        };
        let incarnation = engine.listing.incarnation;
        if head.leaving && engine.mark_leaving(incarnation) {
            let id = &*engine.listing.id;
            log::info!(event = "engine-leaving", engine = id; "engine {id} announces that it accepts no more work");
            let it = message::make_incarnation(id, incarnation);
            self.leaving_engines.borrow_mut().push(it);
            self.orders_wakeup.notify_one();
        }
        match head.refusal_tolerance {
            request_limit::Statement::Stated(it) => engine.room.observe(Some(it)),
            request_limit::Statement::Absent if head.sealed => engine.room.observe(None),
            _ => {}
        }
        let rate = match head.request_limit {
            request_limit::Statement::Stated(it) => Some(it),
            // Only the engine's own answers show that it has no limit.
            request_limit::Statement::Absent if head.sealed => None,
            _ => return,
        };
        let id = StatementId::new(&self.holder, now);
        let previous = engine.limit.stated_until();
        if engine.limit.observe(rate, id, sent_at, now) {
            log_limit(engine, "answer", sent_at, previous, now);
            self.changed_limits.borrow_mut().push(key);
            self.orders_wakeup.notify_one();
        } else if rate != engine.limit.rate() {
            self.metrics.count_limit_answer("old");
        }
    }

    /// Records that an engine refused a request for want of room.
    pub fn record_full(&self, key: Key) {
        let now = clock::now();
        if let Some(engine) = self.table.borrow_mut().get_mut(key) {
            // The refused request is still counted.
            let running = engine.local_work.running.saturating_sub(1);
            let random = rand::random_range(0.0..1.0);
            if engine.room.record_refusal(running, random, now, now) {
                log_full(engine, "answer", running);
                self.full_engines.borrow_mut().push(key);
                self.orders_wakeup.notify_one();
            }
        }
    }

    /// Records samples of the speed of an engine, and logs it if it has changed. `why` says who has taken them.
    pub fn record_speed(&self, key: Key, samples: Samples, load: Load, why: &'static str) {
        let now = clock::now();
        let mut table = self.table.borrow_mut();
        if !table.record_speed(key, samples, load, now) {
            return;
        }
        if let Some(engine) = table.get(key) {
            let id = &*engine.listing.id;
            let rate = engine.speed.rate(now);
            let average = engine.speed.line().tokens_per_ms;
            log::info!(
                event = "engine-speed", engine = id, tokens_per_ms = rate.tokens_per_ms, average,
                relative_error = rate.relative_error, why;
                "engine {id} now reads {:.1} prompt tokens a ms", rate.tokens_per_ms
            );
        }
    }

    /// Records that an engine accepted a request.
    pub fn record_acceptance(&self, key: Key) {
        if let Some(engine) = self.table.borrow_mut().get_mut(key) {
            engine.room.record_acceptance(engine.local_work.running);
        }
    }

    /// Records that a request waits for room at an engine.
    pub fn record_room_wait(&self, key: Key) {
        if let Some(engine) = self.table.borrow_mut().get_mut(key) {
            engine.room.record_wait(clock::now());
        }
    }

    /// Records that an engine rejected a request and wants no others from this host for some time.
    pub fn back_off_engine(&self, key: Key, time: Duration) {
        if let Some(engine) = self.table.borrow_mut().get_mut(key) {
            let id = &*engine.listing.id;
            let seconds = time.as_secs_f64();
            log::info!(event = "engine-backoff", engine = id, seconds; "engine {id} asks for a back-off of {seconds} s");
            let random = rand::random_range(0.0..1.0);
            engine.backoff.close(time, random, clock::now());
        }
    }

    /// Logs an invalid header of an engine, at a limited rate.
    fn log_invalid_header(&self, header: &str, now: Time) {
        let logged_at = &self.invalid_header_logged_at;
        if logged_at
            .get()
            .is_none_or(|it| it + INVALID_HEADER_LOG_INTERVAL <= now)
        {
            logged_at.set(Some(now));
            log::warn!(event = "header-invalid", header; "ignoring an invalid value of the header {header} of an engine");
        }
    }

    /// Returns whether a probe of the unavailable store is due, at most one in an interval, and counts it.
    pub fn take_probe(&self, interval: Duration) -> bool {
        let now = clock::now();
        let is_due = self.probed_at.get().is_none_or(|it| it + interval <= now);
        if is_due {
            self.probed_at.set(Some(now));
        }
        is_due
    }

    /// Returns whether the store doesn't answer this host.
    pub fn is_store_unavailable(&self) -> bool {
        self.store.borrow().is_unavailable()
    }

    /// Returns whether the store may not answer this host. What other hosts know is asked for then, without waiting for
    /// certainty.
    pub fn is_store_doubtful(&self) -> bool {
        self.store.borrow().is_doubtful()
    }

    /// Time since this host read a list; `None` if a reader provides the list.
    pub fn read_age(&self, kind: Kind) -> Option<Duration> {
        let read = self.last_read[list_sync::list_index(kind)].get()?;
        Some(clock::now().saturating_sub(read))
    }

    /// Time since the store's response on which this host's view of a list is based, if known.
    fn list_age(&self, kind: Kind) -> Option<Duration> {
        let peer_age = || self.peers.borrow().min_list_age(kind, clock::now());
        self.read_age(kind).or_else(peer_age)
    }

    /// Latest time at which a list was known to be complete.
    pub fn complete_at(&self, kind: Kind) -> Time {
        self.known_complete[list_sync::list_index(kind)].get()
    }

    /// Records that a list was complete at `at`.
    pub fn mark_complete(&self, kind: Kind, at: Time) {
        let known = &self.known_complete[list_sync::list_index(kind)];
        known.set(known.get().max(at));
        if kind == Kind::Engines {
            self.origins.borrow_mut().observe_complete_list(at);
            let mut table = self.table.borrow_mut();
            if self.store.borrow().may_lag(clock::now()) {
                table.interrupt_list();
            } else {
                table.observe_complete_list(at);
            }
        }
    }

    /// Records that this host has just read a list completely.
    pub fn mark_read(&self, kind: Kind) {
        self.last_read[list_sync::list_index(kind)].set(Some(clock::now()));
    }

    /// Records that a reader provides a list to this host.
    pub fn clear_read(&self, kind: Kind) {
        self.last_read[list_sync::list_index(kind)].set(None);
    }

    /// Returns whether other hosts of the domain take their lists from the domain's readers.
    pub fn has_followers(&self) -> bool {
        let peers = self.peers.borrow();
        peers.has_followers(&self.settings.domain, clock::now())
    }

    /// Determines how to treat an engine whose entry vanishes now.
    pub fn removal_kind(&self) -> Removal {
        let returned_at = self.store.borrow().returned_at(clock::now());
        returned_at.map_or(Removal::StoreAvailable, |returned_at| {
            Removal::AfterOutage { returned_at }
        })
    }

    /// Retry budget of a service.
    fn budget(&self, service: &Arc<str>) -> RefMut<'_, Budget> {
        RefMut::map(self.budgets.borrow_mut(), |it| {
            let budget = it.entry(service.clone());
            budget.or_insert_with(|| Budget::new(self.started_at))
        })
    }

    /// Counts a caller's request toward the retry budget of a service.
    pub fn count_request(&self, service: &Arc<str>) {
        let rule = self.settings.retry_rule();
        self.budget(service).record_request(clock::now(), rule);
    }

    /// Takes one retry from the budget of a service. Returns false if none is left.
    pub fn take_retry(&self, service: &Arc<str>) -> bool {
        let hosts = self.peers.borrow().host_count();
        let rule = self.settings.retry_rule();
        let allowed = self.budget(service).try_retry(clock::now(), rule, hosts);
        let outcome = if allowed { "sent" } else { "refused" };
        self.metrics.count_retry(service, outcome);
        allowed
    }

    /// Reserves one retry in the budget of a service. Returns `None` if none is left.
    pub(crate) fn reserve_retry(self: &Rc<Self>, service: &Arc<str>) -> Option<ReservedRetry> {
        let hosts = self.peers.borrow().host_count();
        let rule = self.settings.retry_rule();
        let reserved_at = clock::now();
        let is_allowed = self.budget(service).try_retry(reserved_at, rule, hosts);
        is_allowed.then(|| ReservedRetry {
            gateway: self.clone(),
            service: service.clone(),
            reserved_at,
            is_spent: false,
        })
    }

    /// Returns whether the budget of a service has a retry left.
    pub fn has_retry(&self, service: &Arc<str>) -> bool {
        let hosts = self.peers.borrow().host_count();
        let rule = self.settings.retry_rule();
        self.budget(service).has_retry(clock::now(), rule, hosts)
    }

    /// Accepts a request to load an adapter on an engine of which this host is the steward.
    pub fn request_load(&self, request: &loader::LoadRequest) {
        self.loader.borrow_mut().add_request(request, clock::now());
        self.orders_wakeup.notify_one();
    }

    /// Decides whether to tell the steward of a busy engine now that a copy of an adapter is wanted. Returns the number of
    /// earlier such messages.
    pub fn next_wanted_copy(&self, name: &Name, now: Time) -> Option<usize> {
        let mut wanted = self.wanted_copies.borrow_mut();
        wanted.retain(|_, it| it.0 + WANTED_COPY_TTL > now);
        let entry = wanted.entry(name.clone()).or_insert((Time::ZERO, 0));
        if entry.0 + WANTED_COPY_INTERVAL > now {
            return None;
        }
        *entry = (now, entry.1 + 1);
        Some(entry.1 - 1)
    }

    /// Requests that wait for the load of an adapter.
    pub fn load_wait(&self, wanted: &Wanted) -> Rc<LoadWait> {
        let mut waits = self.load_waits.borrow_mut();
        waits.entry(wanted.clone()).or_default().clone()
    }

    /// Removes the wait entry of an adapter if no request waits for it.
    pub fn remove_idle_wait(&self, wanted: &Wanted) {
        let mut waits = self.load_waits.borrow_mut();
        if waits.get(wanted).is_some_and(|it| it.waiters.get() == 0) {
            waits.remove(wanted);
        }
    }

    /// Records the loads ordered by other hosts whose expected end has passed.
    pub fn record_due_loads(&self) {
        let now = clock::now();
        let due = self.in_flight_loads.borrow_mut().take_due(now);
        for (name, load) in due {
            if let Some(engine) = self.table.borrow_mut().get_mut(load.key) {
                engine.record_load(&name, load.version, now);
            }
            self.wake_waiters(&name);
        }
    }

    /// Due time of an adapter's load that another host has ordered. The load may also have been due
    /// a moment ago.
    pub fn load_due(&self, wanted: &Wanted) -> Option<Time> {
        let now = clock::now();
        let table = self.table.borrow();
        let loads = self.in_flight_loads.borrow();
        let load = loads.find(wanted, &table, now)?;
        Some(load.due)
    }

    /// Wakes the requests that wait for an adapter.
    pub fn wake_waiters(&self, name: &Name) {
        for (_, wait) in (self.load_waits.borrow().iter()).filter(|it| it.0.name == *name) {
            wait.ready.notify_waiters();
        }
    }

    /// Updates the gauges that describe the current state.
    pub fn record_state(&self) {
        let config = self.catalog().map_or(0, |it| it.revision);
        let engines = self.table.borrow().iter().count();
        let is_limited = |it: &(_, &Engine)| it.1.limit.rate().is_some();
        let limited = self.table.borrow().iter().filter(is_limited).count();
        self.metrics.record_limited_engines(limited);
        let loader = self.loader.borrow();
        let times = [
            ("store", &loader.fetch_time),
            ("memory", &loader.reload_time),
        ];
        for (source, it) in times {
            self.metrics.record_load_time(source, it.expected());
        }
        drop(loader);
        let live_hosts = self.peers.borrow().live_hosts(clock::now()).len();
        self.metrics
            .record_state(config, engines, live_hosts, self.orderable_engines().len());
        for budget in [
            &self.request_budget,
            &self.response_budget,
            &self.store_budget,
        ] {
            self.metrics.record_body_memory(budget);
        }
        self.record_engine_speeds();
        let catalog = self.catalog();
        let accounts = catalog.iter().filter_map(|it| it.accounts.as_ref());
        for account in accounts.flat_map(Accounts::iter) {
            let state = (self.ledger.borrow()).state(AccountId::of(&account.name), clock::now());
            let metrics = &self.metrics.accounts;
            if let Some(it) = state {
                metrics.record_level(&account.name, it.level);
            }
            metrics.record_quota(&account.name, account.quota.as_ref());
        }
        for (service, length) in self.queues.lengths() {
            self.metrics.queue.record_length(&service, length);
        }
        let quarantined = self.quarantine.borrow().len(clock::now());
        self.metrics.record_quarantined_parts(quarantined);
        for kind in list_sync::LISTS {
            if let Some(age) = self.list_age(kind) {
                self.metrics.record_list_age(kind.name(), age);
            }
        }
        let hosts = self.peers.borrow().host_count();
        for (service, budget) in &mut *self.budgets.borrow_mut() {
            let remaining = budget.remaining(clock::now(), self.settings.retry_rule(), hosts);
            self.metrics.record_retries_left(service, remaining);
        }
    }

    /// Updates the gauges of the speeds of engines.
    fn record_engine_speeds(&self) {
        let now = clock::now();
        let mut speeds: HashMap<Arc<str>, Vec<f64>> = HashMap::new();
        for (_, engine) in self.table.borrow().iter() {
            let rate = engine.speed.rate(now);
            if engine.accepts_work() && rate.age.is_some() {
                let of_service = speeds.entry(engine.listing.service.clone()).or_default();
                of_service.push(rate.tokens_per_ms);
            }
        }
        for (service, mut speeds) in speeds {
            speeds.sort_by(f64::total_cmp);
            let last = speeds.len() - 1;
            for (which, index) in [("slowest", 0), ("median", last / 2), ("fastest", last)] {
                (self.metrics.capacity).record_speed(&service, which, speeds[index]);
            }
        }
    }

    /// Engines to which this host may send orders now.
    pub fn orderable_engines(&self) -> Vec<Key> {
        let table = self.table.borrow();
        let claims = self.claims.borrow();
        let ids = claims.orderable(clock::now());
        ids.filter_map(|id| table.find(id)).collect()
    }
}

/// Logs that the limit of an engine has changed, how this host knows, and how old are the request whose answer says it
/// (`since`) and the previous statement.
pub(crate) fn log_limit(
    engine: &Engine,
    why: &'static str,
    since: Time,
    previous: Time,
    now: Time,
) {
    let id = &*engine.listing.id;
    let since_ms = message::to_millis(now.saturating_sub(since));
    let previous_ms = message::to_millis(now.saturating_sub(previous));
    if let Some(rate) = engine.limit.rate() {
        let per_second = rate.per_second();
        log::info!(event = "engine-limited", engine = id, per_second, why, since_ms, previous_ms; "engine {id} takes {per_second} requests a second from all hosts");
    } else {
        log::info!(event = "engine-unlimited", engine = id, why, since_ms, previous_ms; "engine {id} no longer limits its requests");
    }
}

/// Logs that an engine with this number of requests of this host is full, and how this host knows.
pub(crate) fn log_full(engine: &Engine, why: &'static str, running: u32) {
    let id = &*engine.listing.id;
    let tolerance = engine.room.tolerance();
    log::info!(event = "engine-full", engine = id, running, tolerance, why; "engine {id} refuses requests for want of room");
}

/// Retry that is reserved in the budget. Dropping it returns it to the budget, unless it is spent.
pub(crate) struct ReservedRetry {
    gateway: Rc<Gateway>,
    service: Arc<str>,
    reserved_at: Time,
    is_spent: bool,
}

impl ReservedRetry {
    /// Records that the retry was sent.
    pub(crate) fn spend(mut self) {
        self.is_spent = true;
        self.gateway.metrics.count_retry(&self.service, "sent");
    }
}

impl Drop for ReservedRetry {
    fn drop(&mut self) {
        if self.is_spent {
            return;
        }
        let mut budget = self.gateway.budget(&self.service);
        budget.return_retry(self.reserved_at);
    }
}
