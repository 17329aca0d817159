//! Follows the configuration, the engines and the announced versions in the store.

use std::{collections::HashSet, rc::Rc, time::Duration};

use fleet::{
    engine::Engine,
    listing::{Listing, State},
    reader::Role,
    store_call::{self, Call, RecoveryBound},
    table::Removal,
};
use hyper::http::StatusCode;
use tokio::time;

use crate::{
    clock,
    dialect::{Change, Changes, Kind, Object},
    feed,
    gateway::Gateway,
    kept::Part,
    message, store,
};

/// Time for which versions gather at least.
const GATHER: Duration = Duration::from_millis(500);

/// Part of the drain time that is kept for the call, and for requests on their way to the engine.
const LEAVING: Duration = Duration::from_millis(1150);

/// Part of the drain time that is kept for requests on their way to an engine whose entry has vanished.
const ON_THE_WAY: Duration = Duration::from_millis(500);

/// The same for handing changes on, where other hosts take them from this one.
const HANDED_ON: Duration = Duration::from_millis(450);

/// First pause after a failed call; it doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause between failed calls; the store's return is noticed within it.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// Follows one kind until the process ends: from the store, or from a host that reads it for the domain.
pub async fn follow(gateway: Rc<Gateway>, kind: Kind) {
    feed::meet(&gateway).await;
    let mut pause = FIRST_PAUSE;
    let mut last = None;
    loop {
        let role = feed::role(&gateway, kind);
        if kind == Kind::Engines && last.as_ref() != Some(&role) {
            let reader = match &role {
                Role::Read => &gateway.holder,
                Role::Follow(it) => it,
            };
            log::info!(event = "reader", host = &**reader; "the engines are read by host {reader}");
        }
        match &role {
            Role::Read => read(&gateway, kind, &mut pause).await,
            Role::Follow(reader) => {
                gateway.forget_read(kind);
                feed::take(&gateway, kind, reader).await;
            }
        }
        last = Some(role);
    }
}

/// Reads what is new from the store.
async fn read(gateway: &Rc<Gateway>, kind: Kind, pause: &mut Duration) {
    let since = gateway.kept.reach(kind).as_of;
    if since == 0 {
        relist(gateway, kind, pause).await;
        return;
    }
    let blind = RecoveryBound(gateway.settings.store_blind());
    let (request, within) = match store_call::next_call(blind, !gateway.store_is_away()) {
        Call::Watch(wait, within) => {
            let wait = if gateway.is_followed() {
                wait.min(longest(gateway, kind))
            } else {
                wait
            };
            (gateway.dialect.watch(kind, since, wait), within)
        }
        Call::Probe(within) => {
            let request = gateway.dialect.probe();
            if store::send(gateway, request, within, "probe")
                .await
                .is_none()
            {
                rest(pause).await;
            }
            return;
        }
    };
    let answer = tokio::select! {
        it = store::send(gateway, request, within, "watch") => it,
        // A call from before the silence may never be answered.
        () = gateway.store_regained.notified() => return,
    };
    match answer {
        Some((StatusCode::GONE, _)) => relist(gateway, kind, pause).await,
        Some((status, body)) if status.is_success() => {
            let Some(changes) = gateway.dialect.parse_changes(&body) else {
                log::warn!(event = "store-unreadable"; "changes of {kind:?} can't be read");
                rest(pause).await;
                relist(gateway, kind, pause).await;
                return;
            };
            *pause = FIRST_PAUSE;
            changed(gateway, kind, &changes);
            gateway.has_read(kind);
            gateway.tell.notify_one();
            if !changes.events.is_empty() {
                time::sleep(gather(gateway, kind)).await;
            }
        }
        Some((status, _)) => {
            log::warn!(event = "watch-refused", status = status.as_u16(); "watch of {kind:?} refused");
            rest(pause).await;
            relist(gateway, kind, pause).await;
        }
        None => rest(pause).await,
    }
}

/// Reads a whole list.
async fn relist(gateway: &Rc<Gateway>, kind: Kind, pause: &mut Duration) {
    let Some((objects, as_of)) = store::list(gateway, kind, false).await else {
        rest(pause).await;
        return;
    };
    listed(gateway, kind, &objects, as_of, gateway.removal());
    gateway.has_read(kind);
    gateway.tell.notify_one();
}

/// Time for which changes gather before the next call, since each call is paid for.
fn gather(gateway: &Gateway, kind: Kind) -> Duration {
    match kind {
        Kind::Engines if gateway.is_followed() => longest(gateway, kind),
        Kind::Engines => gateway.settings.drain().saturating_sub(LEAVING).max(GATHER),
        Kind::Versions => GATHER,
        Kind::Config | Kind::Hosts | Kind::Claims => Duration::from_millis(50),
    }
}

/// Longest time between two answers of the store to a host that reads a kind for others. It has to show in
/// time that it still sees engines leave.
pub fn longest(gateway: &Gateway, kind: Kind) -> Duration {
    match kind {
        Kind::Engines => {
            let rest = LEAVING + HANDED_ON;
            gateway.settings.drain().saturating_sub(rest).max(GATHER)
        }
        _ => store_call::longest_watch(RecoveryBound(gateway.settings.store_blind())),
    }
}

async fn rest(pause: &mut Duration) {
    let jitter = rand::random_range(0.7..1.3);
    time::sleep(pause.mul_f64(jitter)).await;
    *pause = (*pause * 2).min(LONGEST_PAUSE);
}

/// Takes in a whole list as of a revision.
fn listed(gateway: &Rc<Gateway>, kind: Kind, objects: &[Object], as_of: u64, removal: Removal) {
    let names: HashSet<&str> = objects.iter().map(|it| it.name.as_str()).collect();
    for name in gateway.kept.names(kind) {
        if !names.contains(&*name) {
            gone(gateway, kind, &name, as_of, removal);
        }
    }
    for object in objects {
        put(gateway, kind, object);
    }
    gateway.kept.reach_to(kind, as_of);
    gateway.knows(kind, clock::now());
    if kind == Kind::Engines {
        gateway.listed.set(true);
    }
}

fn changed(gateway: &Rc<Gateway>, kind: Kind, changes: &Changes) {
    for event in &changes.events {
        match event {
            Change::Put(object) => put(gateway, kind, object),
            Change::Deleted(name) => gone(gateway, kind, name, changes.as_of, gateway.removal()),
        }
    }
    gateway.kept.reach_to(kind, changes.as_of);
    gateway.knows(kind, clock::now());
}

/// Takes in what another host handed on.
pub fn take(gateway: &Rc<Gateway>, kind: Kind, part: &Part) {
    let removal = if part.outage {
        Removal::AfterOutage
    } else {
        gateway.removal()
    };
    if part.whole {
        listed(gateway, kind, &part.objects, part.reach.as_of, removal);
        return;
    }
    for (name, at) in &part.gone {
        gone(gateway, kind, name, *at, removal);
    }
    for object in &part.objects {
        put(gateway, kind, object);
    }
    gateway.kept.reach_to(kind, part.reach.as_of);
    gateway.knows(kind, clock::now());
}

/// Takes in that an object is gone.
fn gone(gateway: &Rc<Gateway>, kind: Kind, name: &str, at: u64, removal: Removal) {
    gateway.kept.remove(kind, name, at);
    if kind == Kind::Engines {
        log::info!(event = "entry-gone", engine = name; "the entry of engine {name} is gone");
        // It vanished after the list was known before.
        let latest = gateway.known(kind) + gateway.settings.drain().saturating_sub(ON_THE_WAY);
        let mut table = gateway.table.borrow_mut();
        table.schedule_removal(name, removal, latest, clock::now());
        gateway.order.notify_one();
    }
}

/// Logs an engine that can be used from now on, or no more.
fn tell_change(gateway: &Gateway, listing: &Listing) {
    let table = gateway.table.borrow();
    let known = table.find(&listing.id).and_then(|it| table.get(it));
    let same = known.filter(|it| it.listing.incarnation == listing.incarnation);
    let used = same.is_some_and(Engine::accepts_work);
    let id = &*listing.id;
    match (used, listing.state == State::Ready) {
        (false, true) => {
            log::info!(event = "engine-ready", engine = id, born = listing.incarnation; "engine {id} is ready");
        }
        (true, false) => {
            log::info!(event = "engine-leaving", engine = id; "engine {id} takes no more work");
        }
        (true, true) | (false, false) => {}
    }
}

/// Takes in one object.
fn put(gateway: &Rc<Gateway>, kind: Kind, object: &Object) {
    gateway.kept.put(kind, object);
    let now = clock::now();
    match kind {
        Kind::Config => match gateway.dialect.parse_catalog(object) {
            Ok(catalog) => gateway.adopt(catalog),
            Err(error) => log::warn!(
                event = "config-refused", rev = object.rev;
                "config refused: {error}"
            ),
        },
        Kind::Engines => {
            let Some(listing) = gateway.dialect.parse_listing(object) else {
                log::warn!(
                    event = "entry-unreadable", engine = &*object.name;
                    "the entry of engine {} can't be read", object.name
                );
                return;
            };
            if listing.state != State::Ready {
                let life = message::life(&listing.id, listing.incarnation);
                gateway.leaving.borrow_mut().push(life);
            }
            let names: Vec<_> = listing.held.iter().map(|it| it.name.clone()).collect();
            tell_change(gateway, &listing);
            gateway.table.borrow_mut().upsert(listing, now);
            for name in &names {
                gateway.wake(name);
            }
            gateway.order.notify_one();
        }
        Kind::Versions => {
            if let Some((name, version)) = gateway.dialect.parse_announcement(object) {
                let mut table = gateway.table.borrow_mut();
                if table.announce(name.clone(), version, now) {
                    log::info!(event = "version", adapter = &*name, version; "a version is announced");
                    gateway.order.notify_one();
                }
            }
        }
        Kind::Hosts | Kind::Claims => {}
    }
}
