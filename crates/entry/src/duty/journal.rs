//! Retries recording the outcomes of calls with idempotency keys, and deletes expired records.

use std::{sync::Arc, time::Duration};

use kernel::registry::inventory;
use objects::journal::Durability;

use crate::{
    host::Host,
    plugin::{Duty, Phase, Stop},
};

inventory::submit! {
    Duty {
        name: "journal",
        phase: Phase::Service,
        run,
    }
}

/// How often pending outcomes are recorded.
const INTERVAL: Duration = Duration::from_secs(1);

/// Number of flushes between two cleanups of expired records.
const FLUSHES_PER_CLEANUP: u32 = 60;

fn run(host: &Arc<Host>, stop: &Stop) {
    let mut flushes = 0;
    while !stop.is_set() {
        stop.sleep(INTERVAL);
        flushes += 1;
        if flushes % FLUSHES_PER_CLEANUP == 0 {
            host.journal.delete_expired();
        }
        // The duty stops after the last request, so this also records the outcomes of the last
        // requests.
        if host.journal.flush() == Durability::Pending {
            log::warn!(target: "journal", "Some call outcomes are not recorded yet.");
        }
    }
}
