//! Writes the ends of keyed calls that could not be recorded at once, and deletes old records.

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

/// How often unrecorded ends are written.
const INTERVAL: Duration = Duration::from_secs(1);

/// Turns of the duty between two deletions of old records.
const FLUSHES_PER_CLEANUP: u32 = 60;

fn run(host: &Arc<Host>, stop: &Stop) {
    let mut flushes = 0;
    while !stop.is_set() {
        stop.sleep(INTERVAL);
        flushes += 1;
        if flushes % FLUSHES_PER_CLEANUP == 0 {
            host.journal.tidy();
        }
        // The duty ends after the last request, so this also runs for the ends of the last ones.
        if host.journal.flush() == Durability::Pending {
            log::warn!(target: "journal", "Ends of calls wait to be recorded.");
        }
    }
}
