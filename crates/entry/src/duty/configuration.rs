//! Keeps the configuration up to date, from the platform or from other hosts.

use std::{sync::Arc, time::Duration};

use config::revision::{Next, Number, Record, State};
use kernel::registry::inventory;
use platform::object::{Failure, Reason, Store};

use crate::{
    host::Host,
    plugin::{Duty, Phase, Stop},
    readiness::Stage,
    recent::{self, Step},
};

inventory::submit! {
    Duty {
        name: "configuration",
        phase: Phase::Service,
        run,
    }
}

/// How long one watch waits for a change.
const WATCH: Duration = Duration::from_secs(5);

/// How long the duty waits after the platform failed.
const BACK_OFF: Duration = Duration::from_millis(500);

fn run(host: &Arc<Host>, stop: &Stop) {
    while !stop.is_set() {
        todo!()
    }
}
