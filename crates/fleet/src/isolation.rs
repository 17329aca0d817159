//! Decides whether this host is cut off from all engines while other hosts reach them.
//!
//! Connections that fail look the same whether the engines are down or the path to them is. So the host probes engines
//! from which other hosts have just received data: if it reaches none of them, the path is lost. If no other host hears of
//! any engine either, the engines are down, and another host could not serve the requests.

use std::{collections::HashMap, time::Duration};

use crate::{Time, table::Key};

/// Number of engines that must have failed before engines are probed.
const MIN_SUSPECTS: usize = 2;

/// Number of engines that are probed at once.
pub const MAX_PROBES: usize = 3;

/// Time in which failures of several engines count together.
const SUSPICION_TTL: Duration = Duration::from_millis(1500);

/// Minimum time between two probes while the host is not known to be cut off.
const PROBE_INTERVAL: Duration = Duration::from_millis(700);

/// Time between two probes while it is.
const ISOLATED_PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum time since another host has heard from an engine for the engines to count as sound.
const CONTACT_TTL: Duration = Duration::from_secs(3);

/// Result of probes of several engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Probes {
    /// Number of engines that accepted a connection.
    pub reached: usize,
    /// Number of engines that didn't.
    pub failed: usize,
}

/// State of the path from this host to the engines, as far as the host knows.
#[derive(Clone, Debug, Default)]
pub struct Isolation {
    /// Engines to which a connection failed, with the time of the last failure.
    suspects: HashMap<Key, Time>,
    probed_at: Time,
    is_isolated: bool,
}

impl Isolation {
    /// Returns whether this host is cut off from all engines.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Records that a connection to an engine could not be opened, broke, or fell silent.
    pub fn record_failure(&mut self, key: Key, now: Time) {
        self.suspects.insert(key, now);
    }

    /// Returns whether connections to several engines have just failed, of which there are `engines`.
    pub fn is_suspected(&self, engines: usize, now: Time) -> bool {
        let recent = self
            .suspects
            .values()
            .filter(|at| **at + SUSPICION_TTL > now);
        engines > 0 && recent.count() >= MIN_SUSPECTS.min(engines)
    }

    /// Returns whether engines are to be probed now, of which there are `engines`.
    pub fn is_probe_due(&mut self, engines: usize, now: Time) -> bool {
        self.suspects.retain(|_, at| *at + SUSPICION_TTL > now);
        if engines == 0 {
            return false;
        }
        if self.is_isolated {
            return self.probed_at + ISOLATED_PROBE_INTERVAL <= now;
        }
        self.is_suspected(engines, now) && self.probed_at + PROBE_INTERVAL <= now
    }

    /// Records probes that began at `now`.
    pub fn record_start(&mut self, now: Time) {
        self.probed_at = now;
    }

    /// Records the result of probes. `contact` is the last time at which another host received data from an engine.
    /// Returns whether the host is cut off now, if that has changed.
    pub fn record_probes(
        &mut self,
        probes: Probes,
        contact: Option<Time>,
        now: Time,
    ) -> Option<bool> {
        let was_isolated = self.is_isolated;
        if probes.reached > 0 {
            self.is_isolated = false;
            self.suspects.clear();
        } else if probes.failed > 0 && contact.is_some_and(|it| it + CONTACT_TTL > now) {
            self.is_isolated = true;
        }
        (self.is_isolated != was_isolated).then_some(self.is_isolated)
    }
}
