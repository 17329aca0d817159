//! Lends out the weight store's limits while this host is the lender.

use std::{sync::Arc, time::Duration};

use kernel::{
    name::{Domain, Upstream},
    registry::inventory,
};
use member::{Condition, Member};
use objects::object::Failure;

use crate::{
    claim::{self, Acquisition},
    host::Host,
    lending::{self, Allocation},
    liveness,
    plugin::{Duty, Phase, Stop},
    readiness::Stage,
};

inventory::submit! {
    Duty {
        name: "lending",
        phase: Phase::Intake,
        run,
    }
}

/// The object that records the lender.
const OBJECT_KEY: &str = "share/lender";

/// How often the duty checks which host is the lender.
const INTERVAL: Duration = Duration::from_millis(500);

/// The delay after startup in which the host discovers the other members.
const STARTUP_GRACE: Duration = Duration::from_millis(1500);

/// The maximum time between two checks for due loans.
const MAX_SLEEP: Duration = Duration::from_millis(20);

/// The pause after a platform error.
const BACK_OFF: Duration = Duration::from_secs(1);

/// The allocation that this host lends under, while it is the lender.
type CurrentAllocation = Option<Allocation>;

fn run(host: &Arc<Host>, stop: &Stop) {
    stop.sleep(STARTUP_GRACE);
    let mut current = None;
    while !stop.is_set() {
        let wait = match reconcile(host, &mut current) {
            Ok(()) => INTERVAL,
            Err(error) => {
                log::warn!(target: "steward", "The lender could not be determined: {error}.");
                BACK_OFF
            }
        };
        lend_during(host, stop, wait);
    }
    host.lending.stop();
}

fn lend_during(host: &Host, stop: &Stop, time: Duration) {
    let end = host.clock.now() + time;
    while !stop.is_set() && host.clock.now() < end {
        let wait = lending::lend_due(host, MAX_SLEEP);
        std::thread::sleep(wait.max(Duration::from_millis(1)));
    }
}

fn reconcile(host: &Host, current: &mut CurrentAllocation) -> Result<(), Failure> {
    if matches!(host.readiness.stage(), Stage::Starting | Stage::Leaving) {
        return Ok(());
    }
    let members = host.peer.get().map(peer::Handle::members);
    let members = members.unwrap_or_default();
    if !is_lender(host, &members) {
        if current.take().is_some() {
            log::info!(target: "steward", "Another host now lends the weight store's limits.");
            host.lending.stop();
        }
        return Ok(());
    }
    let hosts = host.host_list.entry_host_count().unwrap_or(1);
    let allocation = Allocation::new(host.configuration().1.store(), hosts);
    if *current != Some(allocation) {
        let fence = claim_lending(host, &members)?;
        host.lending.start(allocation.pool, fence, host.clock.now());
        host.publish(lending::lender_entry(fence));
        add_stewards(host, allocation, &members);
        lending::set_lender(host, &host.me.host, fence);
        *current = Some(allocation);
        log::info!(target: "steward", "Lending the weight store's limits with fencing token {fence}.");
    }
    add_stewards(host, allocation, &members);
    Ok(())
}

fn is_lender(host: &Host, members: &[Member]) -> bool {
    // The lender is the host that would be steward of an engine with this name outside of all
    // failure domains.
    let object = Upstream::new("lender").expect("the object name is valid");
    let no_domain = Domain::new("_").expect("the domain name is valid");
    let owner = member::steward::of(&object, &no_domain, members);
    owner.is_some_and(|it| it.holder == host.me)
}

/// Claims the lender object, even if this process already holds it: a new fencing token voids the
/// loans made under the previous one.
fn claim_lending(host: &Host, members: &[Member]) -> Result<u64, Failure> {
    let found = claim::store::read(&host.store, OBJECT_KEY)?;
    let previous = found.as_ref().map(|it| it.1.holder.clone());
    let liveness = previous.map_or(claim::Liveness::Terminated, |it| {
        liveness::check(host, &it, members)
    });
    let (version, record) = match claim::plan_acquisition(found.clone(), &host.me, liveness, 0) {
        Acquisition::Write {
            version, record, ..
        } => (version, record),
        Acquisition::Held { .. } => match found {
            Some((version, mut record)) => {
                record.fence += 1;
                (Some(version), record)
            }
            None => return Ok(0),
        },
    };
    claim::store::write(&host.store, OBJECT_KEY, version, &record)?;
    Ok(record.fence)
}

fn add_stewards(host: &Host, allocation: Allocation, members: &[Member]) {
    let now = host.clock.now();
    let alive = members.iter().filter(|it| it.state != Condition::Down);
    for member in alive {
        host.lending.add_steward(
            member.holder.clone(),
            allocation.guaranteed_rate_per_second,
            now,
        );
    }
}
