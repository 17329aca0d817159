//! The state of one engine, as its steward sees it.

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

/// The presence of a current slot report of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportState {
    /// The engine has not reported yet, has restarted, or can't be reached.
    Missing,
    /// The slots of the engine are known.
    Current,
}

/// The state of an adapter slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The adapter is being loaded.
    Loading(Order),
    /// The adapter accepts new requests.
    Ready,
    /// An earlier steward loaded the adapter and may still send requests to it.
    Unadopted,
    /// An earlier steward loaded the adapter, and that steward's permits were void when the engine
    /// reported the adapter idle. The adapter may be evicted.
    UnadoptedIdle,
    /// The adapter is being unloaded by this order to make room for the other adapter.
    Unloading(Order, Key<Adapter>),
    /// An order got no answer. The next slot report shows whether it took effect.
    Unconfirmed,
}

/// One adapter slot in use.
#[derive(Clone, Debug)]
pub struct Slot {
    /// The loaded adapter version and its load epoch.
    pub loaded: Loaded,
    /// The record of the adapter.
    pub adapter: Key<Adapter>,
    /// The state of the slot.
    pub phase: Phase,
    /// Number of permits that pin the slot.
    pub permits: u32,
    /// Number of requests without a permit of this steward that may be running on the slot. Slot
    /// reports correct it.
    pub unpermitted: u32,
    /// When the phase last changed.
    pub phase_since: Instant,
}

impl Slot {
    /// Returns whether a request runs or may start on the slot.
    pub fn is_pinned(&self) -> bool {
        self.permits > 0 || self.unpermitted > 0
    }
}

/// The process of an engine. A restart changes the incarnation, and a replacement the address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Process {
    /// The address that the process listens on.
    pub address: SocketAddr,
    /// The incarnation in the last report.
    pub incarnation: Option<u64>,
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    /// Its name.
    pub name: Upstream,
    /// The current process.
    pub process: Process,
    /// The process that last answered that it is leaving.
    pub leaving_process: Option<Process>,
    /// The failure domain that the engine is in.
    pub domain: Domain,
    /// The base model that the engine serves.
    pub model: Model,
    /// The availability of the engine by the host list.
    pub listed_state: State,
    /// The fencing token of this stewardship.
    pub fence: u64,
    /// The engine's handling of fencing tokens.
    pub fencing: Fencing,
    /// How the previous stewardship ended.
    pub predecessor: Predecessor,
    /// When this stewardship began.
    pub acquired_at: Instant,
    /// The presence of a current slot report.
    pub report_state: ReportState,
    /// When the last applied report was requested. A report requested before that may be by an
    /// earlier process.
    pub reported_at: Option<Instant>,
    /// When an order was last issued to the engine or ended. Reports requested before that are
    /// outdated.
    pub last_order_at: Instant,
    /// Number of adapter slots.
    pub slot_count: u32,
    /// The slots in use.
    pub used_slots: Vec<Slot>,
    /// Number of loads ordered during this stewardship.
    pub load_count: u32,
    /// Number of outstanding permits.
    pub permits: u32,
    /// The highest number of outstanding permits since the last batch report.
    pub peak_permits: u32,
    /// Number of requests without a permit of this steward, by the last batch report.
    pub unpermitted: u32,
    /// Number of requests that the engine can run at once.
    pub capacity: u32,
    /// The occupancy last published to the directories.
    pub published_occupancy: Occupancy,
}

impl Engine {
    /// Returns the availability of the engine, by the host list and by the answers of its current
    /// process.
    pub fn state(&self) -> State {
        if self.leaving_process == Some(self.process) {
            return State::Leaving;
        }
        self.listed_state
    }

    /// Returns whether the engine accepts new requests and loads.
    pub fn is_usable(&self) -> bool {
        self.state() == State::Live && self.report_state == ReportState::Current
    }

    /// Returns whether a current slot report is available.
    pub fn has_current_report(&self) -> bool {
        self.report_state == ReportState::Current
    }

    /// Returns whether another slot already accepts requests for the adapter of this slot.
    pub fn has_other_ready_slot(&self, index: usize) -> bool {
        let adapter = self.used_slots[index].adapter;
        let mut slots = self.used_slots.iter().enumerate();
        slots.any(|(at, it)| at != index && it.adapter == adapter && it.phase == Phase::Ready)
    }

    /// Returns whether the engine can run one more request.
    pub fn has_room(&self) -> bool {
        self.is_usable() && self.permits + self.unpermitted < self.capacity
    }

    /// Returns whether a slot is free.
    pub fn has_free_slot(&self) -> bool {
        self.used_slots.len() < self.slot_count as usize
    }

    /// Applies a batch report. Permits are counted exactly and the report lags, so only the
    /// requests beyond the peak number of permits count as running without a permit.
    pub fn apply_batch_report(&mut self, running: u32, waiting: u32) {
        self.unpermitted = (running + waiting).saturating_sub(self.peak_permits);
        self.peak_permits = self.permits;
    }

    /// Counts a new permit.
    pub fn add_permit(&mut self) {
        self.permits += 1;
        self.peak_permits = self.peak_permits.max(self.permits);
    }

    /// Returns the share of the batch that is in use, from 0 to 1.
    pub fn occupancy(&self) -> f64 {
        f64::from(self.permits) / f64::from(self.capacity.max(1))
    }

    /// Returns the next load epoch. Epochs of later stewardships are higher.
    pub fn next_epoch(&mut self) -> u64 {
        self.load_count += 1;
        (self.fence << u32::BITS) | u64::from(self.load_count)
    }

    /// Returns whether a load epoch belongs to this stewardship.
    pub fn is_own_epoch(&self, epoch: u64) -> bool {
        epoch >> u32::BITS == self.fence
    }

    /// Returns the slot that accepts requests for an adapter.
    pub fn ready_slot_mut(&mut self, adapter: Key<Adapter>) -> Option<&mut Slot> {
        let mut slots = self.used_slots.iter_mut();
        slots.find(|it| it.adapter == adapter && it.phase == Phase::Ready)
    }

    /// Returns whether a slot that this steward may use holds the adapter or is being prepared for
    /// it.
    pub fn has_or_will_have(&self, adapter: Key<Adapter>) -> bool {
        let mut slots = self.used_slots.iter();
        slots.any(|it| match it.phase {
            Phase::Unloading(_, next) => it.adapter == adapter || next == adapter,
            Phase::Unadopted | Phase::UnadoptedIdle => false,
            Phase::Loading(_) | Phase::Ready | Phase::Unconfirmed => it.adapter == adapter,
        })
    }
}
