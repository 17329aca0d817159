//! A model of an engine: adapter slots, and a batch whose steps slow down as it fills.

use kernel::reference::Loaded;

use crate::agenda::{MILLI, Micros};

/// Time to read a prompt.
pub const PREFILL: Micros = 60 * MILLI;

/// Time of a decoding step with an empty batch.
const STEP: Micros = 15 * MILLI;

/// What each request in the batch adds to a step.
const STEP_PER_REQUEST: Micros = MILLI / 2;

/// How long after its start a request gives its first and its last token.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// The first token.
    pub first: Micros,
    /// The last token.
    pub last: Micros,
}

/// One engine.
#[derive(Debug, Default)]
pub struct Machine {
    /// Adapters and how many requests run on each.
    pub loaded: Vec<(Loaded, u32)>,
    /// Counts restarts.
    pub incarnation: u64,
    /// Requests that run.
    pub running: u32,
    busy: Micros,
    work: Micros,
    at: Micros,
}

impl Machine {
    /// Starts a request if its adapter is there.
    pub fn start(&mut self, loaded: &Loaded, tokens: u32, now: Micros) -> Option<Run> {
        let place = self.loaded.iter().position(|(it, _)| it == loaded)?;
        self.account(now);
        self.loaded[place].1 += 1;
        self.running += 1;
        let step = STEP + STEP_PER_REQUEST * u64::from(self.running);
        Some(Run {
            first: PREFILL + step,
            last: PREFILL + step * u64::from(tokens),
        })
    }

    /// Ends a request.
    pub fn finish(&mut self, loaded: &Loaded, now: Micros) {
        self.account(now);
        self.running = self.running.saturating_sub(1);
        if let Some((_, count)) = self.loaded.iter_mut().find(|(it, _)| it == loaded) {
            *count = count.saturating_sub(1);
        }
    }

    /// Loses everything.
    pub fn restart(&mut self, now: Micros) {
        self.account(now);
        self.loaded.clear();
        self.running = 0;
        self.incarnation += 1;
    }

    /// Time with a request running, and the sum of the times of all requests.
    pub fn usage(&mut self, now: Micros) -> (Micros, Micros) {
        self.account(now);
        (self.busy, self.work)
    }

    fn account(&mut self, now: Micros) {
        let span = now - self.at;
        if self.running > 0 {
            self.busy += span;
        }
        self.work += span * u64::from(self.running);
        self.at = now;
    }
}
