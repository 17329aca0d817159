//! A naive placement: each host decides for itself.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    installation::Installation,
    simulation::{Placer, Simulation},
};
use crate::event_queue::{MILLISECOND, Micros};

/// Time between two attempts to place a request.
const RETRY_INTERVAL: Micros = 50 * MILLISECOND;

/// State of a host.
#[derive(Clone, Debug, Default)]
struct Host {
    /// Running requests of the host, by engine.
    running: BTreeMap<usize, usize>,
    /// Engine and time of the last load that the host ordered, by adapter.
    ordered: BTreeMap<usize, (usize, Micros)>,
    /// Engines that hold an adapter according to the list of loaded adapters, by adapter.
    holders: BTreeMap<usize, BTreeSet<usize>>,
}

/// The naive placement on all hosts.
pub struct Hosts {
    states: Vec<Host>,
    /// Heartbeats until the list of loaded adapters is read again.
    heartbeats_until_list: usize,
}

/// Heartbeats between two reads of the list of loaded adapters.
const LIST_INTERVAL_HEARTBEATS: usize = 10;

impl Hosts {
    /// Creates hosts that have not read the list of loaded adapters yet.
    pub fn new(installation: &Installation) -> Self {
        Self {
            states: vec![Host::default(); installation.hosts],
            heartbeats_until_list: 0,
        }
    }

    /// Returns the engine on which a host runs the fewest requests.
    fn least_loaded(&self, host: usize, engines: impl Iterator<Item = usize>) -> Option<usize> {
        let running = &self.states[host].running;
        engines.min_by_key(|it| running.get(it).copied().unwrap_or(0))
    }
}

impl Placer for Hosts {
    type Message = ();

    fn place(&mut self, simulation: &mut Simulation<()>, request: usize) {
        if simulation.is_done(request) {
            return;
        }
        if simulation.is_abandoned(request) {
            simulation.refuse(request);
            return;
        }
        let arrival = simulation.requests[request].arrival.clone();
        let host = &self.states[arrival.host];
        let engines = host
            .holders
            .get(&arrival.adapter)
            .cloned()
            .unwrap_or_default();
        let engines: Vec<usize> = engines
            .into_iter()
            .filter(|it| simulation.engines[*it].is_up)
            .collect();
        if let Some(engine) = self.least_loaded(arrival.host, engines.into_iter()) {
            *self.states[arrival.host].running.entry(engine).or_default() += 1;
            simulation.send_request(request, engine, arrival.prompt_tokens);
            return;
        }
        let now = simulation.now;
        let ordered = self.states[arrival.host].ordered.get(&arrival.adapter);
        // An ordered load is awaited for 2 s before it is ordered again.
        let is_ordered = ordered
            .is_some_and(|it| it.1 + 2000 * MILLISECOND > now && simulation.engines[it.0].is_up);
        if !is_ordered {
            let reachable =
                (0..simulation.engines.len()).filter(|it| simulation.engines[*it].is_up);
            let Some(engine) = self.least_loaded(arrival.host, reachable) else {
                simulation.refuse(request);
                return;
            };
            if order_load(simulation, engine, arrival.adapter) {
                let host = &mut self.states[arrival.host];
                host.ordered.insert(arrival.adapter, (engine, now));
            }
        }
        simulation.schedule_placement(RETRY_INTERVAL, request);
    }

    fn on_missing_adapter(
        &mut self,
        simulation: &mut Simulation<()>,
        request: usize,
        engine: usize,
    ) {
        let arrival = &simulation.requests[request].arrival;
        let host = &mut self.states[arrival.host];
        if let Some(it) = host.holders.get_mut(&arrival.adapter) {
            it.remove(&engine);
        }
        self.on_request_end(simulation, request, engine);
        simulation.schedule_placement(0, request);
    }

    fn on_engine_lost(&mut self, simulation: &mut Simulation<()>, request: usize, engine: usize) {
        self.on_missing_adapter(simulation, request, engine);
    }

    fn on_first_event(&mut self, _: &mut Simulation<()>, _: usize, _: usize) {}

    fn on_request_end(&mut self, simulation: &mut Simulation<()>, request: usize, engine: usize) {
        let host = simulation.requests[request].arrival.host;
        if let Some(it) = self.states[host].running.get_mut(&engine) {
            *it = it.saturating_sub(1);
        }
    }

    fn on_loaded(&mut self, _: &mut Simulation<()>, engine: usize, adapter: usize) {
        for host in &mut self.states {
            if host.ordered.get(&adapter).is_some_and(|it| it.0 == engine) {
                host.holders.entry(adapter).or_default().insert(engine);
            }
        }
    }

    fn on_listed(&mut self, _: &mut Simulation<()>, _: usize) {}

    fn on_message(&mut self, _: &mut Simulation<()>, (): ()) {}

    fn on_heartbeat(&mut self, simulation: &mut Simulation<()>) {
        if self.heartbeats_until_list > 0 {
            self.heartbeats_until_list -= 1;
            return;
        }
        self.heartbeats_until_list = LIST_INTERVAL_HEARTBEATS;
        let mut holders: BTreeMap<usize, BTreeSet<usize>> = BTreeMap::new();
        for (engine, it) in simulation.engines.iter().enumerate() {
            for adapter in it.held.keys() {
                holders.entry(*adapter).or_default().insert(engine);
            }
        }
        for host in &mut self.states {
            host.holders.clone_from(&holders);
        }
    }
}

/// Orders a load, and an unload of the least recently used idle adapter if all slots are in use.
/// Returns false if no adapter can be unloaded.
fn order_load(simulation: &mut Simulation<()>, engine: usize, adapter: usize) -> bool {
    let it = &simulation.engines[engine];
    if it.in_flight.contains(&adapter) || it.held.contains_key(&adapter) {
        return true;
    }
    if it.held.len() + it.in_flight.len() >= simulation.installation.adapter_slots {
        let idle = it
            .held
            .iter()
            .filter(|it| simulation.running_requests(engine, *it.0) == 0);
        let Some(victim) = idle.min_by_key(|it| it.1).map(|it| *it.0) else {
            return false;
        };
        simulation.unload(engine, victim);
    }
    simulation.load(engine, adapter);
    true
}
