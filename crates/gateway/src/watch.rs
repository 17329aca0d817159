//! Follows the configuration, the engines and the announced versions in the store.

mod deferred;

use std::{collections::HashSet, rc::Rc, time::Duration};

use fleet::{
    Time,
    engine::Engine,
    era::{Era, Position},
    listing::{Listing, State},
    reader::Role,
    store_call::{self, Call, RecoveryBound},
    table::Removal,
};
use hyper::http::StatusCode;
use tokio::time;

pub use self::deferred::{DeferredEntries, apply_due};
use crate::{
    clock,
    dialect::{Change, Changes, Kind, Object},
    gateway::Gateway,
    list_cache::Delta,
    list_sync, message, store,
};

/// Minimum time for which changes of engines or versions are batched.
const MIN_BATCH_TIME: Duration = Duration::from_millis(500);

/// Part of the drain time reserved for the store call, and for requests on their way to the engine.
const DRAIN_RESERVE: Duration = Duration::from_millis(1150);

/// Part of the drain time reserved for requests on their way to an engine whose entry has vanished.
const VANISHED_RESERVE: Duration = Duration::from_millis(500);

/// Part of the drain time reserved for passing changes on, if other hosts take them from this host.
const HANDOVER_RESERVE: Duration = Duration::from_millis(450);

/// Time between two checks whether a probe of the store is due.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Delay after the first failed call. It doubles with each failure up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(150);

/// Maximum delay after a failed call. The store's recovery is noticed within this time.
const MAX_BACKOFF: Duration = Duration::from_millis(600);

/// Follows one kind until the process ends, from the store or from a host that reads it for the
/// domain.
pub async fn follow(gateway: Rc<Gateway>, kind: Kind) {
    list_sync::wait_for_peers(&gateway).await;
    let mut backoff = MIN_BACKOFF;
    let mut last_role = None;
    loop {
        let store_may_lag = gateway.is_store_doubtful() || !gateway.is_era_settled();
        if kind == Kind::Config && store_may_lag {
            list_sync::adopt_newer_config(&gateway).await;
        }
        let role = list_sync::current_role(&gateway, kind);
        if kind == Kind::Engines && last_role.as_ref() != Some(&role) {
            let reader = match &role {
                Role::Read => &gateway.holder,
                Role::Follow(it) => it,
            };
            log::info!(event = "reader", host = &**reader; "host {reader} reads the list of engines");
        }
        match &role {
            Role::Read => read_changes(&gateway, kind, &mut backoff).await,
            Role::Follow(reader) => {
                gateway.clear_read(kind);
                list_sync::sync_from_reader(&gateway, kind, reader).await;
            }
        }
        last_role = Some(role);
    }
}

/// Reads the changes of a list from the store.
async fn read_changes(gateway: &Rc<Gateway>, kind: Kind, backoff: &mut Duration) {
    let since = gateway.list_cache.watermark(kind).as_of();
    if since.rev == 0 || since.era != gateway.store_era() {
        relist(gateway, kind, backoff).await;
        return;
    }
    let recovery_bound = RecoveryBound(gateway.settings.store_blind_time());
    let (request, timeout) =
        match store_call::next_call(recovery_bound, !gateway.is_store_doubtful()) {
            Call::Watch(wait, timeout) => {
                let wait = if gateway.has_followers() {
                    wait.min(max_read_interval(gateway, kind))
                } else {
                    wait
                };
                (gateway.dialect.watch(kind, since.rev, wait), timeout)
            }
            Call::Probe(timeout) => {
                if !gateway.take_probe(list_sync::probe_interval(gateway)) {
                    let recovered = gateway.store_recovered.notified();
                    let _ = time::timeout(PROBE_CHECK_INTERVAL, recovered).await;
                    return;
                }
                if store::probe(gateway, timeout).await.is_none() {
                    back_off(backoff).await;
                }
                return;
            }
        };
    let response = tokio::select! {
        it = store::send(gateway, request, timeout, "watch") => it,
        // A call that was sent before the outage may never be answered.
        () = gateway.store_recovered.notified() => return,
    };
    match response {
        // The revision that the watch began from may have been assigned again in the new era.
        Some(it) if it.status == StatusCode::GONE || it.era != since.era => {
            relist(gateway, kind, backoff).await;
        }
        Some(it) if it.status.is_success() => {
            let Some(changes) = gateway.dialect.parse_changes(&it.body) else {
                log::warn!(event = "store-unreadable"; "cannot parse changes of {kind:?}");
                back_off(backoff).await;
                relist(gateway, kind, backoff).await;
                return;
            };
            *backoff = MIN_BACKOFF;
            apply_changes(gateway, kind, &changes);
            gateway.mark_read(kind);
            gateway.lists_read.notify_one();
            if !changes.events.is_empty() {
                time::sleep(batch_time(gateway, kind)).await;
            }
        }
        Some(it) => {
            log::warn!(event = "watch-refused", status = it.status.as_u16(); "the store refused to watch {kind:?}");
            back_off(backoff).await;
            relist(gateway, kind, backoff).await;
        }
        None => back_off(backoff).await,
    }
}

/// Reads a whole list from the store.
async fn relist(gateway: &Rc<Gateway>, kind: Kind, backoff: &mut Duration) {
    let Some((objects, as_of)) = store::list(gateway, kind, false).await else {
        back_off(backoff).await;
        return;
    };
    if is_outdated(gateway, kind, as_of) {
        back_off(backoff).await;
        return;
    }
    apply_list(gateway, kind, &objects, as_of, gateway.removal_kind());
    gateway.mark_read(kind);
    gateway.lists_read.notify_one();
}

/// Returns whether a list is older than the one that this host has. It may have taken a newer one from another host
/// while the store's response was outstanding. The list of a kind that the store doesn't have is at revision 0.
fn is_outdated(gateway: &Gateway, kind: Kind, as_of: Position) -> bool {
    let known = gateway.list_cache.watermark(kind).as_of();
    as_of < known && (as_of.rev > 0 || as_of.era < known.era)
}

/// Time for which changes are batched before the next call, because each call is billed.
fn batch_time(gateway: &Gateway, kind: Kind) -> Duration {
    match kind {
        Kind::Engines if gateway.has_followers() => max_read_interval(gateway, kind),
        Kind::Engines => gateway
            .settings
            .drain_time()
            .saturating_sub(DRAIN_RESERVE)
            .max(MIN_BATCH_TIME),
        Kind::Versions => MIN_BATCH_TIME,
        Kind::Config | Kind::Hosts | Kind::Claims | Kind::Assignments => Duration::from_millis(50),
    }
}

/// Maximum time between two reads of the store by a host that reads a kind for others. The
/// followers must see in time whether the reader still learns of draining engines.
pub fn max_read_interval(gateway: &Gateway, kind: Kind) -> Duration {
    match kind {
        Kind::Engines => {
            let reserve = DRAIN_RESERVE + HANDOVER_RESERVE;
            gateway
                .settings
                .drain_time()
                .saturating_sub(reserve)
                .max(MIN_BATCH_TIME)
        }
        _ => store_call::longest_watch(RecoveryBound(gateway.settings.store_blind_time())),
    }
}

/// Sleeps for the current delay with jitter, then doubles the delay.
async fn back_off(backoff: &mut Duration) {
    let jitter = rand::random_range(0.7..1.3);
    time::sleep(backoff.mul_f64(jitter)).await;
    *backoff = (*backoff * 2).min(MAX_BACKOFF);
}

/// Applies a whole list as of a position.
fn apply_list(
    gateway: &Rc<Gateway>,
    kind: Kind,
    objects: &[Object],
    as_of: Position,
    removal: Removal,
) {
    let Position { era, rev: as_of } = as_of;
    let known_era = gateway.list_cache.watermark(kind).as_of().era;
    let is_older_copy = known_era < era;
    if is_older_copy {
        gateway.list_cache.begin_era(kind, era);
        if kind == Kind::Engines {
            gateway.deferred_entries.begin_era(as_of);
        }
    }
    let names: HashSet<&str> = objects.iter().map(|it| it.name.as_str()).collect();
    let mut removed = 0;
    for name in gateway.list_cache.names(kind) {
        if !names.contains(&*name) {
            remove_object(gateway, kind, &name, as_of, removal);
            removed += 1;
        }
    }
    if is_older_copy && known_era > Era(0) {
        let list = kind.name();
        log::warn!(event = "list-rolled-back", list, era = era.0, removed; "read the list {list} again in era {} of the store: {removed} objects are missing", era.0);
    }
    for object in objects {
        if kind == Kind::Engines && deferred::defer(gateway, object) {
            gateway.list_cache.put(kind, object);
        } else {
            apply_object(gateway, kind, object);
        }
    }
    gateway.list_cache.advance(kind, as_of);
    gateway.mark_complete(kind, clock::now());
    if kind == Kind::Engines {
        gateway.engines_listed.set(true);
    }
}

/// Adopts the configuration among these objects if it is newer than the current one.
pub fn adopt_configs(gateway: &Rc<Gateway>, objects: &[Object]) {
    // The revision of the object may be from another era than this host's list.
    let rev = gateway.list_cache.watermark(Kind::Config).last;
    for object in objects {
        let object = Object {
            rev,
            ..object.clone()
        };
        apply_config(gateway, &object);
    }
}

/// Applies the changes of a watch.
fn apply_changes(gateway: &Rc<Gateway>, kind: Kind, changes: &Changes) {
    for event in &changes.events {
        match event {
            Change::Put(object) => apply_object(gateway, kind, object),
            Change::Deleted(name) => {
                remove_object(gateway, kind, name, changes.as_of, gateway.removal_kind());
            }
        }
    }
    gateway.list_cache.advance(kind, changes.as_of);
    gateway.mark_complete(kind, clock::now());
}

/// Applies the changes received from another host.
pub fn apply_delta(gateway: &Rc<Gateway>, kind: Kind, delta: &Delta) {
    if is_outdated(gateway, kind, delta.watermark.as_of()) {
        return;
    }
    let removal = received_removal(gateway, delta);
    if delta.full {
        apply_list(
            gateway,
            kind,
            &delta.objects,
            delta.watermark.as_of(),
            removal,
        );
        gateway.list_cache.catch_up(kind, delta.watermark);
        return;
    }
    for (name, at) in &delta.removed {
        remove_object(gateway, kind, name, *at, removal);
    }
    for object in &delta.objects {
        apply_object(gateway, kind, object);
    }
    gateway.list_cache.catch_up(kind, delta.watermark);
    gateway.mark_complete(kind, clock::now());
}

/// Determines how to treat an engine whose entry vanishes by the list of another host.
fn received_removal(gateway: &Gateway, delta: &Delta) -> Removal {
    let own = gateway.removal_kind();
    let now = clock::now();
    match (own, delta.returned_ms) {
        (_, Some(age)) if delta.outage => Removal::AfterOutage {
            returned_at: now.saturating_sub(Duration::from_millis(age)),
        },
        // An earlier build of this program doesn't state when the store returned.
        (Removal::StoreAvailable, _) if delta.outage => Removal::AfterOutage { returned_at: now },
        _ => own,
    }
}

/// Returns the time until which an engine may be used whose entry has vanished after the list was last known to be
/// complete.
fn latest_use(gateway: &Gateway, removal: Removal) -> Time {
    let complete_at = gateway.complete_at(Kind::Engines);
    if let Removal::AfterOutage { returned_at } = removal
        && complete_at < returned_at
    {
        // The entry may have lapsed in the outage. It has a time of its own.
        return Time::MAX;
    }
    let drain_time = gateway.settings.drain_time();
    complete_at + drain_time.saturating_sub(VANISHED_RESERVE)
}

/// Applies the removal of an object.
fn remove_object(gateway: &Rc<Gateway>, kind: Kind, name: &str, at: u64, removal: Removal) {
    if kind == Kind::Config {
        // An adopted configuration stays in force, and other hosts may have to take it from here.
        return;
    }
    gateway.list_cache.remove(kind, name, at);
    if kind == Kind::Engines {
        gateway.deferred_entries.remove(name);
        log::info!(event = "entry-gone", engine = name; "the entry of engine {name} was removed");
        let latest = latest_use(gateway, removal);
        let mut table = gateway.table.borrow_mut();
        table.schedule_removal(name, removal, latest, clock::now());
        gateway.orders_wakeup.notify_one();
    }
}

/// Logs that an engine has become usable or unusable.
fn log_state_change(gateway: &Gateway, listing: &Listing) {
    let table = gateway.table.borrow();
    let known = table.find(&listing.id).and_then(|it| table.get(it));
    let same_incarnation = known.filter(|it| it.listing.incarnation == listing.incarnation);
    let usable = same_incarnation.is_some_and(Engine::accepts_work);
    let id = &*listing.id;
    match (usable, listing.state == State::Ready) {
        (false, true) => {
            log::info!(event = "engine-ready", engine = id, born = listing.incarnation; "engine {id} is ready");
        }
        (true, false) => {
            log::info!(event = "engine-leaving", engine = id; "engine {id} accepts no more work");
        }
        (true, true) | (false, false) => {}
    }
}

/// Applies a new or changed configuration. While the store has an older one than was adopted, this host keeps
/// and passes on the newer one.
fn apply_config(gateway: &Rc<Gateway>, object: &Object) {
    let adopted = gateway.catalog().map_or(0, |it| it.revision);
    match gateway.dialect.parse_catalog(object) {
        Ok(catalog) if catalog.revision >= adopted => {
            gateway.list_cache.put(Kind::Config, object);
            gateway.adopt_catalog(catalog);
        }
        Ok(catalog) => {
            log::debug!(
                "keeping configuration revision {adopted}: revision {} is older",
                catalog.revision
            );
            let kept = gateway.list_cache.get(Kind::Config, &object.name);
            let kept = kept.map_or_else(
                || object.clone(),
                |it| Object {
                    rev: object.rev,
                    ..it
                },
            );
            gateway.list_cache.put(Kind::Config, &kept);
        }
        Err(error) => {
            gateway.list_cache.put(Kind::Config, object);
            log::warn!(
                event = "config-refused", rev = object.rev;
                "configuration refused: {error}"
            );
        }
    }
}

/// Applies a new or changed object.
fn apply_object(gateway: &Rc<Gateway>, kind: Kind, object: &Object) {
    if kind == Kind::Config {
        apply_config(gateway, object);
        return;
    }
    gateway.list_cache.put(kind, object);
    let now = clock::now();
    match kind {
        Kind::Engines => {
            gateway.deferred_entries.remove(&object.name);
            let listing = gateway.dialect.parse_listing(object);
            let listing = listing.filter(|it| !gateway.table.borrow().lacks_start(it));
            let Some(listing) = listing else {
                log::warn!(
                    event = "entry-unreadable", engine = &*object.name;
                    "the entry of engine {} can't be parsed, or lacks the start that earlier ones stated", object.name
                );
                // An entry that does not say what the engine is names no engine to use, whatever it said before.
                let mut table = gateway.table.borrow_mut();
                table.schedule_removal(&object.name, Removal::StoreAvailable, now, now);
                gateway.orders_wakeup.notify_one();
                return;
            };
            if listing.state != State::Ready {
                let incarnation = message::make_incarnation(&listing.id, listing.incarnation);
                gateway.leaving_engines.borrow_mut().push(incarnation);
            }
            let names: Vec<_> = listing.held.iter().map(|it| it.name.clone()).collect();
            log_state_change(gateway, &listing);
            gateway.table.borrow_mut().upsert(listing, now);
            for name in &names {
                gateway.wake_waiters(name);
            }
            gateway.orders_wakeup.notify_one();
        }
        Kind::Versions => {
            if let Some((name, version)) = gateway.dialect.parse_announcement(object) {
                let mut table = gateway.table.borrow_mut();
                if table.announce(name.clone(), version, now) {
                    log::info!(event = "version", adapter = &*name, version; "a new version was announced");
                    gateway.orders_wakeup.notify_one();
                }
            }
        }
        Kind::Config | Kind::Hosts | Kind::Claims | Kind::Assignments => {}
    }
}
