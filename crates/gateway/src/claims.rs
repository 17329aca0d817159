//! Maintains this host's lease and its claims on engines in the store, by the rules of
//! `fleet::lease`.

use std::{collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use fleet::{
    Time,
    era::{self, Era, Position},
    lease::{Claim, Lease, LeaseWatch, Observation, RENEWAL_INTERVAL},
    rendezvous,
    store_call::{Attempt, Schedule},
};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time;

use crate::{
    clock,
    dialect::{Kind, Object},
    gateway::Gateway,
    store::{self, WriteResult},
};

/// Time between two checks for engines to claim.
const CLAIM_INTERVAL: Duration = Duration::from_millis(300);

/// Time after the start before unclaimed engines are claimed. Hosts that start together must learn
/// of each other first.
const STABILIZATION_PERIOD: Duration = Duration::from_millis(1500);

/// Time between two reads of the lease of a silent host.
const SUSPECT_READ_INTERVAL: Duration = Duration::from_secs(3);

/// Maximum delay before each claim that is written again after the store has lost changes. All hosts write
/// theirs at the same time, and the rate of writes is limited.
const MAX_RESTORE_DELAY: Duration = Duration::from_millis(60);

/// Time between two reads of the list of hosts.
const HOSTS_READ_INTERVAL: Duration = Duration::from_secs(8);

/// Lease of this host, its claims, and the claims of other hosts as stored.
#[derive(Default)]
pub struct Claims {
    lease: Lease,
    /// Era of the store in which the positions below were read.
    era: Era,
    /// Position of the lease object in the store, if it exists.
    lease_position: Option<Position>,
    /// Claims of this host, by engine.
    held: HashMap<Arc<str>, Claim>,
    /// Claims of all hosts as last seen in the store, by engine.
    stored: HashMap<Arc<str>, StoredClaim>,
    /// Writes of claims without a response, by engine. Each may have been applied, or may still be.
    unconfirmed: HashMap<Arc<str>, UnconfirmedWrite>,
    /// Observed leases of silent hosts, by holder, with the time of the last read.
    suspects: HashMap<String, (LeaseWatch, Time)>,
}

/// Lease of a host in the store.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct LeaseSpec {
    /// Address for other hosts.
    pub peers: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Incarnation of the host.
    pub life: u64,
    /// Time of the renewal in ms on the host's clock.
    pub renewed: u64,
    /// True if the host begins streams at the builds assigned to them; false in leases of builds that don't know it.
    pub assigns_streams: bool,
}

/// Claim as last seen in the store.
#[derive(Clone)]
struct StoredClaim {
    holder: String,
    position: Position,
    /// Era of the store as known to the holder when it wrote the claim.
    written_in: Era,
}

/// Write of a claim without a response.
#[derive(Clone, Copy)]
struct UnconfirmedWrite {
    /// Era of the store as known when it was sent.
    era: Era,
    /// Position on which it was conditional; `None` if it creates the claim.
    position: Option<Position>,
    /// Earliest time of this host's orders to the engine.
    valid_from: Time,
}

impl Claims {
    /// Ids of the engines to which this host may send orders.
    pub fn orderable(&self, now: Time) -> impl Iterator<Item = &Arc<str>> {
        let lease = self.lease;
        let is_orderable = move |it: &(&Arc<str>, &Claim)| it.1.is_valid(lease, now);
        self.held.iter().filter(is_orderable).map(|it| it.0)
    }

    /// Ids of the engines that this host has claimed.
    pub fn claimed(&self) -> impl Iterator<Item = &Arc<str>> {
        self.held.keys()
    }

    /// Fencing token for an engine, if this host may send it orders now.
    pub fn fence(&self, id: &str, now: Time) -> Option<u64> {
        let claim = self.held.get(id)?;
        claim.is_valid(self.lease, now).then_some(claim.fence)
    }

    /// Starts anew in a later era of the store, which may have lost the lease and the claims of this host.
    fn begin_era(&mut self, era: Era) {
        self.era = era;
        self.lease_position = None;
        self.stored.clear();
        self.suspects.clear();
        for claim in self.held.values_mut() {
            claim.mark_lost(self.lease);
        }
    }
}

/// Maintains the lease and the claims until the host stops.
pub async fn maintain(gateway: Rc<Gateway>) {
    let started = clock::now();
    let mut renewal = Schedule::default();
    let mut listing = Schedule::default();
    let mut is_renewed = false;
    let mut is_listed = false;
    let mut claims_read = false;
    let mut was_unavailable = false;
    while !gateway.stopping.get() {
        let now = clock::now();
        let era = gateway.store_era();
        if gateway.claims.borrow().era != era {
            gateway.claims.borrow_mut().begin_era(era);
            renewal.reset();
            is_renewed = false;
            claims_read = false;
        }
        if std::mem::replace(&mut was_unavailable, gateway.is_store_unavailable())
            && !was_unavailable
        {
            renewal.reset();
            listing.reset();
        }
        if renewal.is_due(now) {
            let attempt = renew(&gateway).await;
            is_renewed = attempt == Attempt::Done;
            renewal.record(attempt, RENEWAL_INTERVAL, rand::random(), now);
        }
        // Hosts that start together write their addresses within this period.
        let starting = now < started + STABILIZATION_PERIOD;
        let interval = if starting {
            CLAIM_INTERVAL
        } else {
            HOSTS_READ_INTERVAL
        };
        if listing.is_due(now) {
            let attempt = read_hosts(&gateway, !starting).await;
            is_listed |= attempt == Attempt::Done;
            listing.record(attempt, interval, rand::random(), now);
        }
        if !claims_read && is_renewed {
            claims_read = read_claims(&gateway).await;
        }
        if claims_read && is_renewed && !gateway.stopping.get() {
            restore_claims(&gateway).await;
            let stabilized = clock::now() > started + STABILIZATION_PERIOD && is_listed;
            claim_all(&gateway, stabilized).await;
        }
        let _ = time::timeout(CLAIM_INTERVAL, gateway.claims_wakeup.notified()).await;
    }
}

/// Releases the lease and the claims, so that other hosts need not wait for the lease to expire.
pub async fn release(gateway: &Rc<Gateway>) {
    let mut position = {
        let mut claims = gateway.claims.borrow_mut();
        claims.lease.release();
        claims.held.clear();
        claims.lease_position.take()
    };
    while let Some(it) = position {
        position = match store::delete(gateway, Kind::Hosts, &gateway.holder, it).await {
            // A renewal that was in progress was applied first.
            WriteResult::Conflict(_, position) => Some(position),
            _ => None,
        };
    }
}

/// Renews the lease of this host, or creates it.
async fn renew(gateway: &Rc<Gateway>) -> Attempt {
    let sent = clock::now();
    let spec = LeaseSpec {
        peers: gateway.settings.peers.to_string(),
        domain: gateway.settings.domain.clone(),
        life: gateway.incarnation,
        renewed: u64::try_from(sent.as_millis()).unwrap_or(0),
        assigns_streams: true,
    };
    let spec = serde_json::to_value(spec).unwrap_or_default();
    let position = gateway.claims.borrow().lease_position;
    let result = store::put(gateway, Kind::Hosts, &gateway.holder, &spec, position).await;
    let mut claims = gateway.claims.borrow_mut();
    match result {
        WriteResult::Written(_, position) if position.era != claims.era => {
            // The store began a new era during the call. The next round starts anew in it.
            Attempt::Changed
        }
        WriteResult::Written(_, position) => {
            // Another host may have claimed the engines after the lease expired.
            if !claims.lease.is_valid(sent) && !claims.held.is_empty() {
                log::warn!(event = "lease-lapsed"; "the lease expired before its renewal: claiming engines again");
                claims.held.clear();
            }
            claims.lease_position = Some(position);
            claims.lease.renew(sent);
            Attempt::Done
        }
        WriteResult::Conflict(_, position) => {
            claims.lease_position = Some(position);
            Attempt::Changed
        }
        WriteResult::NotFound => {
            log::warn!(event = "lease-ended"; "another host deleted the lease");
            claims.lease_position = None;
            claims.lease.release();
            claims.held.clear();
            Attempt::Changed
        }
        WriteResult::Refused | WriteResult::Unknown => Attempt::Failed,
    }
}

/// Reads the addresses and domains of all hosts. A `stale` read is cheaper, but may be seconds old.
async fn read_hosts(gateway: &Rc<Gateway>, stale: bool) -> Attempt {
    let Some((objects, _)) = store::list(gateway, Kind::Hosts, stale).await else {
        return Attempt::Failed;
    };
    let mut peers = gateway.peers.borrow_mut();
    for object in &objects {
        let Ok(lease) = LeaseSpec::deserialize(&object.spec) else {
            continue;
        };
        if let Ok(addr) = lease.peers.parse() {
            peers.add_listed(&object.name, addr, &lease, clock::now());
        }
    }
    gateway.hosts_listed.notify_waiters();
    Attempt::Done
}

/// Reads the claims of all hosts.
async fn read_claims(gateway: &Rc<Gateway>) -> bool {
    let Some((objects, as_of)) = store::list(gateway, Kind::Claims, false).await else {
        return false;
    };
    if as_of.era != gateway.claims.borrow().era {
        return false;
    }
    for object in &objects {
        let position = Position {
            era: as_of.era,
            rev: object.rev,
        };
        record_claim(gateway, object, position);
    }
    true
}

/// Records a claim as stored.
fn record_claim(gateway: &Rc<Gateway>, object: &Object, position: Position) {
    let holder = object.spec.get("holder").and_then(|it| it.as_str());
    let Some(holder) = holder else { return };
    let era = object.spec.get("era").and_then(serde_json::Value::as_u64);
    let stored = StoredClaim {
        holder: holder.to_owned(),
        position,
        written_in: Era(era.unwrap_or(0)),
    };
    let mut claims = gateway.claims.borrow_mut();
    if position.era == claims.era {
        claims.stored.insert(object.name.as_str().into(), stored);
    }
}

/// Writes again the claims of this host that the store may have lost. This host is their last holder, so it
/// needs not wait for other leases to end.
async fn restore_claims(gateway: &Rc<Gateway>) {
    let now = clock::now();
    let era = gateway.claims.borrow().era;
    let lost: Vec<Arc<str>> = {
        let mut claims = gateway.claims.borrow_mut();
        claims
            .held
            .retain(|_, it| it.valid_until.is_none_or(|end| now < end));
        let held = claims.held.iter();
        let lost = held.filter(|it| it.1.valid_until.is_some());
        lost.map(|it| it.0.clone()).collect()
    };
    let mut restored = 0;
    for id in &lost {
        if gateway.table.borrow().find(id).is_none() {
            gateway.claims.borrow_mut().held.remove(id);
            continue;
        }
        let stored = gateway.claims.borrow().stored.get(id).cloned();
        if (stored.as_ref()).is_some_and(|it| it.written_in == era && it.holder != *gateway.holder)
        {
            log::warn!(event = "claim-lost", engine = &**id; "another host claimed engine {id} after the store lost changes");
            gateway.claims.borrow_mut().held.remove(id);
            continue;
        }
        time::sleep(rand::random_range(Duration::ZERO..MAX_RESTORE_DELAY)).await;
        if gateway.stopping.get() || gateway.store_era() != era {
            return;
        }
        let position = stored.map(|it| it.position);
        claim_engine(gateway, id, position, clock::now()).await;
        restored += 1;
    }
    if restored > 0 {
        log::info!(event = "claims-restored", count = restored, era = era.0; "wrote {restored} claims again in era {} of the store", era.0);
    }
}

/// Claims the engines of which this host should be the steward.
async fn claim_all(gateway: &Rc<Gateway>, stabilized: bool) {
    let now = clock::now();
    {
        let table = gateway.table.borrow();
        let is_needed = |id: &Arc<str>, it: &mut UnconfirmedWrite| {
            it.valid_from > now || table.find(id).is_some()
        };
        gateway.claims.borrow_mut().unconfirmed.retain(is_needed);
    }
    let unclaimed = unclaimed_engines(gateway);
    // A newer claim may be among the changes that the store lost.
    let settled = gateway.is_era_settled();
    for (id, is_first) in unclaimed {
        let (stored, unconfirmed, era) = {
            let claims = gateway.claims.borrow();
            let stored = claims.stored.get(&id).cloned();
            (stored, claims.unconfirmed.get(&id).copied(), claims.era)
        };
        let position = stored.as_ref().map(|it| it.position);
        let is_undecided = |it: &UnconfirmedWrite| it.era == era && it.position == position;
        if let Some(it) = unconfirmed.filter(is_undecided) {
            // This host may have the claim, so no other host takes it over. Writing it again decides that.
            claim_engine(gateway, &id, it.position, it.valid_from).await;
            if gateway.stopping.get() {
                return;
            }
            continue;
        }
        match stored {
            Some(it) if it.holder == *gateway.holder && (settled || it.written_in == era) => {
                claim_engine(gateway, &id, Some(it.position), clock::now()).await;
            }
            Some(it) if it.holder == *gateway.holder => {}
            Some(it) if is_first && stabilized => take_over(gateway, &id, &it).await,
            None if is_first && stabilized && settled => {
                claim_engine(gateway, &id, None, clock::now()).await;
            }
            _ => {}
        }
        if gateway.stopping.get() {
            return;
        }
    }
}

/// Engines that need a steward and have no live one among the other hosts. The flag is true if this
/// host ranks first among the candidates for the engine.
fn unclaimed_engines(gateway: &Rc<Gateway>) -> Vec<(Arc<str>, bool)> {
    let now = clock::now();
    let Some(catalog) = gateway.catalog() else {
        return Vec::new();
    };
    let table = gateway.table.borrow();
    let claims = gateway.claims.borrow();
    let peers = gateway.peers.borrow();
    let live_hosts = peers.live_hosts(now);
    let mut unclaimed = Vec::new();
    for (_, engine) in table.iter() {
        let listing = &engine.listing;
        let is_managed =
            (catalog.services.get(&listing.service)).is_some_and(|it| it.engine.is_some());
        let claimed_by_other = peers.steward(&listing.id, now).is_some();
        if !is_managed || claims.held.contains_key(&listing.id) || claimed_by_other {
            continue;
        }
        let domain_has_host = live_hosts.iter().any(|it| it.1 == listing.domain);
        let domain_has_host = domain_has_host || *gateway.settings.domain == *listing.domain;
        let is_candidate = |domain: &str| !domain_has_host || *domain == *listing.domain;
        let others = live_hosts
            .iter()
            .filter(|it| is_candidate(&it.1))
            .map(|it| &*it.0);
        let own = is_candidate(&gateway.settings.domain).then_some(&*gateway.holder);
        let first = rendezvous::choose(&listing.id, others.chain(own));
        unclaimed.push((listing.id.clone(), first == Some(&*gateway.holder)));
    }
    unclaimed
}

/// Claims an engine: creates the claim, or replaces it if it was last changed at `position`. Orders are
/// allowed from `from` on, or later if an earlier write without a response allowed them only later.
async fn claim_engine(
    gateway: &Rc<Gateway>,
    id: &Arc<str>,
    position: Option<Position>,
    from: Time,
) {
    let write = {
        let claims = gateway.claims.borrow();
        let earlier = claims.unconfirmed.get(id);
        UnconfirmedWrite {
            era: claims.era,
            position,
            valid_from: earlier.map_or(from, |it| it.valid_from.max(from)),
        }
    };
    let era = write.era;
    let spec = json!({
        "holder": &*gateway.holder,
        "life": gateway.incarnation,
        "era": era.0,
    });
    match store::put(gateway, Kind::Claims, id, &spec, position).await {
        // The store began a new era during the call.
        WriteResult::Written(_, position) if position.era != era => {
            let mut claims = gateway.claims.borrow_mut();
            claims.unconfirmed.insert(id.clone(), write);
        }
        WriteResult::Written(object, position) => {
            record_claim(gateway, &object, position);
            gateway.claims.borrow_mut().unconfirmed.remove(id);
            let Some(fence) = era::fencing_token(position) else {
                log::error!(event = "fence-range", engine = &**id, era = position.era.0, rev = position.rev; "no fencing token can be made for engine {id}: it gets no orders");
                return;
            };
            log::info!(event = "claim", engine = &**id, fence, era = era.0; "claimed engine {id}");
            let claim = Claim {
                fence,
                valid_from: write.valid_from,
                valid_until: None,
            };
            gateway.claims.borrow_mut().held.insert(id.clone(), claim);
            gateway.orders_wakeup.notify_one();
        }
        WriteResult::Conflict(object, position) => {
            record_claim(gateway, &object, position);
            let mut claims = gateway.claims.borrow_mut();
            if (claims.stored.get(id)).is_some_and(|it| it.holder != *gateway.holder) {
                claims.unconfirmed.remove(id);
            }
        }
        WriteResult::NotFound => {
            gateway.claims.borrow_mut().stored.remove(id);
        }
        WriteResult::Unknown => {
            let mut claims = gateway.claims.borrow_mut();
            claims.unconfirmed.insert(id.clone(), write);
        }
        WriteResult::Refused => {}
    }
}

/// Takes over an engine from a silent host, once the lease of that host must have expired.
async fn take_over(gateway: &Rc<Gateway>, id: &Arc<str>, stored: &StoredClaim) {
    let now = clock::now();
    if gateway.peers.borrow().is_live(&stored.holder, now) {
        return;
    }
    let previous = gateway
        .claims
        .borrow()
        .suspects
        .get(&stored.holder)
        .copied();
    let read_due = previous.is_none_or(|(suspect, read)| {
        suspect.latest_end() <= now || read + SUSPECT_READ_INTERVAL <= now
    });
    if !read_due {
        return;
    }
    let Some(object) = store::get(gateway, Kind::Hosts, &stored.holder).await else {
        return;
    };
    let now = clock::now();
    let observation = match object {
        Some((_, position)) => Observation::Renewed(position),
        None if gateway.is_era_settled() => Observation::Released,
        None => Observation::MaybeLost,
    };
    let mut suspect = previous.map_or_else(|| LeaseWatch::new(observation, now), |it| it.0);
    suspect.observe(observation, now);
    let entry = (suspect, now);
    gateway
        .claims
        .borrow_mut()
        .suspects
        .insert(stored.holder.clone(), entry);
    if suspect.latest_end() > now {
        return;
    }
    if let Observation::Renewed(position) = observation {
        // Deleting the lease makes the renewals of that host fail, so it learns that it lost its
        // claims.
        let deleted = store::delete(gateway, Kind::Hosts, &stored.holder, position).await;
        if !matches!(deleted, WriteResult::Written(..) | WriteResult::NotFound) {
            return;
        }
        log::warn!(event = "takeover", host = &*stored.holder; "deleted the lease of host {}: it was not renewed", stored.holder);
    }
    let order_delay = Duration::from_millis(gateway.settings.orders.turn_milliseconds);
    let from = clock::now() + order_delay;
    claim_engine(gateway, id, Some(stored.position), from).await;
}
