//! What an engine knows: its slots, its batch, its queue and its journal.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
    time::{Instant, SystemTime},
};

use tokio::sync::{Semaphore, oneshot};

use super::{
    Counts, End, FencingPolicy, Pace, Settings, Switch, UnloadPolicy,
    batch::{Loading, Place, Run, Slot},
    report::Report,
};
use crate::control::{Outage, Toggle};

/// The most tokens that can be waiting to be made under [`Pace::Stepped`].
const MAX_STEPS: u32 = 1 << 20;

/// Everything that changes.
#[derive(Debug)]
pub struct State {
    pub(super) settings: Settings,
    pub(super) incarnation: u64,
    pub(super) fence: u64,
    pub(super) slots: BTreeMap<String, Slot>,
    pub(super) counts: Counts,
    pub(super) outage: Outage,
    pub(super) leaving: Toggle,
    pub(super) answer_as: String,
    pub(super) break_after: u32,
    pub(super) break_times: u64,
    pub(super) fail_loads: u64,
    pub(super) unload: UnloadPolicy,
    pub(super) pace: Pace,
    pub(super) numbers: u64,
    pub(super) places: BTreeMap<u64, (Arc<Run>, Place)>,
    pub(super) queue: BTreeMap<(i64, u64), oneshot::Sender<()>>,
    pub(super) running: usize,
    pub(super) by_id: HashMap<String, Arc<Run>>,
    pub(super) ended: VecDeque<Arc<Run>>,
    pub(super) journal: Vec<Arc<Run>>,
    pub(super) life_start: usize,
    pub(super) report: Option<(Instant, Report)>,
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
            leaving: Toggle::Off,
            answer_as: String::new(),
            break_after: 0,
            break_times: 0,
            fail_loads: 0,
            unload: UnloadPolicy::Refuse,
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

    /// Whether an order carries an old fencing number, and what becomes of it.
    pub fn check_fence(&mut self, fence: u64) -> Fence {
        if fence >= self.fence {
            self.fence = fence;
            return Fence::Obey;
        }
        match self.settings.fencing {
            FencingPolicy::Checked => {
                self.counts.stale_refused += 1;
                Fence::Refuse
            }
            FencingPolicy::Ignored => {
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

/// An incarnation above the one before, also across processes.
fn incarnation(before: u64) -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let micros = since.unwrap_or_default().as_micros();
    u64::try_from(micros).unwrap_or(u64::MAX).max(before + 1)
}
