//! Tells the steward its floor: its share of the weight store's limits while it has no lender.

use std::{sync::Arc, time::Duration};

use kernel::registry::inventory;
use steward::Event;

use crate::{
    host::Host,
    lending::{Division, FLOOR_IN_FLIGHT},
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
        let hosts = host.listed.entry_count().unwrap_or(1);
        let division = Division::new(host.text().1.store(), hosts);
        host.inbox.event(Event::Share {
            rate_per_second: division.floor,
            full_speed: FLOOR_IN_FLIGHT,
            in_flight: FLOOR_IN_FLIGHT,
        });
        stop.sleep(INTERVAL);
    }
}
