//! The pool of threads that run handlers.

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

/// The right to begin with a request. Either a worker takes it, to handle the request, or the
/// connection, to refuse it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Claim(Arc<AtomicBool>);

/// Whether a claim was still to be had.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Claimed {
    Mine,
    Taken,
}

impl Claim {
    pub(crate) fn take(&self) -> Claimed {
        if self.0.swap(true, Ordering::AcqRel) {
            return Claimed::Taken;
        }
        Claimed::Mine
    }
}

/// A request on its way to a worker.
pub(crate) struct Job {
    pub(crate) claim: Claim,
    pub(crate) request: Request,
    pub(crate) responder: Responder,
}

/// The threads; they end once every sender of jobs is dropped.
pub(crate) struct Pool {
    threads: Vec<JoinHandle<()>>,
}

impl Pool {
    /// Starts the threads and gives the way to them.
    pub(crate) fn start(
        workers: usize,
        queue: usize,
        handler: Arc<dyn Handler>,
    ) -> io::Result<(Self, SyncSender<Job>)> {
        let (sender, receiver) = sync_channel(queue);
        let receiver = Arc::new(Mutex::new(receiver));
        let threads = iter::repeat_n((receiver, handler), workers)
            .enumerate()
            .map(|(index, (receiver, handler))| spawn(index, receiver, handler))
            .collect::<io::Result<_>>()?;
        Ok((Self { threads }, sender))
    }

    /// Waits until every thread has ended.
    pub(crate) fn join(self) {
        for thread in self.threads {
            if thread.join().is_err() {
                log::error!(target: "serve", "A worker panicked outside of a handler.");
            }
        }
    }
}

type Jobs = Arc<Mutex<Receiver<Job>>>;

fn spawn(index: usize, jobs: Jobs, handler: Arc<dyn Handler>) -> io::Result<JoinHandle<()>> {
    thread::Builder::new()
        .name(format!("serve-worker-{index}"))
        .spawn(move || while run_next(&jobs, &*handler).is_some() {})
}

fn run_next(jobs: &Jobs, handler: &dyn Handler) -> Option<()> {
    let job = next(jobs)?;
    if job.responder.is_caller_disconnected() || job.claim.take() == Claimed::Taken {
        return Some(());
    }
    // The responder is dropped when the handler panics, which answers the caller.
    let run = AssertUnwindSafe(|| handler.handle(job.request, job.responder));
    if catch_unwind(run).is_err() {
        log::error!(target: "serve", "A handler panicked.");
    }
    Some(())
}

fn next(jobs: &Jobs) -> Option<Job> {
    let jobs = jobs.lock().unwrap_or_else(PoisonError::into_inner);
    jobs.recv().ok()
}
