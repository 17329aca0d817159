//! The outstanding permits and what they pin.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use kernel::{
    arena::Key,
    permit::{Holder, Number},
    reference::Loaded,
};

use crate::engine::{Engine, Process};

/// An adapter slot pinned by a permit.
#[derive(Clone, Debug)]
pub struct Pin {
    /// The engine.
    pub engine: Key<Engine>,
    /// The process of the engine that the permit is for.
    pub process: Process,
    /// The pinned adapter and its load epoch.
    pub loaded: Loaded,
    /// The process that holds the permit.
    pub holder: Holder,
    /// When the permit was granted.
    pub granted_at: Instant,
    /// Upper bound on the length of the answer, in tokens.
    pub max_tokens: u32,
    /// When the pin ends if the permit is not released.
    pub expires_at: Instant,
}

/// The outstanding permits by number.
#[derive(Debug, Default)]
pub struct Permits {
    pins: BTreeMap<Number, Pin>,
    expiries: BTreeSet<(Instant, Number)>,
    last_number: u64,
}

impl Permits {
    /// Creates an empty collection. Permit numbers begin after `last_number`.
    pub fn new(last_number: u64) -> Self {
        Self {
            last_number,
            ..Self::default()
        }
    }

    /// Adds a permit and returns its number.
    pub fn insert(&mut self, pin: Pin) -> Number {
        self.last_number += 1;
        let number = Number(self.last_number);
        self.expiries.insert((pin.expires_at, number));
        self.pins.insert(number, pin);
        number
    }

    /// Removes a permit.
    pub fn remove(&mut self, number: Number) -> Option<Pin> {
        let pin = self.pins.remove(&number)?;
        self.expiries.remove(&(pin.expires_at, number));
        Some(pin)
    }

    /// Returns the permits that a process incarnation of an entry host holds.
    pub fn held_by(&self, holder: &Holder) -> Vec<Number> {
        let pins = self.pins.iter();
        pins.filter(|(_, pin)| pin.holder == *holder)
            .map(|(number, _)| *number)
            .collect()
    }

    /// Returns how many permits pin an adapter on an engine.
    pub fn count_on(&self, engine: Key<Engine>, loaded: &Loaded) -> u32 {
        let pins = self.pins.values();
        let count = pins
            .filter(|it| it.engine == engine && it.loaded == *loaded)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Removes all permits on an engine.
    pub fn remove_engine(&mut self, engine: Key<Engine>) {
        self.pins.retain(|_, pin| pin.engine != engine);
        let pins = &self.pins;
        self.expiries
            .retain(|(_, number)| pins.contains_key(number));
    }

    /// Returns an expired permit, if there is one.
    pub fn first_expired(&self, now: Instant) -> Option<Number> {
        let (end, number) = self.expiries.first()?;
        (*end <= now).then_some(*number)
    }

    /// Returns when the next permit expires.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiries.first().map(|(end, _)| *end)
    }
}
