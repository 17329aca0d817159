//! Updates the configuration from the platform. Only a few hosts of each failure domain watch the
//! platform, which limits its load. The other hosts receive revisions from those.

use std::{sync::Arc, time::Duration};

use kernel::registry::inventory;
use member::{Condition, Member};
use objects::{
    log::Error,
    object::{Failure, Reason, Store, Version},
};

use crate::{
    adoption::{self, Source},
    host::Host,
    plugin::{Duty, Phase, Stop},
};

inventory::submit! {
    Duty {
        name: "configuration",
        phase: Phase::Service,
        run,
    }
}

/// The timeout of one watch request.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);

/// The pause after a platform error.
const BACK_OFF: Duration = Duration::from_millis(500);

/// How often a host that does not watch checks whether it must start.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Number of watching hosts per failure domain.
const WATCHERS_PER_DOMAIN: usize = 2;

/// Key prefix of the accepted edits.
const LOG_PREFIX: &str = "config/log/";

fn run(host: &Arc<Host>, stop: &Stop) {
    let mut since = None;
    while !stop.is_set() {
        if since.is_some() && !is_watcher(host) {
            stop.sleep(ROLE_CHECK_INTERVAL);
            continue;
        }
        match sync(host, since) {
            Ok(revision) => since = Some(revision),
            Err(Error::Store(Failure::Gap { .. })) => since = None,
            Err(error) => {
                log::warn!(target: "config", "The configuration could not be read from the platform: {error}.");
                stop.sleep(BACK_OFF);
            }
        }
    }
}

/// Waits for a change after version `since`, or loads the configuration if `since` is `None`.
fn sync(host: &Host, since: Option<Version>) -> Result<Version, Error> {
    let Some(since) = since else {
        // The version is read before the log, so that no edit in between is missed. All keys sort
        // before "~", so the page lists no objects and only its version is used.
        let page = host.store.list(Reason::Config, LOG_PREFIX, "~", 1)?;
        adoption::from_platform(host)?;
        adoption::mark_known(host, Source::Platform);
        return Ok(page.revision);
    };
    let events = host
        .store
        .watch(Reason::Config, LOG_PREFIX, since, WATCH_TIMEOUT)?;
    if !events.events.is_empty() {
        adoption::from_platform(host)?;
    }
    Ok(events.revision)
}

/// Returns whether this host is among the first live hosts of its failure domain.
fn is_watcher(host: &Host) -> bool {
    let Some(peer) = host.peer.get() else {
        return true;
    };
    let members = peer.members();
    let mut hosts: Vec<&Member> = members
        .iter()
        .filter(|it| it.domain == host.settings.domain && it.state == Condition::Up)
        .collect();
    hosts.sort_by(|a, b| a.holder.host.cmp(&b.holder.host));
    let first = hosts.iter().take(WATCHERS_PER_DOMAIN);
    hosts.is_empty() || first.into_iter().any(|it| it.holder.host == host.me.host)
}
