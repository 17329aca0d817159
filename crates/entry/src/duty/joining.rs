//! Makes this host ready once it knows the stewards of all engines and the lender of the weight
//! store's limits.

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

/// How often the conditions are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long a host waits for unknown stewards. After that it serves what it can.
const JOIN_TIMEOUT: Duration = Duration::from_secs(8);

fn run(host: &Arc<Host>, stop: &Stop) {
    let mut waited = Duration::ZERO;
    while !stop.is_set() && host.readiness.stage() < Stage::Ready {
        stop.sleep(CHECK_INTERVAL);
        if host.readiness.stage() != Stage::Joining {
            continue;
        }
        waited += CHECK_INTERVAL;
        let unowned = count_without_steward(host);
        let is_joined = unowned == Some(0) && host.lending.lender().is_some();
        if !is_joined && waited < JOIN_TIMEOUT {
            continue;
        }
        host.readiness.advance_to(Stage::Ready);
        let unowned = unowned.unwrap_or_default();
        log::info!(target: "entry", "Ready; {unowned} engines are without a known steward.");
    }
}

/// Returns the number of live engines without a known steward, or `None` before the first host
/// list.
fn count_without_steward(host: &Host) -> Option<usize> {
    host.host_list.entry_host_count()?;
    let with_steward: BTreeSet<Upstream> =
        host.directory.views().into_iter().map(|it| it.0).collect();
    let engines = host.host_list.engines();
    let unowned = engines
        .iter()
        .filter(|it| it.state == State::Live && !with_steward.contains(&it.name));
    Some(unowned.count())
}
