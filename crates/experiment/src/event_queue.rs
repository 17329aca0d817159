//! Simulated time and the queue of scheduled events.

use std::{cmp::Reverse, collections::BinaryHeap};

/// A point or span of simulated time in microseconds.
pub type Micros = u64;

/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;

/// Microseconds in a millisecond.
pub const MILLISECOND: Micros = 1_000;

/// An event and the time for which it is scheduled.
#[derive(Debug)]
struct Entry<T> {
    at: Micros,
    sequence: u64,
    event: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Scheduled events ordered by time. Events of the same time are ordered by when they were
/// scheduled.
#[derive(Debug)]
pub struct EventQueue<T> {
    entries: BinaryHeap<Reverse<Entry<T>>>,
    sequence: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self {
            entries: BinaryHeap::new(),
            sequence: 0,
        }
    }
}

impl<T> EventQueue<T> {
    /// Schedules an event.
    pub fn schedule(&mut self, at: Micros, event: T) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.entries.push(Reverse(Entry {
            at,
            sequence,
            event,
        }));
    }

    /// Removes and returns the next event and its time.
    pub fn pop(&mut self) -> Option<(Micros, T)> {
        let Reverse(entry) = self.entries.pop()?;
        Some((entry.at, entry.event))
    }
}
