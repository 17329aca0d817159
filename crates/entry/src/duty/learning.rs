//! Fetches configuration revisions from other hosts that have newer ones.

use std::{sync::Arc, time::Duration};

use kernel::{name::Host as HostName, registry::inventory};
use member::{Condition, Member};

use crate::{
    adoption::{self, Source},
    host::Host,
    plugin::{Duty, Phase, Stop},
    readiness::Stage,
};

inventory::submit! {
    Duty {
        name: "learning",
        phase: Phase::Service,
        run,
    }
}

/// How often the duty checks for a newer announced revision.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of checks between two polls of all members while the host has no configuration.
const CHECKS_PER_STARTUP_POLL: u32 = 10;

fn run(host: &Arc<Host>, stop: &Stop) {
    let mut checks = 0;
    while !stop.is_set() {
        let announced = host
            .announced_revision
            .lock()
            .expect("revision lock is poisoned")
            .clone();
        if announced
            .as_ref()
            .is_some_and(|it| it.0 > host.configuration().0.0)
            && let Some((_, holder)) = announced
        {
            fetch_from(host, &holder.host);
        } else if host.readiness.stage() == Stage::Starting {
            checks += 1;
            if checks % CHECKS_PER_STARTUP_POLL == 0 {
                fetch_from_all(host);
            }
        }
        stop.sleep(CHECK_INTERVAL);
    }
}

/// Polls all live members, so that a starting host gets the highest revision of all reachable hosts
/// even without the platform.
fn fetch_from_all(host: &Host) {
    for member in live_peers(host) {
        fetch_from(host, &member.holder.host);
    }
    if host.configuration().0.0 > 0 {
        adoption::mark_known(host, Source::Peers);
    }
}

fn live_peers(host: &Host) -> Vec<Member> {
    let members = host.peer.get().map(peer::Handle::members);
    let members = members.iter().flat_map(|it| it.iter());
    members
        .filter(|it| it.holder.host != host.me.host && it.state != Condition::Down)
        .cloned()
        .collect()
}

fn fetch_from(host: &Host, other: &HostName) {
    let Some(peer) = host.peer.get() else {
        return;
    };
    match peer.fetch_revisions(other, host.configuration().0.0) {
        Ok(updates) => adoption::from_peer(host, other, &updates),
        Err(error) => {
            log::debug!(target: "config", "Revisions could not be fetched from host {other}: {error}.");
        }
    }
}
