//! Batch and queue: the requests that are running, waiting or resumable.

use std::{sync::Arc, time::Duration};

use tokio::sync::{oneshot, watch};

use super::{End, core::State};

/// Progress of a load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadState {
    /// The load is running.
    Running,
    /// The adapter is loaded.
    Done,
    /// The load failed and its slot is free again.
    Failed,
}

/// An adapter slot in use.
#[derive(Debug)]
pub struct Slot {
    /// The adapter as `SERVICE/ADAPTER@VERSION`.
    pub path: String,
    /// The progress of the load.
    pub load_state: watch::Sender<LoadState>,
    /// Number of requests that run or wait on the adapter.
    pub running: usize,
}

/// Progress of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Number of chunks generated.
    pub generated: u32,
    /// Reason for its end, or `None` if it has not ended.
    pub end: Option<End>,
}

/// An accepted request.
#[derive(Debug)]
pub struct Run {
    /// Sequence number of the request in this engine.
    pub number: u64,
    /// The request id.
    pub id: String,
    /// The loaded adapter name that was requested.
    pub loaded: String,
    /// The adapter that was loaded under that name.
    pub path: String,
    /// Number of chunks to generate.
    pub chunks: u32,
    /// The progress of the request.
    pub progress: watch::Sender<Progress>,
}

impl Run {
    /// Ends the request unless it has ended already.
    pub fn end(&self, end: End) {
        self.progress.send_if_modified(|it| {
            let is_first = it.end.is_none();
            it.end = it.end.or(Some(end));
            is_first
        });
    }

    /// Waits until the request ends.
    pub async fn wait_for_end(&self) {
        let mut progress = self.progress.subscribe();
        let _ = progress.wait_for(|it| it.end.is_some()).await;
    }
}

/// Stage of a request that has not ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The request is part of the batch.
    Running,
    /// The request waits in the queue with this priority.
    Queued(i64),
}

/// Time at which an accepted request starts.
pub enum Start {
    /// The request starts at once.
    Immediate,
    /// The request starts when this channel gets a message.
    Queued(oneshot::Receiver<()>),
}

/// Reason for refusing a request before it runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The engine is leaving.
    Leaving,
    /// The adapter is not loaded.
    NotLoaded,
    /// Batch and queue are full.
    Full,
}

/// A request as it was received.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The request id.
    pub id: String,
    /// The loaded adapter name that is requested.
    pub loaded: String,
    /// Priority in the queue. Lower values start first.
    pub priority: i64,
    /// Number of chunks to generate.
    pub chunks: u32,
}

impl Slot {
    /// Returns whether the adapter is loaded.
    pub fn is_loaded(&self) -> bool {
        *self.load_state.borrow() == LoadState::Done
    }
}

impl State {
    /// Accepts a request or returns why it is refused. A refused request has not run.
    pub fn admit(&mut self, submission: Submission) -> Result<(Arc<Run>, Start), Refusal> {
        if self.leaving.is_on() {
            self.counts.while_leaving += 1;
            return Err(Refusal::Leaving);
        }
        let Some(slot) = self
            .slots
            .get_mut(&submission.loaded)
            .filter(|it| it.is_loaded())
        else {
            self.counts.not_loaded += 1;
            return Err(Refusal::NotLoaded);
        };
        let has_capacity = self.running < self.settings.capacity;
        if !has_capacity && self.queue.len() >= self.settings.queue {
            self.counts.full += 1;
            return Err(Refusal::Full);
        }
        slot.running += 1;
        self.last_number += 1;
        let run = Arc::new(Run {
            number: self.last_number,
            id: submission.id,
            loaded: submission.loaded,
            path: slot.path.clone(),
            chunks: submission.chunks,
            progress: watch::Sender::default(),
        });
        self.journal.push(run.clone());
        self.by_id.insert(run.id.clone(), run.clone());
        let stage = if has_capacity {
            Stage::Running
        } else {
            Stage::Queued(submission.priority)
        };
        let start = self.enqueue_or_start(&run, stage);
        Ok((run, start))
    }

    fn enqueue_or_start(&mut self, run: &Arc<Run>, stage: Stage) -> Start {
        let start = match &stage {
            Stage::Running => {
                self.add_to_batch();
                Start::Immediate
            }
            Stage::Queued(priority) => {
                let (sender, receiver) = oneshot::channel();
                self.queue.insert((*priority, run.number), sender);
                Start::Queued(receiver)
            }
        };
        self.active.insert(run.number, (run.clone(), stage));
        start
    }

    fn add_to_batch(&mut self) {
        self.running += 1;
        self.counts.peak_running = self.counts.peak_running.max(self.running);
    }

    /// Releases the slot use and the batch or queue position of an ended request.
    pub fn remove(&mut self, run: &Arc<Run>) {
        let Some((_, stage)) = self.active.remove(&run.number) else {
            return;
        };
        if let Some(slot) = self.slots.get_mut(&run.loaded) {
            slot.running -= 1;
        }
        self.retain_for_resume(run);
        match stage {
            Stage::Queued(priority) => {
                self.queue.remove(&(priority, run.number));
            }
            Stage::Running => {
                self.running -= 1;
                self.start_next();
            }
        }
    }

    fn start_next(&mut self) {
        let Some(((_, number), sender)) = self.queue.pop_first() else {
            return;
        };
        if let Some((_, stage)) = self.active.get_mut(&number) {
            *stage = Stage::Running;
        }
        self.add_to_batch();
        let _ = sender.send(());
    }

    fn retain_for_resume(&mut self, run: &Arc<Run>) {
        self.resumable.push_back(run.clone());
        while self.resumable.len() > self.settings.kept {
            let Some(oldest) = self.resumable.pop_front() else {
                return;
            };
            let latest = self.by_id.get(&oldest.id);
            if latest.is_some_and(|it| it.number == oldest.number) {
                self.by_id.remove(&oldest.id);
            }
        }
    }

    /// Returns the request with this id if it is active or can still be resumed.
    pub fn find_request(&self, id: &str) -> Option<Arc<Run>> {
        self.by_id.get(id).cloned()
    }

    /// Returns whether a request with this id was accepted since the last restart.
    pub fn was_admitted(&self, id: &str) -> bool {
        self.journal[self.incarnation_start..]
            .iter()
            .any(|it| it.id == id)
    }

    /// Ends the requests that use a loaded adapter name.
    pub fn end_requests_on(&mut self, loaded: &str) {
        let active: Vec<_> = self.active.values().map(|it| it.0.clone()).collect();
        for run in active.into_iter().filter(|it| it.loaded == loaded) {
            run.end(End::Unloaded);
            self.counts.ended_by_unload += 1;
            self.remove(&run);
        }
    }

    /// Returns the time to the next token with the present batch.
    pub fn time_per_token(&self) -> Duration {
        let running = u64::try_from(self.running).unwrap_or(u64::MAX);
        let batch = self.settings.token_per_request_us.saturating_mul(running);
        Duration::from_micros(self.settings.token_us.saturating_add(batch))
    }
}
