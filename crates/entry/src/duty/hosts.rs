//! Reads the platform's host list and tells the steward and the members what it says.

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
        let asked = host.clock.now();
        match client.list() {
            Ok(list) => take(host, &list, asked),
            Err(error) => {
                log::warn!(target: "platform", "The host list could not be read: {error}.");
                learn(host);
            }
        }
        stop.sleep(INTERVAL);
    }
}

fn take(host: &Host, list: &[hosts::Host], read: Instant) {
    let entries = list.iter().filter_map(listing).collect();
    let (changed, gone) = host.listed.replace(list, read);
    if let Some(peer) = host.peer.get() {
        peer.set_listed_hosts(entries);
    }
    for engine in changed {
        log::info!(target: "platform", "Upstream {} is {:?} at {}.", engine.name, engine.state, engine.address);
        host.inbox.event(Event::InstanceChanged { engine });
    }
    for engine in gone {
        lost(host, engine);
    }
}

/// Learns a younger list from another host.
fn learn(host: &Host) {
    let Some(peer) = host.peer.get() else {
        return;
    };
    let members = peer.members();
    let others = members
        .iter()
        .filter(|it| it.holder.host != host.me.host && it.state != Condition::Down);
    for member in others {
        let asked = host.clock.now();
        let Ok(Some(list)) = peer.fetch_host_list(&member.holder.host) else {
            continue;
        };
        let Some(read) = asked.checked_sub(list.age) else {
            continue;
        };
        let is_younger = host.listed.last().is_none_or(|it| it.0 < read);
        if !is_younger {
            continue;
        }
        match hosts::from_json(&list.json) {
            Ok(list) => take(host, &list, read),
            Err(error) => {
                let name = &member.holder.host;
                log::warn!(target: "platform", "Host {name} sent a host list that can't be read: {error}.");
            }
        }
    }
}

fn lost(host: &Host, engine: Upstream) {
    log::info!(target: "platform", "Upstream {engine} is gone from the host list.");
    let mut held = host.held.lock().expect("held lock is poisoned");
    if held.remove(&engine).is_some() {
        host.inbox.event(Event::Lost { engine });
    }
}

fn listing(it: &hosts::Host) -> Option<Listing> {
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
