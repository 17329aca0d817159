//! Lends out the weight store's limits while this host is the lender.

use std::{sync::Arc, time::Duration};

use kernel::{
    name::{Domain, Upstream},
    registry::inventory,
};
use member::{Condition, Member};
use objects::object::Failure;

use crate::{
    claim::{self, Next},
    evidence,
    host::Host,
    lending::{self, Division},
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

/// The object that confirms who the lender is.
const KEY: &str = "share/lender";

/// How often the duty looks who should be the lender.
const INTERVAL: Duration = Duration::from_millis(500);

/// How long a host waits after its start, so that it has met the other members.
const SETTLE: Duration = Duration::from_millis(1500);

/// How long the duty sleeps at most while it lends.
const MAX_SLEEP: Duration = Duration::from_millis(20);

/// How long the duty waits after the platform failed.
const BACK_OFF: Duration = Duration::from_secs(1);

/// The division that this host lends under, while it is the lender.
type Lent = Option<Division>;

fn run(host: &Arc<Host>, stop: &Stop) {
    stop.sleep(SETTLE);
    let mut lent = None;
    while !stop.is_set() {
        let wait = match turn(host, &mut lent) {
            Ok(()) => INTERVAL,
            Err(error) => {
                log::warn!(target: "steward", "The lender could not be settled: {error}.");
                BACK_OFF
            }
        };
        lend_for(host, stop, wait);
    }
    host.lending.close();
}

fn lend_for(host: &Host, stop: &Stop, time: Duration) {
    let until = host.clock.now() + time;
    while !stop.is_set() && host.clock.now() < until {
        let wait = lending::turn(host, MAX_SLEEP);
        std::thread::sleep(wait.max(Duration::from_millis(1)));
    }
}

fn turn(host: &Host, lent: &mut Lent) -> Result<(), Failure> {
    if matches!(host.readiness.stage(), Stage::Starting | Stage::Leaving) {
        return Ok(());
    }
    let members = host.peer.get().map(peer::Handle::members);
    let members = members.unwrap_or_default();
    if !is_lender(host, &members) {
        if lent.take().is_some() {
            log::info!(target: "steward", "Another host lends the weight store's limits.");
            host.lending.close();
        }
        return Ok(());
    }
    let hosts = host.listed.entry_count().unwrap_or(1);
    let division = Division::new(host.text().1.store(), hosts);
    if *lent != Some(division) {
        let fence = take(host, &members)?;
        host.lending.open(division.lent, fence, host.clock.now());
        host.publish(lending::entry(fence));
        join(host, division, &members);
        lending::learn(host, &host.me.host, fence);
        *lent = Some(division);
        log::info!(target: "steward", "Lends the weight store's limits under {fence}.");
    }
    join(host, division, &members);
    Ok(())
}

fn is_lender(host: &Host, members: &[Member]) -> bool {
    let object = Upstream::new("lender").expect("the object's name is a name");
    let nowhere = Domain::new("_").expect("the place's name is a name");
    let owner = member::steward::of(&object, &nowhere, members);
    owner.is_some_and(|it| it.holder == host.me)
}

/// Takes the object over, also from itself: what was lent under the number before is void.
fn take(host: &Host, members: &[Member]) -> Result<u64, Failure> {
    let found = claim::store::read(&host.store, KEY)?;
    let before = found.as_ref().map(|it| it.1.holder.clone());
    let evidence = before.map_or(claim::Evidence::Ended, |it| {
        evidence::of(host, &it, members)
    });
    let (version, record) = match claim::next(found.clone(), &host.me, evidence, 0) {
        Next::Write {
            version, record, ..
        } => (version, record),
        Next::Held { .. } => match found {
            Some((version, mut record)) => {
                record.fence += 1;
                (Some(version), record)
            }
            None => return Ok(0),
        },
    };
    claim::store::write(&host.store, KEY, version, &record)?;
    Ok(record.fence)
}

fn join(host: &Host, division: Division, members: &[Member]) {
    let now = host.clock.now();
    let alive = members.iter().filter(|it| it.state != Condition::Down);
    for member in alive {
        host.lending
            .join(member.holder.clone(), division.floor, now);
    }
}
