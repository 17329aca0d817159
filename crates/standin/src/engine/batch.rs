//! Which requests run, wait or have ended.

use std::{sync::Arc, time::Duration};

use tokio::sync::{oneshot, watch};

use super::{End, core::State};

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

/// Where a request is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Place {
    /// It runs.
    Batch,
    /// It waits, with this priority.
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

impl Slot {
    /// Whether the adapter can be used.
    pub fn is_loaded(&self) -> bool {
        *self.loading.borrow() == Loading::Done
    }
}

impl State {
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
        let place = if fits {
            Place::Batch
        } else {
            Place::Queue(order.priority)
        };
        let turn = self.place(&run, place);
        Ok((run, turn))
    }

    fn place(&mut self, run: &Arc<Run>, place: Place) -> Turn {
        let turn = match &place {
            Place::Batch => {
                self.grow_batch();
                Turn::Now
            }
            Place::Queue(priority) => {
                let (sender, receiver) = oneshot::channel();
                self.queue.insert((*priority, run.number), sender);
                Turn::Later(receiver)
            }
        };
        self.places.insert(run.number, (run.clone(), place));
        turn
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
}
