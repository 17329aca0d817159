//! Keeps this host's lease and its claims on engines in the store, by the rules of `fleet::lease`.

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
    store::{self, Written},
};

/// Time between two looks at what is to be claimed.
const TICK: Duration = Duration::from_millis(300);

/// Time after the start until engines without a claim are claimed: hosts that start together have to
/// hear of each other first.
const SETTLE: Duration = Duration::from_millis(1500);

/// Time between two reads of the lease of a silent host.
const SUSPECT_READ: Duration = Duration::from_secs(3);

/// Time between two lists of hosts.
const HOSTS_READ: Duration = Duration::from_secs(8);

/// Who orders which engine.
#[derive(Default)]
pub struct Claims {
    lease: Lease,
    rev: Option<u64>,
    held: HashMap<Arc<str>, Claim>,
    known: HashMap<Arc<str>, Known>,
    suspects: HashMap<String, (LeaseWatch, Time)>,
}

#[derive(Clone)]
struct Known {
    holder: String,
    rev: u64,
}

impl Claims {
    /// Ids of the engines that this host may order.
    pub fn orderable(&self, now: Time) -> impl Iterator<Item = &Arc<str>> {
        let holds = self.lease.is_valid(now);
        let may = move |it: &(&Arc<str>, &Claim)| holds && it.1.valid_from <= now;
        self.held.iter().filter(may).map(|it| it.0)
    }

    /// Ids of the engines that this host has claimed.
    pub fn claimed(&self) -> impl Iterator<Item = &Arc<str>> {
        self.held.keys()
    }

    /// The fencing token for an engine, if this host may order it now.
    pub fn fence(&self, id: &str, now: Time) -> Option<u64> {
        let claim = self.held.get(id)?;
        (self.lease.is_valid(now) && claim.valid_from <= now).then_some(claim.fence)
    }
}

/// Keeps lease and claims until the process ends.
pub async fn keep(gateway: Rc<Gateway>) {
    let started = clock::now();
    let mut renewed: Option<Time> = None;
    let mut listed: Option<Time> = None;
    let mut known = false;
    while !gateway.stopping.get() {
        let now = clock::now();
        if renewed.is_none_or(|it| it + RENEWAL_INTERVAL <= now) {
            let done = renew(&gateway).await;
            renewed = done.then_some(now);
        }
        // Hosts that start together write their addresses within the first moments.
        let young = now < started + SETTLE;
        let every = if young { TICK } else { HOSTS_READ };
        if listed.is_none_or(|it| it + every <= now) && read_hosts(&gateway, !young).await {
            listed = Some(now);
        }
        if !known {
            known = read_claims(&gateway).await;
        }
        if known && renewed.is_some() {
            let settled = clock::now() > started + SETTLE && listed.is_some();
            claim_all(&gateway, settled).await;
        }
        time::sleep(TICK).await;
    }
}

/// Gives lease and claims up, so that others need not wait for their end.
pub async fn release(gateway: &Rc<Gateway>) {
    let rev = {
        let mut claims = gateway.claims.borrow_mut();
        claims.lease.release();
        claims.held.clear();
        claims.rev.take()
    };
    if rev.is_some() {
        store::delete(gateway, Kind::Hosts, &gateway.holder, rev).await;
    }
}

async fn renew(gateway: &Rc<Gateway>) -> bool {
    let sent = clock::now();
    let spec = json!({
        "peers": gateway.settings.peers.to_string(),
        "domain": gateway.settings.domain,
        "life": gateway.life,
        "renewed": u64::try_from(sent.as_millis()).unwrap_or(0),
    });
    let rev = gateway.claims.borrow().rev;
    let written = store::put(gateway, Kind::Hosts, &gateway.holder, &spec, rev).await;
    let mut claims = gateway.claims.borrow_mut();
    match written {
        Written::Done(object) => {
            // A lease that had ended may have been followed by another host's claims.
            if !claims.lease.is_valid(sent) && !claims.held.is_empty() {
                log::warn!(event = "lease-lapsed"; "the lease had ended: claims are made again");
                claims.held.clear();
            }
            claims.rev = Some(object.rev);
            claims.lease.renew(sent);
            true
        }
        Written::Other(object) => {
            claims.rev = Some(object.rev);
            false
        }
        Written::Missing => {
            log::warn!(event = "lease-ended"; "another host ended the lease");
            claims.rev = None;
            claims.lease.release();
            claims.held.clear();
            false
        }
        Written::Refused | Written::Unknown => false,
    }
}

async fn read_hosts(gateway: &Rc<Gateway>, stale: bool) -> bool {
    let Some((objects, _)) = store::list(gateway, Kind::Hosts, stale).await else {
        return false;
    };
    let mut peers = gateway.peers.borrow_mut();
    for object in &objects {
        let text = |field: &str| object.spec.get(field).and_then(|it| it.as_str());
        if let Some(addr) = text("peers").and_then(|it| it.parse().ok()) {
            let domain = text("domain").unwrap_or_default();
            peers.learn(&object.name, addr, domain, clock::now());
        }
    }
    gateway.hosts_listed.notify_waiters();
    true
}

async fn read_claims(gateway: &Rc<Gateway>) -> bool {
    let Some((objects, _)) = store::list(gateway, Kind::Claims, false).await else {
        return false;
    };
    for object in &objects {
        note(gateway, object);
    }
    true
}

/// Enters a claim as it stands in the store.
fn note(gateway: &Rc<Gateway>, object: &Object) -> Option<Known> {
    let holder = object.spec.get("holder")?.as_str()?.to_owned();
    let known = Known {
        holder,
        rev: object.rev,
    };
    let mut claims = gateway.claims.borrow_mut();
    claims
        .known
        .insert(object.name.as_str().into(), known.clone());
    Some(known)
}

/// Claims the engines that this host should order.
async fn claim_all(gateway: &Rc<Gateway>, settled: bool) {
    let wanted = wanted(gateway);
    for (id, first) in wanted {
        let known = gateway.claims.borrow().known.get(&id).cloned();
        match known {
            Some(it) if it.holder == *gateway.holder => {
                claim(gateway, &id, Some(it.rev), clock::now()).await;
            }
            Some(it) if first && settled => take_over(gateway, &id, &it).await,
            None if first && settled => claim(gateway, &id, None, clock::now()).await,
            _ => {}
        }
        if gateway.stopping.get() {
            return;
        }
    }
}

/// The engines without a living holder that isn't this host, and whether this host is the first in
/// line for each.
fn wanted(gateway: &Rc<Gateway>) -> Vec<(Arc<str>, bool)> {
    let now = clock::now();
    let Some(catalog) = gateway.catalog() else {
        return Vec::new();
    };
    let table = gateway.table.borrow();
    let claims = gateway.claims.borrow();
    let peers = gateway.peers.borrow();
    let live = peers.live(now);
    let mut wanted = Vec::new();
    for (_, engine) in table.iter() {
        let listing = &engine.listing;
        let orders = (catalog.services.get(&listing.service)).is_some_and(|it| it.engine.is_some());
        let claimed_by_other = peers.steward(&listing.id, now).is_some();
        if !orders || claims.held.contains_key(&listing.id) || claimed_by_other {
            continue;
        }
        let near = live.iter().any(|it| it.1 == listing.domain);
        let near = near || *gateway.settings.domain == *listing.domain;
        let of_domain = |domain: &str| !near || *domain == *listing.domain;
        let others = live.iter().filter(|it| of_domain(&it.1)).map(|it| &*it.0);
        let own = of_domain(&gateway.settings.domain).then_some(&*gateway.holder);
        let first = rendezvous::choose(&listing.id, others.chain(own));
        wanted.push((listing.id.clone(), first == Some(&*gateway.holder)));
    }
    wanted
}

async fn claim(gateway: &Rc<Gateway>, id: &Arc<str>, rev: Option<u64>, from: Time) {
    let spec = json!({ "holder": &*gateway.holder, "life": gateway.life });
    match store::put(gateway, Kind::Claims, id, &spec, rev).await {
        Written::Done(object) => {
            log::info!(event = "claim", engine = &**id, fence = object.rev; "claim on engine {id} taken");
            note(gateway, &object);
            let claim = Claim {
                fence: object.rev,
                valid_from: from,
            };
            gateway.claims.borrow_mut().held.insert(id.clone(), claim);
            gateway.order.notify_one();
        }
        Written::Other(object) => {
            note(gateway, &object);
        }
        Written::Missing => {
            gateway.claims.borrow_mut().known.remove(id);
        }
        Written::Refused | Written::Unknown => {}
    }
}

/// Takes an engine over from a host that is silent, once its lease must have ended.
async fn take_over(gateway: &Rc<Gateway>, id: &Arc<str>, known: &Known) {
    let now = clock::now();
    if gateway.peers.borrow().is_live(&known.holder, now) {
        return;
    }
    let last = gateway.claims.borrow().suspects.get(&known.holder).copied();
    let due = last
        .is_none_or(|(suspect, read)| suspect.latest_end() <= now || read + SUSPECT_READ <= now);
    if !due {
        return;
    }
    let Some(object) = store::get(gateway, Kind::Hosts, &known.holder).await else {
        return;
    };
    let now = clock::now();
    let seen = object
        .as_ref()
        .map_or(Observation::Released, |it| Observation::Renewed(it.rev));
    let mut suspect = last.map_or_else(|| LeaseWatch::new(seen, now), |it| it.0);
    suspect.observe(seen, now);
    let entry = (suspect, now);
    gateway
        .claims
        .borrow_mut()
        .suspects
        .insert(known.holder.clone(), entry);
    if suspect.latest_end() > now {
        return;
    }
    if let Observation::Renewed(rev) = seen {
        // Its renewals fail from now on, so that it knows.
        let ended = store::delete(gateway, Kind::Hosts, &known.holder, Some(rev)).await;
        if !matches!(ended, Written::Done(_) | Written::Missing) {
            return;
        }
        log::warn!(event = "takeover", host = &*known.holder; "lease of {} ended: it was not renewed", known.holder);
    }
    let turn = Duration::from_millis(gateway.settings.orders.turn_milliseconds);
    claim(gateway, id, Some(known.rev), clock::now() + turn).await;
}
