//! What the parts of one host share. All of it belongs to one thread; no borrow is held across a wait.

use std::{
    cell::{Cell, RefCell, RefMut},
    collections::{HashMap, VecDeque},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use fleet::{
    Time,
    budget::Budget,
    catalog::Catalog,
    in_flight::InFlightLoads,
    listing::Name,
    loader::{self, Loader},
    placement::{self, Placement, PlacementRequest},
    prefix::Chain,
    table::{Key, Removal, Table},
};
use tokio::sync::Notify;

use crate::{
    claims::Claims,
    clock,
    connection::Pool,
    dialect::{Dialect, Kind},
    list_cache::ListCache,
    list_sync,
    metrics::Metrics,
    peers::Peers,
    settings::Settings,
};

/// Time after the store's return for which vanished entries may come back.
const ENTRY_RETURN_WINDOW: Duration = Duration::from_millis(2500);

/// Time between two asks of this host for one more copy of an adapter: a copy is there after some 300 ms.
const REPLICA_REQUEST_INTERVAL: Duration = Duration::from_millis(300);

/// Time after which the count of these asks begins anew.
const REPLICA_COUNT_TTL: Duration = Duration::from_secs(5);

/// Requests that may wait for one adapter at this host.
pub const MAX_WAITERS: usize = 400;

/// One host.
pub struct Gateway {
    /// Its settings.
    pub settings: Settings,
    /// Who it is for engines and the store.
    pub holder: Arc<str>,
    /// The start of this process, which tells its lives apart.
    pub incarnation: u64,
    /// When this process started.
    started_at: Time,
    /// What it counts.
    pub metrics: Metrics,
    /// The platform's names and formats.
    pub dialect: Arc<dyn Dialect>,
    /// Connections to upstreams.
    pub pool: Pool,
    /// The operator's configuration, once one is known.
    pub catalog: RefCell<Option<Rc<Catalog>>>,
    /// Engines.
    pub table: RefCell<Table>,
    /// Whether the engines have been listed.
    pub listed: Cell<bool>,
    /// Loads of this host's engines.
    pub loader: RefCell<Loader>,
    /// Loads that other hosts have ordered.
    pub in_flight_loads: RefCell<InFlightLoads>,
    /// Who orders which engine.
    pub claims: RefCell<Claims>,
    /// Other hosts.
    pub peers: RefCell<Peers>,
    /// Whether this host is to end.
    pub stopping: Cell<bool>,
    /// Whether this host takes no new requests, since it is about to end.
    pub closing: Cell<bool>,
    /// Open connections of callers.
    pub open_connections: Cell<usize>,
    /// Says that the store answers again.
    pub store_regained: Notify,
    /// Says that a configuration was adopted.
    pub config_adopted: Notify,
    /// Wakes the sender of orders.
    pub orders_changed: Notify,
    /// Wakes the sender of words to other hosts: a list has changed.
    pub lists_changed: Notify,
    /// Says that another host has told how far it knows the lists.
    pub lists_received: Notify,
    /// When this host read each list last, if it reads it.
    last_read: [Cell<Option<Time>>; 3],
    /// When each list was known to be complete last.
    known_complete: [Cell<Time>; 3],
    /// Parts of lists as they were handed on last, since many ask for the same.
    pub list_responses: RefCell<HashMap<Kind, list_sync::CachedResponse>>,
    /// Says that the store has told the hosts' addresses.
    pub hosts_listed: Notify,
    store: RefCell<StoreState>,
    budgets: RefCell<HashMap<Arc<str>, Budget>>,
    load_waits: RefCell<HashMap<Name, Rc<LoadWait>>>,
    /// When one more copy of an adapter was asked for last, and how often.
    replica_requests: RefCell<HashMap<Name, (Time, usize)>>,
    /// Objects as they came from the store, for hosts that start without it.
    pub list_cache: ListCache,
    /// News for other hosts that wasn't sent yet.
    pub adapter_updates: RefCell<VecDeque<crate::message::AdapterUpdate>>,
    /// Engines that take no more work, of which other hosts weren't told yet.
    pub draining_engines: RefCell<Vec<crate::message::EngineIncarnation>>,
}

/// How the store has answered.
#[derive(Default)]
struct StoreState {
    unavailable: bool,
    recovered_at: Option<Time>,
}

/// Requests that wait for one adapter.
#[derive(Default)]
pub struct LoadWait {
    /// Wakes them.
    pub ready: Notify,
    /// How many there are.
    pub waiters: Cell<usize>,
    /// Asks that were sent for it.
    pub requests_sent: Cell<u32>,
    /// When the last one was sent.
    pub last_request: Cell<Option<Time>>,
}

impl Gateway {
    /// A host that knows nothing yet.
    pub fn new(settings: Settings, dialect: Arc<dyn Dialect>, incarnation: u64) -> Self {
        Self {
            holder: settings.holder().into(),
            settings,
            incarnation,
            started_at: clock::now(),
            metrics: Metrics::new(),
            dialect,
            pool: Pool::default(),
            catalog: RefCell::default(),
            table: RefCell::default(),
            listed: Cell::default(),
            loader: RefCell::default(),
            in_flight_loads: RefCell::default(),
            claims: RefCell::default(),
            peers: RefCell::default(),
            stopping: Cell::default(),
            closing: Cell::default(),
            open_connections: Cell::default(),
            store_regained: Notify::new(),
            config_adopted: Notify::new(),
            orders_changed: Notify::new(),
            lists_changed: Notify::new(),
            lists_received: Notify::new(),
            last_read: Default::default(),
            known_complete: Default::default(),
            list_responses: RefCell::default(),
            hosts_listed: Notify::new(),
            store: RefCell::default(),
            budgets: RefCell::default(),
            load_waits: RefCell::default(),
            replica_requests: RefCell::default(),
            list_cache: ListCache::default(),
            adapter_updates: RefCell::default(),
            draining_engines: RefCell::default(),
        }
    }

    /// Whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && self.listed.get() && self.catalog.borrow().is_some()
    }

    /// The present configuration.
    pub fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Adopts a configuration if it is newer.
    pub fn adopt_catalog(&self, catalog: Catalog) {
        let newer = self
            .catalog
            .borrow()
            .as_ref()
            .is_none_or(|it| it.revision < catalog.revision);
        if newer {
            let version = catalog.revision;
            log::info!(event = "config", version; "config of version {version} adopted");
            *self.catalog.borrow_mut() = Some(Rc::new(catalog));
            self.config_adopted.notify_waiters();
        }
    }

    /// Notes whether the store answers.
    pub fn set_store_available(&self, available: bool) {
        let mut store = self.store.borrow_mut();
        if store.unavailable && available {
            store.recovered_at = Some(clock::now());
            log::info!(event = "store-regained"; "the store answers again");
            self.store_regained.notify_waiters();
        } else if !store.unavailable && !available {
            log::warn!(event = "store-lost"; "the store doesn't answer");
        }
        store.unavailable = !available;
    }

    /// Whether the store answered last time.
    pub fn is_store_unavailable(&self) -> bool {
        self.store.borrow().unavailable
    }

    /// How long ago this host read a list, if it reads it.
    pub fn read_age(&self, kind: Kind) -> Option<Duration> {
        let read = self.last_read[list_sync::list_index(kind)].get()?;
        Some(clock::now().saturating_sub(read))
    }

    /// How long ago the store gave the answer that this host's view of a list rests on, as far as known.
    fn list_age(&self, kind: Kind) -> Option<Duration> {
        let peer_age = || self.peers.borrow().min_list_age(kind, clock::now());
        self.read_age(kind).or_else(peer_age)
    }

    /// When a list was known to be complete last.
    pub fn complete_at(&self, kind: Kind) -> Time {
        self.known_complete[list_sync::list_index(kind)].get()
    }

    /// Notes that a list was complete then.
    pub fn mark_complete(&self, kind: Kind, at: Time) {
        let known = &self.known_complete[list_sync::list_index(kind)];
        known.set(known.get().max(at));
    }

    /// Notes that this host has read all of a list.
    pub fn mark_read(&self, kind: Kind) {
        self.last_read[list_sync::list_index(kind)].set(Some(clock::now()));
    }

    /// Notes that this host doesn't read a list itself.
    pub fn clear_read(&self, kind: Kind) {
        self.last_read[list_sync::list_index(kind)].set(None);
    }

    /// Whether other hosts of the domain take their lists from those that read.
    pub fn has_followers(&self) -> bool {
        let peers = self.peers.borrow();
        peers.has_followers(&self.settings.domain, clock::now())
    }

    /// How an entry that vanished now is to be taken.
    pub fn removal_kind(&self) -> Removal {
        let store = self.store.borrow();
        let now = clock::now();
        if store.unavailable
            || store
                .recovered_at
                .is_some_and(|it| it + ENTRY_RETURN_WINDOW > now)
        {
            Removal::AfterOutage
        } else {
            Removal::StoreAvailable
        }
    }

    /// The budget of a service.
    fn budget(&self, service: &Arc<str>) -> RefMut<'_, Budget> {
        RefMut::map(self.budgets.borrow_mut(), |it| {
            let budget = it.entry(service.clone());
            budget.or_insert_with(|| Budget::new(self.started_at))
        })
    }

    /// Counts a caller's request to a service.
    pub fn count_request(&self, service: &Arc<str>) {
        let rule = self.settings.retry_rule();
        self.budget(service).record_request(clock::now(), rule);
    }

    /// Takes one repeat of the budget of a service.
    pub fn take_retry(&self, service: &Arc<str>) -> bool {
        let hosts = self.peers.borrow().host_count();
        let rule = self.settings.retry_rule();
        let allowed = self.budget(service).try_retry(clock::now(), rule, hosts);
        let outcome = if allowed { "sent" } else { "refused" };
        self.metrics.count_retry(service, outcome);
        allowed
    }

    /// Whether the budget of a service has a repeat left.
    pub fn has_retry(&self, service: &Arc<str>) -> bool {
        let hosts = self.peers.borrow().host_count();
        let rule = self.settings.retry_rule();
        self.budget(service).has_retry(clock::now(), rule, hosts)
    }

    /// Finds a place for a request.
    pub fn choose_placement(
        &self,
        service: &Arc<str>,
        name: Option<&Name>,
        chain: &Chain,
        max_gap: Duration,
        tried: &[Key],
    ) -> Placement {
        let request = PlacementRequest {
            service,
            name,
            chain,
            max_gap,
            domain: &self.settings.domain,
            tried,
            random: rand::random(),
        };
        placement::place(&self.table.borrow(), &request, clock::now())
    }

    /// Takes in an ask for a load at one of this host's own engines.
    pub fn request_load(&self, request: &loader::LoadRequest) {
        self.loader.borrow_mut().add_request(request, clock::now());
        self.orders_changed.notify_one();
    }

    /// Whether to ask for one more copy of an adapter now: how many were asked for, and the decayed uses
    /// that the copy would take from the engine that has it.
    pub fn next_replica_request(&self, name: &Name, from: Key, now: Time) -> Option<(usize, f64)> {
        let hosts = u32::try_from(self.peers.borrow().host_count()).unwrap_or(u32::MAX);
        let table = self.table.borrow();
        let estimate = table.get(from)?.held.get(name)?;
        let mut requests = self.replica_requests.borrow_mut();
        requests.retain(|_, it| it.0 + REPLICA_COUNT_TTL > now);
        let entry = requests.entry(name.clone()).or_insert((Time::ZERO, 0));
        if entry.0 + REPLICA_REQUEST_INTERVAL > now {
            return None;
        }
        *entry = (now, entry.1 + 1);
        Some((entry.1 - 1, estimate.uses(now) * f64::from(hosts) / 2.0))
    }

    /// The requests that wait for an adapter.
    pub fn load_wait(&self, name: &Name) -> Rc<LoadWait> {
        let mut waits = self.load_waits.borrow_mut();
        waits.entry(name.clone()).or_default().clone()
    }

    /// Forgets who waits for an adapter once nobody does.
    pub fn remove_idle_wait(&self, name: &Name) {
        let mut waits = self.load_waits.borrow_mut();
        if waits.get(name).is_some_and(|it| it.waiters.get() == 0) {
            waits.remove(name);
        }
    }

    /// Enters the loads of other hosts that should be done by now.
    pub fn enter_due_loads(&self) {
        let now = clock::now();
        let due = self.in_flight_loads.borrow_mut().take_due(now);
        for (name, load) in due {
            if let Some(engine) = self.table.borrow_mut().get_mut(load.key) {
                engine.record_load(&name, load.version, now);
            }
            self.wake_waiters(&name);
        }
    }

    /// When the load of an adapter that another host has ordered is due, or was a moment ago.
    pub fn load_due(&self, name: &Name) -> Option<Time> {
        let now = clock::now();
        let table = self.table.borrow();
        let load = self.in_flight_loads.borrow().find(name, &table, now)?;
        Some(load.due)
    }

    /// Wakes the requests that wait for an adapter.
    pub fn wake_waiters(&self, name: &Name) {
        if let Some(wait) = self.load_waits.borrow().get(name) {
            wait.ready.notify_waiters();
        }
    }

    /// Brings the metrics of what is known up to date.
    pub fn record_state(&self) {
        let config = self.catalog().map_or(0, |it| it.revision);
        let engines = self.table.borrow().iter().count();
        let live_hosts = self.peers.borrow().live_hosts(clock::now()).len();
        self.metrics
            .record_state(config, engines, live_hosts, self.orderable_engines().len());
        for kind in list_sync::LISTS {
            if let Some(age) = self.list_age(kind) {
                self.metrics.record_list_age(kind.name(), age);
            }
        }
        let hosts = self.peers.borrow().host_count();
        for (service, budget) in &mut *self.budgets.borrow_mut() {
            let left = budget.remaining(clock::now(), self.settings.retry_rule(), hosts);
            self.metrics.record_retries_left(service, left);
        }
    }

    /// The engines that this host may order now.
    pub fn orderable_engines(&self) -> Vec<Key> {
        let table = self.table.borrow();
        let claims = self.claims.borrow();
        let ids = claims.orderable(clock::now());
        ids.filter_map(|id| table.find(id)).collect()
    }
}
