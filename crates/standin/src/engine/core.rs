//! State of an engine: its slots, batch, queue and journal.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
    time::{Instant, SystemTime},
};

use tokio::sync::{Semaphore, oneshot};

use super::{
    Counts, End, FencingPolicy, Pace, Settings, Switch, UnloadPolicy,
    batch::{LoadState, Run, Slot, Stage},
    report::Report,
};
use crate::control::{Outage, Toggle};

/// Maximum number of tokens that one [`Switch::Step`] allows.
const MAX_STEP_TOKENS: u32 = 1 << 20;

/// The mutable state of an engine.
#[derive(Debug)]
pub struct State {
    pub(super) settings: Settings,
    pub(super) incarnation: u64,
    /// The highest fencing token of a command since the last restart.
    pub(super) fence: u64,
    /// The slots in use, by loaded adapter name.
    pub(super) slots: BTreeMap<String, Slot>,
    pub(super) counts: Counts,
    pub(super) outage: Outage,
    pub(super) leaving: Toggle,
    pub(super) answer_as: String,
    /// The chunk after which answers are aborted.
    pub(super) break_after: u32,
    /// The number of answers left to abort.
    pub(super) break_times: u64,
    /// The number of loads left to fail.
    pub(super) fail_loads: u64,
    pub(super) unload: UnloadPolicy,
    pub(super) pace: Pace,
    /// The number of the last accepted request.
    pub(super) last_number: u64,
    /// The running and waiting requests, by number.
    pub(super) active: BTreeMap<u64, (Arc<Run>, Stage)>,
    /// The waiting requests, by priority and number.
    pub(super) queue: BTreeMap<(i64, u64), oneshot::Sender<()>>,
    /// The size of the batch.
    pub(super) running: usize,
    /// The active and resumable requests. The last one of an id wins.
    pub(super) by_id: HashMap<String, Arc<Run>>,
    /// The ended requests that can still be resumed, oldest first.
    pub(super) resumable: VecDeque<Arc<Run>>,
    pub(super) journal: Vec<Arc<Run>>,
    /// The length of the journal at the last restart.
    pub(super) incarnation_start: usize,
    /// The load report shown at present, with the time of its creation.
    pub(super) report: Option<(Instant, Report)>,
}

/// An engine without its HTTP server.
#[derive(Debug)]
pub struct Core {
    state: Mutex<State>,
    pub(super) steps: Semaphore,
}

impl Core {
    /// Creates an engine without loaded adapters.
    pub fn new(settings: Settings) -> Self {
        Self {
            state: Mutex::new(State::new(settings)),
            steps: Semaphore::new(0),
        }
    }

    /// Locks the mutable state.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the stand-in's lock is poisoned")
    }

    /// Returns the simulated outage.
    pub fn outage(&self) -> Outage {
        self.lock().outage
    }

    /// Sets a switch.
    pub fn set(&self, switch: Switch) {
        let mut state = self.lock();
        match switch {
            Switch::Restart => state.restart(),
            Switch::Outage(outage) => state.outage = outage,
            Switch::Leaving(toggle) => state.leaving = toggle,
            Switch::AnswerAs(name) => state.answer_as = name,
            Switch::BreakStreams { after, times } => {
                state.break_after = after;
                state.break_times = times;
            }
            Switch::FailLoads(times) => state.fail_loads = times,
            Switch::Unload(unload) => state.unload = unload,
            Switch::Fencing(policy) => state.settings.fencing = policy,
            Switch::Pace(pace) => state.pace = pace,
            Switch::Step(tokens) => self.steps.add_permits(tokens.min(MAX_STEP_TOKENS) as usize),
        }
    }
}

impl State {
    fn new(settings: Settings) -> Self {
        Self {
            settings,
            incarnation: next_incarnation(0),
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
            last_number: 0,
            active: BTreeMap::new(),
            queue: BTreeMap::new(),
            running: 0,
            by_id: HashMap::new(),
            resumable: VecDeque::new(),
            journal: Vec::new(),
            incarnation_start: 0,
            report: None,
        }
    }

    /// Resets the state that a real engine keeps in memory. Journal and counters stay, because
    /// tests check them after a restart.
    fn restart(&mut self) {
        for (run, _) in self.active.values() {
            run.end(End::Restarted);
        }
        for slot in std::mem::take(&mut self.slots).into_values() {
            slot.load_state.send_replace(LoadState::Failed);
        }
        self.active.clear();
        self.queue.clear();
        self.running = 0;
        self.by_id.clear();
        self.resumable.clear();
        self.incarnation_start = self.journal.len();
        self.fence = 0;
        self.report = None;
        self.incarnation = next_incarnation(self.incarnation);
    }

    /// Compares the fencing token of a command with the highest one seen and decides whether the
    /// command is carried out.
    pub fn check_fence(&mut self, fence: u64) -> FenceDecision {
        if fence >= self.fence {
            self.fence = fence;
            return FenceDecision::Execute;
        }
        match self.settings.fencing {
            FencingPolicy::Checked => {
                self.counts.stale_refused += 1;
                FenceDecision::Refuse
            }
            FencingPolicy::Ignored => {
                self.counts.stale_obeyed += 1;
                FenceDecision::Execute
            }
        }
    }
}

/// Decision of [`State::check_fence`] on a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FenceDecision {
    /// The command is carried out.
    Execute,
    /// The command is refused.
    Refuse,
}

/// Returns an incarnation higher than the previous one. The clock keeps it rising across processes
/// as well.
fn next_incarnation(previous: u64) -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let micros = elapsed.unwrap_or_default().as_micros();
    u64::try_from(micros).unwrap_or(u64::MAX).max(previous + 1)
}
