//! One engine: a batch whose steps also read prompts, and places for adapters.

use std::collections::{BTreeMap, VecDeque};

use super::shape::Shape;
use crate::event_queue::Micros;

/// A request at an engine.
#[derive(Clone, Debug)]
struct Run {
    request: usize,
    unread: u32,
    left: u32,
    made: u32,
}

/// What a step made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Made {
    /// An event of a request.
    Event(usize),
    /// The last event of a request.
    End(usize),
}

/// An engine.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// Adapters, with when they were used last.
    pub held: BTreeMap<usize, Micros>,
    /// Adapters on their way.
    pub coming: Vec<usize>,
    /// Orders that it has accepted.
    pub orders: u64,
    /// Starts of it.
    pub life: u64,
    /// Whether it can be reached.
    pub up: bool,
    running: Vec<Run>,
    waiting: VecDeque<Run>,
    /// Whether a step is under way.
    pub steps: bool,
}

impl Engine {
    /// An engine without adapters.
    pub fn new() -> Self {
        Self {
            up: true,
            life: 1,
            ..Self::default()
        }
    }

    /// Takes a request.
    pub fn take(&mut self, request: usize, unread: u32, answer: u32) {
        self.waiting.push_back(Run {
            request,
            unread,
            left: answer,
            made: 0,
        });
    }

    /// Begins a step: admits, reads and says how long it takes; `None` if there is nothing to do.
    pub fn begin(&mut self, shape: &Shape) -> Option<Micros> {
        while self.running.len() < shape.slots
            && let Some(run) = self.waiting.pop_front()
        {
            self.running.push(run);
        }
        if self.running.is_empty() {
            self.steps = false;
            return None;
        }
        let mut chunk = shape.chunk;
        for run in &mut self.running {
            let part = run.unread.min(chunk);
            run.unread -= part;
            chunk -= part;
        }
        let read = u64::from(shape.chunk - chunk) * 1000 / shape.read_per_ms;
        let batch = u64::try_from(self.running.len()).unwrap_or(0) * shape.slot;
        self.steps = true;
        Some(shape.step + batch + read)
    }

    /// Ends a step: each request whose prompt is read has one token more.
    pub fn end(&mut self, shape: &Shape) -> Vec<Made> {
        let mut made = Vec::new();
        self.running.retain_mut(|run| {
            if run.unread > 0 {
                return true;
            }
            run.made += 1;
            run.left = run.left.saturating_sub(1);
            if run.left == 0 {
                made.push(Made::End(run.request));
            } else if run.made == 1 || run.made.is_multiple_of(shape.stride) {
                made.push(Made::Event(run.request));
            }
            run.left > 0
        });
        made
    }

    /// Is lost with all that it has; returns the requests that it had.
    pub fn crash(&mut self) -> Vec<usize> {
        let runs = self.running.drain(..).chain(self.waiting.drain(..));
        let lost = runs.map(|it| it.request).collect();
        self.held.clear();
        self.coming.clear();
        self.orders = 0;
        self.up = false;
        self.steps = false;
        lost
    }
}
