//! Channel for one reply, on which a thread waits for the result of a call.

use std::{
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use kernel::fault::{Fault, Kind};

type CallResult<T> = Result<T, Fault>;

#[derive(Debug)]
enum State<T> {
    Waiting,
    Sent(CallResult<T>),
    /// The waiter has taken the result or has timed out.
    Closed,
}

#[derive(Debug)]
struct Channel<T> {
    state: Mutex<State<T>>,
    sent: Condvar,
}

/// The receiving end.
#[derive(Debug)]
pub(crate) struct Waiter<T>(Arc<Channel<T>>);

/// The sending end. If it is dropped unused, the waiter gets a fault of kind
/// [`Kind::StewardLost`].
#[derive(Debug)]
pub(crate) struct Reply<T>(Arc<Channel<T>>);

/// Creates a channel.
pub(crate) fn channel<T>() -> (Waiter<T>, Reply<T>) {
    let channel = Arc::new(Channel {
        state: Mutex::new(State::Waiting),
        sent: Condvar::new(),
    });
    (Waiter(Arc::clone(&channel)), Reply(channel))
}

impl<T> Waiter<T> {
    /// Waits for the result. Returns `None` after the timeout; a result that is sent later goes back
    /// to its sender.
    pub fn wait(self, timeout: Duration) -> Option<CallResult<T>> {
        let deadline = Instant::now() + timeout;
        let mut state = self.0.state.lock().expect("reply lock is poisoned");
        loop {
            if let State::Sent(_) = *state {
                break;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                break;
            }
            let woken = self.0.sent.wait_timeout(state, remaining);
            state = woken.expect("reply lock is poisoned").0;
        }
        match std::mem::replace(&mut *state, State::Closed) {
            State::Sent(result) => Some(result),
            State::Waiting | State::Closed => None,
        }
    }
}

impl<T> Reply<T> {
    /// Sends the result. Returns it as an error if the waiter has timed out.
    pub fn send(self, result: CallResult<T>) -> Result<(), CallResult<T>> {
        self.0.send(result)
    }
}

impl<T> Channel<T> {
    fn send(&self, result: CallResult<T>) -> Result<(), CallResult<T>> {
        let mut state = self.state.lock().expect("reply lock is poisoned");
        if !matches!(*state, State::Waiting) {
            return Err(result);
        }
        *state = State::Sent(result);
        self.sent.notify_one();
        Ok(())
    }
}

impl<T> Drop for Reply<T> {
    fn drop(&mut self) {
        let lost = Fault::new(Kind::StewardLost, "the call was dropped");
        // This has no effect if a result was sent.
        let _ = self.0.send(Err(lost));
    }
}

#[cfg(test)]
mod tests;
