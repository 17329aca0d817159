//! Finds out whether this host is cut off from all engines (`fleet::isolation`).

use std::{net::SocketAddr, rc::Rc, time::Duration};

use fleet::{
    Time,
    isolation::{MAX_PROBES, Probes},
    table::Key,
};
use futures::future;
use tokio::{net::TcpStream, time};

use crate::{clock, gateway::Gateway};

/// Time between two checks whether engines are to be probed.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of a probe: a connection that is closed at once.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum wait for the result of probes: the time until the next ones, and that for which they take.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(1200);

impl Gateway {
    /// Returns whether this host is cut off from all engines.
    pub fn is_isolated(&self) -> bool {
        self.isolation.borrow().is_isolated()
    }

    /// Waits until this host is cut off from all engines.
    pub async fn wait_for_isolation(&self) {
        loop {
            let changed = self.isolation_began.notified();
            if self.is_isolated() {
                return;
            }
            changed.await;
        }
    }

    /// Returns whether this host is cut off from all engines. If connections to several of them have just failed, waits
    /// for the result of probes.
    pub async fn await_isolation_verdict(&self) -> bool {
        let probed = self.engines_probed.notified();
        let now = clock::now();
        let engines = self.table.borrow().iter().count();
        let is_suspected = self.isolation.borrow().is_suspected(engines, now);
        if is_suspected && !self.is_isolated() {
            let _ = time::timeout(VERDICT_TIMEOUT, probed).await;
        }
        self.is_isolated()
    }

    /// Records that a connection to an engine could not be opened, broke, or fell silent.
    pub fn suspect_path(&self, key: Key) {
        let mut isolation = self.isolation.borrow_mut();
        isolation.record_failure(key, clock::now());
    }

    /// Records that an engine has answered this host.
    pub fn record_engine_contact(&self) {
        self.engine_contact.set(Some(clock::now()));
    }
}

/// Probes engines while their connections fail, until the process ends.
pub async fn watch(gateway: Rc<Gateway>) {
    loop {
        time::sleep(CHECK_INTERVAL).await;
        let now = clock::now();
        let engines = gateway.table.borrow().iter().count();
        if !gateway.isolation.borrow_mut().is_probe_due(engines, now) {
            continue;
        }
        gateway.isolation.borrow_mut().record_start(now);
        let probes = probe(&gateway).await;
        let now = clock::now();
        let contact = gateway.peers.borrow().engine_contact(now);
        let mut isolation = gateway.isolation.borrow_mut();
        let change = isolation.record_probes(probes, contact, now);
        drop(isolation);
        gateway.engines_probed.notify_waiters();
        let Some(is_isolated) = change else { continue };
        let Probes { failed, reached } = probes;
        let contact_ms = contact.map(|it| now.saturating_sub(it).as_millis());
        let contact_ms = contact_ms.and_then(|it| u64::try_from(it).ok());
        gateway.metrics.record_isolated(is_isolated);
        if is_isolated {
            log::warn!(event = "isolated", failed, contact_ms; "this host reaches no engine, while others do: requests are passed on to other hosts");
            gateway.isolation_began.notify_waiters();
        } else {
            log::info!(event = "connected", reached, contact_ms; "this host reaches engines again");
            for (_, engine) in gateway.table.borrow_mut().iter_mut() {
                engine.circuit.mark_reachable();
            }
        }
    }
}

/// Opens connections to the engines from which any host has received data last.
async fn probe(gateway: &Gateway) -> Probes {
    let mut engines: Vec<(Time, u32, SocketAddr)> = (gateway.table.borrow().iter())
        .filter(|it| it.1.accepts_work())
        .map(|(_, it)| (it.last_success_at, rand::random(), it.listing.addr))
        .collect();
    engines.sort_unstable_by(|a, b| b.cmp(a));
    engines.truncate(MAX_PROBES);
    let connect = |addr| time::timeout(PROBE_TIMEOUT, TcpStream::connect(addr));
    let results = future::join_all(engines.iter().map(|it| connect(it.2))).await;
    let reached = results.iter().filter(|it| matches!(it, Ok(Ok(_)))).count();
    Probes {
        reached,
        failed: results.len() - reached,
    }
}
