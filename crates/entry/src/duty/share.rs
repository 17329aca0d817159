//! Passes configured values to the steward: the weights of its objective, and its guaranteed
//! minimum of the weight store's limits, which applies while it has no loan.

use std::{sync::Arc, time::Duration};

use config::{
    Document,
    service::{Kind, ObjectiveWeights},
};
use kernel::registry::inventory;
use steward::{Event, Objective};

use crate::{
    host::Host,
    lending::{Allocation, GUARANTEED_IN_FLIGHT},
    plugin::{Duty, Phase, Stop},
};

inventory::submit! {
    Duty {
        name: "share",
        phase: Phase::Service,
        run,
    }
}

/// How often the values are computed.
const INTERVAL: Duration = Duration::from_secs(1);

fn run(host: &Arc<Host>, stop: &Stop) {
    while !stop.is_set() {
        let document = host.configuration().1;
        host.inbox
            .push_event(Event::ObjectiveChanged(mean_objective(&document)));
        let hosts = host.host_list.entry_host_count().unwrap_or(1);
        let allocation = Allocation::new(document.store(), hosts);
        host.inbox.push_event(Event::GuaranteedLimits {
            rate_per_second: allocation.guaranteed_rate_per_second,
            burst: GUARANTEED_IN_FLIGHT,
            max_in_flight: GUARANTEED_IN_FLIGHT,
        });
        stop.sleep(INTERVAL);
    }
}

/// Returns the mean of the weights of all model services, because an engine serves several of them.
fn mean_objective(document: &Document) -> Objective {
    let services = document.services().map(|it| it.1);
    let weights: Vec<_> = services
        .filter(|it| matches!(it.kind, Kind::Model(_)))
        .map(|it| it.weights)
        .collect();
    let Ok(count) = u32::try_from(weights.len()) else {
        return Objective::default();
    };
    if count == 0 {
        return Objective::default();
    }
    let mean = |weight: fn(&ObjectiveWeights) -> f64| {
        weights.iter().map(weight).sum::<f64>() / f64::from(count)
    };
    Objective {
        load_stall: mean(|it| it.load_stall),
        batch_efficiency: mean(|it| it.batch_efficiency),
    }
}
