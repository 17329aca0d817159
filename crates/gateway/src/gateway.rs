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
    channel::Pool,
    claims::Claims,
    clock,
    dialect::{Dialect, Kind},
    feed,
    kept::Kept,
    metrics::Metrics,
    peers::Peers,
    settings::Settings,
};

/// Time after the store's return for which vanished entries may come back.
const ENTRIES_RETURN: Duration = Duration::from_millis(2500);

/// Time between two asks of this host for one more copy of an adapter: a copy is there after some 300 ms.
const SPREAD_PAUSE: Duration = Duration::from_millis(300);

/// Time after which the count of these asks begins anew.
const SPREAD_FORGETS: Duration = Duration::from_secs(5);

/// Requests that may wait for one adapter at this host.
pub const WAITERS: usize = 400;

/// One host.
pub struct Gateway {
    /// Its settings.
    pub settings: Settings,
    /// Who it is for engines and the store.
    pub holder: Arc<str>,
    /// The start of this process, which tells its lives apart.
    pub life: u64,
    /// When this process started.
    started: Time,
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
    pub coming: RefCell<InFlightLoads>,
    /// Who orders which engine.
    pub claims: RefCell<Claims>,
    /// Other hosts.
    pub peers: RefCell<Peers>,
    /// Whether this host is to end.
    pub stopping: Cell<bool>,
    /// Whether this host takes no new requests, since it is about to end.
    pub closing: Cell<bool>,
    /// Open connections of callers.
    pub callers: Cell<usize>,
    /// Says that the store answers again.
    pub store_regained: Notify,
    /// Says that a configuration was adopted.
    pub configured: Notify,
    /// Wakes the sender of orders.
    pub order: Notify,
    /// Wakes the sender of words to other hosts: a list has changed.
    pub tell: Notify,
    /// Says that another host has told how far it knows the lists.
    pub heard: Notify,
    /// When this host read each list last, if it reads it.
    reads: [Cell<Option<Time>>; 3],
    /// When each list was known to be complete last.
    known: [Cell<Time>; 3],
    /// Parts of lists as they were handed on last, since many ask for the same.
    pub parts: RefCell<HashMap<Kind, feed::Told>>,
    /// Says that the store has told the hosts' addresses.
    pub hosts_listed: Notify,
    store: RefCell<Store>,
    budgets: RefCell<HashMap<Arc<str>, Budget>>,
    waits: RefCell<HashMap<Name, Rc<Wait>>>,
    /// When one more copy of an adapter was asked for last, and how often.
    spreads: RefCell<HashMap<Name, (Time, usize)>>,
    /// Objects as they came from the store, for hosts that start without it.
    pub kept: Kept,
    /// News for other hosts that wasn't sent yet.
    pub news: RefCell<VecDeque<crate::message::News>>,
    /// Engines that take no more work, of which other hosts weren't told yet.
    pub leaving: RefCell<Vec<crate::message::Life>>,
}

/// How the store has answered.
#[derive(Default)]
struct Store {
    away: bool,
    back: Option<Time>,
}

/// Requests that wait for one adapter.
#[derive(Default)]
pub struct Wait {
    /// Wakes them.
    pub there: Notify,
    /// How many there are.
    pub count: Cell<usize>,
    /// Asks that were sent for it.
    pub asks: Cell<u32>,
    /// When the last one was sent.
    pub asked: Cell<Option<Time>>,
}

impl Gateway {
    /// A host that knows nothing yet.
    pub fn new(settings: Settings, dialect: Arc<dyn Dialect>, life: u64) -> Self {
        Self {
            holder: settings.holder().into(),
            settings,
            life,
            started: clock::now(),
            metrics: Metrics::new(),
            dialect,
            pool: Pool::default(),
            catalog: RefCell::default(),
            table: RefCell::default(),
            listed: Cell::default(),
            loader: RefCell::default(),
            coming: RefCell::default(),
            claims: RefCell::default(),
            peers: RefCell::default(),
            stopping: Cell::default(),
            closing: Cell::default(),
            callers: Cell::default(),
            store_regained: Notify::new(),
            configured: Notify::new(),
            order: Notify::new(),
            tell: Notify::new(),
            heard: Notify::new(),
            reads: Default::default(),
            known: Default::default(),
            parts: RefCell::default(),
            hosts_listed: Notify::new(),
            store: RefCell::default(),
            budgets: RefCell::default(),
            waits: RefCell::default(),
            spreads: RefCell::default(),
            kept: Kept::default(),
            news: RefCell::default(),
            leaving: RefCell::default(),
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
    pub fn adopt(&self, catalog: Catalog) {
        let newer = self
            .catalog
            .borrow()
            .as_ref()
            .is_none_or(|it| it.revision < catalog.revision);
        if newer {
            let version = catalog.revision;
            log::info!(event = "config", version; "config of version {version} adopted");
            *self.catalog.borrow_mut() = Some(Rc::new(catalog));
            self.configured.notify_waiters();
        }
    }

    /// Notes whether the store answers.
    pub fn store_answers(&self, answers: bool) {
        let mut store = self.store.borrow_mut();
        if store.away && answers {
            store.back = Some(clock::now());
            log::info!(event = "store-regained"; "the store answers again");
            self.store_regained.notify_waiters();
        } else if !store.away && !answers {
            log::warn!(event = "store-lost"; "the store doesn't answer");
        }
        store.away = !answers;
    }

    /// Whether the store answered last time.
    pub fn store_is_away(&self) -> bool {
        self.store.borrow().away
    }

    /// How long ago this host read a list, if it reads it.
    pub fn read_age(&self, kind: Kind) -> Option<Duration> {
        let read = self.reads[feed::index(kind)].get()?;
        Some(clock::now().saturating_sub(read))
    }

    /// How long ago the store gave the answer that this host's view of a list rests on, as far as known.
    fn list_age(&self, kind: Kind) -> Option<Duration> {
        let followed = || self.peers.borrow().youngest(kind, clock::now());
        self.read_age(kind).or_else(followed)
    }

    /// When a list was known to be complete last.
    pub fn known(&self, kind: Kind) -> Time {
        self.known[feed::index(kind)].get()
    }

    /// Notes that a list was complete then.
    pub fn knows(&self, kind: Kind, at: Time) {
        let known = &self.known[feed::index(kind)];
        known.set(known.get().max(at));
    }

    /// Notes that this host has read all of a list.
    pub fn has_read(&self, kind: Kind) {
        self.reads[feed::index(kind)].set(Some(clock::now()));
    }

    /// Notes that this host doesn't read a list itself.
    pub fn forget_read(&self, kind: Kind) {
        self.reads[feed::index(kind)].set(None);
    }

    /// Whether other hosts of the domain take their lists from those that read.
    pub fn is_followed(&self) -> bool {
        let peers = self.peers.borrow();
        peers.has_followers(&self.settings.domain, clock::now())
    }

    /// How an entry that vanished now is to be taken.
    pub fn removal(&self) -> Removal {
        let store = self.store.borrow();
        let now = clock::now();
        if store.away || store.back.is_some_and(|it| it + ENTRIES_RETURN > now) {
            Removal::AfterOutage
        } else {
            Removal::StoreAvailable
        }
    }

    /// The budget of a service.
    fn budget(&self, service: &Arc<str>) -> RefMut<'_, Budget> {
        RefMut::map(self.budgets.borrow_mut(), |it| {
            let budget = it.entry(service.clone());
            budget.or_insert_with(|| Budget::new(self.started))
        })
    }

    /// Counts a caller's request to a service.
    pub fn count_request(&self, service: &Arc<str>) {
        let rule = self.settings.budget();
        self.budget(service).record_request(clock::now(), rule);
    }

    /// Takes one repeat of the budget of a service.
    pub fn may_repeat(&self, service: &Arc<str>) -> bool {
        let hosts = self.peers.borrow().hosts();
        let rule = self.settings.budget();
        let may = self.budget(service).try_retry(clock::now(), rule, hosts);
        let outcome = if may { "sent" } else { "refused" };
        self.metrics.repeat(service, outcome);
        may
    }

    /// Whether the budget of a service has a repeat left.
    pub fn has_repeat(&self, service: &Arc<str>) -> bool {
        let hosts = self.peers.borrow().hosts();
        let rule = self.settings.budget();
        self.budget(service).has_retry(clock::now(), rule, hosts)
    }

    /// Finds a place for a request.
    pub fn place(
        &self,
        service: &Arc<str>,
        name: Option<&Name>,
        chain: &Chain,
        gap: Duration,
        tried: &[Key],
    ) -> Placement {
        let ask = PlacementRequest {
            service,
            name,
            chain,
            max_gap: gap,
            domain: &self.settings.domain,
            tried,
            random: rand::random(),
        };
        placement::place(&self.table.borrow(), &ask, clock::now())
    }

    /// Takes in an ask for a load at one of this host's own engines.
    pub fn want(&self, ask: &loader::LoadRequest) {
        self.loader.borrow_mut().add_request(ask, clock::now());
        self.order.notify_one();
    }

    /// Whether to ask for one more copy of an adapter now: how many were asked for, and the decayed uses
    /// that the copy would take from the engine that has it.
    pub fn spreads(&self, name: &Name, from: Key, now: Time) -> Option<(usize, f64)> {
        let hosts = u32::try_from(self.peers.borrow().hosts()).unwrap_or(u32::MAX);
        let table = self.table.borrow();
        let belief = table.get(from)?.held.get(name)?;
        let mut spreads = self.spreads.borrow_mut();
        spreads.retain(|_, it| it.0 + SPREAD_FORGETS > now);
        let entry = spreads.entry(name.clone()).or_insert((Time::ZERO, 0));
        if entry.0 + SPREAD_PAUSE > now {
            return None;
        }
        *entry = (now, entry.1 + 1);
        Some((entry.1 - 1, belief.uses(now) * f64::from(hosts) / 2.0))
    }

    /// The requests that wait for an adapter.
    pub fn wait(&self, name: &Name) -> Rc<Wait> {
        let mut waits = self.waits.borrow_mut();
        waits.entry(name.clone()).or_default().clone()
    }

    /// Forgets who waits for an adapter once nobody does.
    pub fn waited(&self, name: &Name) {
        let mut waits = self.waits.borrow_mut();
        if waits.get(name).is_some_and(|it| it.count.get() == 0) {
            waits.remove(name);
        }
    }

    /// Enters the loads of other hosts that should be done by now.
    pub fn settle(&self) {
        let now = clock::now();
        let done = self.coming.borrow_mut().take_due(now);
        for (name, load) in done {
            if let Some(engine) = self.table.borrow_mut().get_mut(load.key) {
                engine.record_load(&name, load.version, now);
            }
            self.wake(&name);
        }
    }

    /// When the load of an adapter that another host has ordered is due, or was a moment ago.
    pub fn comes(&self, name: &Name) -> Option<Time> {
        let now = clock::now();
        let table = self.table.borrow();
        let load = self.coming.borrow().find(name, &table, now)?;
        Some(load.due)
    }

    /// Wakes the requests that wait for an adapter.
    pub fn wake(&self, name: &Name) {
        if let Some(wait) = self.waits.borrow().get(name) {
            wait.there.notify_waiters();
        }
    }

    /// Brings the metrics of what is known up to date.
    pub fn count_state(&self) {
        let config = self.catalog().map_or(0, |it| it.revision);
        let engines = self.table.borrow().iter().count();
        let hosts = self.peers.borrow().live(clock::now()).len();
        self.metrics
            .state(config, engines, hosts, self.mine().len());
        for kind in feed::LISTS {
            if let Some(age) = self.list_age(kind) {
                self.metrics.list_age(kind.word(), age);
            }
        }
        let hosts = self.peers.borrow().hosts();
        for (service, budget) in &mut *self.budgets.borrow_mut() {
            let left = budget.remaining(clock::now(), self.settings.budget(), hosts);
            self.metrics.repeats_left(service, left);
        }
    }

    /// The engines that this host may order now.
    pub fn mine(&self) -> Vec<Key> {
        let table = self.table.borrow();
        let claims = self.claims.borrow();
        let ids = claims.orderable(clock::now());
        ids.filter_map(|id| table.find(id)).collect()
    }
}
