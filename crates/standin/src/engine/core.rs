//! What an engine knows: its slots, its batch, its queue and its journal.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant, SystemTime},
};

use serde::Serialize;
use tokio::sync::{Semaphore, oneshot, watch};

use super::{Counts, End, Entry, Orders, Pace, Settings, Switch, Unload};
use crate::control::{Outage, Power};

/// The most tokens that can be waiting to be made under [`Pace::Stepped`].
const MAX_STEPS: u32 = 1 << 20;

/// How far a load is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loading {
    /// It goes on.
    Running,
    /// The adapter can be used.
    Done,
    /// It failed; the slot is free again.
    Failed,
}

/// A slot in use.
#[derive(Debug)]
pub struct Slot {
    /// What is loaded, as `SERVICE/ADAPTER@VERSION`.
    pub path: String,
    /// How far the load is.
    pub loading: watch::Sender<Loading>,
    /// Requests that run or wait with it.
    pub running: usize,
}

/// How far a request is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Chunks made.
    pub made: u32,
    /// How it ended.
    pub end: Option<End>,
}

/// A request that was taken.
#[derive(Debug)]
pub struct Run {
    /// Its number.
    pub number: u64,
    /// Its request id.
    pub id: String,
    /// The name that was asked for.
    pub loaded: String,
    /// What was loaded under that name.
    pub path: String,
    /// Chunks to make.
    pub chunks: u32,
    /// How far it is.
    pub progress: watch::Sender<Progress>,
}

impl Run {
    /// Ends the request unless it has ended.
    pub fn end(&self, end: End) {
        self.progress.send_if_modified(|it| {
            let first = it.end.is_none();
            it.end = it.end.or(Some(end));
            first
        });
    }

    /// Waits for its end.
    pub async fn ended(&self) {
        let mut progress = self.progress.subscribe();
        let _ = progress.wait_for(|it| it.end.is_some()).await;
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Place {
    Batch,
    Queue(i64),
}

/// Whether a request may start.
pub enum Turn {
    /// It runs.
    Now,
    /// It waits for this message.
    Later(oneshot::Receiver<()>),
}

/// Why a request is refused before anything runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The engine is leaving.
    Leaving,
    /// The adapter is not loaded.
    NotLoaded,
    /// Batch and queue are full.
    Full,
}

/// A request as it comes.
#[derive(Clone, Debug)]
pub struct Order {
    /// Its request id.
    pub id: String,
    /// The name that is asked for.
    pub loaded: String,
    /// Lower goes first.
    pub priority: i64,
    /// Chunks to make.
    pub chunks: u32,
}

/// Everything that changes.
#[derive(Debug)]
pub struct State {
    pub(super) settings: Settings,
    pub(super) incarnation: u64,
    pub(super) fence: u64,
    pub(super) slots: BTreeMap<String, Slot>,
    pub(super) counts: Counts,
    pub(super) outage: Outage,
    pub(super) leaving: Power,
    pub(super) answer_as: String,
    pub(super) break_after: u32,
    pub(super) break_times: u64,
    pub(super) fail_loads: u64,
    pub(super) unload: Unload,
    pub(super) pace: Pace,
    numbers: u64,
    places: BTreeMap<u64, (Arc<Run>, Place)>,
    queue: BTreeMap<(i64, u64), oneshot::Sender<()>>,
    running: usize,
    by_id: HashMap<String, Arc<Run>>,
    ended: VecDeque<Arc<Run>>,
    journal: Vec<Arc<Run>>,
    life_start: usize,
    report: Option<(Instant, Report)>,
}

/// What an engine tells of its load, late.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Report {
    incarnation: u64,
    running: usize,
    waiting: usize,
    capacity: usize,
    age_ms: u64,
}

/// An engine without its socket.
#[derive(Debug)]
pub struct Core {
    state: Mutex<State>,
    pub(super) steps: Semaphore,
}

impl Core {
    /// An engine that has nothing loaded.
    pub fn new(settings: Settings) -> Self {
        Self {
            state: Mutex::new(State::new(settings)),
            steps: Semaphore::new(0),
        }
    }

    /// Locks what changes.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the stand-in's lock is poisoned")
    }

    /// Whether and how the engine is out.
    pub fn outage(&self) -> Outage {
        self.lock().outage
    }

    /// Sets a switch.
    pub fn set(&self, switch: Switch) {
        let mut state = self.lock();
        match switch {
            Switch::Restart => state.restart(),
            Switch::Outage(outage) => state.outage = outage,
            Switch::Leaving(power) => state.leaving = power,
            Switch::AnswerAs(name) => state.answer_as = name,
            Switch::BreakStreams { after, times } => {
                state.break_after = after;
                state.break_times = times;
            }
            Switch::FailLoads(times) => state.fail_loads = times,
            Switch::Unload(unload) => state.unload = unload,
            Switch::Fencing(orders) => state.settings.fencing = orders,
            Switch::Pace(pace) => state.pace = pace,
            Switch::Step(tokens) => self.steps.add_permits(tokens.min(MAX_STEPS) as usize),
        }
    }
}

impl State {
    fn new(settings: Settings) -> Self {
        Self {
            settings,
            incarnation: incarnation(0),
            fence: 0,
            slots: BTreeMap::new(),
            counts: Counts::default(),
            outage: Outage::None,
            leaving: Power::Off,
            answer_as: String::new(),
            break_after: 0,
            break_times: 0,
            fail_loads: 0,
            unload: Unload::Refuse,
            pace: Pace::Timed,
            numbers: 0,
            places: BTreeMap::new(),
            queue: BTreeMap::new(),
            running: 0,
            by_id: HashMap::new(),
            ended: VecDeque::new(),
            journal: Vec::new(),
            life_start: 0,
            report: None,
        }
    }

    /// Forgets everything that a process keeps in memory; journal and counts are the checker's.
    fn restart(&mut self) {
        for (run, _) in self.places.values() {
            run.end(End::Restarted);
        }
        for slot in std::mem::take(&mut self.slots).into_values() {
            slot.loading.send_replace(Loading::Failed);
        }
        self.places.clear();
        self.queue.clear();
        self.running = 0;
        self.by_id.clear();
        self.ended.clear();
        self.life_start = self.journal.len();
        self.fence = 0;
        self.report = None;
        self.incarnation = incarnation(self.incarnation);
    }

    /// Takes a request, or says why not; nothing has run then.
    pub fn take(&mut self, order: Order) -> Result<(Arc<Run>, Turn), Refusal> {
        if self.leaving.is_on() {
            self.counts.while_leaving += 1;
            return Err(Refusal::Leaving);
        }
        let Some(slot) = self
            .slots
            .get_mut(&order.loaded)
            .filter(|it| it.is_loaded())
        else {
            self.counts.not_loaded += 1;
            return Err(Refusal::NotLoaded);
        };
        let fits = self.running < self.settings.capacity;
        if !fits && self.queue.len() >= self.settings.queue {
            self.counts.full += 1;
            return Err(Refusal::Full);
        }
        slot.running += 1;
        self.numbers += 1;
        let run = Arc::new(Run {
            number: self.numbers,
            id: order.id,
            loaded: order.loaded,
            path: slot.path.clone(),
            chunks: order.chunks,
            progress: watch::Sender::default(),
        });
        self.journal.push(run.clone());
        self.by_id.insert(run.id.clone(), run.clone());
        let turn = self.place(&run, order.priority, fits);
        Ok((run, turn))
    }

    fn place(&mut self, run: &Arc<Run>, priority: i64, fits: bool) -> Turn {
        if fits {
            self.places.insert(run.number, (run.clone(), Place::Batch));
            self.grow_batch();
            return Turn::Now;
        }
        let (sender, receiver) = oneshot::channel();
        self.queue.insert((priority, run.number), sender);
        let place = Place::Queue(priority);
        self.places.insert(run.number, (run.clone(), place));
        Turn::Later(receiver)
    }

    fn grow_batch(&mut self) {
        self.running += 1;
        self.counts.peak_running = self.counts.peak_running.max(self.running);
    }

    /// Gives back what an ended request held.
    pub fn leave(&mut self, run: &Arc<Run>) {
        let Some((_, place)) = self.places.remove(&run.number) else {
            return;
        };
        if let Some(slot) = self.slots.get_mut(&run.loaded) {
            slot.running -= 1;
        }
        self.keep(run);
        match place {
            Place::Queue(priority) => {
                self.queue.remove(&(priority, run.number));
            }
            Place::Batch => {
                self.running -= 1;
                self.start_next();
            }
        }
    }

    fn start_next(&mut self) {
        let Some(((_, number), sender)) = self.queue.pop_first() else {
            return;
        };
        if let Some((_, place)) = self.places.get_mut(&number) {
            *place = Place::Batch;
        }
        self.grow_batch();
        let _ = sender.send(());
    }

    fn keep(&mut self, run: &Arc<Run>) {
        self.ended.push_back(run.clone());
        while self.ended.len() > self.settings.kept {
            let Some(oldest) = self.ended.pop_front() else {
                return;
            };
            let latest = self.by_id.get(&oldest.id);
            if latest.is_some_and(|it| it.number == oldest.number) {
                self.by_id.remove(&oldest.id);
            }
        }
    }

    /// The request with an id that is running or can still be resumed.
    pub fn find(&self, id: &str) -> Option<Arc<Run>> {
        self.by_id.get(id).cloned()
    }

    /// Whether a request with this id was taken since the last restart.
    pub fn was_taken(&self, id: &str) -> bool {
        self.journal[self.life_start..].iter().any(|it| it.id == id)
    }

    /// Ends the requests that use a loaded name.
    pub fn end_users(&mut self, loaded: &str) {
        let all: Vec<_> = self.places.values().map(|it| it.0.clone()).collect();
        for run in all.into_iter().filter(|it| it.loaded == loaded) {
            run.end(End::Unloaded);
            self.counts.ended_by_unload += 1;
            self.leave(&run);
        }
    }

    /// The time of the next token.
    pub fn token_time(&self) -> Duration {
        let running = u64::try_from(self.running).unwrap_or(u64::MAX);
        let batch = self.settings.token_per_request_us.saturating_mul(running);
        Duration::from_micros(self.settings.token_us.saturating_add(batch))
    }

    /// What is loaded, exactly.
    pub fn models(&self) -> serde_json::Value {
        let loaded = self.slots.iter().filter(|(_, slot)| slot.is_loaded());
        let data: Vec<_> = loaded
            .map(|(name, slot)| serde_json::json!({"id": name, "running": slot.running}))
            .collect();
        serde_json::json!({
            "data": data,
            "incarnation": self.incarnation,
            "slots": self.settings.slots,
        })
    }

    /// The load as it was up to `report_lag_ms` ago.
    pub fn report(&mut self) -> Report {
        let now = Instant::now();
        let lag = Duration::from_millis(self.settings.report_lag_ms);
        let current = Report {
            incarnation: self.incarnation,
            running: self.running,
            waiting: self.queue.len(),
            capacity: self.settings.capacity,
            age_ms: 0,
        };
        let (made, mut report) = match self.report {
            Some((made, report)) if now.duration_since(made) < lag => (made, report),
            _ => (now, current),
        };
        self.report = Some((made, report));
        let age = now.duration_since(made).as_millis();
        report.age_ms = u64::try_from(age).unwrap_or(u64::MAX);
        report
    }

    /// What was asked so far.
    pub fn counts(&self) -> Counts {
        let journal = self.journal.iter().map(|run| {
            let progress = *run.progress.borrow();
            Entry {
                request: run.id.clone(),
                loaded: run.loaded.clone(),
                chunks: progress.made,
                ended: progress.end,
            }
        });
        Counts {
            journal: journal.collect(),
            active: self.places.len(),
            ..self.counts.clone()
        }
    }

    /// Whether an order carries an old fencing number, and what becomes of it.
    pub fn check_fence(&mut self, fence: u64) -> Fence {
        if fence >= self.fence {
            self.fence = fence;
            return Fence::Obey;
        }
        match self.settings.fencing {
            Orders::Checked => {
                self.counts.stale_refused += 1;
                Fence::Refuse
            }
            Orders::Ignored => {
                self.counts.stale_obeyed += 1;
                Fence::Obey
            }
        }
    }
}

/// What becomes of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fence {
    /// It is carried out.
    Obey,
    /// It is refused.
    Refuse,
}

impl Slot {
    /// Whether the adapter can be used.
    pub fn is_loaded(&self) -> bool {
        *self.loading.borrow() == Loading::Done
    }
}

/// An incarnation above the one before, also across processes.
fn incarnation(before: u64) -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let micros = since.unwrap_or_default().as_micros();
    u64::try_from(micros).unwrap_or(u64::MAX).max(before + 1)
}
