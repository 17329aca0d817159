//! A model of an engine: adapter slots, and a batch whose decoding steps take longer as it fills.

use kernel::reference::Loaded;

use crate::event_queue::{MILLISECOND, Micros};

/// Time to process a prompt.
pub const PREFILL_TIME: Micros = 60 * MILLISECOND;

/// Duration of a decoding step of an empty batch.
const EMPTY_STEP_TIME: Micros = 15 * MILLISECOND;

/// Time that each request in the batch adds to a decoding step.
const STEP_TIME_PER_REQUEST: Micros = MILLISECOND / 2;

/// Times of the first and the last token of a request, counted from its start.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Time until the first token.
    pub first: Micros,
    /// Time until the last token.
    pub last: Micros,
}

/// A simulated engine.
#[derive(Debug, Default)]
pub struct Engine {
    /// Loaded adapters and the number of requests that run with each.
    pub loaded: Vec<(Loaded, u32)>,
    /// Incarnation, which a restart increments.
    pub incarnation: u64,
    /// Number of running requests.
    pub running: u32,
    /// Time with at least one running request, up to `accounted_until`.
    busy_time: Micros,
    /// Sum of the running times of all requests, up to `accounted_until`.
    running_time: Micros,
    accounted_until: Micros,
}

impl Engine {
    /// Starts a request. Returns `None` if its adapter is not loaded.
    pub fn start(&mut self, loaded: &Loaded, tokens: u32, now: Micros) -> Option<Run> {
        let index = self.loaded.iter().position(|(it, _)| it == loaded)?;
        self.account_time(now);
        self.loaded[index].1 += 1;
        self.running += 1;
        let step_time = EMPTY_STEP_TIME + STEP_TIME_PER_REQUEST * u64::from(self.running);
        Some(Run {
            first: PREFILL_TIME + step_time,
            last: PREFILL_TIME + step_time * u64::from(tokens),
        })
    }

    /// Ends a request.
    pub fn finish(&mut self, loaded: &Loaded, now: Micros) {
        self.account_time(now);
        self.running = self.running.saturating_sub(1);
        if let Some((_, count)) = self.loaded.iter_mut().find(|(it, _)| it == loaded) {
            *count = count.saturating_sub(1);
        }
    }

    /// Restarts the engine, which loses all adapters and requests.
    pub fn restart(&mut self, now: Micros) {
        self.account_time(now);
        self.loaded.clear();
        self.running = 0;
        self.incarnation += 1;
    }

    /// Returns the time with at least one running request, and the sum of the running times of all
    /// requests.
    pub fn usage(&mut self, now: Micros) -> (Micros, Micros) {
        self.account_time(now);
        (self.busy_time, self.running_time)
    }

    /// Adds the time since the last call to the totals.
    fn account_time(&mut self, now: Micros) {
        let span = now - self.accounted_until;
        if self.running > 0 {
            self.busy_time += span;
        }
        self.running_time += span * u64::from(self.running);
        self.accounted_until = now;
    }
}
