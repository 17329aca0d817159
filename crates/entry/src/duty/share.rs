//! Keeps this steward's share of the weight store's limits.

use std::{sync::Arc, time::Duration};

use kernel::registry::inventory;
use steward::Event;

use crate::{
    host::Host,
    plugin::{Duty, Phase, Stop},
};

inventory::submit! {
    Duty {
        name: "share",
        phase: Phase::Service,
        run,
    }
}

/// How often the share is worked out.
const INTERVAL: Duration = Duration::from_secs(1);

fn run(host: &Arc<Host>, stop: &Stop) {
    while !stop.is_set() {
        let store = host.text().1.store();
        let hosts = host.listed.entry_count().unwrap_or(1).max(1);
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        host.inbox.event(Event::Share {
            rate_per_second: store.rate_per_second / f64::from(hosts),
            full_speed: store.full_speed.div_ceil(hosts),
            in_flight: (store.in_flight / hosts).max(1),
        });
        stop.sleep(INTERVAL);
    }
}
