//! What the threads of an entry host share.

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

/// Bytes of a caller's id that stand in the ids of its attempts.
const MAX_CALLER_ID_BYTES: usize = 64;

/// The largest answer of a plain service in bytes.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// What the threads of an entry host share.
pub struct Host {
    /// The settings.
    pub settings: Settings,
    /// This life of this host.
    pub me: Holder,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The stage of life.
    pub readiness: Readiness,
    /// The configuration in force.
    pub revision: RwLock<revision::State>,
    /// What is known of all engines.
    pub directory: SharedDirectory,
    /// What the host list says.
    pub host_list: HostList,
    /// The way to the thread that owns the steward's state.
    pub inbox: Inbox,
    /// The division of the weight store's limits.
    pub lending: Lending,
    /// The engines that this host is steward of, with the fencing number of each.
    pub held: Mutex<BTreeMap<Upstream, u64>>,
    /// Engines whose exact report is wanted soon.
    pub requested_reports: Mutex<BTreeSet<Upstream>>,
    /// Held engines that another host may have taken.
    pub claims_to_verify: Mutex<BTreeSet<Upstream>>,
    /// The highest revision that another host is known to have, with that host.
    pub announced_revision: Mutex<Option<(u64, Holder)>>,
    /// Revisions kept for other hosts.
    pub revision_log: RevisionLog,
    /// The other hosts; set once the sockets are open.
    pub peer: OnceLock<peer::Handle>,
    /// The platform's object API.
    pub store: http::Client,
    /// The configuration log in the platform.
    pub config_log: Log,
    /// The records of keyed calls.
    pub journal: Journal,
    /// The client of engines.
    pub engines: upstream::engine::Client,
    /// The client of plain services.
    pub plain: upstream::plain::Client,
    /// The retries that services may still make.
    pub retries: Retries,
    /// The requests that run.
    pub running: running::Counts,
    /// Metrics.
    pub metrics: Metrics,
    /// What was decided for recent requests.
    pub trace: Trace,
    next_number: AtomicU64,
}

impl Host {
    /// The configuration in force. A request keeps what it was admitted under.
    pub fn configuration(&self) -> (revision::Number, Document) {
        let state = self.revision.read().expect("revision lock is poisoned");
        (state.number(), state.document().clone())
    }

    /// A number that was not given before in this life.
    fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// An id that no other request of any host has.
    pub fn generate_id(&self) -> Id {
        let Holder { host, incarnation } = &self.me;
        let text = format!("{host}.{incarnation:x}.{:x}", self.next_number());
        text.parse().expect("a fresh id is an id")
    }

    /// The id of one attempt at a request. Callers may use one id twice at the same time; engines
    /// must never see that.
    pub fn attempt_id(&self, request: &Id) -> Id {
        let text = request.as_str();
        let prefix = &text[..text.len().min(MAX_CALLER_ID_BYTES)];
        let text = format!("{prefix}~{}", self.generate_id());
        text.parse().unwrap_or_else(|_| self.generate_id())
    }

    /// Notes a step of a request.
    pub fn trace_step(&self, id: &Id, text: impl Into<String>) {
        self.trace.step(id, self.clock.now(), text);
    }

    /// Asks the own steward, or gives the reply back if too many asks wait.
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
            log::warn!(target: "member", "An entry was not published: {error}.");
        }
    }

    /// Wants an exact report of an engine soon.
    pub fn request_report(&self, engine: Upstream) {
        let mut requested = self
            .requested_reports
            .lock()
            .expect("inspect lock is poisoned");
        requested.insert(engine);
    }

    /// Wants the object of a held engine to be read again.
    pub fn verify_claim(&self, engine: Upstream) {
        let mut engines = self
            .claims_to_verify
            .lock()
            .expect("doubt lock is poisoned");
        engines.insert(engine);
    }

    /// The fencing number under which this host is steward of an engine, if it is.
    pub fn held_fence(&self, engine: &Upstream) -> Option<u64> {
        let held = self.held.lock().expect("held lock is poisoned");
        held.get(engine).copied()
    }

    /// Whether this host is steward of an engine.
    pub fn holds(&self, engine: &Upstream) -> bool {
        self.held_fence(engine).is_some()
    }
}

/// The parts that are made before the host.
pub struct Parts {
    /// The settings.
    pub settings: Settings,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Metrics.
    pub metrics: Metrics,
}

impl Host {
    /// Joins the parts. Nothing is started.
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
            requested_reports: Mutex::default(),
            claims_to_verify: Mutex::default(),
            announced_revision: Mutex::default(),
            revision_log: RevisionLog::default(),
            peer: OnceLock::new(),
            config_log: Log::new(Arc::clone(&shared)),
            journal: Journal::new(shared, me.clone(), Arc::clone(&clock)),
            engines: upstream::engine::Client,
            plain: upstream::plain::Client {
                answer_bytes: MAX_ANSWER_BYTES,
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

/// Calendar time in milliseconds: a later life of a host has a higher number, since a process
/// takes longer than that to be replaced.
fn new_incarnation(clock: &dyn Clock) -> u64 {
    let since_epoch = clock
        .wall_time()
        .duration_since(std::time::SystemTime::UNIX_EPOCH);
    let millis = since_epoch.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}

/// Whole milliseconds from `start` to `end`.
pub fn elapsed_millis(start: Instant, end: Instant) -> u64 {
    let elapsed = end.saturating_duration_since(start).as_millis();
    u64::try_from(elapsed).unwrap_or(u64::MAX)
}
