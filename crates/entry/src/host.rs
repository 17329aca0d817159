//! The state shared by all threads of an entry host.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex, OnceLock, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use config::{Document, revision};
use kernel::{
    clock::Clock,
    name::Upstream,
    permit::{Holder, Request},
    request::Id,
};
use objects::{http, journal::Journal, log::Log};
use steward::Ticket;
use telemetry::metrics::Metrics;

use crate::{
    directory::{Entry, SharedDirectory},
    host_list::HostList,
    inbox::{Inbox, PendingRequest, Reply},
    lending::Lending,
    readiness::Readiness,
    retries::Retries,
    revision_log::RevisionLog,
    running,
    settings::Settings,
    trace::Trace,
};

/// Number of bytes of a caller's request id that are kept in the ids of its attempts.
const MAX_CALLER_ID_BYTES: usize = 64;

/// The largest accepted response of a plain service.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// The state shared by all threads of an entry host.
pub struct Host {
    /// The settings.
    pub settings: Settings,
    /// The name and incarnation of this process.
    pub me: Holder,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The stage of the process lifecycle.
    pub readiness: Readiness,
    /// The active configuration.
    pub revision: RwLock<revision::State>,
    /// The published state of all engines.
    pub directory: SharedDirectory,
    /// The last host list of the platform.
    pub host_list: HostList,
    /// The queue of the thread that owns the steward's state.
    pub inbox: Inbox,
    /// The lending of the weight store's limits.
    pub lending: Lending,
    /// The engines that this host is steward of, with the fencing token of each.
    pub held: Mutex<BTreeMap<Upstream, u64>>,
    /// Engines whose status is queried at the next opportunity.
    pub requested_queries: Mutex<BTreeSet<Upstream>>,
    /// Held engines that another host may have claimed. Their claim objects are read again.
    pub claims_to_verify: Mutex<BTreeSet<Upstream>>,
    /// The highest revision that another host announced, with that host.
    pub announced_revision: Mutex<Option<(u64, Holder)>>,
    /// Recent revisions, kept for other hosts that fall behind.
    pub revision_log: RevisionLog,
    /// The connections to other hosts. Set once the sockets are open.
    pub peer: OnceLock<peer::Handle>,
    /// The client of the platform's object API.
    pub store: http::Client,
    /// The configuration log stored in the platform.
    pub config_log: Log,
    /// The records of calls with idempotency keys.
    pub journal: Journal,
    /// The client for engines.
    pub engines: upstream::engine::Client,
    /// The client for plain services.
    pub plain: upstream::plain::Client,
    /// The retry budgets of the services.
    pub retries: Retries,
    /// The running requests of each tenant.
    pub running: running::Counts,
    /// Metrics.
    pub metrics: Metrics,
    /// The traces of recent requests.
    pub trace: Trace,
    next_number: AtomicU64,
}

impl Host {
    /// Returns the active revision and its configuration. A request uses the configuration under
    /// which it was admitted.
    pub fn configuration(&self) -> (revision::Number, Document) {
        let state = self.revision.read().expect("revision lock is poisoned");
        (state.number(), state.document().clone())
    }

    /// Returns a number that is unique within this incarnation.
    fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Generates a request id that is unique across all hosts.
    pub fn generate_id(&self) -> Id {
        let Holder { host, incarnation } = &self.me;
        let text = format!("{host}.{incarnation:x}.{:x}", self.next_number());
        text.parse().expect("a generated id is valid")
    }

    /// Generates the id of one attempt at a request. Callers may use the same id concurrently, but
    /// engines require unique ids.
    pub fn attempt_id(&self, request: &Id) -> Id {
        let text = request.as_str();
        let prefix = &text[..text.len().min(MAX_CALLER_ID_BYTES)];
        let text = format!("{prefix}~{}", self.generate_id());
        text.parse().unwrap_or_else(|_| self.generate_id())
    }

    /// Adds a step to the trace of a request.
    pub fn trace_step(&self, id: &Id, text: impl Into<String>) {
        self.trace.step(id, self.clock.now(), text);
    }

    /// Sends a permit request to this host's own steward. Returns the reply callback if the queue
    /// is full.
    pub fn request_permit(&self, request: Request, reply: Reply) -> Result<Ticket, Reply> {
        let ticket = Ticket(self.next_number());
        let pending = PendingRequest {
            ticket,
            request,
            received_at: self.clock.now(),
            reply,
        };
        self.inbox.push_request(pending)?;
        Ok(ticket)
    }

    /// Publishes an entry to all hosts.
    pub fn publish(&self, entry: Entry) {
        let Some(peer) = self.peer.get() else {
            return;
        };
        if let Err(error) = peer.publish(&entry.key, entry.value) {
            log::warn!(target: "member", "An entry could not be published: {error}.");
        }
    }

    /// Requests a status query of an engine.
    pub fn request_status_query(&self, engine: Upstream) {
        let mut requested = self
            .requested_queries
            .lock()
            .expect("report lock is poisoned");
        requested.insert(engine);
    }

    /// Requests that the claim object of a held engine is read again.
    pub fn verify_claim(&self, engine: Upstream) {
        let mut engines = self
            .claims_to_verify
            .lock()
            .expect("claim lock is poisoned");
        engines.insert(engine);
    }

    /// Returns the fencing token under which this host is steward of an engine, if it is the
    /// steward.
    pub fn held_fence(&self, engine: &Upstream) -> Option<u64> {
        let held = self.held.lock().expect("held lock is poisoned");
        held.get(engine).copied()
    }

    /// Returns whether this host is steward of an engine.
    pub fn holds(&self, engine: &Upstream) -> bool {
        self.held_fence(engine).is_some()
    }
}

/// The inputs needed to create a host.
pub struct Parts {
    /// The settings.
    pub settings: Settings,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Metrics.
    pub metrics: Metrics,
}

impl Host {
    /// Creates the shared state without starting any thread.
    pub fn new(parts: Parts) -> Self {
        let Parts {
            settings,
            clock,
            metrics,
        } = parts;
        let me = Holder {
            host: settings.host.clone(),
            incarnation: new_incarnation(&*clock),
        };
        let store = http::Client::new(settings.platform);
        let shared: Arc<dyn objects::object::Store> = Arc::new(store.clone());
        Self {
            readiness: Readiness::default(),
            revision: RwLock::default(),
            directory: SharedDirectory::new(settings.domain.clone()),
            host_list: HostList::default(),
            inbox: Inbox::default(),
            lending: Lending::default(),
            held: Mutex::default(),
            requested_queries: Mutex::default(),
            claims_to_verify: Mutex::default(),
            announced_revision: Mutex::default(),
            revision_log: RevisionLog::default(),
            peer: OnceLock::new(),
            config_log: Log::new(Arc::clone(&shared)),
            journal: Journal::new(shared, me.clone(), Arc::clone(&clock)),
            engines: upstream::engine::Client,
            plain: upstream::plain::Client {
                max_response_bytes: MAX_RESPONSE_BYTES,
            },
            retries: Retries::default(),
            running: running::Counts::default(),
            trace: Trace::default(),
            next_number: AtomicU64::new(1),
            settings,
            me,
            clock,
            metrics,
            store,
        }
    }
}

/// Returns the wall-clock time in milliseconds. A later incarnation of a host gets a higher number,
/// because replacing a process takes longer than a millisecond.
fn new_incarnation(clock: &dyn Clock) -> u64 {
    let since_epoch = clock
        .wall_time()
        .duration_since(std::time::SystemTime::UNIX_EPOCH);
    let millis = since_epoch.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}

/// Returns the whole milliseconds from `start` to `end`.
pub fn elapsed_millis(start: Instant, end: Instant) -> u64 {
    let elapsed = end.saturating_duration_since(start).as_millis();
    u64::try_from(elapsed).unwrap_or(u64::MAX)
}
