//! Orders at the engines, their loads from the store, and their reports.

use std::time::Duration;

use steward::{Event, OrderResult};

use super::{Command, Fleet, Happening, RESTART_NOTICE};
use crate::{agenda::Micros, store::Reply};

impl Fleet<'_> {
    fn settle(&mut self, command: &Command, result: OrderResult) {
        let delay = self.to_engine(command.host, command.engine);
        let order = command.order;
        self.plan(
            delay,
            Happening::Tell(command.host, Event::OrderEnded { order, result }),
        );
    }

    pub(super) fn load(&mut self, command: Command) {
        let machine = &self.machines[command.engine];
        let used = machine.loaded.len() + self.loading[command.engine] as usize;
        if used >= self.deployment.slots as usize {
            self.settle(&command, OrderResult::NoSlot);
            return;
        }
        match self.store.begin(self.now) {
            Reply::Takes(time) => {
                let incarnation = machine.incarnation;
                self.loading[command.engine] += 1;
                self.plan(time, Happening::LoadEnded(command, incarnation));
            }
            Reply::OverRate => self.settle(&command, OrderResult::Failed("over the rate".into())),
            Reply::Down => self.settle(&command, OrderResult::Failed("the store is down".into())),
        }
    }

    pub(super) fn load_ended(&mut self, command: &Command, incarnation: u64) {
        self.store.end();
        let machine = &mut self.machines[command.engine];
        if machine.incarnation != incarnation {
            self.settle(command, OrderResult::Unknown);
            return;
        }
        self.loading[command.engine] -= 1;
        machine.loaded.push((command.loaded.clone(), 0));
        self.settle(command, OrderResult::Done);
    }

    pub(super) fn unload(&mut self, command: &Command) {
        let machine = &mut self.machines[command.engine];
        let place = machine
            .loaded
            .iter()
            .position(|(it, _)| *it == command.loaded);
        let result = match place.map(|it| (it, machine.loaded[it].1)) {
            None => OrderResult::NotLoaded,
            Some((_, running)) if running > 0 => OrderResult::Busy,
            Some((index, _)) => {
                machine.loaded.remove(index);
                self.figures.evictions += 1;
                OrderResult::Done
            }
        };
        self.settle(command, result);
    }

    pub(super) fn report(&mut self, host: usize, engine: usize) {
        let delay = self.to_engine(host, engine);
        let machine = &self.machines[engine];
        let event = Event::SlotReport {
            engine: self.instance(engine).name,
            requested_at: self.base + Duration::from_micros(self.now - delay),
            incarnation: machine.incarnation,
            slots: self.deployment.slots,
            loaded: machine.loaded.clone(),
        };
        self.plan(delay, Happening::Tell(host, event));
    }

    pub(super) fn restart(&mut self) {
        let now: Micros = self.now;
        for engine in 0..self.machines.len() {
            self.machines[engine].restart(now);
            self.loading[engine] = 0;
            let host = self.steward_of(engine);
            self.plan(RESTART_NOTICE, Happening::Inspect(host, engine));
        }
    }
}
