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
const TURNS_TO_TIDY: u32 = 60;

fn run(host: &Arc<Host>, stop: &Stop) {
    let mut turns = 0;
    while !stop.is_set() {
        stop.sleep(INTERVAL);
        turns += 1;
        if turns % TURNS_TO_TIDY == 0 {
            host.journal.delete_expired();
        }
        // The duty ends after the last request, so this also runs for the ends of the last ones.
        if host.journal.flush() == Durability::Pending {
            log::warn!(target: "journal", "Ends of calls wait to be recorded.");
        }
    }
}
