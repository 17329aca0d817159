//! What a steward knows of one of its engines.

use std::{net::SocketAddr, time::Instant};

use kernel::{
    arena::Key,
    name::{Domain, Model, Upstream},
    reference::Loaded,
    service::{Fencing, State},
};

use crate::{
    adapter::Adapter,
    event::{Order, Predecessor},
    route::Occupancy,
};

/// Whether an engine's contents are known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Contact {
    /// It has not reported yet, or can't be reached.
    Absent,
    /// Its contents are known.
    Known,
}

/// What is going on in an adapter slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The adapter is being loaded.
    Loading(Order),
    /// The adapter takes new work.
    Ready,
    /// An earlier steward loaded the adapter and may still use it.
    Foreign,
    /// An earlier steward loaded the adapter, and the engine reported it idle since.
    Drained,
    /// The adapter is being unloaded to make room for another.
    Unloading(Order, Key<Adapter>),
    /// An order got no answer; the next report settles it.
    Unsettled,
}

/// One adapter slot in use.
#[derive(Clone, Debug)]
pub struct Slot {
    /// What it holds.
    pub loaded: Loaded,
    /// The adapter.
    pub adapter: Key<Adapter>,
    /// What is going on.
    pub phase: Phase,
    /// Permits that pin it.
    pub permits: u32,
    /// Requests without a permit of this steward that ran at the last report.
    pub foreign: u32,
    /// When the phase last changed.
    pub since: Instant,
}

impl Slot {
    /// Whether a request runs on it, or may start to.
    pub fn is_pinned(&self) -> bool {
        self.permits > 0 || self.foreign > 0
    }
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    /// Its name.
    pub name: Upstream,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub domain: Domain,
    /// The base model that it serves.
    pub model: Model,
    /// Whether it takes new work, by the host list.
    pub state: State,
    /// The fencing number of this stewardship.
    pub fence: u64,
    /// Whether it checks fencing numbers.
    pub fencing: Fencing,
    /// What became of the steward before.
    pub predecessor: Predecessor,
    /// When this stewardship began.
    pub taken: Instant,
    /// Whether its contents are known.
    pub contact: Contact,
    /// Its incarnation at the last report.
    pub incarnation: Option<u64>,
    /// When the last order to it was given or ended; older reports don't count.
    pub changed: Instant,
    /// How many slots it has.
    pub slots: u32,
    /// Slots in use.
    pub contents: Vec<Slot>,
    /// Loads ordered in this stewardship.
    pub loads: u32,
    /// Permits outstanding.
    pub running: u32,
    /// The most permits outstanding at once since the last lagging report.
    pub peak: u32,
    /// Requests beyond the permits, by the last lagging report.
    pub extra: u32,
    /// Requests that can run together.
    pub capacity: u32,
    /// The load level that was last published.
    pub published: Occupancy,
}

impl Engine {
    /// Whether new work may go there.
    pub fn is_usable(&self) -> bool {
        self.state == State::Live && self.contact == Contact::Known
    }

    /// Whether its contents are known.
    pub fn is_known(&self) -> bool {
        self.contact == Contact::Known
    }

    /// Whether another slot already takes work for the adapter of this one.
    pub fn has_ready_twin(&self, index: usize) -> bool {
        let adapter = self.contents[index].adapter;
        let mut slots = self.contents.iter().enumerate();
        slots.any(|(at, it)| at != index && it.adapter == adapter && it.phase == Phase::Ready)
    }

    /// Whether one more request may run.
    pub fn has_room(&self) -> bool {
        self.is_usable() && self.running + self.extra < self.capacity
    }

    /// Whether a slot is free.
    pub fn has_free_slot(&self) -> bool {
        self.contents.len() < self.slots as usize
    }

    /// Takes in a lagging report. Only what the permits don't explain counts, since they are
    /// exact and the report is old.
    pub fn correct(&mut self, running: u32, waiting: u32) {
        self.extra = (running + waiting).saturating_sub(self.peak);
        self.peak = self.running;
    }

    /// Counts a new permit.
    pub fn admit(&mut self) {
        self.running += 1;
        self.peak = self.peak.max(self.running);
    }

    /// The share of the batch that is in use, from 0 to 1.
    pub fn fill(&self) -> f64 {
        f64::from(self.running) / f64::from(self.capacity.max(1))
    }

    /// The next load epoch.
    pub fn next_epoch(&mut self) -> u64 {
        self.loads += 1;
        (self.fence << u32::BITS) | u64::from(self.loads)
    }

    /// Whether a load epoch belongs to this stewardship.
    pub fn is_own(&self, epoch: u64) -> bool {
        epoch >> u32::BITS == self.fence
    }

    /// The slot that takes work for an adapter.
    pub fn ready(&mut self, adapter: Key<Adapter>) -> Option<&mut Slot> {
        let mut slots = self.contents.iter_mut();
        slots.find(|it| it.adapter == adapter && it.phase == Phase::Ready)
    }

    /// Whether a slot that this steward may use is or will be for an adapter.
    pub fn mentions(&self, adapter: Key<Adapter>) -> bool {
        let mut slots = self.contents.iter();
        slots.any(|it| match it.phase {
            Phase::Unloading(_, next) => it.adapter == adapter || next == adapter,
            Phase::Foreign | Phase::Drained => false,
            Phase::Loading(_) | Phase::Ready | Phase::Unsettled => it.adapter == adapter,
        })
    }
}
