//! Writes the ends of keyed calls that could not be recorded at once.

use std::{sync::Arc, time::Duration};

use kernel::registry::inventory;
use platform::journal::End;

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

fn run(host: &Arc<Host>, stop: &Stop) {
    while !stop.is_set() {
        stop.sleep(INTERVAL);
        // The duty ends after the last request, so this also runs for the ends of the last ones.
        if host.journal.flush() == End::Pending {
            log::warn!(target: "journal", "Ends of calls wait to be recorded.");
        }
    }
}
