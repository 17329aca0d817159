//! Simulated time, and what is going to happen when.

use std::{cmp::Reverse, collections::BinaryHeap};

/// A point or span of simulated time in microseconds.
pub type Micros = u64;

/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;

/// Microseconds in a millisecond.
pub const MILLI: Micros = 1_000;

#[derive(Debug)]
struct Item<T> {
    at: Micros,
    sequence: u64,
    value: T,
}

impl<T> PartialEq for Item<T> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<T> Eq for Item<T> {}

impl<T> PartialOrd for Item<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Item<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Future events in the order of their times; those of one time in the order of their planning.
#[derive(Debug)]
pub struct Agenda<T> {
    items: BinaryHeap<Reverse<Item<T>>>,
    sequence: u64,
}

impl<T> Default for Agenda<T> {
    fn default() -> Self {
        Self {
            items: BinaryHeap::new(),
            sequence: 0,
        }
    }
}

impl<T> Agenda<T> {
    /// Plans an event.
    pub fn plan(&mut self, at: Micros, value: T) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.items.push(Reverse(Item {
            at,
            sequence,
            value,
        }));
    }

    /// Takes the next event.
    pub fn pop(&mut self) -> Option<(Micros, T)> {
        let Reverse(item) = self.items.pop()?;
        Some((item.at, item.value))
    }
}
