//! Writes the status of the failure domain to the platform. One host of the domain does this.

use std::{sync::Arc, time::Duration};

use kernel::registry::inventory;
use member::{Condition, Member};
use objects::object::{Failure, Reason, Store};
use serde_json::{Value, json};

use crate::{
    host::Host,
    plugin::{Duty, Phase, Stop},
    readiness::Stage,
};

inventory::submit! {
    Duty {
        name: "status",
        phase: Phase::Intake,
        run,
    }
}

/// How often the status is computed. It is written only if it changed.
const INTERVAL: Duration = Duration::from_secs(5);

fn run(host: &Arc<Host>, stop: &Stop) {
    let mut written = None;
    while !stop.is_set() {
        stop.sleep(INTERVAL);
        if host.readiness.stage() != Stage::Ready || !is_reporter(host) {
            written = None;
            continue;
        }
        let status = build_report(host);
        if written.as_ref() == Some(&status) {
            continue;
        }
        match write(host, &status) {
            Ok(()) => written = Some(status),
            Err(error) => log::warn!(target: "entry", "The status could not be written: {error}."),
        }
    }
}

/// Returns the live hosts of this host's failure domain, sorted by name.
fn domain_hosts(host: &Host) -> Vec<Member> {
    let members = host.peer.get().map(peer::Handle::members);
    let members = members.iter().flat_map(|it| it.iter());
    let mut hosts: Vec<Member> = members
        .filter(|it| it.domain == host.settings.domain && it.state == Condition::Up)
        .cloned()
        .collect();
    hosts.sort_by(|a, b| a.holder.host.cmp(&b.holder.host));
    hosts
}

fn is_reporter(host: &Host) -> bool {
    let hosts = domain_hosts(host);
    hosts.first().is_some_and(|it| it.holder == host.me)
}

fn build_report(host: &Host) -> Value {
    let hosts = domain_hosts(host);
    let hosts: Vec<&str> = hosts.iter().map(|it| it.holder.host.as_str()).collect();
    let views = host.directory.views();
    let own = views
        .iter()
        .filter(|it| it.2.domain == host.settings.domain);
    let (engines, loaded) = own.fold((0, 0), |(engines, loaded), (_, _, view)| {
        (engines + 1, loaded + view.loaded.len())
    });
    json!({
        "revision": host.configuration().0,
        "hosts": hosts,
        "engines": engines,
        "adapters_loaded": loaded,
    })
}

fn write(host: &Host, status: &Value) -> Result<(), Failure> {
    let key = format!("status/{}", host.settings.domain);
    let bytes = status.to_string().into_bytes();
    let found = host.store.get(Reason::Status, &key)?;
    let written = match found {
        Some(it) => host.store.update(Reason::Status, &key, it.version, &bytes),
        None => host.store.create(Reason::Status, &key, &bytes),
    };
    match written {
        // Another host of the domain wrote first. Its status is equally valid.
        Ok(_) | Err(Failure::Conflict { .. }) => Ok(()),
        Err(error) => Err(error),
    }
}
