//! Loads of adapters that another host has ordered, from the order on.
//!
//! Load pattern that this answers: many hosts miss the same adapters while the weight store has no more to
//! give, so that each asks one steward after the other. A load that was ordered is told at once and isn't
//! ordered again elsewhere: loads that serve nobody would delay all others.

use std::{collections::HashMap, time::Duration};

use crate::{
    Time,
    engine::Engine,
    listing::Name,
    table::{Freshness, Key, Table},
};

/// Time after a load should be done for which it isn't ordered elsewhere: the requests that wait for it try
/// it first.
const RECENT: Duration = Duration::from_millis(600);

/// One load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// The engine.
    pub key: Key,
    /// The version that was ordered; 0 if the engine chooses the newest.
    pub version: u64,
    /// When it should be done.
    pub due: Time,
}

/// Loads that are on their way or were done a moment ago, by adapter.
#[derive(Clone, Debug, Default)]
pub struct InFlightLoads {
    loads: HashMap<Name, Load>,
    /// Adapters whose load isn't entered in the table yet, with when it is due.
    open: Vec<(Time, Name)>,
}

impl InFlightLoads {
    /// Notes a load that another host has ordered.
    pub fn announce(&mut self, name: Name, load: Load) {
        self.open.push((load.due, name.clone()));
        self.loads.insert(name, load);
    }

    /// Forgets a load that isn't there when it should be.
    pub fn remove(&mut self, name: &str, key: Key) {
        if self.loads.get(name).is_some_and(|it| it.key == key) {
            self.loads.remove(name);
        }
    }

    /// The loads that should be done by now and weren't returned before.
    pub fn take_due(&mut self, now: Time) -> Vec<(Name, Load)> {
        if self.open.iter().all(|it| it.0 > now) {
            return Vec::new();
        }
        let (due, open) = std::mem::take(&mut self.open)
            .into_iter()
            .partition(|it: &(Time, Name)| it.0 <= now);
        self.open = open;
        self.loads.retain(|_, it| it.due + RECENT > now);
        let due: Vec<(Time, Name)> = due;
        let load = |(at, name): (Time, Name)| {
            let load = *self.loads.get(&name).filter(|it| it.due == at)?;
            Some((name, load))
        };
        due.into_iter().filter_map(load).collect()
    }

    /// The load of an adapter's newest version that is on its way or was done a moment ago.
    pub fn find(&self, name: &str, table: &Table, now: Time) -> Option<Load> {
        let load = *self.loads.get(name)?;
        let newest =
            load.version == 0 || table.freshness(name, load.version, now) == Freshness::Newest;
        let usable = table.get(load.key).is_some_and(Engine::accepts_work);
        (newest && usable && load.due + RECENT > now).then_some(load)
    }
}
