//! Takes and gives up stewardships: who should be steward follows from the members, the object in
//! the platform confirms it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use kernel::{
    name::Upstream,
    permit::Holder,
    registry::inventory,
    service::{Fencing, Instance, Role},
};
use member::Member;
use platform::object::Failure;
use steward::{Event, Predecessor};

use crate::{
    claim::{self, Evidence, Next},
    evidence,
    host::Host,
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

/// How often the duty looks who should be steward.
const INTERVAL: Duration = Duration::from_millis(200);

/// How long the duty waits after the platform failed.
const BACK_OFF: Duration = Duration::from_secs(1);

/// How long a host waits after its start before it takes a first engine, so that it has met the
/// other members and doesn't take what it would lose at once.
const SETTLE: Duration = Duration::from_millis(1500);

/// Stewards before this host that may still act, by engine.
type Earlier = BTreeMap<Upstream, Holder>;

fn run(host: &Arc<Host>, stop: &Stop) {
    stop.sleep(SETTLE);
    let mut earlier = Earlier::new();
    while !stop.is_set() {
        match turn(host, &mut earlier) {
            Ok(()) => stop.sleep(INTERVAL),
            Err(error) => {
                log::warn!(target: "steward", "Stewardships could not be settled: {error}.");
                stop.sleep(BACK_OFF);
            }
        }
    }
    release_all(host);
}

fn turn(host: &Host, earlier: &mut Earlier) -> Result<(), Failure> {
    if host.readiness.stage() == Stage::Starting {
        return Ok(());
    }
    let members = members(host);
    settle_earlier(host, earlier, &members);
    let doubted = std::mem::take(&mut *host.doubted.lock().expect("doubt lock is poisoned"));
    for engine in doubted {
        check(host, &engine)?;
    }
    for engine in host.listed.engines() {
        let owner = member::steward::of(&engine.name, &engine.domain, &members);
        let mine = owner.is_some_and(|it| it.holder == host.me);
        if mine && !host.holds(&engine.name) {
            take(host, &engine, &members, earlier)?;
        }
    }
    Ok(())
}

fn members(host: &Host) -> Arc<[Member]> {
    let members = host.peer.get().map(peer::Handle::members);
    members.unwrap_or_default()
}

/// Somebody else may have taken an engine; the object tells.
fn check(host: &Host, engine: &Upstream) -> Result<(), Failure> {
    if !host.holds(engine) {
        return Ok(());
    }
    match claim::store::read(&host.store, &claim::key(engine)) {
        Ok(Some((_, record))) if record.holder != host.me => {
            log::info!(target: "steward", "Engine {engine} was taken by {} under {}.", record.holder.host, record.fence);
            lose(host, engine);
            Ok(())
        }
        Ok(_) => Ok(()),
        Err(error) => {
            host.doubt(engine.clone());
            Err(error)
        }
    }
}

fn lose(host: &Host, engine: &Upstream) {
    host.held
        .lock()
        .expect("held lock is poisoned")
        .remove(engine);
    host.inbox.event(Event::Lost {
        engine: engine.clone(),
    });
}

fn take(
    host: &Host,
    engine: &Instance,
    members: &[Member],
    earlier: &mut Earlier,
) -> Result<(), Failure> {
    let key = claim::key(&engine.name);
    let found = claim::store::read(&host.store, &key)?;
    let holder = found.as_ref().map(|it| it.1.holder.clone());
    let evidence = holder
        .as_ref()
        .map_or(Evidence::Ended, |it| evidence::of(host, it, members));
    let (fence, predecessor) = match claim::next(found, &host.me, evidence) {
        // This life wrote the object and the answer was lost.
        Next::Held { fence } => (fence, Predecessor::Unknown),
        Next::Write {
            version,
            record,
            predecessor,
        } => match claim::store::write(&host.store, &key, version, &record) {
            Ok(()) => (record.fence, predecessor),
            // Another host was faster; the next turn sees what it wrote.
            Err(Failure::Conflict { .. }) => return Ok(()),
            Err(error) => return Err(error),
        },
    };
    if let (Predecessor::Unknown, Some(holder)) = (predecessor, holder) {
        earlier.insert(engine.name.clone(), holder);
    }
    took(host, engine, fence, predecessor);
    Ok(())
}

/// Tells the steward of earlier stewards that have surely ended by now.
fn settle_earlier(host: &Host, earlier: &mut Earlier, members: &[Member]) {
    earlier.retain(|engine, holder| {
        if !host.holds(engine) {
            return false;
        }
        // After a lost answer the earlier steward is this life itself.
        if *holder != host.me && evidence::of(host, holder, members) == Evidence::MayAct {
            return true;
        }
        host.inbox.event(Event::PredecessorEnded {
            engine: engine.clone(),
        });
        false
    });
}

fn took(host: &Host, engine: &Instance, fence: u64, predecessor: Predecessor) {
    let Role::Engine(model) = &engine.role else {
        return;
    };
    let (_, text) = host.text();
    let fencing = text.model(model).map_or(Fencing::Ignored, |it| it.fencing);
    log::info!(target: "steward", "Took engine {} under {fence}, predecessor {predecessor:?}.", engine.name);
    let mut held = host.held.lock().expect("held lock is poisoned");
    held.insert(engine.name.clone());
    host.inbox.event(Event::Took {
        engine: engine.clone(),
        fence,
        fencing,
        predecessor,
    });
    drop(held);
    host.inspect(engine.name.clone());
}

/// Gives everything up in a graceful shutdown, so that the next steward may adopt it at once.
fn release_all(host: &Host) {
    let held: BTreeSet<Upstream> =
        std::mem::take(&mut *host.held.lock().expect("held lock is poisoned"));
    for engine in held {
        host.inbox.event(Event::Lost {
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
