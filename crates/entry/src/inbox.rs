//! What waits for the thread that owns the steward's state.
//!
//! Asks are bounded and refused beyond the bound. Everything else is bounded by what causes it
//! (permits, orders and engines that exist) and must not be lost, so it always fits.

use std::{
    collections::VecDeque,
    sync::{Condvar, Mutex},
    time::{Duration, Instant},
};

use kernel::permit::{Request, Verdict};
use steward::{Event, Ticket};

/// Asks that may wait for the thread.
pub const MAX_PENDING_REQUESTS: usize = 4096;

/// Takes the answer to an ask.
pub type Reply = Box<dyn FnOnce(Verdict) + Send>;

/// An ask with the place for its answer.
pub struct PendingRequest {
    /// Names the ask.
    pub ticket: Ticket,
    /// The ask.
    pub request: Request,
    /// When it arrived at this host.
    pub received_at: Instant,
    /// Takes the answer.
    pub reply: Reply,
}

/// Something for the thread.
pub enum Message {
    /// A request wants a place.
    Request(PendingRequest),
    /// Anything else that the state is told.
    Event(Event),
}

#[derive(Default)]
struct Queue {
    messages: VecDeque<Message>,
    pending_requests: usize,
}

/// The queue before the thread.
#[derive(Default)]
pub struct Inbox {
    queue: Mutex<Queue>,
    not_empty: Condvar,
}

impl Inbox {
    /// Adds an ask, or gives the place for its answer back if too many wait.
    pub fn push_request(&self, request: PendingRequest) -> Result<(), Reply> {
        let mut queue = self.queue.lock().expect("inbox lock is poisoned");
        if queue.pending_requests == MAX_PENDING_REQUESTS {
            return Err(request.reply);
        }
        queue.pending_requests += 1;
        queue.messages.push_back(Message::Request(request));
        self.not_empty.notify_one();
        Ok(())
    }

    /// Adds an event.
    pub fn push_event(&self, event: Event) {
        let mut queue = self.queue.lock().expect("inbox lock is poisoned");
        queue.messages.push_back(Message::Event(event));
        self.not_empty.notify_one();
    }

    /// Takes everything that waits, after waiting at most `patience` for the first.
    pub fn take(&self, timeout: Duration) -> VecDeque<Message> {
        let queue = self.queue.lock().expect("inbox lock is poisoned");
        let waited = self
            .not_empty
            .wait_timeout_while(queue, timeout, |it| it.messages.is_empty());
        let (mut queue, _) = waited.expect("inbox lock is poisoned");
        queue.pending_requests = 0;
        std::mem::take(&mut queue.messages)
    }
}
