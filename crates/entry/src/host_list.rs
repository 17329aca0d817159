//! The last host list of the platform, combined with state that the upstreams reported themselves.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex, MutexGuard, RwLock,
        atomic::{AtomicU32, Ordering},
    },
    time::Instant,
};

use kernel::{
    name::{Domain, Host, Model, Service, Upstream},
    service::{Instance, Role, State},
};
use steward::circuit::{self, Admission, Circuit};

/// A listed upstream with the state of this host's calls to it.
#[derive(Debug)]
pub struct TrackedUpstream {
    /// The upstream as listed.
    pub instance: Instance,
    /// The state of this host's calls to the upstream.
    pub calls: Arc<Calls>,
}

/// The running calls to an upstream and its circuit breaker.
#[derive(Debug)]
pub struct Calls {
    running: AtomicU32,
    circuit: Mutex<Circuit>,
}

impl Default for Calls {
    fn default() -> Self {
        Self {
            running: AtomicU32::default(),
            circuit: Mutex::new(Circuit::new(circuit::Settings::default())),
        }
    }
}

impl Calls {
    fn circuit(&self) -> MutexGuard<'_, Circuit> {
        self.circuit.lock().expect("circuit lock is poisoned")
    }
}

/// The listed upstreams and entry hosts.
#[derive(Debug, Default)]
pub struct HostList {
    upstreams: RwLock<BTreeMap<Upstream, TrackedUpstream>>,
    entry_hosts: RwLock<EntryHosts>,
}

/// The listed entry hosts.
#[derive(Debug, Default)]
struct EntryHosts {
    /// Names on the last list; `None` before the first list.
    current: Option<BTreeSet<String>>,
    /// The complete last list and the time of reading it.
    last_list: Option<(Instant, Vec<objects::hosts::Host>)>,
    /// Names on any list that this host has read.
    seen: BTreeSet<String>,
}

/// A running call to an upstream. It is counted until dropped.
#[derive(Debug)]
pub struct ActiveCall(Arc<Calls>);

impl ActiveCall {
    /// Records that the upstream answered.
    pub fn succeeded(&self) {
        self.0.circuit().record_success();
    }

    /// Records that the upstream could not be reached or broke the connection.
    pub fn failed(&self, now: Instant) {
        self.0.circuit().record_failure(rand::random(), now);
    }
}

impl Drop for ActiveCall {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}

impl HostList {
    /// Replaces the list. Returns the new and changed upstreams, and the names of the removed ones.
    pub fn replace(
        &self,
        hosts: &[objects::hosts::Host],
        read_at: Instant,
    ) -> (Vec<Instance>, Vec<Upstream>) {
        let instances = objects::hosts::collect_instances(hosts);
        self.record_entry_hosts(hosts, read_at);
        let mut upstreams = self.upstreams.write().expect("list lock is poisoned");
        let mut old = std::mem::take(&mut *upstreams);
        let mut changed = Vec::new();
        for mut instance in instances {
            let before = old.remove(&instance.name);
            if let Some(it) = &before {
                instance.state = merge_state(&it.instance, &instance);
            }
            if before.as_ref().is_none_or(|it| it.instance != instance) {
                changed.push(instance.clone());
            }
            let same = before.filter(|it| it.instance.address == instance.address);
            let calls = same.map(|it| it.calls).unwrap_or_default();
            upstreams.insert(instance.name.clone(), TrackedUpstream { instance, calls });
        }
        (changed, old.into_keys().collect())
    }

    fn record_entry_hosts(&self, hosts: &[objects::hosts::Host], read_at: Instant) {
        let entry = |it: &&objects::hosts::Host| it.role == objects::hosts::Role::Entry;
        let names = hosts.iter().filter(entry).map(|it| it.name.to_string());
        let current: BTreeSet<String> = names.collect();
        let mut entry_hosts = self.entry_hosts.write().expect("list lock is poisoned");
        entry_hosts.seen.extend(current.iter().cloned());
        entry_hosts.current = Some(current);
        entry_hosts.last_list = Some((read_at, hosts.to_vec()));
    }

    /// Returns the last list and the time of reading it.
    pub fn last_list(&self) -> Option<(Instant, Vec<objects::hosts::Host>)> {
        let entry_hosts = self.entry_hosts.read().expect("list lock is poisoned");
        entry_hosts.last_list.clone()
    }

    /// Returns the number of entry hosts on the last list, or `None` before the first list.
    pub fn entry_host_count(&self) -> Option<usize> {
        let entry_hosts = self.entry_hosts.read().expect("list lock is poisoned");
        entry_hosts.current.as_ref().map(BTreeSet::len)
    }

    /// Returns whether an entry host was listed before and is missing from the last list. A host
    /// that was never listed may be new, because the list lags behind.
    pub fn was_removed(&self, host: &Host) -> bool {
        let entry_hosts = self.entry_hosts.read().expect("list lock is poisoned");
        let current = entry_hosts.current.as_ref();
        entry_hosts.seen.contains(host.as_str())
            && current.is_some_and(|it| !it.contains(host.as_str()))
    }

    /// Marks an upstream as leaving after the called instance reported so itself, unless another
    /// instance has its name by now. The list lags behind, so it cannot make the upstream live again
    /// while the address stays the same.
    pub fn mark_leaving(&self, called: &Instance) {
        let mut upstreams = self.upstreams.write().expect("list lock is poisoned");
        let current = upstreams.get_mut(&called.name);
        if let Some(it) = current.filter(|it| it.instance.address == called.address) {
            it.instance.state = State::Leaving;
        }
    }

    /// Returns all upstreams.
    pub fn instances(&self) -> Vec<Instance> {
        let upstreams = self.upstreams.read().expect("list lock is poisoned");
        upstreams.values().map(|it| it.instance.clone()).collect()
    }

    /// Returns all engines.
    pub fn engines(&self) -> Vec<Instance> {
        let mut instances = self.instances();
        instances.retain(|it| matches!(it.role, Role::Engine(_)));
        instances
    }

    /// Returns whether a live engine with the base model is listed.
    pub fn has_engine(&self, model: &Model) -> bool {
        let upstreams = self.upstreams.read().expect("list lock is poisoned");
        upstreams.values().any(|it| {
            it.instance.state == State::Live
                && matches!(&it.instance.role, Role::Engine(of) if of == model)
        })
    }

    /// Returns whether a live instance of the plain service is listed.
    pub fn has_plain(&self, service: &Service) -> bool {
        let upstreams = self.upstreams.read().expect("list lock is poisoned");
        upstreams.values().any(|it| is_live_instance(it, service))
    }

    /// Picks the live instance of a plain service with the fewest running calls and prefers
    /// instances in `domain`. Skips the instances in `attempted` and those with an open circuit.
    pub fn pick(
        &self,
        service: &Service,
        domain: &Domain,
        attempted: &[Upstream],
        now: Instant,
    ) -> Option<(Instance, ActiveCall)> {
        let upstreams = self.upstreams.read().expect("list lock is poisoned");
        let mut candidates: Vec<&TrackedUpstream> = upstreams
            .values()
            .filter(|it| is_live_instance(it, service) && !attempted.contains(&it.instance.name))
            .collect();
        candidates.sort_by_key(|it| {
            let is_remote = it.instance.domain != *domain;
            (is_remote, it.calls.running.load(Ordering::Acquire))
        });
        let is_ejected = |it: &&TrackedUpstream| {
            matches!(it.calls.circuit().admit(now), Admission::RejectedUntil(_))
        };
        let best = candidates.into_iter().find(|it| !is_ejected(it))?;
        best.calls.running.fetch_add(1, Ordering::AcqRel);
        Some((best.instance.clone(), ActiveCall(Arc::clone(&best.calls))))
    }
}

fn merge_state(previous: &Instance, listed: &Instance) -> State {
    if previous.state == State::Leaving && previous.address == listed.address {
        return State::Leaving;
    }
    listed.state
}

fn is_live_instance(it: &TrackedUpstream, service: &Service) -> bool {
    it.instance.state == State::Live
        && matches!(&it.instance.role, Role::Plain(of) if of == service)
}
