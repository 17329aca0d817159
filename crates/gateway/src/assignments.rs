//! Maintains in the store how the streams of each service are divided between its builds, by the rules of
//! `fleet::assignment`, and tells which build begins or began a stream.
//!
//! One object a service, written on condition of its revision. Each host decides by its own list of engines whether a
//! change is needed. The hosts take turns, so that usually one of them writes and the others read what it has written.
//!
//! A host that can't read the object begins streams by the copy of another host. Only what the store has recorded outlives
//! all hosts, so streams that begin by any copy of it can be taken up though all hosts are lost. A stream that is to begin at
//! another build than the assigned one is recorded before its first event is forwarded, by another host if the store answers
//! only that one. If it answers none, the witnesses of the assignments tell later whether there can be such streams.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use fleet::{
    Time,
    assignment::{
        Assignment, Candidates, Counts, History, StreamKey, Superseded, Witness, WitnessState,
        Witnesses,
    },
    circuit,
    era::{Era, Position, Start},
    listing::Build,
    origin::{BuildId, SETTLE_TIME},
    rendezvous,
    table::{Key, Table},
};
use futures::{StreamExt, future, stream::FuturesUnordered};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{Mutex, Notify},
    time,
};

use crate::{
    clock,
    dialect::{Kind, Object},
    gateway::Gateway,
    list_sync,
    store::{self, WriteResult},
};

/// Time between two checks whether an assignment has to change.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a host does what the host before it in the order has not done.
const TURN_INTERVAL: Duration = Duration::from_millis(100);

/// Number of turns after which all further hosts read the assignment, at random moments within [`MAX_READ_SPREAD`].
const TURNS: usize = 5;

/// See [`TURNS`].
const MAX_READ_SPREAD: Duration = Duration::from_secs(1);

/// Maximum time for which a new stream waits for the first read of the assignment.
const MAX_FIRST_READ: Duration = Duration::from_millis(300);

/// Time for which the store may answer before other hosts are asked for the assignment too.
const COPY_DELAY: Duration = Duration::from_millis(60);

/// Time between two rounds of questions to other hosts while the store doesn't answer.
const COPY_INTERVAL: Duration = Duration::from_millis(400);

/// Number of hosts that are asked for the assignment, those with the most recent messages.
const MAX_ASKED_HOSTS: usize = 3;

/// Maximum time for which a new stream waits until the store has recorded that it begins at another build.
const MAX_EXCEPTION_WRITE: Duration = Duration::from_millis(300);

/// Maximum time for the read that proves which build began a stream.
const VERIFICATION_TIMEOUT: Duration = Duration::from_millis(600);

/// Time between two reads of a host for each host of the fleet. All hosts together stay at half of the reads that the
/// platform's store allows.
const READ_INTERVAL_PER_HOST: Duration = Duration::from_millis(1);

/// Number of times that a write is tried while other hosts write too.
const MAX_WRITES: usize = 4;

/// Assignments of all services, as known to this host.
#[derive(Default)]
pub struct Assignments {
    services: RefCell<HashMap<Arc<str>, Rc<Service>>>,
}

/// State of one service.
#[derive(Default)]
struct Service {
    known: RefCell<Option<Known>>,
    reads: Reads,
    /// Held while this host writes.
    write: Mutex<()>,
    /// Since when a change has been needed.
    needed_since: Cell<Option<Time>>,
    /// True if streams of this host began at any build, and the store doesn't know it yet.
    has_unassigned: Cell<bool>,
    /// Division of the streams by the engines that this host knows, used while it knows of no stored one. The stored one
    /// is most likely the same.
    presumed: RefCell<Option<History>>,
}

/// Last known object of a service.
struct Known {
    history: History,
    /// Position of the object; `None` if the store has none.
    position: Option<Position>,
    /// Era of the store in which it was read.
    era: Era,
    superseded: Superseded,
    /// When this host learned of the current assignment.
    assigned_at: Time,
    /// True if the history has to be written, because the store has lost a part of it.
    is_ahead: bool,
}

impl Known {
    /// Restores the copy of another host. A write on condition of its position fails while the store has the object.
    fn copied(copy: StoredHistory) -> Self {
        let era = Era(copy.era);
        let history = copy.into_history();
        let now = clock::now();
        let mut superseded = Superseded::default();
        superseded.observe(&history, now);
        Self {
            history,
            position: None,
            era,
            superseded,
            assigned_at: now,
            is_ahead: false,
        }
    }
}

/// Reads of one object. Those who ask during a read share the next one.
#[derive(Default)]
struct Reads {
    is_running: Cell<bool>,
    started: Cell<u64>,
    ended: Cell<u64>,
    /// Number of the last read that was answered.
    answered: Cell<u64>,
    last_start: Cell<Time>,
    end: Notify,
}

/// Read that is running until it is dropped.
struct RunningRead<'a> {
    reads: &'a Reads,
    has_ended: bool,
}

impl<'a> RunningRead<'a> {
    fn start(reads: &'a Reads) -> Self {
        reads.is_running.set(true);
        reads.started.set(reads.started.get() + 1);
        Self {
            reads,
            has_ended: false,
        }
    }
}

impl Drop for RunningRead<'_> {
    fn drop(&mut self) {
        let reads = self.reads;
        reads.is_running.set(false);
        if self.has_ended {
            reads.ended.set(reads.started.get());
        } else {
            // The request that read has ended. One of those that wait for the read begins it again.
            reads.started.set(reads.started.get() - 1);
        }
        reads.end.notify_waiters();
    }
}

/// Object of a service in the store, and the copy of it that one host gives to another. Fields that a later build adds are
/// ignored.
#[derive(Debug, Deserialize, Serialize)]
pub struct StoredHistory {
    /// Era of the store as known to the host that wrote it. In a later era, the store may have lost a part.
    era: u64,
    number: u64,
    assignments: Vec<StoredAssignment>,
}

/// An assignment in the store.
#[derive(Debug, Deserialize, Serialize)]
struct StoredAssignment {
    /// Points of each build; empty if streams began at any build.
    points: BTreeMap<String, u32>,
    #[serde(default)]
    exceptions: u32,
    /// Id and incarnation of some engines of each build. Earlier builds of this program neither write nor keep them.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    witnesses: BTreeMap<String, Vec<(String, u64)>>,
}

impl StoredHistory {
    fn new(history: &History, era: Era) -> Self {
        let assignment = |it: &Assignment| StoredAssignment {
            points: (it.points.iter())
                .map(|(build, points)| (build.to_string(), *points))
                .collect(),
            exceptions: it.exceptions,
            witnesses: (it.witnesses.iter())
                .map(|(build, it)| (build.to_string(), it.iter().map(to_pair).collect()))
                .collect(),
        };
        Self {
            era: era.0,
            number: history.number(),
            assignments: history.assignments().iter().map(assignment).collect(),
        }
    }

    fn into_history(self) -> History {
        let assignment = |it: StoredAssignment| Assignment {
            points: (it.points.into_iter())
                .map(|(build, points)| (build.into(), points))
                .collect(),
            exceptions: it.exceptions,
            witnesses: (it.witnesses.into_iter())
                .map(|(build, it)| (build.into(), it.into_iter().map(from_pair).collect()))
                .collect(),
        };
        let assignments = self.assignments.into_iter().map(assignment);
        History::new(self.number, assignments.collect())
    }
}

fn to_pair(it: &Witness) -> (String, u64) {
    (it.engine.to_string(), it.incarnation)
}

fn from_pair((engine, incarnation): (String, u64)) -> Witness {
    Witness {
        engine: engine.into(),
        incarnation,
    }
}

impl Assignments {
    fn service(&self, name: &Arc<str>) -> Rc<Service> {
        let mut services = self.services.borrow_mut();
        services.entry(name.clone()).or_default().clone()
    }
}

/// Keeps the assignments of all services with resumable streams up to date until the process ends.
pub async fn maintain(gateway: Rc<Gateway>) {
    let mut next_copy = Time::ZERO;
    loop {
        let services = resumable_services(&gateway);
        if !gateway.is_store_unavailable() {
            for name in services {
                update(&gateway, &name).await;
            }
        } else if clock::now() >= next_copy {
            for name in services {
                let service = gateway.assignments.service(&name);
                copy_from_hosts(&gateway, &name, &service).await;
            }
            next_copy = clock::now() + COPY_INTERVAL;
        }
        time::sleep(CHECK_INTERVAL).await;
    }
}

/// Returns the services that have resumable streams, once the list of engines is known.
fn resumable_services(gateway: &Gateway) -> Vec<Arc<str>> {
    let catalog = gateway.catalog().filter(|_| gateway.engines_listed.get());
    catalog.map_or_else(Vec::new, |it| it.resumable_services().cloned().collect())
}

/// Returns the build at which a new stream begins. Returns `None` if that is any build: while none is assigned, or while
/// all engines that this host knows are certain to be of the assigned one.
pub fn assigned_build(gateway: &Gateway, name: &Arc<str>, key: StreamKey) -> Option<BuildId> {
    let service = gateway.assignments.service(name);
    let known = service.known.borrow();
    let stored = known.as_ref().and_then(|it| it.history.build(key));
    let mut presumed = service.presumed.borrow_mut();
    if stored.is_none() && presumed.is_none() {
        *presumed = History::presume(&count_engines(gateway, name));
    }
    let build = stored.or_else(|| presumed.as_ref()?.build(key))?;
    let id = BuildId::new(name, build);
    let table = gateway.table.borrow();
    let is_uncertain = table
        .uncertain_engines()
        .any(|it| it.1.listing.service == *name);
    let is_only = table.only_build(name) == Some(id) && !is_uncertain;
    (!is_only).then_some(id)
}

/// Waits until the assignment of a service is known, before a stream begins.
pub async fn wait_until_known(gateway: &Rc<Gateway>, name: &Arc<str>) {
    let service = gateway.assignments.service(name);
    let is_known = || service.known.borrow().is_some();
    if is_known() {
        return;
    }
    if !service.has_unassigned.get() {
        let found = find_history(gateway, name, &service);
        let _ = time::timeout(MAX_FIRST_READ, found).await;
    }
    if !is_known() {
        service.has_unassigned.set(true);
    }
}

/// Takes the history of a service from the store, or from another host if the store doesn't answer soon.
async fn find_history(gateway: &Rc<Gateway>, name: &Arc<str>, service: &Service) {
    let read = read_from_now_on(gateway, name, service);
    let copy = async {
        if !gateway.is_store_doubtful() {
            time::sleep(COPY_DELAY).await;
        }
        copy_from_hosts(gateway, name, service).await;
    };
    tokio::pin!(read, copy);
    let rest = tokio::select! {
        _ = &mut read => Rest::Copy,
        () = &mut copy => Rest::Read,
    };
    if service.known.borrow().is_some() {
        return;
    }
    match rest {
        Rest::Copy => copy.await,
        Rest::Read => {
            read.await;
        }
    }
}

/// Source of a history that has not answered yet.
enum Rest {
    Copy,
    Read,
}

/// Takes the history of a service from another host, unless this host knows it.
async fn copy_from_hosts(gateway: &Rc<Gateway>, name: &Arc<str>, service: &Service) {
    if service.known.borrow().is_some() {
        return;
    }
    let hosts = gateway.peers.borrow().addresses();
    let others = hosts
        .into_iter()
        .filter(|it| *it != gateway.settings.peers)
        .take(MAX_ASKED_HOSTS);
    let mut answers: FuturesUnordered<_> = others
        .map(|it| list_sync::fetch_assignment(it, name))
        .collect();
    while let Some(answer) = answers.next().await {
        let copy = answer.filter(|it| it.number > 0);
        let mut known = service.known.borrow_mut();
        if let Some(it) = copy.filter(|_| known.is_none()) {
            let number = it.number;
            log::info!(event = "assignment-copied", service = &**name, number; "took assignment {number} of the streams of service {name} from another host");
            *known = Some(Known::copied(it));
        }
        if known.is_some() {
            return;
        }
    }
}

/// Returns the history of a service for another host, if this host knows it.
pub fn copy(gateway: &Gateway, name: &str) -> Option<StoredHistory> {
    let services = gateway.assignments.services.borrow();
    let known = services.get(name)?.known.borrow();
    let known = known.as_ref()?;
    Some(StoredHistory::new(&known.history, known.era))
}

/// Permission of a stream to begin at another build than the assigned one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exception {
    /// The store has recorded that it may.
    Recorded,
    /// The store answers no host. This host records later that streams began at any build.
    Unrecorded,
    /// It may not: the store answers, and could not record it.
    Refused,
}

/// Records in the store that a stream is to begin at another build than the assigned one.
pub async fn allow_exception(gateway: &Rc<Gateway>, name: &Arc<str>, key: StreamKey) -> Exception {
    let service = gateway.assignments.service(name);
    let written = time::timeout(
        MAX_EXCEPTION_WRITE,
        write_exception(gateway, name, &service, key),
    );
    if written.await == Ok(true) {
        return Exception::Recorded;
    }
    if gateway.is_store_doubtful() {
        let asked = time::timeout(MAX_EXCEPTION_WRITE, ask_hosts_to_record(gateway, name, key));
        if asked.await == Ok(true) {
            return Exception::Recorded;
        }
    } else if !service.has_unassigned.get() {
        return Exception::Refused;
    }
    service.has_unassigned.set(true);
    Exception::Unrecorded
}

/// Records that a stream of this host began at any build, to be written to the store.
pub fn record_unassigned(gateway: &Gateway, name: &Arc<str>) {
    let service = gateway.assignments.service(name);
    service.has_unassigned.set(true);
}

/// Asks hosts that the store answers to record that a stream may begin at another build than the assigned one.
async fn ask_hosts_to_record(gateway: &Rc<Gateway>, name: &Arc<str>, key: StreamKey) -> bool {
    let hosts = gateway.peers.borrow().hosts_with_store(clock::now());
    let hosts = hosts.into_iter().take(MAX_ASKED_HOSTS);
    let answers: FuturesUnordered<_> = hosts
        .map(|it| list_sync::request_exception(it, name, key))
        .collect();
    answers.any(future::ready).await
}

/// Records for another host, which the store doesn't answer, that a stream may begin at another build than the assigned
/// one. Returns whether the store has recorded it.
pub async fn record_for_host(gateway: &Rc<Gateway>, name: &Arc<str>, key: StreamKey) -> bool {
    let is_known = gateway.assignments.services.borrow().contains_key(name);
    if !is_known {
        return false;
    }
    let service = gateway.assignments.service(name);
    write_exception(gateway, name, &service, key).await
}

/// Returns whether an assignment that this host knows gives a stream to a build, or says that it may begin at any.
pub fn covers(gateway: &Gateway, name: &Arc<str>, key: StreamKey, build: BuildId) -> bool {
    let service = gateway.assignments.service(name);
    let known = service.known.borrow();
    known.as_ref().is_some_and(|it| {
        let mut builds = it.history.builds(key);
        it.history.allows_exception(key) || builds.any(|it| BuildId::new(name, it) == build)
    })
}

/// Returns whether the store has recorded that a stream may begin at another build than the assigned one.
async fn write_exception(
    gateway: &Rc<Gateway>,
    name: &Arc<str>,
    service: &Service,
    key: StreamKey,
) -> bool {
    let _write = service.write.lock().await;
    for _ in 0..MAX_WRITES {
        let history = service.known.borrow().as_ref().map(|it| it.history.clone());
        let Some(mut history) = history.filter(|_| !gateway.is_store_unavailable()) else {
            return false;
        };
        if history.allows_exception(key) {
            return true;
        }
        history.record_exception(key);
        if write(gateway, name, service, history).await == Write::Failed {
            return false;
        }
    }
    false
}

/// Builds that may have begun a stream by the assignments, and the engines that prove it.
pub struct Evidence {
    /// Builds that may have begun it.
    pub candidates: Candidates,
    /// Lists of engines, one of each of which must still serve, if just one build is a candidate and the service has had
    /// another one. Otherwise the stream may have begun at any build.
    pub witnesses: Vec<Vec<Witness>>,
}

/// Returns the builds that may have begun a stream, by the store's state after this call. Returns `None` if the store
/// does not answer.
pub async fn candidates(
    gateway: &Rc<Gateway>,
    name: &Arc<str>,
    key: Option<StreamKey>,
) -> Option<Evidence> {
    let service = gateway.assignments.service(name);
    let read = read_from_now_on(gateway, name, &service);
    let is_read = time::timeout(VERIFICATION_TIMEOUT, read).await;
    is_read.ok().filter(|it| *it)?;
    let mut history = service.known.borrow().as_ref()?.history.clone();
    if service.has_unassigned.get() {
        history.record_unassigned();
    }
    let candidates = history.candidates(key);
    let mut witnesses = Vec::new();
    if let Candidates::One(build) = &candidates {
        let is_only = gateway.table.borrow().only_build(name) == Some(BuildId::new(name, build));
        if !is_only || history.names_other_than(build) {
            let lists = history.witnesses(build);
            witnesses = lists.into_iter().map(<[Witness]>::to_vec).collect();
        }
    }
    Some(Evidence {
        candidates,
        witnesses,
    })
}

/// Reads the object of a service from now on at the earliest. Returns whether the store answered.
async fn read_from_now_on(gateway: &Rc<Gateway>, name: &Arc<str>, service: &Service) -> bool {
    let reads = &service.reads;
    let number = reads.started.get() + 1;
    while reads.ended.get() < number {
        let end = reads.end.notified();
        if reads.is_running.get() {
            end.await;
            continue;
        }
        let mut running = RunningRead::start(reads);
        let hosts = u32::try_from(gateway.peers.borrow().host_count()).unwrap_or(u32::MAX);
        let next_start = reads.last_start.get() + READ_INTERVAL_PER_HOST * hosts;
        time::sleep(next_start.saturating_sub(clock::now())).await;
        reads.last_start.set(clock::now());
        if let Some(found) = store::get(gateway, Kind::Assignments, name).await {
            adopt(gateway, name, service, found);
            reads.answered.set(reads.started.get());
        }
        running.has_ended = true;
    }
    reads.answered.get() >= number
}

/// Adopts the object of a service as read from the store.
fn adopt(gateway: &Gateway, name: &Arc<str>, service: &Service, found: Option<(Object, Position)>) {
    let now = clock::now();
    let era = gateway.store_era();
    let position = found.as_ref().map(|it| it.1);
    let stored = found.and_then(|it| StoredHistory::deserialize(&it.0.spec).ok());
    let mut known = service.known.borrow_mut();
    // An earlier read may have been answered later.
    if known
        .as_ref()
        .is_some_and(|it| it.position > position && it.era == era)
    {
        return;
    }
    let is_current = stored.as_ref().is_some_and(|it| Era(it.era) == era);
    let mut history = stored.map_or_else(History::default, StoredHistory::into_history);
    let previous = known.take();
    let mut superseded = Superseded::default();
    let mut assigned_at = now;
    let mut is_ahead = false;
    match previous {
        Some(it) if is_current && it.era == era => {
            superseded = it.superseded;
            if it.history.number() == history.number() {
                assigned_at = it.assigned_at;
            }
        }
        Some(it) if it.history.number() > 0 => {
            let kept = history.assignments().len();
            let mut merged = history.clone();
            merged.merge(&it.history);
            // The store has lost assignments that this host may not have read before.
            if !is_current {
                merged.record_unassigned();
            }
            if !is_current || merged.assignments().len() > kept {
                history = merged;
                is_ahead = true;
            }
        }
        _ if !is_current && position.is_some() => {
            history.record_unassigned();
            is_ahead = true;
        }
        _ => {}
    }
    superseded.observe(&history, now);
    let number = history.number();
    log::debug!("service {name}: adopted assignment {number} of its streams");
    *known = Some(Known {
        history,
        position,
        era,
        superseded,
        assigned_at,
        is_ahead,
    });
}

/// Result of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Write {
    Done,
    /// Another host has written first.
    Conflict,
    Failed,
}

/// Writes the history of a service in place of the known one.
async fn write(
    gateway: &Rc<Gateway>,
    name: &Arc<str>,
    service: &Service,
    history: History,
) -> Write {
    let known = service
        .known
        .borrow()
        .as_ref()
        .map(|it| (it.position, it.era));
    let Some((position, era)) = known else {
        return Write::Failed;
    };
    let spec = serde_json::to_value(StoredHistory::new(&history, era)).unwrap_or_default();
    match store::put(gateway, Kind::Assignments, name, &spec, position).await {
        WriteResult::Written(object, position) => {
            let points = history.assignments().last().map(|it| &it.points);
            let (number, kept) = (history.number(), history.assignments().len());
            log::info!(event = "assignment", service = &**name, number, kept; "streams of service {name} are divided as {points:?}");
            adopt(gateway, name, service, Some((object, position)));
            Write::Done
        }
        WriteResult::Conflict(object, position) => {
            adopt(gateway, name, service, Some((object, position)));
            Write::Conflict
        }
        WriteResult::NotFound => {
            if let Some(it) = &mut *service.known.borrow_mut() {
                it.position = None;
            }
            Write::Conflict
        }
        WriteResult::Refused | WriteResult::Unknown => Write::Failed,
    }
}

/// Changes the assignment of a service if that is needed and the turn of this host.
async fn update(gateway: &Rc<Gateway>, name: &Arc<str>) {
    let service = gateway.assignments.service(name);
    let is_known = {
        let known = service.known.borrow();
        known
            .as_ref()
            .is_some_and(|it| it.era == gateway.store_era())
    };
    if !is_known {
        read_from_now_on(gateway, name, &service).await;
    }
    let rank = turn(gateway, name);
    if needed_history(gateway, name, &service, rank).is_none() {
        service.needed_since.set(None);
        return;
    }
    let now = clock::now();
    let since = service.needed_since.get().unwrap_or(now);
    service.needed_since.set(Some(since));
    if now < since + turn_delay(gateway, rank) {
        return;
    }
    let _write = service.write.lock().await;
    if rank > 0 && !read_from_now_on(gateway, name, &service).await {
        return;
    }
    if let Some(history) = needed_history(gateway, name, &service, rank) {
        let had_unassigned = service.has_unassigned.replace(false);
        let result = write(gateway, name, &service, history).await;
        if had_unassigned && result != Write::Done {
            service.has_unassigned.set(true);
        }
    }
    service.needed_since.set(None);
}

/// Returns the history that replaces the known one, if a change is needed.
fn needed_history(
    gateway: &Gateway,
    name: &Arc<str>,
    service: &Service,
    rank: usize,
) -> Option<History> {
    let now = clock::now();
    let known = service.known.borrow();
    let known = known.as_ref()?;
    let mut history = known.history.clone();
    let age = now.saturating_sub(known.assigned_at);
    let is_first = history.number() == 0;
    let engines = count_engines(gateway, name);
    let points = history.needed_points(&engines, age);
    let is_divided_anew = points.is_some();
    if let Some(it) = points {
        history.assign(it);
    } else if is_first {
        return None;
    }
    let needs_witnesses =
        is_divided_anew || renew_witnesses(gateway, name, &mut history, known, &engines);
    if needs_witnesses {
        history.name_witnesses(list_witnesses(gateway, name));
    }
    let is_unknown = is_first && gateway.settings.start() == Start::Later;
    // Hosts of an earlier build of this program begin streams at any build.
    let has_unassigned = gateway.peers.borrow().has_unassigned_streams(now)
        && !known.superseded.covers_unassigned(&history, now);
    let records_unassigned = is_unknown || has_unassigned || service.has_unassigned.get();
    if records_unassigned {
        history.record_unassigned();
    }
    let mut is_needed = needs_witnesses || records_unassigned || known.is_ahead;
    if rank == 0 && !is_needed {
        is_needed = known.superseded.expire(&mut history, now);
    }
    is_needed.then_some(history)
}

/// Prepares a history for other witnesses, if the current assignment has none that serve. Returns whether it needs them.
fn renew_witnesses(
    gateway: &Gateway,
    name: &str,
    history: &mut History,
    known: &Known,
    engines: &Counts,
) -> bool {
    let table = gateway.table.borrow();
    // A witness that isn't listed here may be in the next list.
    let is_list_older = gateway.complete_at(Kind::Engines) < known.assigned_at + SETTLE_TIME;
    let serves = |build: &Build, it: &Witness| {
        find_witness(&table, name, build, it).is_some()
            || is_list_older && table.find(&it.engine).is_none()
    };
    match history.witness_state(engines, serves) {
        WitnessState::Serving => return false,
        WitnessState::Unnamed => {}
        // Streams of the build may have begun at another one, so the assignment keeps its witnesses.
        WitnessState::Gone => history.repeat(),
    }
    true
}

/// Returns the engine that is a witness, if it still accepts work in the same incarnation.
fn find_witness(table: &Table, service: &str, build: &Build, witness: &Witness) -> Option<Key> {
    let key = table.find(&witness.engine)?;
    let engine = table.get(key)?;
    let listing = &engine.listing;
    let serves = listing.incarnation == witness.incarnation
        && *listing.service == *service
        && listing.build == *build
        && engine.accepts_work();
    serves.then_some(key)
}

/// Returns the witnesses in one of the lists that still accept work, by what this host knows.
pub fn serving_witnesses(
    gateway: &Gateway,
    service: &str,
    build: &Build,
    witnesses: &[Witness],
) -> Vec<Key> {
    let table = gateway.table.borrow();
    let found = witnesses
        .iter()
        .filter_map(|it| find_witness(&table, service, build, it));
    found.collect()
}

/// Returns the engines of each build that accept work, those that are reached first.
fn list_witnesses(gateway: &Gateway, name: &str) -> Witnesses {
    let now = clock::now();
    let table = gateway.table.borrow();
    let engines = table.iter().map(|it| it.1);
    let mut engines: Vec<_> = engines
        .filter(|it| &*it.listing.service == name && it.accepts_work())
        .collect();
    engines.sort_by_cached_key(|it| {
        let is_unreached =
            !it.identity().is_certain() || it.circuit.state(now) == circuit::State::Unreachable;
        (is_unreached, rendezvous::weight(name, &it.listing.id))
    });
    let mut witnesses = Witnesses::new();
    for it in engines {
        let of_build = witnesses.entry(it.listing.build.clone()).or_default();
        of_build.push(Witness {
            engine: it.listing.id.clone(),
            incarnation: it.listing.incarnation,
        });
    }
    witnesses
}

/// Returns the number of engines of each build that accept work.
fn count_engines(gateway: &Gateway, name: &Arc<str>) -> Counts {
    let table = gateway.table.borrow();
    let mut counts = Counts::new();
    for (_, engine) in table.iter() {
        if engine.listing.service == *name && engine.accepts_work() {
            *counts.entry(engine.listing.build.clone()).or_default() += 1;
        }
    }
    counts
}

/// Returns the number of live hosts that come before this one in the order for a service.
fn turn(gateway: &Gateway, name: &str) -> usize {
    let own = &gateway.holder;
    let rank = |host: &str| rendezvous::weight(name, host);
    let hosts = gateway.peers.borrow().live_hosts(clock::now());
    let before = hosts.iter().filter(|it| rank(&it.0) > rank(own));
    before.count()
}

/// Returns the time for which a host with this number of hosts before it leaves a change to those.
fn turn_delay(gateway: &Gateway, rank: usize) -> Duration {
    if rank < TURNS {
        return TURN_INTERVAL * u32::try_from(rank).unwrap_or(u32::MAX);
    }
    let spread = rendezvous::weight(&gateway.holder, "") % 1000;
    let spread = MAX_READ_SPREAD.mul_f64(f64::from(u32::try_from(spread).unwrap_or(0)) / 1000.0);
    TURN_INTERVAL * u32::try_from(TURNS).unwrap_or(u32::MAX) + spread
}
