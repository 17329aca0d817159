//! Maintains this host's lease and its claims on engines in the store, by the rules of
//! `fleet::lease`.

use std::{collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use fleet::{
    Time,
    lease::{Claim, Lease, LeaseWatch, Observation, RENEWAL_INTERVAL},
    rendezvous,
};
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

/// Time between two reads of the list of hosts.
const HOSTS_READ_INTERVAL: Duration = Duration::from_secs(8);

/// Lease of this host, its claims, and the claims of other hosts as stored.
#[derive(Default)]
pub struct Claims {
    lease: Lease,
    /// Revision of the lease object in the store, if it exists.
    lease_rev: Option<u64>,
    /// Claims of this host, by engine.
    held: HashMap<Arc<str>, Claim>,
    /// Claims of all hosts as last seen in the store, by engine.
    stored: HashMap<Arc<str>, StoredClaim>,
    /// Observed leases of silent hosts, by holder, with the time of the last read.
    suspects: HashMap<String, (LeaseWatch, Time)>,
}

/// Claim as last seen in the store.
#[derive(Clone)]
struct StoredClaim {
    holder: String,
    rev: u64,
}

impl Claims {
    /// Ids of the engines to which this host may send orders.
    pub fn orderable(&self, now: Time) -> impl Iterator<Item = &Arc<str>> {
        let lease_valid = self.lease.is_valid(now);
        let is_orderable = move |it: &(&Arc<str>, &Claim)| lease_valid && it.1.valid_from <= now;
        self.held.iter().filter(is_orderable).map(|it| it.0)
    }

    /// Ids of the engines that this host has claimed.
    pub fn claimed(&self) -> impl Iterator<Item = &Arc<str>> {
        self.held.keys()
    }

    /// Fencing token for an engine, if this host may send it orders now.
    pub fn fence(&self, id: &str, now: Time) -> Option<u64> {
        let claim = self.held.get(id)?;
        (self.lease.is_valid(now) && claim.valid_from <= now).then_some(claim.fence)
    }
}

/// Maintains the lease and the claims until the host stops.
pub async fn maintain(gateway: Rc<Gateway>) {
    let started = clock::now();
    let mut renewed_at: Option<Time> = None;
    let mut listed_at: Option<Time> = None;
    let mut claims_read = false;
    while !gateway.stopping.get() {
        let now = clock::now();
        if renewed_at.is_none_or(|it| it + RENEWAL_INTERVAL <= now) {
            let renewed = renew(&gateway).await;
            renewed_at = renewed.then_some(now);
        }
        // Hosts that start together write their addresses within this period.
        let starting = now < started + STABILIZATION_PERIOD;
        let interval = if starting {
            CLAIM_INTERVAL
        } else {
            HOSTS_READ_INTERVAL
        };
        if listed_at.is_none_or(|it| it + interval <= now) && read_hosts(&gateway, !starting).await
        {
            listed_at = Some(now);
        }
        if !claims_read {
            claims_read = read_claims(&gateway).await;
        }
        if claims_read && renewed_at.is_some() {
            let stabilized = clock::now() > started + STABILIZATION_PERIOD && listed_at.is_some();
            claim_all(&gateway, stabilized).await;
        }
        time::sleep(CLAIM_INTERVAL).await;
    }
}

/// Releases the lease and the claims, so that other hosts need not wait for the lease to expire.
pub async fn release(gateway: &Rc<Gateway>) {
    let rev = {
        let mut claims = gateway.claims.borrow_mut();
        claims.lease.release();
        claims.held.clear();
        claims.lease_rev.take()
    };
    if rev.is_some() {
        store::delete(gateway, Kind::Hosts, &gateway.holder, rev).await;
    }
}

/// Renews the lease of this host, or creates it. Returns whether the store accepted the write.
async fn renew(gateway: &Rc<Gateway>) -> bool {
    let sent = clock::now();
    let spec = json!({
        "peers": gateway.settings.peers.to_string(),
        "domain": gateway.settings.domain,
        "life": gateway.incarnation,
        "renewed": u64::try_from(sent.as_millis()).unwrap_or(0),
    });
    let rev = gateway.claims.borrow().lease_rev;
    let result = store::put(gateway, Kind::Hosts, &gateway.holder, &spec, rev).await;
    let mut claims = gateway.claims.borrow_mut();
    match result {
        WriteResult::Written(object) => {
            // Another host may have claimed the engines after the lease expired.
            if !claims.lease.is_valid(sent) && !claims.held.is_empty() {
                log::warn!(event = "lease-lapsed"; "the lease expired before its renewal: claiming engines again");
                claims.held.clear();
            }
            claims.lease_rev = Some(object.rev);
            claims.lease.renew(sent);
            true
        }
        WriteResult::Conflict(object) => {
            claims.lease_rev = Some(object.rev);
            false
        }
        WriteResult::NotFound => {
            log::warn!(event = "lease-ended"; "another host deleted the lease");
            claims.lease_rev = None;
            claims.lease.release();
            claims.held.clear();
            false
        }
        WriteResult::Refused | WriteResult::Unknown => false,
    }
}

/// Reads the addresses and domains of all hosts. A `stale` read is cheaper, but may be seconds old.
async fn read_hosts(gateway: &Rc<Gateway>, stale: bool) -> bool {
    let Some((objects, _)) = store::list(gateway, Kind::Hosts, stale).await else {
        return false;
    };
    let mut peers = gateway.peers.borrow_mut();
    for object in &objects {
        let text = |field: &str| object.spec.get(field).and_then(|it| it.as_str());
        if let Some(addr) = text("peers").and_then(|it| it.parse().ok()) {
            let domain = text("domain").unwrap_or_default();
            peers.add_listed(&object.name, addr, domain, clock::now());
        }
    }
    gateway.hosts_listed.notify_waiters();
    true
}

/// Reads the claims of all hosts.
async fn read_claims(gateway: &Rc<Gateway>) -> bool {
    let Some((objects, _)) = store::list(gateway, Kind::Claims, false).await else {
        return false;
    };
    for object in &objects {
        record_claim(gateway, object);
    }
    true
}

/// Records a claim as stored.
fn record_claim(gateway: &Rc<Gateway>, object: &Object) -> Option<StoredClaim> {
    let holder = object.spec.get("holder")?.as_str()?.to_owned();
    let stored = StoredClaim {
        holder,
        rev: object.rev,
    };
    let mut claims = gateway.claims.borrow_mut();
    claims
        .stored
        .insert(object.name.as_str().into(), stored.clone());
    Some(stored)
}

/// Claims the engines of which this host should be the steward.
async fn claim_all(gateway: &Rc<Gateway>, stabilized: bool) {
    let unclaimed = unclaimed_engines(gateway);
    for (id, is_first) in unclaimed {
        let stored = gateway.claims.borrow().stored.get(&id).cloned();
        match stored {
            Some(it) if it.holder == *gateway.holder => {
                claim_engine(gateway, &id, Some(it.rev), clock::now()).await;
            }
            Some(it) if is_first && stabilized => take_over(gateway, &id, &it).await,
            None if is_first && stabilized => claim_engine(gateway, &id, None, clock::now()).await,
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

/// Claims an engine: creates the claim, or replaces it if it still has revision `rev`. Orders are
/// allowed from `from` on.
async fn claim_engine(gateway: &Rc<Gateway>, id: &Arc<str>, rev: Option<u64>, from: Time) {
    let spec = json!({ "holder": &*gateway.holder, "life": gateway.incarnation });
    match store::put(gateway, Kind::Claims, id, &spec, rev).await {
        WriteResult::Written(object) => {
            log::info!(event = "claim", engine = &**id, fence = object.rev; "claimed engine {id}");
            record_claim(gateway, &object);
            let claim = Claim {
                fence: object.rev,
                valid_from: from,
            };
            gateway.claims.borrow_mut().held.insert(id.clone(), claim);
            gateway.orders_wakeup.notify_one();
        }
        WriteResult::Conflict(object) => {
            record_claim(gateway, &object);
        }
        WriteResult::NotFound => {
            gateway.claims.borrow_mut().stored.remove(id);
        }
        WriteResult::Refused | WriteResult::Unknown => {}
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
    let observation = object
        .as_ref()
        .map_or(Observation::Released, |it| Observation::Renewed(it.rev));
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
    if let Observation::Renewed(rev) = observation {
        // Deleting the lease makes the renewals of that host fail, so it learns that it lost its
        // claims.
        let deleted = store::delete(gateway, Kind::Hosts, &stored.holder, Some(rev)).await;
        if !matches!(deleted, WriteResult::Written(_) | WriteResult::NotFound) {
            return;
        }
        log::warn!(event = "takeover", host = &*stored.holder; "deleted the lease of host {}: it was not renewed", stored.holder);
    }
    let order_delay = Duration::from_millis(gateway.settings.orders.turn_milliseconds);
    claim_engine(gateway, id, Some(stored.rev), clock::now() + order_delay).await;
}
