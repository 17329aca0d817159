//! Makes this host ready once it knows the stewards of the engines and the lender of loads.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use kernel::{name::Upstream, registry::inventory, service::State};

use crate::{
    host::Host,
    plugin::{Duty, Phase, Stop},
    readiness::Stage,
};

inventory::submit! {
    Duty {
        name: "joining",
        phase: Phase::Intake,
        run,
    }
}

/// How often the duty looks.
const CHECK: Duration = Duration::from_millis(50);

/// How long a host waits for stewards that it doesn't hear of; it then serves what it can.
const PATIENCE: Duration = Duration::from_secs(8);

fn run(host: &Arc<Host>, stop: &Stop) {
    let mut waited = Duration::ZERO;
    while !stop.is_set() && host.readiness.stage() < Stage::Ready {
        stop.sleep(CHECK);
        if host.readiness.stage() != Stage::Joining {
            continue;
        }
        waited += CHECK;
        let missing = missing(host);
        let is_joined = missing == Some(0) && host.lending.lender().is_some();
        if !is_joined && waited < PATIENCE {
            continue;
        }
        host.readiness.reach(Stage::Ready);
        let missing = missing.unwrap_or_default();
        log::info!(target: "entry", "Ready; {missing} engines are without a known steward.");
    }
}

/// How many live engines have no known steward; nothing before the first host list.
fn missing(host: &Host) -> Option<usize> {
    host.listed.entry_count()?;
    let known: BTreeSet<Upstream> = host.directory.views().into_iter().map(|it| it.0).collect();
    let engines = host.listed.engines();
    let missing = engines
        .iter()
        .filter(|it| it.state == State::Live && !known.contains(&it.name));
    Some(missing.count())
}
