//! Reads the platform's host list and forwards changes to the steward and the membership service.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use kernel::{
    name::{Host as HostName, Upstream},
    registry::inventory,
};
use member::{Condition, Listing};
use objects::hosts::{self, Client};
use steward::Event;

use crate::{
    host::Host,
    plugin::{Duty, Phase, Stop},
};

inventory::submit! {
    Duty {
        name: "hosts",
        phase: Phase::Service,
        run,
    }
}

/// How often the list is read.
const INTERVAL: Duration = Duration::from_secs(1);

fn run(host: &Arc<Host>, stop: &Stop) {
    let client = Client::with_http_client(host.store.clone());
    while !stop.is_set() {
        let requested_at = host.clock.now();
        match client.list() {
            Ok(list) => apply_list(host, &list, requested_at),
            Err(error) => {
                log::warn!(target: "platform", "The host list could not be read: {error}.");
                fetch_from_peers(host);
            }
        }
        stop.sleep(INTERVAL);
    }
}

fn apply_list(host: &Host, list: &[hosts::Host], read_at: Instant) {
    let entries = list.iter().filter_map(to_listing).collect();
    let (changed, removed) = host.host_list.replace(list, read_at);
    if let Some(peer) = host.peer.get() {
        peer.set_listed_hosts(entries);
    }
    for engine in changed {
        log::info!(target: "platform", "Upstream {} is {:?} at {}.", engine.name, engine.state, engine.address);
        host.inbox.push_event(Event::InstanceChanged { engine });
    }
    for engine in removed {
        remove_upstream(host, engine);
    }
}

/// Fetches a more recent list from another host.
fn fetch_from_peers(host: &Host) {
    let Some(peer) = host.peer.get() else {
        return;
    };
    let members = peer.members();
    let others = members
        .iter()
        .filter(|it| it.holder.host != host.me.host && it.state != Condition::Down);
    for member in others {
        let requested_at = host.clock.now();
        let Ok(Some(list)) = peer.fetch_host_list(&member.holder.host) else {
            continue;
        };
        let Some(read_at) = requested_at.checked_sub(list.age) else {
            continue;
        };
        let is_newer = host.host_list.last_list().is_none_or(|it| it.0 < read_at);
        if !is_newer {
            continue;
        }
        match hosts::from_json(&list.json) {
            Ok(list) => apply_list(host, &list, read_at),
            Err(error) => {
                let name = &member.holder.host;
                log::warn!(target: "platform", "Host {name} sent an invalid host list: {error}.");
            }
        }
    }
}

fn remove_upstream(host: &Host, engine: Upstream) {
    log::info!(target: "platform", "Upstream {engine} was removed from the host list.");
    let mut held = host.held.lock().expect("held lock is poisoned");
    if held.remove(&engine).is_some() {
        host.inbox.push_event(Event::Lost { engine });
    }
}

fn to_listing(it: &hosts::Host) -> Option<Listing> {
    if it.role != hosts::Role::Entry {
        return None;
    }
    Some(Listing {
        host: HostName::new(it.name.as_str()).ok()?,
        address: it.address,
        domain: it.domain.clone(),
        state: it.state,
    })
}
