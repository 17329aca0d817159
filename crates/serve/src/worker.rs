//! Thread pool that runs the handlers.

use std::{
    io, iter,
    panic::{AssertUnwindSafe, catch_unwind},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread::{self, JoinHandle},
};

use crate::{request::Request, responder::Responder, server::Handler};

/// The right to process a request. Either a worker acquires it to handle the request, or the
/// connection acquires it to reject the request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Claim(Arc<AtomicBool>);

/// The result of [`Claim::acquire`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ClaimResult {
    Acquired,
    AlreadyTaken,
}

impl Claim {
    pub(crate) fn acquire(&self) -> ClaimResult {
        if self.0.swap(true, Ordering::AcqRel) {
            return ClaimResult::AlreadyTaken;
        }
        ClaimResult::Acquired
    }
}

/// A request that is queued for a worker.
pub(crate) struct Job {
    pub(crate) claim: Claim,
    pub(crate) request: Request,
    pub(crate) responder: Responder,
}

/// The worker threads. They end once every sender of jobs is dropped.
pub(crate) struct Pool {
    threads: Vec<JoinHandle<()>>,
}

impl Pool {
    /// Starts the threads and returns the sender of their jobs.
    pub(crate) fn start(
        workers: usize,
        queue_len: usize,
        handler: Arc<dyn Handler>,
    ) -> io::Result<(Self, SyncSender<Job>)> {
        let (sender, receiver) = sync_channel(queue_len);
        let receiver = Arc::new(Mutex::new(receiver));
        let threads = iter::repeat_n((receiver, handler), workers)
            .enumerate()
            .map(|(index, (receiver, handler))| spawn_worker(index, receiver, handler))
            .collect::<io::Result<_>>()?;
        Ok((Self { threads }, sender))
    }

    /// Waits for every thread to end.
    pub(crate) fn join(self) {
        for thread in self.threads {
            if thread.join().is_err() {
                log::error!(target: "serve", "A worker thread panicked outside of a handler.");
            }
        }
    }
}

type JobReceiver = Arc<Mutex<Receiver<Job>>>;

fn spawn_worker(
    index: usize,
    jobs: JobReceiver,
    handler: Arc<dyn Handler>,
) -> io::Result<JoinHandle<()>> {
    thread::Builder::new()
        .name(format!("serve-worker-{index}"))
        .spawn(move || while run_next_job(&jobs, &*handler).is_some() {})
}

fn run_next_job(jobs: &JobReceiver, handler: &dyn Handler) -> Option<()> {
    let job = next_job(jobs)?;
    if job.responder.is_caller_disconnected() || job.claim.acquire() == ClaimResult::AlreadyTaken {
        return Some(());
    }
    // A panic drops the responder, which sends an error response to the caller.
    let run = AssertUnwindSafe(|| handler.handle(job.request, job.responder));
    if catch_unwind(run).is_err() {
        log::error!(target: "serve", "A request handler panicked.");
    }
    Some(())
}

fn next_job(jobs: &JobReceiver) -> Option<Job> {
    let jobs = jobs.lock().unwrap_or_else(PoisonError::into_inner);
    jobs.recv().ok()
}
