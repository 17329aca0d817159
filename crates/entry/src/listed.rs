//! What the platform's host list said last, and what upstreams themselves have said since.

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

/// An upstream with the calls that this host runs on it.
#[derive(Debug)]
pub struct Known {
    /// The upstream, as listed.
    pub instance: Instance,
    /// What this host's calls have met there.
    pub calls: Arc<Calls>,
}

/// What this host's calls of an upstream have met.
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

/// The upstreams.
#[derive(Debug, Default)]
pub struct Listed {
    known: RwLock<BTreeMap<Upstream, Known>>,
    entries: RwLock<Entries>,
}

/// The entry hosts.
#[derive(Debug, Default)]
struct Entries {
    /// Those on the last list.
    now: Option<BTreeSet<String>>,
    /// The whole last list and when the platform gave it.
    list: Option<(Instant, Vec<objects::hosts::Host>)>,
    /// Those that were ever on a list that this host has read.
    ever: BTreeSet<String>,
}

/// One call on an upstream; it is counted until it is dropped.
#[derive(Debug)]
pub struct Running(Arc<Calls>);

impl Running {
    /// The upstream answered.
    pub fn succeeded(&self) {
        self.0.circuit().record_success();
    }

    /// The upstream could not be reached or broke off.
    pub fn failed(&self, now: Instant) {
        self.0.circuit().record_failure(rand::random(), now);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Listed {
    /// Takes over a new list. Gives the upstreams that are new or have changed, and the names of
    /// those that are gone.
    pub fn replace(
        &self,
        hosts: &[objects::hosts::Host],
        read: Instant,
    ) -> (Vec<Instance>, Vec<Upstream>) {
        let instances = objects::hosts::collect_instances(hosts);
        self.note_entries(hosts, read);
        let mut known = self.known.write().expect("list lock is poisoned");
        let mut old = std::mem::take(&mut *known);
        let mut changed = Vec::new();
        for mut instance in instances {
            let before = old.remove(&instance.name);
            if let Some(it) = &before {
                instance.state = kept(&it.instance, &instance);
            }
            if before.as_ref().is_none_or(|it| it.instance != instance) {
                changed.push(instance.clone());
            }
            let same = before.filter(|it| it.instance.address == instance.address);
            let calls = same.map(|it| it.calls).unwrap_or_default();
            known.insert(instance.name.clone(), Known { instance, calls });
        }
        (changed, old.into_keys().collect())
    }

    fn note_entries(&self, hosts: &[objects::hosts::Host], read: Instant) {
        let entry = |it: &&objects::hosts::Host| it.role == objects::hosts::Role::Entry;
        let names = hosts.iter().filter(entry).map(|it| it.name.to_string());
        let now: BTreeSet<String> = names.collect();
        let mut entries = self.entries.write().expect("list lock is poisoned");
        entries.ever.extend(now.iter().cloned());
        entries.now = Some(now);
        entries.list = Some((read, hosts.to_vec()));
    }

    /// The last list and when the platform gave it.
    pub fn last(&self) -> Option<(Instant, Vec<objects::hosts::Host>)> {
        let entries = self.entries.read().expect("list lock is poisoned");
        entries.list.clone()
    }

    /// How many entry hosts the last list had, if there was one.
    pub fn entry_count(&self) -> Option<usize> {
        let entries = self.entries.read().expect("list lock is poisoned");
        entries.now.as_ref().map(BTreeSet::len)
    }

    /// Whether an entry host was on the list and is no more. The list lags, so a host that was
    /// never on it may just be new.
    pub fn has_vanished(&self, host: &Host) -> bool {
        let entries = self.entries.read().expect("list lock is poisoned");
        let now = entries.now.as_ref();
        entries.ever.contains(host.as_str()) && now.is_some_and(|it| !it.contains(host.as_str()))
    }

    /// Notes that an upstream itself said that it is leaving. The list, which lags, can't make it
    /// live again under the same address.
    pub fn leaving(&self, name: &Upstream) -> Option<Instance> {
        let mut known = self.known.write().expect("list lock is poisoned");
        let it = known.get_mut(name)?;
        if it.instance.state == State::Leaving {
            return None;
        }
        it.instance.state = State::Leaving;
        Some(it.instance.clone())
    }

    /// Every upstream.
    pub fn instances(&self) -> Vec<Instance> {
        let known = self.known.read().expect("list lock is poisoned");
        known.values().map(|it| it.instance.clone()).collect()
    }

    /// Every engine.
    pub fn engines(&self) -> Vec<Instance> {
        let mut instances = self.instances();
        instances.retain(|it| matches!(it.role, Role::Engine(_)));
        instances
    }

    /// Whether a live engine of a base model is known.
    pub fn has_engine(&self, model: &Model) -> bool {
        let known = self.known.read().expect("list lock is poisoned");
        known.values().any(|it| {
            it.instance.state == State::Live
                && matches!(&it.instance.role, Role::Engine(of) if of == model)
        })
    }

    /// Whether a live instance of a plain service is known.
    pub fn has_plain(&self, service: &Service) -> bool {
        let known = self.known.read().expect("list lock is poisoned");
        known.values().any(|it| serves(it, service))
    }

    /// Picks the live instance of a plain service with the fewest running calls, one in `domain`
    /// before others, passing over those in `tried` and those that keep failing.
    pub fn pick(
        &self,
        service: &Service,
        domain: &Domain,
        tried: &[Upstream],
        now: Instant,
    ) -> Option<(Instance, Running)> {
        let known = self.known.read().expect("list lock is poisoned");
        let mut fit: Vec<&Known> = known
            .values()
            .filter(|it| serves(it, service) && !tried.contains(&it.instance.name))
            .collect();
        fit.sort_by_key(|it| {
            let elsewhere = it.instance.domain != *domain;
            (elsewhere, it.calls.running.load(Ordering::Acquire))
        });
        let closed =
            |it: &&Known| matches!(it.calls.circuit().admit(now), Admission::RejectedUntil(_));
        let best = fit.into_iter().find(|it| !closed(it))?;
        best.calls.running.fetch_add(1, Ordering::AcqRel);
        Some((best.instance.clone(), Running(Arc::clone(&best.calls))))
    }
}

fn kept(before: &Instance, now: &Instance) -> State {
    if before.state == State::Leaving && before.address == now.address {
        return State::Leaving;
    }
    now.state
}

fn serves(it: &Known, service: &Service) -> bool {
    it.instance.state == State::Live
        && matches!(&it.instance.role, Role::Plain(of) if of == service)
}
