//! Ends the permits of entry host processes that have certainly ended. A host that only stopped
//! responding may be paused, so its permits end when they expire.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use kernel::{name::Host as HostName, permit::Holder, registry::inventory};
use steward::Event;

use crate::{
    host::Host,
    plugin::{Duty, Phase, Stop},
};

inventory::submit! {
    Duty {
        name: "lives",
        phase: Phase::Service,
        run,
    }
}

/// How often the members are checked.
const INTERVAL: Duration = Duration::from_millis(500);

fn run(host: &Arc<Host>, stop: &Stop) {
    let mut incarnations: BTreeMap<HostName, u64> = BTreeMap::new();
    while !stop.is_set() {
        for holder in collect_ended(host, &mut incarnations) {
            log::info!(target: "steward", "Incarnation {1} of host {0} has ended.", holder.host, holder.incarnation);
            host.lending.remove_steward(&holder, host.clock.now());
            host.inbox.push_event(Event::HolderTerminated { holder });
        }
        stop.sleep(INTERVAL);
    }
}

fn collect_ended(host: &Host, incarnations: &mut BTreeMap<HostName, u64>) -> Vec<Holder> {
    let mut ended = Vec::new();
    let members = host.peer.get().map(peer::Handle::members);
    for member in members.iter().flat_map(|it| it.iter()) {
        let now = member.holder.incarnation;
        let before = incarnations.insert(member.holder.host.clone(), now);
        if let Some(incarnation) = before.filter(|it| *it < now) {
            ended.push(Holder {
                host: member.holder.host.clone(),
                incarnation,
            });
        }
    }
    incarnations.retain(|name, incarnation| {
        let removed = host.host_list.was_removed(name);
        if removed {
            ended.push(Holder {
                host: name.clone(),
                incarnation: *incarnation,
            });
        }
        !removed
    });
    ended
}
