//! Acquires and releases stewardships. The member list determines which host should be steward; the
//! claim object in the platform confirms the stewardship.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use kernel::{
    name::Upstream,
    permit::Holder,
    registry::inventory,
    service::{Fencing, Instance, Role},
};
use member::{Condition, Member};
use objects::object::{Failure, Version};
use steward::{Event, Predecessor};

use crate::{
    claim::{self, Acquisition, Confirmation, Liveness, Record},
    host::Host,
    liveness,
    plugin::{Duty, Phase, Stop},
    readiness::Stage,
};

inventory::submit! {
    Duty {
        name: "claims",
        phase: Phase::Intake,
        run,
    }
}

/// How often the duty reconciles the stewardships.
const INTERVAL: Duration = Duration::from_millis(500);

/// The pause after a platform error.
const BACK_OFF: Duration = Duration::from_secs(1);

/// The delay after startup before the first claim. Until then the host discovers the other members,
/// so that it does not claim engines that it would lose immediately.
const STARTUP_GRACE: Duration = Duration::from_millis(1500);

/// How long the platform must be unavailable before an engine without a live steward is claimed
/// unconfirmed.
const UNCONFIRMED_CLAIM_DELAY: Duration = Duration::from_secs(3);

/// The state of the duty.
#[derive(Default)]
struct Claims {
    /// Previous stewards of held engines whose processes may still be running.
    predecessors: BTreeMap<Upstream, Holder>,
    /// Engines claimed while the platform was unavailable.
    unconfirmed: BTreeSet<Upstream>,
    /// The start of the current platform outage.
    outage_since: Option<Instant>,
}

fn run(host: &Arc<Host>, stop: &Stop) {
    stop.sleep(STARTUP_GRACE);
    let mut claims = Claims::default();
    while !stop.is_set() {
        if host.readiness.stage() == Stage::Starting {
            stop.sleep(INTERVAL);
            continue;
        }
        match claims.reconcile(host) {
            Ok(()) => {
                claims.outage_since = None;
                stop.sleep(INTERVAL);
            }
            Err(error) => {
                log::warn!(target: "steward", "Stewardships could not be reconciled: {error}.");
                claims.handle_outage(host);
                stop.sleep(BACK_OFF);
            }
        }
    }
    release_all(host);
}

impl Claims {
    fn reconcile(&mut self, host: &Host) -> Result<(), Failure> {
        let members = members(host);
        report_terminated_predecessors(host, &mut self.predecessors, &members);
        let to_verify = std::mem::take(
            &mut *host
                .claims_to_verify
                .lock()
                .expect("claim lock is poisoned"),
        );
        for engine in to_verify {
            self.verify(host, &engine)?;
        }
        for engine in self.unconfirmed.clone() {
            confirm(host, &engine)?;
            self.unconfirmed.remove(&engine);
        }
        for engine in unclaimed(host, &members) {
            claim_engine(host, &engine, &members, &mut self.predecessors)?;
        }
        Ok(())
    }

    /// Reads the claim object of an engine that another host may have claimed. If the object still
    /// names this host, an unconfirmed steward used a higher fencing token, and this host raises
    /// its own above that.
    fn verify(&self, host: &Host, engine: &Upstream) -> Result<(), Failure> {
        if !host.holds(engine) || self.unconfirmed.contains(engine) {
            return Ok(());
        }
        let key = claim::key(engine);
        let verified = match claim::store::read(&host.store, &key) {
            Ok(Some((version, record))) if record.holder == host.me => {
                raise_fence(host, engine, version, record)
            }
            Ok(Some((_, record))) => {
                log::info!(target: "steward", "Engine {engine} was claimed by {} with fencing token {}.", record.holder.host, record.fence);
                give_up(host, engine);
                Ok(())
            }
            Ok(None) => Ok(()),
            Err(error) => Err(error),
        };
        if verified.is_err() {
            host.verify_claim(engine.clone());
        }
        verified
    }

    /// Handles a platform outage: gives up engines with a higher known fencing token and claims
    /// engines without a live steward unconfirmed. This is safe because the names of loaded adapters
    /// contain an epoch that is unique to the steward.
    fn handle_outage(&mut self, host: &Host) {
        let now = host.clock.now();
        let since = *self.outage_since.get_or_insert(now);
        yield_to_higher_fences(host);
        if now.saturating_duration_since(since) < UNCONFIRMED_CLAIM_DELAY {
            return;
        }
        let members = members(host);
        for engine in unclaimed(host, &members) {
            if has_live_steward(host, &engine.name, &members) {
                continue;
            }
            let highest = host.directory.highest_fence(&engine.name);
            let fence = claim::unconfirmed_fence(highest, &host.me);
            self.unconfirmed.insert(engine.name.clone());
            record_acquired(host, &engine, fence, Predecessor::Unknown);
        }
    }
}

/// Returns the engines that this host should be steward of but is not.
fn unclaimed(host: &Host, members: &[Member]) -> Vec<Instance> {
    let map = member::steward::Map::new(members);
    let mut engines = host.host_list.engines();
    engines.retain(|it| {
        let owner = map.of(&it.name, &it.domain);
        owner.is_some_and(|it| it.holder == host.me) && !host.holds(&it.name)
    });
    engines
}

fn has_live_steward(host: &Host, engine: &Upstream, members: &[Member]) -> bool {
    let steward = host.directory.steward(engine);
    steward.is_some_and(|steward| {
        let mut hosts = members.iter();
        hosts.any(|it| it.holder.host == steward && it.state != Condition::Down)
    })
}

/// Gives up engines that another host claimed with a higher fencing token.
fn yield_to_higher_fences(host: &Host) {
    let held = host.held.lock().expect("held lock is poisoned").clone();
    for (engine, fence) in held {
        if host.directory.highest_fence(&engine) > fence {
            log::info!(target: "steward", "Engine {engine} was claimed with a higher fencing token than {fence}.");
            give_up(host, &engine);
        }
    }
}

/// Confirms a claim that was made while the platform was unavailable.
fn confirm(host: &Host, engine: &Upstream) -> Result<(), Failure> {
    let held = host.held.lock().expect("held lock is poisoned").clone();
    let Some(fence) = held.get(engine).copied() else {
        return Ok(());
    };
    let key = claim::key(engine);
    let found = claim::store::read(&host.store, &key)?;
    match claim::plan_confirmation(found, &host.me, fence) {
        Confirmation::Write { version, record } => {
            claim::store::write(&host.store, &key, version, &record)?;
            log::info!(target: "steward", "The claim of engine {engine} is confirmed with fencing token {fence}.");
        }
        Confirmation::Lost => give_up(host, engine),
    }
    Ok(())
}

fn members(host: &Host) -> Arc<[Member]> {
    let members = host.peer.get().map(peer::Handle::members);
    members.unwrap_or_default()
}

/// Claims a held engine again, with a fencing token above all known ones.
fn raise_fence(
    host: &Host,
    engine: &Upstream,
    version: Version,
    mut record: Record,
) -> Result<(), Failure> {
    let engines = host.host_list.engines();
    let Some(instance) = engines.into_iter().find(|it| it.name == *engine) else {
        return Ok(());
    };
    let highest = host.directory.highest_fence(engine);
    record.fence = claim::confirmed_fence(highest.max(record.fence));
    claim::store::write(&host.store, &claim::key(engine), Some(version), &record)?;
    record_acquired(host, &instance, record.fence, Predecessor::Unknown);
    Ok(())
}

fn give_up(host: &Host, engine: &Upstream) {
    host.held
        .lock()
        .expect("held lock is poisoned")
        .remove(engine);
    host.inbox.push_event(Event::Lost {
        engine: engine.clone(),
    });
}

fn claim_engine(
    host: &Host,
    engine: &Instance,
    members: &[Member],
    predecessors: &mut BTreeMap<Upstream, Holder>,
) -> Result<(), Failure> {
    let key = claim::key(&engine.name);
    let found = claim::store::read(&host.store, &key)?;
    let holder = found.as_ref().map(|it| it.1.holder.clone());
    let liveness = holder.as_ref().map_or(Liveness::Terminated, |it| {
        liveness::check(host, it, members)
    });
    let highest = host.directory.highest_fence(&engine.name);
    let (fence, predecessor) = match claim::plan_acquisition(found, &host.me, liveness, highest) {
        // This process wrote the record earlier, but the response to the write was lost.
        Acquisition::Held { fence } => (fence, Predecessor::Unknown),
        Acquisition::Write {
            version,
            record,
            predecessor,
        } => match claim::store::write(&host.store, &key, version, &record) {
            Ok(()) => (record.fence, predecessor),
            // Another host claimed the engine first. The next pass reads its record.
            Err(Failure::Conflict { .. }) => return Ok(()),
            Err(error) => return Err(error),
        },
    };
    if let (Predecessor::Unknown, Some(holder)) = (predecessor, holder) {
        predecessors.insert(engine.name.clone(), holder);
    }
    record_acquired(host, engine, fence, predecessor);
    Ok(())
}

/// Reports to the steward which previous stewards have ended.
fn report_terminated_predecessors(
    host: &Host,
    predecessors: &mut BTreeMap<Upstream, Holder>,
    members: &[Member],
) {
    predecessors.retain(|engine, holder| {
        if !host.holds(engine) {
            return false;
        }
        // The recorded holder is this process itself if the response to its write was lost.
        if *holder != host.me && liveness::check(host, holder, members) == Liveness::MayBeRunning {
            return true;
        }
        host.inbox.push_event(Event::PredecessorEnded {
            engine: engine.clone(),
        });
        false
    });
}

fn record_acquired(host: &Host, engine: &Instance, fence: u64, predecessor: Predecessor) {
    let Role::Engine(model) = &engine.role else {
        return;
    };
    let (_, document) = host.configuration();
    let fencing = document
        .model(model)
        .map_or(Fencing::Ignored, |it| it.fencing);
    log::info!(target: "steward", "Acquired engine {} with fencing token {fence}, predecessor {predecessor:?}.", engine.name);
    let mut held = host.held.lock().expect("held lock is poisoned");
    held.insert(engine.name.clone(), fence);
    host.directory.record_fence(&engine.name, fence);
    host.inbox.push_event(Event::Acquired {
        engine: engine.clone(),
        fence,
        fencing,
        predecessor,
    });
    drop(held);
    host.request_status_query(engine.name.clone());
}

/// Releases all engines during a graceful shutdown, so that the next steward can take over
/// immediately.
fn release_all(host: &Host) {
    let held = std::mem::take(&mut *host.held.lock().expect("held lock is poisoned"));
    for engine in held.into_keys() {
        host.inbox.push_event(Event::Lost {
            engine: engine.clone(),
        });
        if let Err(error) = release(host, &engine) {
            log::warn!(target: "steward", "Engine {engine} could not be released: {error}.");
        }
    }
}

fn release(host: &Host, engine: &Upstream) -> Result<(), Failure> {
    let key = claim::key(engine);
    let Some((version, mut record)) = claim::store::read(&host.store, &key)? else {
        return Ok(());
    };
    if record.holder != host.me {
        return Ok(());
    }
    record.state = claim::State::Released;
    claim::store::write(&host.store, &key, Some(version), &record)
}
