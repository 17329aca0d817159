//! Adapter loads that other hosts have ordered.
//!
//! When many hosts miss the same adapters while the weight store is saturated, each of them asks one steward
//! after the other. A load is therefore announced as soon as it is ordered and isn't ordered again on other
//! engines: redundant loads would delay all others.

use std::{collections::HashMap, time::Duration};

use crate::{
    Time,
    listing::Name,
    loader::Wanted,
    table::{Freshness, Key, Table},
};

/// Time after the expected end of a load for which the adapter isn't ordered on another engine. In that
/// time, the waiting requests find out whether the load is done.
const COMPLETION_GRACE: Duration = Duration::from_millis(600);

/// An ordered load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// The engine.
    pub key: Key,
    /// The version that was ordered; 0 if the engine chooses the newest.
    pub version: u64,
    /// Expected end of the load.
    pub due: Time,
}

/// In-flight and recently completed loads of other hosts, by adapter.
#[derive(Clone, Debug, Default)]
pub struct InFlightLoads {
    loads: HashMap<Name, Load>,
    /// Expected end of each load that [`Self::take_due`] hasn't returned yet.
    not_due: Vec<(Time, Name)>,
}

impl InFlightLoads {
    /// Records a load that another host has ordered.
    pub fn announce(&mut self, name: Name, load: Load) {
        self.not_due.push((load.due, name.clone()));
        self.loads.insert(name, load);
    }

    /// Removes a load that wasn't done at its expected end, or whose adapter was unloaded.
    pub fn remove(&mut self, name: &str, key: Key) {
        if self.loads.get(name).is_some_and(|it| it.key == key) {
            self.loads.remove(name);
        }
    }

    /// Returns the loads whose expected end has passed, each of them once.
    pub fn take_due(&mut self, now: Time) -> Vec<(Name, Load)> {
        if self.not_due.iter().all(|it| it.0 > now) {
            return Vec::new();
        }
        let (due, not_due) = std::mem::take(&mut self.not_due)
            .into_iter()
            .partition(|it: &(Time, Name)| it.0 <= now);
        self.not_due = not_due;
        self.loads.retain(|_, it| it.due + COMPLETION_GRACE > now);
        let due: Vec<(Time, Name)> = due;
        let load = |(at, name): (Time, Name)| {
            let load = *self.loads.get(&name).filter(|it| it.due == at)?;
            Some((name, load))
        };
        due.into_iter().filter_map(load).collect()
    }

    /// Returns the in-flight or recently completed load of an adapter's newest version on an engine that suits the
    /// requests.
    pub fn find(&self, wanted: &Wanted, table: &Table, now: Time) -> Option<Load> {
        let name = &wanted.name;
        let load = *self.loads.get(name)?;
        let newest =
            load.version == 0 || table.freshness(name, load.version, now) == Freshness::Newest;
        let engine = table.get(load.key)?;
        let usable = engine.accepts_work() && wanted.suits(engine);
        (newest && usable && load.due + COMPLETION_GRACE > now).then_some(load)
    }
}
