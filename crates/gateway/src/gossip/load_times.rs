//! Durations of adapter loads, learned over all hosts (`fleet::load_time`).

use fleet::{
    load_time::{LoadTime, Observation, Source},
    loader::{Arrival, ObservedLoads},
    rendezvous::short_id,
    table::Key,
};

use super::Gossip;
use crate::{
    clock,
    message::{self, FirstRequests, LoadTimes, Message, ObservedTimes},
};

/// Maximum number of misses that a report counts.
const MAX_MISSES: u32 = 7;

impl Gossip {
    /// Tells the steward of an engine what the first requests after a load have shown.
    pub(crate) fn report_first_requests(&self, key: Key, name: &str, arrival: &Arrival) {
        let now = clock::now();
        let table = self.gateway.table.borrow();
        let Some(engine) = table.get(key) else { return };
        let id = &engine.listing.id;
        if self.gateway.orderable_engines().contains(&key) {
            let mut loader = self.gateway.loader.borrow_mut();
            loader.record_first_requests(key, name, arrival, now);
            return;
        }
        let peers = self.gateway.peers.borrow();
        let Some(addr) = peers.steward(id, now).and_then(|it| peers.addr(it)) else {
            return;
        };
        let report = Message::FirstRequests(FirstRequests {
            engine: short_id(id),
            name: name.to_owned(),
            misses: arrival.misses,
            missing_after_ms: message::to_millis(arrival.missing_after),
            found_after_ms: arrival.found_after.map(message::to_millis),
        });
        self.try_send_all(&report, &[addr]);
    }

    /// Learns from the first requests of another host.
    pub(super) fn handle_first_requests(&self, report: &FirstRequests) {
        let Some(key) = self.gateway.table.borrow().find_by_short_id(report.engine) else {
            return;
        };
        let arrival = Arrival {
            misses: report.misses.min(MAX_MISSES),
            missing_after: message::from_millis(report.missing_after_ms),
            found_after: report.found_after_ms.map(message::from_millis),
        };
        let mut loader = self.gateway.loader.borrow_mut();
        loader.record_first_requests(key, &report.name, &arrival, clock::now());
    }

    /// Durations of the loads that this host has ordered, for a heartbeat.
    pub(super) fn load_times_message(&self) -> Option<Message> {
        let mut loader = self.gateway.loader.borrow_mut();
        let observed = loader.take_observed();
        if observed.fetches.is_empty() && observed.reloads.is_empty() {
            return None;
        }
        let times = |estimate: &LoadTime, observations: &[Observation]| ObservedTimes {
            expected_ms: message::to_millis(estimate.expected()),
            samples: estimate.samples(),
            observations: observations
                .iter()
                .map(|it| {
                    let missing_at = it.missing_at.map(message::to_millis);
                    (missing_at, message::to_millis(it.found_at))
                })
                .collect(),
        };
        Some(Message::LoadTimes(LoadTimes {
            fetches: times(&loader.fetch_time, &observed.fetches),
            reloads: times(&loader.reload_time, &observed.reloads),
        }))
    }

    /// Learns from the loads of another host.
    pub(super) fn handle_load_times(&self, times: &LoadTimes) {
        let observations = |it: &ObservedTimes| {
            let observation = |it: &(Option<u32>, u32)| Observation {
                missing_at: it.0.map(message::from_millis),
                found_at: message::from_millis(it.1),
            };
            it.observations.iter().map(observation).collect()
        };
        let observed = ObservedLoads {
            fetches: observations(&times.fetches),
            reloads: observations(&times.reloads),
        };
        let mut loader = self.gateway.loader.borrow_mut();
        for (source, it) in [
            (Source::Store, &times.fetches),
            (Source::Memory, &times.reloads),
        ] {
            let estimate = loader.load_time_mut(source);
            estimate.blend(message::from_millis(it.expected_ms), it.samples);
        }
        loader.record_remote_loads(&observed, clock::now());
    }
}
