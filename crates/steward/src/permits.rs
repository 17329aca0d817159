//! The permits that are outstanding.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use kernel::{
    arena::Key,
    permit::{Holder, Number},
    reference::Loaded,
};

use crate::engine::Engine;

/// What a permit pins.
#[derive(Clone, Debug)]
pub struct Pin {
    /// The engine.
    pub engine: Key<Engine>,
    /// What it pins there.
    pub loaded: Loaded,
    /// Who holds the permit.
    pub holder: Holder,
    /// When it was granted.
    pub granted: Instant,
    /// The most tokens that its answer may have.
    pub max_tokens: u32,
    /// When the pin ends without a release.
    pub run_by: Instant,
}

/// The outstanding permits by number.
#[derive(Debug, Default)]
pub struct Permits {
    pins: BTreeMap<Number, Pin>,
    ends: BTreeSet<(Instant, Number)>,
    last: u64,
}

impl Permits {
    /// No permits yet; the numbers of permits begin after `last`.
    pub fn new(last: u64) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Adds a permit.
    pub fn insert(&mut self, pin: Pin) -> Number {
        self.last += 1;
        let number = Number(self.last);
        self.ends.insert((pin.run_by, number));
        self.pins.insert(number, pin);
        number
    }

    /// Ends a permit.
    pub fn remove(&mut self, number: Number) -> Option<Pin> {
        let pin = self.pins.remove(&number)?;
        self.ends.remove(&(pin.run_by, number));
        Some(pin)
    }

    /// The permits of one life of an entry host.
    pub fn of(&self, holder: &Holder) -> Vec<Number> {
        let pins = self.pins.iter();
        pins.filter(|(_, pin)| pin.holder == *holder)
            .map(|(number, _)| *number)
            .collect()
    }

    /// How many permits pin an adapter on an engine.
    pub fn on(&self, engine: Key<Engine>, loaded: &Loaded) -> u32 {
        let pins = self.pins.values();
        let count = pins
            .filter(|it| it.engine == engine && it.loaded == *loaded)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Drops every permit on an engine.
    pub fn forget(&mut self, engine: Key<Engine>) {
        self.pins.retain(|_, pin| pin.engine != engine);
        let pins = &self.pins;
        self.ends.retain(|(_, number)| pins.contains_key(number));
    }

    /// The first permit whose time is over.
    pub fn expired(&self, now: Instant) -> Option<Number> {
        let (end, number) = self.ends.first()?;
        (*end <= now).then_some(*number)
    }

    /// When the next pin ends without a release.
    pub fn next_end(&self) -> Option<Instant> {
        self.ends.first().map(|(end, _)| *end)
    }
}
