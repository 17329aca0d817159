//! The message queue of the thread that owns the steward's state.
//!
//! The number of queued permit requests is limited, and further requests are refused. All other
//! messages are always accepted: they must not be lost, and their number is limited by the existing
//! permits, orders and engines.

use std::{
    collections::VecDeque,
    sync::{Condvar, Mutex},
    time::{Duration, Instant},
};

use kernel::permit::{Request, Verdict};
use steward::{Event, Ticket};

/// Maximum number of queued permit requests.
pub const MAX_PENDING_REQUESTS: usize = 4096;

/// The callback that receives the verdict on a permit request.
pub type Reply = Box<dyn FnOnce(Verdict) + Send>;

/// A queued permit request with its reply callback.
pub struct PendingRequest {
    /// The identifier of the request within this host.
    pub ticket: Ticket,
    /// The permit request.
    pub request: Request,
    /// The time of arrival at this host.
    pub received_at: Instant,
    /// The callback for the verdict.
    pub reply: Reply,
}

/// A message to the steward thread.
pub enum Message {
    /// A permit request.
    Request(PendingRequest),
    /// Any other event for the steward's state.
    Event(Event),
}

#[derive(Default)]
struct Queue {
    messages: VecDeque<Message>,
    pending_requests: usize,
}

/// The queued messages.
#[derive(Default)]
pub struct Inbox {
    queue: Mutex<Queue>,
    not_empty: Condvar,
}

impl Inbox {
    /// Queues a permit request. Returns the reply callback if the queue is full.
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

    /// Queues an event.
    pub fn push_event(&self, event: Event) {
        let mut queue = self.queue.lock().expect("inbox lock is poisoned");
        queue.messages.push_back(Message::Event(event));
        self.not_empty.notify_one();
    }

    /// Removes and returns all messages, after waiting at most `timeout` for the first one.
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
