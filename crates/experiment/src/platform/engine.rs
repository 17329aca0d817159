//! A model of an engine: a batch whose steps also process prompts, and adapter slots.

use std::collections::{BTreeMap, VecDeque};

use fleet::rendezvous;

use super::installation::{COPIES_IN_MEMORY, Installation, NOISE_FACTOR, NOISE_PERIOD};
use crate::event_queue::{MILLISECOND, Micros};

/// A request at an engine.
#[derive(Clone, Debug)]
struct Run {
    request: usize,
    /// Prompt tokens that are not processed yet.
    prefill_tokens: u32,
    /// Answer tokens that are not generated yet.
    remaining_tokens: u32,
    generated_tokens: u32,
}

/// Output of a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Output {
    /// An event of a request's stream.
    Event(usize),
    /// The last event of a request's stream.
    End(usize),
}

/// A simulated engine.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// Number of the engine, by which its speed and its noise are chosen.
    number: usize,
    /// Loaded adapters and the time of their last use.
    pub held: BTreeMap<usize, Micros>,
    /// Adapters that were unloaded and are still in memory, oldest first.
    in_memory: VecDeque<usize>,
    /// Adapters whose loads are in flight.
    pub in_flight: Vec<usize>,
    /// Number of accepted orders.
    pub accepted_orders: u64,
    /// Incarnation, counted from 1.
    pub incarnation: u64,
    /// True if the engine is reachable.
    pub is_up: bool,
    running: Vec<Run>,
    waiting: VecDeque<Run>,
    /// True if a step is in progress.
    pub is_stepping: bool,
}

impl Engine {
    /// Creates an engine without adapters.
    pub fn new(number: usize) -> Self {
        Self {
            number,
            is_up: true,
            incarnation: 1,
            ..Self::default()
        }
    }

    /// Takes an adapter from the memory. Returns whether it was there.
    pub fn take_from_memory(&mut self, adapter: usize) -> bool {
        let index = self.in_memory.iter().position(|it| *it == adapter);
        index.and_then(|it| self.in_memory.remove(it)).is_some()
    }

    /// Unloads an adapter, whose weights stay in memory until others need the room.
    pub fn unload(&mut self, adapter: usize) {
        self.held.remove(&adapter);
        self.in_memory.push_back(adapter);
        if self.in_memory.len() > COPIES_IN_MEMORY {
            self.in_memory.pop_front();
        }
    }

    /// Queues a request. `prefill_tokens` is the number of prompt tokens that are not in the prefix
    /// cache.
    pub fn enqueue(&mut self, request: usize, prefill_tokens: u32, answer_tokens: u32) {
        self.waiting.push_back(Run {
            request,
            prefill_tokens,
            remaining_tokens: answer_tokens,
            generated_tokens: 0,
        });
    }

    /// Starts a step: admits waiting requests to the batch and processes the next chunk of prompts.
    /// Returns the duration of the step, or `None` if there are no requests.
    pub fn begin_step(&mut self, installation: &Installation, now: Micros) -> Option<Micros> {
        while self.running.len() < installation.batch_slots
            && let Some(run) = self.waiting.pop_front()
        {
            self.running.push(run);
        }
        if self.running.is_empty() {
            self.is_stepping = false;
            return None;
        }
        let mut remaining_chunk = installation.max_prefill_tokens_per_step;
        for run in &mut self.running {
            let tokens = run.prefill_tokens.min(remaining_chunk);
            run.prefill_tokens -= tokens;
            remaining_chunk -= tokens;
        }
        let prefill_time = u64::from(installation.max_prefill_tokens_per_step - remaining_chunk)
            * MILLISECOND
            / installation.prefill_tokens_per_ms;
        let batch_time =
            u64::try_from(self.running.len()).unwrap_or(0) * installation.step_time_per_request;
        self.is_stepping = true;
        let time = installation.step_time + batch_time + prefill_time;
        Some(time * self.slowness_percent(installation, now) / 100)
    }

    /// Time that the engine takes for its work at a time, in percent of the usual time of an engine of average speed.
    fn slowness_percent(&self, installation: &Installation, now: Micros) -> u64 {
        let speeds = installation.speeds;
        let slowness = 100 * 100 / speeds[self.number % speeds.len()];
        let period = (now / NOISE_PERIOD).to_string();
        let hash = rendezvous::weight(&period, &self.number.to_string());
        if hash % 100 < installation.noise_percent {
            slowness * NOISE_FACTOR / 100
        } else {
            slowness
        }
    }

    /// Ends a step. Each request whose prompt is processed has one token more.
    pub fn end_step(&mut self, installation: &Installation) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.running.retain_mut(|run| {
            if run.prefill_tokens > 0 {
                return true;
            }
            run.generated_tokens += 1;
            run.remaining_tokens = run.remaining_tokens.saturating_sub(1);
            if run.remaining_tokens == 0 {
                outputs.push(Output::End(run.request));
            } else if run.generated_tokens == 1
                || run
                    .generated_tokens
                    .is_multiple_of(installation.tokens_per_event)
            {
                outputs.push(Output::Event(run.request));
            }
            run.remaining_tokens > 0
        });
        outputs
    }

    /// Crashes the engine, which loses all adapters, and returns its requests.
    pub fn crash(&mut self) -> Vec<usize> {
        let runs = self.running.drain(..).chain(self.waiting.drain(..));
        let lost = runs.map(|it| it.request).collect();
        self.held.clear();
        self.in_memory.clear();
        self.in_flight.clear();
        self.accepted_orders = 0;
        self.is_up = false;
        self.is_stepping = false;
        lost
    }
}
