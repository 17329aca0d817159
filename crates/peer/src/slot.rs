//! The place where a thread waits for the answer to a call.

use std::{
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use kernel::fault::{Fault, Kind};

type Answer<T> = Result<T, Fault>;

#[derive(Debug)]
enum State<T> {
    Waiting,
    Filled(Answer<T>),
    Abandoned,
}

#[derive(Debug)]
struct Cell<T> {
    state: Mutex<State<T>>,
    filled: Condvar,
}

/// The waiting end.
#[derive(Debug)]
pub(crate) struct Wait<T>(Arc<Cell<T>>);

/// The answering end. Dropped without an answer, it answers that the host is lost.
#[derive(Debug)]
pub(crate) struct Reply<T>(Arc<Cell<T>>);

/// Both ends of a new slot.
pub(crate) fn new<T>() -> (Wait<T>, Reply<T>) {
    let cell = Arc::new(Cell {
        state: Mutex::new(State::Waiting),
        filled: Condvar::new(),
    });
    (Wait(Arc::clone(&cell)), Reply(cell))
}

impl<T> Wait<T> {
    /// The answer, or nothing if none came in time. An answer that comes later is given back to
    /// the answering end.
    pub fn wait(self, timeout: Duration) -> Option<Answer<T>> {
        let deadline = Instant::now() + timeout;
        let mut state = self.0.state.lock().expect("slot lock is poisoned");
        loop {
            if let State::Filled(_) = *state {
                break;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let woken = self.0.filled.wait_timeout(state, left);
            state = woken.expect("slot lock is poisoned").0;
        }
        match std::mem::replace(&mut *state, State::Abandoned) {
            State::Filled(answer) => Some(answer),
            State::Waiting | State::Abandoned => None,
        }
    }
}

impl<T> Reply<T> {
    /// Answers. If nobody waits any more, the answer comes back.
    pub fn fill(self, answer: Answer<T>) -> Result<(), Answer<T>> {
        self.0.fill(answer)
    }
}

impl<T> Cell<T> {
    fn fill(&self, answer: Answer<T>) -> Result<(), Answer<T>> {
        let mut state = self.state.lock().expect("slot lock is poisoned");
        if !matches!(*state, State::Waiting) {
            return Err(answer);
        }
        *state = State::Filled(answer);
        self.filled.notify_one();
        Ok(())
    }
}

impl<T> Drop for Reply<T> {
    fn drop(&mut self) {
        let lost = Fault::new(Kind::StewardLost, "the call was dropped");
        // After an answer this has no effect.
        let _ = self.0.fill(Err(lost));
    }
}

#[cfg(test)]
mod tests;
