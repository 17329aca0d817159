//! Execution of orders at the engines: loads from the store, unloads, and status reports.

use std::time::Duration;

use steward::{Event, OrderResult};

use super::{Command, RESTART_DETECTION_DELAY, SimEvent, Simulation};
use crate::{event_queue::Micros, store::Reply};

impl Simulation<'_> {
    /// Sends the result of an order to the host that gave the order.
    fn send_order_result(&mut self, command: &Command, result: OrderResult) {
        let delay = self.engine_delay(command.host, command.engine);
        let order = command.order;
        self.schedule(
            delay,
            SimEvent::Steward(command.host, Event::OrderEnded { order, result }),
        );
    }

    /// Starts a load unless all slots of the engine are in use or the store refuses the load.
    pub(super) fn begin_load(&mut self, command: Command) {
        let state = &self.engines[command.engine];
        let used_slots = state.loaded.len() + self.loading[command.engine] as usize;
        if used_slots >= self.deployment.slots_per_engine as usize {
            self.send_order_result(&command, OrderResult::NoSlot);
            return;
        }
        match self.store.begin_load(self.now) {
            Reply::Accepted(time) => {
                let incarnation = state.incarnation;
                self.loading[command.engine] += 1;
                self.schedule(time, SimEvent::LoadEnd(command, incarnation));
            }
            Reply::RateLimited => self.send_order_result(
                &command,
                OrderResult::Failed("the load exceeds the rate limit of the store".into()),
            ),
            Reply::Down => {
                self.send_order_result(&command, OrderResult::Failed("the store is down".into()));
            }
        }
    }

    pub(super) fn end_load(&mut self, command: &Command, incarnation: u64) {
        self.store.end_load();
        let state = &mut self.engines[command.engine];
        if state.incarnation != incarnation {
            self.send_order_result(command, OrderResult::Unknown);
            return;
        }
        self.loading[command.engine] -= 1;
        state.loaded.push((command.loaded.clone(), 0));
        self.send_order_result(command, OrderResult::Done);
    }

    pub(super) fn unload_adapter(&mut self, command: &Command) {
        let state = &mut self.engines[command.engine];
        let index = state
            .loaded
            .iter()
            .position(|(it, _)| *it == command.loaded);
        let result = match index.map(|it| (it, state.loaded[it].1)) {
            None => OrderResult::NotLoaded,
            Some((_, running)) if running > 0 => OrderResult::Busy,
            Some((index, _)) => {
                state.loaded.remove(index);
                self.metrics.evictions += 1;
                OrderResult::Done
            }
        };
        self.send_order_result(command, result);
    }

    /// Sends the state of an engine to the host that queried it.
    pub(super) fn report_slots(&mut self, host: usize, engine: usize) {
        let delay = self.engine_delay(host, engine);
        let state = &self.engines[engine];
        let event = Event::SlotReport {
            engine: self.instance(engine).name,
            requested_at: self.clock_base + Duration::from_micros(self.now - delay),
            incarnation: state.incarnation,
            slots: self.deployment.slots_per_engine,
            loaded: state.loaded.clone(),
        };
        self.schedule(delay, SimEvent::Steward(host, event));
    }

    pub(super) fn restart_engines(&mut self) {
        let now: Micros = self.now;
        for engine in 0..self.engines.len() {
            self.engines[engine].restart(now);
            self.loading[engine] = 0;
            let host = self.steward_of(engine);
            self.schedule(RESTART_DETECTION_DELAY, SimEvent::StatusQuery(host, engine));
        }
    }
}
