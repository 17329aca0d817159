//! Follows the configuration, the engines and the announced versions in the store.

use std::{collections::HashSet, rc::Rc, time::Duration};

use fleet::{
    listing::State,
    outage::{self, Blind, Call},
};
use hyper::http::StatusCode;
use tokio::time;

use crate::{
    clock,
    dialect::{Change, Changes, Kind, Object},
    gateway::Gateway,
    gossip, store,
};

/// Time for which versions gather at least.
const GATHER: Duration = Duration::from_millis(500);

/// Part of the drain time that is kept for the call, and for requests on their way to the engine.
const LEAVING: Duration = Duration::from_millis(1150);

/// First pause after a failed call; it doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause between failed calls; the store's return is noticed within it.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// Follows one kind until the process ends.
pub async fn follow(gateway: Rc<Gateway>, kind: Kind) {
    let mut pause = FIRST_PAUSE;
    let blind = Blind(gateway.settings.store_blind());
    loop {
        let Some((objects, mut rev)) = store::list(&gateway, kind, false).await else {
            rest(&mut pause).await;
            continue;
        };
        listed(&gateway, kind, &objects);
        loop {
            let (request, within) = match outage::next(blind, !gateway.store_is_away()) {
                Call::Watch(wait, within) => (gateway.dialect.watch(kind, rev, wait), within),
                Call::Probe(within) => {
                    let request = gateway.dialect.probe();
                    if store::send(&gateway, request, within).await.is_none() {
                        rest(&mut pause).await;
                    }
                    continue;
                }
            };
            let answer = tokio::select! {
                it = store::send(&gateway, request, within) => it,
                // A call from before the silence may never be answered.
                () = gateway.store_regained.notified() => continue,
            };
            match answer {
                Some((StatusCode::GONE, _)) => break,
                Some((status, body)) if status.is_success() => {
                    let Some(Changes { events, as_of }) = gateway.dialect.changes(&body) else {
                        log::warn!(event = "store-unreadable"; "changes of {kind:?} can't be read");
                        rest(&mut pause).await;
                        break;
                    };
                    rev = rev.max(as_of);
                    pause = FIRST_PAUSE;
                    if events.is_empty() {
                        continue;
                    }
                    changed(&gateway, kind, &events);
                    time::sleep(gather(&gateway, kind)).await;
                }
                Some((status, _)) => {
                    log::warn!(event = "watch-refused", status = status.as_u16(); "watch of {kind:?} refused");
                    rest(&mut pause).await;
                    break;
                }
                None => rest(&mut pause).await,
            }
        }
    }
}

/// Time for which changes gather before the next call, since each call is paid for.
fn gather(gateway: &Rc<Gateway>, kind: Kind) -> Duration {
    match kind {
        Kind::Engines => gateway.settings.drain().saturating_sub(LEAVING).max(GATHER),
        Kind::Versions => GATHER,
        Kind::Config | Kind::Hosts | Kind::Claims => Duration::from_millis(50),
    }
}

async fn rest(pause: &mut Duration) {
    let jitter = rand::random_range(0.7..1.3);
    time::sleep(pause.mul_f64(jitter)).await;
    *pause = (*pause * 2).min(LONGEST_PAUSE);
}

/// Takes in a whole list.
pub fn listed(gateway: &Rc<Gateway>, kind: Kind, objects: &[Object]) {
    for object in objects {
        put(gateway, kind, object);
    }
    if kind == Kind::Engines {
        let now = clock::now();
        let names: HashSet<&str> = objects.iter().map(|it| it.name.as_str()).collect();
        let removal = gateway.removal();
        let mut table = gateway.table.borrow_mut();
        for id in table.ids() {
            if !names.contains(&*id) {
                gateway.kept.remove(kind, &id);
                table.remove(&id, removal, now);
            }
        }
        gateway.listed.set(true);
    }
}

fn changed(gateway: &Rc<Gateway>, kind: Kind, events: &[Change]) {
    for event in events {
        if let Change::Gone(name) = event {
            gateway.kept.remove(kind, name);
        }
        match event {
            Change::Put(object) => put(gateway, kind, object),
            Change::Gone(name) if kind == Kind::Engines => {
                log::info!(event = "entry-gone", engine = &**name; "the entry of engine {name} is gone");
                let removal = gateway.removal();
                let mut table = gateway.table.borrow_mut();
                table.remove(name, removal, clock::now());
                gateway.order.notify_one();
            }
            Change::Gone(_) => {}
        }
    }
}

/// Takes in one object.
pub fn put(gateway: &Rc<Gateway>, kind: Kind, object: &Object) {
    gateway.kept.put(kind, object);
    let now = clock::now();
    match kind {
        Kind::Config => match gateway.dialect.catalog(object) {
            Ok(catalog) => gateway.adopt(catalog),
            Err(error) => log::warn!(
                event = "config-refused", rev = object.rev;
                "config refused: {error}"
            ),
        },
        Kind::Engines => {
            let Some(listing) = gateway.dialect.listing(object) else {
                log::warn!(
                    event = "entry-unreadable", engine = &*object.name;
                    "the entry of engine {} can't be read", object.name
                );
                return;
            };
            if listing.state != State::Ready {
                let life = gossip::life(&listing.id, listing.born);
                gateway.leaving.borrow_mut().push(life);
            }
            let names: Vec<_> = listing.holds.iter().map(|it| it.name.clone()).collect();
            gateway.table.borrow_mut().adopt(listing, now);
            for name in &names {
                gateway.wake(name);
            }
            gateway.order.notify_one();
        }
        Kind::Versions => {
            if let Some((name, version)) = gateway.dialect.announced(object) {
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
