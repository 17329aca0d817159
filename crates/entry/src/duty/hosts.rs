//! Reads the platform's host list and tells the steward and the members what it says.

use std::{sync::Arc, time::Duration};

use kernel::{
    name::{Host as HostName, Upstream},
    registry::inventory,
};
use member::Listing;
use platform::hosts::{self, Client};
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
    let client = Client::sharing(host.store.clone());
    while !stop.is_set() {
        match client.list() {
            Ok(list) => take(host, &list),
            Err(error) => {
                log::warn!(target: "platform", "The host list could not be read: {error}.");
            }
        }
        stop.sleep(INTERVAL);
    }
}

fn take(host: &Host, list: &[hosts::Host]) {
    let entries = list.iter().filter_map(listing).collect();
    let (changed, gone) = host.listed.replace(list);
    if let Some(peer) = host.peer.get() {
        peer.listed(entries);
    }
    for engine in changed {
        log::info!(target: "platform", "Upstream {} is {:?} at {}.", engine.name, engine.state, engine.address);
        host.inbox.event(Event::Changed { engine });
    }
    for engine in gone {
        lost(host, engine);
    }
}

fn lost(host: &Host, engine: Upstream) {
    log::info!(target: "platform", "Upstream {engine} is gone from the host list.");
    let mut held = host.held.lock().expect("held lock is poisoned");
    if held.remove(&engine) {
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
