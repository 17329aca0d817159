//! Learns configuration revisions from other hosts that know more.

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

/// How often the duty looks whether somebody knows more.
const CHECK: Duration = Duration::from_millis(100);

/// Checks between two questions to all members while this host is not ready.
const CHECKS_BEFORE_READY: u32 = 10;

fn run(host: &Arc<Host>, stop: &Stop) {
    let mut checks = 0;
    while !stop.is_set() {
        let known = host.known.lock().expect("known lock is poisoned").clone();
        if known.as_ref().is_some_and(|it| it.0 > host.text().0.0)
            && let Some((_, holder)) = known
        {
            ask(host, &holder.host);
        } else if host.readiness.stage() == Stage::Starting {
            checks += 1;
            if checks % CHECKS_BEFORE_READY == 0 {
                ask_all(host);
            }
        }
        stop.sleep(CHECK);
    }
}

/// Asks every live member, so that a host that starts is ready with the highest revision that
/// anyone whom it reaches knows, even without the platform.
fn ask_all(host: &Host) {
    for member in others(host) {
        ask(host, &member.holder.host);
    }
    if host.text().0.0 > 0 {
        adoption::known(host, Source::Peers);
    }
}

fn others(host: &Host) -> Vec<Member> {
    let members = host.peer.get().map(peer::Handle::members);
    let members = members.iter().flat_map(|it| it.iter());
    members
        .filter(|it| it.holder.host != host.me.host && it.state != Condition::Down)
        .cloned()
        .collect()
}

fn ask(host: &Host, other: &HostName) {
    let Some(peer) = host.peer.get() else {
        return;
    };
    match peer.fetch_revisions(other, host.text().0.0) {
        Ok(steps) => adoption::from_peer(host, other, &steps),
        Err(error) => {
            log::debug!(target: "config", "Host {other} could not be asked for revisions: {error}.");
        }
    }
}
